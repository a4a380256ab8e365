"""Keys, revisions, leases and history, durable through a kill at any moment."""

import secrets
import sqlite3
import time
from bisect import bisect_right
from contextlib import contextmanager, suppress
from threading import Condition

SCHEMA = """
create table if not exists kv (key blob primary key, value blob, born int, changed int, version int,
                               lease int);
create table if not exists past (revision int, place int, key blob, value blob, lease int, born int,
                                 version int, primary key (revision, place));
create table if not exists leases (id integer primary key, ttl real);
create table if not exists told (name text primary key, value int);
"""
HISTORY = 20_000  # changes that watches may still ask for; what is older is dropped


class Key:
    """One key as it is now."""

    __slots__ = ("born", "changed", "lease", "value", "version")

    def __init__(self, value, born, changed, version, lease):
        self.value, self.born, self.changed, self.version, self.lease = value, born, changed, version, lease


class Dropped(Exception):
    """The history back to there is gone; .args[0]: the first revision that is left."""


class Store:
    """All state, under one lock. sync: whether each change also survives a loss of power.

    After a restart every lease runs for its whole time anew, as the published stores do it: late, never
    early. rate: of this store's clock against the machine's; early_s: leases end so much sooner
    (negative: later).
    """

    def __init__(self, path, sync=True):
        self.db = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
        self.db.execute("pragma journal_mode=wal")
        self.db.execute(f"pragma synchronous={'full' if sync else 'normal'}")
        self.db.executescript(SCHEMA)
        self.lock = Condition()
        self.rate, self.early_s = 1.0, 0.0
        told = dict(self.db.execute("select name, value from told"))
        self.revision, self.first = told.get("revision", 1), told.get("first", 0)
        self.kv = {
            row[0]: Key(*row[1:])
            for row in self.db.execute("select key, value, born, changed, version, lease from kv")
        }
        self.past = [
            (row[0], row[2], *row[3:])
            for row in self.db.execute(
                "select revision, place, key, value, lease, born, version from past order by revision, place"
            )
        ]
        now = self.clock()
        self.leases = {
            ident: [ttl, now + ttl, set()] for ident, ttl in self.db.execute("select id, ttl from leases")
        }
        for key, item in self.kv.items():
            if item.lease in self.leases:
                self.leases[item.lease][2].add(key)

    def clock(self):
        """Seconds, by this store's own clock."""
        return time.monotonic() * self.rate

    @contextmanager
    def _transaction(self):
        """All of it, or nothing, in the file. A statement or a sync that fails undoes what was begun: guards
        against a transaction that stays open, in which no other could begin any more."""
        self.db.execute("begin immediate")
        try:
            yield
            self.db.execute("commit")
        except BaseException:
            with suppress(sqlite3.Error):  # some failures have undone it already
                self.db.execute("rollback")
            raise

    # Leases

    def grant(self, ttl_s):
        """A new lease's id."""
        with self.lock:
            ident = secrets.randbits(62) | 1
            self.db.execute("insert into leases values (?, ?)", (ident, ttl_s))
            self.leases[ident] = [ttl_s, self.clock() + ttl_s, set()]
            return ident

    def keep(self, ident):
        """Its whole time anew; 0 where there is no such lease."""
        with self.lock:
            lease = self.leases.get(ident)
            if not lease:
                return 0
            lease[1] = self.clock() + lease[0]
            return lease[0]

    def held(self, ident):
        """(seconds left, keys) of a lease; None."""
        with self.lock:
            lease = self.leases.get(ident)
            return lease and (max(0, lease[1] - self.clock()), sorted(lease[2]))

    def revoke(self, ident):
        """End it, with its keys in one revision; whether there was one."""
        with self.lock:
            lease = self.leases.get(ident)
            if not lease:
                return False
            self._apply([("delete", key, None, 0) for key in sorted(lease[2])], ident)
            return True

    def expire(self):
        """End what has run out; the ids."""
        with self.lock:
            now = self.clock()
            late = [ident for ident, lease in self.leases.items() if lease[1] - self.early_s <= now]
            for ident in late:
                self.revoke(ident)
            return late

    # Keys

    def read(self, start, end, behind=0):
        """[(key, Key)] of a range, in order; behind: as it was so many changes ago."""
        with self.lock:
            if behind:
                return self._old(start, end, behind)
            return [(key, self.kv[key]) for key in sorted(self.kv) if _within(key, start, end)]

    def _old(self, start, end, behind):
        at = max(1, self.revision - behind)
        found = {}
        for revision, key, value, lease, born, version in self.past:
            if revision <= at and _within(key, start, end):
                found[key] = Key(value, born, revision, version, lease)
                if value is None:
                    del found[key]
        return sorted(found.items())

    def txn(self, met, acts, others):
        """met: called under the lock with the keys, whether the comparisons hold. (held, what each act gave).

        An act is ("put", key, value, lease), ("delete", key, end, 0) or ("range", key, end, 0).
        """
        with self.lock:
            held = met(self.kv)
            acts = acts if held else others
            for act in acts:
                if act[0] == "put" and act[3] and act[3] not in self.leases:
                    raise KeyError("requested lease not found")
            writes = []
            for act in acts:
                if act[0] == "put":
                    writes.append(act)
                elif act[0] == "delete":
                    writes += [("delete", key, None, 0) for key, _ in self.read(act[1], act[2])]
            # Reads of a transaction see what it began with: ours never read what they write.
            given = [self.read(act[1], act[2]) if act[0] == "range" else None for act in acts]
            if writes:
                self._apply(writes)
            return held, given

    def _apply(self, writes, ended=0):
        """One revision, durable before anybody is told."""
        revision, place, rows = self.revision + 1, 0, []
        leases = []
        done = set()
        for kind, key, value, lease in writes:
            old = self.kv.get(key)
            if kind == "delete" and (old is None or key in done):  # deleted once in one revision
                continue
            done.add(key)
            item = (
                None
                if kind == "delete"
                else Key(value, old.born if old else revision, revision, old.version + 1 if old else 1, lease)
            )
            rows.append(
                (revision, place, key, value, lease, item.born if item else 0, item.version if item else 0)
            )
            leases.append((key, item, old))
            place += 1
        if not rows and not ended:
            return
        with self._transaction():
            if rows:
                self.db.executemany("insert into past values (?, ?, ?, ?, ?, ?, ?)", rows)
                self.db.executemany(
                    "insert or replace into kv values (?, ?, ?, ?, ?, ?)",
                    [
                        (key, item.value, item.born, item.changed, item.version, item.lease)
                        for key, item, _ in leases
                        if item
                    ],
                )
                self.db.executemany(
                    "delete from kv where key = ?", [(key,) for key, item, _ in leases if not item]
                )
                self.db.execute("insert or replace into told values ('revision', ?)", (revision,))
            if ended:
                self.db.execute("delete from leases where id = ?", (ended,))
        self.leases.pop(ended, None)
        for key, item, old in leases:
            if old and old.lease in self.leases:
                self.leases[old.lease][2].discard(key)
            if item:
                self.kv[key] = item
                if item.lease:
                    self.leases[item.lease][2].add(key)
            else:
                del self.kv[key]
        if rows:
            self.past += [(row[0], *row[2:]) for row in rows]
            self.revision = revision
            if len(self.past) > 2 * HISTORY:
                with suppress(sqlite3.Error):  # the change itself is told and kept; the next one tries again
                    self.drop(self.past[-HISTORY][0])
        self.lock.notify_all()

    # History

    def drop(self, revision):
        """Forget changes before this revision."""
        with self.lock:
            revision = min(revision, self.revision)
            with self._transaction():
                self.db.execute("delete from past where revision < ?", (revision,))
                self.db.execute("insert or replace into told values ('first', ?)", (revision,))
            self.past = self.past[bisect_right(self.past, revision - 1, key=lambda row: row[0]) :]
            self.first = revision
            self.lock.notify_all()

    def since(self, revision, start, end, seconds):
        """(changes from this revision on, in this range; the next to ask for), waited for so long at most.

        Raises Dropped where some of them are gone.
        """
        with self.lock:
            if self.revision < revision:
                self.lock.wait(seconds)
            if revision < self.first:
                raise Dropped(self.first)
            at = bisect_right(self.past, revision - 1, key=lambda row: row[0])
            return [row for row in self.past[at:] if _within(row[1], start, end)], self.revision + 1


def _within(key, start, end):
    return key == start if not end else start <= key and (end == b"\0" or key < end)
