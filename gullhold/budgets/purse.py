"""What one member may spend of its part, by its own clock. Decisions only.

A part holds only while the lease under which it was given surely holds: who divides gives it to another soon
after.
"""

from collections import deque

from gullhold.budgets.ledger import HELD


class Purse:
    """One member's part of one budget.

    alone: what it may spend while its part does not surely hold (its share of what is kept back for that).
    asked: what it could not do for want of a part since the last report: demand beside its use.
    """

    def __init__(self, kind, window_us=0, alone=0):
        self.kind, self.window_us, self.alone = kind, window_us, alone
        self.part, self.revision, self.until = 0, 0, 0
        self.out, self.spent, self.asked = 0, deque(), 0

    def told(self, part, revision, until):
        """The part of this write holds until then; one that is older than the last changes nothing."""
        if revision >= self.revision:
            self.part, self.revision, self.until = part, revision, until

    def kept(self, until):
        """The lease was kept: what was told holds on."""
        self.until = max(self.until, until)

    def most(self, now):
        """What it may use now."""
        return self.part if now < self.until else self.alone

    def may(self, now):
        """Whether one more may be begun now."""
        return self._used(now) < self.most(now)

    def spend(self, now):
        """Begin one, if it may; whether it did. A refusal is demand."""
        if not self.may(now):
            self.asked += 1
            return False
        if self.kind == HELD:
            self.out += 1
        else:
            self.spent.append(now)
        return True

    def over(self):
        """What was begun under a held budget has ended. A part that shrank under it cancelled nothing."""
        self.out -= 1

    def report(self, now):
        """(the write it goes by, what is under way, what it wants), and its demand is counted anew."""
        used, asked, self.asked = self._used(now), self.asked, 0
        return self.revision, self.out, used + asked

    def _used(self, now):
        while self.spent and self.spent[0] <= now - self.window_us:
            self.spent.popleft()
        return self.out if self.kind == HELD else len(self.spent)
