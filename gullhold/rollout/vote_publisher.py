"""Keeps the stored copy of a member's vote up to date by conditional writes. Performs no I/O."""

from typing import cast

from gullhold.fleet.store_calls import Get, Proof, Put, Reply, Transaction
from gullhold.rollout.store_schema import encode_vote
from gullhold.rollout.vote import Vote


class VotePublisher:
    """The vote to store, and what is known of the stored copy."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget the vote and what is known of the stored copy."""
        self.vote: Vote | None = None
        self._stored: Vote | None = None  # the stored copy; None: not known
        self._revision = 0  # revision of the vote's key
        self._in_flight: Vote | None = None  # the vote that the write in flight stores

    def set_stored(self, vote: Vote, revision: int) -> None:
        """Record that this vote has been stored, at this revision of its key."""
        self.vote = vote
        self._stored = vote
        self._revision = revision

    def is_stored(self) -> bool:
        """Whether the stored copy is up to date."""
        return self.vote == self._stored

    def write_request(self, key: str, lease: int) -> Transaction:
        """The transaction that writes the vote; until written() is called, the stored copy is unknown."""
        self._stored = None
        self._in_flight = self.vote
        operations = (Put(key, encode_vote(cast("Vote", self.vote)), lease),)
        return Transaction(((key, self._revision),), operations, (Get(key),))

    def written(self, reply: Reply) -> None:
        """Take the reply to the transaction of write_request()."""
        if reply.proof != Proof.DONE:
            return
        if reply.succeeded:
            self._stored = self._in_flight
            self._revision = reply.revision
        else:  # an earlier write whose reply was lost was carried out: use its revision in the condition
            self._revision = reply.items[0].revision if reply.items else 0
