"""The write buffer of a connection: writes at once what the socket accepts; the flusher writes the rest."""

import socket
from collections import deque
from collections.abc import Callable
from enum import IntEnum
from threading import Lock
from typing import TYPE_CHECKING, NamedTuple

from gullhold.net.connection import Connection
from gullhold.net.counters import Counters

if TYPE_CHECKING:
    from gullhold.net.flusher import Flusher


class Rejection(IntEnum):
    """Why put() rejected a message; negative, as it returns a positive offset otherwise."""

    CLOSED_OR_FULL = -1
    NOT_ALLOWED = -2  # is_allowed() returned False


class SendConditions(NamedTuple):
    """What is checked again when a message is written: it may have waited since it was decided.

    All are called with the buffer's lock held, by the thread that writes.

    is_allowed(): called right before the first byte is written; False: the message is not sent.
    reencode(): if the message had to wait, returns it as of now.
    discarded(): called if the message had to wait and is not allowed any more.
    """

    is_allowed: Callable[[], bool]
    reencode: Callable[[], bytes]
    discarded: Callable[[], None]


class BufferedMessage:
    """A message in a write buffer.

    remaining: the bytes that are not written yet. end_offset: as returned by put(). conditions: to be checked
    before its first byte is written; None if there are none, or they were just checked. is_started: some of
    its bytes are written.
    """

    __slots__ = ("conditions", "data", "end_offset", "is_started", "remaining")

    def __init__(self, data: bytes, end_offset: int, conditions: SendConditions | None) -> None:
        self.data = data
        self.remaining: bytes | memoryview = data
        self.end_offset = end_offset
        self.conditions = conditions
        self.is_started = False


class WriteBuffer:
    """Writes complete messages in order; put() never blocks. Nothing is written before attach().

    An offset counts the bytes of all messages that were put, from the first on. max_bytes: limit of the bytes
    that wait. flusher: writes what the socket did not accept at once.

    All methods may be called from any thread.
    """

    def __init__(self, max_bytes: int, counters: Counters, flusher: "Flusher | None") -> None:
        self.max_bytes = max_bytes
        self.counters = counters
        self.flusher = flusher
        self.connection: Connection | None = None
        self.lock = Lock()
        self.pending: deque[BufferedMessage] = deque()
        self.size = 0  # bytes that wait in pending
        self.end_offset = 0  # end of the last message that was put
        self.first_discarded_offset: int | None = None  # end offset of the first message that was discarded
        self.error: OSError | None = None  # error of the write that ended the connection
        self.is_flushing = False  # the flusher waits until the socket is writable
        self.is_closed = False  # no more bytes are written
        self.is_finishing = False  # no more messages are accepted
        self.is_end_sent = False  # all bytes are written, and our side is shut down

    def attach(self, connection: Connection) -> None:
        """Begin to write to a connection, which has just been established."""
        with self.lock:
            self.connection = connection
            self._write()

    def put(self, data: bytes, conditions: SendConditions | None = None) -> int:
        """Write or queue one message; return the offset of its end, or a Rejection.

        conditions: checked now if it is written at once, and whenever it is written later.
        """
        with self.lock:
            if self.is_closed or self.is_finishing or self.size + len(data) > self.max_bytes:
                return Rejection.CLOSED_OR_FULL
            if conditions and self.connection is not None and not conditions.is_allowed():
                return Rejection.NOT_ALLOWED
            self.end_offset += len(data)
            self.size += len(data)
            must_wait = self.is_flushing or self.connection is None
            self.pending.append(BufferedMessage(data, self.end_offset, conditions if must_wait else None))
            if not must_wait:
                self._write(conditions)
            return self.end_offset

    def is_written(self, offset: int) -> bool:
        """Whether all bytes up to this offset were written to the socket."""
        with self.lock:
            first_unwritten = self.pending[0].end_offset if self.pending else self.first_discarded_offset
            return first_unwritten is None or offset < first_unwritten

    def withdraw(self, data: bytes) -> bool:
        """Remove a message if none of it was written; data: the object that was passed to put().

        Returns whether it was removed.
        """
        with self.lock:
            for position, message in enumerate(self.pending):
                if message.data is data and not message.is_started:
                    del self.pending[position]
                    self.size -= len(message.remaining)
                    return True
            return False

    def finish(self, now: bool = False) -> bool:
        """Accept no more messages, and shut down our side once all are written; now: discard those that wait.

        Returns whether our side is shut down. The reader closes the socket after the peer has closed its
        side: a close with unread bytes resets the connection, and the peer loses what it has not read yet.
        """
        with self.lock:
            self.is_finishing = True
            if now:
                self._end_now()
            elif not self.pending:
                self._send_end()
            return self.is_end_sent or self.is_closed

    def flush(self) -> int:
        """From the flusher: write as much as the socket accepts; return the number of bytes written."""
        with self.lock:
            before = self.size
            self.is_flushing = False
            self._write()
            return before - self.size

    def descriptor(self) -> int:
        """Return the descriptor to poll until the socket is writable; -1 if nothing waits any more."""
        with self.lock:
            if self.connection is None or not self.is_flushing or self.is_closed:
                return -1
            return self.connection.fileno()

    def _send_end(self) -> None:
        """With the lock held: shut down our side, so that the peer reads the end of the stream."""
        if self.connection is not None and not self.is_end_sent:
            self.connection.shutdown(socket.SHUT_WR)
        self.is_end_sent = True

    def _end_now(self) -> None:
        """With the lock held: discard what waits, and wake the reader, which closes the socket."""
        if self.pending and not self.is_closed:
            self.first_discarded_offset = self.pending[0].end_offset
        self.is_closed = True
        self.is_flushing = False
        self.pending.clear()
        self.size = 0
        if self.connection is not None:
            self.connection.shutdown()

    def _write(self, conditions: SendConditions | None = None) -> None:
        """With the lock held: write as much as the socket accepts, and leave the rest to the flusher.

        conditions: of the only message, kept for the message if none of it is written now.
        """
        while self.pending and self.connection is not None and not self.is_closed:
            message = self.pending[0]
            if message.conditions and not message.conditions.is_allowed():
                self._discard_first()
                continue
            if message.conditions:
                self._replace(message, message.conditions.reencode())
            try:
                count = self.connection.send(message.remaining)
            except OSError as error:
                self.error = error
                self._end_now()
                return
            self.size -= count
            if count < len(message.remaining):
                self._leave_to_flusher(message, count, conditions)
                return
            self.pending.popleft()
        if self.is_finishing and not self.pending and not self.is_closed:
            self._send_end()

    def _discard_first(self) -> None:
        """With the lock held: discard the first message, of which nothing was written."""
        message = self.pending.popleft()
        self.size -= len(message.remaining)
        if message.conditions:
            message.conditions.discarded()

    def _leave_to_flusher(
        self, message: BufferedMessage, count: int, conditions: SendConditions | None
    ) -> None:
        """With the lock held: leave all but the first count bytes of a message to the flusher."""
        if count:
            message.is_started = True
            message.conditions = None
            message.remaining = memoryview(message.remaining)[count:]
        else:
            message.conditions = message.conditions or conditions
        self.is_flushing = True
        self.counters.add("partial_writes")
        assert self.flusher is not None, "the core has no flusher, but the socket did not accept all bytes"
        self.flusher.watch(self)

    def _replace(self, message: BufferedMessage, data: bytes) -> None:
        """With the lock held: replace the bytes of a message of which nothing was written yet."""
        self.size += len(data) - len(message.remaining)
        message.remaining = data
