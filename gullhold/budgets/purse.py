"""What one member may spend of its parts, by its own clock. Decisions only, on the thread that spends.

A part holds only while the lease under which it was told surely holds: who divides gives it to another soon
after. Besides it a member may always spend what is kept back for each, once nothing that an earlier process
in its place has begun can still go on.
"""

from collections import deque
from typing import NamedTuple

from gullhold.budgets.demand import AHEAD, wanted
from gullhold.budgets.ledger import HELD, WEIGHT


class Rule(NamedTuple):
    """Of one budget, or of one for each engine or tenant; times in us of the member's clock.

    whole: of the fleet: more is never asked for; window_us: of a windowed one; settle_us: how long what was
    given up may run on; alone: what may be spent besides the part; alone_after_us: how long after the start.
    """

    kind: str
    whole: int
    window_us: int = 0
    settle_us: int = 0
    alone: int = 0
    alone_after_us: int = 0


class Purse:
    """One member's part of one budget."""

    __slots__ = ("fading", "lack", "out", "part", "peak", "purses", "rule", "short", "spent")

    def __init__(self, rule, purses, part=0):
        self.rule, self.purses, self.part = rule, purses, part
        self.out, self.spent, self.fading = 0, deque(), deque()  # (when, amount) that was spent, or fades
        self.peak, self.lack, self.short = 0, 0, False  # since the last report

    def alone(self, now):
        """What it may spend besides its part."""
        alone = self.rule.alone
        return alone if alone and now >= self.purses.began + self.rule.alone_after_us else 0

    def limit(self, now=None):
        """What it may have in use now."""
        now = self.purses.clock() if now is None else now
        return self.alone(now) + (self.part if self.purses.holds(now) else 0)

    def allows(self, amount):
        """Whether so much more may be begun now."""
        now = self.purses.clock()
        if self.used(now) + amount <= self.limit(now):
            return True
        self.short = True
        self.purses.rush()
        return False

    def acquire(self, amount):
        """Begun, after may(). It asks for more before it runs dry."""
        now, self.out = self.purses.clock(), self.out + amount
        if self.rule.kind != HELD:
            self.spent.append((now, amount))
        if self.out > self.peak and (used := self.used(now)) > self.peak:
            self.peak = used
            if used * (AHEAD + 1) > self.part * AHEAD:
                self.purses.rush()

    def release(self, amount, confirmed=True):
        """What was begun under a held budget has ended; not surely: it was given up, and may run on a moment.
        A part that shrank under it cancelled nothing."""
        if self.rule.kind != HELD:
            return
        if confirmed:
            self.out -= amount
        else:
            self.fading.append((self.purses.clock() + self.rule.settle_us, amount))

    def record_rejection(self, amount):
        """Somebody was turned away for want of it."""
        self.lack += amount
        self.purses.rush()

    def used(self, now):
        """What is in use, or was spent within the window."""
        while self.fading and self.fading[0][0] <= now:
            self.out -= self.fading.popleft()[1]
        while self.spent and self.spent[0][0] <= now - self.rule.window_us:
            self.out -= self.spent.popleft()[1]
        return self.out

    def report(self, lack, now):
        """(what is in use of its part, what it uses, what it wants); counted anew from here."""
        if self.rule.kind == WEIGHT:
            return 0, lack, lack
        used, lack = self.used(now), lack + self.lack
        most = max(self.peak, used)
        # Refused for want of room, it uses all that it can, be it too little for one command.
        told = max(most, self.part) if self.short else most
        row = max(0, used - self.alone(now)), told, wanted(most, lack, self.rule.whole)
        self.peak, self.lack, self.short = used, 0, False
        return row


class Purses:
    """All parts of one member: called with (budget, of what), the part; None where the fleet has no budget.

    rules: {(budget, of what or None for each): Rule}; label(budget, of): what the fleet calls it; lease:
    with id and until, which another thread changes; clock: monotonic us; hurry(): called, once between two
    reports, when one runs dry.
    """

    def __init__(self, rules, label, lease, clock, hurry=lambda: None):
        self.rules, self.label, self.lease, self.clock = rules, label, lease, clock
        self.hurry, self.hurried = hurry, False
        self.held = False  # whether parts held when last asked
        self.kinds = {budget for budget, _ in rules}
        self.began, self.under, self.seen, self.cut = clock(), 0, 0, False
        self.rows, self.row = {}, {}  # purses by (budget, of what); parts by name, as last told
        for budget, of in rules:
            if of is not None:  # always of interest; one for each is once it is used
                self(budget, of)

    def __call__(self, budget, of):
        if budget not in self.kinds:
            return None
        purse = self.rows.get((budget, of))
        if purse is None:
            rule = self.rules.get((budget, of)) or self.rules.get((budget, None))
            if rule is None:
                return None
            purse = Purse(rule, self, self.row.get(self.label(budget, of), 0))
            self.rows[budget, of] = purse
        return purse

    def resize(self, wholes):
        """{(budget, of what it is called or "" for each): whole}: more is never asked for."""

        def new(budget, of, rule):
            name = "" if of is None else self.label(budget, of).partition("/")[2]
            return rule._replace(whole=wholes.get((budget, name), wholes.get((budget, ""), rule.whole)))

        self.rules = {key: new(*key, rule) for key, rule in self.rules.items()}
        for key, purse in self.rows.items():
            purse.rule = self.rules.get(key) or self.rules[key[0], None]

    def rush(self):
        """One runs dry."""
        if not self.hurried:
            self.hurried = True
            self.hurry()

    def holds(self, now):
        """Whether the lease under which the parts were told surely holds. Its end is read first: another
        thread may begin a new one in between, whose id is another."""
        until = self.lease.valid_until
        self.held = now < until and self.lease.id == self.under != 0
        return self.held

    def fencing_token(self):
        """The lease under which the last was allowed; 0: under none."""
        return self.under if self.held else 0

    def token_valid(self, stamp):
        """Whether what was allowed then still is. From any thread: it asks nothing that changes."""
        until = self.lease.valid_until
        return not stamp or self.clock() < until and self.lease.id == stamp

    def told(self, lease, write, row):
        """{name: part} of a write for this lease; one that is older than the last changes nothing."""
        if lease != self.under:
            self.under, self.seen, self.row = lease, 0, {}
        if write <= self.seen:
            return
        self.cut = self.cut or any(row.get(name, 0) < part for name, part in self.row.items())
        self.seen, self.row = write, row
        for (budget, of), purse in self.rows.items():
            purse.part = row.get(self.label(budget, of), 0)

    def fresh(self, lease):
        """A new lease: nothing is told under it yet."""
        if lease != self.under:
            self.told(lease, 0, {})
            for purse in self.rows.values():
                purse.part = 0

    def report(self, lacks):
        """{name: (out, used, want)} of all that matters now; lacks: of what held commands lack, and of which
        engines there are."""
        now, asked = self.clock(), {(budget, of): amount for budget, of, amount in lacks}
        self.hurried = False
        for key in asked:
            self(*key)
        found = {}
        for (budget, of), purse in list(self.rows.items()):
            key = (budget, of)
            if key not in asked and key not in self.rules and not purse.used(now) and not purse.lack:
                del self.rows[key]  # its engine has gone
            else:
                found[self.label(budget, of)] = purse.report(asked.get(key, 0), now)
        return found

    def parts(self):
        """{name: part} as they are."""
        return {self.label(*key): purse.part for key, purse in self.rows.items()}
