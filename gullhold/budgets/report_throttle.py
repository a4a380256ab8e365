"""Decides whether a member's report is worth a write to the store. Performs no I/O."""

from collections.abc import Mapping

from gullhold.budgets.budget_schema import Usage
from gullhold.budgets.demand import is_mostly_idle

MIN_CHANGE = 0.1  # fraction of what was reported or allocated; smaller changes are not written
STALE_US = 2_000_000  # us until changed use is reported even if it affects no allocation, for operators


class ReportThrottle:
    """Lets the first report through, then those that may change allocations or that operators should see."""

    def __init__(self, min_interval_us: int) -> None:
        """min_interval_us: least time between two reports."""
        self.min_interval_us = min_interval_us
        self.last_usage: dict[str, Usage] | None = None
        self.last_applied_write = 0
        self.last_written_at = 0

    def reset(self) -> None:
        """Let the next report through, as for a new lease or after a failed write."""
        self.last_usage = None
        self.last_applied_write = 0

    def should_write(
        self,
        now: int,
        applied_write: int,
        was_reduced: bool,
        usage: Mapping[str, Usage],
        allocations: Mapping[str, int],
    ) -> bool:
        """Whether to write a report now.

        applied_write: number of the newest write of allocations that the member has applied; was_reduced:
        whether a write since the last report has lowered any allocation; usage, allocations: by budget name.
        """
        if self.last_usage is None:
            return True
        if now < self.last_written_at + self.min_interval_us:
            return False
        if was_reduced and applied_write > self.last_applied_write:  # the allocator waits for this
            return True
        if set(usage) != set(self.last_usage):
            return True
        is_stale = now >= self.last_written_at + STALE_US
        return any(
            self._is_changed(new, self.last_usage[name], allocations.get(name, 0), is_stale)
            for name, new in usage.items()
        )

    def record_report(self, now: int, applied_write: int, usage: Mapping[str, Usage]) -> None:
        """Record the report that is written now."""
        self.last_usage = dict(usage)
        self.last_applied_write = applied_write
        self.last_written_at = now

    @staticmethod
    def _is_changed(new: Usage, old: Usage, allocated: int, is_stale: bool) -> bool:
        """Whether the usage of one budget has changed so that the allocator or operators should know.

        Changed use with an unchanged request is reported after STALE_US: otherwise the store would show the
        use from before a burst for as long as the burst lasts. This costs at most one write in that time.
        """
        is_released = new.in_use < old.in_use and old.in_use > allocated
        if is_released:
            return True
        idle_changed = is_mostly_idle(new.peak, allocated) != is_mostly_idle(old.peak, allocated)
        if new.requested > allocated and idle_changed:
            return True
        if abs(new.requested - old.requested) > MIN_CHANGE * max(old.requested, allocated):
            return True
        return is_stale and abs(new.peak - old.peak) > MIN_CHANGE * max(old.peak, allocated)
