"""Thrift messages: decoded whole and in pieces, malformed, and encoded."""

import struct

import pytest
from byte_streams import (
    DETERMINISTIC,
    MAX_MESSAGE_BYTES,
    PIECE_SIZES,
    encode_call,
    encode_string,
    read_in_pieces,
)
from hypothesis import given
from hypothesis import strategies as st

from gullhold.net import resp, thrift
from gullhold.net.connection_ends import ProtocolError


@DETERMINISTIC
@given(bodies=st.lists(st.binary(max_size=9000), min_size=1, max_size=5), piece_sizes=PIECE_SIZES)
def test_calls_are_decoded_alike_however_their_bytes_are_split(bodies, piece_sizes):
    data = b"".join(
        encode_call(seq=i, fields={b"txn": b"%d" % i, b"verb": b""}, body=body)
        for i, body in enumerate(bodies)
    )
    calls = read_in_pieces(thrift.Decoder(MAX_MESSAGE_BYTES), thrift.Decoder.calls, data, piece_sizes)
    assert [(c.sequence_id, c.fields[2, thrift.STRING]) for c in calls] == list(enumerate(bodies))
    assert all(c.fields[1, thrift.MAP] == {b"txn": b"%d" % c.sequence_id, b"verb": b""} for c in calls)


def test_unknown_fields_of_a_call_are_skipped():
    inner = (
        b"\x08\x00\x07"
        + struct.pack(">i", 5)
        + b"\x0f\x00\x08"
        + struct.pack(">Bi", 11, 2)
        + encode_string(b"a") * 2
    )
    extra = (
        b"\x0c\x00\x09"
        + inner
        + b"\0"
        + b"\x0a\x00\x0a"
        + bytes(8)
        + b"\x0d\x00\x0b"
        + struct.pack(">BBi", 8, 12, 1)
        + bytes(4)
        + b"\0"
        + b"\x02\x00\x0c\x01"
    )
    frame = encode_call(fields={b"a": b"b"}, extra=extra)
    assert thrift.decode_call(frame[4:]).fields[1, thrift.MAP] == {b"a": b"b"}


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">i", -1),
        struct.pack(">i", MAX_MESSAGE_BYTES + 1),
        struct.pack(">i", 2) + b"ab",
        encode_string(b"\0\0\0\x07execute" + bytes(9)),
        encode_string(encode_call()[4:-1]),
        encode_string(encode_call()[4:20]),
        encode_string(encode_call(message_type=thrift.REPLY)[4:]),
        encode_string(encode_call(method=b"\xff\xfe")[4:]),
        encode_string(
            struct.pack(">HBB", 0x8001, 0, 1)
            + encode_string(b"x")
            + bytes(4)
            + b"\x0f\x00\x01\x0b\x7f\xff\xff\xff"
        ),
        encode_string(
            struct.pack(">HBB", 0x8001, 0, 1)
            + encode_string(b"x")
            + bytes(4)
            + b"\x0d\x00\x01\x0b\x0b\xff\xff\xff\xff"
        ),
        encode_string(
            struct.pack(">HBB", 0x8001, 0, 1) + encode_string(b"x") + bytes(4) + b"\x0c\x00\x01" * 40
        ),
        encode_string(struct.pack(">HBB", 0x8001, 0, 1) + encode_string(b"x") + bytes(4) + b"\x63\x00\x01"),
    ],
)
def test_invalid_thrift_bytes_raise_protocol_error(data):
    decoder = thrift.Decoder(MAX_MESSAGE_BYTES)
    decoder.buffer.put(data)
    with pytest.raises(ProtocolError):
        list(decoder.calls())


@pytest.mark.parametrize(
    "extra",
    [
        b"\x0f\x00\x09" + struct.pack(">Bi", 12, 100_000) + bytes(100_000),
        b"\x0d\x00\x09" + struct.pack(">BBi", 11, 11, 5000) + bytes(8 * 5000),
        b"\x0d\x00\x09" + struct.pack(">BBi", 3, 3, 600) + bytes(2 * 600),
        b"\x02\x00\x09\x01" * 1100,
        b"\x0f\x00\x09" + struct.pack(">Bi", 15, 20) + (struct.pack(">Bi", 3, 60) + bytes(60)) * 20,
    ],
)
def test_message_of_too_many_values_is_rejected_before_it_is_decoded(extra):
    """Guards against messages whose values take a hundred times their bytes in memory: empty structs."""
    with pytest.raises(ProtocolError, match="values"):
        thrift.decode_call(encode_call(fields={b"a": b"b"}, extra=extra)[4:])


@DETERMINISTIC
@given(data=st.binary(max_size=300))
def test_random_bytes_decode_or_raise_protocol_error(data):
    for decoder, read in (
        (thrift.Decoder(MAX_MESSAGE_BYTES), thrift.Decoder.calls),
        (resp.Decoder(MAX_MESSAGE_BYTES), resp.Decoder.arrays),
    ):
        for piece in (data, encode_string(encode_call()[4:12] + data), b"*2\r\n$" + data):
            try:
                decoder.buffer.put(piece)
                list(read(decoder))
            except ProtocolError:
                break


def test_replies_are_encoded_as_complete_strict_frames():
    for message, message_type in (
        (thrift.encode_answer("execute", 7, b"a\tb\tc\n"), thrift.REPLY),
        (thrift.encode_shed(7, {}), thrift.REPLY),
        (thrift.encode_fault(7, "no"), thrift.REPLY),
        (thrift.encode_application_exception("x", 7, thrift.UNKNOWN_METHOD, "?"), thrift.EXCEPTION),
    ):
        size, version, _, found_type = struct.unpack(">iHBB", message[:8])
        assert size == len(message) - 4
        assert version == 0x8001
        assert found_type == message_type
        reader = thrift.FrameReader(message[8:])
        reader.read_string()
        assert reader.read_number(thrift.I32_FORMAT) == 7
        result = reader.read_struct()
        assert reader.position == len(reader.data)
        if message == thrift.encode_answer("execute", 7, b"a\tb\tc\n"):
            assert result[0, thrift.STRUCT][1, thrift.STRING] == b"a\tb\tc\n"
            assert result[0, thrift.STRUCT][3, thrift.BOOL] is True
