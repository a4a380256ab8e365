"""Input bytes in pieces of any size, for tests of decoders without sockets."""

import struct
from collections.abc import Callable, Iterable
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st

from gullhold.net import thrift

MAX_MESSAGE_BYTES = 60_000

PIECE_SIZES = st.lists(st.integers(1, 4000), max_size=12)  # sizes in bytes

# The same examples in every run.
DETERMINISTIC = settings(derandomize=True, deadline=None, database=None, max_examples=60)


def read_in_pieces(
    decoder: Any, read: Callable[[Any], Iterable[Any]], data: bytes, sizes: list[int]
) -> list[Any]:
    """Return all that a decoder yields for data that arrive in pieces.

    sizes: sizes in bytes of the first pieces, which are removed from the list. The rest arrives byte by byte
    if the data are short, or else in larger pieces.
    """
    found, at = [], 0
    while at < len(data):
        size = sizes.pop(0) if sizes else 1 if len(data) < 600 else 997
        decoder.buffer.put(data[at : at + size])
        found += list(read(decoder))
        at += size
    return found


def encode_string(data: bytes) -> bytes:
    """Return a Thrift string: its length in 4 bytes, then its bytes."""
    return struct.pack(">i", len(data)) + data


def encode_call(
    method: bytes = b"execute",
    seq: int = 1,
    fields: dict[bytes, bytes] | None = None,
    body: bytes | None = b"select 1",
    message_type: int = thrift.CALL,
    extra: bytes = b"",
) -> bytes:
    """Return the frame of a call, built without the encoder under test.

    extra: encoded fields that precede the others.
    """
    pairs = b"".join(encode_string(key) + encode_string(value) for key, value in (fields or {}).items())
    arguments = extra + b"\x0d\x00\x01" + struct.pack(">BBi", 11, 11, len(fields or {})) + pairs
    arguments += b"\x0b\x00\x02" + encode_string(body) if body is not None else b""
    header = struct.pack(">HBB", 0x8001, 0, message_type) + encode_string(method) + struct.pack(">i", seq)
    return encode_string(header + arguments + b"\0")
