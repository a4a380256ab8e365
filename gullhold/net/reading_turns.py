"""Turns of the reader threads of clients: which of them may handle the calls that it has read."""

from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from threading import Lock

LONG_STATEMENT_BYTES = 4096  # usual ones have 1,000 to 2,000 bytes


class ReadingTurns:
    """Lets one reader thread at a time handle its calls, in order of arrival but for those that go first.

    With hundreds of them running at once the core's thread would hardly get the interpreter lock. Only a long
    statement is read beside the turn, one at a time, so that a message with one delays no other reader.

    A reader is named by its connection.
    """

    def __init__(self) -> None:
        self._lock = Lock()
        self._is_taken = False
        self._waiting: OrderedDict[object, Lock] = OrderedDict()  # a locked lock for each waiting reader
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
            if reader in self._waiting:
                self._waiting.move_to_end(reader, last=False)

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
            self._waiting[reader] = gate
            if goes_first:
                self._waiting.move_to_end(reader, last=False)
        gate.acquire()  # until the turn is handed over

    def _release(self) -> None:
        with self._lock:
            if self._waiting:
                _, gate = self._waiting.popitem(last=False)
                gate.release()
            else:
                self._is_taken = False
