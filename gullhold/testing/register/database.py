"""The SQLite file of the store server, which is consistent after a kill at any moment.

Released versions have written files with these names of tables and columns, so they must not change.
"""

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from gullhold.testing.register.store_types import KeyUpdate, StoredChange, StoredKey

# kv: the current keys; born, changed: the revisions of creation and of the last change. past: the history of
# changes; place: the position of a change within its revision. told: the newest revision, and the first one
# of the history, by name ("revision", "first").
SCHEMA = """
create table if not exists kv (key blob primary key, value blob, born int, changed int, version int,
                               lease int);
create table if not exists past (revision int, place int, key blob, value blob, lease int, born int,
                                 version int, primary key (revision, place));
create table if not exists leases (id integer primary key, ttl real);
create table if not exists told (name text primary key, value int);
"""


class Database:
    """One connection to the file. connection: a test may replace it by one whose statements fail."""

    def __init__(self, path: str | Path, is_synced: bool) -> None:
        """is_synced: whether each change survives a loss of power, not only a kill of the process."""
        self.connection = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
        self.connection.execute("pragma journal_mode=wal")
        self.connection.execute(f"pragma synchronous={'full' if is_synced else 'normal'}")
        self.connection.executescript(SCHEMA)

    # Reads

    def read_revisions(self) -> tuple[int, int]:
        """Return (newest revision, oldest revision whose changes are in the history)."""
        found = dict(self.connection.execute("select name, value from told"))
        return found.get("revision", 1), found.get("first", 0)

    def read_keys(self) -> dict[bytes, StoredKey]:
        """Return all keys with their current values."""
        rows = self.connection.execute("select key, value, born, changed, version, lease from kv")
        return {key: StoredKey(*fields) for key, *fields in rows}

    def read_history(self) -> list[StoredChange]:
        """Return all changes in the history, in order."""
        rows = self.connection.execute(
            "select revision, key, value, lease, born, version from past order by revision, place"
        )
        return [StoredChange(*row) for row in rows]

    def read_leases(self) -> dict[int, float]:
        """Return the time to live of each lease in s, by lease id."""
        return dict(self.connection.execute("select id, ttl from leases"))

    # Writes

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        """Run the block in a transaction, and roll it back if a statement or a sync fails.

        Without the rollback the failed transaction would stay open, and no later one could begin.
        """
        self.connection.execute("begin immediate")
        try:
            yield
            self.connection.execute("commit")
        except BaseException:
            with suppress(sqlite3.Error):  # SQLite has rolled back by itself after some failures
                self.connection.execute("rollback")
            raise

    def add_lease(self, lease_id: int, ttl_s: float) -> None:
        """Write a new lease."""
        self.connection.execute("insert into leases values (?, ?)", (lease_id, ttl_s))

    def write(
        self,
        revision: int,
        changes: list[StoredChange],
        updates: list[KeyUpdate],
        ended_lease: int,
    ) -> None:
        """Write one revision. ended_lease: id of a lease to delete, 0 for none."""
        with self._transaction():
            if changes:
                self._write_changes(revision, changes, updates)
            if ended_lease:
                self.connection.execute("delete from leases where id = ?", (ended_lease,))

    def _write_changes(self, revision: int, changes: list[StoredChange], updates: list[KeyUpdate]) -> None:
        history_rows = [(change.revision, place, *change[1:]) for place, change in enumerate(changes)]
        written_rows = [(update.key, *update.after) for update in updates if update.after]
        deleted_rows = [(update.key,) for update in updates if not update.after]
        connection = self.connection
        connection.executemany("insert into past values (?, ?, ?, ?, ?, ?, ?)", history_rows)
        connection.executemany("insert or replace into kv values (?, ?, ?, ?, ?, ?)", written_rows)
        connection.executemany("delete from kv where key = ?", deleted_rows)
        connection.execute("insert or replace into told values ('revision', ?)", (revision,))

    def compact(self, first_revision: int) -> None:
        """Delete the changes before this revision from the history."""
        with self._transaction():
            self.connection.execute("delete from past where revision < ?", (first_revision,))
            self.connection.execute("insert or replace into told values ('first', ?)", (first_revision,))
