"""Events of the endpoint list that are long, or that can't be read: later ones are applied all the same."""

import json

import pytest
from serving import Gateway, until

from gullhold.interface import EngineState
from gullhold.net import event_stream
from gullhold.net.connection_ends import ProtocolError
from gullhold.net.event_stream import MAX_ENGINES, MAX_EVENT_BYTES, EventStream
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config, endpoint_list_event
from gullhold.testing.discovery_service import RecordingDiscoveryService
from gullhold.testing.scripted import ScriptedEngine


def start(tmp_path, *engines, **limits):
    """Start a gateway that follows a discovery service; return both."""
    configuration = config(*engines)
    discovery = RecordingDiscoveryService(configuration["known"]["updates"][0])
    configuration |= {"coordinator": discovery.address}
    configuration["limits"] |= limits
    return Gateway(tmp_path, configuration), discovery


def state_of(gateway, engine):
    """Return the state of the engine at an address; None if no such engine is known."""
    endpoints = list(gateway.core.pool.endpoints.values())
    return next((each.state for each in endpoints if each.address == engine.address), None)


@pytest.mark.parametrize("memory_mb", [32, 96])
def test_an_event_about_all_engines_of_the_largest_fleet_is_read_at_any_memory_limit(tmp_path, memory_mb):
    """Guards against a line that is longer than a client's share of the memory (review case 8).

    It was never read, nor any later event: a quarter of what was sent went to draining engines.
    """
    engine = ScriptedEngine()
    gateway, discovery = start(tmp_path, engine, memory_mb=memory_mb)
    many = [
        (f"s-{number:08x}", f"10.{number >> 8}.{number & 255}.1:5050", "ready")
        for number in range(MAX_ENGINES - 1)
    ]
    discovery.tell(endpoint_list_event(2, *many, ("s-0", engine.address, "ready"), is_complete=True))
    until(lambda: len(gateway.core.pool.endpoints) == MAX_ENGINES)
    drained = [(engine_id, address, "draining") for engine_id, address, _ in many]
    discovery.tell(endpoint_list_event(3, *drained))
    assert 400_000 < len(discovery.lines[-1]) < MAX_EVENT_BYTES
    until(lambda: len(gateway.core.gateway.components.engines.ready) == 1)
    assert not gateway.count("discovery_streams_ended_malformed")
    client = BlockingClient(gateway.address)
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    gateway.end()


UNREADABLE = {
    "no JSON": b'{"index":2,"endpoints":{\n',
    "no object": b'"event"\n',
    "no index": b'{"endpoints":{"members":[]}}\n',
    "no members": b'{"index":2,"endpoints":{}}\n',
    "members of another type": b'{"index":2,"endpoints":{"members":[7]}}\n',
    "a state that is unknown": b'{"index":2,"endpoints":{"members":[{"id":"s-5","phase":"odd"}]}}\n',
    "an infinite size": (
        b'{"index":2,"endpoints":{"members":[{"id":"s-5","phase":"ready","size":Infinity}]}}\n'
    ),
    "an infinite start": (
        b'{"index":2,"endpoints":{"members":[{"id":"s-5","phase":"ready","up_since_ms":1e999}]}}\n'
    ),
    "an id that is no text": b'{"index":2,"endpoints":{"members":[{"id":["s-5"],"phase":"ready"}]}}\n',
    "an event that is missing": b"2\n",
    "no text": b"\xff\xfe\xfd\n",
}


@pytest.mark.parametrize("line", UNREADABLE.values(), ids=UNREADABLE)
def test_events_behind_one_that_cannot_be_read_are_applied(tmp_path, line):
    """Guards against a stream that is followed again and again up to the same line, and never beyond."""
    first, second = ScriptedEngine(), ScriptedEngine()
    gateway, discovery = start(tmp_path, first, second)
    until(lambda: discovery.follow_requests)
    discovery.tell(line)
    discovery.tell(endpoint_list_event(3, ("s-0", first.address, "draining")))
    until(lambda: state_of(gateway, first) == EngineState.DRAINING)
    assert state_of(gateway, second) == EngineState.READY
    discovery.tell(
        endpoint_list_event(4, ("s-1", second.address, "draining"), ("s-0", first.address, "ready"))
    )
    until(lambda: state_of(gateway, second) == EngineState.DRAINING)
    until(lambda: state_of(gateway, first) == EngineState.READY)
    assert gateway.count("discovery_lists_rebuilt") == 1
    assert discovery.follow_requests == [b"follow 1\n", b"follow 1\n", b"follow 0\n"]
    gateway.end()


