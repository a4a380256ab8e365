"""One gateway's side of the policy and its changes. Decisions only: takes times, replies and changed keys.

A member dispatches only while its gate is open: it has read the policy in force, has enrolled under a lease
that certainly holds, and has not been asked to stop. So a member that is cut off stops by its own clock
before the others can decide without it, and one that starts reads the policy before it dispatches.
"""

from collections.abc import Callable
from typing import cast

from gullhold.fleet.role_state import IDLE_STEP_US, RETRY_US, LogEvent
from gullhold.fleet.store_calls import Get, Proof, Put, Reply, Transaction
from gullhold.rollout.call_slot import CallSlot
from gullhold.rollout.canary_figures import CanaryFigures
from gullhold.rollout.key_revisions import KeyRevisions
from gullhold.rollout.member_actions import (
    AdoptVersion,
    CallStore,
    MemberAction,
    StopDispatching,
    WatchPolicy,
)
from gullhold.rollout.member_state import CallPurpose, MemberState
from gullhold.rollout.policy_change import ChangeState, Overlap, PolicyChange
from gullhold.rollout.policy_gate import PolicyGate
from gullhold.rollout.policy_version import INITIAL_VERSION, PolicyError, PolicyVersion
from gullhold.rollout.store_schema import (
    CHANGE_KEY,
    CURRENT_KEY,
    ENROLLMENT_KEY,
    VOTES_PREFIX,
    decode_change,
    decode_version,
    encode_vote,
    vote_key,
)
from gullhold.rollout.vote import CommandFigures, Vote, VoteKind
from gullhold.rollout.vote_publisher import VotePublisher

REFRESHES_PER_LEASE = 3  # reads of the policy in force in the time for which one read is valid
UNUSABLE_RETRY_US = RETRY_US * 5  # us until a policy that can't be run here is read again: it rarely changes
VOTING_STATES = frozenset((ChangeState.CHECKED, ChangeState.CANARY, ChangeState.PREPARED))


