"""A member's allocations under a lease and a clock that a test moves."""

from gullhold.budgets.allocation import AllocationRule
from gullhold.budgets.allocations import Allocations
from gullhold.fleet.lease import Lease, LeaseTerms
from gullhold.interface import BudgetKind

S = 1_000_000  # us
KIND = BudgetKind.THREADS  # of the one budget; its rule states how it is accounted for


class Clock:
    """A clock that a test moves."""

    def __init__(self):
        self.now = 0

    def __call__(self):
        """The time now, in microseconds."""
        return self.now


def allocation_of(kind, clock=None, total=1000, **rule):
    """(allocations, the one allocation, its lease) of a budget; the lease holds for a thousand seconds."""
    lease = Lease(LeaseTerms(1000, 0.0, 0))
    lease.renew(7, 0)
    allocations = Allocations(
        {(KIND, 0): AllocationRule(kind, total, **rule)},
        lambda _, subject: f"b/{subject}",
        lease,
        clock or Clock(),
    )
    return allocations, allocations(KIND, 0), lease


def spend(allocation, amount=1):
    """Acquire the amount if that is allowed; whether it was."""
    if not allocation.allows(amount):
        return False
    allocation.acquire(amount)
    return True
