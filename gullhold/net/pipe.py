"""The way out of a connection: writes at once what fits; the flusher goes on with the rest."""

import socket
from collections import deque
from threading import Lock

REFUSED, UNSURE = -1, -2  # what put() returns where nothing of a message goes out


class Message:
    """One message in a pipe: what it was put as, what is left of it, and how it is told anew."""

    __slots__ = ("begun", "data", "end", "left", "renew")

    def __init__(self, data, end, renew):
        self.data, self.left, self.end, self.renew, self.begun = data, data, end, renew, False


class Pipe:
    """Whole messages in order, never interleaved; put() never blocks. Waits until it is given its connection.

    most: bytes that may wait; flusher: goes on with what the system did not take at once.
    """

    def __init__(self, most, counters, flusher):
        self.most, self.counters, self.flusher = most, counters, flusher
        self.connection, self.lock, self.pending, self.size = None, Lock(), deque(), 0
        self.queued, self.broken_at = 0, None  # offsets: all messages; the first lost one's end
        self.error = None  # the OSError by which a write ended the connection
        self.flushing = False  # the flusher goes on with it
        self.dead, self.finishing, self.said = False, False, False  # said: our side is shut, all is out

    def attach(self, connection):
        """The connection is up: what waits goes out."""
        with self.lock:
            self.connection = connection
            self._write()

    def put(self, data, sure=None, renew=None):
        """Queue one message; the offset of its end, REFUSED where the pipe is dead or backed up, UNSURE where
        sure() says no at the last moment before it would go out.

        renew(): the message as it is to be told when its first byte goes out, asked where it had to wait.
        """
        with self.lock:
            if self.dead or self.finishing or self.size + len(data) > self.most:
                return REFUSED
            if sure and self.connection is not None and not sure():
                return UNSURE
            self.queued += len(data)
            self.size += len(data)
            waits = self.flushing or self.connection is None
            self.pending.append(Message(data, self.queued, renew if waits else None))
            if not waits:
                self._write(renew)
            return self.queued

    def whole(self, offset):
        """Whether all up to this offset was handed to the system."""
        with self.lock:
            first = self.pending[0].end if self.pending else self.broken_at
            return first is None or offset < first

    def withdraw(self, data):
        """Take back a message of which no byte has gone; whether it could be."""
        with self.lock:
            for at, message in enumerate(self.pending):
                if message.data is data and not message.begun:
                    del self.pending[at]
                    self.size -= len(message.left)
                    return True
            return False

    def finish(self, now=False):
        """Take no more; once all is out the other side is told so. now: end it, whatever waits.

        Whether that is done yet. The reader closes after the other side has: a close over unread bytes resets
        the connection, and takes along what the other side has yet to read.
        """
        with self.lock:
            self.finishing = True
            if now:
                self._die()
            elif not self.pending:
                self._say_end()
            return self.said or self.dead

    def flush(self):
        """From the flusher: write on; how many bytes went out."""
        with self.lock:
            self.flushing, before = False, self.size
            self._write()
            return before - self.size

    def descriptor(self):
        """The number to wait for until more can be written; -1: there is nothing to wait for any more."""
        with self.lock:
            return self.connection.fileno() if self.flushing and not self.dead else -1

    def _say_end(self):
        """With the lock held: the other side reads to the end."""
        if self.connection is not None and not self.said:
            self.connection.shutdown(socket.SHUT_WR)
        self.said = True

    def _die(self):
        """With the lock held: nothing more goes out, and the reader, which closes, wakes."""
        if self.pending and not self.dead:
            self.broken_at = self.pending[0].end
        self.dead, self.flushing = True, False
        self.pending.clear()
        self.size = 0
        if self.connection is not None:
            self.connection.shutdown()

    def _write(self, renew=None):
        """With the lock held: as much as the system takes now; the rest is the flusher's. renew: of the last
        message, should it not go out whole at once."""
        while self.pending and self.connection is not None and not self.dead:
            message = self.pending[0]
            if message.renew:
                self._renew(message)
            try:
                count = self.connection.send(message.left)
            except OSError as error:
                self.error = error
                self._die()
                return
            self.size -= count
            if count < len(message.left):
                if count:
                    message.begun, message.renew = True, None
                    message.left = memoryview(message.left)[count:]
                else:
                    message.renew = message.renew or renew
                self.flushing = True
                self.counters.add("writes put off")
                self.flusher.watch(self)
                return
            self.pending.popleft()
        if self.finishing and not self.pending and not self.dead:
            self._say_end()

    def _renew(self, message):
        """With the lock held: the message as it is to be told now."""
        told = message.renew()
        self.size += len(told) - len(message.left)
        message.left = told
