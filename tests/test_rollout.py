"""Policies and their changes, and the walks through them: the decisions alone."""

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
from gullhold.rollout import change, member, record
from gullhold.rollout.record import FIRST, Policy, Record, Unfit
from gullhold.testing import budget_explorer, budget_mutants, changecheck, changemutants
from gullhold.testing.policycheck import Changes, mixed

AGREEMENT = make_agreement(
    profile(name="read"),
    profile(name="once", idempotency=Idempotency.NON_IDEMPOTENT),
    tenants=(Tenant(0.7, name="a"), Tenant(0.3, name="b")),
)


def test_a_record_is_what_was_sealed_or_nothing():
    one = Record(1, 0, "a", "why", 5, "policy: {}").sealed()
    assert record.unpack(one.pack()) == one and record.unpack(FIRST.pack()) == FIRST
    for spoilt in (
        one.pack()[:-5],
        one.pack().replace('"why"', '"who"', 1),
        '{"number": 1}',
        "[]",
        one._replace(text="policy: {grants: read: 1}").pack(),
    ):
        with pytest.raises(Unfit):
            record.unpack(spoilt)


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
    with pytest.raises(Unfit) as fault:
        record.read(text)
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
    policy = record.read(f"policy: {text}")
    found = record.check(policy, AGREEMENT, {"taken": (10, 4)})
    assert (why in found) if why else not found


def test_what_a_policy_says_is_by_index_for_the_module_and_by_name_for_staff():
    policy = record.read("policy: {shares: b: 0.35, grants: read: 20, priorities: once: 2}")
    weights, priorities, grants, sends = record.for_module(policy, AGREEMENT)
    assert weights == [2.0, 1.0] and priorities == {1: 2} and grants == {0: 20} and sends == {}
    assert record.difference(Policy(*[{}] * len(Policy._fields)), policy) == [
        ("shares", "b", None, 0.35),
        ("priorities", "once", None, 2),
        ("grants", "read", None, 20),
    ]
    assert record.wholes(record.read("policy: budgets: threads: 4"), {"threads": (9, 0), "cold": (5, 0)}) == {
        "threads": 4,
        "cold": 5,
    }


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
        world.obey(
            world.gateway.apply_policy(world.now, record.for_module(record.read(text), AGREEMENT), gate)
        )

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
    world.obey(
        world.gateway.apply_policy(world.now, record.for_module(record.read("policy: {}"), AGREEMENT), gate)
    )
    for _ in range(5):
        world.command()
    world.wait(5000 * MS)  # the driver fails where one is late
    assert all(cmd["final"] == Shed for cmd in world.commands.values())


def test_the_checkers_see_what_is_mixed_and_what_was_decided_without_a_word():
    assert mixed([(1.0, 0), (2.0, 1), (2.5, 0), (3.0, 1)]) == (1, 500.0)
    assert mixed([(1.0, 0), (2.0, 1), (3.0, 2)]) == (0, 0)
    opened = change.Open(Record(1, 0, "", "", 0, "policy: {}").sealed(), change.DECIDED)

    def line(key, value, lease=0):
        return {"what": "txn", "met": True, "acts": [["put", f"/gullhold/rig/{key}", value, lease]]}

    word = change.Word(0, 1, change.READY)
    told = [line("policy/words/a/1", word.pack(), 1), line("policy/now/change", opened.pack())]
    assert (Changes(told).without_all, Changes(told).turned_down) == (0, 0)
    told[0] = line("policy/words/a/1", word._replace(word=change.REFUSED).pack(), 1)
    assert (Changes(told).without_all, Changes(told).turned_down) == (1, 1)
    told.insert(1, {"what": "lease ended", "lease": 1, "revision": 9})
    assert Changes(told).without_all == 0
    strict = opened._replace(overlap=change.STRICT)
    assert (
        Changes(
            [line("policy/words/a/1", word.pack(), 1), line("policy/now/change", strict.pack())]
        ).without_all
        == 1
    )


@pytest.mark.parametrize("text, comes", [("good", True), (changecheck.SOUR, False), (changecheck.BAD, False)])
def test_a_canary_is_tried_by_some_and_dropped_where_it_goes_bad(text, comes):
    world = changecheck.World(change.LOOSE, faults=0)
    world.calm()
    world.act("propose", text)
    seen = set()
    for _ in range(16):
        world.act("time")
        while todo := world.fair():
            world.act(*todo)
        item = world.model.keys.get(change.CHANGE)
        seen |= {change.change_of(item.value).state} if item else set()
        tried = [one.number for one in world.members if one.number]
        assert len(tried) <= 1 or world.decided
    world.calm()
    world.settled()
    assert world.decided == (1 if comes else 0) and (change.CANARY in seen) == (text != changecheck.BAD)


