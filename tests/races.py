"""Helpers of the tests that force pairs of events to cross in the order that hurts.

docs/notes/crossings.md has the table of these pairs.
"""

import socket
import threading

from serving import PATIENCE

CLIENT_CLOSED = "client_connections_ended_closed_by_peer"  # the counter of clients that left


class Blocked:
    """The core stands still from entering to leaving; what comes meanwhile waits for it."""

    def __init__(self, core):
        self.core, self.go, self.stands = core, threading.Event(), threading.Event()

    def __enter__(self):
        self.core.post(lambda: (self.stands.set(), self.go.wait(PATIENCE)))
        assert self.stands.wait(PATIENCE)
        return self

    def __exit__(self, *_):
        self.go.set()


class Late:
    """An engine's address at which connections come up only after come_up(): until then its line is full.

    The system drops what asks for a connection while the line of those not yet taken is full; who asks tries
    again a second later.
    """

    def __init__(self):
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.fill = socket.create_connection(self.sock.getsockname())

    def come_up(self):
        """The next connection, as it comes up."""
        self.fill.close()
        self.sock.accept()[0].close()
        self.sock.settimeout(PATIENCE)
        conn = self.sock.accept()[0]
        conn.settimeout(PATIENCE)
        return conn

    def close(self):
        """Nobody comes any more."""
        self.sock.close()


def half_reading(caller):
    """Reads to the end: (all bytes, whether the end came in good order)."""
    got = caller.buffer
    while True:
        try:
            data = caller.sock.recv(100_000)
        except ConnectionError:
            return got, False
        if not data:
            return got, True
        got += data
