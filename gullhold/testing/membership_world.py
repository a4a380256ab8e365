"""A world of members for explorers: a model of the store, members on clocks of their own, calls under way.

The members' clocks run within the stated drift. The rules of leadership are checked after every action.
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

CLOCK_RATES = (0.87, 1.0, 1.1)  # of members' clocks against the store's: within the drift of 0.15
# Of these roles "a" leads the first alone, and "c" the second until "b" joins.
ROLES = ("d0", "d5")
NAMES = ("a", "c")
LATE_NAME = "b"
RULES = MembershipRules(
    TERMS,
    settle_us=0,
    moves_per_second=100,
    min_backoff_us=50_000,
    max_backoff_us=100_000,
    leave_timeout_us=500_000,
)
FIXED_FRACTION = 0.5  # in place of a random one: delays are the same in every run
START_US = 10_000_000
MAX_EFFECTS = 2  # that are under way at once
SETTLING_STEPS = 60  # moments in which a fleet without faults has to lead every role
MAX_ACTIONS_PER_SETTLING_STEP = 40  # in one such moment


def fixed_fraction() -> float:
    """What a member takes for a random fraction."""
    return FIXED_FRACTION


MakeMember = Callable[..., Membership]


class World:
    """Members, store, and what is under way. act() takes one of actions(); raises InvariantError."""

    def __init__(
        self, names: tuple[str, ...], roles: tuple[str, ...], make: MakeMember = Membership, faults: int = 3
    ) -> None:
        """faults: how many may happen."""
        self.now = START_US
        self.store = StoreModel(MEMBERS_PREFIX, TERMS.ttl_s)
        self.make = make
        self.roles = roles
        self.faults = faults
        self.members: list[Membership] = []
        self.rates: list[float] = []  # of the members' clocks
        self.next_watched: list[int | None] = []  # from which revision each is notified
        self.is_asleep: list[bool] = []
        self.dead: set[int] = set()
        self.calls: list[SentCall] = []
        self.replies: list[SentReply] = []
        self.late_replies: list[SentReply] = []
        self.late_requests: list[Request] = []
        self.effects: list[SentEffect] = []
        self.processes = 0
        self.late_name = LATE_NAME
        for name in names:
            self.add(name)

    def add(self, name: str) -> None:
        """Start a process."""
        index = len(self.members)
        self.processes += 1
        self.rates.append(CLOCK_RATES[index % len(CLOCK_RATES)])
        nonce = f"x{self.processes}"
        member = self.make(name, nonce, RULES, self.roles, fixed_fraction, self.clock(index))
        self.members.append(member)
        self.next_watched.append(None)
        self.is_asleep.append(False)
        self._tick(index)

    def clock(self, index: int) -> int:
        """What a member's clock shows."""
        return int(self.now * self.rates[index])

    def _tick(self, index: int) -> None:
        self.members[index].tick(self.clock(index))
        self._collect(index)

    def _collect(self, index: int) -> None:
        for action in self.members[index].take_actions():
            match action:
                case CallStore(call):
                    self.calls.append(SentCall(index, call))
                case WatchMembers(revision):
                    self.next_watched[index] = revision

    # What can be next

    def actions(self) -> list[Action]:
        """All that can be next."""
        found = [Action(ActionKind.ADVANCE_TIME)]
        for number in range(len(self.calls)):
            found.append(Action(ActionKind.EXECUTE_CALL, number))
            if self.faults:
                found += [Action(fault, number) for fault in CALL_FAULTS]
        found += self._of_replies(ActionKind.RELEASE_REPLY, self.late_replies)
        found += self._of_replies(ActionKind.DELIVER_REPLY, self.replies)
        found += [
            Action(ActionKind.EXECUTE_DELAYED_CALL, number) for number in range(len(self.late_requests))
        ]
        found += [Action(ActionKind.EXECUTE_EFFECT, number) for number in range(len(self.effects))]
        if self.late_name:
            found.append(Action(ActionKind.JOIN))
        for index in range(len(self.members)):
            found += self._of_member(index)
        return found

    def _of_replies(self, kind: ActionKind, replies: list[SentReply]) -> list[Action]:
        return [
            Action(kind, number) for number, reply in enumerate(replies) if not self.is_asleep[reply.member]
        ]

    def _of_member(self, index: int) -> list[Action]:
        member = self.members[index]
        if self.is_asleep[index]:
            return [] if index in self.dead else [Action(ActionKind.RESUME, index)]
        found = []
        if self.faults and member.state == MemberState.JOINED:
            found.append(Action(ActionKind.PAUSE, index))
            found.append(Action(ActionKind.CRASH, index))
        if self.faults and member.state != MemberState.LEFT:
            found.append(Action(ActionKind.RESTART, index))
        if self._unwatched(index):
            found.append(Action(ActionKind.NOTIFY_MEMBER, index))
        if len(self.effects) < MAX_EFFECTS:
            for role in self.roles:
                if member.fencing_token(role, self.clock(index)):
                    found.append(Action(ActionKind.BEGIN_EFFECT, index, role))
        return found

    def _unwatched(self, index: int) -> list[Change]:
        """Changes of which a member is to be notified."""
        first = self.next_watched[index]
        return [change for change in self.store.changes if first is not None and change[0] >= first]

    # What happens

    def act(self, kind: ActionKind, index: int = 0, role: str = "") -> None:
        """Do one thing; raises InvariantError."""
        if kind in FAULTS:
            self.faults -= 1
        if kind in CALL_FAULTS:
            self._fail_call(kind, *self.calls.pop(index))
        else:
            self._do(kind, index, role)
        self.check()

    def _do(self, kind: ActionKind, index: int, role: str) -> None:
        match kind:
            case ActionKind.ADVANCE_TIME:
                self._pass_time()
            case ActionKind.EXECUTE_CALL:
                member, call = self.calls.pop(index)
                self.replies.append(SentReply(member, call, self.store.call(call.request, self.now)))
            case ActionKind.RELEASE_REPLY:
                self.replies.append(self.late_replies.pop(index))
            case ActionKind.DELIVER_REPLY:
                member, call, reply = self.replies.pop(index)
                self.members[member].call_replied(self.clock(member), call, reply)
                self._collect(member)
            case ActionKind.EXECUTE_DELAYED_CALL:
                self.store.call(self.late_requests.pop(index), self.now)
            case ActionKind.BEGIN_EFFECT:
                self._begin_effect(index, role)
            case ActionKind.EXECUTE_EFFECT:
                self._land(self.effects.pop(index))
            case _:
                self._do_to_member(kind, index)

    def _do_to_member(self, kind: ActionKind, index: int) -> None:
        match kind:
            case ActionKind.PAUSE:
                self.is_asleep[index] = True
            case ActionKind.CRASH:
                self.is_asleep[index] = True
                self.dead.add(index)
            case ActionKind.RESUME:
                self.is_asleep[index] = False
                self._tick(index)
            case ActionKind.NOTIFY_MEMBER:
                self._notify(index)
            case ActionKind.JOIN:
                self.add(self.late_name)
                self.late_name = ""
            case ActionKind.RESTART:
                self.add(self.members[index].identity.name)

    def _pass_time(self) -> None:
        self.now += QUANTUM_US
        self.store.expire_leases(self.now)
        for index, is_asleep in enumerate(self.is_asleep):
            if not is_asleep:
                self._tick(index)

    def _notify(self, index: int) -> None:
        for revision, key, value in self._unwatched(index):
            self.next_watched[index] = revision + 1
            self.members[index].member_changed(self.clock(index), key, value, revision)
            self._collect(index)

    def _fail_call(self, kind: ActionKind, member: int, call: PendingCall) -> None:
        match kind:
            case ActionKind.DELAY_REPLY:
                reply = self.store.call(call.request, self.now)
                self.late_replies.append(SentReply(member, call, reply))
                return
            case ActionKind.DELAY_CALL:
                self.late_requests.append(call.request)
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

    def _land(self, effect: SentEffect) -> None:
        reply = self.store.call(effect.request, self.now)
        if reply.proof != Proof.DONE or not reply.succeeded:
            return
        role, token, _ = effect
        if token < self.store.accepted_tokens.get(role, 0):
            raise InvariantError(
                f"an effect on {role} under {token} after {self.store.accepted_tokens[role]}"
            )
        leader = self.store.keys.get(ROLES_PREFIX + role)
        if leader is None or leader.revision != token:
            raise InvariantError(f"an effect on {role} under {token}, which is nobody's")
        self.store.accepted_tokens[role] = token

    # What is checked

    def check(self) -> None:
        """What holds at every moment: one leader of a role, under its own token."""
        for role in self.roles:
            leader = self.store.keys.get(ROLES_PREFIX + role)
            acting = []
            for index, member in enumerate(self.members):
                token = member.fencing_token(role, self.clock(index))
                if token:
                    acting.append((index, token))
            if len(acting) > 1:
                raise InvariantError(f"{role} has {len(acting)} owners at once: {acting}")
            for index, token in acting:
                name = self.members[index].identity.name
                if leader is None or leader.revision != token:
                    raise InvariantError(f"{name} acts on {role} under {token}, which is not its own")
                if self._knows_later_process(index):
                    raise InvariantError(f"{name} acts though it knows a later process of its name")

    def _knows_later_process(self, index: int) -> bool:
        identity = self.members[index].identity
        item = self.store.keys.get(identity.key)
        if item is None or item.revision >= (self.next_watched[index] or 0):
            return False
        return MemberRecord.decode(item.value, item.revision).nonce != identity.nonce

    def check_settled(self) -> None:
        """Raise InvariantError unless each role has a leader that may act and each name a live process."""
        for index, member in enumerate(self.members):
            if self._should_be_in(index) and member.state != MemberState.JOINED:
                raise InvariantError(
                    f"the process of {member.identity.name} that joined last is {member.state}"
                )
        alive = [
            index
            for index, member in enumerate(self.members)
            if index not in self.dead and member.state != MemberState.LEFT
        ]
        for role in self.roles:
            tokens = [self.members[index].fencing_token(role, self.clock(index)) for index in alive]
            if alive and not any(tokens):
                raise InvariantError(f"{role} has no owner though nothing is wrong any more")

    def _should_be_in(self, index: int) -> bool:
        if index in self.dead:
            return False
        identity = self.members[index].identity
        has_later_process = any(
            other.identity.name == identity.name and other.identity.incarnation > identity.incarnation
            for other in self.members
        )
        return not has_later_process or not identity.incarnation

    def settle(self) -> None:
        """No more faults: what was held back is lost, who sleeps wakes, everything is carried out in turn."""
        self.faults = 0
        self.effects = []
        self.replies = self.replies + self.late_replies
        self.late_replies = []
        self.is_asleep = [index in self.dead for index in range(len(self.members))]
        orderly = (ActionKind.EXECUTE_CALL, ActionKind.DELIVER_REPLY, ActionKind.NOTIFY_MEMBER)
        for _ in range(SETTLING_STEPS):
            self.act(ActionKind.ADVANCE_TIME)
            for _ in range(MAX_ACTIONS_PER_SETTLING_STEP):
                action = next((action for action in self.actions() if action.kind in orderly), None)
                if action is None:
                    break
                self.act(*action)

    # What tells states apart

    def fingerprint(self) -> tuple:
        """What makes two states the same: all but absolute time."""
        return (
            tuple(self._member_fingerprint(index) for index in range(len(self.members))),
            tuple(tuple(item) for _, item in sorted(self.store.keys.items())),
            tuple((lease, end - self.now) for lease, end in sorted(self.store.leases.items())),
            tuple((index, call.purpose, call.request) for index, call in self.calls),
            tuple((index, call.purpose, reply) for index, call, reply in self.replies),
            tuple((index, call.purpose, reply) for index, call, reply in self.late_replies),
            tuple(self.late_requests),
            tuple((effect.role, effect.token) for effect in self.effects),
            tuple(self.next_watched),
            tuple(self.is_asleep),
            tuple(sorted(self.dead)),
            self.faults,
            self.late_name,
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
