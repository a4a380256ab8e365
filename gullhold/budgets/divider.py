"""Divides many budgets among the members of a fleet, for whoever owns that duty. Decisions only.

Members are known by what tells two processes of one name apart. Each writes one report of all its budgets and
is written one row with all its parts, so that calls grow neither with budgets nor with other members. A row
also holds what the books know of that member: the next divider goes on from the rows.

A budget is named for what it is of: `threads/77`. The operator's word is for all that are of one kind
(`threads`) or for that one. Books are opened when a member first tells of one, and closed when none does.
"""

from heapq import heappop, heappush
from typing import NamedTuple

from gullhold.budgets.demand import Word
from gullhold.budgets.division import calm, shares
from gullhold.budgets.ledger import WEIGHT, Ledger

MOST = 200  # budgets looked at in one division: half a second among 1,000 members
BOOKS_MOST = 50_000  # budgets at once: beyond, a member goes by what it may spend alone
TURN_US = 1_000_000  # us until others are served first, where not all can have what is of use


class Budget(NamedTuple):
    """What the operator says of one budget, or of one for each engine or tenant.

    kind: of the ledger; whole: of the fleet; window_us, linger_us: as in the ledger; alone: what each member
    may spend besides its part, also while it can't be reached, kept back for `members_most` of them; floor:
    least part of each; grain: the least part that is of use.
    """

    kind: str
    whole: int
    window_us: int = 0
    linger_us: int = 0
    alone: int = 0
    members_most: int = 0
    floor: int = 1
    grain: int = 1

    def books(self):
        """A ledger for it; what is kept back leaves something to divide."""
        return Ledger(self.kind, self.whole, self.window_us, self.linger_us, self.alone * self.members_most)


