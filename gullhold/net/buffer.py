"""The read buffer of a connection: grows as needed, is compacted in place, and shrinks when it is empty."""

import socket

from gullhold.net.connection_ends import ProtocolError

INITIAL_BYTES = 4096  # a page of memory, enough for most messages


class Buffer:
    """The bytes that have arrived and are not consumed yet, data[start:end]; max_bytes: their limit."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.data = bytearray(INITIAL_BYTES)
        self.start = 0
        self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def receive(self, sock: socket.socket) -> int:
        """Read from a socket once; return the number of bytes read, 0 at the end of the stream."""
        self._make_room(1)
        with memoryview(self.data) as view, view[self.end :] as tail:
            count = sock.recv_into(tail)
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
            self.data.extend(bytes(growth))
