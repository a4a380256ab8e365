"""A change of policy on a fleet of real processes: everywhere or nowhere, whatever ends in its middle."""

import json
import time
from contextlib import suppress
from itertools import count

import pytest

from gullhold.fleet.role_assignment import RoleAssignment
from gullhold.fleet.store_calls import Proof, Put, ReadPrefix, Transaction
from gullhold.rollout import snapshot
from gullhold.rollout.policy_change import Canary, OnSilence, Overlap, PolicyChange
from gullhold.rollout.policy_client import ExitStatus, PolicyClient
from gullhold.rollout.policy_version import INITIAL_VERSION, PolicyError, PolicyVersion
from gullhold.rollout.store_schema import CHANGE_KEY, decode_change, encode_change, history_key
from gullhold.testing import crowd
from gullhold.testing.budget_checker import most_at_once
from gullhold.testing.counting import CountingEngine
from gullhold.testing.fleet import Rig
from gullhold.testing.policycheck import Changes, by_policy, mixed

SERIAL = count(1)


def rig(members=3, **other):
    """A fleet with counting engines and policies on."""
    return Rig(
        members=members,
        engines=1,
        **{"policy": "on: true", "make": lambda seed: CountingEngine(slots=64, seed=seed)} | other,
    )


def granting(mb):
    """A policy that engines can tell: so many MB for each read."""
    return f"policy: grants: read: {mb}"


def load(fleet, *names, rate=40.0):
    """A client of each gateway."""
    return [
        crowd.Client(
            fleet.members[name].address,
            "",
            name,
            rate=rate,
            work_ms=10.0,
            limit_ms=900,
            manner=crowd.NOT_AT_ALL,
            seed=next(SERIAL),
        ).start()
        for name in names or fleet.names
    ]


def end(clients):
    """They ask no more, and hear what they are owed: each ask exactly one answer."""
    for one in clients:
        one.stop()
    for one in clients:
        one.join()
    return sum(one.answered for one in clients)


def on(fleet, number=0, names=None):
    """Wait until all of these go by this policy."""
    names = set(names or fleet.names)
    fleet.until(
        lambda: {name for name, under in Changes(fleet.lines()).under().items() if under == number} >= names
    )


def propose(client, fleet, text, **options):
    """Propose when the last change is closed; its record."""
    fleet.until(lambda: CHANGE_KEY not in client.read())
    return client.propose(text, "a", "b", **options)


def judged(fleet, grants, strict=False, overlap_ms=1200):
    """Nothing is mixed beyond what is stated, and nothing was decided that should not be."""
    check = Changes(fleet.lines())
    assert not check.without_all and not check.turned_down, fleet.story()
    wrong, overlap = mixed(by_policy(fleet.engines, grants))
    assert not (strict and wrong) and overlap <= overlap_ms, (wrong, overlap, fleet.story())
    logs = [member.log.read_text("utf-8", "replace") for member in fleet.members.values()]
    assert not any(word in log for log in logs for word in ("Traceback", "_faults", "not answered in time"))
    return check


