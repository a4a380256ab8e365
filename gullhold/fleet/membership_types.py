"""Types of a fleet's membership: the states of a member, its calls to the store, its actions and settings."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from gullhold.fleet.backoff import Backoff
from gullhold.fleet.lease import LeaseTerms
from gullhold.fleet.store_calls import (
    GrantLease,
    KeepLeaseAlive,
    PendingCall,
    Proof,
    ReadLeaseKeys,
    ReadPrefix,
    Reply,
    Request,
    RevokeLease,
    Transaction,
)


class MemberState(StrEnum):
    """State of a fleet's member; the values appear in the log."""

    NO_LEASE = "alone"  # it has no lease, and asks for one
    READING = "reading"  # it has a lease, and reads the keys of all members
    JOINING = "joining"  # it writes its own key, attached to its lease
    JOINED = "in"  # its key is in the store; it claims the roles that are assigned to it
    LEAVING = "leaving"  # it gives up its roles and then its lease
    LEFT = "out"  # final: it has shut down, or a later process has taken its name


class CallLane(StrEnum):
    """Each lane has one call under way at a time; the lease has its own, so that no other call delays it."""

    LEASE = "lease"
    STATE = "state"  # calls for the keys of members and roles


class CallPurpose(StrEnum):
    """What a call to the store is for."""

    GRANT_LEASE = "grant"
    RENEW_LEASE = "keep"
    REVOKE_LEASE = "revoke"
    READ_MEMBERS = "read"
    JOIN = "join"
    BECOME_READY = "ready"
    INSPECT_ROLES = "look"  # read the keys of roles whose claim or release has no certain result
    AUDIT_LEASE = "audit"  # read which keys are attached to this member's lease
    CLAIM_ROLES = "claim"
    RELEASE_ROLES = "release"


def lane_of(request: Request) -> CallLane:
    """The lane of a request."""
    if isinstance(request, GrantLease | KeepLeaseAlive | RevokeLease):
        return CallLane.LEASE
    return CallLane.STATE


def is_stale(request: Request, reply: Reply, newest_revision: int) -> bool:
    """Whether a reply shows an older state of the store than newest_revision, the newest one seen so far.

    Guards against stale reads, which may show keys that do not exist any more.
    """
    reads_state = isinstance(request, ReadPrefix | Transaction | ReadLeaseKeys)
    return reply.proof == Proof.DONE and reply.revision < newest_revision and reads_state


class CallPlan(NamedTuple):
    """A call to the store that is to be made.

    context: values needed to handle its reply: the roles that the call is for, or for JOIN whether the member
    joins as ready.
    """

    purpose: CallPurpose
    request: Request
    context: tuple[Any, ...] = ()


@dataclass(frozen=True, slots=True)
class CallStore:
    """Action: send the request to the store; its reply goes to Membership.call_replied()."""

    call: PendingCall


@dataclass(frozen=True, slots=True)
class RoleWon:
    """Action: this member leads the role from now on, under this fencing token."""

    role: str
    token: int


@dataclass(frozen=True, slots=True)
class RoleLost:
    """Action: this member does not lead the role any more."""

    role: str
    reason: str


@dataclass(frozen=True, slots=True)
class WatchMembers:
    """Action: watch the keys of members from this revision on; changes go to Membership.member_changed()."""

    revision: int


@dataclass(frozen=True, slots=True)
class LogStateChange:
    """Action: log a change of the member's state. facts: fields of the log line."""

    text: str
    facts: dict[str, Any]


MembershipAction = CallStore | RoleWon | RoleLost | WatchMembers | LogStateChange


class MembershipRules(NamedTuple):
    """Settings of a member, from the operator file.

    settle_us: how long a member that joins others waits before roles may be assigned to it.
    moves_per_second: how many roles one member gives up to other members in a second at most.
    min_backoff_us, max_backoff_us: bounds of the delay before a failed call is made again.
    leave_timeout_us: how long leaving waits for work under way and for the reply of the store.
    """

    lease_terms: LeaseTerms
    settle_us: int
    moves_per_second: float
    min_backoff_us: int
    max_backoff_us: int
    leave_timeout_us: int

    def backoff(self, random_fraction: Callable[[], float]) -> Backoff:
        """Create the backoff of one series of calls. random_fraction: draws from [0, 1)."""
        return Backoff(self.min_backoff_us, self.max_backoff_us, random_fraction)
