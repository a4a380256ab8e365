"""Mutants of the budget logic: the walks of the explorer have to find each of them.

A mutant states what a world is made of: one of the product's classes has one method changed, or a setting is
wrong. A mutant that no walk finds shows a gap in the explorer or its invariants.
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


class ReallocatesBeforeReturn(Ledger):
    """Allocates an amount again before its former member has given it back."""

    def reallocate(self, targets: Mapping[str, int], write: int, now: int) -> dict[str, int]:
        """Allocate, and forget the reductions that are not acknowledged yet."""
        changed = super().reallocate(targets, write, now)
        for entry in self.entries.values():
            entry.reductions = []
        return changed


class ForgetsSpentInWindow(Ledger):
    """Takes what was spent within the window for available once an allocation was reduced."""

    def report(self, member: str, applied_write: int, in_use: int, now: int) -> None:
        """Apply a report, and forget what expires with the window."""
        super().report(member, applied_write, in_use, now)
        self.entries[member].expiring = []


class ForgetsInUse(Ledger):
    """Takes calls in flight for ended when their allocation is given back."""

    def report(self, member: str, applied_write: int, in_use: int, now: int) -> None:  # noqa: ARG002  the fault
        """Apply a report as if nothing were in use."""
        super().report(member, applied_write, 0, now)


class ForgetsLeftMembers(Ledger):
    """Takes all calls of a member that has left for ended."""

    def member_left(self, member: str, inactive_at: int, spent: int | None = None) -> None:
        """Record that a member has left, and forget what it may still use."""
        super().member_left(member, inactive_at, spent)
        if member in self.entries:
            self.entries[member].expiring = []


class NoReserve(Ledger):
    """Allocates the reserve of the members too."""

    def available(self, now: int) -> int:
        """Return the available amount with the reserve."""
        return super().available(now) + self.reserve


class AllocatesAvailableTwice(Ledger):
    """Allocates the same available amount to each member that requests it."""

    def available(self, now: int) -> int:
        """Return the available amount as if only the largest charge counted."""
        charges = [entry.charge(now) for entry in self.entries.values()]
        return self.total - self.reserve - max(charges or [0])


class ForgetsExpiringOnLoad(Ledger):
    """Takes calls that may still run for ended when another process takes over the ledger."""

    def load(self, member: str, packed: Packed, now: int) -> None:
        """Load a member's entry without what is still to expire."""
        super().load(member, packed, now)
        self.entries[member].expiring = []


def allocator_with(ledger_type: type[Ledger]) -> type[Allocator]:
    """Return a class of allocators whose ledgers are of this type."""

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


class KeepsRowsOfLeftMembers(Allocator):
    """Leaves the row of a member that has left in the store until nothing is charged to it."""

    def allocate(
        self, write: int, now: int, max_budgets: int = MAX_BUDGETS_PER_ROUND
    ) -> dict[str, dict[str, int]]:
        """Allocate without writing the rows of members that have left."""
        self.newly_left = {}
        return super().allocate(write, now, max_budgets)


class ForgetsLedgers(Allocator):
    """Begins with no member charged for anything when it takes over."""

    def load(self, rows: Mapping[str, Mapping[str, Packed]], now: int) -> None:
        """Load the members without their entries."""
        super().load({member: {} for member in rows}, now)


class NoFence(AllocatorRole):
    """Writes on the condition of the role's fencing token alone, without the condition on the fence key.

    Every write of the allocator also writes that key, and requires the revision of the previous write there.
    Without this condition a write that was given up may be executed between two later ones.
    """

    def take_actions(self) -> list[RoleAction]:
        """Return the product's actions with no conditions on writes."""
        return [
            replace(action, conditions=()) if isinstance(action, WriteKeys) else action
            for action in super().take_actions()
        ]


class TakesUnknownForDone(AllocatorRole):
    """Takes a write whose reply was lost for done, and the last known revision of the fence for current."""

    def written(self, now: int, serial: CallSerial, reply: Reply) -> None:
        """Handle the reply to a write, an unknown outcome as success."""
        if reply.proof == Proof.UNKNOWN and self.writing == serial:
            reply = reply._replace(proof=Proof.DONE, revision=self.fence_revision)
        super().written(now, serial, reply)


