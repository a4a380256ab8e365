"""The queue of events that other threads post to an event loop."""

from collections import deque
from collections.abc import Callable
from queue import Empty, SimpleQueue
from typing import NamedTuple


class PostedEvent(NamedTuple):
    """A call that another thread posted, and the time at which it did."""

    posted_at_us: int
    call: Callable[..., None]
    args: tuple[object, ...]


class EventQueue:
    """A queue with two priorities: events that were put with goes_first are taken before all others.

    Events of the same priority are taken in order of arrival. Only one thread may call take(); all other
    methods are thread-safe.
    """

    def __init__(self) -> None:
        self._first: deque[PostedEvent] = deque()
        self._others: deque[PostedEvent] = deque()
        # One item per event, put after the event; take() waits for an item.
        self._arrivals: SimpleQueue[None] = SimpleQueue()

    def __len__(self) -> int:
        return self._arrivals.qsize()

    def qsize(self) -> int:
        """Return how many events are queued."""
        return self._arrivals.qsize()

    def put(self, event: PostedEvent, goes_first: bool = False) -> None:
        """Add an event; goes_first: it is taken before those that were put without it."""
        events = self._first if goes_first else self._others
        events.append(event)
        self._arrivals.put(None)

    def take(self, wait_us: int = 0) -> PostedEvent | None:
        """Remove and return the next event; None if none arrives within this time."""
        try:
            if wait_us > 0:
                self._arrivals.get(timeout=wait_us / 1e6)
            else:
                self._arrivals.get_nowait()
        except Empty:
            return None
        return self._first.popleft() if self._first else self._others.popleft()

    def oldest_age_us(self, now_us: int) -> int:
        """Return for how long the oldest event has waited; 0 if the queue is empty."""
        return max(_oldest_age_us(self._first, now_us), _oldest_age_us(self._others, now_us))


def _oldest_age_us(events: deque[PostedEvent], now_us: int) -> int:
    try:
        return max(0, now_us - events[0].posted_at_us)
    except IndexError:
        return 0