@pytest.mark.parametrize("overlap", [Overlap.LOOSE, Overlap.STRICT])
def test_a_change_under_load_holds_everywhere_and_an_undo_is_one_like_any_other(overlap):
    with rig() as fleet:
        fleet.start()
        on(fleet)
        client, clients = PolicyClient(fleet.register_address, "rig"), load(fleet)
        time.sleep(0.3)
        grants = [20, 21, 22, 23]
        for i, mb in enumerate(grants):
            record = client.propose(granting(mb), "a", "b", overlap=overlap)
            assert client.wait(record.number, 5).status == ExitStatus.IN_FORCE
            assert record.number == i + 1
            time.sleep(0.1)
        time.sleep(0.2)
        assert end(clients) > 60
        assert not any(one.failed + one.lost for one in clients)
        judged(fleet, grants, overlap == Overlap.STRICT, 300)
        assert {place for _, place in by_policy(fleet.engines, grants)} == {0, 1, 2, 3, 4}
        assert client.current().text == granting(23)
        assert len(client.history()) == 4


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
def test_whoever_carries_it_ends_or_sleeps_in_the_middle(state, side, act):
    with rig() as fleet:
        spread = RoleAssignment(["policy"])
        spread.update_members(fleet.names)
        carrier = spread.leaders["policy"]
        others = [name for name in fleet.names if name != carrier]
        fleet.start(carrier, point=state, side=side, act=act, nth=1)
        fleet.start(*others)
        on(fleet)
        fleet.until(lambda: fleet.owners()["policy"][0] == carrier)
        client, clients = PolicyClient(fleet.register_address, "rig"), load(fleet, *others)
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
def test_one_killed_after_its_word_is_started_after_the_decision_and_another_in_the_middle(word, side):
    with rig() as fleet:
        spread = RoleAssignment(["policy"])
        spread.update_members(fleet.names)
        first, victim = sorted(fleet.names, key=lambda name: name != spread.leaders["policy"])[:2]
        other = next(name for name in fleet.names if name not in (first, victim))
        fleet.start(first)
        fleet.start(victim, point=word, side=side, act="kill", nth=1)
        on(fleet, 0, (first, victim))
        client, clients = PolicyClient(fleet.register_address, "rig"), load(fleet, first)
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


def test_replies_are_lost_and_the_register_is_killed_while_changes_are_made():
    with rig() as fleet:
        fleet.start()
        on(fleet)
        client, clients, grants = PolicyClient(fleet.register_address, "rig"), load(fleet), []
        for turn in range(4):
            mb = 20 + turn
            record = client.propose(granting(mb), "a", "b", overlap=(Overlap.STRICT, Overlap.LOOSE)[turn % 2])
            if turn % 2:
                fleet.faults(lose=6)
            else:
                time.sleep(0.03)
                fleet.kill_register()
                fleet.start_register()
                fleet.faults(drop=1)
            status, line = client.wait(record.number, 8)
            assert status in (ExitStatus.IN_FORCE, ExitStatus.DROPPED), line
            grants += [mb] * (status == ExitStatus.IN_FORCE)
            time.sleep(0.2)
        on(fleet, client.current().number)
        assert end(clients) > 60
        judged(fleet, grants)


def test_half_are_down_while_it_is_made_and_come_back_under_it():
    with rig(4) as fleet:
        fleet.start()
        on(fleet)
        client = PolicyClient(fleet.register_address, "rig")
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


def test_one_that_said_ready_and_is_cut_off_turns_away_when_its_lease_is_over():
    with rig() as fleet:
        spread = RoleAssignment(["policy"])
        spread.update_members(fleet.names)
        victim = next(name for name in fleet.names if name != spread.leaders["policy"])
        others = [name for name in fleet.names if name != victim]
        fleet.start()
        on(fleet)
        client, clients = PolicyClient(fleet.register_address, "rig"), load(fleet)
        time.sleep(0.3)
        fleet.cut(victim)
        record = client.propose(granting(20), "a", "b", on_silence=OnSilence.WAIT)
        assert client.wait(record.number, 8).status == ExitStatus.IN_FORCE
        on(fleet, 1, others)
        asker = clients[fleet.names.index(victim)]
        fleet.until(lambda: asker.shed > 3)  # a time to come back is not stated by this agreement
        assert service_good(fleet, victim) is False
        fleet.heal(victim)
        on(fleet, 1)  # its word stands at the register a moment before the reply that opens its gate
        fleet.until(lambda: service_good(fleet, victim))
        time.sleep(0.2)
        end(clients)
        judged(fleet, [20])


def service_good(fleet, name):
    """Whether a gateway says that it serves."""
    from gullhold.net import health_check  # noqa: PLC0415

    return health_check.is_serving(fleet.members[name].address, 1.0)


