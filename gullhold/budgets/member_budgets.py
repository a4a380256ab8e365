"""A member's budgets, carried out: what passes between the fleet's thread, the core and the store.

The core's thread spends and counts (`core_budgets`); the fleet's thread posts to it what was read, and takes
what was counted. The allocator's role runs on the fleet's thread, its calls on a lane of their own.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from gullhold.budgets.allocations import Allocations
from gullhold.budgets.allocator_role import ROLE, AllocatorRole
from gullhold.budgets.budget_rules import budget_label, build_rules, tenant_names
from gullhold.budgets.budget_schema import (
    ALLOCATIONS,
    REPORTS,
    UsageReport,
    allocated_amount,
    decode_row,
    encode_report,
)
from gullhold.budgets.core_budgets import AllocationWrite, CoreBudgets
from gullhold.budgets.report_state import CollectedUsage, ReportState
from gullhold.fleet.store_calls import Get, Proof, Put, ReadPrefix, Reply, Transaction
from gullhold.fleet.watch import Watcher
from gullhold.interface import Agreement

if TYPE_CHECKING:
    from gullhold.fleet.driver import Fleet, Lane
    from gullhold.operator.records import FleetRecord

REPORT_LANE = "reports"
LANES = (REPORT_LANE, ROLE)  # of calls to the store: neither waits for the other
GIVING_BACK = ROLE + "/spent"  # what keeps the membership from ending until the last report is written


class MemberBudgets:
    """One member's side, and the allocator's where this member leads that role. On the fleet's thread."""

    def __init__(
        self, fleet: "Fleet", record: "FleetRecord", agreement: Agreement, clock: Callable[[], int]
    ) -> None:
        """record: the operator's; raises BudgetRuleError. clock: monotonic us."""
        self.fleet = fleet
        self.core = fleet.core
        rules = build_rules(record.budgets, agreement, record.drift.rate)
        tenants = tenant_names(agreement)
        self.allocations = Allocations(
            rules.allocations,
            lambda kind, subject: budget_label(kind, subject, tenants),
            fleet.membership.lease,
            clock,
            on_shortage=lambda: fleet.queue.put(("rush",)),
        )
        fleet.held[ROLE] = AllocatorRole(rules.budgets)
        self.reports = ReportState(record.look)
        self.row: dict[str, int] = {}  # allocations by budget name, as last read
        self.unapplied: list[AllocationWrite] = []  # that the core's thread does not know yet
        self.core_budgets = CoreBudgets(
            fleet.core, self.allocations, lambda collected: fleet.queue.put(("counted", collected))
        )

    def start(self, watch: Callable[..., Watcher]) -> None:
        """Follow our row, and the reports where this member leads the allocator's role."""
        self.row_watcher = watch("parts", f"{ALLOCATIONS}{self.fleet.name}/", "row_changed")
        self.fleet.watchers[ROLE] = watch("reports", REPORTS, "duty_changed", ROLE)

    def may_call_discovery(self) -> bool:
        """Whether the discovery service may be called now. On the thread that follows the endpoint list."""
        return self.core_budgets.may_call_discovery()

    def due(self, now: int) -> int:
        """Return when to step() at the latest."""
        return self.reports.due(now, bool(self.unapplied))

    def step(self, now: int) -> None:
        """Begin to collect usage when that is due."""
        lease = self.fleet.membership.lease
        if lease.id and lease.id != self.reports.lease_id:
            self.reports.begin_lease(lease.id)
            self.row = {}
            self.unapplied.append(AllocationWrite(lease.id, 0, {}))
        if self.reports.should_collect(now, bool(self.unapplied)):
            writes = self.unapplied
            self.unapplied = []
            self.reports.is_collecting = True
            self.core_budgets.apply(writes)
        if self.reports.is_leaving and self.core.ended and not self.reports.has_given_back:
            self._give_back()

    def rush(self) -> None:
        """An allocation runs out: collect usage as soon as may be."""
        self.reports.hasten()

    def leave(self) -> None:
        """Leave in good order: the lease is kept until everything is given back."""
        self.reports.is_leaving = True
        if not self.reports.has_given_back:
            self.fleet.membership.set_busy(GIVING_BACK, True)

    def counted(self, now: int, collected: CollectedUsage) -> None:
        """Take in what the core's thread collected."""
        is_lease_valid = self.fleet.membership.lease.is_valid(now)
        report = self.reports.collected(now, collected, is_lease_valid)
        if report:
            lease_id = self.reports.lease_id
            self._report_lane().put(self._report_call(report, lease_id), "reported", lease_id)

    def _report_lane(self) -> "Lane":
        return self.fleet.lanes[REPORT_LANE]

    def _member_key(self) -> str:
        return f"{self.fleet.name}/{self.reports.lease_id:x}"

    def _report_call(self, report: UsageReport, lease_id: int) -> Transaction:
        """Compared with the last one: a call that was abandoned can't replace a newer report by an older."""
        key = REPORTS + self._member_key()
        write = Put(key, encode_report(report), lease_id)
        return Transaction(((key, self.reports.revision),), (write,), (Get(key),))

    def _give_back(self) -> None:
        """Write the last report: what may still run, and what was spent within a window.

        The core's thread has ended, so nothing is spent any more. The report is not attached to the lease:
        it stays until the allocator has read it.
        """
        self.reports.has_given_back = True
        allocations = self.allocations
        if self.reports.is_row_read and allocations.lease_id == self.reports.lease_id:
            report = UsageReport(allocations.seen_write, allocations.report(()), has_left=True)
            self._report_lane().put(self._report_call(report, 0), "gave_back")
        else:
            self.gave_back(None)

    def gave_back(self, _reply: Reply | None) -> None:
        """The lease may end. A last report that was refused counts as that of a member that was killed."""
        self.fleet.membership.set_busy(GIVING_BACK, False)

    def reported(self, lease_id: int, reply: Reply) -> None:
        """Take in the reply to a report."""
        if self.reports.written(lease_id, reply):
            self._read_row()

    def _read_row(self) -> None:
        request = ReadPrefix(f"{ALLOCATIONS}{self._member_key()}")
        self._report_lane().put(request, "rows_read", self.reports.lease_id)

    def rows_read(self, lease_id: int, reply: Reply) -> None:
        """Take in our row as it was when we joined, or when changes were missed."""
        if lease_id != self.reports.lease_id:
            return
        if reply.proof != Proof.DONE:
            self.reports.row_read_failed()
            return
        self.row_watcher.follow(reply.revision + 1)
        for item in reply.items:
            self.row_changed(item.key, item.value, item.revision)

    def row_changed(self, key: str, value: str | None, _revision: int) -> None:
        """Take in a change of a row under our name."""
        if value is None or key != ALLOCATIONS + self._member_key():
            return
        write, entries = decode_row(value)
        row = {name: allocated_amount(packed) for name, packed in entries.items()}
        if row != self.row:
            self._log_row(write, row)
        self.row = row
        self.unapplied.append(AllocationWrite(self.reports.lease_id, write, row))

    def _log_row(self, write: int, row: dict[str, int]) -> None:
        changed = {}
        for name in self.row.keys() | row.keys():
            if row.get(name, 0) != self.row.get(name, 0):
                changed[name] = row.get(name, 0)
        self.fleet.event("debug", "parts", write=write, parts=changed)

    def row_missed(self) -> None:
        """Changes of our row were missed."""
        self._read_row()
