"""The fleet's decisions alone: owning, leases, spreading, backoff, scheduled commands, calendars."""

import json
from datetime import datetime
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gullhold.fleet.backoff import Backoff
from gullhold.fleet.calendar import Calendar, InvalidCalendarError
from gullhold.fleet.lease import Lease, LeaseTerms
from gullhold.fleet.membership import Membership
from gullhold.fleet.membership_types import CallStore, MembershipRules, MemberState, RoleLost
from gullhold.fleet.occurrence import Occurrence, OccurrenceState
from gullhold.fleet.rate_limit import RateLimit
from gullhold.fleet.recovery import (
    GiveUp,
    RetryAttempt,
    ScheduledCommandRules,
    ScheduledProfile,
    decide_recovery,
)
from gullhold.fleet.role_assignment import RoleAssignment
from gullhold.fleet.scheduled_command import KEPT_RECORDS, RETRY_DELAY_US
from gullhold.fleet.store_calls import Delete, Get, KeyValue, Proof, Put, Reply
from gullhold.fleet.store_schema import decode_occurrence, encode_occurrence
from gullhold.testing import (
    membership_explorer,
    membership_mutants,
    scheduled_command_explorer,
    scheduled_command_mutants,
)
from gullhold.testing.scheduled_command_explorer import Play

S = 1_000_000


# Leases, backoff, moves


def test_a_lease_counts_from_when_we_asked_by_a_clock_that_may_be_slow():
    lease = Lease(LeaseTerms(10, 0.1, 500_000))
    assert not lease.is_valid(0)
    lease.renew(7, sent_at=1 * S)
    assert lease.is_valid(9_499_999) and not lease.is_valid(9_500_000)
    lease.renew(7, sent_at=0)  # a reply that comes out of turn takes nothing back
    assert lease.valid_until == 9_500_000 and lease.renew_at() < 4 * S + 200_000
    lease.renew(8, sent_at=2 * S)
    assert lease.valid_until == 10_500_000
    lease.clear()
    assert not lease.is_valid(2 * S)


def test_pauses_grow_and_are_spread_and_moves_are_bounded_over_any_second():
    backoff = Backoff(100, 1000, lambda: 0.5)
    assert [backoff.next_delay_us() for _ in range(6)] == [75, 150, 300, 600, 750, 750]
    backoff.reset()
    assert backoff.next_delay_us() == 75
    limit = RateLimit(10, 0)
    assert limit.take(0, 50) == 10 and limit.take(50_000, 50) == 0 and limit.ready_at(50_000) > 50_000
    assert sum(limit.take(at, 50) for at in range(100_000, 2_000_001, 50_000)) <= 20


# Spreading


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.lists(st.sets(st.sampled_from([f"n{i}" for i in range(9)]), min_size=1), min_size=1, max_size=8))
def test_duties_move_only_to_who_comes_and_from_who_goes(changes):
    assignment, before, members = RoleAssignment([f"d{i}" for i in range(60)]), {}, set()
    for now in changes:
        moved = assignment.update_members(now)
        assert set(assignment.leaders.values()) <= now
        for duty, old in before.items():
            if assignment.leaders[duty] != old:
                assert old not in now or assignment.leaders[duty] not in members
                assert duty in moved
        alone = RoleAssignment(assignment.roles)
        alone.update_members(now)
        assert alone.leaders == assignment.leaders  # whatever came before, all members agree
        before, members = dict(assignment.leaders), set(now)


def test_duties_are_spread_evenly_and_nobody_owns_where_nobody_is():
    assignment = RoleAssignment(range(10_000))
    assignment.update_members([f"n{i}" for i in range(12)])
    counts = [list(assignment.leaders.values()).count(f"n{i}") for i in range(12)]
    assert max(counts) < 1.2 * 10_000 / 12
    assert len(assignment.update_members([])) == 10_000 and assignment.leaders == {}


# Owning: every order of events that walks come upon


def test_walks_through_losses_backoff_restarts_and_lease_ends_keep_every_promise():
    met = set()
    for seed in range(60):
        met |= membership_explorer.walk(seed, 120)
    assert len(met) > 2000


