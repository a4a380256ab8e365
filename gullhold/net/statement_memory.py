"""Limits the memory for what pending requests keep, and for unread answers, of all clients together."""

from threading import Lock
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gullhold.net.client_connection import ClientConnection


class StatementMemory:
    """Reserves memory for requests, and checks the memory for unread answers; each may use max_bytes.

    A request reserves its statement and idempotency key, or its whole message while it is deferred. Protects
    the memory limit of the process: one connection keeps little, but hundreds of clients that send large
    requests or do not read answers would exceed it. May be used from any thread.

    clients: the open client connections, maintained by the listener.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.lock = Lock()
        self.clients: set[ClientConnection] = set()

    def reserve(self, size: int) -> bool:
        """Reserve bytes for a request until release(); False if that would exceed max_bytes."""
        with self.lock:
            if self.used_bytes + size > self.max_bytes:
                return False
            self.used_bytes += size
            return True

    def release(self, size: int) -> None:
        """Return bytes that were reserved for a request."""
        with self.lock:
            self.used_bytes -= size

    def are_answers_over_limit(self) -> bool:
        """Whether the buffered answers that clients have not read yet exceed max_bytes."""
        return sum(client.write_buffer.size for client in list(self.clients)) > self.max_bytes
