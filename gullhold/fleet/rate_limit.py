"""A rate limit: bounds how many roles a member gives up in a second."""

from gullhold.fleet.clocks import US_PER_SECOND


class RateLimiter:
    """A token bucket whose capacity is the permits of one second; it is full at first."""

    __slots__ = ("available", "rate", "updated_at")

    def __init__(self, rate: float, now: int) -> None:
        """rate: permits a second; now: us of a monotonic clock."""
        self.rate = rate
        self.available = float(rate)
        self.updated_at = now

    def take(self, now: int, wanted: int) -> int:
        """Take up to `wanted` permits; return the number taken."""
        elapsed_us = max(0, now - self.updated_at)
        self.available = min(self.rate, self.available + elapsed_us * self.rate / US_PER_SECOND)
        self.updated_at = max(self.updated_at, now)
        count = min(wanted, int(self.available))
        self.available -= count
        return count

    def ready_at(self, now: int) -> int:
        """When the next permit can be taken."""
        if self.available >= 1:
            return now
        return now + int((1 - self.available) / self.rate * US_PER_SECOND) + 1
