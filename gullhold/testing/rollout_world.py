"""The world in which rollouts are explored: members, coordinators, a store, and what must hold.

What a member's core really goes by, and when it dispatches, is kept by the world; what members say of
themselves is not believed.
"""

from typing import Any

from gullhold.fleet.clocks import US_PER_SECOND
from gullhold.fleet.store_calls import GrantLease
from gullhold.rollout.member_actions import AdoptVersion, CallStore, StopDispatching, WatchPolicy
from gullhold.rollout.policy_change import Canary, ChangeState, OnSilence, Overlap, PolicyChange
from gullhold.rollout.policy_gate import CutOffRule, PolicyGate
from gullhold.rollout.policy_version import PolicyVersion
from gullhold.rollout.proposal import current_version, propose
from gullhold.rollout.rollout_coordinator import RolloutCoordinator
from gullhold.rollout.rollout_member import RolloutMember
from gullhold.rollout.store_schema import (
    CHANGE_KEY,
    CURRENT_KEY,
    ROLE,
    ROOT,
    VOTES,
    WATCHED,
    decode_change,
    decode_version,
)
from gullhold.testing.action_kind import CALL_FAULTS, ActionKind
from gullhold.testing.role_pair_world import QUANTUM_US, RATES, TERMS, RolePairWorld
from gullhold.testing.simulated_rollout_member import SimulatedMember
from gullhold.testing.store_model import Model
from gullhold.testing.walking import InvariantError

Action = tuple[Any, ...]  # (kind, argument of the kind)
NAMES = ("a", "b", "c")
REFUSING_NAME = "b"  # the member that refuses REFUSED_TEXT
FAULTS = (*CALL_FAULTS, ActionKind.DIE, ActionKind.CUT, ActionKind.ELECT, ActionKind.MISS, ActionKind.DEAF)
GOOD_TEXT = "good"
REFUSED_TEXT = "bad"  # a policy that one member refuses
SETTLING_STEPS = 40  # steps of time in which a world without faults has to settle
MAX_CALLS_IN_STEP = 80  # calls and replies that are carried out in one of them at most
PATIENCE_US = 4 * QUANTUM_US
MAX_OVERLAP_US = TERMS.ttl_s * US_PER_SECOND  # for which members may dispatch under different versions
CANARY_SHARE = 0.4  # of the members: one of three


