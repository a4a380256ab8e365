"""The memory that the statements of waiting requests may take, for all clients together."""

from threading import Lock
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gullhold.net.client_connection import ClientConnection


class StatementMemory:
    """Bytes of statements that all clients together may have waiting, and whether answers are read too late.

    Guards the limit of memory, which is for all of them, against a few that ask much at once or never read:
    what one connection may hold is small, what hundreds may is not. From any thread.

    clients: the open client connections, kept by the listener.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used = 0
        self.lock = Lock()
        self.clients: set[ClientConnection] = set()

    def reserve(self, size: int) -> bool:
        """Reserve bytes for a statement; False where they exceed the limit. release() returns them."""
        with self.lock:
            if self.used + size > self.max_bytes:
                return False
            self.used += size
            return True

    def release(self, size: int) -> None:
        """Return the bytes of a statement that needs them no more."""
        with self.lock:
            self.used -= size

    def is_crowded(self) -> bool:
        """Whether answers that clients have not read yet take more than as much memory again."""
        return sum(client.write_buffer.size for client in list(self.clients)) > self.max_bytes