def test_a_line_without_end_is_left_out_in_bounded_memory(tmp_path, monkeypatch):
    monkeypatch.setattr(event_stream, "MAX_EVENT_BYTES", 20_000)
    engine = ScriptedEngine()
    gateway, discovery = start(tmp_path, engine)
    until(lambda: discovery.follow_requests)
    discovery.tell(b"[" * MAX_EVENT_BYTES * 4 + b"\n")
    discovery.tell(endpoint_list_event(3, ("s-0", engine.address, "draining")))
    until(lambda: state_of(gateway, engine) == EngineState.DRAINING)
    assert gateway.count("discovery_events_unreadable") == 1
    gateway.end()


def test_the_other_engines_of_an_event_are_applied_when_one_entry_cannot_be_read(tmp_path):
    first, second = ScriptedEngine(), ScriptedEngine()
    gateway, discovery = start(tmp_path, first, second)
    event = endpoint_list_event(2, ("s-0", first.address, "draining"), ("s-1", second.address, "strange"))
    discovery.tell(event)
    until(lambda: state_of(gateway, first) == EngineState.DRAINING)
    assert state_of(gateway, second) == EngineState.READY
    gateway.end()


def test_an_engine_that_drains_is_never_ready_while_the_list_is_rebuilt(tmp_path):
    """Guards against a rebuild that applies all events once more, from the time when the engine was ready."""
    first, second = ScriptedEngine(), ScriptedEngine()
    gateway, discovery = start(tmp_path, first, second)
    discovery.tell(endpoint_list_event(2, ("s-0", first.address, "draining")))
    until(lambda: state_of(gateway, first) == EngineState.DRAINING)
    states = []
    update = gateway.core.gateway.update_engines

    def record(now, entries, full):
        states.extend((entry.id, entry.state) for entry in entries)
        return update(now, entries, full)

    gateway.core.gateway.update_engines = record
    discovery.tell(b"{}\n")
    until(lambda: gateway.count("discovery_lists_rebuilt"))
    until(lambda: states)
    ids = gateway.discovery_client.engine_ids
    assert sorted(states) == sorted(
        [(ids.id_for("s-0"), EngineState.DRAINING), (ids.id_for("s-1"), EngineState.READY)]
    )
    gateway.end()


def test_a_rebuild_without_a_complete_list_removes_no_engine(tmp_path):
    """Guards against an outage where the event with the whole list is the one that can't be read."""
    engine = ScriptedEngine()
    gateway, discovery = start(tmp_path, engine)
    discovery.lines[0] = b"{}\n"
    discovery.tell(b"{}\n")
    discovery.tell(endpoint_list_event(3, ("s-9", ScriptedEngine().address, "ready")))
    until(lambda: gateway.count("discovery_lists_rebuilt") and len(gateway.core.pool.endpoints) == 2)
    assert state_of(gateway, engine) == EngineState.READY
    gateway.end()


def test_a_complete_list_after_a_gap_replaces_the_list():
    """As the protocol says: after a gap, the full list comes."""
    stream = EventStream(4, MAX_EVENT_BYTES)
    stream.buffer.put(
        json.dumps(endpoint_list_event(9, ("s-1", "127.0.0.1:1", "ready"), is_complete=True)).encode()
    )
    stream.buffer.put(b"\n")
    assert [event["index"] for event in stream.events()] == [9]
    assert stream.last_index == 9
    stream.buffer.put(b"11\n")
    with pytest.raises(ProtocolError):
        list(stream.events())
