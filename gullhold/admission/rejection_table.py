"""Flows whose new commands are known to be rejected for a moment."""

from gullhold.admission.queued_command import QueuedCommand
from gullhold.admission_interface import KnownRejection, RejectedFlow

MAX_REJECTION_US = 50_000  # longest time of an entry: little of any latency objective


class RejectionTable:
    """Known rejections by flow, at most max_entries of them.

    Until a flow's queue has drained by a rejected command's lateness, its new commands would be rejected
    alike. Reader threads look here first, which relieves the core's thread of clients that retry at once.

    entries is read by other threads: an entry is replaced as one object, never changed.
    """

    def __init__(self, max_entries: int) -> None:
        self.entries: dict[tuple[int, bytes, int | None], KnownRejection] = {}  # by RejectedFlow
        self._max_entries = max_entries

    def record(self, command: QueuedCommand, now_us: int, late_us: int) -> None:
        """Record a rejection without a Retry-After time; late_us: by how much it would be too late."""
        if len(self.entries) >= self._max_entries:
            self.entries = {
                flow: rejection for flow, rejection in self.entries.items() if rejection.until_us > now_us
            }
        if len(self.entries) >= self._max_entries:
            return
        rejected = RejectedFlow(command.tenant_queue.tenant, command.client, command.profile)
        until_us = now_us + min(late_us, MAX_REJECTION_US)
        self.entries[rejected] = KnownRejection(until_us, command.flow.retries.first_begin_us())
