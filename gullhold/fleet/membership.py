"""One member of a fleet: its lease, its key in the store and the other members. Performs no I/O.

The member hands out calls to the store, one at a time in each of two lanes, and is given the reply to each.
It has a fencing token for a role only while its lease certainly holds by its own clock. Every write for a
role is a transaction that compares the revision of the role's key with the token, so that the store refuses a
write that arrives after the role has moved.
"""

from collections.abc import Callable, Iterable
from typing import cast

from gullhold.fleet.call_lanes import CallLanes
from gullhold.fleet.identity import Identity
from gullhold.fleet.lease import Lease
from gullhold.fleet.membership_types import (
    CallLane,
    CallPlan,
    CallPurpose,
    CallStore,
    LogStateChange,
    MembershipAction,
    MembershipRules,
    MemberState,
    WatchMembers,
    is_stale,
    lane_of,
)
from gullhold.fleet.role_claims import RoleClaims
from gullhold.fleet.store_calls import (
    Condition,
    GrantLease,
    KeepLeaseAlive,
    Operation,
    PendingCall,
    Proof,
    ReadPrefix,
    Reply,
    RevokeLease,
    Transaction,
)
from gullhold.fleet.store_schema import MEMBERS_PREFIX, ROLES_PREFIX, MemberRecord

SUPERSEDED = "superseded by a later process of this name"
KEY_REMOVED = "key removed"


