"""Measures how fast a queue drains while commands wait in it."""

from math import exp

# Time constant of the exponential decay; longer than a few commands run, shorter than disturbances last.
DECAY_TIME_US = 2_000_000
MIN_MEASURED_US = 200_000  # least decayed time with queued commands from which the rate is known


class DrainRate:
    """Work removed from a queue while commands wait, divided by the time they wait; both decay exponentially.

    Time in which no command waits is not counted: the rate is then limited by the clients' demand, and says
    nothing about the engines' capacity.
    """

    __slots__ = ("_busy_us", "_queued_count", "_updated_us", "_work_us")

    def __init__(self, now_us: int) -> None:
        self._updated_us = now_us
        self._busy_us = 0.0
        self._queued_count = 0
        self._work_us = 0.0

    def record_queued(self, now_us: int) -> None:
        """Count a command that enters the queue."""
        self._advance(now_us)
        self._queued_count += 1

    def record_removed(self, now_us: int, work_us: float) -> None:
        """Count a command that left the queue; work_us: its work, 0 if it was rejected or its client left."""
        self._advance(now_us)
        self._queued_count -= 1
        self._work_us += work_us

    def rate(self, now_us: int) -> float:
        """Return the work (us) removed per us of time; 0: not known yet."""
        self._advance(now_us)
        if self._busy_us < MIN_MEASURED_US:
            return 0.0
        return self._work_us / self._busy_us

    def _advance(self, now_us: int) -> None:
        if self._queued_count and now_us > self._updated_us:
            decay = exp((self._updated_us - now_us) / DECAY_TIME_US)
            self._work_us *= decay
            self._busy_us = self._busy_us * decay + DECAY_TIME_US * (1 - decay)
        self._updated_us = max(self._updated_us, now_us)
