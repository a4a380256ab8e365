"""What of a whole may be given out now: the books of whoever divides a budget. Decisions only.

Members are known by what tells two processes of one name apart: one that comes back is another member.
Each member is charged with all that it can still spend: its part, a larger one that it may not yet have heard
is taken back, what it began under it, and, for a budget over a window, what it spent within the window. Only
what nobody is charged with may be given. So the sum holds whatever is lost, late or asleep.
"""

from bisect import insort

HELD, WINDOWED, WEIGHT = "held", "windowed", "weight"


class Entry:
    """One member in the books. Times in us of the divider's clock.

    part: as last written for it; owed: larger ones that it has not yet given up, by the write that lowered
    them; out: what it said it has under way; ends: (when, amount) of what it could spend or has spent.
    """

    __slots__ = ("ends", "gone", "out", "owed", "part", "seen")

    def __init__(self):
        self.part, self.seen, self.out = 0, 0, 0
        self.owed, self.ends, self.gone = [], [], False

    def charge(self, now):
        """The most that it can have in use at this moment, or over the window that ends now."""
        most = max(self.part, self.out)
        for _, amount in self.owed:
            most = max(most, amount)
        for until, amount in self.ends:
            if until > now:
                most = max(most, amount)
        return most

    def empty(self):
        """Nothing is charged, now or later."""
        return not (self.part or self.out or self.owed or self.ends)

    def pack(self):
        """As plain values, to be written with its part in one value; a part alone is a number."""
        if self.out or self.owed or self.ends or self.gone:
            return [self.part, self.out, self.owed, [amount for _, amount in self.ends], self.gone]
        return self.part

    @classmethod
    def unpack(cls, packed, until):
        """From plain values; what was to end later ends at `until`, on a clock that is not the writer's."""
        entry = cls()
        if isinstance(packed, int):
            entry.part = packed
        else:
            entry.part, entry.out, owed, ends, entry.gone = packed
            entry.owed = [tuple(row) for row in owed]
            entry.ends = [(until, amount) for amount in ends]
        return entry


class Ledger:
    """The books of one budget.

    kind: HELD (so much at once), WINDOWED (so much within any `window_us`) or WEIGHT (proportions alone: no
    sum to keep). linger_us: how long what was begun may go on after its member can begin nothing any more.
    reserve: kept back for those who can't be reached.
    """

    def __init__(self, kind, whole, window_us=0, linger_us=0, reserve=0):
        self.kind, self.whole, self.window_us, self.linger_us = kind, whole, window_us, linger_us
        self.reserve, self.entries = reserve, {}

    def charge(self, name, now):
        """What one member may have in use."""
        return self.entries[name].charge(now) if name in self.entries else 0

    def charged(self, now):
        """All that may be in use."""
        return sum(entry.charge(now) for entry in self.entries.values())

    def free(self, now):
        """What may be given out now; negative after the whole was lowered below what is out."""
        return self.whole - self.reserve - self.charged(now)

    def parts(self):
        """{member: part as last written} of those who are there."""
        return {name: entry.part for name, entry in self.entries.items() if not entry.gone}

    def write(self, targets, write, now):
        """The parts to write now, under this number: all cuts at once, and raises as far as what is free.

        targets: {member: part it should have}; who is not in it loses what it has. Returns {member: part} of
        those that change. They are booked before anybody is told: whether or not it arrives, nobody can have
        more.
        """
        changed = {}
        for name in self.parts():
            if name not in targets:
                self._cut(name, 0, write, changed)
        for name, target in targets.items():
            entry = self.entries.setdefault(name, Entry())
            if target < entry.part and not entry.gone:
                self._cut(name, target, write, changed)
        self.tidy(now, targets)
        free = self.whole * len(targets) if self.kind == WEIGHT else self.free(now)
        for name, target in sorted(targets.items(), key=lambda row: row[1] - self._part(row[0])):
            entry = self.entries[name]
            if entry.gone or target <= entry.part:
                continue
            before = entry.charge(now)
            part = min(target, before + max(0, free))  # what it is charged with anyway costs nothing
            if part > entry.part:
                entry.part = changed[name] = part
                free -= entry.charge(now) - before
        return changed

    def _cut(self, name, target, write, changed):
        entry = self.entries[name]
        if entry.part > target:
            if self.kind != WEIGHT:
                insort(entry.owed, (write, entry.part))
            entry.part = changed[name] = target

    def _part(self, name):
        return self.entries[name].part if name in self.entries else 0

    def report(self, name, seen, out, now):
        """A member says which write it goes by, and what it has under way, or has spent within the window.
        Older words change nothing."""
        entry = self.entries.setdefault(name, Entry())
        if entry.gone or seen < entry.seen or self.kind == WEIGHT:
            return
        entry.seen = seen
        entry.owed = [row for row in entry.owed if row[0] > seen]
        if self.kind == HELD:
            entry.out = out
        elif out > entry.part:  # it counts until the window has passed, whatever is spent from now on
            entry.ends = [row for row in entry.ends if row[0] > now and row[1] > out]
            entry.ends.append((now + self.window_us, out))

    def left(self, name, surely_at, spent=None):
        """A member has gone: from surely_at on it can begin nothing. What it began may linger, unless it went
        in good order and told what it had under way, or had spent within the window."""
        entry = self.entries.get(name)
        if entry is None or entry.gone:
            return
        if spent is None:
            spent = max([entry.part, entry.out, *(amount for _, amount in entry.owed)])
        time_us = self.window_us if self.kind == WINDOWED else self.linger_us
        if spent and self.kind != WEIGHT:
            entry.ends.append((surely_at + time_us, spent))
        entry.part, entry.out, entry.owed, entry.gone = 0, 0, [], True

    def tidy(self, now, there=()):
        """What is over is forgotten, but for who is there."""
        for name, entry in list(self.entries.items()):
            entry.ends = [row for row in entry.ends if row[0] > now]
            if entry.empty() and (entry.gone or name not in there):
                del self.entries[name]

    def next_end(self):
        """When something that is charged ends by itself; None."""
        return min((until for entry in self.entries.values() for until, _ in entry.ends), default=None)

    # For the next divider

    def load(self, name, packed, now):
        """Go on from what another wrote of a member: what was to end later ends a whole time from now. Who is
        there must have been asked after now."""
        time_us = self.window_us if self.kind == WINDOWED else self.linger_us
        self.entries[name] = Entry.unpack(packed, now + time_us)
