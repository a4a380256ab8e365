"""The identity of a member's process, and the member's key in the store. Performs no I/O."""

from gullhold.fleet.store_calls import Put, Transaction
from gullhold.fleet.store_schema import MEMBERS_PREFIX, MemberRecord


class Identity:
    """One process of a member.

    incarnation: revision of the store at which it first joined, 0 before that; of two processes of one name,
    the one with the higher incarnation stays. key_revision: revision of the member's key, as last known, 0
    if the key does not exist.
    """

    __slots__ = ("incarnation", "key_revision", "name", "nonce")

    def __init__(self, name: str, nonce: str) -> None:
        """nonce: random; distinguishes processes of the same name."""
        self.name = name
        self.nonce = nonce
        self.incarnation = 0
        self.key_revision = 0

    @property
    def key(self) -> str:
        """The name of the member's key."""
        return MEMBERS_PREFIX + self.name

    def key_transaction(self, is_ready: bool, lease_id: int) -> Transaction:
        """Return the transaction that writes the key if it is unchanged.

        is_ready: whether roles may be assigned to the member. lease_id: the lease to attach the key to.
        """
        record = MemberRecord(self.nonce, is_ready, self.incarnation)
        return Transaction(((self.key, self.key_revision),), (Put(self.key, record.encode(), lease_id),))
