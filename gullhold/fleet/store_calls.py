"""Calls to the store of a fleet and what their replies prove. No I/O, no wire.

The store ("register" in the commands and the operator file) has keys, a revision that grows with each change
of any key, leases whose end deletes the keys attached to them, and transactions that compare revisions.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

OnChange = Callable[[str, str | None, int], Any]  # key, value or None if it was deleted, revision

MAX_TRANSACTION_OPERATIONS = 100  # comparisons, or operations; the published default allows 128


class Proof(StrEnum):
    """What a reply proves about its call."""

    DONE = "done"
    NOT_DONE = "not done"
    UNKNOWN = "may have been done"  # it may have been carried out, or still be


class KeyValue(NamedTuple):
    """One key in the store. revision: of its last change; lease 0: none."""

    key: str
    value: str
    revision: int
    lease: int = 0


class GrantLease(NamedTuple):
    """Create a lease. ttl_s: its time to live in seconds."""

    ttl_s: int


class KeepLeaseAlive(NamedTuple):
    """Renew a lease."""

    lease: int


class RevokeLease(NamedTuple):
    """End a lease now, and delete every key attached to it in one revision."""

    lease: int


class ReadLeaseKeys(NamedTuple):
    """Read the names of the keys attached to a lease."""

    lease: int


class ReadPrefix(NamedTuple):
    """Read all keys with this prefix at one revision, the newest."""

    prefix: str


class Put(NamedTuple):
    """Operation: write a key. lease: whose end deletes it; 0: none."""

    key: str
    value: str
    lease: int = 0


class Delete(NamedTuple):
    """Operation: delete a key."""

    key: str


class Get(NamedTuple):
    """Operation: read one key."""

    key: str


Operation = Put | Delete | Get
Condition = tuple[str, int]  # (key, revision of its last change; 0: the key does not exist)


class Transaction(NamedTuple):
    """Carry out all operations in one revision if every condition holds, else the reads in `otherwise`."""

    conditions: tuple[Condition, ...] = ()
    operations: tuple[Operation, ...] = ()
    otherwise: tuple[Get, ...] = ()


Request = GrantLease | KeepLeaseAlive | RevokeLease | ReadLeaseKeys | ReadPrefix | Transaction


class Reply(NamedTuple):
    """The reply to a request; all fields but the proof are valid only with Proof.DONE.

    revision: of the store at that moment; succeeded: a transaction's conditions held; items: what was read;
    lease: the one granted; ttl_s: of a renewed lease, 0 if it does not exist; keys: those of a lease.
    """

    proof: Proof
    revision: int = 0
    succeeded: bool = True
    items: tuple[KeyValue, ...] = ()
    lease: int = 0
    ttl_s: int = 0
    keys: tuple[str, ...] = ()


class PendingCall(NamedTuple):
    """A request under way. sent_at: when it was handed out (us); context: what its reply is handled with."""

    number: int
    purpose: str
    request: Request
    sent_at: int
    context: tuple[Any, ...] = ()
