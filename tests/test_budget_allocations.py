"""Tests what a member may spend of its allocations, what it requests, and when it reports."""

from budgeting import KIND, Clock, S, make_allocation, try_acquire

from gullhold.budgets.allocation import AllocationRule
from gullhold.budgets.allocations import Allocations
from gullhold.budgets.budget_schema import NO_USAGE, Usage
from gullhold.budgets.demand import IDLE_TIMEOUT_US, MemberDemand
from gullhold.budgets.ledger import LedgerKind
from gullhold.budgets.report_throttle import STALE_US, ReportThrottle
from gullhold.fleet.lease import Lease, LeaseTerms
from gullhold.interface import BudgetKind, Demand


def test_an_allocation_is_valid_while_its_lease_is_and_a_reduction_cancels_no_work():
    clock = Clock()
    allocations, allocation, lease = make_allocation(LedgerKind.HELD, clock, reserve=1, settle_us=S)
    assert try_acquire(allocation)
    assert not try_acquire(allocation)
    allocations.begin_lease(7)
    allocations.apply_write(7, 5, {"b/0": 3})
    assert try_acquire(allocation)
    assert try_acquire(allocation)
    assert try_acquire(allocation)
    assert not try_acquire(allocation)
    allocations.apply_write(7, 6, {"b/0": 1})
    assert allocation.in_use == 4
    assert not allocation.allows(1)
    assert allocations.was_reduced
    # In use: 4, of which 1 is of the reserve; peak 4; requested: the peak and a quarter of it.
    assert allocations.report(()) == {"b/0": Usage(3, 4, 5)}
    allocations.apply_write(7, 5, {"b/0": 9})  # an older write has no effect
    assert allocation.limit() == 2
    allocation.release(1)
    allocation.release(1)
    allocation.release(1, confirmed=False)
    assert allocation.used(clock.now) == 2
    assert allocation.used(S) == 1
    clock.now = S
    assert allocation.allows(1)
    lease.clear()
    assert allocation.limit() == allocation.available_reserve(clock.now) == 1
    assert not allocation.allows(1)
    lease.renew(8, S)  # what was read under the first lease is not valid under this one
    assert allocation.limit() == 1
    allocations.begin_lease(8)
    assert allocation.limit() == 1
    allocations.apply_write(8, 1, {"b/0": 4})
    assert allocation.limit() == 5


def test_a_fencing_token_taken_before_a_pause_is_invalid_when_the_lease_has_ended_meanwhile():
    clock = Clock()
    allocations, allocation, lease = make_allocation(LedgerKind.HELD, clock, reserve=1)
    allocations.begin_lease(7)
    allocations.apply_write(7, 1, {"b/0": 3})
    assert try_acquire(allocation, 2)
    before = allocations.fencing_token()
    assert allocations.token_valid(before)
    clock.now = 2000 * S  # the process was paused until after its lease
    assert not allocation.allows(1)
    assert not allocations.token_valid(before)  # nor does a refused amount make it valid again
    assert allocations.fencing_token() == 0
    assert allocations.token_valid(0)  # the token for what the reserve allows
    lease.renew(8, clock.now)
    allocations.begin_lease(8)
    assert not allocations.token_valid(before)


def test_a_windowed_allocation_limits_what_is_spent_in_any_window():
    clock = Clock()
    allocations, allocation, _ = make_allocation(
        LedgerKind.WINDOWED, clock, window_us=5 * S, reserve=1, reserve_after_us=3 * S
    )
    allocations.begin_lease(7)
    allocations.apply_write(7, 1, {"b/0": 2})
    assert try_acquire(allocation)
    clock.now = S
    assert try_acquire(allocation)
    assert not try_acquire(allocation)
    clock.now = 4 * S
    assert try_acquire(allocation)
    assert not try_acquire(allocation)
    clock.now = 5 * S
    assert try_acquire(allocation)
    assert allocations.report(())["b/0"][:2] == (2, 3)


