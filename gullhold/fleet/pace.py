"""How often: pauses that grow and are spread, and moves a second. Decisions only."""

GROWTH = 2.0  # each pause over the one before
SPREAD = 0.5  # of a pause, drawn at random: members that failed together do not come back together


class Pauses:
    """The next pause after a failure: growing, spread, between bounds; in us. reset() after a success."""

    __slots__ = ("chance", "least", "most", "next")

    def __init__(self, least, most, chance):
        self.least, self.most, self.chance, self.next = least, most, chance, least

    def draw(self):
        """How long to wait now."""
        pause, self.next = self.next, min(self.most, int(self.next * GROWTH))
        return int(pause * (1 - SPREAD * self.chance()))

    def reset(self):
        """It works again."""
        self.next = self.least


class Moves:
    """At most so many moves a second, a second's worth at once."""

    __slots__ = ("at", "left", "rate")

    def __init__(self, rate, now):
        self.rate, self.left, self.at = rate, float(rate), now

    def take(self, now, most):
        """How many of `most` may move now."""
        self.left = min(self.rate, self.left + max(0, now - self.at) * self.rate / 1e6)
        self.at = max(self.at, now)
        count = min(most, int(self.left))
        self.left -= count
        return count

    def ready_at(self, now):
        """When the next one may move."""
        return now if self.left >= 1 else now + int((1 - self.left) / self.rate * 1e6) + 1