class Divider:
    """All budgets of a fleet. divide() says what to write; what it says is booked already."""

    def __init__(self, budgets, weights=None):
        self.budgets, self.weights = dict(budgets), weights or {}  # weights: by member, 1 where not said
        self.books, self.words = {}, {}  # by budget; by budget and member: what it says
        self.there, self.rows = {}, {}  # by member: the budgets that it tells of; that it stands in
        self.changed, self.later = {}, []  # to look at, in turn; (when, budget) to look at again
        self.turns = {}  # where not all are served: (when others are, who is first)
        self.over = set()  # members of whom nothing stands any more

    def rule(self, name):
        """The operator's word for a budget; None: there is none."""
        return self.budgets.get(name) or self.budgets.get(name.partition("/")[0])

    def _open(self, name):
        """The books of a budget; None: nothing is said of it, or there are too many."""
        if name not in self.books and self.rule(name) and len(self.books) < BOOKS_MOST:
            self.books[name], self.words[name] = self.rule(name).books(), {}
        return self.books.get(name)

    def left(self, member, surely_at, told=None):
        """A member has gone: it can begin nothing from surely_at on. told: its last report, {budget: (out,
        used, want)}, where it went in good order."""
        self.there.pop(member, None)
        for name in self.rows.get(member, ()):
            self.words[name].pop(member, None)
            spent = None if told is None else told.get(name, (0, 0, 0))[0]
            self.books[name].left(member, surely_at, spent)
            self.changed[name] = None

    def report(self, member, seen, told, now):
        """A member's word, {budget: (out, used, want)}, and the write that it goes by. It is there from its
        first one on. Budgets that nothing is said of are passed over; of those that it does not name any more
        it has nothing under way."""
        before = self.there.get(member, set())
        self.there[member] = set()
        for name, (out, used, want) in told.items():
            books = self._open(name)
            if books is None:
                continue
            self.there[member].add(name)
            self.rows.setdefault(member, set()).add(name)
            charge = books.charge(member, now)
            books.report(member, seen, out, now)
            word = self.words[name].get(member)
            if word is None:
                word = self.words[name][member] = Word()
                self.changed[name] = None
            believed, due = word.believed(now), word.due()
            word.heard(used, want, books.entries[member].part, now)
            if word.believed(now) != believed or word.due() != due or books.charge(member, now) != charge:
                self.changed[name] = None
        for name in before | self.rows.get(member, set()):
            if name not in self.there[member]:
                self.words[name].pop(member, None)
                self.books[name].report(member, seen, 0, now)
                self.changed[name] = None

    def divide(self, write, now, most=MOST):
        """{member: {budget: part}} of the parts that change with this write; empty where a row has only to be
        written anew. So many budgets at most are looked at, the others with the next writes."""
        while self.later and self.later[0][0] <= now:
            self.changed[heappop(self.later)[1]] = None
        found = {}
        for name in list(self.changed)[:most]:
            del self.changed[name]
            if name in self.books:
                changed, ended = self._divide(name, write, now)
                for member, part in changed.items():
                    found.setdefault(member, {})[name] = part
                for member in ended:  # with what others get for it: on its row it stands no more
                    found.setdefault(member, {})
        return found

    def _divide(self, name, write, now):
        books, rule, words = self.books[name], self.rule(name), self.words[name]
        stood = set(books.entries)
        for member, word in words.items():
            word.look(books.entries[member].part if member in books.entries else 0, now)
        wants = {
            member: word.want if rule.kind == WEIGHT else max(word.believed(now), min(word.want, rule.grain))
            for member, word in words.items()
        }
        parts = shares(
            max(0, books.whole - books.reserve),
            wants,
            {member: self.weights.get(member, 1) for member in wants},
            rule.floor,
            rule.grain,
            self.turns.get(name, (0, 0))[1],
        )
        old = books.parts()
        targets = calm(old, parts, wants)
        changed = books.write(targets, write, now)
        ended = stood - set(books.entries)
        for member in ended:
            self.rows[member].discard(name)
            if not self.rows[member] and member not in self.there:
                del self.rows[member]
                self.over.add(member)
        self._look_again(name, targets, wants, now)
        if not books.entries:
            del self.books[name], self.words[name]
            self.turns.pop(name, None)
        return changed, ended

    def _look_again(self, name, targets, wants, now):
        """When something ends by itself, a word is believed no more, or others come first."""
        books = self.books[name]
        times = [due for word in self.words[name].values() if (due := word.due()) and due > now]
        if books.parts() != targets and (end := books.next_end()):
            times.append(end)  # else a report makes it change: something is still to be given back
        # In vain: a part that is of no use at all. Guards against the same ones going without for ever.
        in_vain = any(
            want > 0 and targets.get(member, 0) < min(want, self.rule(name).grain)
            for member, want in wants.items()
        )
        at, first = self.turns.get(name, (now + TURN_US, 0))
        if not in_vain:
            self.turns.pop(name, None)
        elif now >= at:
            served = sum(part > 0 for part in targets.values())
            self.turns[name] = (now + TURN_US, (first + max(1, served)) % len(targets))
            self.changed[name] = None
        else:
            self.turns[name] = (at, first)
        times += [self.turns[name][0]] if name in self.turns else []
        if times:
            heappush(self.later, (min(times), name))

    def resize(self, wholes):
        """{name or word: whole} from now on; what is out under more comes down by itself."""
        self.budgets = {
            name: budget._replace(whole=wholes.get(name, budget.whole))
            for name, budget in self.budgets.items()
        }
        for name, books in self.books.items():
            if books.whole != self.rule(name).whole:
                books.whole = self.rule(name).whole
                self.changed[name] = None

    def due(self):
        """When to divide again at the latest; None: not before somebody tells something."""
        if self.changed:
            return 0
        return self.later[0][0] if self.later else None

    def spent_and_idle(self, now):
        """{budget: (whole, charged, free, wanted)}: what staff see."""
        return {
            name: (
                books.whole,
                books.charged(now),
                books.free(now),
                sum(word.want for word in self.words[name].values()),
            )
            for name, books in self.books.items()
        }

    # Rows

    def row(self, member):
        """All that stands of a member, as plain values."""
        return {
            name: self.books[name].entries[member].pack()
            for name in sorted(self.rows.get(member, ()))
            if member in self.books[name].entries and not self.books[name].entries[member].empty()
        }

    def load(self, rows, now):
        """Go on from rows that another wrote, {member: row}. Who stands in them and does not report has left:
        whoever loads has to say so."""
        for member, row in rows.items():
            for name, packed in row.items():
                books = self._open(name)
                if books:
                    books.load(member, packed, now)
                    self.rows.setdefault(member, set()).add(name)
                    self.changed[name] = None
            if member not in self.rows:
                self.over.add(member)


def plan(budget, wants, weights=None):
    """What each of these members would be given of one budget, {member: part}: as divided, without books."""
    left = max(0, budget.whole - budget.alone * budget.members_most)
    return shares(
        left, wants, {member: (weights or {}).get(member, 1) for member in wants}, budget.floor, budget.grain
    )
