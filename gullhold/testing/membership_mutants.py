"""Deliberate faults in the decisions of members: the explorer finds each one, or it has a gap.

A mutant is the product's class with one method changed: the membership itself, or its role claims.
"""

from collections.abc import Callable, Iterable
from typing import Any

from gullhold.fleet.lease import LeaseTerms
from gullhold.fleet.membership import Membership
from gullhold.fleet.membership_types import CallPlan, CallPurpose, MembershipRules, MemberState
from gullhold.fleet.role_claims import RoleClaims
from gullhold.fleet.store_calls import (
    Condition,
    KeyValue,
    Operation,
    PendingCall,
    Proof,
    Put,
    Reply,
    Transaction,
)
from gullhold.fleet.store_schema import ROLES_PREFIX
from gullhold.testing import membership_explorer, walking


class NoDriftMargin(Membership):
    """Counts a lease by its own clock for as long as it was granted."""

    def __init__(self, name: str, nonce: str, rules: MembershipRules, *other: Any) -> None:
        terms: LeaseTerms = rules.lease_terms._replace(max_drift=0.0)
        super().__init__(name, nonce, rules._replace(lease_terms=terms), *other)


class CountsLeaseFromReply(Membership):
    """Counts a lease from when it received the reply."""

    def _renewal_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
        super()._renewal_replied(now, call._replace(sent_at=now), reply)


class OmitsToken(Membership):
    """Effects carry no token."""

    def fenced_transaction(
        self,
        role: str,
        token: int,
        operations: Iterable[Operation],
        conditions: Iterable[Condition] = (),
    ) -> Transaction:
        """Compares nothing of the role."""
        del role, token
        return Transaction(tuple(conditions), tuple(operations))


class KeepsOldTokens(Membership):
    """Acts after its lease was lost, under the tokens that it had, once it has another lease."""

    def _reset_roles(self, reason: str) -> None:
        tokens = dict(self.claims.tokens)
        super()._reset_roles(reason)
        self.claims.tokens = tokens


class IgnoresLeaseTime(Membership):
    """Goes by what it last knew, whatever the time."""

    def fencing_token(self, role: str, now: int) -> int:
        """Does not look at the lease."""
        del now
        return self.claims.tokens.get(role, 0) if self.state == MemberState.JOINED else 0


class ActsWhileReleasing(Membership):
    """Goes on acting until the reply that a role was given up."""

    class claims_type(RoleClaims):  # noqa: N801  stands for the attribute of this name
        """Keeps the token until the reply."""

        def lost(self, role: str, reason: str) -> None:
            """Not when the call goes out."""
            if reason != "released":
                super().lost(role, reason)

        def release_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
            """Only now."""
            for role in call.context:
                self.tokens.pop(role, None)
            super().release_replied(now, call, reply)


class TakesUnknownForDone(Membership):
    """Takes a lost reply to a claim for a yes."""

    def _handle_reply(self, now: int, call: PendingCall, reply: Reply) -> None:
        if call.purpose == CallPurpose.CLAIM_ROLES and reply.proof == Proof.UNKNOWN:
            reply = reply._replace(proof=Proof.DONE, revision=self.newest_revision + 1)
        super()._handle_reply(now, call, reply)


class TakesUnknownForNotDone(Membership):
    """Takes a lost reply to a release for a no, and goes on under the old token."""

    class claims_type(RoleClaims):  # noqa: N801  stands for the attribute of this name
        """Goes on."""

        def release_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
            """Takes the roles back."""
            if reply.proof == Proof.UNKNOWN:
                for key, token in call.request.conditions:
                    self.won(key.removeprefix(ROLES_PREFIX), token)
            else:
                super().release_replied(now, call, reply)


class ReusesToken(Membership):
    """Finds its own key after a lost reply and goes on under that token: an older call may still undo it."""

    class claims_type(RoleClaims):  # noqa: N801  stands for the attribute of this name
        """Writes nothing anew."""

        def handle_role_key(self, now: int, role: str, item: KeyValue | None) -> None:
            """Leads at once."""
            super().handle_role_key(now, role, item)
            if role in self.own_key_revisions:
                self.claim_at.pop(role)
                self.won(role, self.own_key_revisions.pop(role))


class ClaimsUnconditionally(Membership):
    """Takes a role whatever the store has of it."""

    class claims_type(RoleClaims):  # noqa: N801  stands for the attribute of this name
        """Compares its own key alone."""

        def _claim_call(self, roles: list[str], lease_id: int) -> CallPlan:
            plan = super()._claim_call(roles, lease_id)
            request = plan.request._replace(conditions=plan.request.conditions[:1])
            return plan._replace(request=request)


class IgnoresLaterProcess(Membership):
    """Does not see that a later process has its name."""

    def _superseded(self, now: int) -> None:
        pass


class IgnoresLeavingMembers(Membership):
    """Does not hear that a member has gone."""

    def member_changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Not of a deleted key, but for its own."""
        if value is not None or key == self.identity.key:
            super().member_changed(now, key, value, revision)


class AcceptsStaleReplies(Membership):
    """Believes replies to calls of a lease that is lost."""

    def call_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
        """All of them."""
        self.calls.void_until = 0
        super().call_replied(now, call, reply)


class JoinsUnconditionally(Membership):
    """Writes its own key whatever stands there: an older process may push out a later one."""

    def _next_state_call(self, now: int) -> CallPlan | None:
        plan = super()._next_state_call(now)
        if plan and plan.purpose in (CallPurpose.JOIN, CallPurpose.BECOME_READY):
            return plan._replace(request=plan.request._replace(conditions=()))
        return plan


class NeverReleases(Membership):
    """Keeps what others should have."""

    class claims_type(RoleClaims):  # noqa: N801  stands for the attribute of this name
        """Gives nothing up."""

        def releasable(self) -> list[tuple[str, int]]:
            """Nothing."""
            return []


class ClaimsWithoutLease(Membership):
    """Claims with keys that are attached to no lease."""

    class claims_type(RoleClaims):  # noqa: N801  stands for the attribute of this name
        """Attaches nothing."""

        def _claim_call(self, roles: list[str], lease_id: int) -> CallPlan:
            plan = super()._claim_call(roles, lease_id)
            puts = tuple(Put(put.key, put.value) for put in plan.request.operations)
            return plan._replace(request=plan.request._replace(operations=puts))


MUTANTS = (
    NoDriftMargin,
    CountsLeaseFromReply,
    OmitsToken,
    KeepsOldTokens,
    IgnoresLeaseTime,
    ActsWhileReleasing,
    TakesUnknownForDone,
    TakesUnknownForNotDone,
    ReusesToken,
    ClaimsUnconditionally,
    IgnoresLaterProcess,
    IgnoresLeavingMembers,
    AcceptsStaleReplies,
    JoinsUnconditionally,
    NeverReleases,
    ClaimsWithoutLease,
)


def find_detecting_walk(mutant: Callable[..., Membership], walks: int, steps: int) -> walking.Finding | None:
    """Return the first walk that finds a mutant; None: none of them does."""
    return walking.find_failing_walk(lambda seed: membership_explorer.walk(seed, steps, mutant), walks)
