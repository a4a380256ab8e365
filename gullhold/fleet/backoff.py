"""Delays between retries of a call."""

from collections.abc import Callable

GROWTH_FACTOR = 2.0  # ratio of each delay to the previous one, before jitter
JITTER = 0.5  # largest share taken off a delay at random, so that members that failed together spread out


class Backoff:
    """Exponential backoff with jitter. The bounds apply before the jitter, which shortens a delay."""

    __slots__ = ("max_us", "min_us", "next_us", "random_fraction")

    def __init__(self, min_us: int, max_us: int, random_fraction: Callable[[], float]) -> None:
        """random_fraction: draws from [0, 1), for the jitter."""
        self.min_us = min_us
        self.max_us = max_us
        self.random_fraction = random_fraction
        self.next_us = min_us

    def next_delay_us(self) -> int:
        """Return the delay before the next attempt, and lengthen the one after that up to max_us."""
        delay_us = self.next_us
        self.next_us = min(self.max_us, int(delay_us * GROWTH_FACTOR))
        return int(delay_us * (1 - JITTER * self.random_fraction()))

    def reset(self) -> None:
        """Start from the shortest delay again, as a call has succeeded."""
        self.next_us = self.min_us