def test_every_order_of_a_few_events_is_gone_through_from_a_fleet_that_has_settled():
    met, whole = membership_explorer.explore(3, 600)
    assert met >= 300 and whole >= 2


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
def test_the_walks_find_decisions_that_are_wrong(mutant):
    assert membership_mutants.find(mutant, 60, 160)


def member(roles=("d",), settle_us=0):
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
    assert one.state == MemberState.IN and one.claims.tokens == dict.fromkeys(roles, 3)
    return one


def calls(one):
    return [action.call for action in one.take_actions() if isinstance(action, CallStore)]


def test_a_read_from_the_past_is_not_believed():
    one = member()
    one.tick(0)
    one.newest_revision = 9
    one.call_replied(0, calls(one)[0], Reply(Proof.DONE, 9, lease=5, ttl_s=1))
    (read,) = calls(one)
    one.call_replied(0, read, Reply(Proof.DONE, 4, items=(KeyValue("members/ghost", '{"ready": true}', 3),)))
    assert one.state == MemberState.READING and not one.members


def test_a_key_that_a_lost_call_left_behind_is_found_by_the_audit_and_let_go():
    one = joined(("d", "e"))
    one.claims.excess, one.claims.assignment.leaders["e"] = {}, "b"
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
    assert release.request.conditions == (("duties/e", 8),) and release.request.operations == (
        Delete("duties/e"),
    )


def test_an_effect_compares_the_token_and_nothing_is_begun_on_a_lease_that_is_not_sure():
    one = joined()
    assert one.fencing_token("d", 0) == 3 and one.fencing_token("other", 0) == 0
    request = one.fenced_transaction("d", 3, (Put("k", "v"),), (("k", 0),))
    assert request.conditions == (("duties/d", 3), ("k", 0)) and request.operations == (Put("k", "v"),)
    assert one.fencing_token("d", 900_000 - 1) == 3 and one.fencing_token("d", 900_000) == 0
    one.tick(900_000)
    assert RoleLost("d", "its lease is not sure") in one.take_actions()


def test_leaving_frees_all_with_one_call_but_waits_for_work_in_its_middle():
    one = joined()
    one.leave(0)
    assert [call.purpose for call in calls(one)] == ["revoke"]
    one = joined(("d", "e"))
    one.set_busy("d", True)
    one.leave(0)
    (release,) = calls(one)
    assert release.purpose == "release" and release.about == ("e",)
    assert one.fencing_token("d", 0) and not one.fencing_token("e", 0)
    one.call_replied(0, release, Reply(Proof.DONE, 7))
    one.tick(400_000)  # it keeps its lease meanwhile
    assert [call.purpose for call in calls(one)] == ["keep"]
    one.set_busy("d", False)
    one.tick(500_000)
    one.tick(S)  # nothing was heard of either: leaving ends all the same
    assert one.state == MemberState.OUT


def test_work_in_its_middle_is_not_let_go_for_another_member():
    one = joined(("d", "e"))
    one.set_busy("d", True)
    one.claims.excess = {"d": 3}
    assert one.claims.releasable() == []
    one.set_busy("d", False)
    assert one.claims.releasable() == [("d", 3)]


# Scheduled commands: what an open record may become


REPLAY, UNIQ, ONCE = (ScheduledProfile(effect, 10 * S, 15 * S, True) for effect in range(3))
RULE = ScheduledCommandRules("a", 60 * S, 3, False, 100_000)


def record(state=OccurrenceState.INTENT, tries=1, began=1000 * S, due=1000 * S):
    return Occurrence(due, state, 4, tries, began, "n0")


