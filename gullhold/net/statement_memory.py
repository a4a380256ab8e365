"""The memory for statements of waiting requests, of all clients together."""

from threading import Lock
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gullhold.net.client_connection import ClientConnection


class StatementMemory:
    """Bytes of statements that all clients together may have waiting, and whether answers are read too late.

    Guards the memory limit of the process against many clients that send much at once or never read: what one
    connection may buffer is small, what hundreds may is not. May be used from any thread.

    clients: the open client connections, kept by the listener.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.lock = Lock()
        self.clients: set[ClientConnection] = set()

    def reserve(self, size: int) -> bool:
        """Reserve bytes for a statement; False where they exceed the limit. release() returns them."""
        with self.lock:
            if self.used_bytes + size > self.max_bytes:
                return False
            self.used_bytes += size
            return True

    def release(self, size: int) -> None:
        """Return the reserved bytes of a statement."""
        with self.lock:
            self.used_bytes -= size

    def are_answers_over_limit(self) -> bool:
        """Whether unread answers of all clients take more than max_bytes."""
        return sum(client.write_buffer.size for client in list(self.clients)) > self.max_bytes
