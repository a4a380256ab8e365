"""A relay between two processes, which cuts, delays, halves and loses what passes, one way or both."""

import socket
import threading
import time
from contextlib import suppress

from gullhold.net import host_port
from gullhold.testing import listening

THERE, BACK = "there", "back"  # from who connects to who listens, and the other way
OPEN, HELD, LOST, HALVED = "open", "held", "lost", "halved"
CHUNK = 65536


class Relay:
    """Passes bytes to a target until told otherwise.

    Held bytes go on when the way is open again, as a network would deliver them late, also those of a side
    that has given up. Lost: the connection ends in their place. Halved: half of the next bytes go on, then
    the connection ends.
    """

    def __init__(self, target):
        self.target, self.delay_s = host_port(target), 0.0
        self.ways, self.changed = {THERE: OPEN, BACK: OPEN}, threading.Condition()
        self.conns, self.closed = set(), False
        self.sock, self.address = listening()
        threading.Thread(target=self._accept, daemon=True).start()

    def set(self, way=OPEN, sides=(THERE, BACK)):
        """From now on what passes on these sides is open, held, lost or halved."""
        with self.changed:
            self.ways.update(dict.fromkeys(sides, way))
            self.changed.notify_all()

    def reset(self):
        """Every connection ends."""
        for sock in list(self.conns):
            self._end(sock)

    def close(self):
        """Refuse from now on."""
        self.closed = True
        self.set(OPEN)
        self._end(self.sock)
        self.reset()

    def _accept(self):
        while not self.closed:
            try:
                near = self.sock.accept()[0]
            except OSError:
                self.sock.close()
                return
            threading.Thread(target=self._join, args=(near,), daemon=True).start()

    def _join(self, near):
        self._wait(THERE)  # a new connection does not come up through a cut
        try:
            far = socket.create_connection(self.target, timeout=5)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.conns.add(sock)
        back = threading.Thread(target=self._pump, args=(far, near, BACK), daemon=True)
        back.start()
        self._pump(near, far, THERE)
        back.join()
        for sock in (near, far):  # only now: while a thread reads there its number must not be another's
            self.conns.discard(sock)
            sock.close()

    def _wait(self, side):
        with self.changed:
            while self.ways[side] == HELD and not self.closed:
                self.changed.wait(0.5)
            return self.ways[side]

    def _pump(self, source, sink, side):
        with suppress(OSError):
            while data := source.recv(CHUNK):
                if self.delay_s:
                    time.sleep(self.delay_s)
                way = self._wait(side)
                if way == LOST:
                    break
                sink.sendall(data[: len(data) // 2] if way == HALVED else data)
                if way == HALVED:
                    break
            else:  # what was sent before the end still goes on
                self._wait(side)
                sink.shutdown(socket.SHUT_WR)
                return
        self._end(source)
        self._end(sink)

    def _end(self, sock):
        """Both threads that read and write there come back; the one that made it closes it."""
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
