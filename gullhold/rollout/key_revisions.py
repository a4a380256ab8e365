"""Revisions of the keys that a member watches, to recognise notifications that bring nothing new."""

from collections.abc import Iterable

from gullhold.fleet.store_calls import Condition, Proof, Reply


class KeyRevisions:
    """Revisions at the last full read, and the newest ones seen since.

    read_at: the store's revision at the read; 0: nothing has been read.
    """

    def __init__(self, reply: Reply = Reply(Proof.DONE)) -> None:  # noqa: B008  immutable
        """reply: to the read of all the keys."""
        self.read_at = reply.revision
        self._at_read = {item.key: item.revision for item in reply.items}
        self._since_read: dict[str, int] = {}

    def conditions(self, keys: Iterable[str]) -> tuple[Condition, ...]:
        """The conditions that the keys are as they were read."""
        return tuple((key, self._at_read.get(key, 0)) for key in keys)

    def newest(self) -> int:
        """The newest revision seen."""
        return max((self.read_at, *self._since_read.values()))

    def update(self, key: str, revision: int) -> bool:
        """Record a key's revision; whether it is newer than the known one."""
        if revision <= self._since_read.get(key, self.read_at):
            return False
        self._since_read[key] = revision
        return True
