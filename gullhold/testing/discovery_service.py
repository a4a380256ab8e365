"""A test double of the discovery service, which sends its followers the events that a test gives it."""

import json
import socket
from contextlib import suppress
from threading import Event, Lock, Thread
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


class RecordingDiscoveryService(DiscoveryService):
    """A discovery service that keeps its events: a follower gets all those after the one that it names.

    lines: of the events from number 1 on, each ends with a line feed and need not be valid. After them a
    follower gets the number of the last one.
    """

    def __init__(self, *lines: bytes | dict[str, Any]) -> None:
        self.lines = [_encoded(line) for line in lines]
        self._lock = Lock()
        super().__init__()

    def tell(self, line: bytes | dict[str, Any]) -> None:
        """Add an event, and send it to the latest follower."""
        with self._lock:
            self.lines.append(_encoded(line))
            connection = self.connection
            if connection is not None:
                with suppress(OSError):  # the follower has just left: the next one gets it
                    connection.sendall(self.lines[-1] + b"%d\n" % len(self.lines))

    def _accept(self) -> None:
        for connection in accepted_connections(self.listener):
            request = connection.recv(MAX_REQUEST_BYTES)
            with self._lock, suppress(OSError):
                last = int(request.split()[1])
                connection.sendall(b"".join(self.lines[last:]) + b"%d\n" % len(self.lines))
                self.connection = connection
                self.follow_requests.append(request)
            self.has_follower.set()
