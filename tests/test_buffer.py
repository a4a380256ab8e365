"""The read buffer of a connection."""

import pytest

from gullhold.net import buffer
from gullhold.net.connection_ends import ProtocolError


def test_a_buffer_grows_compacts_shrinks_and_has_a_limit():
    read_buffer = buffer.Buffer(20_000)
    read_buffer.put(b"x" * 9000)
    read_buffer.consume(8000)
    size = len(read_buffer.data)
    read_buffer.put(b"y" * (size - 1500))  # fits only after consumed bytes are removed
    assert len(read_buffer.data) == size
    assert read_buffer.peek(1001) == b"x" * 1000 + b"y"
    with pytest.raises(ProtocolError):
        read_buffer.put(b"z" * 20_000)
    read_buffer.consume(len(read_buffer))
    assert len(read_buffer.data) == buffer.INITIAL_BYTES
    assert len(read_buffer) == 0
