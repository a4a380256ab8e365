"""Delays between retries. Decisions only."""

from collections.abc import Callable

GROWTH_FACTOR = 2.0  # of each delay over the previous one
JITTER = 0.5  # random share of a delay: members that failed together do not retry together


class Backoff:
    """Exponential backoff with jitter, between two bounds (us)."""

    __slots__ = ("max_us", "min_us", "next_us", "random_fraction")

    def __init__(self, min_us: int, max_us: int, random_fraction: Callable[[], float]) -> None:
        """random_fraction: draws from [0, 1)."""
        self.min_us = min_us
        self.max_us = max_us
        self.random_fraction = random_fraction
        self.next_us = min_us

    def next_delay_us(self) -> int:
        """The delay before the next attempt; the one after that is longer."""
        delay_us = self.next_us
        self.next_us = min(self.max_us, int(delay_us * GROWTH_FACTOR))
        return int(delay_us * (1 - JITTER * self.random_fraction()))

    def reset(self) -> None:
        """Begin with the shortest delay again, after a call has succeeded."""
        self.next_us = self.min_us
