"""The state of the store server: keys, revisions, leases and history. It survives a kill at any moment."""

import secrets
import sqlite3
import time
from bisect import bisect_right
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from threading import Condition
from typing import NamedTuple

from gullhold.testing.register.database import Database
from gullhold.testing.register.store_types import (
    CompactedError,
    DeleteKeys,
    KeyUpdate,
    PutKey,
    ReadKeys,
    StoredChange,
    StoredKey,
    StoreOperation,
    is_in_range,
)

MAX_HISTORY = 20_000  # changes that watches can still read; older ones are dropped
LEASE_ID_BITS = 62

KeyItems = list[tuple[bytes, StoredKey]]


class Lease:
    """A lease and the keys attached to it. ends_at: s of the store's clock."""

    __slots__ = ("ends_at", "keys", "ttl_s")

    def __init__(self, ttl_s: float, now: float) -> None:
        """Start the lease. now: s of the store's clock."""
        self.ttl_s = ttl_s
        self.ends_at = now + ttl_s
        self.keys: set[bytes] = set()


class LeaseStatus(NamedTuple):
    """Remaining time in s and attached keys of a lease."""

    left_s: float
    keys: list[bytes]


class Store:
    """All state of the server, guarded by one lock.

    After a restart every lease runs for its whole time to live again, as in etcd, so that it may end late but
    never early. rate: rate of the store's clock against the machine's; early_s: how much sooner leases end
    (negative: later).
    """

    def __init__(self, path: str | Path, sync: bool = True) -> None:
        """sync: whether each change survives a loss of power, not only a kill of the process."""
        self.database = Database(path, sync)
        self.lock = Condition()
        self.rate = 1.0
        self.early_s = 0.0
        self.revision, self.first_revision = self.database.read_revisions()
        self.keys = self.database.read_keys()
        self.history = self.database.read_history()
        now = self.clock()
        self.leases = {lease_id: Lease(ttl_s, now) for lease_id, ttl_s in self.database.read_leases().items()}
        for key, item in self.keys.items():
            if item.lease in self.leases:
                self.leases[item.lease].keys.add(key)

    def clock(self) -> float:
        """Return s of the store's clock."""
        return time.monotonic() * self.rate

    # Leases

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease; return its id."""
        with self.lock:
            lease_id = secrets.randbits(LEASE_ID_BITS) | 1
            self.database.add_lease(lease_id, ttl_s)
            self.leases[lease_id] = Lease(ttl_s, self.clock())
            return lease_id

    def renew_lease(self, lease_id: int) -> float:
        """Restart the time to live of a lease; return it in s, 0 if there is no such lease."""
        with self.lock:
            lease = self.leases.get(lease_id)
            if not lease:
                return 0
            lease.ends_at = self.clock() + lease.ttl_s
            return lease.ttl_s

    def lease_status(self, lease_id: int) -> LeaseStatus | None:
        """Return the status of a lease; None if there is no such lease."""
        with self.lock:
            lease = self.leases.get(lease_id)
            if not lease:
                return None
            return LeaseStatus(max(0, lease.ends_at - self.clock()), sorted(lease.keys))

    def revoke_lease(self, lease_id: int) -> bool:
        """End a lease and delete its keys in one revision; return whether there was such a lease."""
        with self.lock:
            lease = self.leases.get(lease_id)
            if not lease:
                return False
            self._apply([DeleteKeys(key) for key in sorted(lease.keys)], lease_id)
            return True

    def expire_leases(self) -> list[int]:
        """End the leases that have expired; return their ids."""
        with self.lock:
            now = self.clock()
            expired = [
                lease_id for lease_id, lease in self.leases.items() if lease.ends_at - self.early_s <= now
            ]
            for lease_id in expired:
                self.revoke_lease(lease_id)
            return expired

    # Keys

    def read(self, start: bytes, range_end: bytes, revisions_ago: int = 0) -> KeyItems:
        """Return the keys of a range in order; revisions_ago: as they were this many revisions ago."""
        with self.lock:
            if revisions_ago:
                return self._read_old(start, range_end, max(1, self.revision - revisions_ago))
            return [(key, self.keys[key]) for key in sorted(self.keys) if is_in_range(key, start, range_end)]

    def _read_old(self, start: bytes, range_end: bytes, revision: int) -> KeyItems:
        found = {}
        for change in self.history:
            if change.revision > revision or not is_in_range(change.key, start, range_end):
                continue
            if change.value is None:
                found.pop(change.key, None)
            else:
                found[change.key] = _key_after(change)
        return sorted(found.items())

    def transact(
        self,
        are_conditions_met: Callable[[dict[bytes, StoredKey]], bool],
        operations: list[StoreOperation],
        failure_operations: list[StoreOperation],
    ) -> tuple[bool, list[KeyItems | None]]:
        """Carry out the operations in one revision if the conditions are met, else the failure operations.

        are_conditions_met: called with all keys while the lock is held. Return (whether the conditions were
        met, what each operation has read, None for a write). Raises KeyError if a put names a lease that does
        not exist.
        """
        with self.lock:
            is_met = are_conditions_met(self.keys)
            chosen = operations if is_met else failure_operations
            writes = self._writes(chosen)
            # Reads show the state before the transaction, in which a fleet never writes a key that it reads.
            read = [
                self.read(operation.key, operation.range_end) if isinstance(operation, ReadKeys) else None
                for operation in chosen
            ]
            if writes:
                self._apply(writes)
            return is_met, read

    def _writes(self, operations: list[StoreOperation]) -> list[PutKey | DeleteKeys]:
        """Return the writes of a transaction, with the deletion of a range split into one for each key."""
        for operation in operations:
            if isinstance(operation, PutKey) and operation.lease and operation.lease not in self.leases:
                raise KeyError("requested lease not found")
        writes: list[PutKey | DeleteKeys] = []
        for operation in operations:
            match operation:
                case PutKey():
                    writes.append(operation)
                case DeleteKeys(start, range_end):
                    writes += [DeleteKeys(key) for key, _ in self.read(start, range_end)]
        return writes

    def _apply(self, writes: list[PutKey | DeleteKeys], ended_lease: int = 0) -> None:
        """Write one revision to the file, then change the state that readers see."""
        revision = self.revision + 1
        changes = []
        updates: list[KeyUpdate] = []
        updated_keys = set()
        for write in writes:
            old = self.keys.get(write.key)
            if isinstance(write, PutKey):
                change = _put_change(write, old, revision)
                updates.append(KeyUpdate(write.key, old, _key_after(change)))
            elif old is None or write.key in updated_keys:  # at most one deletion of a key in a revision
                continue
            else:
                change = StoredChange(revision, write.key, None, 0, 0, 0)
                updates.append(KeyUpdate(write.key, old, None))
            updated_keys.add(write.key)
            changes.append(change)
        if not changes and not ended_lease:
            return
        self.database.write(revision, changes, updates, ended_lease)
        self.leases.pop(ended_lease, None)
        for update in updates:
            self._set_key(update)
        if changes:
            self.history += changes
            self.revision = revision
            if len(self.history) > 2 * MAX_HISTORY:
                with suppress(sqlite3.Error):  # the change is written; the next one compacts again
                    self.compact(self.history[-MAX_HISTORY].revision)
        self.lock.notify_all()

    def _set_key(self, update: KeyUpdate) -> None:
        key, before, after = update
        if before and before.lease in self.leases:
            self.leases[before.lease].keys.discard(key)
        if not after:
            del self.keys[key]
            return
        self.keys[key] = after
        if after.lease:
            self.leases[after.lease].keys.add(key)

    # History

    def compact(self, first_revision: int) -> None:
        """Drop the changes before this revision from the history."""
        with self.lock:
            first_revision = min(first_revision, self.revision)
            self.database.compact(first_revision)
            self.history = self.history[self._history_index(first_revision) :]
            self.first_revision = first_revision
            self.lock.notify_all()

    def changes_since(
        self, revision: int, start: bytes, range_end: bytes, max_wait_s: float
    ) -> tuple[list[StoredChange], int]:
        """Return (changes of a range from a revision on, the revision to read from next).

        Waits up to max_wait_s if there is no such revision yet. Raises CompactedError if some of the changes
        were dropped.
        """
        with self.lock:
            if self.revision < revision:
                self.lock.wait(max_wait_s)
            if revision < self.first_revision:
                raise CompactedError(self.first_revision)
            changes = self.history[self._history_index(revision) :]
            return [
                change for change in changes if is_in_range(change.key, start, range_end)
            ], self.revision + 1

    def _history_index(self, revision: int) -> int:
        """Return the index in the history of the first change from this revision on."""
        return bisect_right(self.history, revision - 1, key=lambda change: change.revision)


def _put_change(put: PutKey, old: StoredKey | None, revision: int) -> StoredChange:
    create_revision = old.create_revision if old else revision
    version = old.version + 1 if old else 1
    return StoredChange(revision, put.key, put.value, put.lease, create_revision, version)


def _key_after(change: StoredChange) -> StoredKey:
    """Return the stored key that results from a write."""
    return StoredKey(change.value, change.create_revision, change.revision, change.version, change.lease)
