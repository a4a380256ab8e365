"""How fast moving figures follow what is observed."""

from math import exp

STEP = 0.1  # weight of the newest observation in moving averages: about ten count
OBSERVATION_FADE_US = 12_000_000  # us in which what an engine showed fades: some long commands, not a trouble


def remaining(observed_at: int, now: int) -> float:
    """What is left now of what an engine showed then, 0 to 1."""
    return exp((observed_at - now) / OBSERVATION_FADE_US)


def relative_deviation(count: float, total: float, squares: float) -> float:
    """Standard deviation over mean, from fading sums of ones, values and squares; 0: nothing observed."""
    if not total:
        return 0.0
    return max(squares * count / total**2 - 1, 0.0) ** 0.5
