"""Keys, changes and operations of the store server."""

from typing import NamedTuple


class StoredKey(NamedTuple):
    """The value and the metadata of a key. lease: id of its lease, 0 for none."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int  # number of writes since it was created
    lease: int


class StoredChange(NamedTuple):
    """One change of a key. value: None for a deletion, in which the fields after it are 0."""

    revision: int
    key: bytes
    value: bytes | None
    lease: int
    create_revision: int
    version: int


class KeyUpdate(NamedTuple):
    """A key before a revision and after one of the revision's writes; None: the key does not exist."""

    key: bytes
    before: StoredKey | None
    after: StoredKey | None


class PutKey(NamedTuple):
    """Operation: write a key."""

    key: bytes
    value: bytes
    lease: int = 0


class DeleteKeys(NamedTuple):
    """Operation: delete a key, or all keys of a range."""

    key: bytes
    range_end: bytes = b""


class ReadKeys(NamedTuple):
    """Operation: read a key, or all keys of a range."""

    key: bytes
    range_end: bytes = b""


StoreOperation = PutKey | DeleteKeys | ReadKeys

END_OF_ALL_KEYS = b"\0"  # as the end of a range: the range has no upper bound


def is_in_range(key: bytes, start: bytes, range_end: bytes) -> bool:
    """Return whether a key is in a range.

    range_end: first key after the range, END_OF_ALL_KEYS for no bound; empty: only `start` is in the range.
    """
    if not range_end:
        return key == start
    return start <= key and (range_end == END_OF_ALL_KEYS or key < range_end)


class CompactedError(Exception):
    """The history does not go back to the requested revision."""

    def __init__(self, first_revision: int) -> None:
        """first_revision: oldest revision whose changes are in the history."""
        super().__init__(first_revision)
        self.first_revision = first_revision
