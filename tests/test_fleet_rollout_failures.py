"""Policy changes on a fleet of real processes while gateways or the store fail or restart."""

import time

import pytest
from rollout_fleet import (
    CLIENT_SEEDS,
    check_run,
    is_serving,
    make_fleet,
    policy_granting,
    start_clients,
    stop_clients,
    wait_until_in_force,
)

from gullhold.fleet.role_assignment import RoleAssignment
from gullhold.rollout.policy_change import OnSilence, Overlap
from gullhold.rollout.policy_client import ExitStatus, PolicyClient
from gullhold.testing import load_client
from gullhold.testing.budget_checker import peak_threads
from gullhold.testing.rollout_checker import attempts_with_policy


@pytest.mark.parametrize(
    "state, side, act",
    [
        ("checked", "before", "kill"),
        ("prepared", "after", "stop"),
        ("decided", "before", "stop"),
        ("decided", "before", "kill"),
        ("decided", "after", "kill"),
    ],
)
def test_a_change_comes_into_force_when_its_coordinator_is_killed_or_paused(state, side, act):
    with make_fleet() as fleet:
        assignment = RoleAssignment(["policy"])
        assignment.update_members(fleet.names)
        coordinator = assignment.leaders["policy"]
        others = [name for name in fleet.names if name != coordinator]
        fleet.start(coordinator, point=state, side=side, act=act, nth=1)
        fleet.start(*others)
        wait_until_in_force(fleet)
        fleet.wait_until(lambda: fleet.leaders()["policy"][0] == coordinator)
        policies, clients = PolicyClient(fleet.store_address, "rig"), start_clients(fleet, *others)
        version = policies.propose(policy_granting(20), "a", "b", overlap=Overlap.STRICT)
        status, line = policies.wait(version.number, 8)
        assert status == ExitStatus.IN_FORCE, line
        wait_until_in_force(fleet, 1, others)
        if act == "stop":
            fleet.resume(coordinator)
        else:
            fleet.start(coordinator)
        wait_until_in_force(fleet, 1)
        clients += start_clients(fleet, coordinator)
        time.sleep(0.3)
        assert stop_clients(clients) > 30
        check_run(fleet, [20], strict=True)


@pytest.mark.parametrize("vote, side", [("ready", "after"), ("still", "after"), ("still", "before")])
def test_a_change_comes_into_force_when_a_member_is_killed_as_it_votes_and_another_joins(vote, side):
    with make_fleet() as fleet:
        assignment = RoleAssignment(["policy"])
        assignment.update_members(fleet.names)
        first, victim = sorted(fleet.names, key=lambda name: name != assignment.leaders["policy"])[:2]
        other = next(name for name in fleet.names if name not in (first, victim))
        fleet.start(first)
        fleet.start(victim, point=vote, side=side, act="kill", nth=1)
        wait_until_in_force(fleet, 0, (first, victim))
        policies, clients = PolicyClient(fleet.store_address, "rig"), start_clients(fleet, first)
        version = policies.propose(policy_granting(20), "a", "b", overlap=Overlap.STRICT)
        fleet.members[victim].process.wait(8)
        fleet.start(other)  # it enrolls during the change, before or after the decision
        assert policies.wait(version.number, 8).status == ExitStatus.IN_FORCE
        fleet.start(victim)
        wait_until_in_force(fleet, 1)
        clients += start_clients(fleet, victim, other)
        time.sleep(0.3)
        stop_clients(clients)
        check_run(fleet, [20], strict=True)


def test_changes_end_consistently_when_replies_are_lost_or_the_store_is_killed():
    with make_fleet() as fleet:
        fleet.start()
        wait_until_in_force(fleet)
        policies, clients, grants = PolicyClient(fleet.store_address, "rig"), start_clients(fleet), []
        for turn in range(4):
            grant_mb = 20 + turn
            version = policies.propose(
                policy_granting(grant_mb), "a", "b", overlap=(Overlap.STRICT, Overlap.LOOSE)[turn % 2]
            )
            if turn % 2:
                fleet.inject_store_faults(lose=6)
            else:
                time.sleep(0.03)
                fleet.kill_store()
                fleet.start_store()
                fleet.inject_store_faults(drop=1)
            status, line = policies.wait(version.number, 8)
            assert status in (ExitStatus.IN_FORCE, ExitStatus.DROPPED), line
            grants += [grant_mb] * (status == ExitStatus.IN_FORCE)
            time.sleep(0.2)
        wait_until_in_force(fleet, policies.current().number)
        assert stop_clients(clients) > 60
        check_run(fleet, grants)


