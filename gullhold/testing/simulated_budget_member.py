"""A gateway in the world of budgets: its clock, lease, allocation and the calls that it has begun."""

from collections.abc import Hashable
from typing import TYPE_CHECKING

from gullhold.fleet.lease import Lease
from gullhold.testing.budget_variant import BUDGET, KIND
from gullhold.testing.role_pair_world import TERMS

if TYPE_CHECKING:
    from gullhold.testing.budget_world import World


class SimulatedMember:
    """One process: its clock, lease and allocation, and what it knows of its own report.

    running: when each call under way was begun; reported_revision: that of its report in the store;
    applied_revision: of the newest row that it has taken in; lease_lost_at: when it last became
    unable to begin anything more.
    """

    def __init__(self, world: "World", name: str, rate: float) -> None:
        self.name = name
        self.rate = rate
        self.world = world
        self.lease = Lease(TERMS)
        self.is_disconnected = False
        self.reported_revision = 0
        self.applied_revision = 0
        rule = world.variant.allocation_rule(world.kind)
        self.allocations = world.variant.make_allocations(
            {(KIND, 0): rule}, lambda _, subject: f"{BUDGET}/{subject}", self.lease, self
        )
        self.allocation = self.allocations(KIND, 0)
        self.demand = 0
        self.running: list[int] = []
        self.lease_lost_at = 0

    def __call__(self) -> int:
        """Return what its clock says."""
        return int(self.world.now * self.rate)

    def key(self) -> str:
        """Return what tells it apart."""
        return f"{self.name}/{self.lease.id:x}"

    def state(self) -> Hashable:
        """Return what makes two states of it the same."""
        return (
            self.name,
            self.is_disconnected,
            self.allocation.allocated,
            self.allocation.in_use,
            self.demand,
            self.applied_revision,
            max(0, self.lease.valid_until - self()),
            len(self.allocation.spent),
        )
