"""Turns of the reader threads of clients: which of them may handle the calls that it has read."""

from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from threading import Lock

LONG_STATEMENT_BYTES = 4096  # usual ones have 1,000 to 2,000 bytes


class ReadingTurns:
    """Lets one reader thread at a time handle its calls, in order of arrival but for those that go first.

    While others wait, at most every second turn is that of one that goes first: a client that writes without
    end may have its reader go first again and again.

    With hundreds of them running at once the core's thread would hardly get the interpreter lock. Only a long
    statement is read beside the turn, one at a time, so that a message with one delays no other reader.

    A reader is named by its connection.
    """

    def __init__(self) -> None:
        self._lock = Lock()
        self._is_taken = False
        # A locked lock for each waiting reader.
        self._waiting: OrderedDict[object, Lock] = OrderedDict()
        self._waiting_first: OrderedDict[object, Lock] = OrderedDict()
        self._was_first = False  # the present turn was given to one that goes first
        self._long_statement = Lock()

    @contextmanager
    def turn(self, reader: object, goes_first: bool = False) -> Iterator[None]:
        """Wait for a turn, and hold it inside the `with` block. goes_first: before all that wait."""
        self._acquire(reader, goes_first)
        try:
            yield
        finally:
            self._release()

    def let_first(self, reader: object) -> None:
        """Let a reader go first if it waits for a turn. From any thread."""
        with self._lock:
            gate = self._waiting.pop(reader, None)
            if gate is not None:
                self._waiting_first[reader] = gate

    @contextmanager
    def beside_others(self, reader: object, wait_s: float) -> Iterator[bool]:
        """In a turn: let others have theirs while a long statement is read, then wait for one again.

        Yields whether it may be read: False if earlier ones have taken longer than wait_s.
        """
        self._release()
        may_read = self._long_statement.acquire(timeout=wait_s)
        try:
            yield may_read
        finally:
            if may_read:
                self._long_statement.release()
            self._acquire(reader)

    def _acquire(self, reader: object, goes_first: bool = False) -> None:
        with self._lock:
            if not self._is_taken:
                self._is_taken = True
                return
            gate = Lock()
            gate.acquire()
            waiting = self._waiting_first if goes_first else self._waiting
            waiting[reader] = gate
        gate.acquire()  # until the turn is handed over

    def _release(self) -> None:
        with self._lock:
            self._was_first = bool(self._waiting_first) and not (self._was_first and self._waiting)
            waiting = self._waiting_first if self._was_first else self._waiting
            if waiting:
                _, gate = waiting.popitem(last=False)
                gate.release()
            else:
                self._is_taken = False
