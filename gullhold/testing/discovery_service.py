"""A test double of the discovery service, which sends its followers the events that a test gives it."""

import json
import socket
from threading import Event, Thread
from typing import Any

from gullhold.testing import WAIT_TIMEOUT_S, accepted_connections, open_listener

MAX_REQUEST_BYTES = 100


class DiscoveryService:
    """Accepts followers until close(), and sends events to the latest one.

    follow_requests: the first bytes that each follower sent.
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
        """Wait for a follower, and send lines to the latest one; bytes are sent unchanged, dicts as JSON."""
        assert self.has_follower.wait(WAIT_TIMEOUT_S)
        assert self.connection is not None
        self.connection.sendall(b"".join(map(_encoded, lines)))

    def close(self) -> None:
        """Stop listening, and close the latest follower's connection."""
        for sock in (self.listener, self.connection):
            if sock is not None:
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()


def _encoded(line: bytes | dict[str, Any]) -> bytes:
    return line if isinstance(line, bytes) else json.dumps(line).encode() + b"\n"
