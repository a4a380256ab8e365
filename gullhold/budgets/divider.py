"""Divides many budgets among the members of a fleet, for whoever owns that duty. Decisions only.

Members are known by what tells two processes of one name apart. Each writes one report of all its budgets and
is written one value with all its parts, so that calls grow neither with budgets nor with other members.
"""

from typing import NamedTuple

from gullhold.budgets.division import calm, shares
from gullhold.budgets.ledger import Ledger

MOST = 200   # budgets looked at in one division: half a second among 1,000 members


class Budget(NamedTuple):
    """What the operator says of one budget.

    kind: of the ledger; whole: of the fleet; window_us, linger_us: as in the ledger; alone: what each member
    may spend while it can't be reached, kept back for `members_most` of them; floor: least part of each.
    """

    kind: str
    whole: int
    window_us: int = 0
    linger_us: int = 0
    alone: int = 0
    members_most: int = 0
    floor: int = 1

    def books(self):
        """A ledger for it; what is kept back leaves something to divide."""
        return Ledger(self.kind, self.whole, self.window_us, self.linger_us, self.alone * self.members_most)


class Divider:
    """All budgets of a fleet. divide() says what to write; what it says is booked already."""

    def __init__(self, budgets, weights=None):
        self.budgets = dict(budgets)
        self.books = {name: budget.books() for name, budget in self.budgets.items()}
        self.weights, self.members = weights or {}, []   # weights: by member, 1 where not said
        self.wants = {name: {} for name in self.budgets}
        self.changed = dict.fromkeys(self.budgets)   # to look at, in turn: a fleet at rest costs nothing

    def join(self, member):
        """A member is there."""
        if member not in self.members:
            self.members.append(member)
            self._all_changed()

    def left(self, member, surely_at, in_order=False):
        """A member has gone: it can begin nothing from surely_at on."""
        if member in self.members:
            self.members.remove(member)
        for name, books in self.books.items():
            self.wants[name].pop(member, None)
            books.left(member, surely_at, in_order)
        self._all_changed()

    def report(self, member, told, now):
        """A member's word, {budget: (write it goes by, out, want)}; names not known are passed over."""
        if member not in self.members:
            return
        for name, (seen, out, want) in told.items():
            books = self.books.get(name)
            if books is None:
                continue
            before = books.charged(now)
            books.report(member, seen, out, now)
            if want != self.wants[name].get(member, 0) or books.charged(now) != before:
                self.wants[name][member] = want
                self.changed[name] = None

    def _all_changed(self):
        """After what waits already."""
        self.changed |= dict.fromkeys(self.budgets)

    def divide(self, revision, now, most=MOST):
        """{member: {budget: part}} of the parts that change with this write. So many budgets at most are
        looked at, the others with the next write."""
        found = {}
        for name in list(self.changed)[:most]:
            del self.changed[name]
            books = self.books[name]
            wants = {member: self.wants[name].get(member, 0) for member in self.members}
            parts = shares(max(0, books.whole - books.reserve), wants,
                           {member: self.weights.get(member, 1) for member in self.members},
                           self.budgets[name].floor)
            targets = calm(books.parts(), parts, wants)
            for member, part in books.write(targets, revision, now).items():
                found.setdefault(member, {})[name] = part
            if books.parts() != targets:   # something is still to be given back: again, after the others
                self.changed[name] = None
        return found

    def spent_and_idle(self, now):
        """{budget: (whole, charged, free, wanted)}: what staff see."""
        return {name: (books.whole, books.charged(now), books.free(now), sum(self.wants[name].values()))
                for name, books in self.books.items()}

    def dump(self):
        """The books of all budgets as plain values, to be written in the same transaction."""
        return {name: books.dump() for name, books in self.books.items()}

    def load(self, rows, now):
        """Go on from another's books; who stands in them counts as there until left() says otherwise."""
        for name, told in rows.items():
            if name in self.books:
                self.books[name].load(told, now)
        there = [member for books in self.books.values() for member in books.parts()]
        self.members = list(dict.fromkeys(there))   # each once, in the same order for the same books
        self._all_changed()


def plan(budget, wants, weights=None):
    """What each of these members would be given of one budget, {member: part}: as divided, without books."""
    left = max(0, budget.whole - budget.alone * budget.members_most)
    return shares(left, wants, {member: (weights or {}).get(member, 1) for member in wants}, budget.floor)
