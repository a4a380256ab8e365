"""The values of a fleet's policy that the decisions use; a gateway without a fleet never imports it."""

from typing import NamedTuple


class DecisionTerms(NamedTuple):
    """weights: round-robin weights by the index of a tenant; the others: by the index of a profile.

    The mappings hold the profiles that the policy names; all others keep the agreement's values.
    """

    weights: list[float]
    priorities: dict[int, int]
    grants_mb: dict[int, int]  # the most memory granted to an attempt, MB
    max_attempts: dict[int, int]