class Membership:
    """One member. take_actions() returns MembershipActions; due() is when to tick() at the latest.

    All times are us of a monotonic clock. members: whether each member is ready, by name; roles are assigned
    to ready members only. newest_revision: the newest revision of the store that a reply or a watch has
    shown. must_read_members: a change of the members may have been missed. is_ready, ready_at: whether this
    member is ready, and from when on it is to be. leave_deadline: when leaving ends at the latest.
    """

    claims_type = RoleClaims  # tests use subclasses

    def __init__(
        self,
        name: str,
        nonce: str,
        rules: MembershipRules,
        roles: Iterable[str],
        random_fraction: Callable[[], float],
        now: int,
    ) -> None:
        """nonce: random; distinguishes processes of the same name. random_fraction: draws from [0, 1)."""
        self.identity = Identity(name, nonce)
        self.rules = rules
        self.lease = Lease(rules.lease_terms)
        self.state = MemberState.NO_LEASE
        self.actions: list[MembershipAction] = []
        self.calls = CallLanes(rules, random_fraction)
        claim_backoff = rules.backoff(random_fraction)
        self.claims = self.claims_type(self.identity, rules, roles, claim_backoff, now, self._emit)
        self.newest_revision = 0
        self.members: dict[str, bool] = {}
        self.must_read_members = False
        self.is_ready = False
        self.ready_at = 0
        self.leave_deadline = 0

    # Called by the driver

    def take_actions(self) -> list[MembershipAction]:
        """Return the actions to carry out now, in order."""
        actions = self.actions
        self.actions = []
        return actions

    def fencing_token(self, role: str, now: int) -> int:
        """The token under which to act on a role now; 0 if this member does not certainly lead it."""
        if self.state not in (MemberState.JOINED, MemberState.LEAVING):
            return 0
        if role in self.claims.to_release or not self.lease.is_valid(now):
            return 0
        return self.claims.tokens.get(role, 0)

    def fenced_transaction(
        self,
        role: str,
        token: int,
        operations: Iterable[Operation],
        conditions: Iterable[Condition] = (),
    ) -> Transaction:
        """The transaction that carries out the operations only while the role is led under this token."""
        return Transaction(((ROLES_PREFIX + role, token), *conditions), tuple(operations))

    def set_busy(self, role: str, busy: bool) -> None:
        """Record that work on a role has begun or ended; while it is busy, it is not given up voluntarily."""
        if busy:
            self.claims.busy.add(role)
        else:
            self.claims.busy.discard(role)

    def tick(self, now: int) -> None:
        """Do what is due: check the lease, and start the next call in each lane that has none under way."""
        if self.state == MemberState.LEFT:
            return
        self._check_lease(now)
        self._start_call(CallLane.LEASE, self._next_lease_call, now)
        self._start_call(CallLane.STATE, self._next_state_call, now)

    def due(self, now: int) -> int:
        """When to tick again at the latest."""
        times = []
        is_lease_valid = self.lease.is_valid(now)
        if is_lease_valid:
            times.append(self.lease.valid_until)
        if self.state == MemberState.LEAVING:
            times.append(self.leave_deadline)
        if CallLane.LEASE not in self.calls.under_way:
            renew_at = self.lease.renew_at() if self.lease.id else 0
            times.append(max(self.calls.retry_at[CallLane.LEASE], renew_at))
        if CallLane.STATE not in self.calls.under_way and is_lease_valid:
            times.append(max(self.calls.retry_at[CallLane.STATE], self._next_state_call_at(now)))
        return max(now, min(times)) if times else now + self.rules.max_backoff_us

    def _next_state_call_at(self, now: int) -> int:
        if self.state != MemberState.JOINED or self.must_read_members:
            return 0
        next_at = self.claims.next_call_at(now)
        return next_at if self.is_ready else min(next_at, self.ready_at)

    def call_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
        """Take the reply to a call; each call has exactly one."""
        if is_stale(call.request, reply, self.newest_revision):
            reply = reply._replace(proof=Proof.UNKNOWN)
        is_done = reply.proof == Proof.DONE
        self.calls.replied(lane_of(call.request), is_done, now)
        if is_done:
            self.newest_revision = max(self.newest_revision, reply.revision)
        if not self.calls.is_void(call) and self.state != MemberState.LEFT:
            self._handle_reply(now, call, reply)
        self.tick(now)

    def member_changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Take a change of a member's key. value: None if it was deleted."""
        if revision <= self.newest_revision and self.state not in (MemberState.JOINED, MemberState.LEAVING):
            return  # a reply has shown a newer state of the store
        self.newest_revision = max(self.newest_revision, revision)
        name = key.removeprefix(MEMBERS_PREFIX)
        record = None if value is None else MemberRecord.decode(value, revision)
        is_own_key = name == self.identity.name
        if is_own_key and self.state == MemberState.JOINED and revision > self.identity.key_revision:
            self._own_key_changed(now, record, revision)
        if record is None:
            self.members.pop(name, None)
            self.claims.claim_now(now)
        else:
            self.members[name] = record.is_ready
        if self.state == MemberState.JOINED:
            self._reassign_roles(now)
        self.tick(now)

    def _own_key_changed(self, now: int, record: MemberRecord | None, revision: int) -> None:
        if record is None:
            self._lose_lease(now, KEY_REMOVED)
        elif record.nonce == self.identity.nonce:
            self.identity.key_revision = revision
            self.is_ready = record.is_ready
        elif record.incarnation > self.identity.incarnation:
            self._superseded(now)
        else:  # an earlier process of this name found the key missing and wrote it: join again
            self._lose_lease(now, KEY_REMOVED)

    def watch_gap(self, now: int) -> None:
        """Read the keys of the members again, as the watch has missed changes."""
        self.must_read_members = True
        self.tick(now)

    def leave(self, now: int) -> None:
        """Shut down gracefully: give up all roles, then revoke the lease."""
        if self.state in (MemberState.LEAVING, MemberState.LEFT):
            return
        self.leave_deadline = now + self.rules.leave_timeout_us
        if not self.lease.id:
            self._change_state(MemberState.LEFT, "left")
            return
        self._change_state(MemberState.LEAVING, "shutdown requested")
        self.calls.end_delays()
        self.tick(now)

    # States

    def _emit(self, action: MembershipAction) -> None:
        self.actions.append(action)

    def _change_state(self, state: MemberState, reason: str) -> None:
        """Change the state, and log that; no other method does."""
        facts = {"state": state, "reason": reason, "incarnation": self.identity.incarnation}
        self._emit(LogStateChange("member state changed", facts))
        self.state = state

    def _check_lease(self, now: int) -> None:
        """Give up a lease that does not certainly hold any more, and never renew it.

        Guards against a member whose calls reach the store but whose replies are lost: its renewals would
        keep the roles for ever, though it can't act on them, and no other member could claim them.
        """
        if self.lease.id and not self.lease.is_valid(now):
            self._lose_lease(now, "lease not confirmed in time")
        if self.state == MemberState.LEAVING and now >= self.leave_deadline:
            self._end("left, end of the lease not confirmed in time")

    def _reset_roles(self, reason: str) -> None:
        """Lose all roles and this member's key, and ignore the replies to the calls under way."""
        self.claims.reset(reason)
        self.identity.key_revision = 0
        self.is_ready = False
        self.calls.void_all()

    def _lose_lease(self, now: int, reason: str) -> None:
        """Forget the lease, which the store may have ended, and start again without one unless leaving."""
        self._reset_roles(reason)
        self.lease.clear()
        if self.state == MemberState.LEAVING:
            self._change_state(MemberState.LEFT, reason)
        else:
            self.calls.delay(CallLane.LEASE, now)
            self._change_state(MemberState.NO_LEASE, reason)

    def _superseded(self, now: int) -> None:
        """Stop for good, as a later process of this name has joined; free all roles by revoking the lease."""
        self._reset_roles(SUPERSEDED)
        self.claims.busy = set()
        self.leave_deadline = now + self.rules.lease_terms.guaranteed_us()
        self._change_state(MemberState.LEAVING, SUPERSEDED)

    def _end(self, reason: str) -> None:
        self._reset_roles(reason)
        self.lease.clear()
        self._change_state(MemberState.LEFT, reason)

    def _joined(self, now: int, revision: int, is_ready: bool) -> None:
        """Record that this member's key is in the store. revision: the key's revision."""
        is_first = self.state != MemberState.JOINED
        self.identity.key_revision = revision
        self.is_ready = is_ready
        if is_first:
            if not self.identity.incarnation:
                self.identity.incarnation = revision
            self.ready_at = now + self.rules.settle_us
            self.claims.joined(now)
            self._change_state(MemberState.JOINED, "joined")
        self._reassign_roles(now)
        if is_first:
            self.claims.plan_all_roles(now)

    def _reassign_roles(self, now: int) -> None:
        self.claims.reassign(now, [name for name, is_ready in self.members.items() if is_ready])

    # Calls

    def _start_call(self, lane: CallLane, choose: Callable[[int], CallPlan | None], now: int) -> None:
        """Start the call that choose(now) returns, if any and if the lane is free."""
        if not self.calls.may_start(lane, now) or self.state == MemberState.LEFT:
            return
        plan = choose(now)
        if plan is not None:
            self._emit(CallStore(self.calls.start(lane, plan, now)))

    def _next_lease_call(self, now: int) -> CallPlan | None:
        if self.state == MemberState.LEAVING and not self.claims.busy:
            return CallPlan(CallPurpose.REVOKE_LEASE, RevokeLease(self.lease.id))
        if not self.lease.id:
            return CallPlan(CallPurpose.GRANT_LEASE, GrantLease(self.rules.lease_terms.ttl_s))
        if now >= self.lease.renew_at():
            return CallPlan(CallPurpose.RENEW_LEASE, KeepLeaseAlive(self.lease.id))
        return None

    def _next_state_call(self, now: int) -> CallPlan | None:
        if not self.lease.is_valid(now):
            return None
        match self.state:
            case MemberState.READING:
                return CallPlan(CallPurpose.READ_MEMBERS, ReadPrefix(MEMBERS_PREFIX))
            case MemberState.JOINING:
                # If no other member is ready, there is none to take roles from: join as ready at once.
                is_ready = not any(self.members.values())
                request = self.identity.key_transaction(is_ready, self.lease.id)
                return CallPlan(CallPurpose.JOIN, request, (is_ready,))
            case MemberState.LEAVING:
                return self.claims.leaving_call()
            case MemberState.JOINED if self.must_read_members:
                return CallPlan(CallPurpose.READ_MEMBERS, ReadPrefix(MEMBERS_PREFIX))
            case MemberState.JOINED if not self.is_ready and now >= self.ready_at:
                return CallPlan(CallPurpose.BECOME_READY, self.identity.key_transaction(True, self.lease.id))
            case MemberState.JOINED:
                return self.claims.next_call(now, self.lease.id)
        return None

    # Replies

    def _handle_reply(self, now: int, call: PendingCall, reply: Reply) -> None:
        match call.purpose:
            case CallPurpose.GRANT_LEASE:
                self._grant_replied(call, reply)
            case CallPurpose.RENEW_LEASE:
                self._renewal_replied(now, call, reply)
            case CallPurpose.REVOKE_LEASE:
                if reply.proof == Proof.DONE:
                    self._end("left")
            case CallPurpose.READ_MEMBERS:
                self._members_read(now, reply)
            case CallPurpose.JOIN:
                self._join_replied(now, call, reply)
            case CallPurpose.BECOME_READY:
                self._ready_replied(now, reply)
            case _:
                if self.claims.call_replied(now, call, reply):
                    self.must_read_members = True

    def _grant_replied(self, call: PendingCall, reply: Reply) -> None:
        if reply.proof != Proof.DONE:
            return  # a lease that was granted all the same has no keys, and expires unused
        self.lease.renew(reply.lease, call.sent_at)
        if self.state == MemberState.NO_LEASE:
            self._change_state(MemberState.READING, "lease granted")

    def _renewal_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
        if reply.proof != Proof.DONE:
            return
        if reply.ttl_s > 0:
            self.lease.renew(cast("KeepLeaseAlive", call.request).lease, call.sent_at)
        else:
            self._lose_lease(now, "lease expired")

    def _members_read(self, now: int, reply: Reply) -> None:
        if reply.proof != Proof.DONE:
            return
        records = {item.key: MemberRecord.decode(item.value, item.revision) for item in reply.items}
        self.members = {key.removeprefix(MEMBERS_PREFIX): record.is_ready for key, record in records.items()}
        self.must_read_members = False
        own_item = next((item for item in reply.items if item.key == self.identity.key), None)
        own_record = records.get(self.identity.key)
        is_ours = own_record is not None and own_record.nonce == self.identity.nonce
        if own_record and not is_ours and 0 < self.identity.incarnation < own_record.incarnation:
            self._superseded(now)
            return
        self._emit(WatchMembers(reply.revision + 1))
        if own_item and own_record and is_ours and own_item.lease == self.lease.id:
            self._joined(now, own_item.revision, own_record.is_ready)  # even if the reply to JOIN was lost
        elif self.state == MemberState.JOINED:
            self._lose_lease(now, KEY_REMOVED)
        else:
            self.identity.key_revision = own_item.revision if own_item else 0
            self._change_state(MemberState.JOINING, "members read")

    def _join_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
        if reply.proof == Proof.DONE and reply.succeeded:
            (is_ready,) = call.context
            self.members[self.identity.name] = is_ready
            self._joined(now, reply.revision, is_ready)
        else:  # the key has changed, or the call may or may not have been carried out: read the members
            self.identity.key_revision = 0
            self._change_state(MemberState.READING, "join not confirmed")

    def _ready_replied(self, now: int, reply: Reply) -> None:
        if reply.proof == Proof.DONE and reply.succeeded:
            self.identity.key_revision = reply.revision
            self.is_ready = True
            self.members[self.identity.name] = True
            self._reassign_roles(now)
        else:
            self.must_read_members = True