def test_an_allocation_counts_as_used_when_it_is_too_small_for_one_command():
    allocations, allocation, _ = make_allocation(LedgerKind.HELD)
    allocations.begin_lease(7)
    allocations.apply_write(7, 1, {"b/0": 2})
    assert not allocation.allows(3)
    assert allocations.report((Demand(KIND, 0, 3),)) == {"b/0": Usage(0, 2, 3)}
    assert allocations.report(()) == {"b/0": NO_USAGE}


def test_the_allocation_of_an_engine_exists_while_the_engine_is_ready_or_work_is_in_use():
    clock = Clock()
    lease = Lease(LeaseTerms(1000, 0.0, 0))
    lease.renew(7, 0)
    allocations = Allocations(
        {(KIND, None): AllocationRule(LedgerKind.HELD, 10)}, lambda _, subject: f"t/{subject}", lease, clock
    )
    allocations.begin_lease(7)
    assert allocations(BudgetKind.MEMORY, 5) is None
    assert set(allocations.report((Demand(KIND, 5, 0), Demand(KIND, 6, 2)))) == {"t/5", "t/6"}
    allocations.apply_write(7, 1, {"t/5": 3, "t/6": 4})
    allocations(KIND, 6).acquire(1)
    assert set(allocations.report(())) == {"t/6"}
    assert allocations(KIND, 5).allocated == 3  # a new Allocation takes the amount of the last write
    allocations(KIND, 6).release(1)
    allocations.report(())
    assert allocations.report(()) == {}
    assert not allocations.allocations


def test_a_report_is_written_when_it_may_change_allocations():
    throttle = ReportThrottle(min_interval_us=1000)
    allocations = {"b": 10}
    assert throttle.should_write(0, 0, False, {"b": NO_USAGE}, allocations)
    throttle.record_report(0, 0, {"b": NO_USAGE})
    # The minimum interval has not passed.
    assert not throttle.should_write(500, 9, True, {"b": NO_USAGE}, allocations)
    assert throttle.should_write(1000, 9, True, {"b": NO_USAGE}, allocations)  # a reduction is acknowledged
    # The member requests 1, and its allocation of 10 is enough for that.
    assert not throttle.should_write(1000, 9, False, {"b": Usage(0, 1, 1)}, allocations)
    assert throttle.should_write(1000, 0, False, {"b": Usage(0, 9, 12)}, allocations)  # a burst
    throttle.record_report(1000, 0, {"b": Usage(12, 12, 15)})
    assert not throttle.should_write(2000, 0, False, {"b": Usage(12, 12, 15)}, allocations)
    assert throttle.should_write(2000, 0, False, {"b": Usage(11, 12, 15)}, allocations)  # released
    # It requests more than it has but has become mostly idle.
    assert throttle.should_write(2000, 0, False, {"b": Usage(12, 2, 15)}, allocations)
    assert throttle.should_write(2000, 0, False, {"b": Usage(12, 12, 15), "c": NO_USAGE}, allocations)
    throttle.reset()
    assert throttle.should_write(2000, 0, False, {"b": Usage(12, 12, 15)}, allocations)


def test_changed_use_is_reported_after_a_limited_time_when_it_changes_no_allocation():
    throttle = ReportThrottle(min_interval_us=1000)
    allocations = {"b": 10}
    throttle.record_report(0, 0, {"b": Usage(5, 5, 12)})  # at the start of a burst
    in_burst = {"b": Usage(9, 9, 12)}  # the request is unchanged, so no allocation changes
    assert not throttle.should_write(STALE_US - 1, 0, False, in_burst, allocations)
    assert throttle.should_write(STALE_US, 0, False, in_burst, allocations)
    hardly_changed = {"b": Usage(6, 6, 12)}
    assert not throttle.should_write(STALE_US, 0, False, hardly_changed, allocations)


def test_demand_without_use_is_credited_for_a_limited_time():
    demand = MemberDemand()
    demand.report(0, 100, 10, 0)
    assert demand.credited(0) == 100
    assert demand.credited(IDLE_TIMEOUT_US) == 0
    assert demand.due() == IDLE_TIMEOUT_US
    demand.report(6, 100, 10, IDLE_TIMEOUT_US)
    assert demand.credited(9 * IDLE_TIMEOUT_US) == 100
    assert demand.due() is None
