"""The logic of members, without I/O: random walks, exploration of all orders of events, and single cases."""

import pytest

from gullhold.fleet.lease import LeaseTerms
from gullhold.fleet.membership import Membership
from gullhold.fleet.membership_types import CallStore, MembershipRules, MemberState, RoleLost
from gullhold.fleet.store_calls import Delete, Get, KeyValue, Proof, Put, Reply
from gullhold.testing import (
    membership_explorer,
    membership_mutants,
)
from gullhold.testing.walking import FindingKind

S = 1_000_000  # us in a second


def test_random_walks_through_losses_pauses_restarts_and_lease_ends_break_no_rule():
    states = set()
    for seed in range(60):
        states |= membership_explorer.walk(seed, 120)
    assert len(states) > 2000


def test_every_order_of_a_few_events_is_explored_from_a_settled_fleet():
    state_count, complete_depth = membership_explorer.explore(3, 600)
    assert state_count >= 300
    assert complete_depth >= 2


@pytest.mark.parametrize(
    "mutant",
    [
        membership_mutants.NoDriftMargin,
        membership_mutants.OmitsToken,
        membership_mutants.IgnoresLeaseTime,
        membership_mutants.ActsWhileReleasing,
        membership_mutants.TakesUnknownForDone,
        membership_mutants.ClaimsUnconditionally,
    ],
)
def test_the_walks_find_membership_mutants(mutant):
    finding = membership_mutants.find_detecting_walk(mutant, 60, 160)
    assert finding is not None, f"no walk detects the mutant {mutant}"
    assert finding.kind is FindingKind.VIOLATION, finding


def new_member(roles=("d",), settle_us=0):
    """A member that has not called the store yet; its lease lasts for one second."""
    rules = MembershipRules(LeaseTerms(1, 0.1, 0), settle_us, 100, 50_000, 100_000, S)
    return Membership("a", "x", rules, roles, lambda: 0.5, 0)


def joined_member(roles=("d",), now=0):
    """A member that has joined and leads all roles."""
    member = new_member(roles)
    member.tick(now)
    for reply in (
        Reply(Proof.DONE, 1, lease=5, ttl_s=1),
        Reply(Proof.DONE, 1),
        Reply(Proof.DONE, 2),
        Reply(Proof.DONE, 3),
    ):
        (call,) = calls(member)
        member.call_replied(now, call, reply)
    assert member.state == MemberState.JOINED
    assert member.claims.tokens == dict.fromkeys(roles, 3)
    return member


def calls(member):
    """The calls to the store that a member hands out now."""
    return [action.call for action in member.take_actions() if isinstance(action, CallStore)]


def test_a_stale_read_is_ignored():
    member = new_member()
    member.tick(0)
    member.newest_revision = 9
    member.call_replied(0, calls(member)[0], Reply(Proof.DONE, 9, lease=5, ttl_s=1))
    (read,) = calls(member)
    member.call_replied(
        0, read, Reply(Proof.DONE, 4, items=(KeyValue("members/ghost", '{"ready": true}', 3),))
    )
    assert member.state == MemberState.READING
    assert not member.members


def test_a_key_left_behind_by_a_lost_call_is_found_by_the_audit_and_released():
    member = joined_member(("d", "e"))
    member.claims.to_release, member.claims.assignment.leaders["e"] = {}, "b"
    member.claims.lost("e", "test")
    member.lease.valid_until = member.claims.audit_at = 6 * S
    member.lease.valid_until += 100 * S
    member.tick(6 * S)
    (audit,) = calls(member)
    assert audit.purpose == "audit"
    member.call_replied(6 * S, audit, Reply(Proof.DONE, 9, keys=("members/a", "duties/d", "duties/e")))
    (inspect,) = calls(member)
    assert inspect.request.operations == (Get("duties/e"),)
    member.call_replied(
        6 * S, inspect, Reply(Proof.DONE, 9, items=(KeyValue("duties/e", '{"nonce": "x"}', 8, 5),))
    )
    (release,) = calls(member)
    assert release.request.conditions == (("duties/e", 8),)
    assert release.request.operations == (Delete("duties/e"),)


def test_a_write_compares_the_fencing_token_and_there_is_no_token_once_the_lease_may_have_ended():
    member = joined_member()
    assert member.fencing_token("d", 0) == 3
    assert member.fencing_token("other", 0) == 0
    request = member.fenced_transaction("d", 3, (Put("k", "v"),), (("k", 0),))
    assert request.conditions == (("duties/d", 3), ("k", 0))
    assert request.operations == (Put("k", "v"),)
    assert member.fencing_token("d", 900_000 - 1) == 3
    assert member.fencing_token("d", 900_000) == 0
    member.tick(900_000)
    assert RoleLost("d", "lease not confirmed in time") in member.take_actions()


def test_leaving_releases_all_roles_with_one_call_but_waits_for_work_in_progress():
    member = joined_member()
    member.leave(0)
    assert [call.purpose for call in calls(member)] == ["revoke"]
    member = joined_member(("d", "e"))
    member.set_busy("d", True)
    member.leave(0)
    (release,) = calls(member)
    assert release.purpose == "release"
    assert release.context == ("e",)
    assert member.fencing_token("d", 0)
    assert not member.fencing_token("e", 0)
    member.call_replied(0, release, Reply(Proof.DONE, 7))
    member.tick(400_000)  # it renews its lease while a role is busy
    assert [call.purpose for call in calls(member)] == ["keep"]
    member.set_busy("d", False)
    member.tick(500_000)
    member.tick(S)  # neither call got a reply: leaving ends at its deadline
    assert member.state == MemberState.LEFT


def test_a_role_with_work_in_progress_is_not_released_to_another_member():
    member = joined_member(("d", "e"))
    member.set_busy("d", True)
    member.claims.to_release = {"d": 3}
    assert member.claims.releasable() == []
    member.set_busy("d", False)
    assert member.claims.releasable() == [("d", 3)]
