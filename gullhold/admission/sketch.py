"""Who is heavy, in fixed memory: a count-min sketch of recent work by name, under a salt that is redrawn.

The salt is secret (drawn from the seeded generator), so names can't be built to collide. When it is redrawn
the last sketch stays beside the new one, and what is older is forgotten.
"""

from array import array
from hashlib import blake2b

ROWS, WIDTH = 4, 2048  # 64 KB each; an estimate is over by e/2048 of all work at most, but for 1 name in 50


class Sketch:
    """Recent work by name. Estimates are never too low; conservative updates keep them close."""

    def __init__(self, salt):
        self.salt, self.last_salt = salt, salt
        self.counts, self.total = array("d", bytes(8 * ROWS * WIDTH)), 0.0
        self.last, self.last_total = self.counts[:], 0.0

    def places(self, name, salt):
        """Where a name counts, one place a row."""
        word = int.from_bytes(blake2b(name, digest_size=8, key=salt).digest(), "little")
        return [row * WIDTH + (word >> 16 * row) % WIDTH for row in range(ROWS)]

    def add(self, name, work):
        """Count work; the name's recent work before this."""
        places = self.places(name, self.salt)
        known = min(self.counts[place] for place in places)
        for place in places:
            self.counts[place] = max(self.counts[place], known + work)
        self.total += work
        if self.last_total:
            known += min(self.last[place] for place in self.places(name, self.last_salt))
        return known

    def recent(self):
        """All recent work."""
        return self.total + self.last_total

    def redeal(self, salt):
        """A new salt; the counts so far are the past, those before them are forgotten."""
        self.last, self.last_total, self.last_salt = self.counts, self.total, self.salt
        self.counts, self.total, self.salt = array("d", bytes(8 * ROWS * WIDTH)), 0.0, salt
