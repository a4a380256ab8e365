"""A socket that several threads use, and the rules for closing its descriptor safely.

Only the reader thread makes calls that may block, and only it closes the socket. All other threads make
non-blocking calls while they hold the lock, which closing takes as well. So no thread can use the number of a
closed descriptor after the system has reused it for another connection.
"""

import errno
import select
import socket
from contextlib import suppress
from threading import Lock

# Temporary errors of send() on an intact connection: socket(7), send(2).
TRANSIENT_SEND_ERRNOS = frozenset((errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM))


class Connection:
    """One TCP connection. Only the reader thread may call close() and has_peer_closed()."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.lock = Lock()
        self.is_closed = False

    def fileno(self) -> int:
        """Return the descriptor to poll, or -1; the system may have reused it by the time it is polled."""
        with self.lock:
            return -1 if self.is_closed else self.sock.fileno()

    def send(self, data: bytes | memoryview) -> int:
        """Send without blocking; return how many bytes were accepted. Raises OSError unless connected."""
        with self.lock:
            if self.is_closed:
                raise BrokenPipeError("the connection is closed")
            try:
                return self.sock.send(data, socket.MSG_DONTWAIT)
            except OSError as error:
                if error.errno in TRANSIENT_SEND_ERRNOS:
                    return 0
                raise

    def shutdown(self, sides: int = socket.SHUT_RDWR) -> None:
        """Shut down one direction or both, which wakes the reader thread; further calls do nothing."""
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
        """Whether the peer has closed its side, or does so within this time; unread bytes do not matter."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(wait_s * 1000))

    def close(self) -> None:
        """Close the descriptor; further calls do nothing."""
        with self.lock:
            if not self.is_closed:
                self.is_closed = True
                self.sock.close()
