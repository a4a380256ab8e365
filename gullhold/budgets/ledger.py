"""The allocator's ledger of one budget: how much of it may be given out now. Decisions only.

Members are known by a key that tells two processes of one name apart: one that returns is another member.
Each member is charged with all that it can still spend: its allocation, a larger one that was reduced but
that it may not know yet to be, what it has in use under it, and, for a budget over a window, what it spent
within the window. Only what nobody is charged with may be given out. So the sum holds whatever message is
lost or late and whichever process is paused.
"""

from bisect import insort
from collections.abc import Container, Mapping
from enum import StrEnum
from typing import Any, NamedTuple


class LedgerKind(StrEnum):
    """How a budget's amounts are accounted for."""

    HELD = "held"  # so much in use at once
    WINDOWED = "windowed"  # so much spent within any window
    WEIGHT = "weight"  # proportions alone: there is no sum to keep


class Reduction(NamedTuple):
    """An allocation that was reduced; the member has given it up once it goes by the write that did so."""

    write: int
    previous: int


class ExpiringCharge(NamedTuple):
    """An amount that a member could spend or has spent, charged until a time in us."""

    until: int
    amount: int


class LedgerEntry:
    """One member in a ledger. Times are us of the allocator's clock.

    allocated: as last written for the member; in_use: as it last reported; reductions: those that it has not
    acknowledged, by write; expiring: charges that end by themselves; has_left: it can begin nothing more.
    """

    __slots__ = ("allocated", "expiring", "has_left", "in_use", "reductions", "seen_write")

    def __init__(self) -> None:
        self.allocated = 0
        self.seen_write = 0
        self.in_use = 0
        self.reductions: list[Reduction] = []
        self.expiring: list[ExpiringCharge] = []
        self.has_left = False

    def charge(self, now: int) -> int:
        """Return the most that it can have in use at this moment, or over the window that ends now."""
        highest = max(self.allocated, self.in_use)
        for _, previous in self.reductions:
            highest = max(highest, previous)
        for until, amount in self.expiring:
            if until > now:
                highest = max(highest, amount)
        return highest

    def is_empty(self) -> bool:
        """Whether nothing is charged, now or later."""
        return not (self.allocated or self.in_use or self.reductions or self.expiring)

    def pack(self) -> int | list[Any]:
        """Return the stored form: [allocated, in use, reductions, expiring amounts, has left].

        An allocation alone is a number.
        """
        if self.in_use or self.reductions or self.expiring or self.has_left:
            amounts = [amount for _, amount in self.expiring]
            return [self.allocated, self.in_use, self.reductions, amounts, self.has_left]
        return self.allocated

    @classmethod
    def unpack(cls, packed: int | list[Any], until: int) -> "LedgerEntry":
        """Read the stored form. Charges that were to end later end at `until`: the clock is another's."""
        entry = cls()
        if isinstance(packed, int):
            entry.allocated = packed
            return entry
        entry.allocated, entry.in_use, reductions, amounts, entry.has_left = packed
        entry.reductions = [Reduction(*row) for row in reductions]
        entry.expiring = [ExpiringCharge(until, amount) for amount in amounts]
        return entry


