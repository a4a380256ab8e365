"""The event stream of the discovery service, and parsing of its watch events."""

import json

import pytest
from byte_streams import MAX_MESSAGE_BYTES, read_in_pieces

from gullhold.agreement import read_agreement
from gullhold.interface import EngineState
from gullhold.net.connection_ends import ProtocolError
from gullhold.net.engine_ids import EngineIds
from gullhold.net.event_stream import EventStream
from gullhold.net.list_change import parse_event

EVENT = b'{"index":%d,"endpoints":{"revision":7,"complete":false,"members":[%s]}}\n'
MEMBER = (
    b'{"id":"s-00c41f7a","host_port":"127.1.0.9:5050","locality":"east","flavor":"std","cell":2,'
    b'"phase":"ready","size":4,"up_since_ms":9}'
)


def test_events_are_returned_in_order_without_repeats():
    stream = EventStream(4, MAX_MESSAGE_BYTES)
    data = b"4\n" + EVENT % (4, b"") + EVENT % (5, MEMBER) + b"5\n\n" + EVENT % (6, b"") + b"6\n"
    assert [event["index"] for event in read_in_pieces(stream, EventStream.events, data, [])] == [5, 6]
    agreement = read_agreement({"dcs": ["west", "east"], "kinds": ["std"]})
    entries, addresses, is_complete = parse_event(json.loads(EVENT % (5, MEMBER)), agreement, EngineIds())
    engine_id = entries[0][0]
    assert entries == [(engine_id, 1, 4.0, 0, EngineState.READY, 2, 9000)]
    assert addresses == {engine_id: "127.1.0.9:5050"}
    assert not is_complete
    assert engine_id == EngineIds().id_for("s-00c41f7a")


@pytest.mark.parametrize(
    "line", [b"{\n", b"[]\n", b'{"a":1}\n', b"6\n", EVENT % (6, b""), b'{"index":"x"}\n', b"\xff\n"]
)
def test_malformed_line_or_missing_event_raises_protocol_error(line):
    stream = EventStream(4, MAX_MESSAGE_BYTES)
    stream.buffer.put(line)
    with pytest.raises(ProtocolError):
        list(stream.events())


@pytest.mark.parametrize(
    "member", [b'{"id":"x"}', b'{"id":"x","phase":"odd"}', b"7", MEMBER.replace(b'"size":4', b'"size":"q"')]
)
def test_malformed_member_raises_protocol_error(member):
    with pytest.raises(ProtocolError):
        parse_event(json.loads(EVENT % (5, member)), read_agreement({}), EngineIds())
