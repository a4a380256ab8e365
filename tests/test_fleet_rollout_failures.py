"""Policy changes on a fleet of real processes while gateways or the store fail or restart."""

import time

import pytest
from rollout_fleet import CLIENT_SEEDS, end, granting, is_serving, judged, load, on, rig

from gullhold.fleet.role_assignment import RoleAssignment
from gullhold.rollout.policy_change import OnSilence, Overlap
from gullhold.rollout.policy_client import ExitStatus, PolicyClient
from gullhold.testing import load_client
from gullhold.testing.budget_checker import most_at_once
from gullhold.testing.rollout_checker import by_policy


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
def test_the_coordinator_is_killed_or_paused_during_a_change(state, side, act):
    with rig() as fleet:
        spread = RoleAssignment(["policy"])
        spread.update_members(fleet.names)
        carrier = spread.leaders["policy"]
        others = [name for name in fleet.names if name != carrier]
        fleet.start(carrier, point=state, side=side, act=act, nth=1)
        fleet.start(*others)
        on(fleet)
        fleet.wait_until(lambda: fleet.leaders()["policy"][0] == carrier)
        client, clients = PolicyClient(fleet.store_address, "rig"), load(fleet, *others)
        record = client.propose(granting(20), "a", "b", overlap=Overlap.STRICT)
        status, line = client.wait(record.number, 8)
        assert status == ExitStatus.IN_FORCE, line
        on(fleet, 1, others)
        if act == "stop":
            fleet.resume(carrier)
        else:
            fleet.start(carrier)
        on(fleet, 1)
        clients += load(fleet, carrier)
        time.sleep(0.3)
        assert end(clients) > 30
        judged(fleet, [20], strict=True)


@pytest.mark.parametrize("word, side", [("ready", "after"), ("still", "after"), ("still", "before")])
def test_a_member_killed_after_its_vote_restarts_after_the_decision_and_another_joins_during_it(word, side):
    with rig() as fleet:
        spread = RoleAssignment(["policy"])
        spread.update_members(fleet.names)
        first, victim = sorted(fleet.names, key=lambda name: name != spread.leaders["policy"])[:2]
        other = next(name for name in fleet.names if name not in (first, victim))
        fleet.start(first)
        fleet.start(victim, point=word, side=side, act="kill", nth=1)
        on(fleet, 0, (first, victim))
        client, clients = PolicyClient(fleet.store_address, "rig"), load(fleet, first)
        record = client.propose(granting(20), "a", "b", overlap=Overlap.STRICT)
        fleet.members[victim].process.wait(8)
        fleet.start(other)  # it enrols in the middle, before or after the decision
        assert client.wait(record.number, 8).status == ExitStatus.IN_FORCE
        fleet.start(victim)
        on(fleet, 1)
        clients += load(fleet, victim, other)
        time.sleep(0.3)
        end(clients)
        judged(fleet, [20], strict=True)


def test_replies_are_lost_and_the_store_is_killed_during_changes():
    with rig() as fleet:
        fleet.start()
        on(fleet)
        client, clients, grants = PolicyClient(fleet.store_address, "rig"), load(fleet), []
        for turn in range(4):
            mb = 20 + turn
            record = client.propose(granting(mb), "a", "b", overlap=(Overlap.STRICT, Overlap.LOOSE)[turn % 2])
            if turn % 2:
                fleet.inject_store_faults(lose=6)
            else:
                time.sleep(0.03)
                fleet.kill_store()
                fleet.start_store()
                fleet.inject_store_faults(drop=1)
            status, line = client.wait(record.number, 8)
            assert status in (ExitStatus.IN_FORCE, ExitStatus.DROPPED), line
            grants += [mb] * (status == ExitStatus.IN_FORCE)
            time.sleep(0.2)
        on(fleet, client.current().number)
        assert end(clients) > 60
        judged(fleet, grants)


def test_half_of_the_members_are_down_during_a_change_and_return_under_it():
    with rig(4) as fleet:
        fleet.start()
        on(fleet)
        client = PolicyClient(fleet.store_address, "rig")
        fleet.kill("n2")
        fleet.pause("n3")  # it slept, and wakes believing in what was
        clients = load(fleet, "n0", "n1", "n3")
        record = client.propose(granting(20), "a", "b", overlap=Overlap.STRICT)
        assert client.wait(record.number, 8).status == ExitStatus.IN_FORCE
        fleet.start("n2")  # with its old file
        fleet.resume("n3")
        on(fleet, 1)
        clients += load(fleet, "n2")
        time.sleep(0.4)
        end(clients)
        judged(fleet, [20], strict=True)
        assert by_policy(fleet.engines, [20])[-1][1] == 1


def test_a_member_cut_off_after_voting_ready_rejects_requests_once_its_lease_expires():
    with rig() as fleet:
        spread = RoleAssignment(["policy"])
        spread.update_members(fleet.names)
        victim = next(name for name in fleet.names if name != spread.leaders["policy"])
        others = [name for name in fleet.names if name != victim]
        fleet.start()
        on(fleet)
        client, clients = PolicyClient(fleet.store_address, "rig"), load(fleet)
        time.sleep(0.3)
        fleet.cut(victim)
        record = client.propose(granting(20), "a", "b", on_silence=OnSilence.WAIT)
        assert client.wait(record.number, 8).status == ExitStatus.IN_FORCE
        on(fleet, 1, others)
        asker = clients[fleet.names.index(victim)]
        fleet.wait_until(lambda: asker.counts.shed > 3)  # a time to come back is not stated by this agreement
        assert is_serving(fleet, victim) is False
        fleet.heal(victim)
        on(fleet, 1)  # its word stands at the register a moment before the reply that opens its gate
        fleet.wait_until(lambda: is_serving(fleet, victim))
        time.sleep(0.2)
        end(clients)
        judged(fleet, [20])


def test_a_rolling_restart_during_a_change_that_lowers_a_budget():
    with rig(4, budgets=[{"of": '"threads"', "whole": 12, "linger": "1s"}]) as fleet:
        fleet.start()
        on(fleet)
        client = PolicyClient(fleet.store_address, "rig")
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
        record = client.propose(
            "policy: {budgets: threads: 5, grants: read: 20}", "a", "b", overlap=Overlap.STRICT
        )
        for name in ("n3", "n2"):
            fleet.stop(name)
            fleet.start(name)
        assert client.wait(record.number, 8).status == ExitStatus.IN_FORCE
        on(fleet, 1)
        decided = time.time()
        time.sleep(1.5)
        end(clients)
        flights = fleet.engines[0].attempts
        assert most_at_once(flights)[0] <= 12
        assert 3 <= most_at_once([row for row in flights if row.started_at > decided + 0.5])[0] <= 5
        judged(fleet, [20], strict=True)
