"""Mutants of the membership logic: the walks of the explorer have to find each of them.

A mutant is the product's class, the membership or its role claims, with one method changed. A mutant that no
walk finds shows a gap in the explorer or its invariants.
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
    """Takes a lease for valid for as long as it was granted, without the margin for clock drift."""

    def __init__(self, name: str, nonce: str, rules: MembershipRules, *other: Any) -> None:
        terms: LeaseTerms = rules.lease_terms._replace(max_drift=0.0)
        super().__init__(name, nonce, rules._replace(lease_terms=terms), *other)


class CountsLeaseFromReply(Membership):
    """Counts the duration of a lease from the receipt of the reply, not from the sending of the call."""

    def _renewal_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
        super()._renewal_replied(now, call._replace(sent_at=now), reply)


class OmitsToken(Membership):
    """Sends effects without the fencing token."""

    def fenced_transaction(
        self,
        role: str,
        token: int,
        operations: Iterable[Operation],
        conditions: Iterable[Condition] = (),
    ) -> Transaction:
        """Return a transaction that does not depend on the role's key."""
        del role, token
        return Transaction(tuple(conditions), tuple(operations))


class KeepsOldTokens(Membership):
    """Keeps its tokens when it loses its lease, and acts under them again once it has another lease."""

    def _reset_roles(self, reason: str) -> None:
        tokens = dict(self.claims.tokens)
        super()._reset_roles(reason)
        self.claims.tokens = tokens


class IgnoresLeaseTime(Membership):
    """Acts on a role after its lease has expired by its own clock."""

    def fencing_token(self, role: str, now: int) -> int:
        """Return the token without looking at the lease."""
        del now
        return self.claims.tokens.get(role, 0) if self.state == MemberState.JOINED else 0


class ActsWhileReleasing(Membership):
    """Goes on acting on a role that it releases until the reply to the release arrives."""

    class claims_type(RoleClaims):  # noqa: N801  stands for the attribute of this name
        """Keeps the token of a released role until the reply."""

        def lost(self, role: str, reason: str) -> None:
            """Keep the token when the release is sent."""
            if reason != "released":
                super().lost(role, reason)

        def release_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
            """Drop the token when the reply arrives."""
            for role in call.context:
                self.tokens.pop(role, None)
            super().release_replied(now, call, reply)


class TakesUnknownForDone(Membership):
    """Takes a claim whose reply was lost for successful."""

    def _handle_reply(self, now: int, call: PendingCall, reply: Reply) -> None:
        if call.purpose == CallPurpose.CLAIM_ROLES and reply.proof == Proof.UNKNOWN:
            reply = reply._replace(proof=Proof.DONE, revision=self.newest_revision + 1)
        super()._handle_reply(now, call, reply)


class TakesUnknownForNotDone(Membership):
    """Takes a release whose reply was lost for not executed, and goes on under the old token."""

    class claims_type(RoleClaims):  # noqa: N801  stands for the attribute of this name
        """Goes on with the roles after a lost reply to their release."""

        def release_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
            """Take the roles back if it is unknown whether they were released."""
            if reply.proof == Proof.UNKNOWN:
                for key, token in call.request.conditions:
                    self.won(key.removeprefix(ROLES_PREFIX), token)
            else:
                super().release_replied(now, call, reply)


class ReusesToken(Membership):
    """Takes a role under the token of its own key, found after the reply to the claim was lost.

    That is wrong because an older call under way may yet delete that key; the product writes the key again,
    for a new token.
    """

    class claims_type(RoleClaims):  # noqa: N801  stands for the attribute of this name
        """Does not write the role's key again for a new token."""

        def handle_role_key(self, now: int, role: str, item: KeyValue | None) -> None:
            """Take the role under the token found."""
            super().handle_role_key(now, role, item)
            if role in self.own_key_revisions:
                self.claim_at.pop(role)
                self.won(role, self.own_key_revisions.pop(role))


class ClaimsUnconditionally(Membership):
    """Claims a role whether or not another member holds it."""

    class claims_type(RoleClaims):  # noqa: N801  stands for the attribute of this name
        """Claims on the condition of the member's own key alone."""

        def _claim_call(self, roles: list[str], lease_id: int) -> CallPlan:
            plan = super()._claim_call(roles, lease_id)
            request = plan.request._replace(conditions=plan.request.conditions[:1])
            return plan._replace(request=request)


class IgnoresLaterProcess(Membership):
    """Ignores that a later process has its name."""

    def _superseded(self, now: int) -> None:
        pass


class IgnoresLeavingMembers(Membership):
    """Ignores that another member has left."""

    def member_changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Ignore the deletion of any key but its own."""
        if value is not None or key == self.identity.key:
            super().member_changed(now, key, value, revision)


class AcceptsStaleReplies(Membership):
    """Accepts replies to calls that it sent under a lease that it has lost since."""

    def call_replied(self, now: int, call: PendingCall, reply: Reply) -> None:
        """Accept every reply."""
        self.calls.void_until = 0
        super().call_replied(now, call, reply)


class JoinsUnconditionally(Membership):
    """Writes its own key whatever it holds: an older process may displace a later one of its name."""

    def _next_state_call(self, now: int) -> CallPlan | None:
        plan = super()._next_state_call(now)
        if plan and plan.purpose in (CallPurpose.JOIN, CallPurpose.BECOME_READY):
            return plan._replace(request=plan.request._replace(conditions=()))
        return plan


class NeverReleases(Membership):
    """Keeps roles that are assigned to other members."""

    class claims_type(RoleClaims):  # noqa: N801  stands for the attribute of this name
        """Releases no role."""

        def releasable(self) -> list[tuple[str, int]]:
            """Return no roles."""
            return []


class ClaimsWithoutLease(Membership):
    """Writes role keys without attaching them to its lease."""

    class claims_type(RoleClaims):  # noqa: N801  stands for the attribute of this name
        """Claims with keys that do not expire."""

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
    """Return the first walk that fails with a mutant; None: none of them does."""
    return walking.find_failing_walk(lambda seed: membership_explorer.walk(seed, steps, mutant), walks)
