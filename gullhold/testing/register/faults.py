"""Faults of the store server that a test requests."""

import time
from typing import Any

from gullhold.testing.register.store import Store


class Faults:
    """The faults that a test has requested; set() describes the names that a request uses.

    refuse_until, delay_until: monotonic times up to which connections are closed unread, and calls are
    delayed; delay_s: delay before a call is carried out; late_s: delay before its reply. lost_replies: number
    of coming writes that are carried out and not answered. stale_reads: number of coming reads that are
    answered with the state of `stale_by` revisions ago.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.refuse_until = 0.0
        self.delay_until = 0.0
        self.delay_s = 0.0
        self.late_s = 0.0
        self.lost_replies = 0
        self.stale_reads = 0
        self.stale_by = 0

    def set(self, store: Store, requested: dict[str, Any]) -> None:
        """Apply the faults of a request. Raises ValueError for an unknown name.

        refuse, delay: for how many s connections are closed unread, and calls and replies are delayed; lose:
        number of lost replies; stale: number of stale reads; behind: how many revisions old these are; drop:
        the store compacts its history; rate, early_s: as for Store; delay_s, late_s: as for this class.
        """
        for name, value in requested.items():
            self._set_one(store, name, value)

    def _set_one(self, store: Store, name: str, value: Any) -> None:
        match name:
            case "refuse":
                self.refuse_until = time.monotonic() + float(value)
            case "delay":
                self.delay_until = time.monotonic() + float(value)
            case "delay_s" | "late_s":
                setattr(self, name, value)
            case "lose":
                self.lost_replies = value
            case "stale":
                self.stale_reads = value
            case "behind":
                self.stale_by = value
            case "rate" | "early_s":
                setattr(store, name, value)
            case "drop":
                store.compact(store.revision)
            case _:
                raise ValueError(f"unknown fault: {name}")

    def is_refusing(self) -> bool:
        """Return whether connections are closed unread at the moment."""
        return time.monotonic() < self.refuse_until

    def delay_call(self) -> None:
        """Wait before a call is carried out, if a test has requested it."""
        if time.monotonic() < self.delay_until:
            time.sleep(self.delay_s)

    def delay_reply(self) -> None:
        """Wait before a reply, if a test has requested it."""
        if time.monotonic() < self.delay_until and self.late_s:
            time.sleep(self.late_s)

    def loses_reply(self) -> bool:
        """Return whether the reply to this write is to be dropped, and count it if so."""
        if self.lost_replies <= 0:
            return False
        self.lost_replies -= 1
        return True

    def next_read_stale_by(self) -> int:
        """Return how many revisions old the answer to this read is to be; 0: current."""
        if self.stale_reads <= 0:
            return 0
        self.stale_reads -= 1
        return self.stale_by
