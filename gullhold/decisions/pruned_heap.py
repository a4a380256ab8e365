"""A heap whose rows become invalid without being removed; it is pruned, so that its size stays bounded."""

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any, Generic, TypeVar

MIN_PRUNE_SIZE = 256  # rows; a smaller heap is never pruned

Row = TypeVar("Row", bound=tuple[Any, ...])


class PrunedHeap(Generic[Row]):
    """Rows in ascending order. Invalid ones are dropped whenever the heap has doubled since they last were.

    So its size is at most twice the number of valid rows, or MIN_PRUNE_SIZE, and a row costs a constant time.
    is_valid: whether a row is still of use; once it is not, it never is again.
    """

    __slots__ = ("_is_valid", "_prune_size", "_rows")

    def __init__(self, is_valid: Callable[[Row], bool]) -> None:
        self._is_valid = is_valid
        self._rows: list[Row] = []
        self._prune_size = MIN_PRUNE_SIZE

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def head(self) -> Row:
        """The first row, which may be invalid. There must be one."""
        return self._rows[0]

    def push(self, row: Row) -> None:
        """Add a row."""
        heappush(self._rows, row)
        if len(self._rows) >= self._prune_size:
            self._rows = list(filter(self._is_valid, self._rows))
            heapify(self._rows)
            self._prune_size = max(MIN_PRUNE_SIZE, 2 * len(self._rows))

    def pop(self) -> Row:
        """Remove and return the first row. There must be one."""
        return heappop(self._rows)

    def drop_invalid_head(self) -> None:
        """Remove rows from the head until it is valid, or none is left."""
        while self._rows and not self._is_valid(self._rows[0]):
            heappop(self._rows)
