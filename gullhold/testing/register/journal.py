"""The journal of the store server, for checkers: a JSON line for each event of a lease and each transaction.

Transactions whose conditions were not met are included. The journal does not interpret keys or values.
"""

import json
import threading
import time
from typing import Any, TextIO

from gullhold.testing.register.store_types import DeleteKeys, PutKey, StoredKey, StoreOperation


class Journal:
    """Appends lines to a file; without a file it does nothing."""

    def __init__(self, lines: TextIO | None) -> None:
        """lines: a file that is open for appending, or None."""
        self._lines = lines
        self._lock = threading.Lock()

    def write(self, event: str, **fields: Any) -> None:
        """Write one line with the time, the event and these fields."""
        if self._lines is None:
            return
        with self._lock:
            self._lines.write(json.dumps({"at": time.time(), "what": event, **fields}) + "\n")
            self._lines.flush()

    def write_start(self, revision: int, keys: dict[bytes, StoredKey]) -> None:
        """Write all keys at the start: a kill may have prevented the line of the last change."""
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
        """Write a transaction, unless it only reads; conditions: keys with the revisions compared."""
        writes = [write for write in map(_row, operations) if write]
        if self._lines is None or not writes:
            return
        rows = [[key.decode(), key_revision] for key, key_revision in conditions]
        self.write("txn", met=is_met, revision=revision, when=rows, acts=writes)


def _row(operation: StoreOperation) -> list | None:
    """Return a write in the form of the journal; None for a read."""
    match operation:
        case PutKey(key, value, lease):
            return ["put", key.decode(), value.decode(), lease]
        case DeleteKeys(key):
            return ["delete", key.decode(), None, 0]
    return None
