"""The read buffer of a connection: grows as needed, is compacted in place, and shrinks when it is empty."""

import socket
from typing import TYPE_CHECKING, Protocol

from gullhold.net.connection_ends import ProtocolError
from gullhold.net.receive_memory import ReceiveMemoryError

if TYPE_CHECKING:
    from gullhold.net.connection import Connection
    from gullhold.net.receive_memory import ReceiveMemory

INITIAL_BYTES = 4096  # a page of memory, enough for most messages


class Readable(Protocol):
    """What bytes can be read from, as a socket."""

    def recv_into(self, buffer: memoryview, /) -> int:
        """Read bytes into a buffer; return their number, 0 at the end of the stream."""
        ...


class Buffer:
    """The bytes that have arrived and are not consumed yet, data[start:end]; max_bytes: their limit.

    memory: in which it reserves what it grows by; connection: woken when the buffer is given up. None: it
    reserves nothing.
    """

    def __init__(
        self,
        max_bytes: int,
        memory: "ReceiveMemory | None" = None,
        connection: "Connection | None" = None,
    ) -> None:
        self.max_bytes = max_bytes
        self._memory = memory
        self._connection = connection
        self._is_given_up = False
        self.data = bytearray(INITIAL_BYTES)
        self.start = 0
        self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    @property
    def is_given_up(self) -> bool:
        """Whether the next receive() raises ReceiveMemoryError."""
        return self._is_given_up

    def receive(self, sock: "Readable") -> int:
        """Read from a socket once; return the number of bytes read, 0 at the end of the stream.

        Raises ReceiveMemoryError if the buffer was given up.
        """
        if self._is_given_up:
            raise ReceiveMemoryError("given up, as the read buffers exceeded their limit")
        self._make_room(1)
        with memoryview(self.data) as view, view[self.end :] as tail:
            count = sock.recv_into(tail)
        if not count and self._is_given_up:
            raise ReceiveMemoryError("given up, as the read buffers exceeded their limit")
        self.end += count
        return count

    def put(self, data: bytes) -> None:
        """Append bytes. Raises ProtocolError if the buffer would exceed max_bytes."""
        self._make_room(len(data))
        self.data[self.end : self.end + len(data)] = data
        self.end += len(data)

    def peek(self, size: int, offset: int = 0) -> bytes | None:
        """Return size bytes at an offset without consuming them; None if not all have arrived."""
        begin = self.start + offset
        return bytes(self.data[begin : begin + size]) if begin + size <= self.end else None

    def find(self, delimiter: bytes, offset: int = 0) -> int:
        """Return the offset of the first delimiter at or after an offset, or -1."""
        found = self.data.find(delimiter, self.start + offset, self.end)
        return found - self.start if found >= 0 else -1

    def consume(self, size: int) -> None:
        """Discard the first size bytes."""
        self.start += size
        if self.start < self.end:
            return
        self.start = 0
        self.end = 0
        if len(self.data) > INITIAL_BYTES:
            self.data = bytearray(INITIAL_BYTES)
            if self._memory:
                self._memory.release(self)

    def clear(self) -> None:
        """Discard all bytes."""
        self.consume(len(self))

    def give_up(self) -> None:
        """Have the next receive() raise ReceiveMemoryError, also one that waits now. From any thread."""
        self._is_given_up = True
        if self._connection:
            self._connection.shutdown(socket.SHUT_RD)

    def _make_room(self, size: int) -> None:
        """Compact or extend data, so that size bytes can be appended. Raises ProtocolError over max_bytes."""
        if self.end + size <= len(self.data):
            return
        used = len(self)
        if used + size > self.max_bytes:
            raise ProtocolError(f"message exceeds the limit of {self.max_bytes} bytes")
        if self.start:
            self.data[:used] = self.data[self.start : self.end]
            self.start = 0
            self.end = used
        if used + max(size, INITIAL_BYTES) > len(self.data):
            wanted = max(len(self.data), size)
            growth = min(wanted, max(self.max_bytes - len(self.data), size))
            if self._memory:
                self._memory.reserve(self, growth)
            self.data.extend(bytes(growth))