def test_members_that_are_down_during_a_change_return_under_the_new_version():
    with make_fleet(4) as fleet:
        fleet.start()
        wait_until_in_force(fleet)
        policies = PolicyClient(fleet.store_address, "rig")
        fleet.kill("n2")
        fleet.pause("n3")  # when it goes on, it still holds the old policy
        clients = start_clients(fleet, "n0", "n1", "n3")
        version = policies.propose(policy_granting(20), "a", "b", overlap=Overlap.STRICT)
        assert policies.wait(version.number, 8).status == ExitStatus.IN_FORCE
        fleet.start("n2")  # its operator file is the old one
        fleet.resume("n3")
        wait_until_in_force(fleet, 1)
        clients += start_clients(fleet, "n2")
        time.sleep(0.4)
        stop_clients(clients)
        check_run(fleet, [20], strict=True)
        assert attempts_with_policy(fleet.engines, [20])[-1][1] == 1


def test_a_member_cut_off_after_voting_ready_rejects_requests_once_its_lease_expires():
    with make_fleet() as fleet:
        assignment = RoleAssignment(["policy"])
        assignment.update_members(fleet.names)
        victim = next(name for name in fleet.names if name != assignment.leaders["policy"])
        others = [name for name in fleet.names if name != victim]
        fleet.start()
        wait_until_in_force(fleet)
        policies, clients = PolicyClient(fleet.store_address, "rig"), start_clients(fleet)
        time.sleep(0.3)
        fleet.cut(victim)
        version = policies.propose(policy_granting(20), "a", "b", on_silence=OnSilence.WAIT)
        assert policies.wait(version.number, 8).status == ExitStatus.IN_FORCE
        wait_until_in_force(fleet, 1, others)
        victim_client = clients[fleet.names.index(victim)]
        # This agreement states no time after which to retry.
        fleet.wait_until(lambda: victim_client.counts.shed > 3)
        assert is_serving(fleet, victim) is False
        fleet.heal(victim)
        # The victim's vote is stored a moment before the reply to that write opens its gate.
        wait_until_in_force(fleet, 1)
        fleet.wait_until(lambda: is_serving(fleet, victim))
        time.sleep(0.2)
        stop_clients(clients)
        check_run(fleet, [20])


def test_a_lowered_budget_is_kept_when_members_restart_during_the_change():
    with make_fleet(4, budgets=[{"of": '"threads"', "whole": 12, "linger": "1s"}]) as fleet:
        fleet.start()
        wait_until_in_force(fleet)
        policies = PolicyClient(fleet.store_address, "rig")
        clients = [
            load_client.LoadClient(
                fleet.members[name].address,
                "",
                name,
                open=20,
                work_ms=60.0,
                limit_ms=800,
                retry_rule=load_client.RetryRule.NEVER,
                seed=next(CLIENT_SEEDS),
            ).start()
            for name in ("n0", "n1")
        ]
        time.sleep(0.4)
        version = policies.propose(
            "policy: {budgets: threads: 5, grants: read: 20}", "a", "b", overlap=Overlap.STRICT
        )
        for name in ("n3", "n2"):
            fleet.stop(name)
            fleet.start(name)
        assert policies.wait(version.number, 8).status == ExitStatus.IN_FORCE
        wait_until_in_force(fleet, 1)
        decided = time.time()
        time.sleep(1.5)
        stop_clients(clients)
        attempts = fleet.engines[0].attempts
        assert peak_threads(attempts)[0] <= 12
        assert (
            3 <= peak_threads([attempt for attempt in attempts if attempt.started_at > decided + 0.5])[0] <= 5
        )
        check_run(fleet, [20], strict=True)
