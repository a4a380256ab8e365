"""Makes a member's allocations with a lease and a clock that the test controls."""

from collections.abc import Callable
from typing import Any, NamedTuple

from gullhold.budgets.allocation import Allocation, AllocationRule
from gullhold.budgets.allocations import Allocations
from gullhold.budgets.ledger import LedgerKind
from gullhold.fleet.lease import Lease, LeaseTerms
from gullhold.interface import BudgetKind

S = 1_000_000  # us
KIND = BudgetKind.THREADS  # kind of the one budget; make_allocation() takes the kind of its ledger


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0

    def __call__(self) -> int:
        """Return the time in us."""
        return self.now


class MemberAllocation(NamedTuple):
    """All allocations of a member, the allocation of the one budget among them, and their lease."""

    allocations: Allocations
    allocation: Allocation
    lease: Lease


def make_allocation(
    kind: LedgerKind, clock: Callable[[], int] | None = None, total: int = 1000, **rule: Any
) -> MemberAllocation:
    """Return a member's allocation of one budget, named "b/0", with lease 7, valid for 1,000 s.

    clock: by default one that stays at 0. rule: more fields of the AllocationRule.
    """
    lease = Lease(LeaseTerms(1000, 0.0, 0))
    lease.renew(7, 0)
    allocations = Allocations(
        {(KIND, 0): AllocationRule(kind, total, **rule)},
        lambda _, subject: f"b/{subject}",
        lease,
        clock or Clock(),
    )
    return MemberAllocation(allocations, allocations(KIND, 0), lease)


def try_acquire(allocation: Allocation, amount: int = 1) -> bool:
    """Acquire an amount if the allocation allows it; return whether it does."""
    if not allocation.allows(amount):
        return False
    allocation.acquire(amount)
    return True
