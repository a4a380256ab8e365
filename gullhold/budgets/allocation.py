"""What one member may spend of one budget, by its own clock. Performs no I/O; on the core's thread.

An allocation is valid only while the lease under which it was read certainly holds: soon after that, the
allocator gives it to another member. Besides, a member may spend its reserve at any time, once all work that
an earlier process of the same name has begun has certainly ended.
"""

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from gullhold.budgets.budget_schema import Usage
from gullhold.budgets.demand import HEADROOM_DIVISOR, requested_amount
from gullhold.budgets.ledger import LedgerKind

if TYPE_CHECKING:
    from gullhold.budgets.allocations import Allocations


class AllocationRule(NamedTuple):
    """The rule for one budget, or for the budgets of all engines or tenants. Times are us.

    total: amount for the whole fleet, and the most that a member requests. window_us: length of the window
    of a windowed budget. settle_us: how long cancelled work may run on. reserve: what may be spent besides
    the allocation, from reserve_after_us after the start of the process.
    """

    kind: LedgerKind
    total: int
    window_us: int = 0
    settle_us: int = 0
    reserve: int = 0
    reserve_after_us: int = 0


TimedAmount = tuple[int, int]  # (us of the member's clock, amount); a plain tuple: each command creates one


class Allocation:
    """One member's allocation of one budget: a BudgetShare.

    allocations: all allocations of the member; allocated: the amount, as last applied; in_use: what is in
    use, or was spent within the window; spent: amounts of a windowed budget with the time of spending;
    settling: amounts of cancelled work with the time at which it has certainly ended. Since the last report:
    peak: the largest amount in use; rejected: the sum of the amounts that could not be acquired; was_short:
    whether allows() has refused an amount.
    """

    __slots__ = (
        "allocated",
        "in_use",
        "allocations",
        "peak",
        "rejected",
        "rule",
        "settling",
        "spent",
        "was_short",
    )

    def __init__(self, rule: AllocationRule, allocations: "Allocations", allocated: int = 0) -> None:
        self.rule = rule
        self.allocations = allocations
        self.allocated = allocated
        self.in_use = 0
        self.spent: deque[TimedAmount] = deque()
        self.settling: deque[TimedAmount] = deque()
        self.peak = 0
        self.rejected = 0
        self.was_short = False

    def available_reserve(self, now: int) -> int:
        """Return the reserve, 0 until reserve_after_us after the start."""
        reserve = self.rule.reserve
        return reserve if reserve and now >= self.allocations.started_at + self.rule.reserve_after_us else 0

    def limit(self, now: int | None = None) -> int:
        """Return the largest amount that may be in use at the time `now`, by default the clock's."""
        if now is None:
            now = self.allocations.clock()
        return self.available_reserve(now) + (self.allocated if self.allocations.is_valid(now) else 0)

    def allows(self, amount: int) -> bool:
        """Whether this amount may be acquired now; if not, request a report of the shortage."""
        now = self.allocations.clock()
        if self.used(now) + amount <= self.limit(now):
            return True
        self.was_short = True
        self.allocations.request_report()
        return False

    def acquire(self, amount: int) -> None:
        """Acquire an amount, after allows(); request a report before the allocation runs out."""
        now = self.allocations.clock()
        self.in_use += amount
        if self.rule.kind is not LedgerKind.HELD:
            self.spent.append((now, amount))
        if self.in_use <= self.peak:
            return
        used = self.used(now)
        if used > self.peak:
            self.peak = used
            # From here on the peak and its headroom, which a member requests, are more than the allocation.
            if used * (HEADROOM_DIVISOR + 1) > self.allocated * HEADROOM_DIVISOR:
                self.allocations.request_report()

    def release(self, amount: int, confirmed: bool = True) -> None:
        """Release an amount of a held budget; a windowed amount is released when its window has passed.

        confirmed: False if the work was cancelled and may run on, so that its amount stays in use for
        settle_us. A smaller allocation cancels no work: in_use may exceed it until the work has ended.
        """
        if self.rule.kind is not LedgerKind.HELD:
            return
        if confirmed:
            self.in_use -= amount
        else:
            self.settling.append((self.allocations.clock() + self.rule.settle_us, amount))

    def record_rejection(self, amount: int) -> None:
        """Count an amount that could not be acquired as demand, and request a report."""
        self.rejected += amount
        self.allocations.request_report()

    def used(self, now: int) -> int:
        """Subtract from in_use what has settled, or left the window, by `now`; return it."""
        if self.settling:
            self._remove_until(self.settling, now)
        if self.spent:
            self._remove_until(self.spent, now - self.rule.window_us)
        return self.in_use

    def _remove_until(self, amounts: deque[TimedAmount], until: int) -> None:
        while amounts:
            at, amount = amounts[0]
            if at > until:
                return
            amounts.popleft()
            self.in_use -= amount

    def report(self, unmet: int, now: int) -> Usage:
        """Return the usage since the last report, and reset the counts.

        unmet: what queued commands need beyond what is in use.
        """
        if self.rule.kind is LedgerKind.WEIGHT:
            return Usage(0, unmet, unmet)
        in_use = self.used(now)
        peak = max(self.peak, in_use)
        # After a shortage the allocation counts as fully used, even if it is too small for one command:
        # otherwise the allocator would take it for idle.
        reported_peak = max(peak, self.allocated) if self.was_short else peak
        usage = Usage(
            max(0, in_use - self.available_reserve(now)),
            reported_peak,
            requested_amount(peak, unmet + self.rejected, self.rule.total),
        )
        self.peak = in_use
        self.rejected = 0
        self.was_short = False
        return usage
