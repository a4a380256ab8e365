"""A socket that several threads use, and the rule by which its descriptor is closed.

Only the reader thread makes calls that may block, and only it closes the socket. All other threads make
calls that do not block, under the lock that closing takes as well. So no thread can use the number of a
descriptor that was closed, and that the system has given to another connection since.
"""

import errno
import select
import socket
from contextlib import suppress
from threading import Lock

# Temporary errors of a send on an intact connection: socket(7), send(2).
MOMENTARY = frozenset((errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM))


class Connection:
    """One TCP connection. Only the reader thread may call close() and has_peer_closed()."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.lock = Lock()
        self.is_closed = False

    def fileno(self) -> int:
        """Return the descriptor to poll, or -1; by its use it may be another connection's."""
        with self.lock:
            return -1 if self.is_closed else self.sock.fileno()

    def send(self, data: bytes | memoryview) -> int:
        """Send without blocking; return how many bytes the system took. Raises OSError after the end."""
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
        """Shut one direction or both, which wakes the reader; does nothing where that was done before."""
        with self.lock, suppress(OSError):
            if not self.is_closed:
                self.sock.shutdown(sides)

    def is_readable(self) -> bool:
        """Whether bytes, or the end of the stream, can be read now."""
        with self.lock:
            if self.is_closed:
                return False
            poll = select.poll()
            poll.register(self.sock, select.POLLIN)
            return bool(poll.poll(0))

    def has_peer_closed(self, wait_s: float) -> bool:
        """Whether the peer has closed its side, or does so in this time, whether or not bytes are unread."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(wait_s * 1000))

    def close(self) -> None:
        """Close the descriptor; a second call does nothing."""
        with self.lock:
            if not self.is_closed:
                self.is_closed = True
                self.sock.close()
