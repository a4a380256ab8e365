"""Policy changes on a fleet of real processes: in force at every gateway or at none."""

import time
from contextlib import suppress

import pytest
from rollout_fleet import (
    check_run,
    make_fleet,
    policy_granting,
    propose_when_possible,
    start_clients,
    stop_clients,
    wait_until_in_force,
)

from gullhold.fleet.store_calls import Put, Transaction
from gullhold.rollout.policy_change import Canary, OnSilence, Overlap, PolicyChange
from gullhold.rollout.policy_client import ExitStatus, PolicyClient
from gullhold.rollout.policy_version import PolicyError, PolicyVersion
from gullhold.rollout.store_schema import CHANGE_KEY, decode_change, encode_change
from gullhold.testing.counting_engine import CountingEngine
from gullhold.testing.rollout_checker import RolloutChecker, attempts_with_policy


@pytest.mark.parametrize("overlap", [Overlap.LOOSE, Overlap.STRICT])
def test_changes_under_load_come_into_force_at_every_gateway_within_the_allowed_overlap(overlap):
    with make_fleet() as fleet:
        fleet.start()
        wait_until_in_force(fleet)
        policies, clients = PolicyClient(fleet.store_address, "rig"), start_clients(fleet)
        time.sleep(0.3)
        grants = [20, 21, 22, 23]
        for i, grant_mb in enumerate(grants):
            version = policies.propose(policy_granting(grant_mb), "a", "b", overlap=overlap)
            assert policies.wait(version.number, 5).status == ExitStatus.IN_FORCE
            assert version.number == i + 1
            time.sleep(0.1)
        time.sleep(0.2)
        assert stop_clients(clients) > 60
        assert not any(client.counts.failed + client.counts.unanswered for client in clients)
        check_run(fleet, grants, overlap == Overlap.STRICT, 300)
        assert {policy for _, policy in attempts_with_policy(fleet.engines, grants)} == {0, 1, 2, 3, 4}
        assert policies.current().text == policy_granting(23)
        assert len(policies.history()) == 4


def test_a_change_is_dropped_when_a_member_refuses_it_or_does_not_vote_in_time():
    budgets = [{"of": '"threads"', "whole": 12, "linger": "1s"}]
    # The lease outlasts the pause and the change's patience: guards against the lease of the paused member
    # ending first, as its vote would not be waited for any more.
    with make_fleet(budgets=budgets, lease_s=4) as fleet:
        fleet.start("n0", "n1")
        fleet.budgets = []
        fleet.start("n2")  # its operator file lacks the budget that the change sets
        wait_until_in_force(fleet)
        policies, clients = PolicyClient(fleet.store_address, "rig"), start_clients(fleet)
        version = propose_when_possible(
            policies, fleet, "policy: {budgets: threads: 8, grants: read: 20}", overlap=Overlap.STRICT
        )
        status, line = policies.wait(version.number, 8)
        assert status == ExitStatus.DROPPED
        assert "is no budget" in line
        # A dropped change is deleted once all members use the version in force and have withdrawn their votes
        # on the change; until then no other can be opened. The vote of a member ends with its lease.
        fleet.wait_until(lambda: CHANGE_KEY not in policies.read())
        fleet.pause("n1")
        version = propose_when_possible(policies, fleet, policy_granting(21), patience_us=400_000)
        status, line = policies.wait(version.number, 8)
        assert status == ExitStatus.DROPPED
        assert "not ready in time: n1" in line
        fleet.resume("n1")
        wait_until_in_force(fleet, 0)
        time.sleep(0.3)
        stop_clients(clients)
        checker = check_run(fleet, [20, 21], strict=True)
        assert {policy for _, policy in attempts_with_policy(fleet.engines, [20, 21])} == {0}
        assert checker.outcomes == {1: "dropped", 2: "dropped"}


