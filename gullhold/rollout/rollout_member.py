"""One gateway's side of the rollout: adopts the policy in force and votes on changes. Performs no I/O.

A member dispatches only while its gate is open: it has read the policy in force, has enrolled (stored its
first vote) under a lease that certainly holds, and has not been asked to stop. So a member that loses the
store stops by its own clock before the others can decide without it, and one that starts reads the policy
before it dispatches.
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

# A read of the policy in force confirms it for as long as a lease certainly holds; within that time it is
# read this many times.
REFRESHES_PER_LEASE = 3
UNUSABLE_POLICY_RETRY_US = RETRY_US * 5  # us between reads of an unusable policy: policies rarely change
# States of a change in which members vote on it.
VOTING_STATES = frozenset((ChangeState.CHECKED, ChangeState.CANARY, ChangeState.PREPARED))


class RolloutMember:
    """A member of the rollout. take_actions() returns MemberActions; due() is when to step() at the latest.

    Times are us of a monotonic clock. version: the version in force, adopted here or being adopted. change:
    the open change. refresh_at: when the policy in force is to be read again. canary_change: number of the
    change that this member tries as part of the canary; 0: none.
    """

    def __init__(
        self,
        name: str,
        gate: PolicyGate,
        find_fault: Callable[[PolicyVersion], str],
        read_figures: Callable[[], CommandFigures] = lambda: CommandFigures(0, 0, 0),
    ) -> None:
        """find_fault: returns one line on why a version can't be used here, "" if it can.

        read_figures: returns figures on commands since the start of the process.
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
        # Versions handed to the core
        self.adoption_serial = 0
        self.canary_change = 0
        self.figures = CanaryFigures(read_figures)

    def take_actions(self) -> list[MemberAction]:
        """Return the actions to carry out now, in order."""
        actions = self.actions
        self.actions = []
        return actions

    def own_vote_key(self) -> str:
        """The key of this member's vote under its present lease."""
        return vote_key(self.name, self.lease)

    def step(self, now: int, lease: int) -> None:
        """Take the next step, unless a call is in flight. lease: id of this member's lease, 0: none."""
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
        self.canary_change = 0
        self._set_state(MemberState.READING_POLICY if lease else MemberState.NO_LEASE)

    def _step_active(self, now: int) -> None:
        self._report_figures(now)
        if not self.publisher.is_stored():
            request = self.publisher.write_request(self.own_vote_key(), self.lease)
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
        """When to call step() at the latest."""
        if not self.lease or self.calls.in_flight or self.state == MemberState.ADOPTING:
            return now + IDLE_STEP_US  # an event comes first: a lease, a reply or the end of the adoption
        at = now
        if self.state == MemberState.ACTIVE and self.publisher.is_stored():
            at = self.refresh_at
            if self._must_report_figures():
                at = min(at, self.figures.due_at)
        return max(now, at, self.calls.retry_at)

    def _must_report_figures(self) -> bool:
        """Whether figures on commands are due: a canary runs, and this member has voted on its change."""
        change = self.change
        if change is None or change.state != ChangeState.CANARY:
            return False
        return self._enrolled_vote.change == change.version.number

    def _report_figures(self, now: int) -> None:
        if self._must_report_figures() and now >= self.figures.due_at:
            self._set_vote(self._enrolled_vote._replace(figures=self.figures.next_report(now)))

    def _call(self, now: int, purpose: CallPurpose, request: Transaction) -> None:
        self.actions.append(CallStore(self.calls.start(now, purpose), request))

    def _set_state(self, state: MemberState) -> None:
        """Change the state. No other method does."""
        self.state = state

    @property
    def vote(self) -> Vote | None:
        """This member's vote, whether stored already or not; None: it has not enrolled."""
        return self.publisher.vote

    @property
    def _enrolled_vote(self) -> Vote:
        """The vote, for callers that run only after this member has enrolled."""
        return cast("Vote", self.publisher.vote)

    def _set_vote(self, vote: Vote) -> None:
        self.publisher.vote = vote

    def _log(self, level: str, text: str, **facts: object) -> None:
        self.actions.append(LogEvent(level, text, facts))

    # Replies

    def replied(self, now: int, serial: int, reply: Reply) -> None:
        """Take the reply to the call with this serial."""
        purpose = self.calls.take_reply(serial)
        if purpose is None:
            return
        if reply.proof != Proof.DONE:
            self.calls.retry_at = now + RETRY_US
        match purpose:
            case CallPurpose.READ_POLICY:
                self._on_policy_read(now, reply)
            case CallPurpose.ENROLL:
                self._on_enrolled(reply)
            case CallPurpose.WRITE_VOTE:
                self.publisher.written(reply)
            case CallPurpose.REFRESH:
                self._on_refreshed(now, reply)
        self.step(now, self.lease)

    def _on_policy_read(self, now: int, reply: Reply) -> None:
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

    def _on_enrolled(self, reply: Reply) -> None:
        # The policy is read again if the write was refused, as a key has changed since the read, and if its
        # outcome is unknown, as this member may have enrolled.
        if reply.proof != Proof.DONE or not reply.succeeded:
            self._set_state(MemberState.READING_POLICY)
            return
        self.publisher.set_stored(Vote(self.version.number), reply.revision)
        self._set_state(MemberState.ACTIVE)
        self.gate.enrolled_lease = self.lease
        self.gate.is_stopped = False
        self.gate.snapshot_valid_until = 0
        self._confirm_policy()
        self.actions.append(WatchPolicy(self.revisions.read_revision + 1))
        self._log("info", "version adopted", version=self.version.number)
        self._handle_change()

    def _on_refreshed(self, now: int, reply: Reply) -> None:
        """Take a read of the policy in force made in addition to the watch.

        Guards against a watch that reports nothing any more while the lease is still renewed.
        """
        if reply.proof != Proof.DONE:
            return
        if reply.revision < self.revisions.newest():
            return  # a stale read: it lacks changes that were seen already
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
        """Count the policy as known for as long as a lease certainly holds, from when its read was sent."""
        self.gate.policy_known_until = self.calls.sent_at + self.gate.guaranteed_us
        self.refresh_at = self.calls.sent_at + self.gate.guaranteed_us // REFRESHES_PER_LEASE

    # The version in force

    def _adopt(self, now: int, version: PolicyVersion) -> None:
        fault = self.find_fault(version) if version.number else ""
        if fault:
            self._reject_current(now, fault)
            return
        self.version = version
        self.canary_change = 0
        if self.state == MemberState.READING_POLICY:
            self._set_state(MemberState.ADOPTING)
        self._hand_to_core(version)

    def _hand_to_core(self, version: PolicyVersion) -> None:
        """Have the core use a version; nothing is dispatched until it confirms that it does."""
        self.gate.stop()
        self.adoption_serial += 1
        self.actions.append(AdoptVersion(self.adoption_serial, version))

    def _reject_current(self, now: int, reason: str) -> None:
        """Stop dispatching, as the policy in force can't be used here, and read it again later."""
        self.gate.enrolled_lease = 0
        self.calls.retry_at = now + UNUSABLE_POLICY_RETRY_US
        self._log("error", "version in force rejected", reason=reason)
        self._set_state(MemberState.READING_POLICY)

    def adopted(self, now: int, serial: int) -> None:
        """Record that the core now uses the version of the AdoptVersion with this serial."""
        if serial != self.adoption_serial:
            return
        if self.state == MemberState.ADOPTING:
            self._set_state(MemberState.ENROLLING)
        elif self.state == MemberState.ACTIVE and self.canary_change:
            self.gate.is_stopped = False
            self._set_vote(self._enrolled_vote._replace(kind=VoteKind.IN_CANARY))
            self._log("info", "canary version adopted", version=self.canary_change)
        elif self.state == MemberState.ACTIVE:
            self._set_vote(Vote(self.version.number))
            self.gate.reopen()
            self._log("info", "version adopted", version=self.version.number)
        self.step(now, self.lease)

    # Changes

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Take a change of a watched key. value: None if deleted, as CHANGE_KEY is to close a change."""
        if self.state != MemberState.ACTIVE:
            return
        if not self.revisions.update(key, revision):
            return  # seen already: a refresh may be ahead of the watch
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
        """Read the policy again, as the watch has missed changes. The lease and the vote's key stay."""
        if self.state == MemberState.ACTIVE:
            self.gate.enrolled_lease = 0
            self._set_state(MemberState.READING_POLICY)
            self.step(now, self.lease)

    def _handle_change(self) -> None:
        change = self.change
        if change is None or change.state == ChangeState.DECIDED:
            return
        if change.state == ChangeState.DROPPED:
            self._handle_dropped(change)
        elif change.state in VOTING_STATES and self._enrolled_vote.change != change.version.number:
            self._check_change(change)
        if change.state == ChangeState.CANARY:
            self._join_canary(change)
        elif change.state == ChangeState.PREPARED and change.overlap == Overlap.STRICT:
            self._stop_dispatching(change)

    def _handle_dropped(self, change: PolicyChange) -> None:
        if self.canary_change:  # return to the version in force
            self.canary_change = 0
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
        if is_chosen and not self.canary_change and self._enrolled_vote.kind == VoteKind.READY:
            self.canary_change = change.version.number
            self._hand_to_core(change.version)

    def _stop_dispatching(self, change: PolicyChange) -> None:
        if self._enrolled_vote.kind == VoteKind.READY:
            self.gate.stop()
            self.actions.append(StopDispatching(change.version.number))

    def stopped(self, now: int, number: int) -> None:
        """Record that the core has stopped dispatching for the change of this number."""
        change = self.change
        if self.state != MemberState.ACTIVE or change is None or not self.gate.is_stopped:
            return
        if change.version.number == number and change.state == ChangeState.PREPARED:
            self._set_vote(Vote(self.version.number, number, VoteKind.STOPPED))
            self.step(now, self.lease)
