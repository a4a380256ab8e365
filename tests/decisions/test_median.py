"""The median compared with that of the standard library."""

import statistics
from random import Random

from gullhold.decisions.median import median


def test_median_equals_the_standard_one_bit_for_bit():
    random = Random(5)
    for length in range(1, 60):
        values = [random.choice((random.random(), random.random() * 1e-9, 0.0)) for _ in range(length)]
        assert median(values).hex() == statistics.median(values).hex()
