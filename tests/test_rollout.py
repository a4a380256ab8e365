"""Policy changes without processes: coordinator, members, gate, and random walks in a simulated fleet."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gullhold.budgets.allocator import Budget
from gullhold.budgets.allocator_role import AllocatorRole
from gullhold.budgets.budget_schema import REPORTS, Usage, UsageReport, encode_report
from gullhold.budgets.ledger import LedgerKind
from gullhold.fleet.lease import Lease, LeaseTerms
from gullhold.fleet.role_state import IDLE_STEP_US, RETRY_US, WriteKeys
from gullhold.fleet.store_calls import KeyValue, Proof, Reply
from gullhold.rollout import canary
from gullhold.rollout.policy_change import Canary, ChangeState, OnSilence, Overlap, PolicyChange
from gullhold.rollout.policy_gate import CutOffRule, PolicyGate
from gullhold.rollout.policy_version import PolicyError, PolicyVersion
from gullhold.rollout.proposal import proposal_transaction
from gullhold.rollout.rollout_coordinator import RolloutCoordinator
from gullhold.rollout.store_schema import (
    CHANGE_KEY,
    VOTES_PREFIX,
    decode_change,
    encode_change,
    encode_vote,
)
from gullhold.rollout.vote import CommandFigures, Vote, VoteKind
from gullhold.testing import (
    budget_explorer,
    budget_mutants,
    rollout_explorer,
    rollout_mutants,
    rollout_world,
    simulated_rollout_member,
)
from gullhold.testing.action_kind import ActionKind
from gullhold.testing.rollout_checker import RolloutChecker, measure_overlap
from gullhold.testing.walking import FindingKind

VERSION = PolicyVersion(1, 0, "", "", 0, "policy: {}").sealed()


def test_the_checkers_find_mixed_policies_and_decisions_without_all_votes():
    assert measure_overlap([(1.0, 0), (2.0, 1), (2.5, 0), (3.0, 1)]) == (1, 500.0)
    assert measure_overlap([(1.0, 0), (2.0, 1), (3.0, 2)]) == (0, 0)
    change = PolicyChange(VERSION, ChangeState.DECIDED)

    def journal_line(key, value, lease=0):
        return {"what": "txn", "met": True, "acts": [["put", f"/gullhold/rig/{key}", value, lease]]}

    def journal_lines(vote, change):
        return [
            journal_line("policy/words/a/1", encode_vote(vote), 1),
            journal_line("policy/now/change", encode_change(change)),
        ]

    ready = Vote(0, 1, VoteKind.READY)
    lines = journal_lines(ready, change)
    assert (RolloutChecker(lines).decided_without_all, RolloutChecker(lines).decided_though_refused) == (0, 0)
    lines = journal_lines(ready._replace(kind=VoteKind.REFUSED), change)
    assert (RolloutChecker(lines).decided_without_all, RolloutChecker(lines).decided_though_refused) == (1, 1)
    lines.insert(1, {"what": "lease ended", "lease": 1, "revision": 9})
    assert RolloutChecker(lines).decided_without_all == 0
    strict = replace(change, overlap=Overlap.STRICT)
    assert RolloutChecker(journal_lines(ready, strict)).decided_without_all == 1


@pytest.mark.parametrize(
    "text, is_decided",
    [
        (rollout_world.GOOD_TEXT, True),
        (simulated_rollout_member.FAILING_TEXT, False),
        (rollout_world.REFUSED_TEXT, False),
    ],
)
def test_a_canary_runs_on_some_members_and_the_change_is_dropped_when_it_fails_there(text, is_decided):
    world = rollout_world.World(Overlap.LOOSE, faults=0)
    world.settle()
    world.act(ActionKind.PROPOSE, text)
    states = set()
    for _ in range(16):
        world.act(ActionKind.ADVANCE_TIME)
        while action := world.next_orderly_action():
            world.act(*action)
        item = world.store.keys.get(CHANGE_KEY)
        if item:
            states.add(decode_change(item.value).state)
        numbers = [member.version_number for member in world.members if member.version_number]
        assert len(numbers) <= 1 or world.version_in_force
    world.settle()
    world.check_settled()
    assert world.version_in_force == (1 if is_decided else 0)
    assert (ChangeState.CANARY in states) == (text != rollout_world.REFUSED_TEXT)


def test_a_canary_fails_when_its_members_are_slower_or_fail_more_commands_than_allowed():
    change = PolicyChange(
        VERSION, ChangeState.CANARY, canary_members=("a/1",), canary=Canary(0.5, 1000, 0.1, 1.5)
    )

    def fault(in_canary, others, is_over=True):
        votes = {
            "a/1": Vote(0, 1, VoteKind.IN_CANARY, "", CommandFigures(*in_canary)),
            "b/1": Vote(0, 1, VoteKind.READY, "", CommandFigures(*others)),
        }
        return canary.find_fault(change, votes, is_over)

    assert "took 200 us, the others' 100" in fault((10, 0, 2000), (10, 0, 1000))
    assert not fault((10, 0, 2000), (10, 0, 1000), is_over=False)
    assert not fault((10, 0, 1500), (10, 0, 1000))
    assert "3 of 23" in fault((20, 3, 0), (0, 0, 0), is_over=False)
    assert not fault((10, 3, 0), (0, 0, 0))
    others_only = {"b/1": Vote(0, 1, VoteKind.READY)}
    assert "none of its members" in canary.find_fault(change, others_only, False)
    with pytest.raises(PolicyError, match="can't be strict"):
        proposal_transaction(PolicyChange(VERSION, overlap=Overlap.STRICT, canary=change.canary), {})


def test_attempts_decided_before_the_gate_closed_are_not_sent_when_it_reopens():
    lease, now = Lease(LeaseTerms(1000, 0.0, 0)), [0]
    gate = PolicyGate(lease, lambda: now[0], 10**9, CutOffRule.UNTIL_LEASE_END)
    lease.renew(7, 0)
    gate.enrolled_lease = 7
    gate.policy_known_until = 10**9
    before = gate.fencing_token()
    assert gate.may_dispatch()
    assert gate.token_valid(before)
    gate.stop()
    assert not gate.may_dispatch()
    assert not gate.token_valid(gate.fencing_token())
    gate.is_stopped = False
    assert gate.may_dispatch()
    assert gate.token_valid(gate.fencing_token())
    assert not gate.token_valid(before)
    now[0] = 10**9
    assert not gate.token_valid(gate.fencing_token())


def test_a_change_past_its_patience_waits_for_votes_without_busy_polling():
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
                KeyValue(VOTES_PREFIX + "a/1", encode_vote(Vote(0)), 6),
            ),
        ),
    )
    assert coordinator.due(0) == 1000
    assert coordinator.due(999) == 1000
    coordinator.step(1000)
    assert not any(isinstance(action, WriteKeys) for action in coordinator.take_actions())
    assert coordinator.due(1000) == 1000 + IDLE_STEP_US


def test_a_member_without_a_vote_to_write_steps_when_it_is_to_read_the_policy_again():
    world = rollout_world.World(Overlap.LOOSE, faults=0)
    world.settle()
    for member in world.members:
        now = member()  # the member is its own clock
        assert member.decisions.due(now) == max(now, member.decisions.refresh_at)
        member.decisions.watch_gap(now)
        assert member.decisions.due(now) == now + IDLE_STEP_US  # its read of the policy is in flight


def test_a_stale_read_is_ignored_by_coordinator_and_allocator():
    opened = encode_change(PolicyChange(VERSION))
    coordinator, allocator = RolloutCoordinator(), AllocatorRole({"b": Budget(LedgerKind.HELD, 5)})
    for role in (coordinator, allocator):
        role.won(1, 0)
        role.read(0, role.take_actions()[0].serial, Reply(Proof.DONE, 7))
        assert role.is_loaded
    coordinator.changed(0, CHANGE_KEY, opened, 9)  # while it writes nothing: it reads all keys again
    allocator.changed(0, REPORTS + "a/1", encode_report(UsageReport(0, {"b/0": Usage(0, 1, 1)})), 9)
    allocator.watch_gap(0)
    allocator.written(0, allocator.writing, Reply(Proof.DONE, 10, succeeded=False))
    for role in (coordinator, allocator):
        serial = role.take_actions()[-1].serial
        role.read(0, serial, Reply(Proof.DONE, 7))
        assert not role.is_loaded
        assert not role.take_actions()
        role.step(RETRY_US)
        role.read(
            RETRY_US,
            role.take_actions()[0].serial,
            Reply(Proof.DONE, 11, items=(KeyValue(CHANGE_KEY, opened, 9),) if role is coordinator else ()),
        )
        assert role.is_loaded
    assert any(isinstance(action, WriteKeys) for action in coordinator.take_actions())


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 2**32))
def test_random_walks_through_changes_keep_policies_in_force_everywhere_or_nowhere(seed):
    rollout_explorer.walk(seed, 200)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 2**32))
def test_random_walks_through_reallocations_never_exceed_the_total_and_lose_none_of_it(seed):
    budget_explorer.walk(seed, 400)


def test_systematic_exploration_of_a_small_fleet_breaks_no_rule():
    for overlap in (Overlap.STRICT, Overlap.LOOSE):
        states, depth = rollout_explorer.explore(overlap, 4, 500)
        assert states >= 300
        assert depth >= 2


# benchmarks.policy_rollout finds IgnoresEnrollment, which takes 610 walks.
@pytest.mark.parametrize("name", [name for name in rollout_mutants.MUTANTS if name != "IgnoresEnrollment"])
def test_the_walks_find_change_mutants(name):
    finding = rollout_mutants.find_detecting_walk(name, 250, 500)
    assert finding is not None, f"no walk detects the mutant {name}"
    assert finding.kind is FindingKind.VIOLATION, finding


# Mutants that crash on their own inconsistent state before they break a rule.
FOUND_BY_A_CRASH = frozenset(("ForgetsLedgers",))


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
def test_the_walks_find_reallocation_mutants(name):  # benchmarks.budgets finds those left out
    finding = budget_mutants.find_detecting_walk(name, 60, 800)
    assert finding is not None
    if name not in FOUND_BY_A_CRASH:
        assert finding.kind is FindingKind.VIOLATION, finding
