"""One gateway's side of the policy and its changes. Decisions only: fed times, replies and changed keys.

A member dispatches only while its gate is open: it has learned what is in force, has enrolled under a lease
that surely holds, and has not been asked to stop. So one that is cut off stops by its own clock before the
others can decide without it, and one that starts learns before it dispatches.
"""

from collections.abc import Callable
from typing import cast

from gullhold.fleet.role_state import IDLE_STEP_US, RETRY_US, LogEvent
from gullhold.fleet.store_calls import Get, Proof, Put, Reply, Transaction
from gullhold.rollout.key_revisions import KeyRevisions
from gullhold.rollout.member_actions import (
    AdoptVersion,
    CallStore,
    MemberAction,
    StopDispatching,
    WatchPolicy,
)
from gullhold.rollout.member_state import CallInFlight, CallPurpose, MemberState
from gullhold.rollout.policy_change import ChangeState, Overlap, PolicyChange
from gullhold.rollout.policy_gate import PolicyGate
from gullhold.rollout.policy_version import INITIAL_VERSION, PolicyError, PolicyVersion
from gullhold.rollout.store_schema import (
    CHANGE_KEY,
    CURRENT_KEY,
    ENROLLMENT_KEY,
    VOTES,
    decode_change,
    decode_version,
    encode_vote,
    vote_key,
)
from gullhold.rollout.vote import CommandFigures, Vote, VoteKind
from gullhold.rollout.vote_publisher import VotePublisher

REFRESHES_PER_LEASE = 3  # reads of what is in force in the time for which one read counts
FIGURES_INTERVAL_US = 500_000  # us between reports of figures while a canary runs
UNUSABLE_RETRY_US = RETRY_US * 5  # us until what can't be run here is looked at again: it changes seldom


VOTING_STATES = frozenset((ChangeState.CHECKED, ChangeState.CANARY, ChangeState.PREPARED))