class RolloutMember:
    """A member of the rollout. take_actions() hands out MemberActions; due() is when to step() at the latest.

    Times are us of a monotonic clock. version: the one in force here, or about to be. change: the open one.
    tried_change: number of the change that this member runs as part of the canary; 0: none.
    """

    def __init__(
        self,
        name: str,
        gate: PolicyGate,
        find_fault: Callable[[PolicyVersion], str],
        read_figures: Callable[[], CommandFigures] = lambda: CommandFigures(0, 0, 0),
    ) -> None:
        """find_fault(version): why it can't be run here, one line, "" if it can.

        read_figures(): figures on commands since the start of the process.
        """
        self.name = name
        self.gate = gate
        self.find_fault = find_fault
        self.state = MemberState.NO_LEASE
        self.actions: list[MemberAction] = []
        self.lease = 0
        self.version = INITIAL_VERSION
        self.change: PolicyChange | None = None
        # Calls
        self.calls = CallSlot()
        self.refresh_at = 0
        self.revisions = KeyRevisions()
        self.publisher = VotePublisher()
        # The core
        self.adoption_serial = 0
        self.tried_change = 0
        self.figures = CanaryFigures(read_figures)

    def take_actions(self) -> list[MemberAction]:
        """Return the actions to carry out now, in order."""
        actions = self.actions
        self.actions = []
        return actions

    def own_vote_key(self) -> str:
        """The key of this member's vote."""
        return vote_key(self.name, self.lease)

    def step(self, now: int, lease: int) -> None:
        """Take the next step, unless a call is under way. lease: id of this member's lease, 0: none."""
        if lease != self.lease:
            self._begin_lease(lease)
        if not lease or not self.calls.is_free(now):
            return
        match self.state:
            case MemberState.READING_POLICY:
                reads = (Get(CURRENT_KEY), Get(CHANGE_KEY), Get(ENROLLMENT_KEY))
                self._call(now, CallPurpose.READ_POLICY, Transaction((), reads))
            case MemberState.ENROLLING:
                self._call(now, CallPurpose.ENROLL, self._enrollment())
            case MemberState.ACTIVE:
                self._step_active(now)

    def _begin_lease(self, lease: int) -> None:
        self.lease = lease
        self.calls.reset()
        self.gate.enrolled_lease = 0
        self.gate.reopen()
        self.publisher.reset()
        self.change = None
        self.tried_change = 0
        self._become(MemberState.READING_POLICY if lease else MemberState.NO_LEASE)

    def _step_active(self, now: int) -> None:
        self._report_figures(now)
        if not self.publisher.is_stored():
            request = self.publisher.request(self.own_vote_key(), self.lease)
            self._call(now, CallPurpose.WRITE_VOTE, request)
        elif now >= self.refresh_at:
            reads = (Get(CURRENT_KEY), Get(CHANGE_KEY))
            self._call(now, CallPurpose.REFRESH, Transaction((), reads))

    def _enrollment(self) -> Transaction:
        """The transaction that writes the first vote if nothing has changed since the policy was read."""
        conditions = self.revisions.conditions((CURRENT_KEY, CHANGE_KEY, ENROLLMENT_KEY))
        vote = encode_vote(Vote(self.version.number))
        operations = (Put(self.own_vote_key(), vote, self.lease), Put(ENROLLMENT_KEY, self.name))
        return Transaction(conditions, operations)

    def due(self, now: int) -> int:
        """When to step() at the latest."""
        if not self.lease or self.calls.in_flight or self.state == MemberState.ADOPTING:
            return now + IDLE_STEP_US  # an event will come
        at = now
        if self.state == MemberState.ACTIVE and self.publisher.is_stored():
            at = self.refresh_at
            if self._reports_figures():
                at = min(at, self.figures.due_at)
        return max(now, at, self.calls.retry_at)

    def _reports_figures(self) -> bool:
        """Whether a canary runs: all members report figures on their commands, and this one has voted."""
        change = self.change
        if change is None or change.state != ChangeState.CANARY:
            return False
        return self._enrolled_vote.change == change.version.number

    def _report_figures(self, now: int) -> None:
        if self._reports_figures() and now >= self.figures.due_at:
            self._set_vote(self._enrolled_vote._replace(figures=self.figures.take(now)))

    def _call(self, now: int, purpose: CallPurpose, request: Transaction) -> None:
        self.actions.append(CallStore(self.calls.start(now, purpose), request))

    def _become(self, state: MemberState) -> None:
        """Change the state; the only place that does."""
        self.state = state

    @property
    def vote(self) -> Vote | None:
        """This member's vote, stored or not yet; None: it has not enrolled."""
        return self.publisher.vote

    @property
    def _enrolled_vote(self) -> Vote:
        """The vote, once this member has enrolled."""
        return cast("Vote", self.publisher.vote)

    def _set_vote(self, vote: Vote) -> None:
        self.publisher.vote = vote

    def _log(self, level: str, text: str, **facts: object) -> None:
        self.actions.append(LogEvent(level, text, facts))

    # Replies

    def replied(self, now: int, serial: int, reply: Reply) -> None:
        """Take the reply to a call."""
        purpose = self.calls.take_reply(serial)
        if purpose is None:
            return
        if reply.proof != Proof.DONE:
            self.calls.retry_at = now + RETRY_US
        match purpose:
            case CallPurpose.READ_POLICY:
                self._policy_read(now, reply)
            case CallPurpose.ENROLL:
                self._enrolled(reply)
            case CallPurpose.WRITE_VOTE:
                self.publisher.written(reply)
            case CallPurpose.REFRESH:
                self._refreshed(now, reply)
        self.step(now, self.lease)

    def _policy_read(self, now: int, reply: Reply) -> None:
        if reply.proof != Proof.DONE:
            return
        found = {item.key: item for item in reply.items}
        self.revisions = KeyRevisions(reply)
        try:
            self.change = decode_change(found[CHANGE_KEY].value) if CHANGE_KEY in found else None
            current = decode_version(found[CURRENT_KEY].value) if CURRENT_KEY in found else INITIAL_VERSION
        except PolicyError as error:
            self._reject_current(now, str(error))
            return
        self._adopt(now, current)

    def _enrolled(self, reply: Reply) -> None:
        # Refused: something has changed since the read. Unknown: this member may have enrolled. In both cases
        # the policy in force is read again.
        if reply.proof != Proof.DONE or not reply.succeeded:
            self._become(MemberState.READING_POLICY)
            return
        self.publisher.set_stored(Vote(self.version.number), reply.revision)
        self._become(MemberState.ACTIVE)
        self.gate.enrolled_lease = self.lease
        self.gate.is_stopped = False
        self.gate.snapshot_valid_until = 0
        self._confirm_policy()
        self.actions.append(WatchPolicy(self.revisions.read_revision + 1))
        self._log("info", "version adopted", version=self.version.number)
        self._handle_change()

    def _refreshed(self, now: int, reply: Reply) -> None:
        """Take a read of the policy in force that was made besides the watch.

        Guards against a watch that has fallen silent while the lease is renewed.
        """
        if reply.proof != Proof.DONE:
            return
        if reply.revision < self.revisions.newest():
            return  # guards against a stale read
        found = {item.key: item for item in reply.items}
        for key in (CURRENT_KEY, CHANGE_KEY):
            item = found.get(key)
            if item:
                self.changed(now, key, item.value, item.revision)
            elif key == CHANGE_KEY and self.change:
                self.changed(now, key, None, reply.revision)
        if self.state != MemberState.ACTIVE:
            return
        if self.gate.is_stopped:
            self.refresh_at = now + RETRY_US
        else:
            self._confirm_policy()

    def _confirm_policy(self) -> None:
        """Count the policy as known, from when the call that read it was sent."""
        self.gate.policy_known_until = self.calls.sent_at + self.gate.guaranteed_us
        self.refresh_at = self.calls.sent_at + self.gate.guaranteed_us // REFRESHES_PER_LEASE

    # The version in force

    def _adopt(self, now: int, version: PolicyVersion) -> None:
        fault = self.find_fault(version) if version.number else ""
        if fault:
            self._reject_current(now, fault)
            return
        self.version = version
        self.tried_change = 0
        if self.state == MemberState.READING_POLICY:
            self._become(MemberState.ADOPTING)
        self._hand_to_core(version)

    def _hand_to_core(self, version: PolicyVersion) -> None:
        """Have the core use a version; nothing is dispatched until it does."""
        self.gate.stop()
        self.adoption_serial += 1
        self.actions.append(AdoptVersion(self.adoption_serial, version))

    def _reject_current(self, now: int, reason: str) -> None:
        """Dispatch nothing, as the policy in force can't be run here."""
        self.gate.enrolled_lease = 0
        self.calls.retry_at = now + UNUSABLE_RETRY_US
        self._log("error", "version in force rejected", reason=reason)
        self._become(MemberState.READING_POLICY)

    def adopted(self, now: int, serial: int) -> None:
        """Record that the core uses the version from now on."""
        if serial != self.adoption_serial:
            return
        if self.state == MemberState.ADOPTING:
            self._become(MemberState.ENROLLING)
        elif self.state == MemberState.ACTIVE and self.tried_change:
            self.gate.is_stopped = False
            self._set_vote(self._enrolled_vote._replace(kind=VoteKind.IN_CANARY))
            self._log("info", "canary version adopted", version=self.tried_change)
        elif self.state == MemberState.ACTIVE:
            self._set_vote(Vote(self.version.number))
            self.gate.reopen()
            self._log("info", "version adopted", version=self.version.number)
        self.step(now, self.lease)

    # Changes

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Take a change of a watched key; value None: it was deleted, so that no change is open any more."""
        if self.state != MemberState.ACTIVE:
            return
        if not self.revisions.update(key, revision):
            return  # a refresh may be ahead of the watch
        if key == CURRENT_KEY and value is not None:
            try:
                version = decode_version(value)
            except PolicyError as error:
                self._reject_current(now, str(error))
                return
            if version.number != self.version.number:
                self._adopt(now, version)
        elif key == CHANGE_KEY:
            try:
                self.change = None if value is None else decode_change(value)
            except PolicyError as error:
                self._log("error", "unreadable change", error=str(error))
                return
            self._handle_change()
        self.step(now, self.lease)

    def watch_gap(self, now: int) -> None:
        """Read the policy again, as the watch has missed changes; the lease and its key stay."""
        if self.state == MemberState.ACTIVE:
            self.gate.enrolled_lease = 0
            self._become(MemberState.READING_POLICY)
            self.step(now, self.lease)

    def _handle_change(self) -> None:
        change = self.change
        if change is None or change.state == ChangeState.DECIDED:
            return
        if change.state == ChangeState.DROPPED:
            self._leave_dropped(change)
        elif change.state in VOTING_STATES and self._enrolled_vote.change != change.version.number:
            self._check_change(change)
        if change.state == ChangeState.CANARY:
            self._join_canary(change)
        elif change.state == ChangeState.PREPARED and change.overlap == Overlap.STRICT:
            self._stop_for(change)

    def _leave_dropped(self, change: PolicyChange) -> None:
        if self.tried_change:  # return to the version before
            self.tried_change = 0
            self._hand_to_core(self.version)
            return
        if self.gate.is_stopped or self.gate.open_change:
            self.gate.reopen()
            self._log("info", "change aborted", version=change.version.number, reason=change.reason)
        self._set_vote(Vote(self.version.number))

    def _check_change(self, change: PolicyChange) -> None:
        number = change.version.number
        fault = self._fault_in(change)
        if fault:
            self._log("warning", "change rejected", version=number, reason=fault)
            self.gate.open_change = 0
            self._set_vote(Vote(self.version.number, number, VoteKind.REFUSED, fault))
        else:
            self.gate.open_change = number
            self._set_vote(Vote(self.version.number, number, VoteKind.READY))
        self.figures.reset()

    def _fault_in(self, change: PolicyChange) -> str:
        try:
            change.version.verify()
        except PolicyError as error:
            return str(error)
        return self.find_fault(change.version)

    def _join_canary(self, change: PolicyChange) -> None:
        is_chosen = self.own_vote_key().removeprefix(VOTES_PREFIX) in change.canary_members
        if is_chosen and not self.tried_change and self._enrolled_vote.kind == VoteKind.READY:
            self.tried_change = change.version.number
            self._hand_to_core(change.version)

    def _stop_for(self, change: PolicyChange) -> None:
        if self._enrolled_vote.kind == VoteKind.READY:
            self.gate.stop()
            self.actions.append(StopDispatching(change.version.number))

    def stopped(self, now: int, number: int) -> None:
        """Record that the core has stopped dispatching for this change."""
        change = self.change
        if self.state != MemberState.ACTIVE or change is None or not self.gate.is_stopped:
            return
        if change.version.number == number and change.state == ChangeState.PREPARED:
            self._set_vote(Vote(self.version.number, number, VoteKind.STOPPED))
            self.step(now, self.lease)
