"""An engine that does as it is told: it keeps what it hears and answers by acts, one a fetch.

An act is a function (connection, verb, *words of the request); the last one given stays for ever.
"""

import socket
import struct
import time
from threading import Thread

from gullhold.net import resp
from gullhold.testing import listening


class Engine:
    """Listens, keeps what it is told, and answers as its `acts` say: one a fetch, the last for ever."""

    def __init__(self, *acts):
        self.acts, self.told, self.conns, self.slow = list(acts) or [ok()], [], [], 0
        self.sock, self.address = listening()
        Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn = self.sock.accept()[0]
            except OSError:
                return
            self.conns.append(conn)
            Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        machine, act, where = resp.Decoder(200_000), None, len(self.conns)
        try:
            while machine.buffer.receive(conn):
                for words in machine.arrays():
                    self.told.append((where, *words, time.monotonic()))
                    if words[0] == b"fetch":
                        act = self.acts.pop(0) if len(self.acts) > 1 else self.acts[0]
                    if words[0] == b"alive" and act is not mute:
                        time.sleep(self.slow)
                        self.told.append((where, b"alive answered", time.monotonic()))
                        conn.sendall(resp.encode(words[1], b"alive"))
                    elif act:
                        act(conn, *words)
        except OSError:
            pass

    def words(self, verb):
        """All that it was told with this verb."""
        return [words for words in self.told if words[1] == verb]

    def refuse(self):
        """No new connection comes up."""
        self.sock.shutdown(socket.SHUT_RDWR)  # closing alone would leave the accept that waits
        self.sock.close()

    def close(self):
        """The process dies."""
        if self.sock.fileno() >= 0:
            self.refuse()
        for conn in self.conns:
            if conn.fileno() >= 0:
                resets(conn, b"fetch")


def ok(*pages, fields=b"cost=20.5,need=64,load=inflight:7;x0:0.5"):
    """An act: serve these pages."""
    pages = pages or (b"a\tb\tc\n",)

    def act(conn, verb, *words):
        if verb == b"fetch":
            conn.sendall(resp.encode(words[0], b"200", b"pages=%d,%s" % (len(pages), fields), pages[0]))
        if verb == b"more":
            conn.sendall(resp.encode(words[0], b"chunk", b"page=" + words[1], pages[int(words[1])]))

    return act


def says(word, *rest):
    """An act: answer this to a fetch."""
    return lambda conn, verb, *words: (
        verb == b"fetch" and conn.sendall(resp.encode(words[0], word, *rest, b"-", b""))
    )


def raw(data):
    """An act: these bytes, whatever they are."""
    return lambda conn, verb, *_: verb == b"fetch" and conn.sendall(data)


def resets(conn, verb, *_):
    """An act: the process dies with the send open."""
    if verb == b"fetch":
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.close()


def mute(*_):
    """An act: nothing, as a machine that vanished."""


def endless(*_):
    """An act: a query that never ends, on a connection that works."""
