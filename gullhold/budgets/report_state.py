"""When a member collects its usage of budgets and reports it. Decisions only, on the fleet's thread."""

from collections.abc import Mapping
from typing import NamedTuple

from gullhold.budgets.budget_schema import Usage, UsageReport
from gullhold.budgets.report_throttle import ReportThrottle
from gullhold.fleet.role_state import IDLE_STEP_US
from gullhold.fleet.store_calls import Proof, Reply

MIN_REPORT_INTERVAL_US = 50_000  # us between reports of one member
QUIET_INTERVALS = 5  # intervals between collections while no allocation runs out or has to be released


class CollectedUsage(NamedTuple):
    """Usage as the core's thread collected it.

    lease_id, applied_write: lease and newest applied write of the allocations; was_reduced: whether any
    allocation was reduced since the last collection; usage, allocations: by budget name.
    """

    lease_id: int
    applied_write: int
    was_reduced: bool
    usage: Mapping[str, Usage]
    allocations: Mapping[str, int]

    def has_excess(self) -> bool:
        """Whether more of any budget is in use than allocated, and still has to be released."""
        return any(row.in_use > self.allocations.get(name, 0) for name, row in self.usage.items())


class ReportState:
    """State of one member's reports. Times are us of a monotonic clock.

    lease_id: the lease that reports are for; revision: of our report in the store; is_row_read: whether a
    read of our row was sent under this lease; was_reduced: whether a reduction is not acknowledged yet.
    """

    def __init__(self, collect_interval_us: int) -> None:
        """collect_interval_us: between collections while usage changes."""
        self.collect_interval_us = collect_interval_us
        self.throttle = ReportThrottle(MIN_REPORT_INTERVAL_US)
        self.lease_id = 0
        self.revision = 0
        self.is_row_read = False
        self.is_writing = False
        self.was_reduced = False
        self.is_collecting = True  # CoreBudgets begins the first collection at the start
        self.collect_at = 0
        self.collected_at = 0
        self.is_leaving = False
        self.has_given_back = False

    def begin_lease(self, lease_id: int) -> None:
        """Begin a lease, under which nothing has been reported yet."""
        self.lease_id = lease_id
        self.is_row_read = False
        self.revision = 0
        self.throttle.reset()

    def due(self, now: int, has_writes: bool) -> int:
        """Return when to call should_collect() at the latest."""
        if self.is_collecting:
            return now + IDLE_STEP_US
        return now if has_writes else self.collect_at

    def should_collect(self, now: int, has_writes: bool) -> bool:
        """Whether to collect now. has_writes: there are allocations to post to the core's thread."""
        return not self.is_collecting and (has_writes or now >= self.collect_at)

    def hasten(self) -> None:
        """Collect as soon as the interval allows, as an allocation runs out."""
        self.collect_at = min(self.collect_at, self.collected_at + self.collect_interval_us)

    def collected(self, now: int, collected: CollectedUsage, is_lease_valid: bool) -> UsageReport | None:
        """Take collected usage; return the report to write now, if any."""
        self._schedule_next(now, collected)
        if collected.lease_id != self.lease_id or not is_lease_valid or self.has_given_back:
            return None
        usage = collected.usage
        if self.is_leaving:
            usage = {name: row._replace(requested=0) for name, row in usage.items()}
        if self.is_writing or not self.throttle.should_write(
            now, collected.applied_write, self.was_reduced, usage, collected.allocations
        ):
            return None
        self.throttle.written(now, collected.applied_write, usage)
        self.was_reduced = False
        self.is_writing = True
        return UsageReport(collected.applied_write, usage)

    def _schedule_next(self, now: int, collected: CollectedUsage) -> None:
        self.is_collecting = False
        self.was_reduced = self.was_reduced or collected.was_reduced
        is_busy = self.was_reduced or self.is_leaving or collected.has_excess()
        self.collected_at = now
        self.collect_at = now + self.collect_interval_us * (1 if is_busy else QUIET_INTERVALS)

    def written(self, lease_id: int, reply: Reply) -> bool:
        """Take the reply to a report's write; return whether our row is to be read now."""
        self.is_writing = False
        if lease_id != self.lease_id:
            return False
        if reply.proof != Proof.DONE or not reply.succeeded:
            # Compare with the stored revision from now on, and report everything again.
            self.revision = reply.items[0].revision if reply.items else 0
            self.throttle.reset()
            return False
        self.revision = reply.revision
        if self.is_row_read:
            return False
        self.is_row_read = True
        return True

    def row_read_failed(self) -> None:
        """Have our row read again with the next report, as it could not be read."""
        self.is_row_read = False
        self.throttle.reset()
