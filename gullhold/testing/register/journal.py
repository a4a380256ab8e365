"""The journal of the store server: a JSON line for each lease and transaction, refused ones too.

A checker reads it. It knows nothing of what keys mean.
"""

import json
import threading
import time
from typing import Any, TextIO

from gullhold.testing.register.store_types import DeleteKeys, PutKey, StoredKey, StoreOperation


class Journal:
    """Appends lines to a file; lines None: there is no journal."""

    def __init__(self, lines: TextIO | None) -> None:
        """lines: open for appending."""
        self._lines = lines
        self._lock = threading.Lock()

    def write(self, event: str, **facts: Any) -> None:
        """Write one line."""
        if self._lines is None:
            return
        with self._lock:
            self._lines.write(json.dumps({"at": time.time(), "what": event, **facts}) + "\n")
            self._lines.flush()

    def write_start(self, revision: int, keys: dict[bytes, StoredKey]) -> None:
        """Write what the store holds: a kill may have come between a change and its line."""
        rows = [
            [key.decode(), item.value.decode(), item.mod_revision, item.lease] for key, item in keys.items()
        ]
        self.write("began", revision=revision, keys=rows)

    def write_transaction(
        self,
        is_met: bool,
        revision: int,
        conditions: list[tuple[bytes, int]],
        operations: list[StoreOperation],
    ) -> None:
        """Write a transaction that has writes; conditions: keys with their revisions."""
        writes = [write for write in map(_row, operations) if write]
        if self._lines is None or not writes:
            return
        rows = [[key.decode(), key_revision] for key, key_revision in conditions]
        self.write("txn", met=is_met, revision=revision, when=rows, acts=writes)


def _row(operation: StoreOperation) -> list | None:
    """A write as the journal has it; None for a read."""
    match operation:
        case PutKey(key, value, lease):
            return ["put", key.decode(), value.decode(), lease]
        case DeleteKeys(key):
            return ["delete", key.decode(), None, 0]
    return None