def test_one_that_refuses_last_drops_it_for_all_and_one_that_is_silent_as_the_operator_chose():
    with rig(budgets=[{"of": '"threads"', "whole": 12, "linger": "1s"}]) as fleet:
        fleet.start("n0", "n1")
        fleet.budgets = []
        fleet.start("n2")  # another file: it knows no such budget
        on(fleet)
        client, clients = PolicyClient(fleet.register_address, "rig"), load(fleet)
        record = propose(
            client, fleet, "policy: {budgets: threads: 8, grants: read: 20}", overlap=Overlap.STRICT
        )
        status, line = client.wait(record.number, 8)
        assert status == ExitStatus.DROPPED
        assert "is no budget" in line
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


def test_what_is_not_whole_or_against_a_rule_is_refused_and_two_at_once_are_one():
    with rig(2) as fleet:
        fleet.start()
        on(fleet)
        client = PolicyClient(fleet.register_address, "rig")
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
        fleet.until(lambda: CHANGE_KEY not in client.read())
        assert session.call(
            Transaction(((CHANGE_KEY, 0),), (Put(CHANGE_KEY, encode_change(PolicyChange(spoilt))),))
        ).succeeded
        status, line = client.wait(9, 5)
        assert status == ExitStatus.DROPPED
        assert "digest" in line
        fleet.until(lambda: CHANGE_KEY not in client.read())
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
        fleet.until(lambda: third.number == client.drop())
        fleet.resume("n0")
        assert client.wait(third.number, 5) == (
            ExitStatus.DROPPED,
            f"{third.number} is dropped: dropped by staff",
        )
        judged(fleet, [20])


