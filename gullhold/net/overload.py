"""Overload control: reader threads ask it whether the core can process another request in time.

Without it, the event queue between the reader threads and the core grows with the load of the clients, until
all requests are processed after their client timeouts. A request that the core can't process in time is shed
on the reader thread, which costs the core nothing.
"""

from typing import TYPE_CHECKING

from gullhold.net import US_PER_S

if TYPE_CHECKING:
    from gullhold.interface import Agreement
    from gullhold.net.event_loop import EventLoop

MAX_WAIT_DIVISOR = 40  # estimated wait of an event: at most 1/40 of the client timeout, to stay below 1/10
MAX_AGE_DIVISOR = 10  # age of the oldest event: at most 1/10 of the client timeout
MIN_EVENTS_FOR_AGE_CHECK = 8  # fewer events are old only after a pause of the process, and soon processed
AVERAGING_EVENTS = 32  # number of events over which the time for one is averaged
MAX_COUNTED_INTERVAL_US = 100_000  # a longer interval between events is a pause of the process


class OverloadControl:
    """Estimates how long a new event would wait for the core.

    record_interval() and begin() belong to the core's thread; all else may be called from any thread.
    """

    def __init__(self, loop: "EventLoop", agreement: "Agreement") -> None:
        self._loop = loop
        self._event_us = 0.0  # average time that the core takes for an event
        self._is_active = False
        self._shortest_timeout_us = min((profile.timeout_us for profile in agreement.profiles), default=0)

    def begin(self) -> None:
        """Begin to shed: the core serves from now on. Until then, requests wait for its start."""
        self._is_active = True

    def record_interval(self, interval_us: int) -> None:
        """Record the time from the start of one event to that of the next, which was already waiting."""
        counted_us = min(interval_us, MAX_COUNTED_INTERVAL_US)
        self._event_us += (counted_us - self._event_us) / AVERAGING_EVENTS

    def longest_wait_s(self) -> float:
        """Return for how long a request may wait before the core gets it, in s."""
        return self._shortest_timeout_us / MAX_AGE_DIVISOR / US_PER_S

    def is_overloaded(self) -> bool:
        """Whether a request with the shortest client timeout of all profiles would wait too long."""
        return not self.admits(self._shortest_timeout_us)

    def admits(self, timeout_us: int) -> bool:
        """Whether the core can process a request with this client timeout in time."""
        queue = self._loop.queue
        count = len(queue)
        if not count or not self._is_active:
            return True
        counted_timeout_us = min(timeout_us, self._shortest_timeout_us)
        if count * self._event_us > counted_timeout_us / MAX_WAIT_DIVISOR:
            return False
        is_old = count >= MIN_EVENTS_FOR_AGE_CHECK and (
            queue.oldest_age_us(self._loop.clock()) > counted_timeout_us / MAX_AGE_DIVISOR
        )
        return not is_old
