"""The simulated world of rollouts: members, two candidates for the coordinator role, and a model store.

The world itself records which version each member's core uses and when it may dispatch; it does not rely on
what members report.
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
from gullhold.testing.store_model import StoreModel
from gullhold.testing.walking import InvariantError

Action = tuple[Any, ...]  # (kind, argument of the kind)
NAMES = ("a", "b", "c")
FAULTS = (
    *CALL_FAULTS,
    ActionKind.CRASH,
    ActionKind.DISCONNECT,
    ActionKind.ELECT,
    ActionKind.MISS_CHANGES,
    ActionKind.LOSE_WATCH,
)
GOOD_TEXT = "good"  # a policy that every member can run
SETTLING_STEPS = 40  # steps of time within which a world without faults has to settle
MAX_ACTIONS_PER_SETTLING_STEP = 80  # limit of the actions that carry out what is under way
PATIENCE_US = 4 * QUANTUM_US  # how long a change waits for votes
CANARY_SHARE = 0.4  # share of the members in a canary: rounded, one out of three


class World(RolePairWorld):
    """Members, two candidates for the coordinator role, the store, and the calls under way.

    act() carries out one of actions(). proposed: number of the version that was proposed last; history: the
    versions that came into force.
    """

    def __init__(self, overlap: Overlap, faults: int = 6, **variant: Any) -> None:
        """overlap: of all changes; faults: how many may still happen; variant: fields of RolloutVariant."""
        self.variant = RolloutVariant(**variant)
        coordinators = [self.variant.make_coordinator() for _ in range(2)]
        super().__init__(StoreModel(ROLLOUT_PREFIX), "duties/" + ROLE, ROLLOUT_PREFIX, coordinators, faults)
        self.overlap = overlap
        self.proposed = 0
        self.history = RolloutHistory(overlap, self.now)
        for name in NAMES:
            self._do_join(name)
        self._do_elect(0)

    @staticmethod
    def reason_unusable(version: PolicyVersion, name: str) -> str:
        """Return why a member can't run a version; empty if it can.

        Only the member REFUSING_NAME refuses a version, and only if its text is REFUSED_TEXT.
        """
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

    def _has_changes(self, member: SimulatedMember) -> bool:
        return not member.is_disconnected and bool(self.changes_since(member.watched_from, WATCHED_PREFIX))

    def _missing_names(self) -> list[str]:
        present = {member.name for member in self.members}
        return [name for name in NAMES if name not in present]

    # Possible actions

    def actions(self) -> list[Action]:
        """Return all actions that are possible now."""
        found: list[Action] = [(ActionKind.ADVANCE_TIME,)]
        found += self.call_actions() + self.candidate_actions()
        if self.may_propose():
            found += [(ActionKind.PROPOSE, GOOD_TEXT), (ActionKind.PROPOSE, REFUSED_TEXT)]
        for index, member in enumerate(self.members):
            found += self._member_actions(index, member)
        found += [(ActionKind.JOIN, name) for name in self._missing_names()]
        return found

    def _member_actions(self, index: int, member: SimulatedMember) -> list[Action]:
        found: list[Action] = []
        if member.gate.may_dispatch():
            found.append((ActionKind.DISPATCH, index))
        if member.core_queue:
            found.append((ActionKind.PROCESS_CORE_REQUEST, index))
        if self._has_changes(member):
            found.append((ActionKind.NOTIFY_MEMBER, index))
        if self.faults:
            found += [
                (ActionKind.CRASH, index),
                (ActionKind.RECONNECT if member.is_disconnected else ActionKind.DISCONNECT, index),
                (ActionKind.LOSE_WATCH, index),
            ]
        elif member.is_disconnected:
            found.append((ActionKind.RECONNECT, index))
        return found

    def next_orderly_action(self) -> Action | None:
        """Return the next action in the order of a world without faults; None: nothing is under way."""
        action = super().next_orderly_action()
        if action:
            return action
        for index, member in enumerate(self.members):
            if member.core_queue:
                return ActionKind.PROCESS_CORE_REQUEST, index
            if self._has_changes(member):
                return ActionKind.NOTIFY_MEMBER, index
        return None

    def may_propose(self) -> bool:
        """Whether a change may be proposed: only one is open at a time."""
        return CHANGE_KEY not in self.store.keys

    def act(self, kind: ActionKind, argument: Any = 0) -> None:
        """Carry out one action; raises InvariantError."""
        self.faults -= kind in FAULTS
        self.HANDLERS[kind](self, argument)
        self.history.observe(self.store.keys, self.members, self.now)
        self.check()

    # Invariants

    @property
    def version_in_force(self) -> int:
        """Return the number of the version in force."""
        return self.history.version_in_force

    def check(self) -> None:
        """Raise InvariantError if a member may dispatch under a version that it must not use now."""
        for member in self.members:
            if member.gate.may_dispatch():
                self.history.check_dispatch(member, self.now)

    def _do_dispatch(self, index: int) -> None:
        self.history.check_dispatch(self.members[index], self.now)

    # Carrying out actions

    def _do_advance_time(self, _: int) -> None:
        self.now += QUANTUM_US
        for member in self.members:
            self._renew_lease(member)
            self._step(member)
        self._step_candidates()

    def _grant(self, member: SimulatedMember) -> None:
        member.lease.renew(self.store.call(GrantLease(TERMS.ttl_s), self.now).lease, member())
        member.watched_from = None

    def _do_deliver_reply(self, index: int) -> None:
        """Deliver a reply to the candidate (given by its index) or the member that sent the call."""
        caller, (method, *context), reply = self.replies.pop(index)
        if method != "replied":
            self._call_candidate(caller, method, *context, reply)
        elif caller in self.members:
            caller.decisions.replied(caller(), *context, reply)
            self._collect_member(caller)

    def _do_notify_member(self, index: int) -> None:
        member = self.members[index]
        changes = self.changes_since(member.watched_from, WATCHED_PREFIX)
        first_revision = changes[0][0]
        member.watched_from = first_revision + 1
        for revision, key, value in changes:
            if revision == first_revision:
                member.decisions.changed(member(), key, value, revision)
                self._collect_member(member)

    def _do_process_core_request(self, index: int) -> None:
        """Let the core's thread process the oldest request of its queue."""
        member = self.members[index]
        match member.core_queue.pop(0):
            case AdoptVersion(serial, version):
                member.version_number = version.number
                member.version_text = version.text
                member.decisions.adopted(member(), serial)
            case StopDispatching(number):
                member.decisions.stopped(member(), number)
        self._collect_member(member)

    def _do_lose_watch(self, index: int) -> None:
        """Tell a member that its watch missed changes; it has no watch until it has read the policy."""
        member = self.members[index]
        member.watched_from = None
        member.decisions.watch_gap(member())
        self._collect_member(member)

    def _do_propose(self, text: str) -> None:
        self.proposed += 1
        version = PolicyVersion(self.proposed, self.history.version_in_force, "", "", 0, text).sealed()
        has_canary = self.overlap == Overlap.LOOSE and self.proposed % 2
        change = PolicyChange(
            version,
            overlap=self.overlap,
            on_silence=OnSilence.DROP,
            patience_us=PATIENCE_US,
            canary=Canary(CANARY_SHARE, 2 * PATIENCE_US) if has_canary else None,
        )
        self.store.call(proposal_transaction(change, self.store.keys), self.now)

    def _do_join(self, name: str) -> None:
        member = SimulatedMember(self, name, RATES[NAMES.index(name)])
        self.members.append(member)
        self._grant(member)
        self._step(member)

    def _do_crash(self, index: int) -> None:
        member = self.members.pop(index)
        self.calls = [call for call in self.calls if call[0] is not member]

    # Fingerprints of states, and the orderly end of a walk

    def fingerprint(self) -> tuple:
        """Return a value that is equal for two states that differ in absolute time only."""
        return (
            tuple(self._member_fingerprint(member) for member in self.members),
            tuple((key, item.value, item.revision) for key, item in sorted(self.store.keys.items())),
            tuple((tag[0], str(request)) for _, request, tag in self.calls),
            tuple((tag[0], reply.proof, reply.succeeded) for _, tag, reply in self.replies),
            tuple(str(request) for request in self.delayed_requests),
            tuple(self.watched_from),
            self.leader,
            self.faults,
            tuple(self._coordinator_fingerprint(coordinator) for coordinator in self.candidates),
        )

    @staticmethod
    def _member_fingerprint(member: SimulatedMember) -> tuple:
        return (
            member.name,
            member.is_disconnected,
            member.version_number,
            member.decisions.state,
            member.gate.is_stopped,
            member.gate.may_dispatch(),
            member.watched_from,
            str(member.decisions.vote),
            tuple(str(action) for action in member.core_queue),
            max(0, member.lease.valid_until - member()),
        )

    @staticmethod
    def _coordinator_fingerprint(coordinator: RolloutCoordinator) -> tuple:
        return (
            coordinator.token,
            coordinator.is_loaded,
            bool(coordinator.reading),
            bool(coordinator.writing),
            coordinator.enrollment_revision,
            coordinator.change_revision,
            len(coordinator.votes.votes),
        )

    def settle(self) -> None:
        """End the faults, and let the fleet reach a steady state.

        Delayed calls are lost, missing members start, and one coordinator leads.
        """
        self.faults = 0
        self.delayed_requests = []
        self.candidates[1 - self.leader].lost()
        for member in self.members:
            member.is_disconnected = False
        for name in self._missing_names():
            self.act(ActionKind.JOIN, name)
        for _ in range(SETTLING_STEPS):
            self.act(ActionKind.ADVANCE_TIME)
            self.finish_calls(MAX_ACTIONS_PER_SETTLING_STEP)

    def check_settled(self) -> None:
        """Raise InvariantError unless every member uses the version in force, and no change is open."""
        keys = self.store.keys
        if CHANGE_KEY in keys:
            raise InvariantError(f"a change is still open: {keys[CHANGE_KEY].value[-120:]}")
        # The refused version may have been decided while the member that refuses it was down.
        is_refused = CURRENT_KEY in keys and decode_version(keys[CURRENT_KEY].value).text == REFUSED_TEXT
        for member in self.members:
            may_dispatch = member.gate.may_dispatch()
            if is_refused and member.name == REFUSING_NAME:
                if may_dispatch:
                    raise InvariantError(
                        f"{member.name} may dispatch though it can't run the version in force"
                    )
            elif not may_dispatch or member.version_number != self.version_in_force:
                state = member.decisions.state
                raise InvariantError(
                    f"{member.name} is {state} under version {member.version_number}, "
                    f"not under version {self.version_in_force}, which is in force"
                )

    HANDLERS = RolePairWorld.HANDLERS | {
        ActionKind.DISPATCH: _do_dispatch,
        ActionKind.ADVANCE_TIME: _do_advance_time,
        ActionKind.DELIVER_REPLY: _do_deliver_reply,
        ActionKind.NOTIFY_MEMBER: _do_notify_member,
        ActionKind.PROCESS_CORE_REQUEST: _do_process_core_request,
        ActionKind.LOSE_WATCH: _do_lose_watch,
        ActionKind.PROPOSE: _do_propose,
        ActionKind.JOIN: _do_join,
        ActionKind.CRASH: _do_crash,
    }