def test_incomplete_or_invalid_policies_are_rejected_and_of_two_concurrent_proposals_one_is_accepted():
    with make_fleet(2) as fleet:
        fleet.start()
        wait_until_in_force(fleet)
        policies = PolicyClient(fleet.store_address, "rig")
        for text, reason in (
            ("policy: sends: once: 2", "must never run twice"),
            ("policy: sends: read: 99", "the agreement allows 6"),
            ("policy: shares: nobody: 1", "no tenant"),
        ):
            status, line = policies.wait(propose_when_possible(policies, fleet, text).number, 5)
            assert status == ExitStatus.DROPPED
            assert reason in line
        for text in ("policy: {", "policy: unheard: 1", "policy: grants: read: 0"):
            with pytest.raises(PolicyError):
                policies.propose(text, "a", "b")
        altered = PolicyVersion(9, 0, "a", "b", 0, policy_granting(20)).sealed()._replace(reason="c")
        session = policies.session
        fleet.wait_until(lambda: CHANGE_KEY not in policies.read())
        assert session.call(
            Transaction(((CHANGE_KEY, 0),), (Put(CHANGE_KEY, encode_change(PolicyChange(altered))),))
        ).succeeded
        status, line = policies.wait(9, 5)
        assert status == ExitStatus.DROPPED
        assert "digest" in line
        fleet.wait_until(lambda: CHANGE_KEY not in policies.read())
        with pytest.raises(PolicyError, match="not 7"):
            policies.propose(policy_granting(20), "a", "b", parent=7)
        first = propose_when_possible(policies, fleet, policy_granting(20))
        with suppress(PolicyError):  # the first change may be in force already
            second = policies.propose(policy_granting(21), "z", "y", parent=first.parent)
            raise AssertionError(
                f"change {second.number} was accepted although change {first.number} has the same parent"
            )
        assert policies.wait(first.number, 5).status == ExitStatus.IN_FORCE
        fleet.pause("n0")
        third = propose_when_possible(
            policies, fleet, policy_granting(22), on_silence=OnSilence.WAIT, patience_us=60_000_000
        )
        assert policies.status(third.number).status == ExitStatus.UNKNOWN
        fleet.wait_until(lambda: third.number == policies.drop())
        fleet.resume("n0")
        assert policies.wait(third.number, 5) == (
            ExitStatus.DROPPED,
            f"{third.number} is dropped: dropped by staff",
        )
        check_run(fleet, [20])


def test_a_failing_canary_is_dropped_though_its_coordinator_is_killed_and_a_good_one_is_decided():
    with make_fleet(make_engine=lambda seed: CountingEngine(slots=64, seed=seed, failure_rate=0.3)) as fleet:
        fleet.start()
        wait_until_in_force(fleet)
        policies, clients = PolicyClient(fleet.store_address, "rig"), start_clients(fleet, rate=60.0)
        canary = Canary(0.34, 6_000_000, 0.1, 9.0)

        def state():
            keys = policies.read()
            return decode_change(keys[CHANGE_KEY].value).state if CHANGE_KEY in keys else ""

        # Attempts fail with probability 0.3 and this policy allows one for each read, so that its canary
        # fails three times as many commands as allowed.
        version = policies.propose("policy: {grants: read: 20, sends: read: 1}", "a", "b", canary=canary)
        fleet.wait_until(lambda: state() == "canary")
        coordinator = fleet.leaders()["policy"][0]
        fleet.kill(coordinator)
        status, line = policies.wait(version.number, 8)
        assert status == ExitStatus.DROPPED, line
        assert "canary: " in line, line
        fleet.start(coordinator)
        wait_until_in_force(fleet, 0)
        time.sleep(0.1)
        canary_sends = [at for at, policy in attempts_with_policy(fleet.engines, [20]) if policy]
        # All members use the parent version again.
        assert not canary_sends or max(canary_sends) < time.time() - 0.05
        version = propose_when_possible(
            policies, fleet, policy_granting(21), canary=Canary(0.34, 1_200_000, 0.3, 9.0)
        )
        assert policies.wait(version.number, 8).status == ExitStatus.IN_FORCE
        wait_until_in_force(fleet, version.number)
        stop_clients(clients)
        checker = RolloutChecker(fleet.journal_lines())
        assert checker.outcomes == {1: "dropped", 2: "decided"}
        assert not checker.decided_without_all


def test_schedules_and_admission_weights_change_with_the_policy():
    command = {
        "name": '"warm"',
        "every": "150ms",
        "profile": '"read"',
        "window": "5s",
        "work": "10ms",
        "statement": '"select 1 from warm_1.t /* work=10 */"',
    }
    admission_queue = 'door: {on: true, client: field: "client", weights: {n0: 1}}'
    with make_fleet(2, scheduled=[command], operator_text=admission_queue) as fleet:
        fleet.start()
        wait_until_in_force(fleet)
        policies = PolicyClient(fleet.store_address, "rig")

        def count_warm_commands():
            return sum("warm" in attempt.statement for attempt in fleet.engines[0].received)

        fleet.wait_until(lambda: count_warm_commands() >= 3)
        version = policies.propose("policy: {schedules: warm: false, clients: n0: 4}", "a", "b")
        assert policies.wait(version.number, 5).status == ExitStatus.IN_FORCE
        time.sleep(0.3)
        before = count_warm_commands()
        time.sleep(0.7)
        assert count_warm_commands() == before
        skipped = [facts for _, _, event, facts in fleet.events() if event == "occurrence skipped"]
        assert skipped
        assert "off by the fleet's policy" in skipped[-1]["reason"]
        version = policies.propose("policy: clients: n0: 4", "a", "b")
        assert policies.wait(version.number, 5).status == ExitStatus.IN_FORCE
        fleet.wait_until(lambda: count_warm_commands() > before + 1)
        check_run(fleet, [])
