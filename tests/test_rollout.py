"""Policies and their changes, and the walks through them: the decisions alone."""

from dataclasses import replace

import pytest
from driver import MS, Driver, make_agreement, profile
from hypothesis import given, settings
from hypothesis import strategies as st

from gullhold.budgets.allocator import Budget
from gullhold.budgets.allocator_role import AllocatorRole
from gullhold.budgets.budget_schema import REPORTS, Usage, UsageReport, encode_report
from gullhold.budgets.ledger import LedgerKind
from gullhold.fleet.lease import Lease, LeaseTerms
from gullhold.fleet.role_state import IDLE_STEP_US, RETRY_US, WriteKeys
from gullhold.fleet.store_calls import KeyValue, Proof, Reply
from gullhold.interface import EngineState, Idempotency, Outcome, SetTerms, Shed, Tenant
from gullhold.rollout import canary
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
from gullhold.rollout.policy_change import Canary, ChangeState, OnSilence, Overlap, PolicyChange
from gullhold.rollout.policy_gate import CutOffRule, PolicyGate
from gullhold.rollout.policy_version import INITIAL_VERSION, PolicyError, PolicyVersion
from gullhold.rollout.proposal import propose
from gullhold.rollout.rollout_coordinator import RolloutCoordinator
from gullhold.rollout.store_schema import (
    CHANGE_KEY,
    VOTES,
    decode_change,
    decode_version,
    encode_change,
    encode_version,
    encode_vote,
)
from gullhold.rollout.vote import CommandFigures, Vote, VoteKind
from gullhold.testing import budget_explorer, budget_mutants, change_world, changecheck, changemutants
from gullhold.testing.policycheck import Changes, mixed

VERSION = PolicyVersion(1, 0, "", "", 0, "policy: {}").sealed()
AGREEMENT = make_agreement(
    profile(name="read"),
    profile(name="once", idempotency=Idempotency.NON_IDEMPOTENT),
    tenants=(Tenant(0.7, name="a"), Tenant(0.3, name="b")),
)


def test_a_record_is_what_was_sealed_or_nothing():
    version = PolicyVersion(1, 0, "a", "why", 5, "policy: {}").sealed()
    stored = encode_version(version)
    assert decode_version(stored) == version
    assert decode_version(encode_version(INITIAL_VERSION)) == INITIAL_VERSION
    for spoilt in (
        stored[:-5],
        stored.replace('"why"', '"who"', 1),
        '{"number": 1}',
        "[]",
        encode_version(version._replace(text="policy: {grants: read: 1}")),
    ):
        with pytest.raises(PolicyError):
            decode_version(spoilt)


