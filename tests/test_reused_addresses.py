"""A new engine at the address of one that the list still names (picture d)."""

import time

import pytest
from serving import Gateway, until

from gullhold.interface import EngineEntry, EngineState
from gullhold.net.address_owners import AddressOwners
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config, endpoint_list_event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.scripted import ScriptedEngine, never_finish, serve_pages

ADDRESS, OTHER_ADDRESS = "127.0.0.1:1", "127.0.0.1:2"


@pytest.fixture
def followed(tmp_path):
    """Return a function that starts a gateway with engines s-0, s-1, ..., and the discovery service."""
    gateways, engines = [], []

    def start(*test_engines):
        discovery = DiscoveryService()
        engines.extend(test_engines)
        gateways.append(Gateway(tmp_path, config(*test_engines) | {"coordinator": discovery.address}))
        return gateways[-1], BlockingClient(gateways[-1].address), discovery

    yield start
    for gateway in gateways:
        gateway.end()
    for engine in engines:
        engine.close()


def tell(gateway, discovery, index, *members):
    discovery.send(endpoint_list_event(index, *members))
    until(lambda: gateway.count("endpoint_list_events") == index)


def test_nothing_is_sent_under_the_id_of_an_engine_whose_address_another_one_has(followed):
    """Guards against work for an engine that drains, sent there under the id of the one before it."""
    reused, other = ScriptedEngine(), ScriptedEngine()
    gateway, client, discovery = followed(reused, other)
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    tell(gateway, discovery, 2, ("s-9", reused.address, "ready"))
    tell(gateway, discovery, 3, ("s-9", reused.address, "draining"))
    sent = len(reused.messages(b"fetch"))
    seqs = {client.send_command(body=b"select 1 from sales_%d.t" % group) for group in range(30)}
    answers = [client.read_answer() for _ in seqs]  # at once, so that every engine that may gets some
    assert {answer.sequence_number for answer in answers} == seqs
    assert len(reused.messages(b"fetch")) == sent
    tell(gateway, discovery, 4, ("s-0", reused.address, "draining"))  # of the one that has gone
    tell(gateway, discovery, 5, ("s-0", reused.address, "gone"), ("s-9", reused.address, "ready"))
    tell(gateway, discovery, 6, ("s-1", other.address, "draining"))
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert len(reused.messages(b"fetch")) == sent + 1


@pytest.mark.parametrize(("verb", "answer"), [("read", b"a\tb\tc\n"), ("once", "fault")])
def test_an_attempt_on_a_replaced_engine_ends_as_one_that_may_have_run(followed, verb, answer):
    """Guards against a request that waits for a process that has ended, and against one that runs twice."""
    reused = ScriptedEngine(never_finish, serve_pages())
    gateway, client, discovery = followed(reused)
    seq = client.send_command(verb, limit=6000)
    until(lambda: reused.messages(b"fetch"))
    began = time.monotonic()
    tell(gateway, discovery, 2, ("s-9", reused.address, "ready"))
    assert client.read_answer() == (seq, answer)
    assert time.monotonic() - began < 2.0
    assert gateway.count("engine_connections_ended_replaced") == 1
    assert len(reused.messages(b"fetch")) == (2 if verb == "read" else 1)
    connections = {message[0] for message in reused.messages(b"fetch")}
    assert len(connections) == len(reused.messages(b"fetch"))  # the new engine gets connections of its own


def entry(engine_id, state=EngineState.READY, started_us=0):
    return EngineEntry(engine_id, 0, 1.0, 0, state, 0, started_us)


def states(change):
    return {each.id: each.state for each in change.entries}


def test_the_later_entry_at_an_address_is_the_one_that_is_there():
    owners = AddressOwners()
    assert states(owners.resolve([entry(1)], {1: ADDRESS}, True)) == {1: EngineState.READY}
    change = owners.resolve([entry(2)], {2: ADDRESS}, False)
    assert states(change) == {1: EngineState.REMOVED, 2: EngineState.READY}
    assert change.replaced == [1]
    for state in (EngineState.READY, EngineState.DRAINING):  # the list still names the one before
        assert owners.resolve([entry(1, state)], {1: ADDRESS}, False) == ([], [])
    full = owners.resolve([entry(1), entry(2)], {1: ADDRESS, 2: ADDRESS}, True)
    assert states(full) == {2: EngineState.READY}
    assert states(owners.resolve([entry(1, EngineState.REMOVED)], {}, False)) == {1: EngineState.REMOVED}
    assert states(owners.resolve([entry(1)], {1: ADDRESS}, False)) == {
        2: EngineState.REMOVED,
        1: EngineState.READY,
    }  # told anew after it was gone: a new process with the old id


def test_of_two_entries_in_one_change_the_one_that_started_later_is_there():
    for entries in (
        [entry(1, started_us=5), entry(2, started_us=9)],
        [entry(2, started_us=9), entry(1, started_us=5)],
    ):
        change = AddressOwners().resolve(entries, {1: ADDRESS, 2: ADDRESS}, True)
        assert states(change).get(2) == EngineState.READY
        assert states(change).get(1) in (None, EngineState.REMOVED)


def test_an_engine_that_moves_or_goes_leaves_its_address_to_others():
    owners = AddressOwners()
    owners.resolve([entry(1)], {1: ADDRESS}, True)
    owners.resolve([entry(1)], {1: OTHER_ADDRESS}, False)
    assert owners.resolve([entry(2)], {2: ADDRESS}, False).replaced == []
    owners.resolve([entry(1, EngineState.REMOVED)], {1: OTHER_ADDRESS}, False)
    assert owners.resolve([entry(3)], {3: OTHER_ADDRESS}, False).replaced == []
    assert owners.resolve([entry(4, EngineState.DRAINING)], {4: ADDRESS}, False) == ([], [])
    owners.resolve([], {}, True)
    assert not owners._owners
    assert not owners._addresses
    assert not owners._replaced
