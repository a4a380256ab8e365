"""Thousands of stand-in engines in one thread: each listens, answers a fetch at once, and is counted."""

import selectors
import socket
from contextlib import suppress
from threading import Thread

from gullhold.net import resp
from gullhold.testing import LOOPBACK

MAX_MESSAGE_BYTES = 200_000  # bytes of one message of the gateway
BACKLOG = 16  # connections of one engine that wait to be taken
MAX_READ_BYTES = 65_536  # bytes of one read


class Swarm:
    """Engines that listen from the start to close(); addresses[i] is that of engine i."""

    def __init__(self, size, answer=b"a\tb\tc\n"):
        self.answer, self.accepted, self.fetches, self.closed = answer, 0, 0, False
        self.selector, self.addresses = selectors.DefaultSelector(), []
        for _ in range(size):
            sock = socket.create_server((LOOPBACK, 0), backlog=BACKLOG)
            sock.setblocking(False)
            self.addresses.append(f"{LOOPBACK}:{sock.getsockname()[1]}")
            self.selector.register(sock, selectors.EVENT_READ, None)
        self.thread = Thread(target=self._run, daemon=True, name="swarm")
        self.thread.start()

    def close(self):
        """All of them end."""
        self.closed = True
        self.thread.join()
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        self.selector.close()

    def _run(self):
        while not self.closed:
            for key, _ in self.selector.select(0.2):
                with suppress(OSError):
                    if key.data is None:
                        self._accept(key.fileobj)
                    else:
                        self._read(key.fileobj, key.data)

    def _accept(self, listener):
        conn = listener.accept()[0]
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted += 1
        self.selector.register(conn, selectors.EVENT_READ, resp.Decoder(MAX_MESSAGE_BYTES))

    def _read(self, conn, machine):
        try:
            data = conn.recv(MAX_READ_BYTES)
        except ConnectionError:
            data = b""
        if not data:
            self.selector.unregister(conn)
            conn.close()
            return
        machine.buffer.put(data)
        for verb, txn, *_ in machine.arrays():
            if verb == b"fetch":
                self.fetches += 1
                conn.sendall(resp.encode(txn, b"200", b"pages=1,cost=5,need=10", self.answer))
            elif verb == b"alive":
                conn.sendall(resp.encode(txn, b"alive"))
