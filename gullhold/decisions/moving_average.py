"""Constants and functions of moving averages and of sums that fade over time."""

from math import exp

SMOOTHING_FACTOR = 0.1  # weight of the newest observation in moving averages: about ten count
OBSERVATION_DECAY_US = 12_000_000  # us; longer than some long commands, shorter than a fault of an engine


def decay_factor(observed_at: int, now: int) -> float:
    """The factor, 0 to 1, with which an observation of an engine still counts now."""
    return exp((observed_at - now) / OBSERVATION_DECAY_US)


def relative_deviation(count: float, total: float, squares: float) -> float:
    """Standard deviation over mean, from fading sums of ones, values and squares; 0 if total is 0."""
    if not total:
        return 0.0
    return max(squares * count / total**2 - 1, 0.0) ** 0.5
