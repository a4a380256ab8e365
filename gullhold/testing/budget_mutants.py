"""Deliberate faults in the decisions of budgets: the explorer finds each one, or it has a gap.

A mutant is what a walk's world is made of: the product's classes with one method changed.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

from gullhold.budgets.allocation import Allocation
from gullhold.budgets.allocations import Allocations
from gullhold.budgets.allocator import MAX_BUDGETS_PER_ROUND, Allocator
from gullhold.budgets.allocator_role import AllocatorRole
from gullhold.budgets.budget_schema import REPORTS, Usage
from gullhold.budgets.ledger import Ledger
from gullhold.fleet.role_state import CallSerial, RoleAction, WriteKeys
from gullhold.fleet.store_calls import Proof, Reply
from gullhold.interface import BudgetKind, Demand
from gullhold.testing import budget_explorer, walking

Packed = int | list[Any]  # a ledger entry as stored


class GivesOnBeforeReturn(Ledger):
    """Gives an allocation on before it was given back."""

    def reallocate(self, targets: Mapping[str, int], write: int, now: int) -> dict[str, int]:
        """Allocate."""
        changed = super().reallocate(targets, write, now)
        for entry in self.entries.values():
            entry.reductions = []
        return changed


class ForgetsWindow(Ledger):
    """Takes what was spent within the window for free once an allocation was reduced."""

    def report(self, member: str, applied_write: int, in_use: int, now: int) -> None:
        """Take in a report."""
        super().report(member, applied_write, in_use, now)
        self.entries[member].expiring = []


class ForgetsInUse(Ledger):
    """Takes what is in use for ended when an allocation is given back."""

    def report(self, member: str, applied_write: int, in_use: int, now: int) -> None:  # noqa: ARG002  the fault
        """Take in a report."""
        super().report(member, applied_write, 0, now)


class ForgetsDeadMembers(Ledger):
    """Takes all that a dead member began for ended."""

    def member_left(self, member: str, inactive_at: int, spent: int | None = None) -> None:
        """Record that a member has left."""
        super().member_left(member, inactive_at, spent)
        if member in self.entries:
            self.entries[member].expiring = []


class NoReserve(Ledger):
    """Allocates also what is held back as members' reserve."""

    def available(self, now: int) -> int:
        """Return what may be given out."""
        return super().available(now) + self.reserve


class RaisesTwice(Ledger):
    """Gives the same available amount to each member that wants it."""

    def available(self, now: int) -> int:
        """Return what may be given out."""
        charges = [entry.charge(now) for entry in self.entries.values()]
        return self.total - self.reserve - max(charges or [0])


class ForgetsExpiringOnLoad(Ledger):
    """Takes what may go on for ended when another takes the ledger over."""

    def load(self, member: str, packed: Packed, now: int) -> None:
        """Take over a member's entry."""
        super().load(member, packed, now)
        self.entries[member].expiring = []


def allocator_with(ledger_type: type[Ledger]) -> type[Allocator]:
    """Return an allocator type whose ledgers are of this type."""

    class MutantAllocator(Allocator):
        def _open_ledger(self, name: str) -> Ledger | None:
            is_new = name not in self.ledgers
            ledger = super()._open_ledger(name)
            if is_new and ledger:
                self.ledgers[name] = ledger_type(
                    ledger.kind, ledger.total, ledger.window_us, ledger.linger_us, ledger.reserve
                )
            return self.ledgers.get(name)

    return MutantAllocator


class KeepsRowsOfTheDeparted(Allocator):
    """Leaves the row of a member that has left in the store as it is, until nothing is charged to it."""

    def allocate(
        self, write: int, now: int, max_budgets: int = MAX_BUDGETS_PER_ROUND
    ) -> dict[str, dict[str, int]]:
        """Allocate."""
        self.newly_left = {}
        return super().allocate(write, now, max_budgets)


class ForgetsLedgers(Allocator):
    """Begins with nobody charged when it takes over."""

    def load(self, rows: Mapping[str, Mapping[str, Packed]], now: int) -> None:
        """Go on from rows."""
        super().load({member: {} for member in rows}, now)


class NoFence(AllocatorRole):
    """Compares its writes with the token alone: an abandoned one may come between two later ones."""

    def take_actions(self) -> list[RoleAction]:
        """Return what is to be done now."""
        return [
            replace(action, conditions=()) if isinstance(action, WriteKeys) else action
            for action in super().take_actions()
        ]


