"""How fast a line drains, seen only while somebody waits in it. Free of I/O."""

from math import exp

DRAIN_US = 2_000_000  # us of waiting over which the drain is seen: some commands' times, less than a trouble
KNOWN_US = 200_000  # us of waiting seen before it says anything


class Drain:
    """Work handed on while commands wait, over the time in which they wait.

    Time in which nobody waits says nothing: what went on then was the demand, not what the engines can do.
    """

    __slots__ = ("at", "busy", "waiting", "work")

    def __init__(self, now):
        self.at, self.busy, self.waiting, self.work = now, 0.0, 0, 0.0

    def come(self, now):
        """One more waits."""
        self._pass(now)
        self.waiting += 1

    def go(self, now, work):
        """One that waited has gone on, with so much work (us); 0: it was turned away or left."""
        self._pass(now)
        self.waiting -= 1
        self.work += work

    def rate(self, now):
        """Work handed on in a us; 0: not known yet."""
        self._pass(now)
        return self.work / self.busy if self.busy >= KNOWN_US else 0.0

    def _pass(self, now):
        if self.waiting and now > self.at:
            fade = exp((self.at - now) / DRAIN_US)
            self.work, self.busy = self.work * fade, self.busy * fade + DRAIN_US * (1 - fade)
        self.at = max(self.at, now)
