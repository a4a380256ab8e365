"""A throughput curve through three samples, and the concurrency at its first peak.

The curve is that of the paper "Improving the scalability of database engines by controlling their load". If
p0 threads have the throughput q, then p threads have
q * p / (p0 + B * p0 * (exp(-gamma * p0) - exp(-gamma * p)) * (p - 1)), with B and gamma positive.
"""

from math import exp

BISECTION_STEPS = 60  # halvings of the interval of gamma, enough for the precision of a float
PEAK_STEPS = 64  # intervals between the smallest and the largest sample, in the search for a peak
MIN_EXPONENT = 1e-6  # bounds of gamma times the distance in threads between two samples
MAX_EXPONENT = 50


def fit_concurrency_limit(
    threads0: float, rate0: float, threads1: float, rate1: float, threads2: float, rate2: float
) -> float | None:
    """Return the number of threads at the first peak of the curve through three samples, None without one.

    rate0, rate1, rate2: throughput with these numbers of threads, in any unit.
    """
    if min(rate0, rate1, rate2) <= 0 or not 0 < threads0 < threads1 < threads2 or threads1 <= 1:
        return None
    excess1 = (threads1 * rate0 / rate1 - threads0) / (threads0 * (threads1 - 1))
    excess2 = (threads2 * rate0 / rate2 - threads0) / (threads0 * (threads2 - 1))
    if excess1 <= 0 or excess2 <= excess1:
        return None
    ratio = excess2 / excess1
    if ratio >= (threads2 - threads0) / (threads1 - threads0):  # no positive B and gamma fit
        return None
    gamma = _solve_gamma(threads1 - threads0, threads2 - threads0, ratio)
    base = exp(-gamma * threads0)
    b = excess1 / (base - exp(-gamma * threads1))
    points = [threads0 + i * (threads2 - threads0) / PEAK_STEPS for i in range(PEAK_STEPS + 1)]
    rates = [p / (threads0 + b * threads0 * (base - exp(-gamma * p)) * (p - 1)) for p in points]
    for i in range(PEAK_STEPS):
        if rates[i + 1] < rates[i]:
            return points[i]
    return None


def _solve_gamma(distance1: float, distance2: float, ratio: float) -> float:
    """Return the gamma at which the excesses at these distances from threads0 have this ratio."""
    low = MIN_EXPONENT / distance2
    high = MAX_EXPONENT / distance1
    gamma = low
    for _ in range(BISECTION_STEPS):
        gamma = (low + high) / 2
        if (1 - exp(-gamma * distance2)) / (1 - exp(-gamma * distance1)) > ratio:
            low = gamma
        else:
            high = gamma
    return gamma
