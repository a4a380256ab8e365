"""A simulated world of members: a model of the store, members with clocks of their own, calls under way.

The members' clocks deviate from the store's clock by no more than the allowed drift. The invariants of
leadership are checked after every action.
"""

from collections.abc import Callable

from gullhold.fleet.membership import Membership
from gullhold.fleet.membership_types import (
    CallStore,
    MembershipRules,
    MemberState,
    WatchMembers,
)
from gullhold.fleet.store_calls import PendingCall, Proof, Put, Reply, Request
from gullhold.fleet.store_schema import (
    HEARTBEATS_PREFIX,
    MEMBERS_PREFIX,
    ROLES_PREFIX,
    MemberRecord,
)
from gullhold.testing.membership_actions import (
    CALL_FAULTS,
    FAULTS,
    Action,
    ActionKind,
    SentCall,
    SentEffect,
    SentReply,
)
from gullhold.testing.role_pair_world import QUANTUM_US, TERMS
from gullhold.testing.store_model import Change, StoreModel
from gullhold.testing.walking import InvariantError

CLOCK_RATES = (0.87, 1.0, 1.1)  # rates of members' clocks relative to the store's, within the drift of 0.15
# Role assignment gives the first role to "a" at all times, and the second one to "c" until "b" joins.
ROLES = ("d0", "d5")
NAMES = ("a", "c")
JOINING_NAME = "b"
RULES = MembershipRules(
    TERMS,
    settle_us=0,
    moves_per_second=100,
    min_backoff_us=50_000,
    max_backoff_us=100_000,
    leave_timeout_us=500_000,
)
FIXED_FRACTION = 0.5  # in place of a random fraction, so that backoff delays are the same in every run
START_US = 10_000_000
MAX_EFFECTS = 2  # effects under way at once
SETTLING_STEPS = 60  # steps of time within which a fleet without faults has to have a leader for every role
MAX_ACTIONS_PER_SETTLING_STEP = 40  # calls, replies and notifications handled after each settling step


def fixed_fraction() -> float:
    """Stand in for the random source of a member."""
    return FIXED_FRACTION


MakeMember = Callable[..., Membership]


