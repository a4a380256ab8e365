"""Takes the connections of clients, and makes room for them."""

import socket
import time
from threading import Thread

from loguru import logger

from gullhold.net import host_port
from gullhold.net.client_connection import CROSS_S, DISMISS_S, ClientConnection
from gullhold.net.request_reader import RequestReader


class Listener:
    """Takes connections, to the very end: what waits in the backlog counts as taken."""

    def __init__(self, address, core, agreement, most, clients_most, whose=None):
        self.core, self.most, self.clients_most = core, most, clients_most
        self.reader = RequestReader(agreement, whose, core.retry_after_field)
        self.clients = core.room.clients
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(host_port(address))
        self.sock.listen(socket.SOMAXCONN)

    def run(self):
        """Accept for ever; where descriptors or threads are short, what waits is taken later."""
        waiting = None
        while True:
            try:
                if not waiting:
                    waiting, (host, port) = self.sock.accept()
                sock = waiting
                while not self._room():
                    self.core.counters.add("accepts put off")
                    time.sleep(DISMISS_S)
                client = ClientConnection(sock, self.core, self.reader, self.most, (host, f"{host}:{port}"))
                self.clients.add(client)  # before its thread runs, which may end at once
                try:
                    Thread(target=self._serve, args=(client,), daemon=True, name="client").start()
                except RuntimeError:
                    self.clients.discard(client)
                    raise
                waiting = None
                self.core.counters.add("client connections")
            except Exception as error:  # of any kind: one that ends this thread leaves nobody to take them
                if self.sock.fileno() < 0:
                    return
                if waiting and isinstance(error, OSError):  # it went before we had it
                    waiting.close()
                    waiting = None
                self.core.counters.add("accepts put off")
                if not isinstance(error, OSError | RuntimeError):
                    self.core.counters.add("faults of ours")
                    logger.opt(exception=error).error("taking a connection failed")
                time.sleep(DISMISS_S)

    def _serve(self, client):
        try:
            client.run()
        finally:  # its descriptor is given back by now: until then it holds its room
            self.clients.discard(client)

    def end_clients(self):
        """From the core, at the end: what has come on any connection is answered, then its end is said.

        Guards against requests that lie unread when the process ends: their connections are reset.
        """
        for client in list(self.clients):
            client.dismiss()

    def _room(self):
        """Whether one more may come; for it the one goes that has been idle the longest.

        Guards against hundreds that say nothing, or ask once and stay, while others wait outside; an
        eighth of the room is kept free, so that nobody waits for another to go.
        """
        if len(self.clients) < self.clients_most * 7 // 8:
            return True
        late = time.monotonic() - CROSS_S  # one that came just now is about to ask
        idle = [
            client
            for client in list(self.clients)
            if not client.busy() and not client.over and client.quiet_at < late
        ]
        if idle:
            self.core.counters.add("idle ones closed for room")
            min(idle, key=lambda client: (client.pipe.queued > 0, client.quiet_at)).dismiss()
        return len(self.clients) < self.clients_most
