"""The sketch that estimates the work of clients without a counter for each."""

import random
from collections import Counter

from gullhold.admission.sketch import Sketch


def test_names_that_collide_under_one_salt_spread_under_the_next():
    sketch = Sketch(b"0" * 16)
    names, victim_bucket = [], sketch.counter_indexes(b"victim", sketch.salt)[0] % 128
    for i in range(20_000):
        if sketch.counter_indexes(b"%d" % i, sketch.salt)[0] % 128 == victim_bucket:
            names.append(b"%d" % i)
    assert len(names) > 100
    sketch.replace_salt(b"1" * 16)
    bucket_counts = Counter(
        sketch.counter_indexes(name, sketch.salt)[0] % 128 for name in [b"victim", *names]
    )
    assert bucket_counts.most_common(1)[0][1] < len(names) / 8


def test_estimates_are_never_too_low_and_those_of_light_names_stay_small():
    sketch, draw = Sketch(b"x" * 16), random.Random(5)
    true_work = Counter()
    for _ in range(20_000):
        name = b"%d" % min(int(draw.paretovariate(1.0)), 50_000)
        true_work[name] += 1
        estimate = sketch.add(name, 1.0)
        assert estimate >= true_work[name] - 1
    heavy = [name for name, count in true_work.items() if count > 200]
    light = [name for name, count in true_work.items() if count < 3]
    assert all(sketch.add(name, 0.0) < 60 for name in light)
    assert len(heavy) > 5
