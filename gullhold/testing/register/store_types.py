"""Keys, changes and operations of the store server."""

from typing import NamedTuple


class StoredKey(NamedTuple):
    """One key as it is now. lease 0: none."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int  # number of writes since it was created
    lease: int


class StoredChange(NamedTuple):
    """One change of a key; value None: it was deleted, and the fields after it are 0."""

    revision: int
    key: bytes
    value: bytes | None
    lease: int
    create_revision: int
    version: int


class KeyUpdate(NamedTuple):
    """A key before and after one write of a revision; None: it does not exist."""

    key: bytes
    before: StoredKey | None  # the revision
    after: StoredKey | None  # the write


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

END_OF_ALL_KEYS = b"\0"  # as the end of a range: there is none


def is_in_range(key: bytes, start: bytes, range_end: bytes) -> bool:
    """Whether a range has the key. range_end: the first key behind the range; empty: `start` alone."""
    if not range_end:
        return key == start
    return start <= key and (range_end == END_OF_ALL_KEYS or key < range_end)


class CompactedError(Exception):
    """The history back to a revision is dropped."""

    def __init__(self, first_revision: int) -> None:
        """first_revision: the first one that is left."""
        super().__init__(first_revision)
        self.first_revision = first_revision
