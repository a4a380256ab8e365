"""The file of the store server: SQLite, durable through a kill at any moment.

The names of tables and columns are those that released versions write: they are not to be changed.
"""

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from gullhold.testing.register.store_types import KeyUpdate, StoredChange, StoredKey

SCHEMA = """
create table if not exists kv (key blob primary key, value blob, born int, changed int, version int,
                               lease int);
create table if not exists past (revision int, place int, key blob, value blob, lease int, born int,
                                 version int, primary key (revision, place));
create table if not exists leases (id integer primary key, ttl real);
create table if not exists told (name text primary key, value int);
"""


class Database:
    """One connection to the file. connection may be replaced, by a test whose statements fail."""

    def __init__(self, path: str | Path, is_synced: bool) -> None:
        """is_synced: whether each change also survives a loss of power."""
        self.connection = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
        self.connection.execute("pragma journal_mode=wal")
        self.connection.execute(f"pragma synchronous={'full' if is_synced else 'normal'}")
        self.connection.executescript(SCHEMA)

    # What it holds

    def read_revisions(self) -> tuple[int, int]:
        """(the newest revision, the first one whose change is in the history)."""
        found = dict(self.connection.execute("select name, value from told"))
        return found.get("revision", 1), found.get("first", 0)

    def read_keys(self) -> dict[bytes, StoredKey]:
        """All keys as they are now."""
        rows = self.connection.execute("select key, value, born, changed, version, lease from kv")
        return {key: StoredKey(*fields) for key, *fields in rows}

    def read_history(self) -> list[StoredChange]:
        """All changes that are kept, in order."""
        rows = self.connection.execute(
            "select revision, key, value, lease, born, version from past order by revision, place"
        )
        return [StoredChange(*row) for row in rows]

    def read_leases(self) -> dict[int, float]:
        """The time to live of each lease, s."""
        return dict(self.connection.execute("select id, ttl from leases"))

    # Changes

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        """All of it, or nothing, in the file.

        A statement or a sync that fails undoes what was begun: guards against a transaction that stays open,
        in which no other could begin any more.
        """
        self.connection.execute("begin immediate")
        try:
            yield
            self.connection.execute("commit")
        except BaseException:
            with suppress(sqlite3.Error):  # some failures have undone it already
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
        """Write one revision. ended_lease 0: none."""
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
        """Drop the changes before this revision."""
        with self._transaction():
            self.connection.execute("delete from past where revision < ?", (first_revision,))
            self.connection.execute("insert or replace into told values ('first', ?)", (first_revision,))
