"""The classes and settings of a simulated world of budgets: the product's, or a mutant's."""

from collections.abc import Callable
from dataclasses import dataclass

from gullhold.budgets.allocation import AllocationRule
from gullhold.budgets.allocations import Allocations
from gullhold.budgets.allocator import Allocator, Budget
from gullhold.budgets.allocator_role import AllocatorRole
from gullhold.budgets.ledger import LedgerKind
from gullhold.interface import BudgetKind
from gullhold.testing.role_pair_world import TERMS

WINDOW_US = 1_600_000  # in world time; no multiple of QUANTUM_US, so that it ends between two steps
LINGER_US = 1_100_000  # longest run of a command, in world time; no multiple of QUANTUM_US either
TOTAL = 10
RESERVE = 1  # held back for each member
NAMES = ("a", "b", "c")
BUDGET = "b"  # the budget's name; in reports "b/0", with the number of a subject such as an engine
KIND = BudgetKind.THREADS  # any will do: worlds state the kind of ledger separately


@dataclass(frozen=True, slots=True)
class Variant:
    """Classes and settings of a world: the product's, or a mutant's.

    compares_reports: whether a report is written only if the last one is still stored; reserve_after_us: how
    long after its start a member may use its reserve; drift: fraction by which windows and lingering times
    are lengthened.
    """

    make_allocations: Callable[..., Allocations] = Allocations
    make_role: Callable[..., AllocatorRole] = AllocatorRole
    make_allocator: Callable[..., Allocator] = Allocator
    compares_reports: bool = True
    reserve_after_us: int = LINGER_US
    drift: float = TERMS.max_drift

    def lengthened(self, time_us: int) -> int:
        """Return the time that a member's clock has to count for at least this much world time."""
        return int(time_us * (1 + self.drift))

    def allocation_rule(self, kind: LedgerKind) -> AllocationRule:
        """Return the rule of the members' allocations for this kind of ledger."""
        reserve_after_us = 0
        if self.reserve_after_us:
            own_window_us = WINDOW_US if kind == LedgerKind.WINDOWED else 0
            reserve_after_us = self.lengthened(max(self.reserve_after_us, own_window_us))
        return AllocationRule(
            kind,
            TOTAL,
            window_us=self.lengthened(WINDOW_US),
            reserve=RESERVE,
            reserve_after_us=reserve_after_us,
        )

    def budget(self, kind: LedgerKind) -> Budget:
        """Return the budget as the allocator knows it."""
        return Budget(
            kind, TOTAL, self.lengthened(WINDOW_US), self.lengthened(LINGER_US), RESERVE, len(NAMES)
        )
