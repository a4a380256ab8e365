"""The world in which rollouts are explored: members, coordinators, a store, and what must hold.

What a member's core really goes by, and when it dispatches, is kept by the world; what members say of
themselves is not believed.
"""

from typing import Any

from gullhold.fleet.store_calls import GrantLease
from gullhold.rollout.member_actions import AdoptVersion, CallStore, StopDispatching, WatchPolicy
from gullhold.rollout.policy_change import Canary, OnSilence, Overlap, PolicyChange
from gullhold.rollout.policy_version import PolicyVersion
from gullhold.rollout.proposal import proposal_transaction
from gullhold.rollout.rollout_coordinator import RolloutCoordinator
from gullhold.rollout.store_schema import (
    CHANGE_KEY,
    CURRENT_KEY,
    ROLE,
    ROLLOUT_PREFIX,
    WATCHED_PREFIX,
    decode_version,
)
from gullhold.testing.action_kind import CALL_FAULTS, ActionKind
from gullhold.testing.role_pair_world import QUANTUM_US, RATES, TERMS, RolePairWorld
from gullhold.testing.rollout_history import REFUSED_TEXT, REFUSING_NAME, RolloutHistory
from gullhold.testing.rollout_variant import RolloutVariant
from gullhold.testing.simulated_rollout_member import SimulatedMember
from gullhold.testing.store_model import Model
from gullhold.testing.walking import InvariantError

Action = tuple[Any, ...]  # (kind, argument of the kind)
NAMES = ("a", "b", "c")
FAULTS = (*CALL_FAULTS, ActionKind.DIE, ActionKind.CUT, ActionKind.ELECT, ActionKind.MISS, ActionKind.DEAF)
GOOD_TEXT = "good"
SETTLING_STEPS = 40  # steps of time in which a world without faults has to settle
MAX_CALLS_IN_STEP = 80  # calls and replies that are carried out in one of them at most
PATIENCE_US = 4 * QUANTUM_US
CANARY_SHARE = 0.4  # of the members: one of three


