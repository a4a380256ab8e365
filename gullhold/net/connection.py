"""A socket that several threads use, and the rules for closing its descriptor safely.

Only the reader thread makes calls that may block, and only it closes the socket. All other threads make
non-blocking calls while they hold the lock, which closing takes as well. So no thread can use the number of a
closed descriptor after the system has reused it for another connection.
"""

import errno
import fcntl
import select
import socket
import termios
from array import array
from contextlib import suppress
from threading import Lock

# Temporary errors of send() on an intact connection: socket(7), send(2).
TRANSIENT_SEND_ERRNOS = frozenset((errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM))

TCP_STATE_BYTES = 1  # the state comes first in TCP_INFO: tcp(7), linux/tcp.h
# TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING, as numbered in the kernel's tcp_states.h.
PEER_CLOSED_STATES = frozenset((6, 7, 8, 9, 11))
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # of poll: no more bytes will come


class Connection:
    """One TCP connection. Only the reader thread may call close(), has_peer_closed() and receive_into()."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.lock = Lock()
        self.is_closed = False
        self.is_reading_shut = False  # we have shut down our reading side, and only that

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
                self.is_reading_shut = self.is_reading_shut or sides == socket.SHUT_RD
                self.sock.shutdown(sides)

    def is_readable(self) -> bool:
        """Whether bytes, or the end of the stream, can be read now."""
        with self.lock:
            if self.is_closed:
                return False
            poll = select.poll()
            poll.register(self.sock, select.POLLIN)
            return bool(poll.poll(0))

    def poll_input(self) -> tuple[bool, bool]:
        """Return whether bytes, or the end of the stream, can be read, and whether the peer has closed.

        A connection that was closed here counts as closed by the peer, too.
        """
        with self.lock:
            if self.is_closed:
                return True, True
            if self.is_reading_shut:  # poll would report the end of the stream in any case
                return self._unread_bytes() > 0, self._has_peer_sent_end()
            poll = select.poll()
            poll.register(self.sock, select.POLLIN | select.POLLRDHUP)
            try:
                events = sum(event for _, event in poll.poll(0))
            except OSError:  # the system lacks memory
                return self._unread_bytes() > 0, False
        return events != 0, bool(events & CLOSED_EVENTS)

    def unread_bytes(self) -> int:
        """Return how many bytes have arrived and were not read; 0 if that can't be told."""
        with self.lock:
            return 0 if self.is_closed else self._unread_bytes()

    def receive_into(self, view: memoryview) -> int:
        """Read what has arrived without blocking; return the number of bytes, 0 at the end of the stream.

        Raises BlockingIOError if nothing has arrived, or another OSError.
        """
        return self.sock.recv_into(view, 0, socket.MSG_DONTWAIT)

    def has_peer_closed(self, wait_s: float) -> bool:
        """Whether the peer has closed its side, or does so within this time; unread bytes do not matter.

        Once our reading side is shut down it does not wait.
        """
        if self.is_reading_shut:
            return self._has_peer_sent_end()
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(wait_s * 1000))

    def close(self) -> None:
        """Close the descriptor; further calls do nothing."""
        with self.lock:
            if not self.is_closed:
                self.is_closed = True
                self.sock.close()

    def _has_peer_sent_end(self) -> bool:
        """Whether the peer has closed its side, by the state of TCP; False if that can't be told."""
        try:
            state = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_STATE_BYTES)[0]
        except OSError:
            return False
        return state in PEER_CLOSED_STATES

    def _unread_bytes(self) -> int:
        """With the lock held: ask the system; not counted is the end of the stream."""
        count = array("i", [0])
        with suppress(OSError):
            fcntl.ioctl(self.sock, termios.FIONREAD, count)
        return count[0]
