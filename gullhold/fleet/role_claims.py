"""The roles that a member leads, claims and gives up. Decisions only.

A role is led through a key that is attached to the leader's lease; the revision of that key's last change is
the leader's fencing token, so tokens only grow.
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
from gullhold.fleet.rate_limit import RateLimit
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

MAX_ROLES_PER_CALL = store_calls.MAX_TRANSACTION_OPERATIONS - 1  # beside the member's own key
AUDIT_INTERVAL_LEASES = 5  # lease times between two reads of the keys attached to our lease: a call that was
# given up may have been carried out after all


class RoleClaims:
    """The roles of one member, by what it knows of each and wants of it.

    tokens: roles whose key is ours, with their tokens. excess: roles to give up, with the token of their key.
    wanted: roles to claim, each with the time from which to do so. own_keys: of those, the revision of a key
    that is ours already. unsure: roles whose key has to be read. busy: roles that are not given up, as work
    on them is under way.
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
        """emit: takes RoleWon and RoleLost."""
        self.identity = identity
        self.assignment = RoleAssignment(roles)
        self.claim_backoff = claim_backoff
        self.move_limit = RateLimit(rules.moves_per_second, now)
        self.audit_interval_us = AUDIT_INTERVAL_LEASES * rules.terms.guaranteed_us()
        self.audit_at = 0
        self.tokens: dict[str, int] = {}
        self.excess: dict[str, int] = {}
        self.wanted: dict[str, int] = {}
        self.own_keys: dict[str, int] = {}
        self.unsure: dict[str, bool] = {}  # in order of arrival
        self.busy: set[str] = set()
        self._emit = emit

    def reset(self, reason: str) -> None:
        """Lose all roles, and forget what was known."""
        for role in list(self.tokens):
            self.lost(role, reason)
        self.wanted = {}
        self.excess = {}
        self.own_keys = {}
        self.unsure = {}

    def won(self, role: str, token: int) -> None:
        """The role's key is ours."""
        self.tokens[role] = token
        self._emit(RoleWon(role, token))

    def lost(self, role: str, reason: str) -> None:
        """The role's key may not be ours any more."""
        if self.tokens.pop(role, 0):
            self._emit(RoleLost(role, reason))

    def joined(self, now: int) -> None:
        """This member has joined: the first audit follows in its time."""
        self.audit_at = now + self.audit_interval_us

    def reassign(self, now: int, ready_members: Iterable[str]) -> None:
        """The ready members have changed: what to claim and what to give up."""
        for role in self.assignment.update_members(ready_members):
            self.review(now, role)

    def review_all(self, now: int) -> None:
        """Claim or give up each role as it is assigned."""
        for role in self.assignment.roles:
            self.review(now, role)

    def review(self, now: int, role: str) -> None:
        """Claim or give up a role as it is assigned."""
        is_assigned = self._is_assigned(role)
        if role not in self.tokens:
            if is_assigned:
                self.wanted.setdefault(role, now)
            else:
                self.wanted.pop(role, None)
        elif is_assigned:
            self.excess.pop(role, None)
        else:
            self.excess[role] = self.tokens[role]

    def claim_now(self, now: int) -> None:
        """A member has gone: what it led is free."""
        for role in self.wanted:
            self.wanted[role] = now

    def _is_assigned(self, role: str) -> bool:
        return self.assignment.leaders.get(role) == self.identity.name

    # Calls

    def next_call(self, now: int, lease_id: int) -> CallPlan | None:
        """The call to be made next, if any."""
        if self.unsure:
            roles = tuple(self.unsure)[:MAX_ROLES_PER_CALL]
            reads = tuple(Get(ROLES_PREFIX + role) for role in roles)
            return CallPlan(CallPurpose.INSPECT_ROLES, Transaction((), reads), roles)
        if now >= self.audit_at:
            return CallPlan(CallPurpose.AUDIT_LEASE, ReadLeaseKeys(lease_id))
        releasable = self.releasable()
        if releasable:
            count = self.move_limit.take(now, min(len(releasable), MAX_ROLES_PER_CALL))
            if count:
                return self._release_call(releasable[:count])
        due = [role for role, at in self.wanted.items() if at <= now]
        return self._claim_call(due[:MAX_ROLES_PER_CALL], lease_id) if due else None

    def next_call_at(self, now: int) -> int:
        """When next_call() has one at the latest."""
        if self.unsure:
            return 0
        times = [self.audit_at, *self.wanted.values()]
        if self.releasable():
            times.append(self.move_limit.ready_at(now))
        return min(times)

    def leaving_call(self) -> CallPlan | None:
        """While some roles are busy: give up the others.

        Once none is busy, the end of the lease frees all roles in one call.
        """
        if not self.busy:
            return None
        idle = [(role, token) for role, token in self.tokens.items() if role not in self.busy]
        return self._release_call(idle[:MAX_ROLES_PER_CALL]) if idle else None

    def releasable(self) -> list[tuple[str, int]]:
        """Roles that can be given up now, with the tokens of their keys."""
        return [(role, token) for role, token in self.excess.items() if role not in self.busy]

    def _release_call(self, releases: list[tuple[str, int]]) -> CallPlan:
        """Acting ends before the call goes out: others may know what it has done before we do."""
        for role, _ in releases:
            self.lost(role, "released")
            self.excess.pop(role, None)
        conditions = tuple((ROLES_PREFIX + role, token) for role, token in releases)
        deletes = tuple(Delete(key) for key, _ in conditions)
        roles = tuple(role for role, _ in releases)
        return CallPlan(CallPurpose.RELEASE_ROLES, Transaction(conditions, deletes), roles)

    def _claim_call(self, roles: list[str], lease_id: int) -> CallPlan:
        identity = self.identity
        keys = [ROLES_PREFIX + role for role in roles]
        value = LeaderRecord(identity.name, identity.nonce, identity.incarnation).encode()
        own_condition = (identity.key, identity.key_revision)
        role_conditions = [(ROLES_PREFIX + role, self.own_keys.get(role, 0)) for role in roles]
        transaction = Transaction(
            (own_condition, *role_conditions),
            tuple(Put(key, value, lease_id) for key in keys),
            tuple(Get(key) for key in keys),
        )
        return CallPlan(CallPurpose.CLAIM_ROLES, transaction, tuple(roles))

    # Replies

    def call_replied(self, now: int, call: PendingCall, reply: Reply) -> bool:
        """The reply to a call of next_call(); whether the members have to be read."""
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
        """The keys of unsure roles were read."""
        if reply.proof == Proof.DONE:
            self._observe_all(now, call, reply)

    def claim_replied(self, now: int, call: PendingCall, reply: Reply) -> bool:
        """Roles were claimed; whether the members have to be read, as our own key is not what we thought."""
        if reply.proof == Proof.DONE and reply.succeeded:
            self.claim_backoff.reset()
            for role in call.about:
                self.wanted.pop(role, None)
                self.own_keys.pop(role, None)
                self.won(role, reply.revision)
                self.review(now, role)  # it may be assigned to another by now
        elif reply.proof == Proof.DONE:
            self._observe_all(now, call, reply)
            return not reply.items
        elif reply.proof == Proof.UNKNOWN:
            self._mark_unsure(call.about)
        return False

    def release_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
        """Roles were given up."""
        if reply.proof == Proof.DONE and reply.succeeded:
            for role in call.about:
                self.review(now, role)
        else:
            self._mark_unsure(call.about)

    def audit_replied(self, now: int, reply: Reply) -> None:
        """The keys attached to our lease were read."""
        if reply.proof != Proof.DONE:
            return
        self.audit_at = now + self.audit_interval_us
        attached = {key.removeprefix(ROLES_PREFIX) for key in reply.keys if key.startswith(ROLES_PREFIX)}
        # A call that was given up was carried out after all.
        self._mark_unsure(attached - self.tokens.keys() - self.unsure.keys())
        for role in self.tokens.keys() - attached:  # nobody but us deletes it while the lease holds
            self.lost(role, "key removed")
            self.excess.pop(role, None)
            self.review(now, role)

    def _mark_unsure(self, roles: Iterable[str]) -> None:
        """The keys of these roles have to be read; until then we do not act on the roles."""
        for role in roles:
            self.wanted.pop(role, None)
            self.unsure[role] = True

    def _observe_all(self, now: int, call: PendingCall, reply: Reply) -> None:
        items = {item.key.removeprefix(ROLES_PREFIX): item for item in reply.items}
        for role in call.about:
            self.unsure.pop(role, None)
            self.observe(now, role, items.get(role))

    def observe(self, now: int, role: str, item: KeyValue | None) -> None:
        """What the store has of a role that we do not surely lead."""
        is_ours = item is not None and LeaderRecord.decode(item.value).nonce == self.identity.nonce
        is_assigned = self._is_assigned(role)
        self.own_keys.pop(role, None)
        if is_ours and is_assigned:
            # The reply to a call was lost: the key is written anew, so that no older call can undo it.
            self.own_keys[role] = cast("KeyValue", item).revision
            self.wanted[role] = now
        elif is_ours:
            self.excess[role] = cast("KeyValue", item).revision
        elif is_assigned:
            self.wanted[role] = now if item is None else now + self.claim_backoff.next_delay_us()
