"""Accepts client connections, and closes idle ones where the number of connections nears its limit."""

import socket
import time
from threading import Thread
from typing import TYPE_CHECKING

from loguru import logger

from gullhold.interface import Agreement
from gullhold.net import split_host_port
from gullhold.net.client_connection import POLL_INTERVAL_S, TRANSIT_TIME_S, ClientConnection
from gullhold.net.core import Core
from gullhold.net.pending_requests import PeerAddress
from gullhold.net.request_reader import RequestReader

if TYPE_CHECKING:
    from gullhold.admission.client_identity import ClientIdentifier

RESERVED_DIVISOR = 8  # 1/8 of the max_clients connections is kept free for new ones


class Listener:
    """Accepts connections until the process ends.

    It accepts them in the shutdown too: to a client, a connection in the kernel's backlog is already
    established. max_clients: limit of open client connections. clients: the open client connections, shared
    with the statement memory.
    """

    def __init__(
        self,
        address: str,
        core: Core,
        agreement: Agreement,
        max_message_bytes: int,
        max_clients: int,
        client_identity: "ClientIdentifier | None" = None,
    ) -> None:
        """Listen on HOST:PORT. Raises OSError, or ValueError for an address of another form."""
        self.core = core
        self.max_message_bytes = max_message_bytes
        self.max_clients = max_clients
        self.reader = RequestReader(agreement, client_identity, core.retry_after_field)
        self.clients = core.statement_memory.clients
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(split_host_port(address))
        self.sock.listen(socket.SOMAXCONN)
        self._accepted: tuple[socket.socket, tuple[str, int]] | None = None  # accepted, but not served yet

    def run(self) -> None:
        """Accept connections until the listening socket is closed.

        While the process lacks descriptors or threads, connections wait and are accepted later.
        """
        while True:
            try:
                if self._accepted is None:
                    self._accepted = self.sock.accept()
                self._start_client(*self._accepted)
                self._accepted = None
                self.core.counters.add("client_connections_accepted")
            except Exception as error:  # noqa: BLE001  without this thread nothing is accepted
                if self.sock.fileno() < 0:
                    return
                self._handle_accept_error(error)
                time.sleep(POLL_INTERVAL_S)

    def close_clients(self) -> None:
        """Drain all connections; called from the core at the shutdown.

        A process that ends while requests are unread resets their connections.
        """
        for client in list(self.clients):
            if not client.is_draining:
                client.drain()

    def has_clients(self) -> bool:
        """Whether any client connection is still open. From any thread."""
        return bool(self.clients)

    def _start_client(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Wait until the limit allows one more, then serve an accepted connection in a thread of its own.

        Raises RuntimeError if the thread can't be started.
        """
        while not self._make_room():
            self.core.counters.add("accepts_deferred")
            time.sleep(POLL_INTERVAL_S)
        host, port = peer
        client = ClientConnection(
            sock, self.core, self.reader, self.max_message_bytes, PeerAddress(host, f"{host}:{port}")
        )
        self.clients.add(client)  # before its thread runs, which may end at once
        try:
            Thread(target=self._serve, args=(client,), daemon=True, name="client").start()
        except RuntimeError:
            self.clients.discard(client)
            raise

    def _handle_accept_error(self, error: Exception) -> None:
        """Count a connection that could not be served; close it if it is broken, else it is tried again."""
        if self._accepted and isinstance(error, OSError):  # the client disconnected before it was served
            sock, _ = self._accepted
            sock.close()
            self._accepted = None
        self.core.counters.add("accepts_deferred")
        if not isinstance(error, OSError | RuntimeError):
            self.core.counters.add("internal_faults")
            logger.opt(exception=error).error("accept failed")

    def _serve(self, client: ClientConnection) -> None:
        try:
            client.run()
        finally:  # its descriptor is closed by now, so it no longer counts against the limit
            self.clients.discard(client)

    def _make_room(self) -> bool:
        """Whether one more connection is allowed. Near the limit, also drain the longest idle connection.

        Without this, idle connections by the hundred would keep new clients waiting in the backlog.
        """
        if len(self.clients) < self.max_clients * (RESERVED_DIVISOR - 1) // RESERVED_DIVISOR:
            return True
        latest_s = time.monotonic() - TRANSIT_TIME_S  # a newer connection is about to send a request
        idle = [
            client
            for client in list(self.clients)
            if not client.is_busy() and not client.is_ending and client.last_active_at < latest_s
        ]
        if idle:
            self.core.counters.add("idle_clients_closed")
            # First the connections on which nothing was ever answered; among these the longest idle one.
            min(idle, key=lambda client: (client.write_buffer.end_offset > 0, client.last_active_at)).drain()
        return len(self.clients) < self.max_clients
