"""Calls that are due at a time, in order; one that has lost its purpose is cancelled and keeps nothing."""

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import NamedTuple

MIN_CANCELLED_ROWS = 64  # cancelled rows that are kept without a rebuild of the heap

HeapRow = tuple[int, int, "Timer"]
"""Due time in us, serial number, timer. The serial number keeps timers with the same due time in order."""


class Timer:
    """A call that is due at a time. Once it was made or cancelled it refers to nothing.

    due_at_us: in us of the clock of the queue's owner; call: None once it was made or cancelled.
    """

    __slots__ = ("args", "call", "due_at_us")

    def __init__(self, due_at_us: int, call: Callable[..., None], args: tuple[object, ...]) -> None:
        self.due_at_us = due_at_us
        self.call: Callable[..., None] | None = call
        self.args = args


class DueCall(NamedTuple):
    """The call of a timer that is due."""

    due_at_us: int
    call: Callable[..., None]
    args: tuple[object, ...]


class TimerQueue:
    """The timers of one event loop; len() is the number of those that are pending.

    A cancelled timer leaves its row in the heap, which is rebuilt once it has more such rows than others.
    """

    def __init__(self) -> None:
        self._heap: list[HeapRow] = []
        self._serial = 0
        self._cancelled_rows = 0

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled_rows

    def add(self, due_at_us: int, call: Callable[..., None], args: tuple[object, ...]) -> Timer:
        """Add a timer and return it."""
        self._serial += 1
        timer = Timer(due_at_us, call, args)
        heappush(self._heap, (due_at_us, self._serial, timer))
        return timer

    def cancel(self, timer: Timer) -> None:
        """Prevent the call of a timer; does nothing if it was made or cancelled already."""
        if timer.call is None:
            return
        timer.call = None
        timer.args = ()
        self._cancelled_rows += 1
        if self._cancelled_rows > MIN_CANCELLED_ROWS and 2 * self._cancelled_rows > len(self._heap):
            self._heap = [row for row in self._heap if row[2].call is not None]
            heapify(self._heap)
            self._cancelled_rows = 0

    def pop_due(self, now_us: int) -> DueCall | None:
        """Remove the first pending timer if it is due, and return its call."""
        while self._heap and self._heap[0][0] <= now_us:
            timer = heappop(self._heap)[2]
            if timer.call is None:
                self._cancelled_rows -= 1
                continue
            due = DueCall(timer.due_at_us, timer.call, timer.args)
            timer.call = None
            timer.args = ()
            return due
        return None

    def next_due_at_us(self) -> int:
        """Return when the first pending timer is due. There must be one."""
        while self._heap[0][2].call is None:
            heappop(self._heap)
            self._cancelled_rows -= 1
        return self._heap[0][0]
