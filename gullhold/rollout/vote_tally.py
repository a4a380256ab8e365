"""The votes of a fleet's members, counted so that common questions need no pass over all members."""

from collections import Counter

from gullhold.rollout.vote import SUFFICIENT_KINDS, Vote, VoteKind, VotePosition


class VoteTally:
    """Votes by member (name and lease, as in the key)."""

    def __init__(self) -> None:
        self.votes: dict[str, Vote] = {}
        self._counts: Counter[VotePosition] = Counter()  # number of members by position

    def set(self, member: str, vote: Vote | None) -> None:
        """Record a member's vote; None: the member's lease has ended."""
        old = self.votes.pop(member, None)
        if old is not None:
            self._remove(old.position())
        if vote is not None:
            self.votes[member] = vote
            self._counts[vote.position()] += 1

    def _remove(self, position: VotePosition) -> None:
        self._counts[position] -= 1
        if not self._counts[position]:
            del self._counts[position]

    def all_support(self, change: int, kind: VoteKind) -> bool:
        """Whether there are members and all of them support the change with a vote of this kind."""
        sufficient = SUFFICIENT_KINDS[kind]
        return bool(self._counts) and all(
            position.change == change and position.kind in sufficient for position in self._counts
        )

    def all_under(self, version: int) -> bool:
        """Whether each member uses the version and votes on no change."""
        return all(
            position.version == version and position.kind == VoteKind.NO_VOTE for position in self._counts
        )

    def first_refusal(self, change: int) -> tuple[str, Vote] | None:
        """(name and lease of a member that refuses the change, its vote); None: no member does."""
        if not any(
            position.change == change and position.kind == VoteKind.REFUSED for position in self._counts
        ):
            return None
        for member, vote in self.votes.items():
            if vote.change == change and vote.kind == VoteKind.REFUSED:
                return member, vote
        return None

    def missing(self, change: int, kind: VoteKind) -> list[str]:
        """The members that do not support the change with a vote of this kind, sorted."""
        return sorted(member for member, vote in self.votes.items() if not vote.supports(change, kind))
