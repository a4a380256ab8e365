"""The client of the store: what its replies prove, and its watch, against a store in another process."""

import time

import pytest

from gullhold.fleet.store_calls import (
    Delete,
    Get,
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    Proof,
    Put,
    ReadLeaseKeys,
    ReadPrefix,
    RevokeLease,
    Transaction,
)
from gullhold.fleet.store_client import StoreClient
from gullhold.testing.fleet import FleetRig


@pytest.fixture(scope="module")
def store():
    """A rig without members, whose store runs, and a session with the store."""
    with FleetRig(members=0) as rig:
        yield rig, StoreClient(rig.store_address, "/t/", 1.0)


def test_a_store_call_reports_exactly_what_it_proves(store):
    rig, session = store
    lease = session.call(GrantLease(5)).lease
    first = session.call(Transaction((("a", 0),), (Put("a", "1", lease),), (Get("a"),)))
    assert first.proof == Proof.DONE
    assert first.succeeded
    again = session.call(Transaction((("a", 0),), (Put("a", "2", lease),), (Get("a"),)))
    assert not again.succeeded
    assert again.items == (KeyValue("a", "1", first.revision, lease),)
    assert session.call(ReadLeaseKeys(lease)).keys == ("a",)
    assert session.call(KeepLeaseAlive(lease)).ttl_s == 5
    assert session.call(KeepLeaseAlive(77)).ttl_s == 0
    rig.inject_store_faults(lose=1)
    assert session.call(Transaction((), (Put("b", "1"),))).proof == Proof.UNKNOWN
    assert session.call(ReadPrefix("b")).items[0].value == "1"  # that call was carried out
    assert session.call(Transaction((), (Put("c", "1", 77),))).proof == Proof.NOT_DONE  # no such lease
    rig.inject_store_faults(stale=1, behind=1)
    old = session.call(ReadPrefix("b"))
    assert old.items == ()
    assert old.revision < session.call(ReadPrefix("b")).revision
    assert session.call(RevokeLease(lease)).proof == Proof.DONE
    assert session.call(ReadPrefix("a")).items == ()
    assert StoreClient("127.0.0.1:1", "/t/", 1.0).call(GrantLease(1)).proof == Proof.NOT_DONE
    rig.inject_store_faults(delay=1, delay_s=1.5)
    assert StoreClient(rig.store_address, "/t/", 0.2).call(GrantLease(1)).proof == Proof.UNKNOWN
    time.sleep(1.1)


def test_a_key_that_is_deleted_twice_in_one_transaction_is_deleted_once(store):
    _, session = store
    session.call(Transaction((), (Put("d", "1"),)))
    reply = session.call(Transaction((), (Delete("d"), Delete("d"), Put("e", "1"))))
    assert reply.proof == Proof.DONE
    assert session.call(ReadPrefix("d")).items == ()
    assert session.call(Transaction((), (Put("e", "2"),))).revision == reply.revision + 1


def test_a_watch_reports_all_changes_since_a_revision_or_a_gap(store):
    rig, session = store
    lease = session.call(GrantLease(5)).lease
    first = session.call(Transaction((), (Put("w/a", "1", lease),))).revision
    session.call(RevokeLease(lease))
    seen = []
    with pytest.raises(Exception, match="timed out"):  # after the last change the stream is silent
        session.watch("w/", first, 0.5, lambda *change: seen.append(change))
    assert [change[:2] for change in seen] == [("w/a", "1"), ("w/a", None)]
    rig.inject_store_faults(drop=1)
    assert session.watch("w/", first, 0.5, seen.append) is False


def test_acknowledged_writes_and_leases_survive_a_kill_of_the_store(store):
    rig, session = store
    lease = session.call(GrantLease(2)).lease
    revisions = [session.call(Transaction((), (Put(f"k/{i}", str(i), lease),))).revision for i in range(20)]
    rig.kill_store()
    assert session.call(ReadPrefix("k/")).proof == Proof.NOT_DONE
    rig.start_store()
    assert sorted(item.revision for item in session.call(ReadPrefix("k/")).items) == revisions
    # A restart of the store starts its leases again, so that they end late, never early.
    assert session.call(KeepLeaseAlive(lease)).ttl_s == 2
    rig.inject_store_faults(early_s=1.5)
    rig.wait_until(lambda: not session.call(ReadPrefix("k/")).items, 1.5)
    rig.inject_store_faults(early_s=0)
