"""A gateway in the world of rollouts: clock, lease, decisions, and the version that its core goes by."""

from typing import TYPE_CHECKING

from gullhold.fleet.lease import Lease
from gullhold.rollout.member_actions import AdoptVersion, StopDispatching
from gullhold.rollout.vote import CommandFigures
from gullhold.testing.role_pair_world import TERMS

if TYPE_CHECKING:
    from gullhold.testing.rollout_world import World

FAILING_TEXT = "sour"  # a policy under which commands fail
COMMANDS_IN_REPORT = 30  # that a member's figures grow by each time they are asked for


class SimulatedMember:
    """One gateway: clock, lease, decisions, and the version that its core goes by."""

    def __init__(self, world: "World", name: str, rate: float) -> None:
        """rate: of its clock against the world's."""
        self.world = world
        self.name = name
        self.rate = rate
        self.is_disconnected = False
        self.lease = Lease(TERMS)
        self.core_queue: list[AdoptVersion | StopDispatching] = []  # what the core's thread has yet to do
        self.watched_from: int | None = None  # revision from which it follows changes; None: it does not
        self.version_number = 0
        self.version_text = ""
        self.answered = 0
        self.failed = 0
        variant = world.variant
        self.gate = variant.make_gate(self.lease, self, TERMS.guaranteed_us(), variant.cut_off_rule)
        self.decisions = variant.make_member(
            name, self.gate, lambda version: world.fits(version, name), self.figures
        )

    def __call__(self) -> int:
        """Its clock, us."""
        return int(self.world.now * self.rate)

    def figures(self) -> CommandFigures:
        """More commands at each call, which fail under FAILING_TEXT."""
        if self.version_text == FAILING_TEXT:
            self.failed += COMMANDS_IN_REPORT
        else:
            self.answered += COMMANDS_IN_REPORT
        return CommandFigures(self.answered, self.failed, self.answered)
