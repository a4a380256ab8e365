"""Clients whose new commands are known to be rejected for the next milliseconds."""

from gullhold.admission.queued_command import QueuedCommand
from gullhold.admission_interface import KnownRejection, RejectedFlow

MAX_REJECTION_US = 50_000  # longest validity of an entry: a small part of any latency objective


class RejectionTable:
    """Known rejections by tenant, client and profile, at most max_entries of them.

    After a rejection a client's new commands would be rejected too, for about the time by which the rejected
    command would have been late. Reader threads look here first, so that clients that retry at once do not
    load the core's thread.

    Other threads read `entries`: an entry is replaced as a whole, never modified.
    """

    def __init__(self, max_entries: int) -> None:
        self.entries: dict[tuple[int, bytes, int | None], KnownRejection] = {}  # by RejectedFlow
        self._max_entries = max_entries

    def record(self, command: QueuedCommand, now_us: int, late_us: int) -> None:
        """Record a rejection without a Retry-After time; late_us: by how much the command would be late.

        A full table drops expired entries; if it stays full, nothing is recorded.
        """
        if len(self.entries) >= self._max_entries:
            self.entries = {
                flow: rejection for flow, rejection in self.entries.items() if rejection.until_us > now_us
            }
        if len(self.entries) >= self._max_entries:
            return
        rejected = RejectedFlow(command.tenant_queue.tenant, command.client, command.profile)
        until_us = now_us + min(late_us, MAX_REJECTION_US)
        self.entries[rejected] = KnownRejection(until_us, command.flow.retries.first_begin_us())