class World(RolePairWorld):
    """Members, coordinators, the store, and calls under way.

    act() takes one of actions(); raises InvariantError.
    make: what to make of "member", "gate", "coordinator": the
    product's, or a mutant's; cut: the members' rule.
    """

    def __init__(self, overlap: Overlap, faults: int = 6, **make: Any) -> None:
        self.make: dict[str, Any] = {
            "member": RolloutMember,
            "gate": PolicyGate,
            "coordinator": RolloutCoordinator,
            "cut": CutOffRule.KEEP,
        } | make
        coordinators = [self.make["coordinator"]() for _ in range(2)]
        super().__init__(Model(ROOT), "duties/" + ROLE, ROOT, coordinators, faults)
        self.overlap = overlap
        self.proposed = 0  # number of the last proposal
        self.decided = 0  # number of the version in force
        self.decided_at = {0: self.now}  # by number
        self.order = [0]  # numbers in the order in which they came into force
        self.is_open = False  # whether a change was open at the last look
        self.canaries: dict[int, tuple[int, tuple[str, ...]]] = {}  # by number: when last, and its members
        for name in NAMES:
            self._do_come(name)
        self._do_elect(0)

    @staticmethod
    def fits(version: PolicyVersion, name: str) -> str:
        """What keeps a member from running a version: one is refused by one member alone."""
        return "no such tenant" if version.text == REFUSED_TEXT and name == REFUSING_NAME else ""

    def _collect_member(self, one: SimulatedMember) -> None:
        for action in one.member.take_actions():
            match action:
                case CallStore(serial, request):
                    self.calls.append((one, request, ("replied", serial)))
                case AdoptVersion() | StopDispatching():
                    one.core_queue.append(action)
                case WatchPolicy(revision):
                    one.watched_from = revision

    def _step(self, one: SimulatedMember) -> None:
        one.member.step(one(), one.lease.id if one.lease.is_valid(one()) else 0)
        self._collect_member(one)

    def _hears(self, one: SimulatedMember) -> bool:
        return not one.cut and bool(self.changes_since(one.watched_from, WATCHED))

    def _missing_names(self) -> list[str]:
        present = {one.name for one in self.members}
        return [name for name in NAMES if name not in present]

    # What may happen

    def actions(self) -> list[Action]:
        """All that may be next."""
        found: list[Action] = [(ActionKind.TIME,)]
        found += self.call_actions() + self.holder_actions()
        if self.may_propose():
            found += [(ActionKind.PROPOSE, GOOD_TEXT), (ActionKind.PROPOSE, REFUSED_TEXT)]
        for i, one in enumerate(self.members):
            found += self._actions_of(i, one)
        found += [(ActionKind.COME, name) for name in self._missing_names()]
        return found

    def _actions_of(self, i: int, one: SimulatedMember) -> list[Action]:
        found: list[Action] = []
        if one.gate.may_dispatch():
            found.append((ActionKind.SEND, i))
        if one.core_queue:
            found.append((ActionKind.CORE, i))
        if self._hears(one):
            found.append((ActionKind.HEAR, i))
        if self.faults:
            found += [
                (ActionKind.DIE, i),
                (ActionKind.HEAL if one.cut else ActionKind.CUT, i),
                (ActionKind.DEAF, i),
            ]
        elif one.cut:
            found.append((ActionKind.HEAL, i))
        return found

    def next_orderly_action(self) -> Action | None:
        """What happens next where nothing is wrong; None: nothing is under way."""
        action = super().next_orderly_action()
        if action:
            return action
        for i, one in enumerate(self.members):
            if one.core_queue:
                return ActionKind.CORE, i
            if self._hears(one):
                return ActionKind.HEAR, i
        return None

    def may_propose(self) -> bool:
        """One change is open at a time."""
        return CHANGE_KEY not in self.model.keys

    def act(self, what: ActionKind, i: Any = 0) -> None:
        """Do one thing; raises InvariantError."""
        self.faults -= what in FAULTS
        self.HANDLERS[what](self, i)
        self._look_at_store()
        self.check()

    # What must hold

    def _look_at_store(self) -> None:
        current = current_version(self.model.keys)
        was_open = self.is_open
        self.is_open = CHANGE_KEY in self.model.keys
        if self.is_open:
            change = decode_change(self.model.keys[CHANGE_KEY].value)
            if change.state == ChangeState.CANARY:
                self.canaries[change.version.number] = (self.now, change.canary_members)
        if was_open and not self.is_open:
            self._check_in_force_everywhere(current)
        if current.number != self.decided:
            self._check_not_refused(current)
            self.decided = current.number
            self.decided_at[current.number] = self.now
            self.order.append(current.number)

    def _check_in_force_everywhere(self, current: PolicyVersion) -> None:
        """Staff hear that the version is in force everywhere."""
        late = [one.name for one in self.members if one.gate.may_dispatch() and one.number != current.number]
        if late:
            raise InvariantError(
                f"{late} go by another than {current.number}, which is said to be in force everywhere"
            )

    def _check_not_refused(self, current: PolicyVersion) -> None:
        if current.text != REFUSED_TEXT:
            return
        if any(one.name == REFUSING_NAME and one.gate.may_dispatch() for one in self.members):
            raise InvariantError(f"{current.number} is in force though {REFUSING_NAME} turned it down")

    def check(self) -> None:
        """All that could dispatch now would go by what may be gone by."""
        for i, one in enumerate(self.members):
            if one.gate.may_dispatch():
                self._do_send(i)

    def _do_send(self, i: int) -> None:
        """What is dispatched goes by what the core has."""
        one = self.members[i]
        if one.number not in self.order:
            if not self._is_canary(one):
                raise InvariantError(f"{one.name} sends under {one.number}, which was never decided")
            return
        if one.number == self.order[-1]:
            return
        if self.overlap == Overlap.STRICT:
            raise InvariantError(f"{one.name} sends under {one.number} when {self.order[-1]} is in force")
        successor = self.order[self.order.index(one.number) + 1]
        late_us = self.now - self.decided_at[successor]
        if late_us > MAX_OVERLAP_US:
            raise InvariantError(f"{one.name} sends under {one.number} {late_us} us after it was over")

    def _is_canary(self, one: SimulatedMember) -> bool:
        """Whether it may go by a version that is not decided, as a member of a canary that may still run."""
        tried_at, members = self.canaries.get(one.number, (0, ()))
        is_member = one.member.key().removeprefix(VOTES) in members
        return is_member and self.now <= tried_at + MAX_OVERLAP_US

    # Actions

    def _do_time(self, _: int) -> None:
        self.now += QUANTUM_US
        for one in self.members:
            self._renew_lease(one)
            self._step(one)
        self._step_holders()

    def _grant(self, one: SimulatedMember) -> None:
        one.lease.renew(self.model.call(GrantLease(TERMS.ttl_s), self.now).lease, one())
        one.watched_from = None

    def _do_reply(self, i: int) -> None:
        who, (what, *about), reply = self.replies.pop(i)
        if what != "replied":
            self._call_holder(who, what, *about, reply)
        elif who in self.members:
            who.member.replied(who(), *about, reply)
            self._collect_member(who)

    def _do_hear(self, i: int) -> None:
        one = self.members[i]
        news = self.changes_since(one.watched_from, WATCHED)
        first_revision = news[0][0]
        one.watched_from = first_revision + 1
        for revision, key, value in news:
            if revision == first_revision:
                one.member.changed(one(), key, value, revision)
                self._collect_member(one)

    def _do_core(self, i: int) -> None:
        """The core's thread comes to the next thing that it was asked for."""
        one = self.members[i]
        match one.core_queue.pop(0):
            case AdoptVersion(serial, version):
                one.number = version.number
                one.text = version.text
                one.member.adopted(one(), serial)
            case StopDispatching(number):
                one.member.stopped(one(), number)
        self._collect_member(one)

    def _do_deaf(self, i: int) -> None:
        """Its watch lost what changed."""
        one = self.members[i]
        one.watched_from = None
        one.member.watch_gap(one())
        self._collect_member(one)

    def _do_propose(self, text: str) -> None:
        self.proposed += 1
        version = PolicyVersion(self.proposed, self.decided, "", "", 0, text).sealed()
        has_canary = self.overlap == Overlap.LOOSE and self.proposed % 2
        change = PolicyChange(
            version,
            overlap=self.overlap,
            on_silence=OnSilence.DROP,
            patience_us=PATIENCE_US,
            canary=Canary(CANARY_SHARE, 2 * PATIENCE_US) if has_canary else None,
        )
        self.model.call(propose(change, self.model.keys), self.now)

    def _do_come(self, name: str) -> None:
        one = SimulatedMember(self, name, RATES[NAMES.index(name)])
        self.members.append(one)
        self._grant(one)
        self._step(one)

    def _do_die(self, i: int) -> None:
        one = self.members.pop(i)
        self.calls = [call for call in self.calls if call[0] is not one]

    # States

    def mark(self) -> tuple:
        """What makes two states the same: all but absolute time."""
        return (
            tuple(self._mark_of_member(one) for one in self.members),
            tuple((key, item.value, item.revision) for key, item in sorted(self.model.keys.items())),
            tuple((tag[0], str(request)) for _, request, tag in self.calls),
            tuple((tag[0], reply.proof, reply.succeeded) for _, tag, reply in self.replies),
            tuple(str(request) for request in self.delayed_requests),
            tuple(self.watched_from),
            self.leader,
            self.faults,
            tuple(self._mark_of_coordinator(coordinator) for coordinator in self.holders),
        )

    @staticmethod
    def _mark_of_member(one: SimulatedMember) -> tuple:
        return (
            one.name,
            one.cut,
            one.number,
            one.member.state,
            one.gate.is_stopped,
            one.gate.may_dispatch(),
            one.watched_from,
            str(one.member.vote),
            tuple(str(action) for action in one.core_queue),
            max(0, one.lease.valid_until - one()),
        )

    @staticmethod
    def _mark_of_coordinator(coordinator: RolloutCoordinator) -> tuple:
        return (
            coordinator.token,
            coordinator.is_loaded,
            bool(coordinator.reading),
            bool(coordinator.writing),
            coordinator.enrollment_revision,
            coordinator.change_revision,
            len(coordinator.votes.votes),
        )

    def calm(self) -> None:
        """No more faults: all is carried out in turn, missing members come, one coordinator leads."""
        self.faults = 0
        self.delayed_requests = []
        self.holders[1 - self.leader].lost()
        for one in self.members:
            one.cut = False
        for name in self._missing_names():
            self.act(ActionKind.COME, name)
        for _ in range(SETTLING_STEPS):
            self.act(ActionKind.TIME)
            self.finish_calls(MAX_CALLS_IN_STEP)

    def settled(self) -> None:
        """Raises InvariantError unless every member goes by what is in force, and no change is left open."""
        keys = self.model.keys
        if CHANGE_KEY in keys:
            raise InvariantError(f"a change stays {keys[CHANGE_KEY].value[-120:]}")
        # It may have been decided while the member that refuses it was down.
        is_refused = CURRENT_KEY in keys and decode_version(keys[CURRENT_KEY].value).text == REFUSED_TEXT
        for one in self.members:
            may_dispatch = one.gate.may_dispatch()
            if is_refused and one.name == REFUSING_NAME:
                if may_dispatch:
                    raise InvariantError(f"{one.name} sends though it can't run what is in force")
            elif not may_dispatch or one.number != self.decided:
                raise InvariantError(
                    f"{one.name} is {one.member.state} under {one.number}, {self.decided} in force"
                )

    HANDLERS = RolePairWorld.HANDLERS | {
        ActionKind.SEND: _do_send,
        ActionKind.TIME: _do_time,
        ActionKind.REPLY: _do_reply,
        ActionKind.HEAR: _do_hear,
        ActionKind.CORE: _do_core,
        ActionKind.DEAF: _do_deaf,
        ActionKind.PROPOSE: _do_propose,
        ActionKind.COME: _do_come,
        ActionKind.DIE: _do_die,
    }
