"""The roles that a member leads, claims and gives up. Performs no I/O.

A member leads a role by holding the role's key in the store, attached to the member's lease. The revision of
the key's last change is the fencing token of the leader, so the tokens of a role only grow.
"""

from collections.abc import Callable, Iterable
from typing import cast

from gullhold.fleet import store_calls
from gullhold.fleet.backoff import Backoff
from gullhold.fleet.identity import Identity
from gullhold.fleet.membership_types import (
    CallPlan,
    CallPurpose,
    MembershipAction,
    MembershipRules,
    RoleLost,
    RoleWon,
)
from gullhold.fleet.rate_limit import RateLimiter
from gullhold.fleet.role_assignment import RoleAssignment
from gullhold.fleet.store_calls import (
    Delete,
    Get,
    KeyValue,
    PendingCall,
    Proof,
    Put,
    ReadLeaseKeys,
    Reply,
    Transaction,
)
from gullhold.fleet.store_schema import ROLES_PREFIX, LeaderRecord

MAX_ROLES_PER_CALL = store_calls.MAX_TRANSACTION_OPERATIONS - 1  # a claim also compares the member's key
# Time between two reads of the keys that are attached to this member's lease, as a multiple of the time for
# which a renewed lease certainly holds. The keys show a claim that was carried out though its call was given
# up.
AUDIT_INTERVAL_LEASES = 5


