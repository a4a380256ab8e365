"""When those who are turned away may come back, and who came back when told. Bounded, free of I/O."""

from collections import deque


class Book:
    """The promises of one flow: (from, to) in us, in order; each is kept once."""

    __slots__ = ("next_at", "open")

    def __init__(self):
        self.open, self.next_at = deque(), 0

    def expire(self, now):
        """Forget those whose time has passed; how many."""
        gone = 0
        while self.open and self.open[0][1] < now:
            self.open.popleft()
            gone += 1
        return gone

    def keep(self, now):
        """One came back: whether a promise was due, which is then used up."""
        if self.open and self.open[0][0] <= now:
            self.open.popleft()
            return True
        return False

    def within(self, now, span):
        """How many are to come back inside a span from now; those whose time has begun may never come."""
        return sum(now < begin <= now + span for begin, _ in self.open)


class Promises:
    """Gives out times to come back, as many as the service kept for that allows.

    least, most, grace: us; spread: part of the wait over which those told the same are spread; each, all:
    promises open at once in one flow and over all.
    """

    def __init__(self, least, most, spread, grace, each, all_most, draw):
        self.least, self.most, self.spread, self.grace = least, most, spread, grace
        self.each, self.all_most, self.draw, self.count = each, all_most, draw, 0

    def expire(self, book, now):
        """Forget a book's promises whose time has passed."""
        self.count -= book.expire(now)

    def kept(self, book, now):
        """Whether one who came back now came when told."""
        self.expire(book, now)
        if book.keep(now):
            self.count -= 1
            return True
        return False

    def give(self, book, now, wait, gap):
        """A time to come back in us, or 0 where none can be promised.

        wait: us until what is in line has gone; gap: us that one more takes of the service kept for those
        who come back. Each promise stands behind the one before it, so they don't return together.
        """
        self.expire(book, now)
        at = max(now + max(self.least, int(wait)), book.next_at)
        longest = int((at - now) * (1 + self.spread))
        if longest > self.most or len(book.open) >= self.each or self.count >= self.all_most:
            return 0
        book.next_at = at + int(gap)
        told = int((at - now) * (1 + self.spread * self.draw()))
        book.open.append((at, now + longest + self.grace))
        self.count += 1
        return told

    def again(self, book, now):
        """What one who came before its time is told: a time inside those promised; nothing new is given."""
        first, last = book.open[0][0], book.open[-1][0]
        return max(1, int(first - now + (last - first) * self.draw()))
