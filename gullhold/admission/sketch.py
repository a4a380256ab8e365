"""Finds heavy clients in fixed memory: a count-min sketch of recent work by name, hashed with a salt.

The salt is secret (drawn from the seeded generator), so that nobody can construct names that collide. After a
change of salt the counts under the previous salt are kept beside the new ones; older counts are dropped.
"""

from array import array
from hashlib import blake2b

ROWS = 4  # hash functions
# Counters in a row, 64 KB in all rows; an estimate is too high by at most e/2048 of all work, except for 1
# name in 50.
WIDTH = 2048
BITS_PER_ROW = 16  # bits of the hash from which the index in one row is taken
HASH_BYTES = ROWS * BITS_PER_ROW // 8


def _empty_counts() -> "array[float]":
    return array("d", bytes(array("d").itemsize * ROWS * WIDTH))


class Sketch:
    """Recent work by name; estimates are never too low, and conservative updates keep the excess small."""

    def __init__(self, salt: bytes) -> None:
        self.salt = salt
        self.previous_salt = salt
        self._counts = _empty_counts()
        self._total = 0.0
        self._previous_counts = _empty_counts()
        self._previous_total = 0.0

    def counter_indexes(self, name: bytes, salt: bytes) -> list[int]:
        """Return the indexes of a name's counters under a salt, one for each row."""
        digest = int.from_bytes(blake2b(name, digest_size=HASH_BYTES, key=salt).digest(), "little")
        return [row * WIDTH + (digest >> BITS_PER_ROW * row) % WIDTH for row in range(ROWS)]

    def add(self, name: bytes, work: float) -> float:
        """Add work to a name; return the estimate of the name's recent work without it."""
        indexes = self.counter_indexes(name, self.salt)
        known_work = min(self._counts[index] for index in indexes)
        for index in indexes:
            self._counts[index] = max(self._counts[index], known_work + work)
        self._total += work
        if self._previous_total:
            previous_indexes = self.counter_indexes(name, self.previous_salt)
            known_work += min(self._previous_counts[index] for index in previous_indexes)
        return known_work

    def total_work(self) -> float:
        """Return the recent work of all names."""
        return self._total + self._previous_total

    def replace_salt(self, salt: bytes) -> None:
        """Start empty counts under a new salt; keeps the present ones as the previous, drops those before."""
        self._previous_counts = self._counts
        self._previous_total = self._total
        self.previous_salt = self.salt
        self._counts = _empty_counts()
        self._total = 0.0
        self.salt = salt
