"""What has arrived on a client connection, and whether its reader thread has handled it.

A request that was read may be acted on only after what its client sent since then: an interrupt, or the end
of the connection, may lie unread behind it while the reader waits for its turn, pauses, or the process stands
still. So before an attempt is sent the core asks for the state of the input, and waits for the reader.
"""

import select
from collections import deque
from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

from gullhold.net.connection import Connection

MS_PER_S = 1000


class InputState(Enum):
    """How far the input of a client is handled."""

    HANDLED = auto()  # all that has arrived
    UNREAD = auto()  # something is not handled yet
    CLOSED = auto()  # the client has closed its side; what it sent before does not matter


class InputMark:
    """A point of a client's input, and the call to make once all before it is handled.

    target: number of bytes after which it is reached; None until the read in progress, if there is one, ends.
    """

    __slots__ = ("_call", "target", "unread_bytes")

    def __init__(self, call: Callable[[], None], unread_bytes: int, target: int | None) -> None:
        self._call: Callable[[], None] | None = call
        self.unread_bytes = unread_bytes
        self.target = target

    def cancel(self) -> None:
        """Prevent the call, and keep nothing that it refers to."""
        self._call = None

    def reached(self) -> None:
        """Make the call, unless it was cancelled."""
        call = self._call
        if call is not None:
            call()


class Input(Protocol):
    """The input of a client, as the core sees it.

    may_be_unread_until_us: until then the core sends attempts though something is unread.
    """

    may_be_unread_until_us: int

    def state(self) -> InputState:
        """Return how far the input is handled. From any thread."""
        ...

    def mark(self, call: Callable[[], None]) -> InputMark | None:
        """Have a call made, on any thread, once all that has arrived by now is handled.

        Returns None, and does not make the call, if that is so already.
        """
        ...


class HandledInput:
    """The input of a client without a connection: nothing is ever unread."""

    may_be_unread_until_us = 0

    def state(self) -> InputState:
        """Return HANDLED."""
        return InputState.HANDLED

    def mark(self, _call: Callable[[], None]) -> InputMark | None:
        """Return None."""
        return None


class ClientInput:
    """The input of a client connection.

    state() and mark() may be called from any thread; all else belongs to the reader thread. The reader alone
    takes bytes from the socket: is_idle is False from before it does until it has handled them.
    """

    def __init__(self, connection: Connection) -> None:
        self.is_idle = True
        self.read_bytes = 0
        self.may_be_unread_until_us = 0  # set by the core
        self.has_peer_closed = False  # at the last wait, the client had closed its side in an orderly way
        self._connection = connection
        self._marks: deque[InputMark] = deque()
        self._poll = select.poll()
        self._poll.register(connection.sock, select.POLLIN | select.POLLRDHUP)

    # From any thread

    def state(self) -> InputState:
        """Return how far the input is handled."""
        has_input, is_closed = self._connection.poll_input()
        if is_closed:
            return InputState.CLOSED
        # The socket first: what the reader has taken from it by then is handled, or it is not idle.
        return InputState.UNREAD if has_input or not self.is_idle else InputState.HANDLED

    def mark(self, call: Callable[[], None]) -> InputMark | None:
        """Have a call made, on the reader thread, once all that has arrived by now is handled.

        Returns None, and does not make the call, if that is so already.
        """
        unread_bytes = self._connection.unread_bytes()
        target = self.read_bytes + unread_bytes if self.is_idle else None
        mark = InputMark(call, unread_bytes, target)
        self._marks.append(mark)
        if self.state() != InputState.HANDLED:
            return mark
        mark.cancel()  # the reader may have looked at its marks just before this one was added
        return None

    # On the reader thread

    @property
    def is_awaited(self) -> bool:
        """Whether the core waits for what has arrived."""
        return len(self._marks) > 0

    def wait(self, wait_s: float) -> bool:
        """Wait until something can be read, or the client has closed its side; return whether that is so."""
        try:
            events = sum(event for _, event in self._poll.poll(wait_s * MS_PER_S))
        except OSError:  # the system lacks memory: the read tells
            return True
        self.has_peer_closed = bool(events & select.POLLRDHUP) and not events & select.POLLERR
        return events != 0

    def recv_into(self, view: memoryview) -> int:
        """Read from the socket without waiting; return the number of bytes, 0 at the end of the stream."""
        self.is_idle = False
        count = self._connection.receive_into(view)
        self.read_bytes += count
        return count

    def handled(self) -> None:
        """Record that all that was read is handled, and make the calls of the marks that are reached."""
        self.is_idle = True
        if not self._marks:
            return
        is_empty = not self._connection.unread_bytes()
        while self._marks:
            mark = self._marks[0]
            if mark.target is None:
                mark.target = self.read_bytes + mark.unread_bytes
            if not is_empty and mark.target > self.read_bytes:
                return
            self._marks.popleft()
            mark.reached()
