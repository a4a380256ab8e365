"""Times at which commands are reviewed, and the single timer for the next of them."""

from gullhold.decisions.command import Command, CommandState
from gullhold.decisions.pruned_heap import PrunedHeap

TICK_US = 50_000  # us between timers while commands are queued; far below any latency objective
AT_LAST_START = -1  # marks the review at the command's last start, in place of a number of attempts

ReviewRow = tuple[int, int, Command, int]
"""Time (us), order of arrival, command, its number of attempts."""


def _is_open(row: ReviewRow) -> bool:
    """Whether the command of a review has not ended."""
    return row[2].state != CommandState.ENDED


class ReviewSchedule:
    """Reviews by time, each with its command's number of attempts: a later attempt makes it invalid."""

    def __init__(self) -> None:
        self._heap: PrunedHeap[ReviewRow] = PrunedHeap(_is_open)
        self._timer_at: int | None = None

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, at: int, command: Command) -> None:
        """Schedule a review of the command, for its newest attempt."""
        self._heap.push((at, command.order, command, command.attempts))

    def add_last_start(self, command: Command) -> None:
        """Schedule a review of the command for when no attempt may be started any more."""
        self._heap.push((command.last_start_at, command.order, command, AT_LAST_START))

    def pop_due(self, now: int) -> tuple[Command, int] | None:
        """Remove the next due review; return its command and number of attempts, None if no review is due."""
        if not self._heap or self._heap.head[0] > now:
            return None
        _, _, command, attempts = self._heap.pop()
        return command, attempts

    def timer_fired(self, token: int) -> None:
        """Record that a timer has fired. token: the time (us) for which it was set."""
        if token == self._timer_at:
            self._timer_at = None

    def next_timer(self, now: int, has_queued: bool) -> int | None:
        """Return the time (us) for which to start a timer, None if none is needed or one fires in time."""
        self._heap.drop_invalid_head()
        at = self._heap.head[0] if self._heap else 0
        if has_queued:
            at = min(now + TICK_US, at) if self._heap else now + TICK_US
        if not at:
            return None
        if self._timer_at is not None and self._timer_at > now and at >= self._timer_at - TICK_US // 2:
            return None
        self._timer_at = max(at, now + 1)
        return self._timer_at
