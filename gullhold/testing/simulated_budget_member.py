"""A simulated gateway in the world of budgets: clock, lease, allocation and running commands."""

from collections.abc import Hashable
from typing import TYPE_CHECKING

from gullhold.fleet.lease import Lease
from gullhold.testing.budget_variant import BUDGET, KIND
from gullhold.testing.role_pair_world import TERMS

if TYPE_CHECKING:
    from gullhold.testing.budget_world import World


class SimulatedMember:
    """One process of a member; calling it returns the time on its clock.

    running: times at which its running commands began, in world time; reported_revision: revision of its
    report in the store; applied_revision: revision of the newest row of allocations that it has applied;
    lease_lost_at: world time at which it last lost a lease, after which it could begin nothing more.
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
        """Return the time on its clock, in us."""
        return int(self.world.now * self.rate)

    def key(self) -> str:
        """Return its name and lease, which identify it in the store."""
        return f"{self.name}/{self.lease.id:x}"

    def fingerprint(self) -> Hashable:
        """Return a value that is equal for equivalent states of the member."""
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
