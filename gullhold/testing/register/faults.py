"""Faults of the store server that a test's script asks for."""

import time
from typing import Any

from gullhold.testing.register.store import Store


class Faults:
    """What a script has asked for. Names of the script are those of set().

    refuse_until, delay_until: monotonic times up to which connections are closed unread, and calls are
    delayed; delay_s: before a call is carried out; late_s: before its reply. lost_replies: writes that are
    still to be carried out and not answered. stale_reads: reads that are still to be answered as of
    `stale_by` changes ago.
    """

    def __init__(self) -> None:
        """No faults."""
        self.refuse_until = 0.0
        self.delay_until = 0.0
        self.delay_s = 0.0
        self.late_s = 0.0
        self.lost_replies = 0
        self.stale_reads = 0
        self.stale_by = 0

    def set(self, store: Store, requested: dict[str, Any]) -> None:
        """Take over what a script asks for. Raises ValueError for names that are not known."""
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
                raise ValueError(f"no such fault: {name}")

    def is_refusing(self) -> bool:
        """Whether connections are closed unread now."""
        return time.monotonic() < self.refuse_until

    def delay_call(self) -> None:
        """Wait before a call is carried out, where that is asked for."""
        if time.monotonic() < self.delay_until:
            time.sleep(self.delay_s)

    def delay_reply(self) -> None:
        """Wait before a reply, where that is asked for."""
        if time.monotonic() < self.delay_until and self.late_s:
            time.sleep(self.late_s)

    def loses_reply(self) -> bool:
        """Whether the reply to a write is lost; counted if so."""
        if self.lost_replies <= 0:
            return False
        self.lost_replies -= 1
        return True

    def next_read_stale_by(self) -> int:
        """How many changes ago the next read is to show."""
        if self.stale_reads <= 0:
            return 0
        self.stale_reads -= 1
        return self.stale_by
