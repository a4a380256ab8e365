"""The decisions of members alone: in every order of events that walks come upon, and one by one."""

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

S = 1_000_000  # us


def test_random_walks_through_losses_pauses_restarts_and_lease_ends_break_no_rule():
    met = set()
    for seed in range(60):
        met |= membership_explorer.walk(seed, 120)
    assert len(met) > 2000


def test_every_order_of_a_few_events_is_explored_from_a_settled_fleet():
    met, whole = membership_explorer.explore(3, 600)
    assert met >= 300
    assert whole >= 2


@pytest.mark.parametrize(
    "mutant",
    [
        membership_mutants.NoDriftMargin,
        membership_mutants.TokenNotCompared,
        membership_mutants.LeaseNotLooked,
        membership_mutants.ActsWhileReleasing,
        membership_mutants.MaybeIsDone,
        membership_mutants.ClaimsHeld,
    ],
)
def test_the_walks_find_membership_mutants(mutant):
    finding = membership_mutants.find(mutant, 60, 160)
    assert finding is not None, finding
    assert finding.kind is FindingKind.VIOLATION, finding


def member(roles=("d",), settle_us=0):
    """A member that has not called the store yet; its lease lasts for one second."""
    rules = MembershipRules(LeaseTerms(1, 0.1, 0), settle_us, 100, 50_000, 100_000, S)
    return Membership("a", "x", rules, roles, lambda: 0.5, 0)


def joined(roles=("d",), now=0):
    """A member that is in and owns all."""
    one = member(roles)
    one.tick(now)
    for reply in (
        Reply(Proof.DONE, 1, lease=5, ttl_s=1),
        Reply(Proof.DONE, 1),
        Reply(Proof.DONE, 2),
        Reply(Proof.DONE, 3),
    ):
        (call,) = calls(one)
        one.call_replied(now, call, reply)
    assert one.state == MemberState.JOINED
    assert one.claims.tokens == dict.fromkeys(roles, 3)
    return one


def calls(one):
    """The store calls that a member wants to be made now."""
    return [action.call for action in one.take_actions() if isinstance(action, CallStore)]


def test_a_stale_read_is_ignored():
    one = member()
    one.tick(0)
    one.newest_revision = 9
    one.call_replied(0, calls(one)[0], Reply(Proof.DONE, 9, lease=5, ttl_s=1))
    (read,) = calls(one)
    one.call_replied(0, read, Reply(Proof.DONE, 4, items=(KeyValue("members/ghost", '{"ready": true}', 3),)))
    assert one.state == MemberState.READING
    assert not one.members


def test_a_key_left_behind_by_a_lost_call_is_found_by_the_audit_and_released():
    one = joined(("d", "e"))
    one.claims.to_release, one.claims.assignment.leaders["e"] = {}, "b"
    one.claims.lost("e", "test")
    one.lease.valid_until = one.claims.audit_at = 6 * S
    one.lease.valid_until += 100 * S
    one.tick(6 * S)
    (audit,) = calls(one)
    assert audit.purpose == "audit"
    one.call_replied(6 * S, audit, Reply(Proof.DONE, 9, keys=("members/a", "duties/d", "duties/e")))
    (look,) = calls(one)
    assert look.request.operations == (Get("duties/e"),)
    one.call_replied(6 * S, look, Reply(Proof.DONE, 9, items=(KeyValue("duties/e", '{"nonce": "x"}', 8, 5),)))
    (release,) = calls(one)
    assert release.request.conditions == (("duties/e", 8),)
    assert release.request.operations == (Delete("duties/e"),)


def test_an_effect_compares_the_fencing_token_and_nothing_begins_on_an_unsure_lease():
    one = joined()
    assert one.fencing_token("d", 0) == 3
    assert one.fencing_token("other", 0) == 0
    request = one.fenced_transaction("d", 3, (Put("k", "v"),), (("k", 0),))
    assert request.conditions == (("duties/d", 3), ("k", 0))
    assert request.operations == (Put("k", "v"),)
    assert one.fencing_token("d", 900_000 - 1) == 3
    assert one.fencing_token("d", 900_000) == 0
    one.tick(900_000)
    assert RoleLost("d", "lease not confirmed in time") in one.take_actions()


def test_leaving_releases_all_roles_with_one_call_but_waits_for_work_in_progress():
    one = joined()
    one.leave(0)
    assert [call.purpose for call in calls(one)] == ["revoke"]
    one = joined(("d", "e"))
    one.set_busy("d", True)
    one.leave(0)
    (release,) = calls(one)
    assert release.purpose == "release"
    assert release.context == ("e",)
    assert one.fencing_token("d", 0)
    assert not one.fencing_token("e", 0)
    one.call_replied(0, release, Reply(Proof.DONE, 7))
    one.tick(400_000)  # it keeps its lease meanwhile
    assert [call.purpose for call in calls(one)] == ["keep"]
    one.set_busy("d", False)
    one.tick(500_000)
    one.tick(S)  # nothing was heard of either: leaving ends all the same
    assert one.state == MemberState.LEFT


def test_a_role_with_work_in_progress_is_not_released_to_another_member():
    one = joined(("d", "e"))
    one.set_busy("d", True)
    one.claims.to_release = {"d": 3}
    assert one.claims.releasable() == []
    one.set_busy("d", False)
    assert one.claims.releasable() == [("d", 3)]
