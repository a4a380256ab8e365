"""What one member says about the open change, and about the version that it goes by."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class VoteKind(StrEnum):
    """Kind of a vote, with the values that the store holds."""

    READY = "ready"  # the change fits here
    TRIAL = "trial"  # ready, and goes by it meanwhile, as a member of the canary
    REFUSED = "refused"  # the change does not fit here
    STILL = "still"  # ready, and has stopped dispatching
    UNDER = "under"  # goes by the version named, and says nothing about a change
    UNREADABLE = "?"  # never written: stands for a vote that can't be read


# Kinds of votes that say at least as much as the one that is waited for.
SUFFICIENT_KINDS: Mapping[VoteKind, frozenset[VoteKind]] = {
    VoteKind.READY: frozenset((VoteKind.READY, VoteKind.TRIAL, VoteKind.STILL)),
    VoteKind.STILL: frozenset((VoteKind.STILL,)),
}


class CommandFigures(NamedTuple):
    """How a member's commands fared: numbers answered and failed, and us that the answers took in total."""

    answered: int
    failed: int
    answer_time_us: int

    def plus(self, other: "CommandFigures") -> "CommandFigures":
        """The sum of two members' figures."""
        return CommandFigures(
            self.answered + other.answered,
            self.failed + other.failed,
            self.answer_time_us + other.answer_time_us,
        )

    def since(self, earlier: "CommandFigures") -> "CommandFigures":
        """What was added after earlier figures of the same member."""
        return CommandFigures(
            self.answered - earlier.answered,
            self.failed - earlier.failed,
            self.answer_time_us - earlier.answer_time_us,
        )


class VotePosition(NamedTuple):
    """What members' votes are counted by: a vote without its reason and figures."""

    version: int
    change: int
    kind: VoteKind


class Vote(NamedTuple):
    """One member's vote.

    version: number of the version that it goes by; change: number of the change that it votes on, 0: none;
    reason: of a refusal; figures: while a canary runs.
    """

    version: int
    change: int = 0
    kind: VoteKind = VoteKind.UNDER
    reason: str = ""
    figures: CommandFigures | None = None

    def position(self) -> VotePosition:
        """What it is counted by."""
        return VotePosition(self.version, self.change, self.kind)

    def supports(self, change: int, kind: VoteKind) -> bool:
        """Whether it says at least this kind about the change."""
        return self.change == change and self.kind in SUFFICIENT_KINDS[kind]
