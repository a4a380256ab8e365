"""The coordinator: keeps how it was asked, and says what it is told to."""

import json
import socket
from threading import Event, Thread

from gullhold.testing import PATIENCE_S, listening


class Feed:
    """Takes one follower after another; say() sends a line to the one that is there."""

    def __init__(self):
        self.asked, self.conn, self.up = [], None, Event()
        self.sock, self.address = listening()
        Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn = self.sock.accept()[0]
            except OSError:  # closed
                return
            self.asked.append(conn.recv(100))
            self.conn = conn
            self.up.set()

    def say(self, *lines):
        """Lines, JSON or plain."""
        assert self.up.wait(PATIENCE_S)
        self.conn.sendall(
            b"".join(line if isinstance(line, bytes) else json.dumps(line).encode() + b"\n" for line in lines)
        )

    def close(self):
        """It refuses from now on, and closes what is open."""
        for sock in filter(None, (self.sock, self.conn)):
            sock.shutdown(socket.SHUT_RDWR)
            sock.close()
