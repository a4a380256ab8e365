"""The fit of a throughput curve through three samples."""

from math import exp

import pytest

from gullhold.decisions.throughput_fit import fit_concurrency_limit


@pytest.mark.parametrize(("b", "gamma"), [(0.5, 0.05), (0.1, 0.2), (1.5, 0.02)])
def test_fit_finds_the_peak_of_a_known_curve(b, gamma):
    def rate(p):
        return p * 9.0 / (4 + b * 4 * (exp(-gamma * 4) - exp(-gamma * p)) * (p - 1))

    grid = [4 + i / 100 for i in range(5600)]
    peak = next((p for p, q in zip(grid, grid[1:], strict=False) if rate(q) < rate(p)), None)
    found = fit_concurrency_limit(4, rate(4), 20, rate(20), 60, rate(60))
    assert (found is None and peak is None) or abs(found - peak) < 2


@pytest.mark.parametrize("rates", [(1.0, 2.0, 3.0), (0.0, 1.0, 1.0), (1.0, 0.0, 0.0), (5.0, 30.0, 4.0)])
def test_fit_without_a_valid_peak_is_none(rates):
    assert fit_concurrency_limit(10, rates[0], 20, rates[1], 30, rates[2]) is None
    assert fit_concurrency_limit(10, 1.0, 10, 1.0, 30, 1.0) is None


def test_equal_throughputs_have_no_peak_or_one_below_the_middle_sample():
    assert (
        fit_concurrency_limit(10, 4.0, 20, 4.0, 40, 4.0) is None
        or fit_concurrency_limit(10, 4.0, 20, 4.0, 40, 4.0) < 20
    )
