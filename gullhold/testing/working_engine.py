"""A test engine with a limited number of slots, in which each command runs for the time of its work.

The work of a command is stated in its statement (`/* work=50 */`, ms), so that the client's estimate can
differ from it. Commands that find no free slot wait in a FIFO queue. Random draws are seeded.
"""

import re
import socket
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from heapq import heappop, heappush
from random import Random
from threading import Condition, Thread
from typing import NamedTuple

from gullhold.net import resp
from gullhold.testing import accepted_connections, open_listener

WORK_PATTERN = re.compile(rb"/\* work=([0-9.]+) \*/")
DEFAULT_WORK_MS = 20.0  # work of a statement without a work comment
MAX_MESSAGE_BYTES = 200_000  # bytes of one message from the gateway; statements of tests are far smaller


def statement(work_ms: float, group: int = 1) -> bytes:
    """Return a statement with this work that reads from this group of tables."""
    return b"select a, b, c from sales_%d.t /* work=%g */" % (group, work_ms)


def work_ms_of(text: bytes) -> float:
    """Return the work that a statement states, in ms."""
    found = WORK_PATTERN.search(text)
    return float(found.group(1)) if found else DEFAULT_WORK_MS


class AttemptKey(NamedTuple):
    """Identifies an attempt: the connection on which it arrived, and the number of its command."""

    connection: socket.socket
    txn: bytes


class QueuedAttempt(NamedTuple):
    """An attempt that waits for a slot."""

    key: AttemptKey
    work_ms: float


class ScheduledEnd(NamedTuple):
    """The end of a running attempt, in monotonic s. serial: distinguishes runs with the same key."""

    at: float
    serial: int
    key: AttemptKey
    work_ms: float


class WorkingEngine:
    """An engine that serves until close().

    slots: number of attempts that run at once; speed: ms of work done in a ms; both may be changed at any
    time. running: serial by attempt; queue: attempts that wait for a slot; completed: answers so far.
    `changed` guards all state and wakes the thread that ends attempts; methods marked "Lock held" are called
    with it locked.
    """

    def __init__(
        self,
        slots: int = 4,
        speed: float = 1.0,
        spread: float = 0.0,
        seed: int = 1,
        result: bytes = b"a\tb\tc\n",
    ) -> None:
        """spread: fraction by which a command's time varies at random; result: the page of each answer."""
        self.slots = slots
        self.speed = speed
        self.spread = spread
        self.result = result
        self.draw = Random(seed).random
        self.changed = Condition()
        self.running: dict[AttemptKey, int] = {}
        self.queue: deque[QueuedAttempt] = deque()
        self.scheduled_ends: list[ScheduledEnd] = []
        self.serial = 0
        self.completed = 0
        self.closed = False
        self.connections: list[socket.socket] = []
        self.listener, self.address = open_listener()
        for run in (self._accept, self._complete_attempts):
            Thread(target=run, daemon=True).start()

    def close(self) -> None:
        """Close all sockets, as if the process had ended."""
        with self.changed:
            self.closed = True
            self.changed.notify()
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in self.connections:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        for connection in accepted_connections(self.listener):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.append(connection)
            Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        decoder = resp.Decoder(MAX_MESSAGE_BYTES)
        with suppress(OSError):
            while decoder.buffer.receive(connection):
                for words in decoder.arrays():
                    self._receive(connection, words)
        with self.changed:
            self._connection_ended(connection)
        self.connections.remove(connection)
        connection.close()

    def _receive(self, connection: socket.socket, words: list[bytes]) -> None:
        """Handle one message."""
        verb = words[0]
        key = AttemptKey(connection, words[1])
        if verb == b"fetch":
            with self.changed:
                self.queue.append(QueuedAttempt(key, work_ms_of(words[3])))
                self._start_queued()
        elif verb == b"abort":
            with self.changed:
                self._abort(key)
                self._remove_queued(lambda other: other == key)
        elif verb == b"alive":
            connection.sendall(resp.encode(words[1], b"alive"))

    def _connection_ended(self, connection: socket.socket) -> None:
        """Lock held: abort all attempts that came on a connection."""
        for key in [key for key in self.running if key.connection is connection]:
            self._abort(key)
        self._remove_queued(lambda key: key.connection is connection)

    def _remove_queued(self, is_removed: Callable[[AttemptKey], bool]) -> None:
        """Lock held: remove the queued attempts for which is_removed is true."""
        for attempt in self.queue:
            if is_removed(attempt.key):
                self._ended(attempt.key)
        self.queue = deque(attempt for attempt in self.queue if not is_removed(attempt.key))

    def _abort(self, key: AttemptKey) -> None:
        """Lock held: stop an attempt if it is running."""
        if self.running.pop(key, None) is not None:
            self._ended(key)
            self._start_queued()

    def _ended(self, key: AttemptKey) -> None:
        """Lock held: an attempt has ended or was removed. Subclasses override this."""

    def _start_queued(self) -> None:
        """Lock held: start queued attempts in the free slots."""
        while self.queue and len(self.running) < self.slots:
            key, work_ms = self.queue.popleft()
            self.serial += 1
            self.running[key] = self.serial
            factor = 1.0 + self.spread * (2 * self.draw() - 1)
            end = time.monotonic() + work_ms * factor / self.speed / 1000
            heappush(self.scheduled_ends, ScheduledEnd(end, self.serial, key, work_ms))
            self.changed.notify()

    def _complete_attempts(self) -> None:
        """Answer each attempt that has run for its time, on a thread of its own."""
        while not self.closed:
            with self.changed:
                end = self._next_end()
                if end is None:
                    continue
                self._ended(end.key)
                self.completed += 1
                self._start_queued()
            self._answer(end)

    def _next_end(self) -> ScheduledEnd | None:
        """Lock held: wait for the next end; return it if it is due, None if the caller has to call again."""
        now = time.monotonic()
        if not self.scheduled_ends:
            self.changed.wait()
            return None
        if self.scheduled_ends[0].at > now:
            self.changed.wait(self.scheduled_ends[0].at - now)
            return None
        end = heappop(self.scheduled_ends)
        if self.running.get(end.key) != end.serial:  # aborted meanwhile
            return None
        del self.running[end.key]
        return end

    def _answer(self, end: ScheduledEnd) -> None:
        header = b"pages=1,cost=%.1f,need=50,load=inflight:%d;x0:0.5" % (end.work_ms, len(self.running))
        with suppress(OSError):
            end.key.connection.sendall(resp.encode(end.key.txn, b"200", header, self.result))
