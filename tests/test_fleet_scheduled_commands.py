"""The logic of scheduled commands, without I/O: what follows an open occurrence, and what is sent."""

import json

import pytest

from gullhold.fleet.occurrence import Occurrence, OccurrenceState
from gullhold.fleet.occurrence_records import MAX_SETTLED_RECORDS
from gullhold.fleet.recovery import (
    GiveUp,
    RetryAttempt,
    ScheduledCommandRules,
    ScheduledProfile,
    decide_recovery,
)
from gullhold.fleet.scheduled_command import RETRY_DELAY_US
from gullhold.fleet.store_calls import Proof
from gullhold.fleet.store_schema import decode_occurrence, encode_occurrence
from gullhold.testing import (
    scheduled_command_explorer,
    scheduled_command_mutants,
)
from gullhold.testing.scheduled_command_explorer import CommandHarness
from gullhold.testing.walking import FindingKind

S = 1_000_000  # us in a second

IDEMPOTENT, KEYED, NON_IDEMPOTENT = (
    ScheduledProfile(idempotency, 10 * S, 15 * S, True) for idempotency in range(3)
)
RULES = ScheduledCommandRules("a", 60 * S, 3, False, 100_000)


def occurrence(state=OccurrenceState.INTENT, attempts=1, started=1000 * S, due=1000 * S):
    """A stored occurrence. started, due: Unix us."""
    return Occurrence(due, state, 4, attempts, started, "n0")


@pytest.mark.parametrize(
    "profile, state, attempts, after_s, limit_s, reason",
    [
        (IDEMPOTENT, OccurrenceState.INTENT, 1, 5, 10, ""),
        (IDEMPOTENT, OccurrenceState.INTENT, 1, 61, 0, "its window is over"),
        (IDEMPOTENT, OccurrenceState.INTENT, 3, 5, 0, "3 tries"),
        (KEYED, OccurrenceState.INTENT, 1, 2, 10, ""),
        (KEYED, OccurrenceState.INTENT, 1, 10, 4.9, ""),
        (KEYED, OccurrenceState.INTENT, 1, 14, 0, "forgotten its mark"),
        (
            KEYED._replace(is_deduplicated_everywhere=False),
            OccurrenceState.INTENT,
            1,
            2,
            0,
            "not all engines",
        ),
        (NON_IDEMPOTENT, OccurrenceState.INTENT, 1, 0, 0, "check its effect by hand"),
        (NON_IDEMPOTENT, OccurrenceState.SHED, 1, 5, 10, ""),
        (NON_IDEMPOTENT, OccurrenceState.NOT_SENT, 2, 5, 10, ""),
        (NON_IDEMPOTENT, OccurrenceState.SHED, 1, 61, 0, "its window is over"),
    ],
)
def test_recovery_of_an_open_occurrence_follows_its_profile(
    profile, state, attempts, after_s, limit_s, reason
):
    decision = decide_recovery(RULES, profile, occurrence(state, attempts), 1000 * S + after_s * S)
    if limit_s:
        assert decision == RetryAttempt(limit_s * S)
        assert isinstance(decision, RetryAttempt)
        assert not reason
    else:
        assert isinstance(decision, GiveUp)
        assert reason
        assert reason in decision.reason


def test_an_occurrence_is_written_before_it_is_sent_and_after_it_is_answered():
    harness = CommandHarness(IDEMPOTENT).lead()
    assert not harness.sent
    assert not harness.store.records()
    harness.advance(S)
    assert harness.states() == [(1001, "intent")]
    assert len(harness.sent) == 1
    harness.end_attempt(OccurrenceState.ANSWERED)
    assert harness.states() == [(1001, "answered")]
    assert not harness.command.in_flight
    harness.advance(S)
    assert len(harness.sent) == 2
    assert harness.sent[0].idempotency_key != harness.sent[1].idempotency_key


