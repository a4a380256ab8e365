"""Deliberate faults in the decisions of budgets: the explorer finds each one, or it has a gap.

A mutant is what a walk's world is made of: the product's classes with one method changed.
"""

from gullhold.budgets.divider import Divider
from gullhold.budgets.duty import Dividing
from gullhold.budgets.ledger import Ledger
from gullhold.budgets.purse import Purse, Purses
from gullhold.fleet.store_calls import Proof
from gullhold.testing import dividecheck, walking


class HandsOn(Ledger):
    """Gives a part on before it was given back."""

    def write(self, targets, write, now):
        changed = super().write(targets, write, now)
        for entry in self.entries.values():
            entry.owed = []
        return changed


class ForgetsWindow(Ledger):
    """Takes what was spent within the window for free once a part was cut."""

    def report(self, name, seen, out, now):
        super().report(name, seen, out, now)
        self.entries[name].ends = []


class ForgetsOut(Ledger):
    """Takes what is under way for over when a part is given back."""

    def report(self, name, seen, out, now):
        super().report(name, seen, 0, now)


class BuriesAtOnce(Ledger):
    """Takes all that a dead member began for over."""

    def left(self, name, surely_at, spent=None):
        super().left(name, surely_at, spent)
        if name in self.entries:
            self.entries[name].ends = []


class NoReserve(Ledger):
    """Divides also what is kept back for those who are alone."""

    def free(self, now):
        return super().free(now) + self.reserve


class RaisesTwice(Ledger):
    """Gives the same free part to each that wants it."""

    def free(self, now):
        return self.whole - self.reserve - max([entry.charge(now) for entry in self.entries.values()] or [0])


class OverAtOnce(Ledger):
    """Takes what may go on for over when another takes the books over."""

    def load(self, name, packed, now):
        super().load(name, packed, now)
        self.entries[name].ends = []


def booked_by(ledger):
    """A divider whose books are these."""

    class Books(Divider):
        def _open(self, name):
            fresh = name not in self.books
            books = super()._open(name)
            if fresh and books:
                self.books[name] = ledger(
                    books.kind, books.whole, books.window_us, books.linger_us, books.reserve
                )
            return self.books.get(name)

    return Books


class ForgetsBooks(Divider):
    """Begins with nobody charged when it takes over."""

    def load(self, rows, now):
        super().load({member: {} for member in rows}, now)


class NoFence(Dividing):
    """Compares its writes with the token alone: one that was given up may come between two later ones."""

    def take_actions(self):
        return [(*row[:4], ()) if len(row) == 5 else row for row in super().take_actions()]


class MaybeIsDone(Dividing):
    """Takes a write whose reply was lost for done, and its fence for the last one."""

    def written(self, now, serial, reply):
        if reply.proof == Proof.UNKNOWN and self.writing == serial:
            reply = reply._replace(proof=Proof.DONE, revision=self.fence)
        super().written(now, serial, reply)


class DeafWhileReading(Dividing):
    """Loses what changes while it reads."""

    def changed(self, now, key, value, revision):
        if not self.reading:
            super().changed(now, key, value, revision)


class GoneUnseen(Dividing):
    """Does not see that a lease has ended."""

    def changed(self, now, key, value, revision):
        if value is not None:
            super().changed(now, key, value, revision)


class GoneIsInOrder(Dividing):
    """Takes an ended lease for one that was given back with nothing under way."""

    def changed(self, now, key, value, revision):
        if value is None and self.loaded:
            self.divider.left(key.split("/", 2)[2], now, {})
        super().changed(now, key, value, revision)


class LeaseNotLooked(Purses):
    """Goes by what it was last told, whatever the time."""

    def holds(self, now):
        return self.under != 0


class OldParts(Purses):
    """Keeps the parts of a lease that is no more under the next one."""

    def fresh(self, lease):
        if lease != self.under:
            self.under, self.seen = lease, 0


class AcksUnheard(Purses):
    """Says that it goes by a cut, and goes on by the larger part."""

    def told(self, lease, write, row):
        kept = {key: purse.part for key, purse in self.rows.items()}
        super().told(lease, write, row)
        for key, part in kept.items():
            self.rows[key].part = max(part, self.rows[key].part) if row else self.rows[key].part


class TellsNothingOut(Purses):
    """Says that nothing is under way."""

    def report(self, lacks):
        return {name: (0, used, want) for name, (_, used, want) in super().report(lacks).items()}


class _Twice(Purse):
    __slots__ = ()

    def release(self, amount, confirmed=True):
        self.out -= min(self.out, 2 * amount)


class GivesBackTwice(Purses):
    """Counts an end twice."""

    def __call__(self, budget, of):
        purse = super().__call__(budget, of)
        if type(purse) is Purse:
            purse = self.rows[budget, of] = _Twice(purse.rule, self, purse.part)
        return purse


LEDGERS = (HandsOn, ForgetsWindow, ForgetsOut, BuriesAtOnce, NoReserve, RaisesTwice, OverAtOnce)
MUTANTS = {ledger.__name__: {"divider": booked_by(ledger)} for ledger in LEDGERS}
MUTANTS |= {kind.__name__: {"divider": kind} for kind in (ForgetsBooks,)}
MUTANTS |= {
    kind.__name__: {"dividing": kind}
    for kind in (NoFence, MaybeIsDone, DeafWhileReading, GoneUnseen, GoneIsInOrder)
}
MUTANTS |= {
    kind.__name__: {"purses": kind}
    for kind in (LeaseNotLooked, OldParts, AcksUnheard, TellsNothingOut, GivesBackTwice)
}
MUTANTS |= {
    "reports not compared": {"compared": False},
    "alone at once": {"alone_after": 0},
    "drift left out": {"lengthen": 1.0},
}


def find(name, walks, steps, first=0):
    """(seed, what broke) of the first walk that finds it, or None."""
    return walking.find(lambda seed: dividecheck.walk(seed, steps, **MUTANTS[name]), walks, first)
