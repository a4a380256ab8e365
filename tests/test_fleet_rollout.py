"""Policy changes on a fleet of real processes: in force at every gateway or at none."""

import time
from contextlib import suppress

import pytest
from rollout_fleet import end, granting, judged, load, on, propose, rig

from gullhold.fleet.store_calls import Put, Transaction
from gullhold.rollout.policy_change import Canary, OnSilence, Overlap, PolicyChange
from gullhold.rollout.policy_client import ExitStatus, PolicyClient
from gullhold.rollout.policy_version import PolicyError, PolicyVersion
from gullhold.rollout.store_schema import CHANGE_KEY, decode_change, encode_change
from gullhold.testing.counting_engine import CountingEngine
from gullhold.testing.rollout_checker import RolloutChecker, by_policy


@pytest.mark.parametrize("overlap", [Overlap.LOOSE, Overlap.STRICT])
def test_a_change_under_load_is_in_force_everywhere_and_an_undo_is_an_ordinary_change(overlap):
    with rig() as fleet:
        fleet.start()
        on(fleet)
        client, clients = PolicyClient(fleet.store_address, "rig"), load(fleet)
        time.sleep(0.3)
        grants = [20, 21, 22, 23]
        for i, mb in enumerate(grants):
            record = client.propose(granting(mb), "a", "b", overlap=overlap)
            assert client.wait(record.number, 5).status == ExitStatus.IN_FORCE
            assert record.number == i + 1
            time.sleep(0.1)
        time.sleep(0.2)
        assert end(clients) > 60
        assert not any(one.counts.failed + one.counts.unanswered for one in clients)
        judged(fleet, grants, overlap == Overlap.STRICT, 300)
        assert {place for _, place in by_policy(fleet.engines, grants)} == {0, 1, 2, 3, 4}
        assert client.current().text == granting(23)
        assert len(client.history()) == 4


def test_one_that_refuses_last_drops_it_for_all_and_one_that_is_silent_as_the_operator_chose():
    budgets = [{"of": '"threads"', "whole": 12, "linger": "1s"}]
    # A lease that outlives the test's pause and the change's patience: guards against the silent member's
    # lease ending first, as it is no member then and its vote is not waited for.
    with rig(budgets=budgets, lease_s=4) as fleet:
        fleet.start("n0", "n1")
        fleet.budgets = []
        fleet.start("n2")  # another file: it knows no such budget
        on(fleet)
        client, clients = PolicyClient(fleet.store_address, "rig"), load(fleet)
        record = propose(
            client, fleet, "policy: {budgets: threads: 8, grants: read: 20}", overlap=Overlap.STRICT
        )
        status, line = client.wait(record.number, 8)
        assert status == ExitStatus.DROPPED
        assert "is no budget" in line
        # The change closes when n1 has voted, or its lease has ended.
        fleet.wait_until(lambda: CHANGE_KEY not in client.read())
        fleet.pause("n1")
        record = propose(client, fleet, granting(21), patience_us=400_000)
        status, line = client.wait(record.number, 8)
        assert status == ExitStatus.DROPPED
        assert "not ready in time: n1" in line
        fleet.resume("n1")
        on(fleet, 0)
        time.sleep(0.3)
        end(clients)
        check = judged(fleet, [20, 21], strict=True)
        assert {place for _, place in by_policy(fleet.engines, [20, 21])} == {0}
        assert check.outcomes == {1: "dropped", 2: "dropped"}


