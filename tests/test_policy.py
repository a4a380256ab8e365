"""Policies: their texts, checks and stored versions, and how the decision module applies them."""

import json

import pytest
from driver import MS, Driver, make_agreement, profile

from gullhold.interface import EngineState, Idempotency, Outcome, SetGrantAndPriority, Shed, Tenant
from gullhold.rollout.policy import (
    BudgetLimits,
    Deployment,
    Policy,
    budget_totals,
    decision_terms,
    differences,
    find_fault,
    parse_policy,
)
from gullhold.rollout.policy_change import PolicyChange
from gullhold.rollout.policy_version import INITIAL_VERSION, PolicyError, PolicyVersion
from gullhold.rollout.store_schema import (
    UNREADABLE_VOTE,
    decode_change,
    decode_version,
    decode_vote,
    encode_change,
    encode_version,
    encode_vote,
)
from gullhold.rollout.vote import CommandFigures, Vote, VoteKind

AGREEMENT = make_agreement(
    profile(name="read"),
    profile(name="once", idempotency=Idempotency.NON_IDEMPOTENT),
    tenants=(Tenant(0.7, name="a"), Tenant(0.3, name="b")),
)


def test_a_stored_version_is_rejected_when_it_was_altered():
    version = PolicyVersion(1, 0, "a", "why", 5, "policy: {}").sealed()
    stored = encode_version(version)
    assert decode_version(stored) == version
    assert decode_version(encode_version(INITIAL_VERSION)) == INITIAL_VERSION
    for unreadable in (
        stored[:-5],
        stored.replace('"why"', '"who"', 1),
        '{"number": 1}',
        "[]",
        encode_version(version._replace(text="policy: {grants: read: 1}")),
    ):
        with pytest.raises(PolicyError):
            decode_version(unreadable)


@pytest.mark.parametrize(
    "text, reason",
    [
        ("policy: {", "line"),
        ("policy: shares: a: 0", ""),
        ("policy: unheard: 1", ""),
        ("other: 1", ""),
        ("policy: priorities: read: 9", ""),
        ("policy: grants: read: 1.5", ""),
        ("x" * 200_000, "characters"),
    ],
)
def test_an_invalid_policy_text_is_rejected_with_one_line(text, reason):
    with pytest.raises(PolicyError) as error:
        parse_policy(text)
    assert "\n" not in str(error.value)
    assert not reason or reason in str(error.value) or ":" in str(error.value)


@pytest.mark.parametrize(
    "text, reason",
    [
        ("shares: c: 1", "no tenant"),
        ("grants: none: 1", "no profile"),
        ("sends: once: 2", "never run twice"),
        ("sends: read: 4", "allows 3"),
        ("budgets: threads: 9", "is no budget"),
        ("budgets: taken: 3", "are kept back"),
        ("schedules: warm: false", "no scheduled command"),
        ("clients: x: 2", "there is no door"),
        ("{shares: a: 2, sends: {read: 3, once: 1}, budgets: taken: 9}", ""),
    ],
)
def test_a_policy_is_rejected_when_it_does_not_fit_the_deployment(text, reason):
    policy = parse_policy(f"policy: {text}")
    fault = find_fault(policy, Deployment(AGREEMENT, {"taken": BudgetLimits(10, 4)}))
    assert (reason in fault) if reason else not fault


def test_settings_are_by_index_for_the_decision_module_and_by_name_for_operators():
    policy = parse_policy("policy: {shares: b: 0.35, grants: read: 20, priorities: once: 2}")
    weights, priorities, grants, sends = decision_terms(policy, AGREEMENT)
    assert weights == [2.0, 1.0]
    assert priorities == {1: 2}
    assert grants == {0: 20}
    assert sends == {}
    assert differences(Policy(*[{}] * len(Policy._fields)), policy) == [
        ("shares", "b", None, 0.35),
        ("priorities", "once", None, 2),
        ("grants", "read", None, 20),
    ]
    budgets = {"threads": BudgetLimits(9, 0), "cold": BudgetLimits(5, 0)}
    assert budget_totals(parse_policy("policy: budgets: threads: 4"), budgets) == {"threads": 4, "cold": 5}


class Gate:
    """A policy gate that a test opens and closes by its attributes."""

    def __init__(self):
        self.is_open, self.is_policy_unknown = True, False

    def may_dispatch(self):
        """Whether attempts may be sent."""
        return self.is_open

    def rejects_new(self):
        """Whether new commands are rejected."""
        return self.is_policy_unknown


def test_the_decisions_apply_a_policy_from_the_next_attempt_and_send_nothing_while_the_gate_is_closed():
    driver, gate = Driver(AGREEMENT), Gate()
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0))

    def adopt(text):
        terms = decision_terms(parse_policy(text), AGREEMENT)
        driver.carry_out(driver.gateway.apply_policy(driver.now, terms, gate))

    adopt("policy: {grants: read: 20, priorities: read: 2, sends: read: 1}")
    first = driver.submit()
    assert SetGrantAndPriority(first, 20, 2) in driver.results_of(SetGrantAndPriority)
    gate.is_open = False
    second = driver.submit()
    driver.wait(100 * MS)
    assert not driver.commands[second].open_attempt
    gate.is_open = True
    adopt("policy: grants: read: 30")
    assert driver.commands[second].open_attempt
    assert SetGrantAndPriority(second, 30, 3) in driver.results_of(SetGrantAndPriority)
    adopt("policy: sends: read: 1")
    driver.end_attempt(first, Outcome.RESET)  # the policy allows one attempt
    assert driver.commands[first].final == Shed
    gate.is_policy_unknown = True
    third = driver.submit()
    assert driver.commands[third].final == Shed
    assert not driver.commands[third].attempts_sent_at


def test_every_command_is_answered_in_time_while_the_gate_is_closed():
    driver, gate = Driver(AGREEMENT), Gate()
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0))
    gate.is_open = False
    terms = decision_terms(parse_policy("policy: {}"), AGREEMENT)
    driver.carry_out(driver.gateway.apply_policy(driver.now, terms, gate))
    for _ in range(5):
        driver.submit()
    driver.wait(5000 * MS)  # the driver fails if an answer is late
    assert all(cmd.final == Shed for cmd in driver.commands.values())


def test_unknown_values_of_a_later_version_are_kept_and_unknown_fields_are_rejected():
    stored = json.loads(encode_change(PolicyChange(INITIAL_VERSION)))
    later = json.dumps(stored | {"state": "paused", "overlap": "tight", "silence": "ask"})
    assert encode_change(decode_change(later)) == later
    with pytest.raises(PolicyError):
        decode_change(json.dumps(stored | {"unheard": 1}))
    vote = json.dumps(json.loads(encode_vote(Vote(1))) | {"word": "perhaps"})
    assert encode_vote(decode_vote(vote)) == vote


def test_a_vote_is_decoded_as_stored_or_as_unreadable():
    vote = Vote(2, 3, VoteKind.IN_CANARY, "", CommandFigures(4, 5, 6))
    assert json.loads(encode_vote(vote)) == {
        "under": 2,
        "about": 3,
        "word": "trial",
        "why": "",
        "figures": [4, 5, 6],
    }
    assert decode_vote(encode_vote(vote)) == vote
    for unreadable in ("", "[]", "{}", "7", '{"under": 1, "unheard": 2}'):
        assert decode_vote(unreadable) == UNREADABLE_VOTE
