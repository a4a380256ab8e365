"""What of a whole may be given out now: the books of whoever divides a budget. Decisions only.

Members are known by what tells two processes of one name apart: one that comes back is another member.
Each member is charged with all that it can still spend: its part, a larger one that it may not yet have heard
is taken back, what it began under it, and, for a budget over a window, the largest part that it had within
the window. Only what nobody is charged with may be given. So the sum holds whatever is lost, late or asleep.
"""

from bisect import insort

HELD, WINDOWED = "held", "windowed"


class Entry:
    """One member in the books. Times in us of the divider's clock.

    part: as last written for it; owed: larger ones that it has not yet given up, by revision of the write
    that lowered them; out: what it said it has under way; ends: (when, amount) of what it could spend.
    """

    __slots__ = ("ends", "gone", "out", "owed", "part", "seen")

    def __init__(self):
        self.part, self.seen, self.out = 0, 0, 0
        self.owed, self.ends, self.gone = [], [], False

    def charge(self, now):
        """The most that it can have in use at this moment, or over the window that ends now."""
        amounts = [self.part, self.out]
        amounts += [amount for _, amount in self.owed]
        amounts += [amount for until, amount in self.ends if until > now]
        return max(amounts)


class Ledger:
    """The books of one budget.

    kind: HELD (so much at once) or WINDOWED (so much within any `window_us`). linger_us: how long what was
    begun may go on after its member can begin nothing any more. reserve: kept back for those who can't be
    reached.
    """

    def __init__(self, kind, whole, window_us=0, linger_us=0, reserve=0):
        self.kind, self.whole, self.window_us, self.linger_us = kind, whole, window_us, linger_us
        self.reserve, self.entries = reserve, {}

    def charged(self, now):
        """All that may be in use."""
        return sum(entry.charge(now) for entry in self.entries.values())

    def free(self, now):
        """What may be given out now; negative after the whole was lowered below what is out."""
        return self.whole - self.reserve - self.charged(now)

    def parts(self):
        """{member: part as last written} of those who are there."""
        return {name: entry.part for name, entry in self.entries.items() if not entry.gone}

    def write(self, targets, revision, now):
        """The parts to write now, under this revision: all cuts at once, and raises as far as what is free.

        targets: {member: part it should have}. Returns {member: part} of those that change. They are booked
        before anybody is told: whether or not the write arrives, nobody can have more.
        """
        self.tidy(now)
        changed = {}
        for name, target in targets.items():
            entry = self.entries.setdefault(name, Entry())
            if entry.gone:
                continue
            if target < entry.part:
                insort(entry.owed, (revision, entry.part))
                entry.part = changed[name] = target
        free = self.free(now)
        for name, target in sorted(targets.items(), key=lambda row: row[1] - self._part(row[0])):
            entry = self.entries[name]
            if entry.gone or target <= entry.part:
                continue
            before = entry.charge(now)
            part = min(target, before + max(0, free))   # what it is charged with anyway costs nothing
            if part > entry.part:
                entry.part = changed[name] = part
                free -= entry.charge(now) - before
        return changed

    def _part(self, name):
        return self.entries[name].part if name in self.entries else 0

    def report(self, name, seen, out, now):
        """A member says which write it goes by, and what it has under way. Older words change nothing."""
        entry = self.entries.setdefault(name, Entry())
        if entry.gone or seen < entry.seen:
            return
        entry.seen = seen
        given_up = [amount for revision, amount in entry.owed if revision <= seen]
        entry.owed = [row for row in entry.owed if row[0] > seen]
        if self.kind == HELD:
            entry.out = out
        elif given_up:   # spent under the larger part, it counts until the window has passed
            entry.ends.append((now + self.window_us, max(given_up)))

    def left(self, name, surely_at, in_order=False):
        """A member has gone: from surely_at on it can begin nothing. What it began may linger, unless it went
        in good order, with nothing under way."""
        entry = self.entries.get(name)
        if entry is None or entry.gone:
            return
        amount = max([entry.part, entry.out, *(amount for _, amount in entry.owed)])
        if self.kind == WINDOWED:
            entry.ends.append((surely_at + self.window_us, amount))
        elif not in_order:
            entry.ends.append((surely_at + self.linger_us, amount))
        entry.part, entry.out, entry.owed, entry.gone = 0, 0, [], True

    def tidy(self, now):
        """What is over is forgotten."""
        for name, entry in list(self.entries.items()):
            entry.ends = [row for row in entry.ends if row[0] > now]
            if entry.gone and not entry.ends:
                del self.entries[name]

    # For the next divider

    def dump(self):
        """The books as plain values, to be written with each write of parts, in the same transaction."""
        return [[name, entry.part, entry.seen, entry.out, entry.owed, entry.gone,
                 [amount for _, amount in entry.ends]] for name, entry in self.entries.items()]

    def load(self, rows, now):
        """Go on from books that another wrote, whose clock is not ours: what was to end later ends a whole
        time from now. Who is there must have been asked after now."""
        time_us = self.window_us if self.kind == WINDOWED else self.linger_us
        for name, part, seen, out, owed, gone, ends in rows:
            entry = self.entries[name] = Entry()
            entry.part, entry.seen, entry.out, entry.gone = part, seen, out, gone
            entry.owed = [tuple(row) for row in owed]
            entry.ends = [(now + time_us, amount) for amount in ends]
