"""Votes of members on the open change, and the figures that they report while a canary runs."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class VoteKind(StrEnum):
    """Kind of a vote; the values are stored."""

    READY = "ready"  # the change can be used here
    IN_CANARY = "trial"  # ready, and uses the change already, as part of the canary
    REFUSED = "refused"  # the change can't be used here
    STOPPED = "still"  # ready, and has stopped dispatching
    NO_VOTE = "under"  # no vote on a change, only the version in use
    UNREADABLE = "?"  # stands for a stored vote that can't be decoded; never written


# For each kind of vote that a change may wait for: the kinds that count as such a vote.
SUFFICIENT_KINDS: Mapping[VoteKind, frozenset[VoteKind]] = {
    VoteKind.READY: frozenset((VoteKind.READY, VoteKind.IN_CANARY, VoteKind.STOPPED)),
    VoteKind.STOPPED: frozenset((VoteKind.STOPPED,)),
}


class CommandFigures(NamedTuple):
    """Figures on a member's commands: how many were answered and failed, and total answer time (us)."""

    answered: int
    failed: int
    answer_time_us: int

    def plus(self, other: "CommandFigures") -> "CommandFigures":
        """The sum of these figures and those of another member."""
        return CommandFigures(
            self.answered + other.answered,
            self.failed + other.failed,
            self.answer_time_us + other.answer_time_us,
        )

    def since(self, earlier: "CommandFigures") -> "CommandFigures":
        """The difference between these figures and earlier ones of the same member."""
        return CommandFigures(
            self.answered - earlier.answered,
            self.failed - earlier.failed,
            self.answer_time_us - earlier.answer_time_us,
        )


class VoteSummary(NamedTuple):
    """The parts of a vote by which votes are counted: all but reason and figures."""

    version: int
    change: int
    kind: VoteKind


class Vote(NamedTuple):
    """One member's vote.

    version: number of the version that the member uses; change: number of the change that it votes on, 0 if
    none; reason: why the change is refused; figures: those on its commands, while a canary runs.
    """

    version: int
    change: int = 0
    kind: VoteKind = VoteKind.NO_VOTE
    reason: str = ""
    figures: CommandFigures | None = None

    def summary(self) -> VoteSummary:
        """The parts of the vote by which it is counted."""
        return VoteSummary(self.version, self.change, self.kind)

    def supports(self, change: int, kind: VoteKind) -> bool:
        """Whether it is a vote on the change, of this kind or of one that SUFFICIENT_KINDS names for it."""
        return self.change == change and self.kind in SUFFICIENT_KINDS[kind]
