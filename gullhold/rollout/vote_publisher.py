"""Keeps the stored copy of a member's vote up to date, by conditional writes."""

from typing import cast

from gullhold.fleet.store_calls import Get, Proof, Put, Reply, Transaction
from gullhold.rollout.store_schema import encode_vote
from gullhold.rollout.vote import Vote


class VotePublisher:
    """The vote to store, and what is known of the stored one."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Begin without a vote."""
        self.vote: Vote | None = None
        self._stored: Vote | None = None  # None: not known
        self._revision = 0  # of the key
        self._in_flight: Vote | None = None  # the vote in the write under way

    def set_stored(self, vote: Vote, revision: int) -> None:
        """Record that the vote has been stored, at this revision."""
        self.vote = vote
        self._stored = vote
        self._revision = revision

    def is_stored(self) -> bool:
        """Whether the stored vote is up to date."""
        return self.vote == self._stored

    def request(self, key: str, lease: int) -> Transaction:
        """The transaction that writes the vote; until written() is called, the stored vote is unknown."""
        self._stored = None
        self._in_flight = self.vote
        operations = (Put(key, encode_vote(cast("Vote", self.vote)), lease),)
        return Transaction(((key, self._revision),), operations, (Get(key),))

    def written(self, reply: Reply) -> None:
        """Take the reply to the write."""
        if reply.proof != Proof.DONE:
            return
        if reply.succeeded:
            self._stored = self._in_flight
            self._revision = reply.revision
        else:  # an earlier write without a reply was carried out: compare with its revision from now on
            self._revision = reply.items[0].revision if reply.items else 0