class TakesUnknownForDone(AllocatorRole):
    """Takes a write whose reply was lost for done, and its fence for the last one."""

    def written(self, now: int, serial: CallSerial, reply: Reply) -> None:
        """Take in the reply to a write."""
        if reply.proof == Proof.UNKNOWN and self.writing == serial:
            reply = reply._replace(proof=Proof.DONE, revision=self.fence_revision)
        super().written(now, serial, reply)


class IgnoresChangesWhileReading(AllocatorRole):
    """Loses what changes while it reads."""

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Take in a change."""
        if not self.reading:
            super().changed(now, key, value, revision)


class IgnoresLeaseEnds(AllocatorRole):
    """Does not see that a lease has ended."""

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Take in a change."""
        if value is not None:
            super().changed(now, key, value, revision)


class TakesLeaseEndForLeave(AllocatorRole):
    """Takes an ended lease for one that was given back with nothing in use."""

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Take in a change."""
        if value is None and self.is_loaded:
            self.allocator.member_left(key.removeprefix(REPORTS), now, {})
        super().changed(now, key, value, revision)


class IgnoresLeaseTime(Allocations):
    """Goes by what it last read, whatever the time."""

    def is_valid(self, now: int) -> bool:  # noqa: ARG002  that is the fault
        """Whether allocations hold."""
        return self.lease_id != 0


class KeepsOldAllocations(Allocations):
    """Keeps the allocations of a lease that has ended under the next one."""

    def begin_lease(self, lease_id: int) -> None:
        """Note the current lease."""
        if lease_id != self.lease_id:
            self.lease_id = lease_id
            self.applied_write = 0


class AcknowledgesUnapplied(Allocations):
    """Says that it goes by a reduction, and goes on by the larger allocation."""

    def apply_write(self, lease_id: int, write: int, stored_amounts: Mapping[str, int]) -> None:
        """Take in a write."""
        before = {key: allocation.allocated for key, allocation in self.allocations.items()}
        super().apply_write(lease_id, write, stored_amounts)
        if not stored_amounts:
            return
        for key, allocated in before.items():
            self.allocations[key].allocated = max(allocated, self.allocations[key].allocated)


class ReportsNothingInUse(Allocations):
    """Says that nothing is in use."""

    def report(self, demands: Iterable[Demand]) -> dict[str, Usage]:
        """Return the usage."""
        return {name: usage._replace(in_use=0) for name, usage in super().report(demands).items()}


class _ReleasesTwice(Allocation):
    __slots__ = ()

    def release(self, amount: int, confirmed: bool = True) -> None:  # noqa: ARG002  the product's signature
        """Give an amount back."""
        self.in_use -= min(self.in_use, 2 * amount)


class GivesBackTwice(Allocations):
    """Counts an end twice."""

    def __call__(self, kind: BudgetKind, subject: int) -> Allocation | None:
        """Return the allocation of a budget."""
        allocation = super().__call__(kind, subject)
        if type(allocation) is Allocation:
            allocation = _ReleasesTwice(allocation.rule, self, allocation.allocated)
            self.allocations[kind, subject] = allocation
        return allocation


LEDGERS = (
    GivesOnBeforeReturn,
    ForgetsWindow,
    ForgetsInUse,
    ForgetsDeadMembers,
    NoReserve,
    RaisesTwice,
    ForgetsExpiringOnLoad,
)
ROLES = (
    NoFence,
    TakesUnknownForDone,
    IgnoresChangesWhileReading,
    IgnoresLeaseEnds,
    TakesLeaseEndForLeave,
)
MEMBERS = (
    IgnoresLeaseTime,
    KeepsOldAllocations,
    AcknowledgesUnapplied,
    ReportsNothingInUse,
    GivesBackTwice,
)
MUTANTS: Mapping[str, Mapping[str, Any]] = {
    **{ledger.__name__: {"make_allocator": allocator_with(ledger)} for ledger in LEDGERS},
    ForgetsLedgers.__name__: {"make_allocator": ForgetsLedgers},
    KeepsRowsOfTheDeparted.__name__: {"make_allocator": KeepsRowsOfTheDeparted},
    **{role.__name__: {"make_role": role} for role in ROLES},
    **{member.__name__: {"make_allocations": member} for member in MEMBERS},
    "reports not compared": {"compares_reports": False},
    "reserve at once": {"reserve_after_us": 0},
    "drift left out": {"drift": 0.0},
}


def find(name: str, walks: int, steps: int, first: int = 0) -> walking.Finding | None:
    """Return the first walk that finds a mutant; None: none of them does."""
    return walking.find(lambda seed: budget_explorer.walk(seed, steps, **MUTANTS[name]), walks, first)