def test_a_canary_that_is_slower_than_the_others_is_out_of_its_bounds():
    carrier = change.Carrier()
    opened = change.Open(
        Record(1, 0, "", "", 0, "policy: {}").sealed(),
        change.CANARY,
        trial=("a/1",),
        canary=change.Canary(0.5, 1000, 0.1, 1.5),
    )
    carrier.change = opened

    def bad(trial, others, over=True):
        carrier.words = {
            "a/1": change.Word(0, 1, change.TRIAL, "", trial),
            "b/1": change.Word(0, 1, change.READY, "", others),
        }
        return carrier._bad(over)

    assert "took 200 us, the others' 100" in bad((10, 0, 2000), (10, 0, 1000))
    assert not bad((10, 0, 2000), (10, 0, 1000), over=False) and not bad((10, 0, 1500), (10, 0, 1000))
    assert "3 of 23" in bad((20, 3, 0), (0, 0, 0), over=False) and not bad((10, 3, 0), (0, 0, 0))
    carrier.words = {"b/1": change.Word(0, 1, change.READY)}
    assert "none of its members" in carrier._bad(False)
    with pytest.raises(Unfit, match="can't be strict"):
        change.propose(opened.record, {}, {}, overlap=change.STRICT, canary=opened.canary)


def test_what_was_decided_before_a_gate_was_closed_does_not_go_out_when_it_is_open_again():
    lease, now = Lease(LeaseTerms(1000, 0.0, 0)), [0]
    gate = member.Gate(lease, lambda: now[0], 10**9, member.KEEP)
    lease.renew(7, 0)
    gate.under, gate.known_until = 7, 10**9
    before = gate.fencing_token()
    assert gate.may_dispatch() and gate.token_valid(before)
    gate.stop()
    assert not gate.may_dispatch() and not gate.token_valid(gate.fencing_token())
    gate.still = False
    assert gate.may_dispatch() and gate.token_valid(gate.fencing_token()) and not gate.token_valid(before)
    now[0] = 10**9
    assert not gate.token_valid(gate.fencing_token())


def test_a_change_that_waits_longer_than_its_time_waits_for_words_and_does_not_spin():
    opened = change.Open(
        Record(1, 0, "", "", 0, "policy: {}").sealed(), change.CHECKED, silence=change.WAIT, patience_us=1000
    )
    carrier = change.Carrier()
    carrier.won(1, 0)
    carrier.read(
        0,
        carrier.take_actions()[0].serial,
        Reply(
            Proof.DONE,
            7,
            items=(
                KeyValue(change.CHANGE, opened.pack(), 5),
                KeyValue(change.WORDS + "a/1", change.Word(0).pack(), 6),
            ),
        ),
    )
    assert carrier.due(0) == 1000 and carrier.due(999) == 1000
    carrier.step(1000)
    assert (
        not any(isinstance(row, WriteKeys) for row in carrier.take_actions())
        and carrier.due(1000) == 1000 + IDLE_STEP_US
    )


def test_a_member_with_nothing_to_say_steps_when_it_looks_again():
    world = changecheck.World(change.LOOSE, faults=0)
    world.calm()
    for one in world.members:
        now = one()
        assert one.member.due(now) == max(now, one.member.look_at)
        one.member.missed(now)
        assert one.member.due(now) == now + IDLE_STEP_US  # its call is under way


def test_a_read_from_the_past_is_not_believed_by_whoever_carries_or_divides():
    opened = change.Open(Record(1, 0, "", "", 0, "policy: {}").sealed())
    carrier, dividing = change.Carrier(), AllocatorRole({"b": Budget(LedgerKind.HELD, 5)})
    for one in (carrier, dividing):
        one.won(1, 0)
        one.read(0, one.take_actions()[0].serial, Reply(Proof.DONE, 7))
        assert one.loaded
    carrier.changed(0, change.CHANGE, opened.pack(), 9)  # it reads what was proposed
    dividing.changed(0, REPORTS + "a/1", encode_report(UsageReport(0, {"b/0": Usage(0, 1, 1)})), 9)
    dividing.missed(0)
    dividing.written(0, dividing.writing, Reply(Proof.DONE, 10, succeeded=False))
    for one in (carrier, dividing):
        serial = one.take_actions()[-1].serial
        one.read(0, serial, Reply(Proof.DONE, 7))
        assert not one.loaded and not one.take_actions()
        one.step(RETRY_US)
        one.read(
            RETRY_US,
            one.take_actions()[0].serial,
            Reply(
                Proof.DONE, 11, items=(KeyValue(change.CHANGE, opened.pack(), 9),) if one is carrier else ()
            ),
        )
        assert one.loaded
    assert any(isinstance(row, WriteKeys) for row in carrier.take_actions())


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 2**32))
def test_walks_through_changes_keep_everywhere_or_nowhere(seed):
    changecheck.walk(seed, 200)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 2**32))
def test_walks_through_divisions_never_pass_the_whole_and_lose_none_of_it(seed):
    budget_explorer.walk(seed, 400)


def test_a_small_world_is_gone_through():
    for overlap in (change.STRICT, change.LOOSE):
        states, depth = changecheck.explore(overlap, 4, 500)
        assert states >= 300 and depth >= 2


@pytest.mark.parametrize("name", [name for name in changemutants.MUTANTS if name != "RollForgotten"])
def test_the_walks_find_changes_that_are_wrong(name):  # the one left out takes 225 walks: benchmarks.change
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
