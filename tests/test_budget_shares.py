"""Tests max-min fair shares of a budget, and which small changes of allocations are not made."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gullhold.budgets.max_min_fairness import damp_changes, max_min_shares


def even(names, weight=1):
    """Return the same weight, or demand, for each name."""
    return dict.fromkeys(names, weight)


def test_shares_follow_demand_and_weight_and_are_not_below_the_floor():
    names = [f"n{i}" for i in range(6)]
    shares = max_min_shares(60, {name: 100 if name == "n0" else 0 for name in names}, even(names), 1)
    assert shares == {"n0": 55} | dict.fromkeys(names[1:], 1)
    assert max_min_shares(60, even(names, 100), even(names), 1) == even(names, 10)
    assert max_min_shares(
        60, dict(zip(names, (1, 2, 3, 100, 100, 100), strict=True)), even(names), 0
    ) == dict(zip(names, (1, 2, 3, 18, 18, 18), strict=True))
    assert max_min_shares(60, even("ab", 100), {"a": 2, "b": 1}, 0) == {"a": 40, "b": 20}
    assert sum(max_min_shares(100, even(range(1000), 5), even(range(1000)), 1).values()) == 100
    assert max_min_shares(0, even("ab", 5), even("ab"), 1) == {"a": 0, "b": 0}
    assert max_min_shares(5, {}, {}, 1) == {}


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.integers(0, 200),
    st.integers(0, 5),
    st.lists(st.tuples(st.integers(0, 90), st.integers(1, 4)), min_size=1, max_size=9),
)
def test_shares_are_max_min_fair(total, floor, rows):
    demands = {i: demand for i, (demand, _) in enumerate(rows)}
    weights = {i: weight for i, (_, weight) in enumerate(rows)}
    shares = max_min_shares(total, demands, weights, floor)
    assert sum(shares.values()) == total
    least = min(floor, total // len(rows))
    assert all(share >= least for share in shares.values())
    unsatisfied = [i for i, demand in demands.items() if shares[i] < demand]
    for i in unsatisfied:  # no member above the floor has more for its weight
        for j, share in shares.items():
            if share > max(least, 1):
                assert (share - 1) / weights[j] <= (shares[i] + 1) / weights[i]


def test_shares_are_usable_amounts_and_begin_at_the_given_member_when_not_all_can_be_served():
    demands = dict.fromkeys("abcd", 3)
    shares = max_min_shares(10, demands, even("abcd"), 1, granularity=3)
    assert sorted(shares.values()) == [0, 3, 3, 4]
    assert sum(shares.values()) == 10
    assert max_min_shares(2, demands, even("abcd"), 0, first=2) == {"a": 0, "b": 0, "c": 1, "d": 1}
    assert sum(max_min_shares(2, demands, even("abcd"), 0, granularity=3).values()) == 2


def test_small_changes_are_not_made_when_no_member_needs_them():
    current, demands = {"a": 50, "b": 50}, {"a": 10, "b": 12}
    assert damp_changes(current, {"a": 48, "b": 52}, demands) == current
    assert damp_changes(current, {"a": 20, "b": 80}, demands) == {"a": 20, "b": 80}
    assert damp_changes(current, {"a": 48, "b": 52}, {"a": 10, "b": 60}) == {"a": 48, "b": 52}
    assert damp_changes(current, {"a": 48, "b": 50, "c": 2}, demands | {"c": 0}) == {"a": 48, "b": 50, "c": 2}