class IgnoresChangesWhileReading(AllocatorRole):
    """Ignores changes that arrive while it reads the stored budgets."""

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Handle a change, but not during a read."""
        if not self.reading:
            super().changed(now, key, value, revision)


class IgnoresLeaseEnds(AllocatorRole):
    """Ignores that the lease of a member has ended."""

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Handle a change, but not the deletion of a report."""
        if value is not None:
            super().changed(now, key, value, revision)


class TakesLeaseEndForLeave(AllocatorRole):
    """Takes an expired lease for a shutdown in order with nothing in use."""

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Handle a change, the deletion of a report as a shutdown in order."""
        if value is None and self.is_loaded:
            self.allocator.member_left(key.removeprefix(REPORTS), now, {})
        super().changed(now, key, value, revision)


class IgnoresLeaseTime(Allocations):
    """Uses its allocations after its lease has expired by its own clock."""

    def is_valid(self, now: int) -> bool:  # noqa: ARG002  the fault
        """Whether it has ever had a lease."""
        return self.lease_id != 0


class KeepsOldAllocations(Allocations):
    """Keeps the allocations of a lease that has ended when it gets the next one."""

    def begin_lease(self, lease_id: int) -> None:
        """Set the current lease without dropping allocations."""
        if lease_id != self.lease_id:
            self.lease_id = lease_id
            self.applied_write = 0


class AcknowledgesUnapplied(Allocations):
    """Acknowledges a reduced allocation, and goes on using the larger one."""

    def apply_write(self, lease_id: int, write: int, stored_amounts: Mapping[str, int]) -> None:
        """Apply a write, but keep each allocation that it reduces."""
        before = {key: allocation.allocated for key, allocation in self.allocations.items()}
        super().apply_write(lease_id, write, stored_amounts)
        if not stored_amounts:
            return
        for key, allocated in before.items():
            self.allocations[key].allocated = max(allocated, self.allocations[key].allocated)


class ReportsNothingInUse(Allocations):
    """Reports that nothing is in use."""

    def report(self, demands: Iterable[Demand]) -> dict[str, Usage]:
        """Return the usage with nothing in use."""
        return {name: usage._replace(in_use=0) for name, usage in super().report(demands).items()}


class _DoubleReleasingAllocation(Allocation):
    __slots__ = ()

    def release(self, amount: int, confirmed: bool = True) -> None:  # noqa: ARG002  the product's signature
        """Release twice the amount."""
        self.in_use -= min(self.in_use, 2 * amount)


class ReleasesTwice(Allocations):
    """Counts each release twice."""

    def __call__(self, kind: BudgetKind, subject: int) -> Allocation | None:
        """Return an allocation that releases twice."""
        allocation = super().__call__(kind, subject)
        if type(allocation) is Allocation:
            allocation = _DoubleReleasingAllocation(allocation.rule, self, allocation.allocated)
            self.allocations[kind, subject] = allocation
        return allocation


LEDGER_MUTANTS = (
    ReallocatesBeforeReturn,
    ForgetsSpentInWindow,
    ForgetsInUse,
    ForgetsLeftMembers,
    NoReserve,
    AllocatesAvailableTwice,
    ForgetsExpiringOnLoad,
)
ROLE_MUTANTS = (
    NoFence,
    TakesUnknownForDone,
    IgnoresChangesWhileReading,
    IgnoresLeaseEnds,
    TakesLeaseEndForLeave,
)
MEMBER_MUTANTS = (
    IgnoresLeaseTime,
    KeepsOldAllocations,
    AcknowledgesUnapplied,
    ReportsNothingInUse,
    ReleasesTwice,
)
MUTANTS: Mapping[str, Mapping[str, Any]] = {
    **{ledger.__name__: {"make_allocator": allocator_with(ledger)} for ledger in LEDGER_MUTANTS},
    ForgetsLedgers.__name__: {"make_allocator": ForgetsLedgers},
    KeepsRowsOfLeftMembers.__name__: {"make_allocator": KeepsRowsOfLeftMembers},
    **{role.__name__: {"make_role": role} for role in ROLE_MUTANTS},
    **{member.__name__: {"make_allocations": member} for member in MEMBER_MUTANTS},
    "reports not compared": {"compares_reports": False},
    "reserve at once": {"reserve_after_us": 0},
    "drift left out": {"drift": 0.0},
}


def find_detecting_walk(name: str, walks: int, steps: int, first: int = 0) -> walking.Finding | None:
    """Return the first walk that fails with a mutant; None: none of them does."""
    return walking.find_failing_walk(
        lambda seed: budget_explorer.walk(seed, steps, **MUTANTS[name]), walks, first
    )