@pytest.mark.parametrize(
    "kind, state, tries, after_s, limit_s, why",
    [
        (REPLAY, OccurrenceState.INTENT, 1, 5, 10, ""),
        (REPLAY, OccurrenceState.INTENT, 1, 61, 0, "its window is over"),
        (REPLAY, OccurrenceState.INTENT, 3, 5, 0, "3 tries"),
        (UNIQ, OccurrenceState.INTENT, 1, 2, 10, ""),
        (UNIQ, OccurrenceState.INTENT, 1, 10, 4.9, ""),
        (UNIQ, OccurrenceState.INTENT, 1, 14, 0, "forgotten its mark"),
        (UNIQ._replace(is_deduplicated_everywhere=False), OccurrenceState.INTENT, 1, 2, 0, "not all engines"),
        (ONCE, OccurrenceState.INTENT, 1, 0, 0, "check its effect by hand"),
        (ONCE, OccurrenceState.SHED, 1, 5, 10, ""),
        (ONCE, OccurrenceState.UNDONE, 2, 5, 10, ""),
        (ONCE, OccurrenceState.SHED, 1, 61, 0, "its window is over"),
    ],
)
def test_an_open_record_is_gone_on_with_as_its_profile_allows(kind, state, tries, after_s, limit_s, why):
    decision = decide_recovery(RULE, kind, record(state, tries), 1000 * S + after_s * S)
    if limit_s:
        assert decision == RetryAttempt(limit_s * S) and isinstance(decision, RetryAttempt) and not why
    else:
        assert isinstance(decision, GiveUp) and why and why in decision.reason


def test_an_occurrence_is_written_before_it_is_sent_and_after_it_is_answered():
    play = Play(REPLAY).lead()
    assert not play.sent and not play.store.records()
    play.go(S)
    assert play.states() == [(1001, "intent")] and len(play.sent) == 1
    play.end(OccurrenceState.ANSWERED)
    assert play.states() == [(1001, "answered")] and not play.command.in_flight
    play.go(S)
    assert (
        len(play.sent) == 2 and play.sent[0].idempotency_key != play.sent[1].idempotency_key
    )  # each has a mark of its own


