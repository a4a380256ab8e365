"""States, calls, actions and rules of a fleet's member."""

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
    """State of a member; the values appear in the log."""

    NO_LEASE = "alone"  # it has no lease
    READING = "reading"  # it has a lease, and reads the list of members
    JOINING = "joining"  # it writes its own key
    JOINED = "in"  # it leads the roles that are assigned to it
    LEAVING = "leaving"  # it gives up its roles
    LEFT = "out"  # it has left for good, or a later process has its name


class CallLane(StrEnum):
    """Calls of one lane wait for each other; calls for the lease must not wait behind any others."""

    LEASE = "lease"
    STATE = "state"


class CallPurpose(StrEnum):
    """What a call to the store is for."""

    GRANT_LEASE = "grant"
    RENEW_LEASE = "keep"
    REVOKE_LEASE = "revoke"
    READ_MEMBERS = "read"
    JOIN = "join"
    BECOME_READY = "ready"
    INSPECT_ROLES = "look"  # read the keys of roles whose leader is not known
    AUDIT_LEASE = "audit"  # read which keys are attached to our lease
    CLAIM_ROLES = "claim"
    RELEASE_ROLES = "release"


def lane_of(request: Request) -> CallLane:
    """The lane of a request."""
    if isinstance(request, GrantLease | KeepLeaseAlive | RevokeLease):
        return CallLane.LEASE
    return CallLane.STATE


def is_stale(request: Request, reply: Reply, newest_revision: int) -> bool:
    """Whether a reply shows an older state of the store than one that is known already.

    Guards against stale reads, which would show keys that do not exist any more.
    """
    reads_state = isinstance(request, ReadPrefix | Transaction | ReadLeaseKeys)
    return reply.proof == Proof.DONE and reply.revision < newest_revision and reads_state


class CallPlan(NamedTuple):
    """A call that is to be made.

    context: what the reply is handled with: the roles that the call is for, or for JOIN whether the member
    joins as ready.
    """

    purpose: CallPurpose
    request: Request
    context: tuple[Any, ...] = ()


@dataclass(frozen=True, slots=True)
class CallStore:
    """Action: make the call; answered by call_replied()."""

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
    """Action: watch the members' keys from this revision on; answered by member_changed() for each change."""

    revision: int


@dataclass(frozen=True, slots=True)
class StateChanged:
    """Action: log an event, with its facts as fields."""

    text: str
    facts: dict[str, Any]


MembershipAction = CallStore | RoleWon | RoleLost | WatchMembers | StateChanged


class MembershipRules(NamedTuple):
    """Settings of a member, from the operator file; times in us.

    settle_us: how long a member that joins others waits before roles move to it. moves_per_second: how many
    roles one member gives up to others at most. min_backoff_us, max_backoff_us: between attempts of a call.
    leave_timeout_us: how long leaving waits for work under way.
    """

    lease_terms: LeaseTerms
    settle_us: int
    moves_per_second: float
    min_backoff_us: int
    max_backoff_us: int
    leave_timeout_us: int

    def backoff(self, random_fraction: Callable[[], float]) -> Backoff:
        """A new backoff between attempts of a call; random_fraction: draws from [0, 1)."""
        return Backoff(self.min_backoff_us, self.max_backoff_us, random_fraction)
