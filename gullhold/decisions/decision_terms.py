"""The values that a fleet's policy sets for the decisions; gateways without a fleet do not import it."""

from typing import NamedTuple


class DecisionTerms(NamedTuple):
    """The values that a policy sets: weights by the index of a tenant, all others by the index of a profile.

    The mappings hold only the profiles that the policy names; all other profiles keep the agreement's values.
    """

    weights: list[float]  # weights of the tenants in the round-robin
    priorities: dict[int, int]  # priorities of attempts on their engines
    grants_mb: dict[int, int]  # largest memory grant of an attempt, MB
    max_attempts: dict[int, int]  # largest number of attempts of one command
