"""A member's allocations on the core's thread, which never waits: each call is posted to its queue."""

from collections.abc import Callable, Mapping, Sequence
from queue import Empty, SimpleQueue
from typing import TYPE_CHECKING, NamedTuple

from gullhold.budgets.allocations import Allocations
from gullhold.budgets.report_state import CollectedUsage
from gullhold.interface import BudgetKind, Demand

if TYPE_CHECKING:
    from gullhold.net.core import Core

CORE_TIMEOUT_S = 1.0  # limit of the wait for the core in the thread that reads the endpoint list


class AllocationWrite(NamedTuple):
    """A write of allocations, as read under a lease.

    write: its number, 0 if the lease has just begun; allocations: amounts by budget name.
    """

    lease_id: int
    write: int
    allocations: Mapping[str, int]


class CoreBudgets:
    """Applies allocations and collects usage on the core's thread, on behalf of other threads."""

    def __init__(
        self, core: "Core", allocations: Allocations, on_collected: Callable[[CollectedUsage], None]
    ) -> None:
        """on_collected: called on the core's thread with the usage, after each apply()."""
        self.core = core
        self.allocations = allocations
        self.on_collected = on_collected
        core.fences.append(allocations)
        self.apply(())  # done before the first command, so that no command escapes the budgets

    def apply(self, writes: Sequence[AllocationWrite]) -> None:
        """Apply these writes, then collect the usage. May be called on any thread."""
        self.core.post_urgent(self._apply, writes)

    def _apply(self, writes: Sequence[AllocationWrite]) -> None:
        for lease_id, write, stored_amounts in writes:
            self.allocations.begin_lease(lease_id)
            self.allocations.apply_write(lease_id, write, stored_amounts)
        self.core.apply_budgets(self.allocations, self._collect)

    def _collect(self, demands: Sequence[Demand]) -> None:
        """Pass on the usage since the last report, and reset whether an allocation was reduced."""
        allocations = self.allocations
        usage = allocations.report(demands)
        was_reduced = allocations.was_reduced
        allocations.was_reduced = False
        self.on_collected(
            CollectedUsage(
                allocations.lease_id, allocations.applied_write, was_reduced, usage, allocations.allocated()
            )
        )

    def may_call_discovery(self) -> bool:
        """Whether the discovery service may be called now; if so, the call is counted against its budget.

        Called on the thread that reads the endpoint list; blocks it for CORE_TIMEOUT_S at most.
        """
        answer: SimpleQueue[bool] = SimpleQueue()
        self.core.post_urgent(self._acquire_discovery_call, answer)
        try:
            return answer.get(timeout=CORE_TIMEOUT_S)
        except Empty:  # if the core allows it later, the call is counted but never made
            return False

    def _acquire_discovery_call(self, answer: "SimpleQueue[bool]") -> None:
        allocation = self.allocations(BudgetKind.DISCOVERY_CALLS, 0)
        if allocation is None:
            answer.put(True)
        elif allocation.allows(1):
            allocation.acquire(1)
            answer.put(True)
        else:
            allocation.record_rejection(1)
            answer.put(False)
