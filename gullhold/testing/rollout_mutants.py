"""Deliberate faults in the decisions of a rollout: the explorer finds each one, or it has a gap."""

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


class IgnoresLease(PolicyGate):
    """Dispatches whatever the time."""

    def may_dispatch(self) -> bool:
        """As the product's, without the lease's end."""
        return not self.is_stopped and self.enrolled_lease != 0


class TrustsSilentWatch(PolicyGate):
    """Takes a watch that says nothing for a proof that nothing changed."""

    def may_dispatch(self) -> bool:
        """As the product's, with the policy always known."""
        self.policy_known_until = max(self.policy_known_until, self.clock() + self.guaranteed_us)
        return super().may_dispatch()


class IgnoresStop(PolicyGate):
    """Says that it has stopped, and dispatches."""

    def may_dispatch(self) -> bool:
        """As the product's, never stopped."""
        self.is_stopped = False
        return super().may_dispatch()


class EnrollsUnconditionally(RolloutMember):
    """Enrolls without looking whether what it learned still holds."""

    def step(self, now: int, lease: int) -> None:
        """As the product's, without the conditions of the enrollment."""
        super().step(now, lease)
        in_flight = self.calls.in_flight
        if self.actions and in_flight and in_flight.purpose == CallPurpose.ENROLL:
            call = self.actions[-1]
            self.actions[-1] = CallStore(call.serial, Transaction((), call.request.operations))


class DispatchesUnenrolled(RolloutMember):
    """Opens its gate when it has a lease, before it has learned anything."""

    def step(self, now: int, lease: int) -> None:
        """As the product's, with the gate open."""
        super().step(now, lease)
        if self.state in (MemberState.READING_POLICY, MemberState.ENROLLING):
            self.gate.enrolled_lease = lease
            self.gate.is_stopped = False
            self.gate.policy_known_until = now + self.gate.guaranteed_us


class AcceptsUnfit(RolloutMember):
    """Votes ready on what does not fit, and runs it."""

    def __init__(self, name, gate, _fits, figures) -> None:  # noqa: ANN001  the product's signature
        super().__init__(name, gate, lambda _version: "", figures)


class StaysStopped(RolloutMember):
    """Stays stopped though the change was dropped."""

    def _handle_change(self) -> None:
        if self.change is None or self.change.state != ChangeState.DROPPED:
            super()._handle_change()


class ReportsStopTooSoon(RolloutMember):
    """Says that it has stopped before its core has."""

    def _handle_change(self) -> None:
        super()._handle_change()
        is_prepared = self.change and self.change.state == ChangeState.PREPARED
        if is_prepared and self.vote.kind == VoteKind.READY:
            self._set_vote(self.vote._replace(kind=VoteKind.STOPPED))
            self.gate.is_stopped = False


class TrustingPublisher(VotePublisher):
    """Takes a vote whose reply was lost for stored."""

    def written(self, reply: Reply) -> None:
        """As the product's, whatever the reply proves."""
        if reply.proof != Proof.DONE:
            self._stored = self._in_flight
        super().written(reply)


class TrustsLostReply(RolloutMember):
    """Takes a vote whose reply was lost for stored."""

    def __init__(self, name, gate, fits, figures) -> None:  # noqa: ANN001  the product's signature
        super().__init__(name, gate, fits, figures)
        self.publisher = TrustingPublisher()


class AdoptsOnReady(RolloutMember):
    """Goes by a change as soon as it has voted ready."""

    def _handle_change(self) -> None:
        super()._handle_change()
        is_checked = self.change and self.change.state == ChangeState.CHECKED
        if self.state == MemberState.ACTIVE and is_checked and self.vote.kind == VoteKind.READY:
            self._adopt(0, self.change.version)


class DecidesByMajority(RolloutCoordinator):
    """Decides when most have voted."""

    def _all_support(self, kind: VoteKind) -> bool:
        number = self.change.version.number
        votes = self.votes.votes.values()
        count = sum(vote.change == number and vote.kind in (kind, VoteKind.STOPPED) for vote in votes)
        return count * 2 > len(votes)


class UnconditionalWrites(RolloutCoordinator):
    """Writes without some of the conditions."""

    def take_actions(self) -> list[RoleAction]:
        """As the product's, with fewer conditions."""
        return [
            replace(action, conditions=self._reduced(action.conditions))
            if isinstance(action, WriteKeys)
            else action
            for action in super().take_actions()
        ]

    def _reduced(self, conditions: tuple[Condition, ...]) -> tuple[Condition, ...]:
        raise NotImplementedError


class IgnoresEnrollment(UnconditionalWrites):
    """Decides whoever joined meanwhile."""

    def _reduced(self, conditions: tuple[Condition, ...]) -> tuple[Condition, ...]:
        return tuple((key, revision) for key, revision in conditions if key != ENROLLMENT_KEY)


class WritesUnconditionally(UnconditionalWrites):
    """Writes whatever is stored: a write that was given up may come after another change."""

    def _reduced(self, conditions: tuple[Condition, ...]) -> tuple[Condition, ...]:  # noqa: ARG002  all go
        return ()


class IgnoresRefusals(RolloutCoordinator):
    """Counts a refusal as a vote like any other."""

    def _drop_if_refused(self) -> bool:
        return False

    def _all_support(self, kind: VoteKind) -> bool:  # noqa: ARG002  any will do
        number = self.change.version.number
        votes = self.votes.votes.values()
        return bool(votes) and all(vote.change == number for vote in votes)


class SkipsPreparation(RolloutCoordinator):
    """Decides a strict change without anybody having stopped."""

    def _change_state(
        self, state: ChangeState, reason: str = "", canary_members: tuple[str, ...] = ()
    ) -> None:
        decided = ChangeState.DECIDED if state == ChangeState.PREPARED else state
        super()._change_state(decided, reason, canary_members)


class ClosesEarly(RolloutCoordinator):
    """Forgets a change as soon as it is decided, whoever goes by what."""

    def _delete_ended_change(self) -> None:
        self._write([Delete(CHANGE_KEY)], ())


class WaitsForExpired(RolloutCoordinator):
    """Waits for the votes of those whose lease is over."""

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """As the product's, deaf to votes that are deleted."""
        if value is not None or not key.startswith(VOTES_PREFIX):
            super().changed(now, key, value, revision)


GATES = (IgnoresLease, TrustsSilentWatch, IgnoresStop)
MEMBERS = (
    EnrollsUnconditionally,
    DispatchesUnenrolled,
    AcceptsUnfit,
    StaysStopped,
    ReportsStopTooSoon,
    TrustsLostReply,
    AdoptsOnReady,
)
COORDINATORS = (
    DecidesByMajority,
    IgnoresEnrollment,
    IgnoresRefusals,
    SkipsPreparation,
    ClosesEarly,
    WritesUnconditionally,
    WaitsForExpired,
)
MUTANTS = {kind.__name__: {"make_gate": kind} for kind in GATES}
MUTANTS |= {kind.__name__: {"make_member": kind} for kind in MEMBERS}
MUTANTS |= {kind.__name__: {"make_coordinator": kind} for kind in COORDINATORS}


def find(name: str, walks: int, steps: int, first: int = 0) -> walking.Finding | None:
    """Return the first walk that finds a mutant; None: none of them does."""
    return walking.find(lambda seed: rollout_explorer.walk(seed, steps, **MUTANTS[name]), walks, first)
