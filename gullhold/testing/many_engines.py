"""Thousands of test engines on one thread; each has its own listener and answers every fetch at once."""

import selectors
import socket
from contextlib import suppress
from threading import Thread

from gullhold.net import resp
from gullhold.testing import LOOPBACK

MAX_MESSAGE_BYTES = 200_000  # bytes of one message of the gateway
BACKLOG = 16  # connections of one engine that wait to be accepted
MAX_READ_BYTES = 65_536  # bytes of one read
SELECT_TIMEOUT_S = 0.2  # s after which the thread checks whether close() was called


class ManyEngines:
    """Engines that listen until close().

    addresses: HOST:PORT by the engine's number; accepted: connections accepted so far; fetches: fetches
    answered so far.
    """

    def __init__(self, size: int, answer: bytes = b"a\tb\tc\n") -> None:
        """size: the number of engines; answer: the page that each fetch gets."""
        self.answer = answer
        self.accepted = 0
        self.fetches = 0
        self.closed = False
        self.selector = selectors.DefaultSelector()
        self.addresses: list[str] = []
        for _ in range(size):
            self._listen()
        self.thread = Thread(target=self._run, daemon=True, name="many-engines")
        self.thread.start()

    def _listen(self) -> None:
        listener = socket.create_server((LOOPBACK, 0), backlog=BACKLOG)
        listener.setblocking(False)
        self.addresses.append(f"{LOOPBACK}:{listener.getsockname()[1]}")
        self.selector.register(listener, selectors.EVENT_READ, None)

    def close(self) -> None:
        """Stop the thread and close all sockets."""
        self.closed = True
        self.thread.join()
        for key in list(self.selector.get_map().values()):
            _socket_of(key).close()
        self.selector.close()

    def _run(self) -> None:
        while not self.closed:
            for key, _ in self.selector.select(SELECT_TIMEOUT_S):
                with suppress(OSError):
                    if key.data is None:
                        self._accept(_socket_of(key))
                    else:
                        self._read(_socket_of(key), key.data)

    def _accept(self, listener: socket.socket) -> None:
        connection = listener.accept()[0]
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted += 1
        self.selector.register(connection, selectors.EVENT_READ, resp.Decoder(MAX_MESSAGE_BYTES))

    def _read(self, connection: socket.socket, decoder: resp.Decoder) -> None:
        try:
            data = connection.recv(MAX_READ_BYTES)
        except ConnectionError:
            data = b""
        if not data:
            self.selector.unregister(connection)
            connection.close()
            return
        decoder.buffer.put(data)
        for verb, txn, *_ in decoder.arrays():
            if verb == b"fetch":
                self.fetches += 1
                connection.sendall(resp.encode(txn, b"200", b"pages=1,cost=5,need=10", self.answer))
            elif verb == b"alive":
                connection.sendall(resp.encode(txn, b"alive"))


def _socket_of(key: selectors.SelectorKey) -> socket.socket:
    assert isinstance(key.fileobj, socket.socket)
    return key.fileobj