def test_one_that_is_due_while_the_last_runs_is_skipped_or_waits_and_missed_ones_are_counted():
    play = Play(REPLAY).lead().go(S).go(S)
    assert play.states() == [(1001, "intent"), (1002, "skipped")] and len(play.sent) == 1
    play = Play(REPLAY, rules=RULE._replace(waits_for_previous=True)).lead().go(S).go(S)
    assert play.states() == [(1001, "intent")]
    play.end(OccurrenceState.ANSWERED)
    assert play.states()[1] == (1002, "intent")
    late = Play(REPLAY, store=play.store, member="n1")
    play.store.token, late.now = 9, 1200 * S
    late.lead()
    skipped = [item for item in play.store.records() if item.state == "skipped"]
    assert [(item.due_us // S, item.count) for item in skipped] == [(1139, 137), (1200, 60)]
    assert late.states()[-2] == (1140, "intent")  # what is due and not too late runs


@pytest.mark.parametrize(
    "kind, sends, states", [(REPLAY, 1, ["answered"]), (UNIQ, 1, ["answered"]), (ONCE, 0, ["failed"])]
)
def test_where_the_owner_vanished_after_the_intent_the_next_one_goes_by_the_profile(kind, sends, states):
    first = Play(kind).lead().go(S)
    first.store.token = 9
    second = Play(kind, store=first.store, member="n1")
    second.now = first.now + 100_000
    second.lead()
    assert len(second.sent) == sends
    if sends:
        assert second.sent[0].idempotency_key == first.sent[0].idempotency_key  # the same mark
        second.end(OccurrenceState.ANSWERED)
    assert [item.state for item in first.store.records()] == states
    assert any(event.level == "error" for event in second.logged) == (kind is ONCE)
    first.end(OccurrenceState.ANSWERED)  # the first one wakes: its outcome is refused
    assert [item.state for item in first.store.records()] == states and first.store.records()[
        0
    ].member != "n2"


def test_a_uniqued_send_is_over_while_its_mark_is_known():
    kind = UNIQ._replace(timeout_us=30 * S)
    first = Play(kind).lead().go(S)
    assert (
        first.sent[0].time_limit_us == 15 * S - 100_000
    )  # its limit counts from the intent, as engines may do
    first.store.token = 9
    second = Play(kind, store=first.store)
    second.now = first.now + 5 * S
    second.lead()
    assert second.sent[0].time_limit_us == 10 * S - 100_000


@pytest.mark.parametrize("lost", [Proof.UNKNOWN, Proof.NOT_DONE])
def test_an_intent_whose_reply_was_lost_is_sent_once_and_not_given_up(lost):
    play = Play(ONCE).lead()
    play.store.next_write = lost
    play.go(S)
    assert not play.sent
    play.go(RETRY_DELAY_US)
    assert len(play.sent) == 1 and play.states()[0] == (1001, "intent")
    play.store.next_write = lost
    play.end(OccurrenceState.ANSWERED).go(RETRY_DELAY_US)
    assert play.states()[0] == (1001, "answered") and len([s for s in play.sent if s.due_us == 1001 * S]) == 1


def test_nothing_is_sent_where_the_token_no_longer_holds_when_the_intent_is_known():
    play = Play(ONCE).lead()
    play.may_act = False
    play.go(S)
    assert play.states() == [(1001, "intent")] and not play.sent
    play.command.lost()
    other = Play(ONCE, store=play.store)
    play.store.token, other.now = 9, play.now
    other.lead()
    assert other.states()[0] == (1001, "failed") and not other.sent


def test_a_shed_try_has_no_effect_and_is_tried_again_a_failure_promises_nothing():
    play = Play(ONCE).lead().go(S).end(OccurrenceState.SHED)
    assert play.states() == [(1001, "shed")]
    play.go(RETRY_DELAY_US)
    assert len(play.sent) == 2
    play.end(OccurrenceState.FAILED, "reset")
    assert play.states() == [(1001, "failed")] and play.logged[-1].level == "error"
    play = Play(REPLAY).lead().go(S).end(OccurrenceState.FAILED)
    assert play.states() == [(1001, "intent")]
    play.go(RETRY_DELAY_US).end(OccurrenceState.ANSWERED)
    assert play.states() == [(1001, "answered")] and [attempt.attempt for attempt in play.sent] == [1, 2]


def test_while_leaving_nothing_is_begun_and_settled_records_are_bounded():
    play = Play(REPLAY).lead()
    for _ in range(KEPT_RECORDS + 15):
        play.go(S).end(OccurrenceState.ANSWERED)
    assert len(play.store.records()) <= KEPT_RECORDS + 2
    sent = len(play.sent)
    play.command.leave()
    play.go(5 * S)
    assert len(play.sent) == sent


def test_walks_of_owners_that_vanish_and_wake_break_no_profile():
    for seed in range(300):
        scheduled_command_explorer.walk(seed)


@pytest.mark.parametrize("mutant", scheduled_command_mutants.MUTANTS)
def test_the_walks_find_plans_that_are_wrong(mutant):
    assert scheduled_command_mutants.find(mutant, 300)


def test_a_record_is_read_as_it_was_written_and_nonsense_is_none():
    one = record()
    assert decode_occurrence(encode_occurrence(one)) == one
    assert decode_occurrence("{") is None and decode_occurrence(json.dumps({"due_us": 1})) is None


# Calendars


def test_daylight_saving_skips_and_repeats_no_day():
    calendar = Calendar("30 2 * * *", "Europe/Brussels", 0)
    zone = ZoneInfo("Europe/Brussels")

    def after(*when):
        at = calendar.after(int(datetime(*when, tzinfo=zone).timestamp()) * S)
        return datetime.fromtimestamp(at // S, zone).strftime("%d %H:%M")

    assert after(2026, 3, 28, 12) == "29 03:00"  # 02:30 does not exist that day
    assert after(2026, 10, 24, 12) == "25 02:30"  # it comes twice, and is due once
    assert after(2026, 10, 25, 4) == "26 02:30"


def test_a_calendar_counts_what_was_missed_and_names_what_it_cannot_use():
    calendar = Calendar("*/2 * * * * *", "UTC", 0)
    assert calendar.between(1000 * S, 1009 * S) == (4, 1008 * S)
    assert Calendar("", "UTC", 300_000).between(1000 * S, 1001 * S) == (3, 1000_800_000)
    assert calendar.between(1000 * S, 999 * S) == (0, 1000 * S)
    for bad in (
        ("61 * * * *", "UTC", 0),
        ("* * * * *", "Mars/Base", 0),
        ("", "UTC", 0),
        ("* * * * *", "UTC", 5),
    ):
        with pytest.raises(InvalidCalendarError):
            Calendar(*bad)
