"""Changes that the store server has acknowledged survive disk faults and kills."""

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
def test_acknowledged_writes_survive_when_the_disk_fails_for_a_while_and_the_store_is_killed(
    tmp_path, call, error
):
    plan, address = Plan(tmp_path, seed=len(call + error)), free_address()
    process = start_store(plan, address, tmp_path)
    session = StoreClient(address, "/t/", 2.0)
    until(lambda: session.call(ReadPrefix("/t/")).proof == Proof.DONE)
    acknowledged, unconfirmed = {}, {}  # last acknowledged value of a key, later values that may be stored
    try:
        plan.set(call, 200, error, max_bytes=0 if error else 100)
        for n in range(ROUNDS):
            key, value = f"/t/{n % KEYS}", str(n)
            if session.call(Transaction(operations=(Put(key, value),))).proof == Proof.DONE:
                acknowledged[key], unconfirmed[key] = value, []
            else:
                unconfirmed.setdefault(key, []).append(value)
        assert plan.hits(call) > 3
        plan.clear()
        assert session.call(GrantLease(30)).proof == Proof.DONE  # the store works again without a restart
        for n in range(KEYS):
            assert session.call(Transaction(operations=(Put(f"/t/new{n}", "x"),))).proof == Proof.DONE
            acknowledged[f"/t/new{n}"] = "x"
        plan.set(call, 200, error, max_bytes=0 if error else 100)
        session.call(Transaction(operations=(Put("/t/last", "x"),)))
        before_kill = {item.key: item.value for item in session.call(ReadPrefix("/t/")).items}
    finally:
        process.kill()
        process.wait()
    plan.clear()
    restarted = start_store(plan, address, tmp_path)
    try:
        until(lambda: session.call(ReadPrefix("/t/")).proof == Proof.DONE)
        after_restart = {item.key: item.value for item in session.call(ReadPrefix("/t/")).items}
    finally:
        restarted.kill()
        restarted.wait()
    for stored in (before_kill, after_restart):
        for key, value in acknowledged.items():
            assert stored.get(key) == value or stored.get(key) in unconfirmed.get(key, ())


def start_store(plan, address, folder):
    """Start a store server on a file, with system calls that fail according to the plan."""
    arguments = ["register", "--listen", address, "--store", str(folder / "register.db")]
    return subprocess.Popen(
        [sys.executable, "-m", "gullhold", *arguments],
        cwd=ROOT,
        env=plan.environment(),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


class FailingConnection:
    """A connection to the store's file whose statement number `at`, from 1, fails as on a full disk."""

    def __init__(self, db, at):
        self.db, self.statements_left = db, at

    def execute(self, *arguments):
        """Run a statement, or fail."""
        return self._run(self.db.execute, arguments)

    def executemany(self, *arguments):
        """Run a statement with several sets of parameters, or fail."""
        return self._run(self.db.executemany, arguments)

    def _run(self, call, arguments):
        self.statements_left -= 1
        if self.statements_left == 0:
            raise sqlite3.OperationalError("database or disk is full")
        return call(*arguments)


@pytest.mark.parametrize("at", range(1, 8))
def test_memory_and_file_hold_the_same_state_when_a_transaction_fails_at_any_statement(tmp_path, at):
    """Guards against a failed transaction that stays open: every later change fails, while reads work."""
    store = Store(tmp_path / "register.db", sync=False)
    lease = store.grant_lease(30)
    put(store, b"a", b"1", lease)
    working = store.database.connection
    store.database.connection = FailingConnection(working, at)
    failed = False
    try:
        operations = [PutKey(b"a", b"2"), DeleteKeys(b"b"), PutKey(b"c", b"3")]
        store.transact(lambda _: True, operations, [])
        store.revoke_lease(lease)
    except sqlite3.OperationalError:
        failed = True
    store.database.connection = working
    assert failed or at > 6  # the two calls run at least 6 statements
    put(store, b"d", b"4", 0)
    reopened = Store(tmp_path / "register.db", sync=False)
    for one, other in ((store, reopened), (reopened, store)):
        assert {key: (item.value, item.mod_revision) for key, item in one.keys.items()} == {
            key: (item.value, item.mod_revision) for key, item in other.keys.items()
        }
        assert set(one.leases) == set(other.leases)
        assert one.revision == other.revision
        assert one.history == other.history


def put(store, key, value, lease):
    """Write one key."""
    store.transact(lambda _: True, [PutKey(key, value, lease)], [])
