"""What the store acknowledged stays so, whatever disk faults it had and however it was killed."""

import sqlite3
import subprocess
import sys

import pytest
from serving import ROOT, until

from faults.plan import Plan
from gullhold.fleet.store_calls import GrantLease, Proof, Put, ReadPrefix, Transaction
from gullhold.fleet.store_client import StoreClient
from gullhold.testing.register.store import Store
from gullhold.testing.register.store_types import DeleteKeys, PutKey
from gullhold.testing.running import free_address

KEYS, ROUNDS = 7, 60


@pytest.mark.parametrize(
    ("call", "error"),
    [
        ("write", "ENOSPC"),
        ("write", "EIO"),
        ("sync", "EIO"),
        ("write", ""),
    ],
)
def test_nothing_told_as_done_is_undone_by_a_disk_that_fails_for_a_while_or_a_kill(tmp_path, call, error):
    plan, address = Plan(tmp_path, seed=len(call + error)), free_address()
    process = started(plan, address, tmp_path)
    session = StoreClient(address, "/t/", 2.0)
    until(lambda: session.call(ReadPrefix("/t/")).proof == Proof.DONE)
    done, maybe = {}, {}
    try:
        plan.set(call, 200, error, most=0 if error else 100)
        for n in range(ROUNDS):
            key, value = f"/t/{n % KEYS}", str(n)
            if session.call(Transaction(operations=(Put(key, value),))).proof == Proof.DONE:
                done[key], maybe[key] = value, []
            else:
                maybe.setdefault(key, []).append(value)
        assert plan.hits(call) > 3
        plan.clear()
        assert session.call(GrantLease(30)).proof == Proof.DONE  # it works again, for all
        for n in range(KEYS):
            assert session.call(Transaction(operations=(Put(f"/t/new{n}", "x"),))).proof == Proof.DONE
            done[f"/t/new{n}"] = "x"
        plan.set(call, 200, error, most=0 if error else 100)
        session.call(Transaction(operations=(Put("/t/last", "x"),)))
        read = {item.key: item.value for item in session.call(ReadPrefix("/t/")).items}
    finally:
        process.kill()
        process.wait()
    plan.clear()
    again = started(plan, address, tmp_path)
    try:
        until(lambda: session.call(ReadPrefix("/t/")).proof == Proof.DONE)
        found = {item.key: item.value for item in session.call(ReadPrefix("/t/")).items}
    finally:
        again.kill()
        again.wait()
    for seen in (read, found):
        for key, value in done.items():
            assert seen.get(key) == value or seen.get(key) in maybe.get(key, ())


def started(plan, address, folder):
    """A register over one file, whose system calls follow the plan."""
    words = ["register", "--listen", address, "--store", str(folder / "register.db")]
    return subprocess.Popen(
        [sys.executable, "-m", "gullhold", *words],
        cwd=ROOT,
        env=plan.environment(),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


class Failing:
    """A connection to the file whose statement number `at` fails as a full disk does."""

    def __init__(self, db, at):
        self.db, self.left = db, at

    def execute(self, *words):
        """As the connection's own."""
        return self._run(self.db.execute, words)

    def executemany(self, *words):
        """As the connection's own."""
        return self._run(self.db.executemany, words)

    def _run(self, call, words):
        self.left -= 1
        if self.left == 0:
            raise sqlite3.OperationalError("database or disk is full")
        return call(*words)


@pytest.mark.parametrize("at", range(1, 8))
def test_a_transaction_that_fails_at_any_statement_leaves_memory_and_file_alike(tmp_path, at):
    """Its transaction stayed open: every later change failed, while reads went on as if all were well."""
    store = Store(tmp_path / "register.db", sync=False)
    lease = store.grant_lease(30)
    put(store, b"a", b"1", lease)
    working = store.database.connection
    store.database.connection = Failing(working, at)
    failed = False
    try:
        operations = [PutKey(b"a", b"2"), DeleteKeys(b"b"), PutKey(b"c", b"3")]
        store.transact(lambda _: True, operations, [])
        store.revoke_lease(lease)
    except sqlite3.OperationalError:
        failed = True
    store.database.connection = working
    assert failed or at > 6
    put(store, b"d", b"4", 0)
    again = Store(tmp_path / "register.db", sync=False)
    for one, other in ((store, again), (again, store)):
        assert {key: (item.value, item.mod_revision) for key, item in one.keys.items()} == {
            key: (item.value, item.mod_revision) for key, item in other.keys.items()
        }
        assert set(one.leases) == set(other.leases)
        assert one.revision == other.revision
        assert one.history == other.history


def put(store, key, value, lease):
    """Write one key."""
    store.transact(lambda _: True, [PutKey(key, value, lease)], [])
