"""Votes of members on the open change."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class VoteKind(StrEnum):
    """Kind of a vote, with the values that the store holds."""

    READY = "ready"  # the change can be run here
    IN_CANARY = "trial"  # ready, and using it already, as part of the canary
    REFUSED = "refused"  # the change can't be run here
    STOPPED = "still"  # ready, and has stopped dispatching
    NO_VOTE = "under"  # no vote on a change: only the version in use
    UNREADABLE = "?"  # never written: a vote that can't be read


# For each kind of vote that a change may wait for: the kinds that fulfil it.
SUFFICIENT_KINDS: Mapping[VoteKind, frozenset[VoteKind]] = {
    VoteKind.READY: frozenset((VoteKind.READY, VoteKind.IN_CANARY, VoteKind.STOPPED)),
    VoteKind.STOPPED: frozenset((VoteKind.STOPPED,)),
}


class CommandFigures(NamedTuple):
    """Figures on a member's commands: numbers answered and failed, total time of the answers (us)."""

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
        """The difference from earlier figures of the same member."""
        return CommandFigures(
            self.answered - earlier.answered,
            self.failed - earlier.failed,
            self.answer_time_us - earlier.answer_time_us,
        )


class VotePosition(NamedTuple):
    """A vote without its reason and figures, by which votes are counted."""

    version: int
    change: int
    kind: VoteKind


class Vote(NamedTuple):
    """One member's vote.

    version: number of the version that the member uses; change: number of the change that it votes on, 0:
    none; reason: of a refusal; figures: while a canary runs.
    """

    version: int
    change: int = 0
    kind: VoteKind = VoteKind.NO_VOTE
    reason: str = ""
    figures: CommandFigures | None = None

    def position(self) -> VotePosition:
        """The position by which the vote is counted."""
        return VotePosition(self.version, self.change, self.kind)

    def supports(self, change: int, kind: VoteKind) -> bool:
        """Whether it is a vote of this kind, or of one that includes it, on the change."""
        return self.change == change and self.kind in SUFFICIENT_KINDS[kind]
