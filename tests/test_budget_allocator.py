"""Tests the allocator of all budgets of a fleet, as members report, join and leave."""

from gullhold.budgets.allocator import ROTATION_US, Allocator, Budget, plan_allocations
from gullhold.budgets.budget_schema import NO_USAGE, Usage
from gullhold.budgets.demand import IDLE_TIMEOUT_US
from gullhold.budgets.ledger import LedgerKind

S = 1_000_000  # us


def make_allocator(*members, **budgets):
    """Return an allocator to which each member has reported no use. budgets: by default "b", 60 in all."""
    allocator = Allocator(budgets or {"b": Budget(LedgerKind.HELD, 60)})
    for member in members:
        allocator.report(member, 0, dict.fromkeys(allocator.budgets, NO_USAGE), 0)
    return allocator


def settle(allocator, demands, write=1, now=0, rounds=4):
    """Return the allocations after some rounds in which all writes arrive and each member uses what it has.

    demands: by member, 0 by default.
    """
    for _ in range(rounds):
        allocator.allocate(write, now)
        for member in allocator.reported_budgets:
            allocated = allocator.ledgers["b"].allocations().get(member, 0)
            demand = demands.get(member, 0)
            allocator.report(member, write, {"b": Usage(0, min(allocated, demand), demand)}, now)
        write += 1
    return allocator.ledgers["b"].allocations()


def test_a_member_with_all_demand_gets_nearly_all_and_equal_demand_gets_equal_allocations():
    names = [f"m{i}" for i in range(6)]
    allocations = settle(make_allocator(*names), {"m2": 500})
    assert allocations["m2"] / 60 >= 0.9
    assert sum(allocations.values()) == 60
    assert set(settle(make_allocator(*names), dict.fromkeys(names, 500)).values()) == {10}


def test_nothing_is_written_without_change_and_an_idle_allocation_passes_to_a_member_with_demand():
    allocator = make_allocator("a", "b")
    settle(allocator, {"a": 100})
    assert not allocator.to_reallocate
    assert allocator.allocate(9, 0) == {}
    allocator.report("a", 9, {"b": NO_USAGE}, 0)
    allocator.report("b", 9, {"b": Usage(0, 1, 100)}, 0)
    assert allocator.allocate(10, 0) == {"a": {"b": 1}}
    allocator.report("a", 10, {"b": NO_USAGE, "unknown": Usage(1, 1, 1)}, 0)
    assert allocator.allocate(11, 0) == {"b": {"b": 59}}


def test_a_member_that_requests_all_and_uses_nothing_loses_its_allocation_after_the_idle_timeout():
    allocator = make_allocator("a", "b")
    for at in (0, S, 2 * S, 3 * S):
        allocator.allocate(1 + at, at)
        allocator.report("a", 1 + at, {"b": Usage(0, 0, 60)}, at)  # requests all, uses nothing
        allocator.report("b", 1 + at, {"b": Usage(9, 30, 60)}, at)
        allocator.allocate(2 + at, at)
        allocator.report("a", 2 + at, {"b": Usage(0, 0, 60)}, at)
        if at < IDLE_TIMEOUT_US:
            assert allocator.ledgers["b"].allocations()["a"] == 30
    allocator.allocate(4 * S, 3 * S)
    assert allocator.ledgers["b"].allocations() == {"a": 1, "b": 59}


def test_a_reallocation_handles_at_most_max_budgets_and_the_next_ones_handle_the_others():
    allocator = make_allocator("a", "b", **{f"b{i}": Budget(LedgerKind.HELD, 10) for i in range(50)})
    allocator.allocate(1, 0, max_budgets=50)
    # Member a has not acknowledged its reductions.
    allocator.report("b", 1, {f"b{i}": Usage(0, 9, 9) for i in range(50)}, 0)
    seen = [set(allocator.allocate(2 + turn, 0, max_budgets=20).get("a", ())) for turn in range(3)]
    assert [len(names) for names in seen] == [20, 20, 10]
    assert len(set.union(*seen)) == 50


def test_the_total_is_not_exceeded_when_alternating_demand_moves_allocations():
    allocator = make_allocator("a", "b", b=Budget(LedgerKind.WINDOWED, 20, window_us=2 * S))
    moved = 0
    for second in range(20):
        for turn in range(3):
            number, now = 10 * second + turn + 1, second * S + turn
            moved += len(allocator.allocate(number, now))
            for i, member in enumerate(("a", "b")):
                allocated = allocator.ledgers["b"].allocations().get(member, 0)
                used, demand = (allocated, 20) if second % 2 == i else (0, 0)
                allocator.report(member, number, {"b": Usage(used, used, demand)}, now)
            assert allocator.ledgers["b"].charged(now) <= 20
    assert moved > 20


