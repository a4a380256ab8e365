"""How fast a queue drains, measured only while something waits in it."""

from math import exp

DECAY_TIME_US = 2_000_000  # longer than a few commands take, shorter than disturbances last
MIN_MEASURED_US = 200_000  # time with queued commands, below which the rate is not known


class DrainRate:
    """Work taken from a queue while commands wait, divided by that time; both decay exponentially.

    Time in which nothing waits is not counted: then the rate is the clients' demand, not what engines can do.
    """

    __slots__ = ("_busy_us", "_queued_count", "_updated_us", "_work_us")

    def __init__(self, now_us: int) -> None:
        self._updated_us = now_us
        self._busy_us = 0.0
        self._queued_count = 0
        self._work_us = 0.0

    def record_queued(self, now_us: int) -> None:
        """Count a command that is queued."""
        self._advance(now_us)
        self._queued_count += 1

    def record_removed(self, now_us: int, work_us: float) -> None:
        """Count a command that left the queue; work_us: its work, 0 where it was rejected or withdrawn."""
        self._advance(now_us)
        self._queued_count -= 1
        self._work_us += work_us

    def rate(self, now_us: int) -> float:
        """Return the work (us) taken per us; 0: not known yet."""
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
