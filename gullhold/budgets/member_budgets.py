"""Connects a member's budgets on the core's thread with the fleet's thread and the store.

The core's thread spends and counts (`core_budgets`); the fleet's thread posts allocations to it and receives
the collected usage. The allocator's role runs on the fleet's thread, with a lane of its own for its calls, so
that they do not wait for the member's calls.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from gullhold.budgets.allocations import Allocations
from gullhold.budgets.allocator_role import ROLE, AllocatorRole
from gullhold.budgets.budget_rules import build_rules, subject_budget_name, tenant_names
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
from gullhold.interface import Agreement

if TYPE_CHECKING:
    from gullhold.fleet.driver import FleetMember
    from gullhold.fleet.lane import Lane
    from gullhold.fleet.watcher import Watcher
    from gullhold.operator.records import FleetRecord

REPORT_LANE = "reports"
LANES = (REPORT_LANE, ROLE)  # the member's calls and the allocator's do not wait for each other
FINAL_REPORT_ROLE = ROLE + "/spent"  # set as busy, so that the membership outlasts the final report


class MemberBudgets:
    """One member's budgets, and the allocator if this member leads its role. On the fleet's thread."""

    def __init__(
        self,
        fleet_member: "FleetMember",
        record: "FleetRecord",
        agreement: Agreement,
        clock: Callable[[], int],
    ) -> None:
        """record: the fleet's record in the operator file. clock: monotonic us. Raises BudgetRuleError."""
        self.fleet_member = fleet_member
        self.core = fleet_member.core
        self.clock = clock
        rules = build_rules(record.budgets, agreement, record.drift.rate)
        tenants = tenant_names(agreement)
        self.allocations = Allocations(
            rules.allocations,
            lambda kind, subject: subject_budget_name(kind, subject, tenants),
            fleet_member.membership.lease,
            clock,
            on_shortage=lambda: fleet_member.post(self.reports.collect_soon),
        )
        fleet_member.role_states[ROLE] = AllocatorRole(rules.budgets)
        self.reports = ReportState(record.look)
        self.row: dict[str, int] = {}  # allocations by budget name, as last read
        self.unapplied_writes: list[AllocationWrite] = []  # not posted to the core's thread yet
        self.core_budgets = CoreBudgets(
            fleet_member.core,
            self.allocations,
            lambda collected: fleet_member.post(self._usage_collected, collected),
        )

    def start(self, watch: "Callable[..., Watcher]") -> None:
        """Watch this member's row, and the reports for the allocator's role. watch: returns a Watcher."""
        prefix = f"{ALLOCATIONS}{self.fleet_member.name}/"
        self._row_watcher = watch("parts", prefix, self._row_changed, self._read_row)
        self.fleet_member.watch_role(ROLE, "reports", REPORTS)

    def may_call_discovery(self) -> bool:
        """Whether the discovery service may be called now; for the thread that reads the endpoint list."""
        return self.core_budgets.may_call_discovery()

    def due(self, now: int) -> int:
        """Return when to step() at the latest."""
        return self.reports.due(now, bool(self.unapplied_writes))

    def step(self, now: int) -> None:
        """Begin a new lease, collect usage or send the final report, whichever is due."""
        lease = self.fleet_member.membership.lease
        if lease.id and lease.id != self.reports.lease_id:
            self.reports.begin_lease(lease.id)
            self.row = {}
            self.unapplied_writes.append(AllocationWrite(lease.id, 0, {}))
        if self.reports.should_collect(now, bool(self.unapplied_writes)):
            writes = self.unapplied_writes
            self.unapplied_writes = []
            self.reports.is_collecting = True
            self.core_budgets.apply(writes)
        if self.reports.is_leaving and self.core.has_ended and not self.reports.is_final_report_sent:
            self._send_final_report()

    def leave(self) -> None:
        """Begin a graceful shutdown: the lease is kept until the final report is written."""
        self.reports.is_leaving = True
        if not self.reports.is_final_report_sent:
            self.fleet_member.membership.set_busy(FINAL_REPORT_ROLE, True)

    def _usage_collected(self, collected: CollectedUsage) -> None:
        now = self.clock()
        is_lease_valid = self.fleet_member.membership.lease.is_valid(now)
        report = self.reports.usage_collected(now, collected, is_lease_valid)
        if report is not None:
            lease_id = self.reports.lease_id
            self._report_lane().submit(self._report_call(report, lease_id), self._report_written, lease_id)

    def _report_lane(self) -> "Lane":
        return self.fleet_member.lanes[REPORT_LANE]

    def _member_key(self) -> str:
        return f"{self.fleet_member.name}/{self.reports.lease_id:x}"

    def _report_call(self, report: UsageReport, lease_id: int) -> Transaction:
        """Return the write of a report.

        It is conditional on the revision of the last report, so that a call that was given up and is carried
        out late can't overwrite a newer report.
        """
        key = REPORTS + self._member_key()
        write = Put(key, encode_report(report), lease_id)
        return Transaction(((key, self.reports.revision),), (write,), (Get(key),))

    def _send_final_report(self) -> None:
        """Write the final report: what may still be running, and what was spent within a window.

        Called after the core's thread has ended, so that nothing more is spent. The report is not attached to
        the lease, so that it remains until the allocator has read it.
        """
        self.reports.is_final_report_sent = True
        allocations = self.allocations
        if self.reports.is_row_requested and allocations.lease_id == self.reports.lease_id:
            report = UsageReport(allocations.applied_write, allocations.report(()), has_left=True)
            self._report_lane().submit(self._report_call(report, 0), self._final_report_written)
        else:
            self._final_report_written(None)

    def _final_report_written(self, _reply: Reply | None) -> None:
        """Let the lease end. If the final report was refused, the allocator treats this member as killed."""
        self.fleet_member.membership.set_busy(FINAL_REPORT_ROLE, False)

    def _report_written(self, lease_id: int, reply: Reply) -> None:
        if self.reports.report_written(lease_id, reply):
            self._read_row()

    def _read_row(self) -> None:
        """Read this member's row, after it has joined or after changes of the row were missed."""
        request = ReadPrefix(f"{ALLOCATIONS}{self._member_key()}")
        self._report_lane().submit(request, self._row_read, self.reports.lease_id)

    def _row_read(self, lease_id: int, reply: Reply) -> None:
        if lease_id != self.reports.lease_id:
            return
        if reply.proof != Proof.DONE:
            self.reports.row_read_failed()
            return
        self._row_watcher.watch_from(reply.revision + 1)
        for item in reply.items:
            self._row_changed(item.key, item.value, item.revision)

    def _row_changed(self, key: str, value: str | None, _revision: int) -> None:
        """Take a change of a row under this member's name; rows of its earlier leases are ignored."""
        if value is None or key != ALLOCATIONS + self._member_key():
            return
        write, entries = decode_row(value)
        row = {name: allocated_amount(packed) for name, packed in entries.items()}
        if row != self.row:
            self._log_row(write, row)
        self.row = row
        self.unapplied_writes.append(AllocationWrite(self.reports.lease_id, write, row))

    def _log_row(self, write: int, row: dict[str, int]) -> None:
        changed = {}
        for name in self.row.keys() | row.keys():
            if row.get(name, 0) != self.row.get(name, 0):
                changed[name] = row.get(name, 0)
        self.fleet_member.log_event("debug", "allocations changed", write=write, allocations=changed)