class Ledger:
    """The ledger of one budget.

    window_us: of a windowed budget. linger_us: how long work may go on after its member can begin nothing
    any more. reserve: held back for members that can't be reached.
    """

    def __init__(
        self, kind: LedgerKind, total: int, window_us: int = 0, linger_us: int = 0, reserve: int = 0
    ) -> None:
        self.kind = kind
        self.total = total
        self.window_us = window_us
        self.linger_us = linger_us
        self.reserve = reserve
        self.entries: dict[str, LedgerEntry] = {}

    def charge(self, member: str, now: int) -> int:
        """Return what one member may have in use."""
        return self.entries[member].charge(now) if member in self.entries else 0

    def charged(self, now: int) -> int:
        """Return all that may be in use."""
        return sum(entry.charge(now) for entry in self.entries.values())

    def available(self, now: int) -> int:
        """Return what may be given out now; negative after the total was lowered below what is charged."""
        return self.total - self.reserve - self.charged(now)

    def allocations(self) -> dict[str, int]:
        """Return the allocations, as last written, of the members that have not left."""
        return {member: entry.allocated for member, entry in self.entries.items() if not entry.has_left}

    def reallocate(self, targets: Mapping[str, int], write: int, now: int) -> dict[str, int]:
        """Return the allocations to write now: all reductions at once, and raises as far as is available.

        targets: the allocation that each member should have; who is not in it loses what it has. write: the
        number of this write. Only changed allocations are returned. They are charged before any member is
        notified: whether or not the write arrives, nobody can have more.
        """
        changed: dict[str, int] = {}
        for member in self.allocations():
            if member not in targets:
                self._reduce(member, 0, write, changed)
        for member, target in targets.items():
            entry = self.entries.setdefault(member, LedgerEntry())
            if target < entry.allocated and not entry.has_left:
                self._reduce(member, target, write, changed)
        self.remove_expired(now, targets)
        self._raise(targets, now, changed)
        return changed

    def _reduce(self, member: str, target: int, write: int, changed: dict[str, int]) -> None:
        entry = self.entries[member]
        if entry.allocated > target:
            if self.kind != LedgerKind.WEIGHT:
                insort(entry.reductions, Reduction(write, entry.allocated))
            entry.allocated = target
            changed[member] = target

    def _raise(self, targets: Mapping[str, int], now: int, changed: dict[str, int]) -> None:
        """Raise allocations towards their targets, the smallest raise first, while something is available."""
        available = self.total * len(targets) if self.kind == LedgerKind.WEIGHT else self.available(now)
        for member, target in sorted(targets.items(), key=lambda row: row[1] - self._allocated(row[0])):
            entry = self.entries[member]
            if entry.has_left or target <= entry.allocated:
                continue
            before = entry.charge(now)
            raised = min(target, before + max(0, available))  # what it is charged with anyway costs nothing
            if raised > entry.allocated:
                entry.allocated = raised
                changed[member] = raised
                available -= entry.charge(now) - before

    def _allocated(self, member: str) -> int:
        return self.entries[member].allocated if member in self.entries else 0

    def report(self, member: str, seen_write: int, in_use: int, now: int) -> None:
        """Take in a member's report: the write it goes by, and what it has in use or spent in the window.

        A report older than the last one changes nothing.
        """
        entry = self.entries.setdefault(member, LedgerEntry())
        if entry.has_left or seen_write < entry.seen_write or self.kind == LedgerKind.WEIGHT:
            return
        entry.seen_write = seen_write
        entry.reductions = [reduction for reduction in entry.reductions if reduction.write > seen_write]
        if self.kind == LedgerKind.HELD:
            entry.in_use = in_use
        elif in_use > entry.allocated:  # it counts until the window has passed, whatever is spent from now on
            entry.expiring = [row for row in entry.expiring if row.until > now and row.amount > in_use]
            entry.expiring.append(ExpiringCharge(now + self.window_us, in_use))

    def member_left(self, member: str, inactive_at: int, spent: int | None = None) -> None:
        """Record that a member has left: it can begin nothing from inactive_at on.

        What it began may linger. spent: what it last reported to have in use, or spent within the window,
        where it left in good order; None: not known, so all that it could spend is charged.
        """
        entry = self.entries.get(member)
        if entry is None or entry.has_left:
            return
        if spent is None:
            previous = (reduction.previous for reduction in entry.reductions)
            spent = max([entry.allocated, entry.in_use, *previous])
        if spent and self.kind != LedgerKind.WEIGHT:
            entry.expiring.append(ExpiringCharge(inactive_at + self._expiry_us(), spent))
        entry.allocated = 0
        entry.in_use = 0
        entry.reductions = []
        entry.has_left = True

    def _expiry_us(self) -> int:
        """How long after its member's end a charge goes on."""
        return self.window_us if self.kind == LedgerKind.WINDOWED else self.linger_us

    def remove_expired(self, now: int, present: Container[str] = ()) -> None:
        """Drop charges that have ended, and empty entries of members that are not present."""
        for member, entry in list(self.entries.items()):
            entry.expiring = [row for row in entry.expiring if row.until > now]
            if entry.is_empty() and (entry.has_left or member not in present):
                del self.entries[member]

    def next_expiry(self) -> int | None:
        """Return when the next charge ends by itself; None: none does."""
        return min((row.until for entry in self.entries.values() for row in entry.expiring), default=None)

    def load(self, member: str, packed: int | list[Any], now: int) -> None:
        """Take over a member's entry as another allocator stored it.

        Charges that were to end later end a full period from now. A member that is still present must have
        reported after now.
        """
        self.entries[member] = LedgerEntry.unpack(packed, now + self._expiry_us())