def test_all_are_restarted_one_after_another_while_a_change_is_made_and_a_whole_comes_down():
    with rig(4, budgets=[{"of": '"threads"', "whole": 12, "linger": "1s"}]) as fleet:
        fleet.start()
        on(fleet)
        client = PolicyClient(fleet.register_address, "rig")
        clients = [
            crowd.Client(
                fleet.members[name].address,
                "",
                name,
                open=20,
                work_ms=60.0,
                limit_ms=800,
                manner=crowd.NOT_AT_ALL,
                seed=next(SERIAL),
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
        flights = fleet.engines[0].flights
        assert most_at_once(flights)[0] <= 12
        assert 3 <= most_at_once([row for row in flights if row[0] > decided + 0.5])[0] <= 5
        judged(fleet, [20], strict=True)


def test_a_canary_that_goes_bad_as_its_carrier_dies_is_dropped_and_a_good_one_comes():
    with rig(make=lambda seed: CountingEngine(slots=64, seed=seed, fails=0.3)) as fleet:
        fleet.start()
        on(fleet)
        client, clients = PolicyClient(fleet.register_address, "rig"), load(fleet, rate=60.0)
        canary = Canary(0.34, 6_000_000, 0.1, 9.0)

        def state():
            keys = client.read()
            return decode_change(keys[CHANGE_KEY].value).state if CHANGE_KEY in keys else ""

        # Of a command that fails one in three times and is sent once, a third are not answered.
        record = client.propose("policy: {grants: read: 20, sends: read: 1}", "a", "b", canary=canary)
        fleet.until(lambda: state() == "canary")
        victim = fleet.owners()["policy"][0]
        fleet.kill(victim)
        status, line = client.wait(record.number, 8)
        assert status == ExitStatus.DROPPED and "canary: " in line, line
        fleet.start(victim)
        on(fleet, 0)
        time.sleep(0.1)
        tried = [at for at, place in by_policy(fleet.engines, [20]) if place]
        assert not tried or max(tried) < time.time() - 0.05  # all are back on the parent
        record = propose(client, fleet, granting(21), canary=Canary(0.34, 1_200_000, 0.3, 9.0))
        assert client.wait(record.number, 8).status == ExitStatus.IN_FORCE
        on(fleet, record.number)
        end(clients)
        check = Changes(fleet.lines())
        assert check.outcomes == {1: "dropped", 2: "decided"}
        assert not check.without_all


def test_schedules_and_weights_at_the_door_are_changed_with_the_rest():
    words = {
        "name": '"warm"',
        "every": "150ms",
        "profile": '"read"',
        "window": "5s",
        "work": "10ms",
        "statement": '"select 1 from warm_1.t /* work=10 */"',
    }
    door = 'door: {on: true, client: field: "client", weights: {n0: 1}}'
    with rig(2, scheduled=[words], fleet=door) as fleet:
        fleet.start()
        on(fleet)
        client = PolicyClient(fleet.register_address, "rig")

        def warmed():
            return sum("warm" in row.statement for row in fleet.engines[0].received)

        fleet.until(lambda: warmed() >= 3)
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
        fleet.until(lambda: warmed() > before + 1)
        judged(fleet, [])


def test_a_snapshot_is_whole_or_not_there_and_is_gone_by_without_a_register_for_a_while(tmp_path):
    path = tmp_path / "last"
    record = PolicyVersion(3, 2, "a", "b", 0, granting(20)).sealed()
    snapshot.write(path, record, 5)
    assert snapshot.read(path) == (record, 5)
    (tmp_path / "last.new").write_text("half of")  # a kill in the middle of the next one
    assert snapshot.read(path) == (record, 5)
    path.write_text(path.read_text()[:-9])
    assert snapshot.read(path) is None
    assert snapshot.read(tmp_path / "none") is None
    with rig(1, policy=f'on: true, snapshot: "{path}", spare: 3s') as fleet:
        fleet.start()
        on(fleet)
        client = PolicyClient(fleet.register_address, "rig")
        assert client.wait(client.propose(granting(20), "a", "b").number, 5).status == ExitStatus.IN_FORCE
        fleet.until(lambda: snapshot.read(path) and snapshot.read(path)[0].number == 1)
        fleet.kill("n0")
        fleet.kill_register()
        fleet.start("n0")
        clients = load(fleet)
        fleet.until(lambda: clients[0].answered > 5)
        assert {row[5] for row in fleet.engines[0].flights} == {20}
        fleet.until(lambda: clients[0].shed > 5)  # the time for which it may be gone by is over
        end(clients)
        fleet.start_register()


def test_staff_propose_see_and_undo_on_the_command_line(tmp_path, capsys):
    from gullhold.__main__ import main  # noqa: PLC0415

    path = tmp_path / "p.cue"
    path.write_text(granting(20))
    with rig(2) as fleet:
        fleet.start()
        on(fleet)
        at = ["--register", fleet.register_address, "--name", "rig"]
        assert main(["policy", "check", str(path)]) == 0
        assert main(["policy", "diff", str(path), *at]) == 0
        assert "grants read: as agreed -> 20" in capsys.readouterr().out
        words = ["policy", "propose", str(path), *at, "--why", "renewal", "--author", "desk", "--wait", "5"]
        assert main(words) == ExitStatus.IN_FORCE
        assert main(["policy", "status", *at, "--number", "1"]) == ExitStatus.IN_FORCE
        assert main(["policy", "status", *at, "--number", "7"]) == ExitStatus.UNKNOWN
        assert main(["policy", "undo", *at, "--wait", "5"]) == ExitStatus.IN_FORCE
        capsys.readouterr()
        assert main(["policy", "history", *at, "--json"]) == 0
        rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
        assert [(row["number"], row["parent"], row["outcome"]) for row in rows] == [
            (1, 0, "decided"),
            (2, 1, "decided"),
        ]
        assert rows[0]["why"] == "renewal"
        assert main(["policy", "history", *at]) == 0
        assert main(["policy", "drop", *at]) == 2
        path.write_text("policy: {")
        assert main(["policy", "propose", str(path), *at]) == 2
        client = PolicyClient(fleet.register_address, "rig")
        reply = client.session.call(ReadPrefix("policy/now/"))
        assert reply.proof == Proof.DONE
        assert client.current().text == INITIAL_VERSION.text
        assert history_key(2) in client.read()
        fleet.kill_register()
        assert main(["policy", "status", *at]) == ExitStatus.UNKNOWN
        fleet.start_register()