class RoleClaims:
    """The roles that one member leads, claims or gives up.

    tokens: fencing tokens of the roles that it leads. to_release: roles to give up, with the revision of
    their key. claim_at: roles to claim, each with the time from which to do so (us). own_key_revisions: for
    roles in claim_at whose stored key this process wrote, the revision of that key. unverified: roles whose
    key has to be read, as this process may have written it. busy: roles that are not given up yet, as work on
    them is under way.
    """

    def __init__(
        self,
        identity: Identity,
        rules: MembershipRules,
        roles: Iterable[str],
        claim_backoff: Backoff,
        now: int,
        emit: Callable[[MembershipAction], None],
    ) -> None:
        """claim_backoff: delays claims of roles that others lead. emit: called with RoleWon and RoleLost."""
        self.identity = identity
        self.assignment = RoleAssignment(roles)
        self.claim_backoff = claim_backoff
        self.release_limiter = RateLimiter(rules.moves_per_second, now)
        self.audit_interval_us = AUDIT_INTERVAL_LEASES * rules.lease_terms.guaranteed_us()
        self.audit_at = 0
        self.tokens: dict[str, int] = {}
        self.to_release: dict[str, int] = {}
        self.claim_at: dict[str, int] = {}
        self.own_key_revisions: dict[str, int] = {}
        # Roles in the order in which they were added; the values mean nothing.
        self.unverified: dict[str, bool] = {}
        self.busy: set[str] = set()
        self._emit = emit

    def reset(self, reason: str) -> None:
        """Lose all roles, and forget all planned claims and releases."""
        for role in list(self.tokens):
            self.lost(role, reason)
        self.claim_at = {}
        self.to_release = {}
        self.own_key_revisions = {}
        self.unverified = {}

    def won(self, role: str, token: int) -> None:
        """Record that this member leads the role, under this fencing token."""
        self.tokens[role] = token
        self._emit(RoleWon(role, token))

    def lost(self, role: str, reason: str) -> None:
        """Record that this member may not lead the role any more, if it did."""
        if self.tokens.pop(role, 0):
            self._emit(RoleLost(role, reason))

    def joined(self, now: int) -> None:
        """Schedule the first audit, after this member has joined."""
        self.audit_at = now + self.audit_interval_us

    def reassign(self, now: int, ready_members: Iterable[str]) -> None:
        """Assign the roles to these members; plan to claim or give up those whose assignment has changed."""
        for role in self.assignment.update_members(ready_members):
            self.plan_role(now, role)

    def plan_all_roles(self, now: int) -> None:
        """Plan to claim or give up each role, according to its assignment."""
        for role in self.assignment.roles:
            self.plan_role(now, role)

    def plan_role(self, now: int, role: str) -> None:
        """Plan to claim or give up a role, according to its assignment."""
        is_assigned = self._is_assigned(role)
        if role not in self.tokens:
            if is_assigned:
                self.claim_at.setdefault(role, now)
            else:
                self.claim_at.pop(role, None)
        elif is_assigned:
            self.to_release.pop(role, None)
        else:
            self.to_release[role] = self.tokens[role]

    def claim_now(self, now: int) -> None:
        """Make all planned claims due now: a member has left, and its roles are free."""
        for role in self.claim_at:
            self.claim_at[role] = now

    def _is_assigned(self, role: str) -> bool:
        return self.assignment.leaders.get(role) == self.identity.name

    # Calls

    def next_call(self, now: int, lease_id: int) -> CallPlan | None:
        """Return the next call to make, if any is due; a release ends the leadership of its roles at once."""
        if self.unverified:
            roles = tuple(self.unverified)[:MAX_ROLES_PER_CALL]
            reads = tuple(Get(ROLES_PREFIX + role) for role in roles)
            return CallPlan(CallPurpose.INSPECT_ROLES, Transaction((), reads), roles)
        if now >= self.audit_at:
            return CallPlan(CallPurpose.AUDIT_LEASE, ReadLeaseKeys(lease_id))
        releasable = self.releasable()
        if releasable:
            count = self.release_limiter.take(now, min(len(releasable), MAX_ROLES_PER_CALL))
            if count:
                return self._release_call(releasable[:count])
        due = [role for role, at in self.claim_at.items() if at <= now]
        return self._claim_call(due[:MAX_ROLES_PER_CALL], lease_id) if due else None

    def next_call_at(self, now: int) -> int:
        """When next_call() is to be called next."""
        if self.unverified:
            return 0
        times = [self.audit_at, *self.claim_at.values()]
        if self.releasable():
            times.append(self.release_limiter.ready_at(now))
        return min(times)

    def leaving_call(self) -> CallPlan | None:
        """The call that gives up roles that are not busy while others are; None if there is none to make.

        Once none is busy, the end of the lease frees all roles in one call.
        """
        if not self.busy:
            return None
        idle = [(role, token) for role, token in self.tokens.items() if role not in self.busy]
        return self._release_call(idle[:MAX_ROLES_PER_CALL]) if idle else None

    def releasable(self) -> list[tuple[str, int]]:
        """Roles that can be given up now, with the revisions of their keys."""
        return [(role, token) for role, token in self.to_release.items() if role not in self.busy]

    def _release_call(self, releases: list[tuple[str, int]]) -> CallPlan:
        """Return the call that gives up roles; from now on they are not led, as the reply may come late."""
        for role, _ in releases:
            self.lost(role, "released")
            self.to_release.pop(role, None)
        conditions = tuple((ROLES_PREFIX + role, token) for role, token in releases)
        deletes = tuple(Delete(key) for key, _ in conditions)
        roles = tuple(role for role, _ in releases)
        return CallPlan(CallPurpose.RELEASE_ROLES, Transaction(conditions, deletes), roles)

    def _claim_call(self, roles: list[str], lease_id: int) -> CallPlan:
        identity = self.identity
        keys = [ROLES_PREFIX + role for role in roles]
        value = LeaderRecord(identity.name, identity.nonce, identity.incarnation).encode()
        own_condition = (identity.key, identity.key_revision)
        role_conditions = [(ROLES_PREFIX + role, self.own_key_revisions.get(role, 0)) for role in roles]
        transaction = Transaction(
            (own_condition, *role_conditions),
            tuple(Put(key, value, lease_id) for key in keys),
            tuple(Get(key) for key in keys),
        )
        return CallPlan(CallPurpose.CLAIM_ROLES, transaction, tuple(roles))

    # Replies

    def call_replied(self, now: int, call: PendingCall, reply: Reply) -> bool:
        """Take the reply to a call of next_call(); return whether the members have to be read again."""
        match call.purpose:
            case CallPurpose.INSPECT_ROLES:
                self.inspect_replied(now, call, reply)
            case CallPurpose.AUDIT_LEASE:
                self.audit_replied(now, reply)
            case CallPurpose.CLAIM_ROLES:
                return self.claim_replied(now, call, reply)
            case CallPurpose.RELEASE_ROLES:
                self.release_replied(now, call, reply)
        return False

    def inspect_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
        """Take the reply to a read of the keys of unverified roles."""
        if reply.proof == Proof.DONE:
            self._handle_role_keys(now, call, reply)

    def claim_replied(self, now: int, call: PendingCall, reply: Reply) -> bool:
        """Take the reply to a claim; return whether to read the members, as this member's key has changed."""
        if reply.proof == Proof.DONE and reply.succeeded:
            self.claim_backoff.reset()
            for role in call.context:
                self.claim_at.pop(role, None)
                self.own_key_revisions.pop(role, None)
                self.won(role, reply.revision)
                self.plan_role(now, role)  # it may be assigned to another member by now
        elif reply.proof == Proof.DONE:
            self._handle_role_keys(now, call, reply)
            return not reply.items
        elif reply.proof == Proof.UNKNOWN:
            self._mark_unverified(call.context)
        return False

    def release_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
        """Take the reply to a release of roles."""
        if reply.proof == Proof.DONE and reply.succeeded:
            for role in call.context:
                self.plan_role(now, role)
        else:
            self._mark_unverified(call.context)

    def audit_replied(self, now: int, reply: Reply) -> None:
        """Take the reply to a read of the keys attached to this member's lease."""
        if reply.proof != Proof.DONE:
            return
        self.audit_at = now + self.audit_interval_us
        attached = {key.removeprefix(ROLES_PREFIX) for key in reply.keys if key.startswith(ROLES_PREFIX)}
        # Keys that are not known here were written by a call that was given up but carried out.
        self._mark_unverified(attached - self.tokens.keys() - self.unverified.keys())
        for role in self.tokens.keys() - attached:  # while the lease holds, no other member deletes its keys
            self.lost(role, "key removed")
            self.to_release.pop(role, None)
            self.plan_role(now, role)

    def _mark_unverified(self, roles: Iterable[str]) -> None:
        """Have the keys of these roles read before the roles are claimed or given up."""
        for role in roles:
            self.claim_at.pop(role, None)
            self.unverified[role] = True

    def _handle_role_keys(self, now: int, call: PendingCall, reply: Reply) -> None:
        items = {item.key.removeprefix(ROLES_PREFIX): item for item in reply.items}
        for role in call.context:
            self.unverified.pop(role, None)
            self.handle_role_key(now, role, items.get(role))

    def handle_role_key(self, now: int, role: str, item: KeyValue | None) -> None:
        """Plan to claim or give up a role that is not led here. item: its stored key, None if it has none."""
        is_ours = item is not None and LeaderRecord.decode(item.value).nonce == self.identity.nonce
        is_assigned = self._is_assigned(role)
        self.own_key_revisions.pop(role, None)
        if is_ours and is_assigned:
            # The reply to a call was lost. Write the key again, so that no older call can still undo it.
            self.own_key_revisions[role] = cast("KeyValue", item).revision
            self.claim_at[role] = now
        elif is_ours:
            self.to_release[role] = cast("KeyValue", item).revision
        elif is_assigned:
            self.claim_at[role] = now if item is None else now + self.claim_backoff.next_delay_us()