@pytest.mark.parametrize(
    "text, why",
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
def test_a_policy_that_can_not_be_read_is_one_line(text, why):
    with pytest.raises(PolicyError) as fault:
        parse_policy(text)
    assert "\n" not in str(fault.value) and (not why or why in str(fault.value) or ":" in str(fault.value))


@pytest.mark.parametrize(
    "text, why",
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
def test_a_policy_is_checked_against_the_agreement_and_the_budgets(text, why):
    policy = parse_policy(f"policy: {text}")
    found = find_fault(policy, Deployment(AGREEMENT, {"taken": BudgetLimits(10, 4)}))
    assert (why in found) if why else not found


def test_what_a_policy_says_is_by_index_for_the_module_and_by_name_for_staff():
    policy = parse_policy("policy: {shares: b: 0.35, grants: read: 20, priorities: once: 2}")
    weights, priorities, grants, sends = decision_terms(policy, AGREEMENT)
    assert weights == [2.0, 1.0] and priorities == {1: 2} and grants == {0: 20} and sends == {}
    assert differences(Policy(*[{}] * len(Policy._fields)), policy) == [
        ("shares", "b", None, 0.35),
        ("priorities", "once", None, 2),
        ("grants", "read", None, 20),
    ]
    budgets = {"threads": BudgetLimits(9, 0), "cold": BudgetLimits(5, 0)}
    assert budget_totals(parse_policy("policy: budgets: threads: 4"), budgets) == {"threads": 4, "cold": 5}


class Gate:
    """A gate that a test opens and shuts."""

    def __init__(self):
        self.open, self.away = True, False

    def may_dispatch(self):
        return self.open

    def rejects_new(self):
        return self.away


def test_the_module_goes_by_a_policy_from_the_next_send_and_sends_nothing_while_the_gate_is_closed():
    world, gate = Driver(AGREEMENT), Gate()
    world.engines((1, 0, 0, EngineState.READY, 0, 0))

    def adopt(text):
        terms = decision_terms(parse_policy(text), AGREEMENT)
        world.obey(world.gateway.apply_policy(world.now, terms, gate))

    adopt("policy: {grants: read: 20, priorities: read: 2, sends: read: 1}")
    first = world.command()
    assert SetTerms(first, 20, 2) in world.log
    gate.open = False
    second = world.command()
    world.wait(100 * MS)
    assert not world.commands[second]["out"]
    gate.open = True
    adopt("policy: grants: read: 30")
    assert world.commands[second]["out"] and SetTerms(second, 30, 3) in world.log
    adopt("policy: sends: read: 1")
    world.end(first, Outcome.RESET)  # one send is all there is
    assert world.commands[first]["final"] == Shed
    gate.away = True  # it is not known by what to decide
    third = world.command()
    assert world.commands[third]["final"] == Shed and not world.commands[third]["sends"]


def test_while_the_gate_is_closed_every_command_still_gets_its_answer_in_time():
    world, gate = Driver(AGREEMENT), Gate()
    world.engines((1, 0, 0, EngineState.READY, 0, 0))
    gate.open = False
    terms = decision_terms(parse_policy("policy: {}"), AGREEMENT)
    world.obey(world.gateway.apply_policy(world.now, terms, gate))
    for _ in range(5):
        world.command()
    world.wait(5000 * MS)  # the driver fails where one is late
    assert all(cmd["final"] == Shed for cmd in world.commands.values())


def test_the_checkers_see_what_is_mixed_and_what_was_decided_without_a_word():
    assert mixed([(1.0, 0), (2.0, 1), (2.5, 0), (3.0, 1)]) == (1, 500.0)
    assert mixed([(1.0, 0), (2.0, 1), (3.0, 2)]) == (0, 0)
    change = PolicyChange(VERSION, ChangeState.DECIDED)

    def line(key, value, lease=0):
        return {"what": "txn", "met": True, "acts": [["put", f"/gullhold/rig/{key}", value, lease]]}

    def journal(vote, change):
        return [
            line("policy/words/a/1", encode_vote(vote), 1),
            line("policy/now/change", encode_change(change)),
        ]

    ready = Vote(0, 1, VoteKind.READY)
    lines = journal(ready, change)
    assert (Changes(lines).without_all, Changes(lines).turned_down) == (0, 0)
    lines = journal(ready._replace(kind=VoteKind.REFUSED), change)
    assert (Changes(lines).without_all, Changes(lines).turned_down) == (1, 1)
    lines.insert(1, {"what": "lease ended", "lease": 1, "revision": 9})
    assert Changes(lines).without_all == 0
    strict = replace(change, overlap=Overlap.STRICT)
    assert Changes(journal(ready, strict)).without_all == 1


@pytest.mark.parametrize(
    "text, comes",
    [
        (change_world.GOOD_TEXT, True),
        (change_world.FAILING_TEXT, False),
        (change_world.REFUSED_TEXT, False),
    ],
)
def test_a_canary_is_tried_by_some_and_dropped_where_it_goes_bad(text, comes):
    world = change_world.World(Overlap.LOOSE, faults=0)
    world.calm()
    world.act("propose", text)
    seen = set()
    for _ in range(16):
        world.act("time")
        while todo := world.fair():
            world.act(*todo)
        item = world.model.keys.get(CHANGE_KEY)
        if item:
            seen.add(decode_change(item.value).state)
        tried = [one.number for one in world.members if one.number]
        assert len(tried) <= 1 or world.decided
    world.calm()
    world.settled()
    assert world.decided == (1 if comes else 0)
    assert (ChangeState.CANARY in seen) == (text != change_world.REFUSED_TEXT)


def test_a_canary_that_is_slower_than_the_others_is_out_of_its_bounds():
    change = PolicyChange(
        VERSION, ChangeState.CANARY, canary_members=("a/1",), canary=Canary(0.5, 1000, 0.1, 1.5)
    )

    def bad(trial, others, over=True):
        votes = {
            "a/1": Vote(0, 1, VoteKind.TRIAL, "", CommandFigures(*trial)),
            "b/1": Vote(0, 1, VoteKind.READY, "", CommandFigures(*others)),
        }
        return canary.find_fault(change, votes, over)

    assert "took 200 us, the others' 100" in bad((10, 0, 2000), (10, 0, 1000))
    assert not bad((10, 0, 2000), (10, 0, 1000), over=False) and not bad((10, 0, 1500), (10, 0, 1000))
    assert "3 of 23" in bad((20, 3, 0), (0, 0, 0), over=False) and not bad((10, 3, 0), (0, 0, 0))
    others_only = {"b/1": Vote(0, 1, VoteKind.READY)}
    assert "none of its members" in canary.find_fault(change, others_only, False)
    with pytest.raises(PolicyError, match="can't be strict"):
        propose(PolicyChange(VERSION, overlap=Overlap.STRICT, canary=change.canary), {})


def test_what_was_decided_before_a_gate_was_closed_does_not_go_out_when_it_is_open_again():
    lease, now = Lease(LeaseTerms(1000, 0.0, 0)), [0]
    gate = PolicyGate(lease, lambda: now[0], 10**9, CutOffRule.KEEP)
    lease.renew(7, 0)
    gate.enrolled_lease = 7
    gate.policy_known_until = 10**9
    before = gate.fencing_token()
    assert gate.may_dispatch() and gate.token_valid(before)
    gate.stop()
    assert not gate.may_dispatch() and not gate.token_valid(gate.fencing_token())
    gate.is_stopped = False
    assert gate.may_dispatch() and gate.token_valid(gate.fencing_token()) and not gate.token_valid(before)
    now[0] = 10**9
    assert not gate.token_valid(gate.fencing_token())


def test_a_change_that_waits_longer_than_its_time_waits_for_words_and_does_not_spin():
    change = PolicyChange(VERSION, ChangeState.CHECKED, on_silence=OnSilence.WAIT, patience_us=1000)
    coordinator = RolloutCoordinator()
    coordinator.won(1, 0)
    coordinator.read(
        0,
        coordinator.take_actions()[0].serial,
        Reply(
            Proof.DONE,
            7,
            items=(
                KeyValue(CHANGE_KEY, encode_change(change), 5),
                KeyValue(VOTES + "a/1", encode_vote(Vote(0)), 6),
            ),
        ),
    )
    assert coordinator.due(0) == 1000 and coordinator.due(999) == 1000
    coordinator.step(1000)
    assert (
        not any(isinstance(row, WriteKeys) for row in coordinator.take_actions())
        and coordinator.due(1000) == 1000 + IDLE_STEP_US
    )


def test_a_member_with_nothing_to_say_steps_when_it_looks_again():
    world = change_world.World(Overlap.LOOSE, faults=0)
    world.calm()
    for one in world.members:
        now = one()
        assert one.member.due(now) == max(now, one.member.refresh_at)
        one.member.missed(now)
        assert one.member.due(now) == now + IDLE_STEP_US  # its call is under way


def test_a_read_from_the_past_is_not_believed_by_whoever_carries_or_divides():
    opened = encode_change(PolicyChange(VERSION))
    coordinator, dividing = RolloutCoordinator(), AllocatorRole({"b": Budget(LedgerKind.HELD, 5)})
    for one in (coordinator, dividing):
        one.won(1, 0)
        one.read(0, one.take_actions()[0].serial, Reply(Proof.DONE, 7))
        assert one.loaded
    coordinator.changed(0, CHANGE_KEY, opened, 9)  # it reads what was proposed
    dividing.changed(0, REPORTS + "a/1", encode_report(UsageReport(0, {"b/0": Usage(0, 1, 1)})), 9)
    dividing.missed(0)
    dividing.written(0, dividing.writing, Reply(Proof.DONE, 10, succeeded=False))
    for one in (coordinator, dividing):
        serial = one.take_actions()[-1].serial
        one.read(0, serial, Reply(Proof.DONE, 7))
        assert not one.loaded and not one.take_actions()
        one.step(RETRY_US)
        one.read(
            RETRY_US,
            one.take_actions()[0].serial,
            Reply(Proof.DONE, 11, items=(KeyValue(CHANGE_KEY, opened, 9),) if one is coordinator else ()),
        )
        assert one.loaded
    assert any(isinstance(row, WriteKeys) for row in coordinator.take_actions())


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 2**32))
def test_walks_through_changes_keep_everywhere_or_nowhere(seed):
    changecheck.walk(seed, 200)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 2**32))
def test_walks_through_divisions_never_pass_the_whole_and_lose_none_of_it(seed):
    budget_explorer.walk(seed, 400)


def test_a_small_world_is_gone_through():
    for overlap in (Overlap.STRICT, Overlap.LOOSE):
        states, depth = changecheck.explore(overlap, 4, 500)
        assert states >= 300 and depth >= 2


@pytest.mark.parametrize("name", [name for name in changemutants.MUTANTS if name != "IgnoresEnrollment"])
def test_the_walks_find_changes_that_are_wrong(name):  # the one left out takes 610 walks: benchmarks.change
    assert changemutants.find(name, 250, 500)


@pytest.mark.parametrize(
    "name",
    [
        name
        for name in budget_mutants.MUTANTS
        if name
        not in (
            "NoFence",
            "ForgetsExpiringOnLoad",
            "IgnoresChangesWhileReading",
            "TakesUnknownForDone",
            "reports not compared",
        )
    ],
)
def test_the_walks_find_divisions_that_are_wrong(name):  # those left out: benchmarks.budgets
    assert budget_mutants.find(name, 60, 800)