def test_the_next_allocator_continues_from_the_rows_of_a_thousand_members():
    allocator = make_allocator(*(f"m{i}" for i in range(1000)), b=Budget(LedgerKind.HELD, 100, linger_us=S))
    allocations = settle(allocator, {f"m{i}": 1 for i in range(500, 600)})
    assert sum(allocations.values()) == 100
    assert sum(allocations[f"m{i}"] for i in range(500, 600)) == 100
    other = Allocator({"b": Budget(LedgerKind.HELD, 100, linger_us=S)})
    other.load({member: allocator.row(member) for member in allocator.reported_budgets}, 0)
    assert other.ledgers["b"].charged(0) == 100
    assert len(other.row_budgets) == 100
    other.member_left("m550", 0)
    other.report("new", 0, {"b": Usage(0, 0, 5)}, 0)
    other.allocate(50, 0)
    assert other.ledgers["b"].charged(0) <= 100
    assert other.summaries(0)["b"][:2] == (100, other.ledgers["b"].charged(0))


def test_every_member_is_served_in_turn_when_the_total_is_smaller_than_the_number_of_members():
    allocator = make_allocator(*(f"m{i}" for i in range(1000)), b=Budget(LedgerKind.HELD, 100, floor=0))
    served = set()
    now = 0
    for number in range(1, 60):
        allocator.allocate(number, now)
        for member, allocated in list(allocator.ledgers["b"].allocations().items()):
            served |= {member} if allocated else set()
            allocator.report(member, number, {"b": Usage(0, allocated, 1)}, now)
        now += ROTATION_US // 2
    assert len(served) == 1000


def test_reserves_are_not_allocated_and_a_plan_shows_the_allocations():
    budget = Budget(LedgerKind.HELD, 60, reserve_per_member=2, max_members=10)
    assert sum(settle(make_allocator("a", "b", b=budget), {"a": 99}).values()) == 40
    assert plan_allocations(budget, {"a": 99, "b": 0}) == {"a": 39, "b": 1}


def test_a_ledger_opens_when_its_budget_is_reported_and_closes_when_nothing_is_charged():
    allocator = Allocator({"threads": Budget(LedgerKind.HELD, 10), "threads/7": Budget(LedgerKind.HELD, 3)})
    allocator.report("a", 0, {f"threads/{i}": Usage(0, 5, 5) for i in range(300)}, 0)
    allocator.allocate(1, 0, max_budgets=1000)
    assert allocator.ledgers["threads/8"].allocations() == {"a": 10}
    assert allocator.ledgers["threads/7"].allocations() == {"a": 3}
    allocator.report("a", 1, {"threads/7": Usage(0, 1, 1)}, 0)
    allocator.allocate(2, 0, max_budgets=1000)
    assert allocator.row("a")["threads/8"][0] == 0
    assert len(allocator.ledgers) == 300
    allocator.report("a", 2, {"threads/7": Usage(0, 1, 1)}, 0)
    allocator.allocate(3, 0, max_budgets=1000)
    assert set(allocator.ledgers) == {"threads/7"}
    assert set(allocator.row("a")) == {"threads/7"}
    allocator.member_left("a", 0, {})
    allocator.allocate(4, 0)
    assert not allocator.ledgers
    assert allocator.uncharged == {"a"}
    assert allocator.row("a") == {}


def test_the_row_of_a_member_that_has_left_is_written_with_the_write_that_passes_on_its_allocation():
    """Guards against stored rows that sum to more than the total while the row of that member stays."""
    allocator = Allocator({"threads": Budget(LedgerKind.HELD, 10, linger_us=S)})
    allocator.report("a", 0, {"threads/7": Usage(0, 6, 6)}, 0)
    allocator.allocate(1, 0)
    assert allocator.row("a") == {"threads/7": 10}
    allocator.member_left("a", 0, {"threads/7": Usage(2, 6, 6)})  # it left with two in use
    allocator.report("b", 0, {"threads/7": Usage(0, 10, 10)}, 0)
    changes = allocator.allocate(2, 0)
    assert list(changes) == ["a", "b"]
    assert changes["b"] == {"threads/7": 8}
    allocated, *_ = allocator.row("a")["threads/7"]
    assert allocated == 0
    assert allocator.allocate(3, 0) == {}
