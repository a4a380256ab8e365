"""An engine that works: so many commands at once, each for as long as its work takes at the engine's pace.

The work of a command stands in its statement (`/* work=50 */`, milliseconds), so that estimates can lie. What
finds no slot waits in the engine, in turn. pace and slots may be changed at any time; chance is seeded.
"""

import re
import socket
import time
from collections import deque
from contextlib import suppress
from heapq import heappop, heappush
from random import Random
from threading import Condition, Thread

from gullhold.net import resp
from gullhold.testing import listening

WORK = re.compile(rb"/\* work=([0-9.]+) \*/")
WORK_MS = 20.0  # of a statement that does not say
MAX_MESSAGE_BYTES = 200_000  # bytes of one message of the gateway: far over any statement here


def statement(work_ms, group=1):
    """A statement that takes so much work, on this group of tables."""
    return b"select a, b, c from sales_%d.t /* work=%g */" % (group, work_ms)


class WorkingEngine:
    """Serves until closed.

    slots: commands at once; pace: work done in a ms; spread: part by which a command's time varies by chance.
    """

    def __init__(self, slots=4, pace=1.0, spread=0.0, seed=1, result=b"a\tb\tc\n"):
        self.slots, self.pace, self.spread, self.result = slots, pace, spread, result
        self.draw, self.changed = Random(seed).random, Condition()
        self.running, self.waiting, self.ends, self.serial = {}, deque(), [], 0
        self.done, self.work_done, self.most, self.closed, self.conns = 0, 0.0, 0, False, []
        self.sock, self.address = listening()
        for run in (self._accept, self._end):
            Thread(target=run, daemon=True).start()

    def close(self):
        """The process dies: what is open is reset by the system."""
        with self.changed:
            self.closed = True
            self.changed.notify()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for conn in self.conns:
            with suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)

    def _accept(self):
        while True:
            try:
                conn = self.sock.accept()[0]
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.conns.append(conn)
            Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        machine = resp.Decoder(MAX_MESSAGE_BYTES)
        with suppress(OSError):
            while machine.buffer.receive(conn):
                for words in machine.arrays():
                    self._word(conn, words)
        with self.changed:
            self._gone(conn)
        self.conns.remove(conn)
        conn.close()

    def _word(self, conn, words):
        verb, key = words[0], (conn, words[1])
        if verb == b"fetch":
            found = WORK.search(words[3])
            with self.changed:
                self.waiting.append((key, float(found.group(1)) if found else WORK_MS))
                self._start()
        elif verb == b"abort":
            with self.changed:
                self._give_up(key)
                self._unwait(lambda other: other == key)
        elif verb == b"alive":
            conn.sendall(resp.encode(words[1], b"alive"))

    def _gone(self, conn):
        """With the lock held: a connection that ended gives up all that is open on it."""
        for key in [key for key in self.running if key[0] is conn]:
            self._give_up(key)
        self._unwait(lambda key: key[0] is conn)

    def _unwait(self, which):
        for key, _ in self.waiting:
            if which(key):
                self._over(key)
        self.waiting = deque(entry for entry in self.waiting if not which(entry[0]))

    def _give_up(self, key):
        if self.running.pop(key, None) is not None:
            self._over(key)
            self._start()

    def _over(self, key):
        """With the lock held: nothing of this is in the engine any more."""

    def _start(self):
        """With the lock held: what waits takes the slots that are free."""
        while self.waiting and len(self.running) < self.slots:
            key, work = self.waiting.popleft()
            self.serial += 1
            self.running[key] = self.serial
            self.most = max(self.most, len(self.running))
            wide = 1.0 + self.spread * (2 * self.draw() - 1)
            heappush(self.ends, (time.monotonic() + work * wide / self.pace / 1000, self.serial, key, work))
            self.changed.notify()

    def _end(self):
        """Answer what has run for its time."""
        while not self.closed:
            with self.changed:
                now = time.monotonic()
                if not self.ends or self.ends[0][0] > now:
                    self.changed.wait(self.ends[0][0] - now if self.ends else None)
                    continue
                _, serial, key, work = heappop(self.ends)
                if self.running.get(key) != serial:  # given up
                    continue
                del self.running[key]
                self._over(key)
                self.done += 1
                self.work_done += work
                self._start()
            facts = b"pages=1,cost=%.1f,need=50,load=inflight:%d;x0:0.5" % (work, len(self.running))
            with suppress(OSError):
                key[0].sendall(resp.encode(key[1], b"200", facts, self.result))
