"""Test doubles of what a gateway talks to: engines, clients, the discovery service, a fleet's store.

They implement the platform's published protocols, share no state with the gateway, and listen on loopback
only. Tests, benchmarks and the commands `gullhold demo` and `gullhold store` use them.
"""

import socket
from collections.abc import Iterator

LOOPBACK = "127.0.0.1"  # the only address on which a test double listens or connects
WAIT_TIMEOUT_S = 8.0  # s after which a wait of a test double fails: far more than any answer takes
LISTEN_BACKLOG = 512  # connections of one listener that may wait to be accepted


def open_listener() -> tuple[socket.socket, str]:
    """Open a listening socket on a free port; return it with its address, HOST:PORT."""
    sock = socket.create_server((LOOPBACK, 0), backlog=LISTEN_BACKLOG)
    return sock, f"{LOOPBACK}:{sock.getsockname()[1]}"


def accepted_connections(listener: socket.socket) -> Iterator[socket.socket]:
    """Accept connections until the listener is closed."""
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:  # closed
            return
        yield connection
