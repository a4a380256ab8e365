"""RESP arrays, decoded whole and in pieces, malformed arrays, and field lists."""

import pytest
from byte_streams import DETERMINISTIC, MAX_MESSAGE_BYTES, PIECE_SIZES, read_in_pieces
from hypothesis import given
from hypothesis import strategies as st

from gullhold.net import resp
from gullhold.net.connection_ends import ProtocolError


@DETERMINISTIC
@given(
    arrays=st.lists(st.lists(st.binary(max_size=7000), min_size=1, max_size=5), min_size=1, max_size=4),
    piece_sizes=PIECE_SIZES,
)
def test_arrays_are_decoded_alike_however_their_bytes_are_split(arrays, piece_sizes):
    data = b"".join(resp.encode(*strings) for strings in arrays)
    assert read_in_pieces(resp.Decoder(MAX_MESSAGE_BYTES), resp.Decoder.arrays, data, piece_sizes) == arrays


@pytest.mark.parametrize(
    "data",
    [
        b"+OK\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*99\r\n",
        b"*1\r\n:5\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"*1\r\n$99999999\r\n",
        b"*" + b"1" * 40,
        b"*1\r\n$" + b"1" * 40,
        b"x",
        b"\r\n",
        b"*x\r\n",
    ],
)
def test_bytes_other_than_an_array_of_bulk_strings_raise_protocol_error(data):
    decoder = resp.Decoder(MAX_MESSAGE_BYTES)
    decoder.buffer.put(data)
    with pytest.raises(ProtocolError):
        list(decoder.arrays())


def test_array_over_its_limit_is_rejected_at_the_length_that_exceeds_it():
    """Guards against strings that are kept uncounted, as each by itself fits the buffer."""
    decoder = resp.Decoder(MAX_MESSAGE_BYTES, max_array_bytes=1000)
    whole = resp.encode(b"x" * 480, b"y" * 490)
    assert len(whole) == 990
    decoder.buffer.put(whole + b"*3\r\n$480\r\n" + b"x" * 480 + b"\r\n$490\r\n" + b"y" * 490 + b"\r\n")
    arrays = decoder.arrays()
    assert next(arrays) == [b"x" * 480, b"y" * 490]
    assert decoder.array_bytes == 990
    decoder.buffer.put(b"$9\r\n")
    with pytest.raises(ProtocolError, match="limit of 1000 bytes"):
        list(arrays)


def test_field_lists_are_decoded_and_encoded():
    assert resp.decode_fields(b"-") == {}
    assert resp.decode_fields(b"a=1,load=inflight:7;util:0.6") == {
        b"a": b"1",
        b"load": b"inflight:7;util:0.6",
    }
    assert resp.encode_fields([]) == b"-"
    assert resp.encode_fields([(b"c", b"x"), (b"w", b"5")]) == b"c=x,w=5"
