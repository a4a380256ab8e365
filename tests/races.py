"""Helpers for tests of races: they make two events happen in the order that may cause a fault.

docs/notes/crossings.md has a table of the pairs of events.
"""

import socket
import threading
from types import TracebackType
from typing import NamedTuple, Self

from serving import WAIT_TIMEOUT_S

from gullhold.net.core import Core
from gullhold.testing.client import BlockingClient

CLIENTS_CLOSED_COUNTER = "client_connections_ended_closed_by_peer"  # counts clients that left


class BlockedCore:
    """Blocks the core's thread inside a `with` block; events that are posted meanwhile stay queued."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.blocked = threading.Event()
        self.released = threading.Event()

    def _block(self) -> None:
        self.blocked.set()
        self.released.wait(WAIT_TIMEOUT_S)

    def __enter__(self) -> Self:
        self.core.post(self._block)
        assert self.blocked.wait(WAIT_TIMEOUT_S), f"the core did not begin to block within {WAIT_TIMEOUT_S} s"
        return self

    def __exit__(self, *_: type[BaseException] | BaseException | TracebackType | None) -> None:
        self.released.set()


class LateEngine:
    """An engine address at which connections are established only after accept().

    Until then the listen backlog is full: the system drops connection requests, and the connecting side
    repeats them after a second.
    """

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.backlog_filler = socket.create_connection(self.sock.getsockname())

    def fill(self) -> None:
        """Fill the backlog again, after accept()."""
        self.backlog_filler = socket.create_connection(self.sock.getsockname())

    def accept(self) -> socket.socket:
        """Make room in the backlog and accept the next connection."""
        self.backlog_filler.close()
        self.sock.accept()[0].close()
        self.sock.settimeout(WAIT_TIMEOUT_S)
        connection = self.sock.accept()[0]
        connection.settimeout(WAIT_TIMEOUT_S)
        return connection

    def close(self) -> None:
        """Stop listening."""
        self.sock.close()


class Remainder(NamedTuple):
    """The data left to read on a connection; is_orderly: it ended with a FIN, not with a reset."""

    data: bytes
    is_orderly: bool


def read_to_end(caller: BlockingClient) -> Remainder:
    """Read all data left on a client's connection, without writing to it or closing it."""
    data = caller.buffer
    while True:
        try:
            received = caller.sock.recv(100_000)
        except ConnectionError:
            return Remainder(data, False)
        if not received:
            return Remainder(data, True)
        data += received
