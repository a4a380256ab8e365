"""The allocator's ledger of one budget: how much of it may be allocated now. Performs no I/O.

Members are identified by a key that distinguishes processes of the same name: a restarted process is another
member. Each member is charged with the most that it may still use: its allocation; a larger earlier one whose
reduction it may not have applied yet; what it has in use; and, for a windowed budget, what it has spent
within the window. Only what no member is charged with may be allocated. So the total is never exceeded,
whichever messages are lost or late and whichever processes are paused.
"""

from bisect import insort
from collections.abc import Container, Mapping
from enum import StrEnum
from typing import NamedTuple

from gullhold.budgets.budget_schema import PackedEntry


class LedgerKind(StrEnum):
    """How a budget's amounts are accounted for."""

    HELD = "held"  # an amount in use at the same time
    WINDOWED = "windowed"  # an amount spent within any window
    WEIGHT = "weight"  # proportions only: use is not limited by the total


class Reduction(NamedTuple):
    """A reduction of an allocation; applied for certain once the member reports this write or a later one.

    write: number of the write with the reduction; previous: the allocation before it.
    """

    write: int
    previous: int


class ExpiringCharge(NamedTuple):
    """An amount that a member may have spent, charged until a time in us."""

    until: int
    amount: int


class LedgerEntry:
    """One member's entry in a ledger. Times are us of the allocator's clock.

    allocated: as last written for the member; applied_write: number of the newest write that the member has
    reported as applied; in_use: as last reported; reductions: those not acknowledged yet, in order of their
    writes; expiring: charges that end at a known time; has_left: the member can begin nothing more.
    """

    __slots__ = ("allocated", "expiring", "has_left", "in_use", "reductions", "applied_write")

    def __init__(self) -> None:
        self.allocated = 0
        self.applied_write = 0
        self.in_use = 0
        self.reductions: list[Reduction] = []
        self.expiring: list[ExpiringCharge] = []
        self.has_left = False

    def charge(self, now: int) -> int:
        """Return the most that the member may have in use now, or have spent within the last window."""
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

    def pack(self) -> PackedEntry:
        """Return the stored form: [allocated, in use, reductions, expiring amounts, has left].

        An entry with an allocation alone is stored as a plain number.
        """
        if self.in_use or self.reductions or self.expiring or self.has_left:
            amounts = [amount for _, amount in self.expiring]
            return [self.allocated, self.in_use, self.reductions, amounts, self.has_left]
        return self.allocated

    @classmethod
    def unpack(cls, packed: PackedEntry, until: int) -> "LedgerEntry":
        """Read the stored form. until: when expiring charges end, as their times are not stored."""
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

    window_us: length of the window of a windowed budget. linger_us: how long work may go on after its member
    has become unable to begin more work. reserve: part of the total that is never allocated, as members may
    always spend it. entries: by member.
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
        """Return the most that one member may have in use or have spent."""
        return self.entries[member].charge(now) if member in self.entries else 0

    def charged(self, now: int) -> int:
        """Return the most that all members together may have in use or have spent."""
        return sum(entry.charge(now) for entry in self.entries.values())

    def available(self, now: int) -> int:
        """Return what may be allocated now; negative if more is charged, as after the total was lowered."""
        return self.total - self.reserve - self.charged(now)

    def allocations(self) -> dict[str, int]:
        """Return the allocations, as last written, of the members that have not left, by member."""
        return {member: entry.allocated for member, entry in self.entries.items() if not entry.has_left}

    def reallocate(self, targets: Mapping[str, int], write: int, now: int) -> dict[str, int]:
        """Return the changed allocations to write: all reductions, and the increases that are possible now.

        targets: the allocation that each member should have, none for a member that is missing. write: number
        of this write. The changes are charged at once, before they are written, so that no member can have
        more than it is charged with, whether or not the write arrives.
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
        """Lower a member's allocation to its target, if it is larger, and add the target to `changed`."""
        entry = self.entries[member]
        if entry.allocated > target:
            if self.kind != LedgerKind.WEIGHT:
                insort(entry.reductions, Reduction(write, entry.allocated))
            entry.allocated = target
            changed[member] = target

    def _raise(self, targets: Mapping[str, int], now: int, changed: dict[str, int]) -> None:
        """Raise allocations towards their targets, the smallest increase first, as far as available."""
        available = self.total * len(targets) if self.kind == LedgerKind.WEIGHT else self.available(now)
        for member, target in sorted(targets.items(), key=lambda row: row[1] - self._allocated(row[0])):
            entry = self.entries[member]
            if entry.has_left or target <= entry.allocated:
                continue
            before = entry.charge(now)
            # The member is charged with `before` already, so up to there a raise costs nothing. A negative
            # `available`, as when members have more in use than allocated, limits even such a raise: the
            # allocations would otherwise sum to more than the total, and still do so after the use has ended.
            raised = min(target, before + available)
            if raised > entry.allocated:
                entry.allocated = raised
                changed[member] = raised
                available -= entry.charge(now) - before

    def _allocated(self, member: str) -> int:
        return self.entries[member].allocated if member in self.entries else 0

    def report(self, member: str, applied_write: int, in_use: int, now: int) -> None:
        """Take a member's report; one that is older than the last has no effect.

        applied_write: number of the newest write that the member has applied; in_use: what it has in use, or
        has spent within the window.
        """
        entry = self.entries.setdefault(member, LedgerEntry())
        if entry.has_left or applied_write < entry.applied_write or self.kind == LedgerKind.WEIGHT:
            return
        entry.applied_write = applied_write
        entry.reductions = [reduction for reduction in entry.reductions if reduction.write > applied_write]
        if self.kind == LedgerKind.HELD:
            entry.in_use = in_use
        elif in_use > entry.allocated:  # charged for a whole window, whatever is spent from now on
            entry.expiring = [row for row in entry.expiring if row.until > now and row.amount > in_use]
            entry.expiring.append(ExpiringCharge(now + self.window_us, in_use))

    def member_left(self, member: str, inactive_at: int, spent: int | None = None) -> None:
        """Record that a member has left; its work may still go on for a while, and stays charged.

        inactive_at: from this time on it can begin nothing more. spent: what it had in use, or had spent
        within the window, by its last report, if it has shut down gracefully; None: unknown, so that all that
        it could spend is charged.
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
        """How long a charge lasts after its member has become unable to begin more work."""
        return self.window_us if self.kind == LedgerKind.WINDOWED else self.linger_us

    def remove_expired(self, now: int, present: Container[str] = ()) -> None:
        """Remove charges that have ended, and the empty entries of members that are not present."""
        for member, entry in list(self.entries.items()):
            entry.expiring = [row for row in entry.expiring if row.until > now]
            if entry.is_empty() and (entry.has_left or member not in present):
                del self.entries[member]

    def next_expiry(self) -> int | None:
        """Return when the next charge expires; None: none will."""
        return min((row.until for entry in self.entries.values() for row in entry.expiring), default=None)

    def load(self, member: str, packed: PackedEntry, now: int) -> None:
        """Load a member's entry as another allocator stored it.

        Its expiring charges last a full period from now. The entry does not say which writes the member has
        applied, so it takes any report for new: the caller must not pass report() one that is older than the
        entry.
        """
        self.entries[member] = LedgerEntry.unpack(packed, now + self._expiry_us())
