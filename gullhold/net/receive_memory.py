"""Limits the memory for messages that have not arrived completely, of all client connections together."""

from threading import Lock
from typing import TYPE_CHECKING

from gullhold.net.connection_ends import ProtocolError

if TYPE_CHECKING:
    from gullhold.net.buffer import Buffer


class ReceiveMemoryError(ProtocolError):
    """A buffer may not grow, as all of them together would exceed their memory and it is the largest."""


class ReceiveMemory:
    """Counts by how much the read buffers exceed their initial size; together they may use max_bytes.

    Protects the memory limit of the process: one connection buffers little, but hundreds of clients that each
    send a part of a large message would exceed it. Usual messages fit the initial size and reserve nothing.
    Where the limit is reached the largest buffer is given up, not the one that wants to grow.

    May be used from any thread.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._lock = Lock()
        self._bytes_by_buffer: dict[Buffer, int] = {}

    def reserve(self, buffer: "Buffer", size: int) -> None:
        """Reserve bytes by which a buffer is about to grow. Raises ReceiveMemoryError."""
        with self._lock:
            self._bytes_by_buffer[buffer] = self._bytes_by_buffer.get(buffer, 0) + size
            self.used_bytes += size
            if self.used_bytes <= self.max_bytes:
                return
            largest = max(self._bytes_by_buffer, key=self._bytes_by_buffer.__getitem__)
            self._forget(largest)
        if largest is buffer:
            raise ReceiveMemoryError(f"the read buffers exceed their limit of {self.max_bytes} bytes")
        largest.give_up()

    def has_room(self, size: int) -> bool:
        """Whether so many bytes could be reserved now."""
        return self.used_bytes + size <= self.max_bytes

    def release(self, buffer: "Buffer") -> None:
        """Return all that a buffer has reserved."""
        with self._lock:
            self._forget(buffer)

    def _forget(self, buffer: "Buffer") -> None:
        self.used_bytes -= self._bytes_by_buffer.pop(buffer, 0)
