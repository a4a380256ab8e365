"""A member's allocations under a lease and a clock that a test moves."""

from collections.abc import Callable
from typing import Any, NamedTuple

from gullhold.budgets.allocation import Allocation, AllocationRule
from gullhold.budgets.allocations import Allocations
from gullhold.budgets.ledger import LedgerKind
from gullhold.fleet.lease import Lease, LeaseTerms
from gullhold.interface import BudgetKind

S = 1_000_000  # us
KIND = BudgetKind.THREADS  # of the one budget; its rule states how it is accounted for


class Clock:
    """A clock that a test moves."""

    def __init__(self) -> None:
        self.now = 0

    def __call__(self) -> int:
        """The time now, in microseconds."""
        return self.now


class MemberAllocation(NamedTuple):
    """A member's allocations, the one of them that a test is about, and the lease that they hold under."""

    allocations: Allocations
    allocation: Allocation
    lease: Lease


def make_allocation(
    kind: LedgerKind, clock: Callable[[], int] | None = None, total: int = 1000, **rule: Any
) -> MemberAllocation:
    """A member's allocation of one budget; its lease is valid for a thousand seconds."""
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
    """Acquire an amount if the allocation allows it; returns whether it did."""
    if not allocation.allows(amount):
        return False
    allocation.acquire(amount)
    return True