class World:
    """Members, the store, and the calls, replies and effects under way.

    act() carries out one of actions(). Members and processes are given by their index in `members`.
    """

    def __init__(
        self, names: tuple[str, ...], roles: tuple[str, ...], make: MakeMember = Membership, faults: int = 3
    ) -> None:
        """faults: number of faults that may still happen; make: the class of members, or a mutant of it."""
        self.now = START_US
        self.store = StoreModel(MEMBERS_PREFIX, TERMS.ttl_s)
        self.make = make
        self.roles = roles
        self.faults = faults
        self.members: list[Membership] = []
        self.rates: list[float] = []  # rate of each member's clock relative to the store's
        self.watched_from: list[int | None] = []  # revision from which each is notified; None: no watch
        self.is_paused: list[bool] = []
        self.crashed: set[int] = set()
        self.calls: list[SentCall] = []
        self.replies: list[SentReply] = []
        self.delayed_replies: list[SentReply] = []
        self.delayed_requests: list[Request] = []
        self.effects: list[SentEffect] = []
        self.process_count = 0
        self.joining_name = JOINING_NAME
        for name in names:
            self.start_process(name)

    def start_process(self, name: str) -> None:
        """Start a process of a member; the name may be one that another process has."""
        index = len(self.members)
        self.process_count += 1
        self.rates.append(CLOCK_RATES[index % len(CLOCK_RATES)])
        nonce = f"x{self.process_count}"
        member = self.make(name, nonce, RULES, self.roles, fixed_fraction, self.clock(index))
        self.members.append(member)
        self.watched_from.append(None)
        self.is_paused.append(False)
        self._tick(index)

    def clock(self, index: int) -> int:
        """Return the time on a member's clock, in us."""
        return int(self.now * self.rates[index])

    def _tick(self, index: int) -> None:
        self.members[index].tick(self.clock(index))
        self._collect(index)

    def _collect(self, index: int) -> None:
        """Take over a member's actions: its calls are under way from now on."""
        for action in self.members[index].take_actions():
            match action:
                case CallStore(call):
                    self.calls.append(SentCall(index, call))
                case WatchMembers(revision):
                    self.watched_from[index] = revision

    # Possible actions

    def actions(self) -> list[Action]:
        """Return all actions that are possible now."""
        found = [Action(ActionKind.ADVANCE_TIME)]
        for number in range(len(self.calls)):
            found.append(Action(ActionKind.EXECUTE_CALL, number))
            if self.faults:
                found += [Action(fault, number) for fault in CALL_FAULTS]
        found += self._reply_actions(ActionKind.RELEASE_REPLY, self.delayed_replies)
        found += self._reply_actions(ActionKind.DELIVER_REPLY, self.replies)
        found += [
            Action(ActionKind.EXECUTE_DELAYED_CALL, number) for number in range(len(self.delayed_requests))
        ]
        found += [Action(ActionKind.EXECUTE_EFFECT, number) for number in range(len(self.effects))]
        if self.joining_name:
            found.append(Action(ActionKind.JOIN))
        for index in range(len(self.members)):
            found += self._member_actions(index)
        return found

    def _reply_actions(self, kind: ActionKind, replies: list[SentReply]) -> list[Action]:
        return [
            Action(kind, number) for number, reply in enumerate(replies) if not self.is_paused[reply.member]
        ]

    def _member_actions(self, index: int) -> list[Action]:
        member = self.members[index]
        if self.is_paused[index]:
            return [] if index in self.crashed else [Action(ActionKind.RESUME, index)]
        found = []
        if self.faults and member.state == MemberState.JOINED:
            found.append(Action(ActionKind.PAUSE, index))
            found.append(Action(ActionKind.CRASH, index))
        if self.faults and member.state != MemberState.LEFT:
            found.append(Action(ActionKind.RESTART, index))
        if self._pending_changes(index):
            found.append(Action(ActionKind.NOTIFY_MEMBER, index))
        if len(self.effects) < MAX_EFFECTS:
            for role in self.roles:
                if member.fencing_token(role, self.clock(index)):
                    found.append(Action(ActionKind.BEGIN_EFFECT, index, role))
        return found

    def _pending_changes(self, index: int) -> list[Change]:
        """Return the changes of which a member is still to be notified."""
        first = self.watched_from[index]
        return [change for change in self.store.changes if first is not None and change[0] >= first]

    # Carrying out actions

    def act(self, kind: ActionKind, index: int = 0, role: str = "") -> None:
        """Carry out one action; raises InvariantError if an invariant is broken afterwards."""
        if kind in FAULTS:
            self.faults -= 1
        if kind in CALL_FAULTS:
            self._fail_call(kind, *self.calls.pop(index))
        else:
            self._carry_out(kind, index, role)
        self.check()

    def _carry_out(self, kind: ActionKind, index: int, role: str) -> None:
        match kind:
            case ActionKind.ADVANCE_TIME:
                self._advance_time()
            case ActionKind.EXECUTE_CALL:
                member, call = self.calls.pop(index)
                self.replies.append(SentReply(member, call, self.store.call(call.request, self.now)))
            case ActionKind.RELEASE_REPLY:
                self.replies.append(self.delayed_replies.pop(index))
            case ActionKind.DELIVER_REPLY:
                member, call, reply = self.replies.pop(index)
                self.members[member].call_replied(self.clock(member), call, reply)
                self._collect(member)
            case ActionKind.EXECUTE_DELAYED_CALL:
                self.store.call(self.delayed_requests.pop(index), self.now)
            case ActionKind.BEGIN_EFFECT:
                self._begin_effect(index, role)
            case ActionKind.EXECUTE_EFFECT:
                self._execute_effect(self.effects.pop(index))
            case _:
                self._act_on_member(kind, index)

    def _act_on_member(self, kind: ActionKind, index: int) -> None:
        match kind:
            case ActionKind.PAUSE:
                self.is_paused[index] = True
            case ActionKind.CRASH:
                self.is_paused[index] = True
                self.crashed.add(index)
            case ActionKind.RESUME:
                self.is_paused[index] = False
                self._tick(index)
            case ActionKind.NOTIFY_MEMBER:
                self._notify(index)
            case ActionKind.JOIN:
                self.start_process(self.joining_name)
                self.joining_name = ""
            case ActionKind.RESTART:
                self.start_process(self.members[index].identity.name)

    def _advance_time(self) -> None:
        self.now += QUANTUM_US
        self.store.expire_leases(self.now)
        for index, is_paused in enumerate(self.is_paused):
            if not is_paused:
                self._tick(index)

    def _notify(self, index: int) -> None:
        for revision, key, value in self._pending_changes(index):
            self.watched_from[index] = revision + 1
            self.members[index].member_changed(self.clock(index), key, value, revision)
            self._collect(index)

    def _fail_call(self, kind: ActionKind, member: int, call: PendingCall) -> None:
        match kind:
            case ActionKind.DELAY_REPLY:
                reply = self.store.call(call.request, self.now)
                self.delayed_replies.append(SentReply(member, call, reply))
                return
            case ActionKind.DELAY_CALL:
                self.delayed_requests.append(call.request)
                proof = Proof.UNKNOWN
            case ActionKind.LOSE_REPLY:
                self.store.call(call.request, self.now)
                proof = Proof.UNKNOWN
            case _:
                proof = Proof.NOT_DONE
        self.replies.append(SentReply(member, call, Reply(proof)))

    def _begin_effect(self, index: int, role: str) -> None:
        member = self.members[index]
        token = member.fencing_token(role, self.clock(index))
        operations = (Put(HEARTBEATS_PREFIX + role, str(token)),)
        self.effects.append(SentEffect(role, token, member.fenced_transaction(role, token, operations)))

    def _execute_effect(self, effect: SentEffect) -> None:
        reply = self.store.call(effect.request, self.now)
        if reply.proof != Proof.DONE or not reply.succeeded:
            return
        role, token, _ = effect
        if token < self.store.accepted_tokens.get(role, 0):
            raise InvariantError(
                f"an effect on {role} under token {token} after one under {self.store.accepted_tokens[role]}"
            )
        leader = self.store.keys.get(ROLES_PREFIX + role)
        if leader is None or leader.revision != token:
            raise InvariantError(f"an effect on {role} under token {token}, which no leader has")
        self.store.accepted_tokens[role] = token

    # Invariants

    def check(self) -> None:
        """Raise InvariantError unless each role has at most one active leader, which holds the current token.

        A member that knows of a later process of its name must not act.
        """
        for role in self.roles:
            leader = self.store.keys.get(ROLES_PREFIX + role)
            active = []
            for index, member in enumerate(self.members):
                token = member.fencing_token(role, self.clock(index))
                if token:
                    active.append((index, token))
            if len(active) > 1:
                raise InvariantError(f"{role} has {len(active)} leaders at once: {active}")
            for index, token in active:
                name = self.members[index].identity.name
                if leader is None or leader.revision != token:
                    raise InvariantError(f"{name} acts on {role} under token {token}, which is not current")
                if self._knows_later_process(index):
                    raise InvariantError(f"{name} acts though it knows of a later process of its name")

    def _knows_later_process(self, index: int) -> bool:
        identity = self.members[index].identity
        item = self.store.keys.get(identity.key)
        if item is None or item.revision >= (self.watched_from[index] or 0):
            return False
        return MemberRecord.decode(item.value, item.revision).nonce != identity.nonce

    def check_settled(self) -> None:
        """Raise InvariantError unless each role has a leader that may act, and each name a joined process."""
        for index, member in enumerate(self.members):
            if self._should_be_joined(index) and member.state != MemberState.JOINED:
                raise InvariantError(
                    f"the latest process of {member.identity.name} has not joined: it is {member.state}"
                )
        alive = [
            index
            for index, member in enumerate(self.members)
            if index not in self.crashed and member.state != MemberState.LEFT
        ]
        for role in self.roles:
            tokens = [self.members[index].fencing_token(role, self.clock(index)) for index in alive]
            if alive and not any(tokens):
                raise InvariantError(f"{role} has no leader though the faults are over")

    def _should_be_joined(self, index: int) -> bool:
        if index in self.crashed:
            return False
        identity = self.members[index].identity
        has_later_process = any(
            other.identity.name == identity.name and other.identity.incarnation > identity.incarnation
            for other in self.members
        )
        return not has_later_process or not identity.incarnation

    def settle(self) -> None:
        """End the faults, and let the fleet reach a steady state.

        Delayed calls and effects under way are lost, delayed replies are delivered, and paused processes
        resume. From then on all calls, replies and notifications are handled at once and in order.
        """
        self.faults = 0
        self.effects = []
        self.replies = self.replies + self.delayed_replies
        self.delayed_replies = []
        self.is_paused = [index in self.crashed for index in range(len(self.members))]
        orderly = (ActionKind.EXECUTE_CALL, ActionKind.DELIVER_REPLY, ActionKind.NOTIFY_MEMBER)
        for _ in range(SETTLING_STEPS):
            self.act(ActionKind.ADVANCE_TIME)
            for _ in range(MAX_ACTIONS_PER_SETTLING_STEP):
                action = next((action for action in self.actions() if action.kind in orderly), None)
                if action is None:
                    break
                self.act(*action)

    # Fingerprints

    def fingerprint(self) -> tuple:
        """Return a value that is equal for two states that differ in absolute time only."""
        return (
            tuple(self._member_fingerprint(index) for index in range(len(self.members))),
            tuple(tuple(item) for _, item in sorted(self.store.keys.items())),
            tuple((lease, end - self.now) for lease, end in sorted(self.store.leases.items())),
            tuple((index, call.purpose, call.request) for index, call in self.calls),
            tuple((index, call.purpose, reply) for index, call, reply in self.replies),
            tuple((index, call.purpose, reply) for index, call, reply in self.delayed_replies),
            tuple(self.delayed_requests),
            tuple((effect.role, effect.token) for effect in self.effects),
            tuple(self.watched_from),
            tuple(self.is_paused),
            tuple(sorted(self.crashed)),
            self.faults,
            self.joining_name,
        )

    def _member_fingerprint(self, index: int) -> tuple:
        member = self.members[index]
        claims = member.claims
        now = self.clock(index)
        return (
            member.state,
            member.lease.id,
            max(0, member.lease.valid_until - now),
            member.identity.key_revision,
            member.is_ready,
            tuple(sorted(claims.tokens.items())),
            tuple(sorted(claims.to_release.items())),
            tuple(sorted((role, max(0, at - now)) for role, at in claims.claim_at.items())),
            tuple(sorted(claims.own_key_revisions.items())),
            tuple(claims.unverified),
            tuple(sorted(member.members)),
            tuple(max(0, at - now) for at in member.calls.retry_at.values()),
            member.must_read_members,
            member.calls.void_until == member.calls.last_number,
        )
