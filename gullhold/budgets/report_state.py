"""Decides when a member collects and reports its usage of budgets; no I/O. On the fleet's thread."""

from collections.abc import Mapping
from typing import NamedTuple

from gullhold.budgets.budget_schema import Usage, UsageReport
from gullhold.budgets.report_throttle import ReportThrottle
from gullhold.fleet.role_state import IDLE_STEP_US
from gullhold.fleet.store_calls import Proof, Reply

MIN_REPORT_INTERVAL_US = 50_000  # least us between two reports of one member
QUIET_INTERVALS = 5  # collection intervals to wait while no allocation runs out or has to be released


class CollectedUsage(NamedTuple):
    """Usage of all budgets, as collected on the core's thread.

    lease_id: the lease under which the allocations are valid; applied_write: number of their newest applied
    write; was_reduced: whether any allocation was reduced since the last collection; usage, allocations: by
    budget name.
    """

    lease_id: int
    applied_write: int
    was_reduced: bool
    usage: Mapping[str, Usage]
    allocations: Mapping[str, int]

    def has_excess(self) -> bool:
        """Whether more of any budget is in use than allocated: the excess still has to be released."""
        return any(row.in_use > self.allocations.get(name, 0) for name, row in self.usage.items())


class ReportState:
    """State of one member's reports. Times are us of a monotonic clock.

    lease_id: the lease that reports are for; revision: that of this member's stored report;
    is_row_requested: whether a read of this member's row was sent under this lease; was_reduced: whether a
    reduction is not acknowledged yet; is_leaving: whether a graceful shutdown has begun.
    """

    def __init__(self, collect_interval_us: int) -> None:
        """collect_interval_us: time between two collections while usage changes."""
        self.collect_interval_us = collect_interval_us
        self.throttle = ReportThrottle(MIN_REPORT_INTERVAL_US)
        self.lease_id = 0
        self.revision = 0
        self.is_row_requested = False
        self.is_writing = False
        self.was_reduced = False
        self.is_collecting = True  # CoreBudgets begins the first collection at the start
        self.collect_at = 0
        self.collected_at = 0
        self.is_leaving = False
        self.is_final_report_sent = False

    def begin_lease(self, lease_id: int) -> None:
        """Begin to report under a new lease, under which nothing has been reported yet."""
        self.lease_id = lease_id
        self.is_row_requested = False
        self.revision = 0
        self.throttle.reset()

    def due(self, now: int, has_writes: bool) -> int:
        """Return when to call should_collect() at the latest.

        has_writes: there are allocations to post to the core's thread.
        """
        if self.is_collecting:
            return now + IDLE_STEP_US
        return now if has_writes else self.collect_at

    def should_collect(self, now: int, has_writes: bool) -> bool:
        """Whether to collect now. has_writes: as in due()."""
        return not self.is_collecting and (has_writes or now >= self.collect_at)

    def collect_soon(self) -> None:
        """Collect as soon as the interval allows, because an allocation runs out."""
        self.collect_at = min(self.collect_at, self.collected_at + self.collect_interval_us)

    def usage_collected(
        self, now: int, collected: CollectedUsage, is_lease_valid: bool
    ) -> UsageReport | None:
        """Take collected usage; return the report to write now, if any.

        is_lease_valid: whether the lease of the membership certainly holds. A report under another lease than
        the usage, or after the final report, would be wrong.
        """
        self._schedule_next(now, collected)
        if collected.lease_id != self.lease_id or not is_lease_valid or self.is_final_report_sent:
            return None
        usage = collected.usage
        if self.is_leaving:
            usage = {name: row._replace(requested=0) for name, row in usage.items()}
        if self.is_writing or not self.throttle.should_write(
            now, collected.applied_write, self.was_reduced, usage, collected.allocations
        ):
            return None
        self.throttle.record_report(now, collected.applied_write, usage)
        self.was_reduced = False
        self.is_writing = True
        return UsageReport(collected.applied_write, usage)

    def _schedule_next(self, now: int, collected: CollectedUsage) -> None:
        self.is_collecting = False
        self.was_reduced = self.was_reduced or collected.was_reduced
        is_busy = self.was_reduced or self.is_leaving or collected.has_excess()
        self.collected_at = now
        self.collect_at = now + self.collect_interval_us * (1 if is_busy else QUIET_INTERVALS)

    def report_written(self, lease_id: int, reply: Reply) -> bool:
        """Take the reply to the write of a report; return whether to read this member's row now."""
        self.is_writing = False
        if lease_id != self.lease_id:
            return False
        if reply.proof != Proof.DONE or not reply.succeeded:
            # The stored report differs from what was expected, or it is unknown whether the write was carried
            # out: the next write reports everything, on the condition of the revision that the reply states.
            self.revision = reply.items[0].revision if reply.items else 0
            self.throttle.reset()
            return False
        self.revision = reply.revision
        if self.is_row_requested:
            return False
        self.is_row_requested = True
        return True

    def row_read_failed(self) -> None:
        """Have this member's row read again after the next report, because the read failed."""
        self.is_row_requested = False
        self.throttle.reset()
