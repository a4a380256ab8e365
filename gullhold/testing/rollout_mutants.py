"""Mutants of the rollout logic: the walks of the explorer have to find each of them.

A mutant is the product's class of gates, members or coordinators with one method changed. A mutant that no
walk finds shows a gap in the explorer or its invariants.
"""

from dataclasses import replace

from gullhold.fleet.role_state import RoleAction, WriteKeys
from gullhold.fleet.store_calls import Condition, Delete, Proof, Reply, Transaction
from gullhold.rollout.member_actions import CallStore
from gullhold.rollout.member_state import CallPurpose, MemberState
from gullhold.rollout.policy_change import ChangeState
from gullhold.rollout.policy_gate import PolicyGate
from gullhold.rollout.rollout_coordinator import RolloutCoordinator
from gullhold.rollout.rollout_member import RolloutMember
from gullhold.rollout.store_schema import CHANGE_KEY, ENROLLMENT_KEY, VOTES_PREFIX
from gullhold.rollout.vote import VoteKind
from gullhold.rollout.vote_publisher import VotePublisher
from gullhold.testing import rollout_explorer, walking


class IgnoresLeaseTime(PolicyGate):
    """Dispatches after the member's lease has expired."""

    def may_dispatch(self) -> bool:
        """Decide without checking whether the lease has expired."""
        return not self.is_stopped and self.enrolled_lease != 0


class TrustsSilentWatch(PolicyGate):
    """Takes a watch that reports nothing for a proof that the policy has not changed."""

    def may_dispatch(self) -> bool:
        """Decide as if the policy had just been confirmed."""
        self.policy_known_until = max(self.policy_known_until, self.clock() + self.guaranteed_us)
        return super().may_dispatch()


class IgnoresStop(PolicyGate):
    """Dispatches though the member has voted that it has stopped."""

    def may_dispatch(self) -> bool:
        """Decide as if never stopped."""
        self.is_stopped = False
        return super().may_dispatch()


class EnrollsUnconditionally(RolloutMember):
    """Enrolls even if the policy has changed since it read it."""

    def step(self, now: int, lease: int) -> None:
        """Step, and drop the conditions of an enrollment."""
        super().step(now, lease)
        in_flight = self.calls.in_flight
        if self.actions and in_flight and in_flight.purpose == CallPurpose.ENROLL:
            call = self.actions[-1]
            self.actions[-1] = CallStore(call.serial, Transaction((), call.request.operations))


class DispatchesUnenrolled(RolloutMember):
    """Opens its gate as soon as it has a lease, before it has read the policy and enrolled."""

    def step(self, now: int, lease: int) -> None:
        """Step, and open the gate in the states before enrollment."""
        super().step(now, lease)
        if self.state in (MemberState.READING_POLICY, MemberState.ENROLLING):
            self.gate.enrolled_lease = lease
            self.gate.is_stopped = False
            self.gate.policy_known_until = now + self.gate.guaranteed_us


class AcceptsUnfitVersion(RolloutMember):
    """Votes ready on a version that does not fit its settings, and adopts it."""

    def __init__(self, name, gate, _fits, figures) -> None:  # noqa: ANN001  the product's signature
        super().__init__(name, gate, lambda _version: "", figures)


class StaysStopped(RolloutMember):
    """Stays stopped after a change was dropped."""

    def _handle_change(self) -> None:
        if self.change is None or self.change.state != ChangeState.DROPPED:
            super()._handle_change()


class ReportsStopTooSoon(RolloutMember):
    """Votes that it has stopped before its core has."""

    def _handle_change(self) -> None:
        super()._handle_change()
        is_prepared = self.change and self.change.state == ChangeState.PREPARED
        if is_prepared and self.vote.kind == VoteKind.READY:
            self._set_vote(self.vote._replace(kind=VoteKind.STOPPED))
            self.gate.is_stopped = False


class TrustsLostReplyPublisher(VotePublisher):
    """Takes a vote for stored when the reply to its write was lost."""

    def written(self, reply: Reply) -> None:
        """Handle any reply as success."""
        if reply.proof != Proof.DONE:
            self._stored = self._in_flight
        super().written(reply)


class TrustsLostReply(RolloutMember):
    """Takes a vote for stored when the reply to its write was lost."""

    def __init__(self, name, gate, fits, figures) -> None:  # noqa: ANN001  the product's signature
        super().__init__(name, gate, fits, figures)
        self.publisher = TrustsLostReplyPublisher()