class World(RolePairWorld):
    """Members, coordinators, the store, and calls under way.

    act() takes one of actions(); raises InvariantError. proposed: number of the last proposal; history:
    what came into force.
    """

    def __init__(self, overlap: Overlap, faults: int = 6, **variant: Any) -> None:
        """overlap: of all changes; variant: fields of RolloutVariant."""
        self.variant = RolloutVariant(**variant)
        coordinators = [self.variant.make_coordinator() for _ in range(2)]
        super().__init__(Model(ROLLOUT_PREFIX), "duties/" + ROLE, ROLLOUT_PREFIX, coordinators, faults)
        self.overlap = overlap
        self.proposed = 0
        self.history = RolloutHistory(overlap, self.now)
        for name in NAMES:
            self._do_come(name)
        self._do_elect(0)

    @staticmethod
    def fits(version: PolicyVersion, name: str) -> str:
        """Return what keeps a member from running a version: one is refused by one member alone."""
        return "no such tenant" if version.text == REFUSED_TEXT and name == REFUSING_NAME else ""

    def _collect_member(self, member: SimulatedMember) -> None:
        for action in member.decisions.take_actions():
            match action:
                case CallStore(serial, request):
                    self.calls.append((member, request, ("replied", serial)))
                case AdoptVersion() | StopDispatching():
                    member.core_queue.append(action)
                case WatchPolicy(revision):
                    member.watched_from = revision

    def _step(self, member: SimulatedMember) -> None:
        member.decisions.step(member(), member.lease.id if member.lease.is_valid(member()) else 0)
        self._collect_member(member)

    def _hears(self, member: SimulatedMember) -> bool:
        return not member.cut and bool(self.changes_since(member.watched_from, WATCHED_PREFIX))

    def _missing_names(self) -> list[str]:
        present = {member.name for member in self.members}
        return [name for name in NAMES if name not in present]

    # What may happen

    def actions(self) -> list[Action]:
        """All that may be next."""
        found: list[Action] = [(ActionKind.TIME,)]
        found += self.call_actions() + self.holder_actions()
        if self.may_propose():
            found += [(ActionKind.PROPOSE, GOOD_TEXT), (ActionKind.PROPOSE, REFUSED_TEXT)]
        for index, member in enumerate(self.members):
            found += self._actions_of(index, member)
        found += [(ActionKind.COME, name) for name in self._missing_names()]
        return found

    def _actions_of(self, index: int, member: SimulatedMember) -> list[Action]:
        found: list[Action] = []
        if member.gate.may_dispatch():
            found.append((ActionKind.SEND, index))
        if member.core_queue:
            found.append((ActionKind.CORE, index))
        if self._hears(member):
            found.append((ActionKind.HEAR, index))
        if self.faults:
            found += [
                (ActionKind.DIE, index),
                (ActionKind.HEAL if member.cut else ActionKind.CUT, index),
                (ActionKind.DEAF, index),
            ]
        elif member.cut:
            found.append((ActionKind.HEAL, index))
        return found

    def next_orderly_action(self) -> Action | None:
        """What happens next where nothing is wrong; None: nothing is under way."""
        action = super().next_orderly_action()
        if action:
            return action
        for index, member in enumerate(self.members):
            if member.core_queue:
                return ActionKind.CORE, index
            if self._hears(member):
                return ActionKind.HEAR, index
        return None

    def may_propose(self) -> bool:
        """One change is open at a time."""
        return CHANGE_KEY not in self.model.keys

    def act(self, kind: ActionKind, argument: Any = 0) -> None:
        """Do one thing; raises InvariantError."""
        self.faults -= kind in FAULTS
        self.HANDLERS[kind](self, argument)
        self.history.observe(self.model.keys, self.members, self.now)
        self.check()

    # What must hold

    @property
    def decided(self) -> int:
        """Number of the version in force."""
        return self.history.decided

    def check(self) -> None:
        """Raise InvariantError where a member that may dispatch goes by a version that it must not."""
        for member in self.members:
            if member.gate.may_dispatch():
                self.history.check_dispatch(member, self.now)

    def _do_send(self, index: int) -> None:
        self.history.check_dispatch(self.members[index], self.now)

    # Actions

    def _do_time(self, _: int) -> None:
        self.now += QUANTUM_US
        for member in self.members:
            self._renew_lease(member)
            self._step(member)
        self._step_holders()

    def _grant(self, member: SimulatedMember) -> None:
        member.lease.renew(self.model.call(GrantLease(TERMS.ttl_s), self.now).lease, member())
        member.watched_from = None

    def _do_reply(self, index: int) -> None:
        """Hand a reply to the holder that called, given by its index, or to the member that did."""
        caller, (method, *context), reply = self.replies.pop(index)
        if method != "replied":
            self._call_holder(caller, method, *context, reply)
        elif caller in self.members:
            caller.decisions.replied(caller(), *context, reply)
            self._collect_member(caller)

    def _do_hear(self, index: int) -> None:
        member = self.members[index]
        changes = self.changes_since(member.watched_from, WATCHED_PREFIX)
        first_revision = changes[0][0]
        member.watched_from = first_revision + 1
        for revision, key, value in changes:
            if revision == first_revision:
                member.decisions.changed(member(), key, value, revision)
                self._collect_member(member)

    def _do_core(self, index: int) -> None:
        """The core's thread comes to the next thing that it was asked for."""
        member = self.members[index]
        match member.core_queue.pop(0):
            case AdoptVersion(serial, version):
                member.number = version.number
                member.text = version.text
                member.decisions.adopted(member(), serial)
            case StopDispatching(number):
                member.decisions.stopped(member(), number)
        self._collect_member(member)

    def _do_deaf(self, index: int) -> None:
        """Its watch lost what changed."""
        member = self.members[index]
        member.watched_from = None
        member.decisions.watch_gap(member())
        self._collect_member(member)

    def _do_propose(self, text: str) -> None:
        self.proposed += 1
        version = PolicyVersion(self.proposed, self.history.decided, "", "", 0, text).sealed()
        has_canary = self.overlap == Overlap.LOOSE and self.proposed % 2
        change = PolicyChange(
            version,
            overlap=self.overlap,
            on_silence=OnSilence.DROP,
            patience_us=PATIENCE_US,
            canary=Canary(CANARY_SHARE, 2 * PATIENCE_US) if has_canary else None,
        )
        self.model.call(proposal_transaction(change, self.model.keys), self.now)

    def _do_come(self, name: str) -> None:
        member = SimulatedMember(self, name, RATES[NAMES.index(name)])
        self.members.append(member)
        self._grant(member)
        self._step(member)

    def _do_die(self, index: int) -> None:
        member = self.members.pop(index)
        self.calls = [call for call in self.calls if call[0] is not member]

    # States

    def mark(self) -> tuple:
        """What makes two states the same: all but absolute time."""
        return (
            tuple(self._mark_of_member(member) for member in self.members),
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
    def _mark_of_member(member: SimulatedMember) -> tuple:
        return (
            member.name,
            member.cut,
            member.number,
            member.decisions.state,
            member.gate.is_stopped,
            member.gate.may_dispatch(),
            member.watched_from,
            str(member.decisions.vote),
            tuple(str(action) for action in member.core_queue),
            max(0, member.lease.valid_until - member()),
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
        for member in self.members:
            member.cut = False
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
        for member in self.members:
            may_dispatch = member.gate.may_dispatch()
            if is_refused and member.name == REFUSING_NAME:
                if may_dispatch:
                    raise InvariantError(f"{member.name} sends though it can't run what is in force")
            elif not may_dispatch or member.number != self.decided:
                state = member.decisions.state
                raise InvariantError(
                    f"{member.name} is {state} under {member.number}, {self.decided} in force"
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
