"""Requests to the store of a fleet, their replies, and what each reply proves. Data types only.

The store ("register" in the commands and the operator file) is a key-value store with the semantics of etcd:
keys; a revision that grows with each change of any key; leases whose end deletes the keys attached to them;
and transactions that compare the revisions of keys.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

OnChange = Callable[[str, str | None, int], Any]  # (key, value or None if the key was deleted, revision)

MAX_TRANSACTION_OPERATIONS = 100  # and as many conditions; etcd allows 128 by default


class Proof(StrEnum):
    """Whether a request was carried out, as far as its reply proves it; the values appear in the log."""

    DONE = "done"
    NOT_DONE = "not done"
    UNKNOWN = "may have been done"  # it may have been carried out already, or may be carried out later


class KeyValue(NamedTuple):
    """One key in the store. revision: the store's at its last change; lease: the key's lease, 0: none."""

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
    """End a lease now, which deletes every key attached to it in one revision."""

    lease: int


class ReadLeaseKeys(NamedTuple):
    """Read the names of the keys attached to a lease."""

    lease: int


class ReadPrefix(NamedTuple):
    """Read all keys with this prefix, as of the newest revision."""

    prefix: str


class Put(NamedTuple):
    """Operation: write a key. lease: the one to attach it to, 0 for none."""

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
    """Carry out all operations in one revision if every condition holds, or else the reads in `otherwise`."""

    conditions: tuple[Condition, ...] = ()
    operations: tuple[Operation, ...] = ()
    otherwise: tuple[Get, ...] = ()


Request = GrantLease | KeepLeaseAlive | RevokeLease | ReadLeaseKeys | ReadPrefix | Transaction


class Reply(NamedTuple):
    """The reply to a request; all fields but the proof are valid only with Proof.DONE.

    revision: the store's revision when it replied; succeeded: the conditions of a transaction held; items:
    the keys that were read; lease: the one granted; ttl_s: time to live of a granted or renewed lease, 0 if
    the lease does not exist; keys: the names of the keys attached to a lease.
    """

    proof: Proof
    revision: int = 0
    succeeded: bool = True
    items: tuple[KeyValue, ...] = ()
    lease: int = 0
    ttl_s: int = 0
    keys: tuple[str, ...] = ()


class PendingCall(NamedTuple):
    """A request that has no reply yet.

    sent_at: monotonic us at which it was handed out to be sent, at or before the time at which it is sent, so
    that a lease counted from it never lasts too long; context: values needed to handle its reply.
    """

    number: int
    purpose: str
    request: Request
    sent_at: int
    context: tuple[Any, ...] = ()
