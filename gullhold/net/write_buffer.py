"""The write buffer of a connection: writes at once what the system takes; the flusher writes the rest."""

import socket
from collections import deque
from collections.abc import Callable
from enum import IntEnum
from threading import Lock
from typing import TYPE_CHECKING

from gullhold.net.connection import Connection
from gullhold.net.counters import Counters

if TYPE_CHECKING:
    from gullhold.net.flusher import Flusher


class Rejection(IntEnum):
    """Why put() rejected a message; the offsets that it returns otherwise are positive."""

    CLOSED_OR_FULL = -1
    NOT_ALLOWED = -2  # is_allowed() returned False


class BufferedMessage:
    """A message in a write buffer. renew: encodes it again for the time at which it is written."""

    __slots__ = ("data", "end_offset", "is_started", "remaining", "renew")

    def __init__(self, data: bytes, end_offset: int, renew: Callable[[], bytes] | None) -> None:
        self.data = data
        self.remaining: bytes | memoryview = data
        self.end_offset = end_offset
        self.renew = renew
        self.is_started = False


class WriteBuffer:
    """Writes complete messages in order; put() never blocks. Nothing is written before attach().

    max_bytes: bytes that may wait; flusher: writes what the system did not take at once.
    All methods may be called from any thread.
    """

    def __init__(self, max_bytes: int, counters: Counters, flusher: "Flusher | None") -> None:
        self.max_bytes = max_bytes
        self.counters = counters
        self.flusher = flusher
        self.connection: Connection | None = None
        self.lock = Lock()
        self.pending: deque[BufferedMessage] = deque()
        self.size = 0  # of the messages that wait, in bytes
        self.end_offset = 0  # behind all messages that were ever put
        self.broken_at: int | None = None  # end offset of the first message that was lost
        self.error: OSError | None = None  # of the write that ended the connection
        self.is_flushing = False  # the flusher waits to write on
        self.is_closed = False  # nothing is written any more
        self.is_finishing = False  # no message is accepted any more
        self.is_end_sent = False  # all is written, and our side is shut down

    def attach(self, connection: Connection) -> None:
        """Begin to write: the connection is open."""
        with self.lock:
            self.connection = connection
            self._write()

    def put(
        self,
        data: bytes,
        is_allowed: Callable[[], bool] | None = None,
        renew: Callable[[], bytes] | None = None,
    ) -> int:
        """Queue one message; return the offset of its end, or a Rejection.

        is_allowed(): called right before the message would be written. renew(): called where the message had
        to wait, returns it as it is to be written.
        """
        with self.lock:
            if self.is_closed or self.is_finishing or self.size + len(data) > self.max_bytes:
                return Rejection.CLOSED_OR_FULL
            if is_allowed and self.connection is not None and not is_allowed():
                return Rejection.NOT_ALLOWED
            self.end_offset += len(data)
            self.size += len(data)
            must_wait = self.is_flushing or self.connection is None
            self.pending.append(BufferedMessage(data, self.end_offset, renew if must_wait else None))
            if not must_wait:
                self._write(renew)
            return self.end_offset

    def is_written(self, offset: int) -> bool:
        """Whether all bytes up to this offset were written."""
        with self.lock:
            first_left = self.pending[0].end_offset if self.pending else self.broken_at
            return first_left is None or offset < first_left

    def withdraw(self, data: bytes) -> bool:
        """Remove a message of which nothing was written; return whether it was removed."""
        with self.lock:
            for position, message in enumerate(self.pending):
                if message.data is data and not message.is_started:
                    del self.pending[position]
                    self.size -= len(message.remaining)
                    return True
            return False

    def finish(self, now: bool = False) -> bool:
        """Accept no more messages; once all is written, shut down our side. now: discard what waits.

        Returns whether that is done. The reader closes after the peer has: closing over unread bytes resets
        the connection, which discards what the peer has not read yet.
        """
        with self.lock:
            self.is_finishing = True
            if now:
                self._end_now()
            elif not self.pending:
                self._send_end()
            return self.is_end_sent or self.is_closed

    def flush(self) -> int:
        """From the flusher: write on; return how many bytes were written."""
        with self.lock:
            before = self.size
            self.is_flushing = False
            self._write()
            return before - self.size

    def descriptor(self) -> int:
        """Return the descriptor to poll until more can be written; -1: nothing waits any more."""
        with self.lock:
            if self.connection is None or not self.is_flushing or self.is_closed:
                return -1
            return self.connection.fileno()

    def _send_end(self) -> None:
        """With the lock held: shut down our side, which the peer reads as the end of the stream."""
        if self.connection is not None and not self.is_end_sent:
            self.connection.shutdown(socket.SHUT_WR)
        self.is_end_sent = True

    def _end_now(self) -> None:
        """With the lock held: discard what waits, and wake the reader, which closes the connection."""
        if self.pending and not self.is_closed:
            self.broken_at = self.pending[0].end_offset
        self.is_closed = True
        self.is_flushing = False
        self.pending.clear()
        self.size = 0
        if self.connection is not None:
            self.connection.shutdown()

    def _write(self, renew: Callable[[], bytes] | None = None) -> None:
        """With the lock held: write as much as the system takes now, and leave the rest to the flusher.

        renew: of the last message, kept in case that nothing of it is written now.
        """
        while self.pending and self.connection is not None and not self.is_closed:
            message = self.pending[0]
            if message.renew:
                self._replace(message, message.renew())
            try:
                count = self.connection.send(message.remaining)
            except OSError as error:
                self.error = error
                self._end_now()
                return
            self.size -= count
            if count < len(message.remaining):
                self._leave_to_flusher(message, count, renew)
                return
            self.pending.popleft()
        if self.is_finishing and not self.pending and not self.is_closed:
            self._send_end()

    def _leave_to_flusher(
        self, message: BufferedMessage, count: int, renew: Callable[[], bytes] | None
    ) -> None:
        """With the lock held: have the flusher write all but the first count bytes of a message."""
        if count:
            message.is_started = True
            message.renew = None
            message.remaining = memoryview(message.remaining)[count:]
        else:
            message.renew = message.renew or renew
        self.is_flushing = True
        self.counters.add("partial_writes")
        assert self.flusher is not None, "a write buffer of a socket has a flusher"
        self.flusher.watch(self)

    def _replace(self, message: BufferedMessage, data: bytes) -> None:
        """With the lock held: replace the bytes of a message of which nothing was written."""
        self.size += len(data) - len(message.remaining)
        message.remaining = data
