"""Bytes as they may arrive, for tests of the protocols' state machines without sockets."""

import struct

from hypothesis import settings
from hypothesis import strategies as st

from gullhold.net import thrift

MOST = 60_000


CUTS = st.lists(st.integers(1, 4000), max_size=12)


SEEDED = settings(derandomize=True, deadline=None, database=None, max_examples=60)


def feed(machine, read, data, cuts):
    """All that a machine finds in data that comes in pieces; the last size goes on to the end."""
    found, at = [], 0
    while at < len(data):
        size = cuts.pop(0) if cuts else 1 if len(data) < 600 else 997
        machine.buffer.put(data[at : at + size])
        found += list(read(machine))
        at += size
    return found


def text(data):
    """A string of the Thrift protocol: its length in 4 bytes, then its bytes."""
    return struct.pack(">i", len(data)) + data


def call(method=b"execute", seq=1, fields=None, body=b"select 1", kind=thrift.CALL, extra=b""):
    """A client's frame, built by hand."""
    pairs = b"".join(text(k) + text(v) for k, v in (fields or {}).items())
    args = extra + b"\x0d\x00\x01" + struct.pack(">BBi", 11, 11, len(fields or {})) + pairs
    args += b"\x0b\x00\x02" + text(body) if body is not None else b""
    message = struct.pack(">HBB", 0x8001, 0, kind) + text(method) + struct.pack(">i", seq) + args + b"\0"
    return text(message)
