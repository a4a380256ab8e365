"""A test double of the discovery service: keeps the requests of its followers, and sends what it is given."""

import json
import socket
from threading import Event, Thread
from typing import Any

from gullhold.testing import WAIT_TIMEOUT_S, accepted_connections, open_listener

MAX_REQUEST_BYTES = 100


class DiscoveryService:
    """Serves one follower after another until close().

    follow_requests: the first bytes that each connection sent.
    """

    def __init__(self) -> None:
        self.follow_requests: list[bytes] = []
        self.connection: socket.socket | None = None
        self.has_follower = Event()
        self.listener, self.address = open_listener()
        Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        for connection in accepted_connections(self.listener):
            self.follow_requests.append(connection.recv(MAX_REQUEST_BYTES))
            self.connection = connection
            self.has_follower.set()

    def send(self, *lines: bytes | dict[str, Any]) -> None:
        """Send lines to the last follower, once there is one; bytes are sent as they are, others as JSON."""
        assert self.has_follower.wait(WAIT_TIMEOUT_S)
        assert self.connection is not None
        self.connection.sendall(b"".join(map(_encoded, lines)))

    def close(self) -> None:
        """Stop listening, and close the last connection."""
        for sock in (self.listener, self.connection):
            if sock is not None:
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()


def _encoded(line: bytes | dict[str, Any]) -> bytes:
    return line if isinstance(line, bytes) else json.dumps(line).encode() + b"\n"
