"""The buffer of a connection."""

import pytest

from gullhold.net import buffer
from gullhold.net.connection_ends import ProtocolError


def test_a_buffer_grows_compacts_shrinks_and_has_a_limit():
    one = buffer.Buffer(20_000)
    one.put(b"x" * 9000)
    one.consume(8000)
    size = len(one.data)
    one.put(b"y" * (size - 1500))  # fits once what was used has made room
    assert len(one.data) == size
    assert one.peek(1001) == b"x" * 1000 + b"y"
    with pytest.raises(ProtocolError):
        one.put(b"z" * 20_000)
    one.consume(len(one))
    assert len(one.data) == buffer.INITIAL_BYTES
    assert len(one) == 0