def test_an_occurrence_due_while_the_last_runs_is_skipped_or_waits_and_missed_ones_are_counted():
    harness = CommandHarness(IDEMPOTENT).lead().advance(S).advance(S)
    assert harness.states() == [(1001, "intent"), (1002, "skipped")]
    assert len(harness.sent) == 1
    harness = (
        CommandHarness(IDEMPOTENT, rules=RULES._replace(waits_for_previous=True)).lead().advance(S).advance(S)
    )
    assert harness.states() == [(1001, "intent")]
    harness.end_attempt(OccurrenceState.ANSWERED)
    assert harness.states()[1] == (1002, "intent")
    late = CommandHarness(IDEMPOTENT, store=harness.store, member="n1")
    harness.store.token, late.now = 9, 1200 * S
    late.lead()
    skipped = [item for item in harness.store.records() if item.state == "skipped"]
    assert [(item.due_us // S, item.count) for item in skipped] == [(1139, 137), (1200, 60)]
    assert late.states()[-2] == (1140, "intent")  # the first due time within the window runs


@pytest.mark.parametrize(
    "profile, sends, states",
    [(IDEMPOTENT, 1, ["answered"]), (KEYED, 1, ["answered"]), (NON_IDEMPOTENT, 0, ["failed"])],
)
def test_the_next_leader_follows_the_profile_when_a_leader_vanishes_after_its_intent(profile, sends, states):
    first = CommandHarness(profile).lead().advance(S)
    first.store.token = 9
    second = CommandHarness(profile, store=first.store, member="n1")
    second.now = first.now + 100_000
    second.lead()
    assert len(second.sent) == sends
    if sends:
        assert second.sent[0].idempotency_key == first.sent[0].idempotency_key
        second.end_attempt(OccurrenceState.ANSWERED)
    assert [item.state for item in first.store.records()] == states
    assert any(event.level == "error" for event in second.logged) == (profile is NON_IDEMPOTENT)
    first.end_attempt(OccurrenceState.ANSWERED)  # the first leader resumes: its outcome is refused
    assert [item.state for item in first.store.records()] == states
    assert first.store.records()[0].member != "n2"


def test_a_keyed_attempt_ends_while_its_idempotency_key_is_remembered():
    profile = KEYED._replace(timeout_us=30 * S)
    first = CommandHarness(profile).lead().advance(S)
    # The limit counts from the intent, as engines may count how long they remember a key.
    assert first.sent[0].time_limit_us == 15 * S - 100_000
    first.store.token = 9
    second = CommandHarness(profile, store=first.store)
    second.now = first.now + 5 * S
    second.lead()
    assert second.sent[0].time_limit_us == 10 * S - 100_000


@pytest.mark.parametrize("proof", [Proof.UNKNOWN, Proof.NOT_DONE])
def test_an_intent_whose_reply_was_lost_is_sent_once_and_not_given_up(proof):
    harness = CommandHarness(NON_IDEMPOTENT).lead()
    harness.store.next_write = proof
    harness.advance(S)
    assert not harness.sent
    harness.advance(RETRY_DELAY_US)
    assert len(harness.sent) == 1
    assert harness.states()[0] == (1001, "intent")
    harness.store.next_write = proof
    harness.end_attempt(OccurrenceState.ANSWERED).advance(RETRY_DELAY_US)
    assert harness.states()[0] == (1001, "answered")
    assert len([attempt for attempt in harness.sent if attempt.due_us == 1001 * S]) == 1


def test_nothing_is_sent_if_the_fencing_token_is_invalid_once_the_intent_is_written():
    harness = CommandHarness(NON_IDEMPOTENT).lead()
    harness.may_act = False
    harness.advance(S)
    assert harness.states() == [(1001, "intent")]
    assert not harness.sent
    harness.command.lost()
    other = CommandHarness(NON_IDEMPOTENT, store=harness.store)
    harness.store.token, other.now = 9, harness.now
    other.lead()
    assert other.states()[0] == (1001, "failed")
    assert not other.sent


def test_a_shed_attempt_is_retried_and_a_failed_one_only_if_idempotent():
    harness = CommandHarness(NON_IDEMPOTENT).lead().advance(S).end_attempt(OccurrenceState.SHED)
    assert harness.states() == [(1001, "shed")]
    harness.advance(RETRY_DELAY_US)
    assert len(harness.sent) == 2
    harness.end_attempt(OccurrenceState.FAILED, "reset")
    assert harness.states() == [(1001, "failed")]
    assert harness.logged[-1].level == "error"
    harness = CommandHarness(IDEMPOTENT).lead().advance(S).end_attempt(OccurrenceState.FAILED)
    assert harness.states() == [(1001, "intent")]
    harness.advance(RETRY_DELAY_US).end_attempt(OccurrenceState.ANSWERED)
    assert harness.states() == [(1001, "answered")]
    assert [attempt.attempt for attempt in harness.sent] == [1, 2]


def test_a_leaving_member_begins_nothing_and_settled_records_are_bounded():
    harness = CommandHarness(IDEMPOTENT).lead()
    for _ in range(MAX_SETTLED_RECORDS + 15):
        harness.advance(S).end_attempt(OccurrenceState.ANSWERED)
    assert len(harness.store.records()) <= MAX_SETTLED_RECORDS + 2
    sent = len(harness.sent)
    harness.command.leave()
    harness.advance(5 * S)
    assert len(harness.sent) == sent


def test_random_walks_of_leaders_that_vanish_and_resume_break_no_profile():
    for seed in range(300):
        scheduled_command_explorer.walk(seed)


@pytest.mark.parametrize("mutant", scheduled_command_mutants.MUTANTS)
def test_the_walks_find_scheduled_command_mutants(mutant):
    finding = scheduled_command_mutants.find_detecting_walk(mutant, 300)
    assert finding is not None, f"no walk detects the mutant {mutant}"
    assert finding.kind is FindingKind.VIOLATION, finding


def test_an_occurrence_record_round_trips_and_an_invalid_one_is_none():
    original = occurrence()
    assert decode_occurrence(encode_occurrence(original)) == original
    assert decode_occurrence("{") is None
    assert decode_occurrence(json.dumps({"due_us": 1})) is None