class AdoptsOnReady(RolloutMember):
    """Adopts a version as soon as it has voted ready on it."""

    def _handle_change(self) -> None:
        super()._handle_change()
        is_checked = self.change and self.change.state == ChangeState.CHECKED
        if self.state == MemberState.ACTIVE and is_checked and self.vote.kind == VoteKind.READY:
            self._adopt(0, self.change.version)


class DecidesByMajority(RolloutCoordinator):
    """Decides when more than half of the members have voted for the change."""

    def _all_support(self, kind: VoteKind) -> bool:
        number = self.change.version.number
        votes = self.votes.votes.values()
        count = sum(vote.change == number and vote.kind in (kind, VoteKind.STOPPED) for vote in votes)
        return count * 2 > len(votes)


class WritesWithFewerConditions(RolloutCoordinator):
    """Base of mutants that write without some of the conditions."""

    def take_actions(self) -> list[RoleAction]:
        """Return the product's actions with fewer conditions on writes."""
        return [
            replace(action, conditions=self._reduced(action.conditions))
            if isinstance(action, WriteKeys)
            else action
            for action in super().take_actions()
        ]

    def _reduced(self, conditions: tuple[Condition, ...]) -> tuple[Condition, ...]:
        raise NotImplementedError


class IgnoresEnrollment(WritesWithFewerConditions):
    """Decides even if a member has enrolled since it counted the votes."""

    def _reduced(self, conditions: tuple[Condition, ...]) -> tuple[Condition, ...]:
        return tuple((key, revision) for key, revision in conditions if key != ENROLLMENT_KEY)


class WritesUnconditionally(WritesWithFewerConditions):
    """Writes without conditions: a write that was given up may be executed after another change."""

    def _reduced(self, conditions: tuple[Condition, ...]) -> tuple[Condition, ...]:  # noqa: ARG002  all go
        return ()


class IgnoresRefusals(RolloutCoordinator):
    """Counts a refusal as a vote for the change."""

    def _drop_if_refused(self) -> bool:
        return False

    def _all_support(self, kind: VoteKind) -> bool:  # noqa: ARG002  any will do
        number = self.change.version.number
        votes = self.votes.votes.values()
        return bool(votes) and all(vote.change == number for vote in votes)


class SkipsPreparation(RolloutCoordinator):
    """Decides a strict change without waiting for the members to stop."""

    def _change_state(
        self, state: ChangeState, reason: str = "", canary_members: tuple[str, ...] = ()
    ) -> None:
        decided = ChangeState.DECIDED if state == ChangeState.PREPARED else state
        super()._change_state(decided, reason, canary_members)


class ClosesChangeEarly(RolloutCoordinator):
    """Deletes a change as soon as it is decided, before all members have adopted its version."""

    def _delete_ended_change(self) -> None:
        self._write([Delete(CHANGE_KEY)], ())


class WaitsForExpiredVotes(RolloutCoordinator):
    """Waits for the votes of members whose lease has expired."""

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Handle a change, but not the deletion of a vote."""
        if value is not None or not key.startswith(VOTES_PREFIX):
            super().changed(now, key, value, revision)


GATE_MUTANTS = (IgnoresLeaseTime, TrustsSilentWatch, IgnoresStop)
MEMBER_MUTANTS = (
    EnrollsUnconditionally,
    DispatchesUnenrolled,
    AcceptsUnfitVersion,
    StaysStopped,
    ReportsStopTooSoon,
    TrustsLostReply,
    AdoptsOnReady,
)
COORDINATOR_MUTANTS = (
    DecidesByMajority,
    IgnoresEnrollment,
    IgnoresRefusals,
    SkipsPreparation,
    ClosesChangeEarly,
    WritesUnconditionally,
    WaitsForExpiredVotes,
)
MUTANTS = {kind.__name__: {"make_gate": kind} for kind in GATE_MUTANTS}
MUTANTS |= {kind.__name__: {"make_member": kind} for kind in MEMBER_MUTANTS}
MUTANTS |= {kind.__name__: {"make_coordinator": kind} for kind in COORDINATOR_MUTANTS}


def find_detecting_walk(name: str, walks: int, steps: int, first: int = 0) -> walking.Finding | None:
    """Return the first walk that fails with a mutant; None: none of them does."""
    return walking.find_failing_walk(
        lambda seed: rollout_explorer.walk(seed, steps, **MUTANTS[name]), walks, first
    )
