"""The values that a fleet's policy sets for the decisions; gateways without a fleet do not import it."""

from typing import NamedTuple


class DecisionTerms(NamedTuple):
    """The values: weights by the index of a tenant, all others by the index of a profile.

    The mappings hold only the profiles that the policy names; all other profiles keep the agreement's values.
    """

    weights: list[float]  # of the round-robin over tenants
    priorities: dict[int, int]  # of attempts on their engines
    grants_mb: dict[int, int]  # largest memory grant of an attempt, MB
    max_attempts: dict[int, int]  # for one command
