"""Which process a member is, and the member's key in the store. Decisions only."""

from gullhold.fleet.store_calls import Put, Transaction
from gullhold.fleet.store_schema import MEMBERS_PREFIX, MemberRecord


class Identity:
    """One process of a member.

    incarnation: revision at which it first joined, 0 before; of two processes of the same name the later one
    wins. key_revision: of the last change of its key, 0: the key does not exist.
    """

    __slots__ = ("incarnation", "key_revision", "name", "nonce")

    def __init__(self, name: str, nonce: str) -> None:
        """nonce: distinguishes processes of the same name."""
        self.name = name
        self.nonce = nonce
        self.incarnation = 0
        self.key_revision = 0

    @property
    def key(self) -> str:
        """The member's key."""
        return MEMBERS_PREFIX + self.name

    def write_key(self, is_ready: bool, lease_id: int) -> Transaction:
        """The transaction that writes the key if it is unchanged. is_ready: roles may be assigned to it."""
        record = MemberRecord(self.nonce, is_ready, self.incarnation)
        return Transaction(((self.key, self.key_revision),), (Put(self.key, record.encode(), lease_id),))
