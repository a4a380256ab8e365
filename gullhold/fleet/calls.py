"""What is asked of the register and what its answers prove. No I/O, no wire.

The register is a store of keys with one revision for each change of the whole, leases that delete what hangs
on them, and transactions that compare revisions.
"""

from typing import NamedTuple

# What a reply proves. MAYBE: the call may have been carried out, now or later, and must not be guessed at.
DONE, NOT_DONE, MAYBE = "done", "not done", "may have been done"

TXN_MOST = 100  # compares, or acts, in one transaction: the published default allows 128


class Item(NamedTuple):
    """One key as the register has it; revision: that of its last change."""

    key: str
    value: str
    revision: int
    lease: int = 0


class Grant(NamedTuple):
    """A new lease of so many whole seconds."""

    ttl_s: int


class Keep(NamedTuple):
    """The lease starts anew."""

    lease: int


class Revoke(NamedTuple):
    """The lease ends now, and with it every key that hangs on it, in one revision."""

    lease: int


class Held(NamedTuple):
    """The keys that hang on a lease."""

    lease: int


class Read(NamedTuple):
    """All keys with this prefix, at one revision, the newest."""

    prefix: str


class Put(NamedTuple):
    """Write a key; lease 0: it stays."""

    key: str
    value: str
    lease: int = 0


class Drop(NamedTuple):
    """Delete a key."""

    key: str


class Get(NamedTuple):
    """Read one key, as part of a transaction."""

    key: str


class Txn(NamedTuple):
    """Carries out `acts` if each (key, revision) of `when` is the key's last change (0: there is none).

    Otherwise `others`, which are Gets. One revision for all acts.
    """

    when: tuple = ()
    acts: tuple = ()
    others: tuple = ()


class Reply(NamedTuple):
    """What came back. proof: DONE, NOT_DONE or MAYBE; with DONE the rest holds.

    revision: the register's at that moment; met: a Txn's comparisons held; items: what was read; lease: a
    Grant's; ttl_s: a Keep's, 0 where the lease is no more.
    """

    proof: str
    revision: int = 0
    met: bool = True
    items: tuple = ()
    lease: int = 0
    ttl_s: int = 0
    keys: tuple = ()


class Call(NamedTuple):
    """A request under way: its number, what it is for, when it was handed out, and what the reply needs."""

    number: int
    purpose: str
    request: object
    sent_at: int
    about: tuple = ()
