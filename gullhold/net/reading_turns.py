"""Turns of the reader threads of clients: which of them may handle the calls that it has read."""

from collections.abc import Iterator
from contextlib import contextmanager
from threading import Lock

LONG_STATEMENT_BYTES = 4096  # usual ones have 1,000 to 2,000 bytes


class ReadingTurns:
    """Lets one reader thread at a time handle its calls: `with turns:`.

    With hundreds of them running at once the core's thread would hardly get the interpreter lock. Only a long
    statement is read beside the turn, one at a time, so that a message with one delays no other reader.
    """

    def __init__(self) -> None:
        self._turn = Lock()
        self._long_statement = Lock()

    def __enter__(self) -> None:
        self._turn.acquire()

    def __exit__(self, *_exception: object) -> None:
        self._turn.release()

    @contextmanager
    def beside_others(self, wait_s: float) -> Iterator[bool]:
        """In a turn: let others have theirs while a long statement is read, then wait for one again.

        Yields whether it may be read: False if earlier ones have taken longer than wait_s.
        """
        self._turn.release()
        may_read = self._long_statement.acquire(timeout=wait_s)
        try:
            yield may_read
        finally:
            if may_read:
                self._long_statement.release()
            self._turn.acquire()