def test_incomplete_or_invalid_policies_are_rejected_and_of_two_concurrent_proposals_one_is_accepted():
    with rig(2) as fleet:
        fleet.start()
        on(fleet)
        client = PolicyClient(fleet.store_address, "rig")
        for text, why in (
            ("policy: sends: once: 2", "must never run twice"),
            ("policy: sends: read: 99", "the agreement allows 6"),
            ("policy: shares: nobody: 1", "no tenant"),
        ):
            status, line = client.wait(propose(client, fleet, text).number, 5)
            assert status == ExitStatus.DROPPED
            assert why in line
        for text in ("policy: {", "policy: unheard: 1", "policy: grants: read: 0"):
            with pytest.raises(PolicyError):
                client.propose(text, "a", "b")
        spoilt = PolicyVersion(9, 0, "a", "b", 0, granting(20)).sealed()._replace(reason="c")
        session = client.session
        fleet.wait_until(lambda: CHANGE_KEY not in client.read())
        assert session.call(
            Transaction(((CHANGE_KEY, 0),), (Put(CHANGE_KEY, encode_change(PolicyChange(spoilt))),))
        ).succeeded
        status, line = client.wait(9, 5)
        assert status == ExitStatus.DROPPED
        assert "digest" in line
        fleet.wait_until(lambda: CHANGE_KEY not in client.read())
        with pytest.raises(PolicyError, match="not 7"):
            client.propose(granting(20), "a", "b", parent=7)
        first = propose(client, fleet, granting(20))
        with suppress(PolicyError):  # the first may be in force already
            second = client.propose(granting(21), "z", "y", parent=first.parent)
            raise AssertionError(f"{second.number} beside {first.number}")
        assert client.wait(first.number, 5).status == ExitStatus.IN_FORCE
        fleet.pause("n0")
        third = propose(client, fleet, granting(22), on_silence=OnSilence.WAIT, patience_us=60_000_000)
        assert client.status(third.number).status == ExitStatus.UNKNOWN
        fleet.wait_until(lambda: third.number == client.drop())
        fleet.resume("n0")
        assert client.wait(third.number, 5) == (
            ExitStatus.DROPPED,
            f"{third.number} is dropped: dropped by staff",
        )
        judged(fleet, [20])


def test_a_bad_canary_is_dropped_though_its_coordinator_dies_and_a_good_one_is_promoted():
    with rig(make_engine=lambda seed: CountingEngine(slots=64, seed=seed, failure_rate=0.3)) as fleet:
        fleet.start()
        on(fleet)
        client, clients = PolicyClient(fleet.store_address, "rig"), load(fleet, rate=60.0)
        canary = Canary(0.34, 6_000_000, 0.1, 9.0)

        def state():
            keys = client.read()
            return decode_change(keys[CHANGE_KEY].value).state if CHANGE_KEY in keys else ""

        # Of a command that fails one in three times and is sent once, a third are not answered.
        record = client.propose("policy: {grants: read: 20, sends: read: 1}", "a", "b", canary=canary)
        fleet.wait_until(lambda: state() == "canary")
        victim = fleet.leaders()["policy"][0]
        fleet.kill(victim)
        status, line = client.wait(record.number, 8)
        assert status == ExitStatus.DROPPED, line
        assert "canary: " in line, line
        fleet.start(victim)
        on(fleet, 0)
        time.sleep(0.1)
        tried = [at for at, place in by_policy(fleet.engines, [20]) if place]
        assert not tried or max(tried) < time.time() - 0.05  # all are back on the parent
        record = propose(client, fleet, granting(21), canary=Canary(0.34, 1_200_000, 0.3, 9.0))
        assert client.wait(record.number, 8).status == ExitStatus.IN_FORCE
        on(fleet, record.number)
        end(clients)
        check = RolloutChecker(fleet.journal_lines())
        assert check.outcomes == {1: "dropped", 2: "decided"}
        assert not check.decided_without_all


def test_schedules_and_admission_weights_change_with_the_policy():
    words = {
        "name": '"warm"',
        "every": "150ms",
        "profile": '"read"',
        "window": "5s",
        "work": "10ms",
        "statement": '"select 1 from warm_1.t /* work=10 */"',
    }
    door = 'door: {on: true, client: field: "client", weights: {n0: 1}}'
    with rig(2, scheduled=[words], operator_text=door) as fleet:
        fleet.start()
        on(fleet)
        client = PolicyClient(fleet.store_address, "rig")

        def warmed():
            return sum("warm" in row.statement for row in fleet.engines[0].received)

        fleet.wait_until(lambda: warmed() >= 3)
        record = client.propose("policy: {schedules: warm: false, clients: n0: 4}", "a", "b")
        assert client.wait(record.number, 5).status == ExitStatus.IN_FORCE
        time.sleep(0.3)
        before = warmed()
        time.sleep(0.7)
        assert warmed() == before
        skipped = [facts for _, _, what, facts in fleet.events() if what == "occurrence skipped"]
        assert skipped
        assert "off by the fleet's policy" in skipped[-1]["reason"]
        record = client.propose("policy: clients: n0: 4", "a", "b")
        assert client.wait(record.number, 5).status == ExitStatus.IN_FORCE
        fleet.wait_until(lambda: warmed() > before + 1)
        judged(fleet, [])
