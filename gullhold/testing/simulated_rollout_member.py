"""A simulated gateway in the world of rollouts: clock, lease, rollout logic, and its core's version."""

from typing import TYPE_CHECKING

from gullhold.fleet.lease import Lease
from gullhold.rollout.member_actions import AdoptVersion, StopDispatching
from gullhold.rollout.vote import CommandFigures
from gullhold.testing.role_pair_world import TERMS

if TYPE_CHECKING:
    from gullhold.testing.rollout_world import World

FAILING_TEXT = "sour"  # a policy under which every command fails
COMMANDS_PER_REPORT = 30  # commands added to a member's figures each time they are requested


class SimulatedMember:
    """One gateway; calling it returns the time on its clock.

    decisions: the product's rollout logic of a member; version_number, version_text: the version that its
    core uses; answered, failed: commands so far.
    """

    def __init__(self, world: "World", name: str, rate: float) -> None:
        """rate: of its clock, relative to the world's."""
        self.world = world
        self.name = name
        self.rate = rate
        self.is_disconnected = False
        self.lease = Lease(TERMS)
        self.core_queue: list[AdoptVersion | StopDispatching] = []  # not processed yet
        self.watched_from: int | None = None  # revision from which it is notified; None: no watch
        self.version_number = 0
        self.version_text = ""
        self.answered = 0
        self.failed = 0
        variant = world.variant
        self.gate = variant.make_gate(self.lease, self, TERMS.guaranteed_us(), variant.cut_off_rule)
        self.decisions = variant.make_member(
            name, self.gate, lambda version: world.reason_unusable(version, name), self.figures
        )

    def __call__(self) -> int:
        """Return the time on its clock, in us."""
        return int(self.world.now * self.rate)

    def figures(self) -> CommandFigures:
        """Return figures with more commands at each call; they fail under FAILING_TEXT."""
        if self.version_text == FAILING_TEXT:
            self.failed += COMMANDS_PER_REPORT
        else:
            self.answered += COMMANDS_PER_REPORT
        return CommandFigures(self.answered, self.failed, self.answered)
