"""The votes of a fleet's members, counted so that common queries need no pass over all members."""

from collections import Counter

from gullhold.rollout.vote import SUFFICIENT_KINDS, Vote, VoteKind, VoteSummary


class VoteTally:
    """Votes by member, identified by NAME/LEASE as in the vote's key; changes and versions by number."""

    def __init__(self) -> None:
        self.votes: dict[str, Vote] = {}
        self._counts: Counter[VoteSummary] = Counter()  # number of members for each summary that occurs

    def set(self, member: str, vote: Vote | None) -> None:
        """Record a member's vote; None: the member's lease has ended."""
        old = self.votes.pop(member, None)
        if old is not None:
            self._remove(old.summary())
        if vote is not None:
            self.votes[member] = vote
            self._counts[vote.summary()] += 1

    def _remove(self, summary: VoteSummary) -> None:
        self._counts[summary] -= 1
        if not self._counts[summary]:
            del self._counts[summary]

    def all_support(self, change: int, kind: VoteKind) -> bool:
        """Whether all members support the change with a vote of this kind; false if no member has a vote."""
        sufficient = SUFFICIENT_KINDS[kind]
        return bool(self._counts) and all(
            summary.change == change and summary.kind in sufficient for summary in self._counts
        )

    def all_use(self, version: int) -> bool:
        """Whether each member uses the version and has no vote on a change."""
        return all(
            summary.version == version and summary.kind == VoteKind.NO_VOTE for summary in self._counts
        )

    def first_refusal(self, change: int) -> tuple[str, Vote] | None:
        """A member that refuses the change, as (NAME/LEASE, vote); None if none does."""
        if not any(summary.change == change and summary.kind == VoteKind.REFUSED for summary in self._counts):
            return None
        for member, vote in self.votes.items():
            if vote.change == change and vote.kind == VoteKind.REFUSED:
                return member, vote
        return None

    def missing(self, change: int, kind: VoteKind) -> list[str]:
        """The members that do not support the change with a vote of this kind, sorted by name."""
        return sorted(member for member, vote in self.votes.items() if not vote.supports(change, kind))
