"""The search for a failing walk tells a broken invariant from a crash of the code under test."""

import pytest

from gullhold.testing.walking import Finding, FindingKind, InvariantError, find_failing_walk


def test_a_walk_that_breaks_an_invariant_is_reported_as_a_violation():
    def walk(seed):
        if seed == 3:
            raise InvariantError("seed 3: two leaders; after [('time',)]")

    assert find_failing_walk(walk, 10) == Finding(3, "seed 3: two leaders", FindingKind.VIOLATION)
    assert find_failing_walk(walk, 3) is None
    assert find_failing_walk(walk, 10, first=4) is None


@pytest.mark.parametrize("error", [KeyError("a"), AttributeError("b"), AssertionError("c")])
def test_a_walk_that_raises_another_exception_is_reported_as_a_crash(error):
    def walk(_seed):
        raise error

    assert find_failing_walk(walk, 2) == Finding(0, repr(error), FindingKind.CRASH)
