"""Constants and functions for moving averages and for sums that decay over time."""

from math import exp

SMOOTHING_FACTOR = 0.1  # weight of the newest observation in a moving average over about the last ten
# us, time constant of observations: longer than some long commands, shorter than a fault of an engine.
OBSERVATION_DECAY_US = 12_000_000


def decay_factor(observed_at: int, now: int) -> float:
    """Return the weight, 0 to 1, that an earlier observation of an engine has now."""
    return exp((observed_at - now) / OBSERVATION_DECAY_US)


def relative_deviation(count: float, total: float, squares: float) -> float:
    """Return the ratio of the standard deviation to the mean; 0 if total is 0.

    count, total, squares: moving averages of 1, of the value and of the squared value, all with one decay.
    """
    if not total:
        return 0.0
    return max(squares * count / total**2 - 1, 0.0) ** 0.5
