"""A socket that several threads use, and the one rule by which its descriptor is given back.

One thread, the reader, makes the calls that may block, and it alone closes. All other threads make calls that
do not block, with the lock held that closing takes as well. So no thread can be about to use the number of a
descriptor that has been closed: the system gives that number to the next connection that comes up.
"""

import errno
import select
import socket
from contextlib import suppress
from threading import Lock

# What a send may end with for a moment, on a connection that is well: socket(7), send(2).
MOMENTARY = frozenset((errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM))


class Connection:
    """One TCP connection. close() is the reader's alone; everything else may be called from any thread."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.lock = Lock()
        self.is_closed = False

    def fileno(self) -> int:
        """Its descriptor's number for a wait, or -1; by the time it is used it may be another's."""
        with self.lock:
            return -1 if self.is_closed else self.sock.fileno()

    def send(self, data: bytes | memoryview) -> int:
        """Hand bytes to the system without waiting; how many it took. OSError where the connection ended."""
        with self.lock:
            if self.is_closed:
                raise BrokenPipeError("the connection is closed")
            try:
                return self.sock.send(data, socket.MSG_DONTWAIT)
            except OSError as error:
                if error.errno in MOMENTARY:
                    return 0
                raise

    def shutdown(self, sides: int = socket.SHUT_RDWR) -> None:
        """End one side or both; a reader that waits comes back. Nothing where it has ended already."""
        with self.lock, suppress(OSError):
            if not self.is_closed:
                self.sock.shutdown(sides)

    def is_readable(self) -> bool:
        """Whether something is there to be read, or the end."""
        with self.lock:
            if self.is_closed:
                return False
            poll = select.poll()
            poll.register(self.sock, select.POLLIN)
            return bool(poll.poll(0))

    def has_peer_closed(self, wait_s: float) -> bool:
        """From the reader: whether the other side has ended, or does so in this time, unread bytes or not."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(wait_s * 1000))

    def close(self) -> None:
        """From the reader alone: give the descriptor back; a second call does nothing."""
        with self.lock:
            if not self.is_closed:
                self.is_closed = True
                self.sock.close()