class RolloutMember:
    """Takes in replies, changed keys and what the core has done; take_actions() is what it wants done.

    Times are monotonic us. fits(version): what keeps it from being run here, one line, "": nothing.
    figures(): how commands fared since the start.
    """

    def __init__(
        self,
        name: str,
        gate: PolicyGate,
        fits: Callable[[PolicyVersion], str],
        figures: Callable[[], CommandFigures] = lambda: CommandFigures(0, 0, 0),
    ) -> None:
        self.name = name
        self.gate = gate
        self.fits = fits
        self.figures = figures
        self.state = MemberState.NO_LEASE
        self.out: list[MemberAction] = []
        self.lease = 0
        self.version = INITIAL_VERSION  # goes by it, or is about to
        self.change: PolicyChange | None = None
        # Calls
        self.in_flight: CallInFlight | None = None
        self.last_serial = 0
        self.sent_at = 0
        self.retry_at = 0
        self.refresh_at = 0
        self.revisions = KeyRevisions()
        self.publisher = VotePublisher()
        # The core
        self.adoption_serial = 0
        self.tried_change = 0  # number of the change that it goes by as a member of the canary; 0: none
        self.figures_before: CommandFigures | None = None  # figures when the first were reported
        self.report_at = 0

    def take_actions(self) -> list[MemberAction]:
        """What is to be done now, in order."""
        out = self.out
        self.out = []
        return out

    def key(self) -> str:
        """The key of its vote."""
        return vote_key(self.name, self.lease)

    def step(self, now: int, lease: int) -> None:
        """Do what is next, if no call is under way. lease: the id of this member's lease, 0: none."""
        if lease != self.lease:
            self._begin_lease(lease)
        if not lease or self.in_flight or now < self.retry_at:
            return
        match self.state:
            case MemberState.LEARNING:
                reads = (Get(CURRENT_KEY), Get(CHANGE_KEY), Get(ENROLLMENT_KEY))
                self._call(now, CallPurpose.READ_POLICY, Transaction((), reads))
            case MemberState.ENROLLING:
                self._call(now, CallPurpose.ENROLL, self._enrollment())
            case MemberState.ACTIVE:
                self._step_active(now)

    def _begin_lease(self, lease: int) -> None:
        self.lease = lease
        self.in_flight = None
        self.retry_at = 0
        self.gate.enrolled_lease = 0
        self.gate.reopen()
        self.publisher.reset()
        self.change = None
        self.tried_change = 0
        self._become(MemberState.LEARNING if lease else MemberState.NO_LEASE)

    def _step_active(self, now: int) -> None:
        self._report_figures(now)
        if not self.publisher.is_stored():
            request = self.publisher.request(self.key(), self.lease)
            self._call(now, CallPurpose.WRITE_VOTE, request)
        elif now >= self.refresh_at:
            reads = (Get(CURRENT_KEY), Get(CHANGE_KEY))
            self._call(now, CallPurpose.REFRESH, Transaction((), reads))

    def _enrollment(self) -> Transaction:
        """The first vote, on the condition that nothing has changed since what is in force was read."""
        conditions = self.revisions.conditions((CURRENT_KEY, CHANGE_KEY, ENROLLMENT_KEY))
        vote = encode_vote(Vote(self.version.number))
        operations = (Put(self.key(), vote, self.lease), Put(ENROLLMENT_KEY, self.name))
        return Transaction(conditions, operations)

    def due(self, now: int) -> int:
        """When to step() at the latest."""
        if not self.lease or self.in_flight or self.state == MemberState.ADOPTING:
            return now + IDLE_STEP_US  # what is waited for comes by itself
        at = now
        if self.state == MemberState.ACTIVE and self.publisher.is_stored():
            at = self.refresh_at
            if self._reports_figures():
                at = min(at, self.report_at)
        return max(now, at, self.retry_at)

    def _reports_figures(self) -> bool:
        """Whether a canary runs, in which all report how their commands fare."""
        change = self.change
        if change is None or change.state != ChangeState.CANARY:
            return False
        return self._enrolled_vote.change == change.version.number

    def _report_figures(self, now: int) -> None:
        if not self._reports_figures() or now < self.report_at:
            return
        self.report_at = now + FIGURES_INTERVAL_US
        figures = self.figures()
        if self.figures_before is None:
            self.figures_before = figures
        self._vote(self._enrolled_vote._replace(figures=figures.since(self.figures_before)))

    def _call(self, now: int, purpose: CallPurpose, request: Transaction) -> None:
        self.last_serial += 1
        self.in_flight = CallInFlight(purpose, self.last_serial)
        self.sent_at = now
        self.out.append(CallStore(self.last_serial, request))

    def _become(self, state: MemberState) -> None:
        """Change the state; nothing else does."""
        self.state = state

    @property
    def vote(self) -> Vote | None:
        """The vote that it casts, stored or not; None: it has not enrolled."""
        return self.publisher.vote

    @property
    def _enrolled_vote(self) -> Vote:
        """The vote, where this member has enrolled."""
        return cast("Vote", self.publisher.vote)

    def _vote(self, vote: Vote) -> None:
        self.publisher.vote = vote

    def _log(self, level: str, text: str, **facts: object) -> None:
        self.out.append(LogEvent(level, text, facts))

    # Replies

    def replied(self, now: int, serial: int, reply: Reply) -> None:
        """A call's reply."""
        call = self.in_flight
        if call is None or call.serial != serial:
            return
        self.in_flight = None
        if reply.proof != Proof.DONE:
            self.retry_at = now + RETRY_US
        match call.purpose:
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
        # Refused: something changed since the read. No proof: this member may have enrolled. Either way what
        # is in force is read again.
        if reply.proof != Proof.DONE or not reply.succeeded:
            self._become(MemberState.LEARNING)
            return
        self.publisher.set_stored(Vote(self.version.number), reply.revision)
        self._become(MemberState.ACTIVE)
        self.gate.enrolled_lease = self.lease
        self.gate.is_stopped = False
        self.gate.snapshot_valid_until = 0
        self._confirm_policy()
        self.out.append(WatchPolicy(self.revisions.read_at + 1))
        self._log("info", "version adopted", version=self.version.number)
        self._consider_change()

    def _refreshed(self, now: int, reply: Reply) -> None:
        """What is in force was read besides the watch.

        Guards against a watch that has fallen silent while the lease is renewed.
        """
        if reply.proof != Proof.DONE:
            return
        if reply.revision < self.revisions.newest():
            return  # guards against an answer from the past
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
        """What was read by the call that has come back counts from when it was sent."""
        self.gate.policy_known_until = self.sent_at + self.gate.guaranteed_us
        self.refresh_at = self.sent_at + self.gate.guaranteed_us // REFRESHES_PER_LEASE

    # The version in force

    def _adopt(self, now: int, version: PolicyVersion) -> None:
        fault = self.fits(version) if version.number else ""
        if fault:
            self._reject_current(now, fault)
            return
        self.version = version
        self.tried_change = 0
        if self.state == MemberState.LEARNING:
            self._become(MemberState.ADOPTING)
        self._hand_to_core(version)

    def _hand_to_core(self, version: PolicyVersion) -> None:
        """Nothing is dispatched until the core goes by the version."""
        self.gate.stop()
        self.adoption_serial += 1
        self.out.append(AdoptVersion(self.adoption_serial, version))

    def _reject_current(self, now: int, reason: str) -> None:
        """What is in force can't be run here: nothing is dispatched."""
        self.gate.enrolled_lease = 0
        self.retry_at = now + UNUSABLE_RETRY_US
        self._log("error", "version in force rejected", reason=reason)
        self._become(MemberState.LEARNING)

    def adopted(self, now: int, serial: int) -> None:
        """The core decides by the version from here on."""
        if serial != self.adoption_serial:
            return
        if self.state == MemberState.ADOPTING:
            self._become(MemberState.ENROLLING)
        elif self.state == MemberState.ACTIVE and self.tried_change:
            self.gate.is_stopped = False
            self._vote(self._enrolled_vote._replace(kind=VoteKind.TRIAL))
            self._log("info", "canary version adopted", version=self.tried_change)
        elif self.state == MemberState.ACTIVE:
            self._vote(Vote(self.version.number))
            self.gate.reopen()
            self._log("info", "version adopted", version=self.version.number)
        self.step(now, self.lease)

    # Changes

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """A watched key changed; value None: it was deleted, so that no change is open any more."""
        if self.state != MemberState.ACTIVE:
            return
        if not self.revisions.take_in(key, revision):
            return  # a refresh may have shown more than the watch has notified yet
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
            self._consider_change()
        self.step(now, self.lease)

    def missed(self, now: int) -> None:
        """Changes were missed: learn anew. The lease and its key stay."""
        if self.state == MemberState.ACTIVE:
            self.gate.enrolled_lease = 0
            self._become(MemberState.LEARNING)
            self.step(now, self.lease)

    def _consider_change(self) -> None:
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
        if self.tried_change:  # back to the parent
            self.tried_change = 0
            self._hand_to_core(self.version)
            return
        if self.gate.is_stopped or self.gate.open_change:
            self.gate.reopen()
            self._log("info", "change aborted", version=change.version.number, reason=change.reason)
        self._vote(Vote(self.version.number))

    def _check_change(self, change: PolicyChange) -> None:
        number = change.version.number
        fault = self._fault_in(change)
        if fault:
            self._log("warning", "change rejected", version=number, reason=fault)
            self.gate.open_change = 0
            self._vote(Vote(self.version.number, number, VoteKind.REFUSED, fault))
        else:
            self.gate.open_change = number
            self._vote(Vote(self.version.number, number, VoteKind.READY))
        self.figures_before = None

    def _fault_in(self, change: PolicyChange) -> str:
        try:
            change.version.verify()
        except PolicyError as error:
            return str(error)
        return self.fits(change.version)

    def _join_canary(self, change: PolicyChange) -> None:
        is_chosen = self.key().removeprefix(VOTES) in change.canary_members
        if is_chosen and not self.tried_change and self._enrolled_vote.kind == VoteKind.READY:
            self.tried_change = change.version.number
            self._hand_to_core(change.version)

    def _stop_for(self, change: PolicyChange) -> None:
        if self._enrolled_vote.kind == VoteKind.READY:
            self.gate.stop()
            self.out.append(StopDispatching(change.version.number))

    def stopped(self, now: int, number: int) -> None:
        """The core has stopped dispatching for this change."""
        change = self.change
        if self.state != MemberState.ACTIVE or change is None or not self.gate.is_stopped:
            return
        if change.version.number == number and change.state == ChangeState.PREPARED:
            self._vote(Vote(self.version.number, number, VoteKind.STILL))
            self.step(now, self.lease)
