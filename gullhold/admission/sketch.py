"""Which clients are heavy, in fixed memory: a count-min sketch of recent work by name, under a changing salt.

The salt is secret (drawn from the seeded generator), so names can't be built to collide. When it is replaced
the last sketch stays beside the new one, and what is older is forgotten.
"""

from array import array
from hashlib import blake2b

ROWS = 4
WIDTH = 2048  # 64 KB in all; an estimate is over by e/2048 of all work at most, but for 1 name in 50
BITS_PER_ROW = 16  # of the hash, for the place in a row
HASH_BYTES = ROWS * BITS_PER_ROW // 8


def _empty_counts() -> "array[float]":
    return array("d", bytes(array("d").itemsize * ROWS * WIDTH))


class Sketch:
    """Recent work by name. Estimates are never too low; conservative updates keep them close."""

    def __init__(self, salt: bytes) -> None:
        self.salt = salt
        self.previous_salt = salt
        self._counts = _empty_counts()
        self._total = 0.0
        self._previous_counts = _empty_counts()
        self._previous_total = 0.0

    def places(self, name: bytes, salt: bytes) -> list[int]:
        """Return the places where a name counts under a salt, one for each row."""
        digest = int.from_bytes(blake2b(name, digest_size=HASH_BYTES, key=salt).digest(), "little")
        return [row * WIDTH + (digest >> BITS_PER_ROW * row) % WIDTH for row in range(ROWS)]

    def add(self, name: bytes, work: float) -> float:
        """Count work; return the name's recent work before this."""
        places = self.places(name, self.salt)
        known_work = min(self._counts[place] for place in places)
        for place in places:
            self._counts[place] = max(self._counts[place], known_work + work)
        self._total += work
        if self._previous_total:
            previous_places = self.places(name, self.previous_salt)
            known_work += min(self._previous_counts[place] for place in previous_places)
        return known_work

    def total_work(self) -> float:
        """Return all recent work."""
        return self._total + self._previous_total

    def replace_salt(self, salt: bytes) -> None:
        """Begin anew under a salt; the counts so far are the past, those before them are forgotten."""
        self._previous_counts = self._counts
        self._previous_total = self._total
        self.previous_salt = self.salt
        self._counts = _empty_counts()
        self._total = 0.0
        self.salt = salt
