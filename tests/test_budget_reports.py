"""Tests when a member collects and reports its usage, and the rules made of the operator file's budgets."""

from types import SimpleNamespace

import pytest

from gullhold.budgets.allocation import AllocationRule
from gullhold.budgets.allocator import Budget
from gullhold.budgets.budget_rules import BudgetRuleError, budget_name, build_rules, subject_budget_name
from gullhold.budgets.budget_schema import Usage, UsageReport
from gullhold.budgets.ledger import LedgerKind
from gullhold.budgets.report_state import QUIET_INTERVALS, CollectedUsage, ReportState
from gullhold.fleet.store_calls import KeyValue, Proof, Reply
from gullhold.interface import BudgetKind

S = 1_000_000  # us
COLLECT_INTERVAL_US = 100_000  # us between collections while usage changes


def reporting_state(lease_id=7):
    """Return the state of a member that has a lease and whose first collection is under way."""
    state = ReportState(COLLECT_INTERVAL_US)
    state.begin_lease(lease_id)
    return state


def collected(in_use=0, peak=0, requested=0, allocated=10, **other):
    """Return the usage that a collection found, with one budget, `b/0`. other: further fields."""
    usage = {"b/0": Usage(in_use, peak, requested)}
    fields = {"lease_id": 7, "applied_write": 0, "was_reduced": False} | other
    return CollectedUsage(usage=usage, allocations={"b/0": allocated}, **fields)


def test_the_row_is_read_once_after_the_first_report_is_written():
    state = reporting_state()
    report = state.usage_collected(0, collected(), True)
    assert report == UsageReport(0, {"b/0": Usage(0, 0, 0)})
    # The first report is still being written.
    assert state.usage_collected(S, collected(peak=9, requested=12), True) is None
    assert state.report_written(7, Reply(Proof.DONE, 5))
    assert state.revision == 5
    assert state.usage_collected(2 * S, collected(peak=9, requested=12), True)
    assert not state.report_written(7, Reply(Proof.DONE, 6))
    assert state.revision == 6


def test_a_report_is_written_again_with_the_stored_revision_when_its_condition_failed():
    state = reporting_state()
    assert state.usage_collected(0, collected(), True)
    stored = KeyValue("budget/asks/a/7", "{}", 4)
    assert not state.report_written(7, Reply(Proof.DONE, 9, succeeded=False, items=(stored,)))
    assert state.revision == 4
    assert not state.is_row_requested
    assert state.usage_collected(S, collected(), True)
    assert not state.report_written(7, Reply(Proof.UNKNOWN))
    assert state.revision == 0
    assert state.usage_collected(2 * S, collected(), True)


def test_nothing_is_reported_when_the_usage_is_of_another_lease_or_no_lease_is_valid():
    state = reporting_state()
    assert state.usage_collected(0, collected(lease_id=6), True) is None
    assert state.usage_collected(0, collected(), False) is None
    assert state.usage_collected(0, collected(), True)
    state.begin_lease(8)
    assert not state.report_written(7, Reply(Proof.DONE, 5))
    assert state.revision == 0


def test_usage_is_collected_rarely_while_idle_and_soon_when_something_changes():
    state = reporting_state()
    assert not state.should_collect(S, True)  # a collection is under way
    state.usage_collected(0, collected(), True)
    assert state.due(0, False) == COLLECT_INTERVAL_US * QUIET_INTERVALS
    assert state.due(0, True) == 0
    assert not state.should_collect(COLLECT_INTERVAL_US, False)
    assert state.should_collect(COLLECT_INTERVAL_US, True)
    state.collect_soon()
    assert state.should_collect(COLLECT_INTERVAL_US, False)
    state.usage_collected(S, collected(in_use=12), True)  # more in use than is allocated
    assert state.due(S, False) == S + COLLECT_INTERVAL_US
    # The allocator does not know yet that the reduction is applied: a report is still being written.
    state.usage_collected(2 * S, collected(was_reduced=True), True)
    state.usage_collected(3 * S, collected(), True)
    assert state.due(3 * S, False) == 3 * S + COLLECT_INTERVAL_US


def test_a_leaving_member_requests_nothing_and_stops_reporting_after_its_final_report():
    state = reporting_state()
    state.is_leaving = True
    assert state.usage_collected(0, collected(3, 3, 9), True).usage == {"b/0": Usage(3, 3, 0)}
    state.report_written(7, Reply(Proof.DONE, 5))
    state.is_final_report_sent = True
    assert state.usage_collected(S, collected(0, 0, 0), True) is None


def record(kind_name, tenant="", **other):
    """Return a record of a budget as in the operator file, of the kind with this name."""
    fields = {"whole": 10, "window": 0, "linger": 0, "alone": 0, "members": 0, "floor": 1, "grain": 1} | other
    return SimpleNamespace(of=kind_name, tenant=tenant, **fields)


def agreement(tenants=("t0", "t1")):
    """Return the part of an agreement that build_rules() reads."""
    return SimpleNamespace(
        tenants=[SimpleNamespace(name=name) for name in tenants],
        profiles=[SimpleNamespace(name="p0", timeout_us=3 * S), SimpleNamespace(name="p1", timeout_us=S)],
        retry_budget_window_us=2 * S,
        overload_window_us=0,
    )


def test_times_of_rules_are_extended_by_the_clock_drift_and_rules_are_keyed_by_subject():
    records = [record("threads", alone=1, members=3), record("further"), record("share")]
    budgets, allocations = build_rules(records, agreement(), 0.5)
    assert budgets["threads"] == Budget(LedgerKind.HELD, 10, 0, 6 * S, 1, 3)
    assert budgets["further"] == Budget(LedgerKind.WINDOWED, 10, 3 * S, 6 * S)
    assert allocations == {
        (BudgetKind.THREADS, None): AllocationRule(LedgerKind.HELD, 10, 0, 750_000, 1, 6 * S),
        (BudgetKind.RETRIES, 0): AllocationRule(LedgerKind.WINDOWED, 10, 3 * S, 750_000, 0, 3 * S),
        (BudgetKind.TRAFFIC_SHARE, 0): AllocationRule(LedgerKind.WEIGHT, 10, 0, 750_000, 0, 6 * S),
    }


def test_the_budget_of_one_tenant_overrides_that_of_all_tenants():
    records = [record("open", "t1", whole=3), record("open", linger=S)]
    budgets, allocations = build_rules(records, agreement(), 0.0)
    assert {name: budget.total for name, budget in budgets.items()} == {"open": 10, "open/t1": 3}
    totals = {subject: rule.total for (_, subject), rule in allocations.items()}
    assert totals == {0: 10, 1: 3}
    assert (
        budget_name(records[0]) == subject_budget_name(BudgetKind.OPEN_COMMANDS, 1, ["t0", "t1"]) == "open/t1"
    )
    _, by_profile = build_rules([record("open")], agreement(tenants=()), 0.0)
    assert set(by_profile) == {(BudgetKind.OPEN_COMMANDS, 0), (BudgetKind.OPEN_COMMANDS, 1)}


@pytest.mark.parametrize(
    "invalid_record, reason",
    [(record("cold"), "states a window"), (record("open", "nobody"), "no tenant of")],
)
def test_a_budget_is_rejected_with_a_reason_when_it_does_not_fit_the_agreement(invalid_record, reason):
    with pytest.raises(BudgetRuleError, match=reason):
        build_rules([invalid_record], agreement(), 0.0)
