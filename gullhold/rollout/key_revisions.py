"""Store revisions of the keys that a member watches, to ignore changes that it has seen already."""

from collections.abc import Iterable

from gullhold.fleet.store_calls import Condition, Proof, Reply


class KeyRevisions:
    """Revisions of the keys at the last read of all of them, and the newest ones seen since.

    read_revision: the store's revision at that read; 0: nothing has been read.
    """

    def __init__(self, reply: Reply = Reply(Proof.DONE)) -> None:  # noqa: B008  immutable
        """reply: the reply to a read of all keys."""
        self.read_revision = reply.revision
        self._at_read = {item.key: item.revision for item in reply.items}
        self._since_read: dict[str, int] = {}

    def conditions(self, keys: Iterable[str]) -> tuple[Condition, ...]:
        """Transaction conditions that hold if the keys have not changed since the read."""
        return tuple((key, self._at_read.get(key, 0)) for key in keys)

    def newest(self) -> int:
        """The newest store revision seen."""
        return max((self.read_revision, *self._since_read.values()))

    def update(self, key: str, revision: int) -> bool:
        """Record the revision of a key; return whether it is newer than the known one."""
        if revision <= self._since_read.get(key, self.read_revision):
            return False
        self._since_read[key] = revision
        return True
