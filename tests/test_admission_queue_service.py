"""The admission queue of a gateway on loopback sockets."""

import time
from threading import Thread

import pytest
from serving import Gateway, until

from gullhold.net.engine_ids import EngineIds
from gullhold.net.list_change import parse_event
from gullhold.operator import records
from gullhold.testing import load_client
from gullhold.testing.client import Caller
from gullhold.testing.deployment import config, event
from gullhold.testing.running import ADMISSION_RULES, RunningDeployment, adjust_settings
from gullhold.testing.scripted import Engine, endless
from gullhold.testing.working_engine import WorkingEngine, statement


@pytest.fixture
def start(tmp_path):
    """Starts a gateway with an admission queue and some engines; all of it ends with the test."""
    made, engines = [], []

    def make(*parts, more="", tenants=(), cores=2, **other):
        rule = records.read(ADMISSION_RULES + more, "test.cue").door
        told = config(*parts, **other)
        adjust_settings(told["settings"], tenants, cores)
        made.append(Gateway(tmp_path, told, door_record=rule))
        engines.extend(parts)
        return made[-1], Caller(made[-1].address)

    yield make
    for gateway in made:
        gateway.end()
        door = gateway.core.admission_queue
        assert not door.commands
        assert not door.queued_count
        assert not door.forwarded_count
        assert not door.commands_by_key
    for engine in engines:
        engine.close()


def test_what_waits_at_the_door_is_unknown_to_the_module_and_answered_in_time(start):
    gateway, client = start(Engine(endless), more="door: patience: 100")
    for _ in range(30):
        client.ask(limit=600, client=b"one")
    until(
        lambda: (
            gateway.core.admission_queue.queued_count
            and len(gateway.core.gateway.commands) + gateway.core.admission_queue.queued_count == 30
        )
    )
    assert (
        len(gateway.core.gateway.commands)
        <= 4 * 2 * 16 + gateway.core.admission_queue.settings.max_forwarded_per_tenant_profile
    )
    began = time.monotonic()
    answers = [client.answer()[1] for _ in range(30)]
    assert set(answers) == {"shed"}
    assert time.monotonic() - began < 0.7


def test_a_client_that_leaves_or_takes_back_frees_the_door(start):
    gateway, client = start(Engine(endless), more="door: patience: 100")
    other = Caller(gateway.address)
    seqs = [client.ask(client=b"one") for _ in range(30)]
    for _ in range(20):
        other.ask(client=b"two")
    until(lambda: gateway.core.admission_queue.queued_count + len(gateway.core.gateway.commands) == 50)
    for seq in seqs:
        client.interrupt(seq)
    other.sock.close()
    until(lambda: not gateway.core.requests.by_number)


def test_an_engine_that_drains_gets_nothing_of_what_waits(start):
    engine, later = WorkingEngine(slots=1), Engine()
    gateway, client = start(engine, cores=1, more="door: patience: 100")
    for _ in range(20):
        client.ask(limit=4000, client=b"one", body=statement(30))
    until(lambda: engine.completed >= 2)
    core = gateway.core
    core.list_changed(
        *parse_event(event(2, ("s-0", engine.address, "draining")), core.agreement, EngineIds())
    )
    core.list_changed(*parse_event(event(3, ("s-9", later.address, "ready")), core.agreement, EngineIds()))
    answers = [client.answer()[1] for _ in range(20)]
    assert all(answer == b"a\tb\tc\n" for answer in answers)
    assert len(later.messages(b"fetch")) >= 10
    assert engine.completed + len(later.messages(b"fetch")) == 20
    later.close()


def test_unknown_tenants_share_in_the_part_of_others_or_are_refused(start):
    tenants = (("a", 0.7), ("rest", 0.3))
    _, client = start(Engine(), tenants=tenants, more='door: {tenants: "open", others: "rest"}')
    client.ask(team=b"never heard of")
    assert client.answer() == (1, b"a\tb\tc\n")
    gateway, client = start(Engine(), tenants=tenants)
    client.ask(team=b"never heard of")
    assert client.answer() == (1, "fault")
    assert not gateway.core.admission_queue.flow_table.tenants


def test_inside_one_tenant_a_crowding_client_takes_no_more_than_its_share():
    with RunningDeployment(operator=ADMISSION_RULES, tenants=(("one", 1.0),), memory_mb=192) as running:
        made = [
            load_client.LoadClient(running.address, "one", "polite", open=16).start(),
            load_client.LoadClient(running.address, "one", "crowding", open=160, connections=8).start(),
        ]
        time.sleep(1.5)
        for client in made:
            client.reset_counts()
        time.sleep(3)
        counts = [client.counts.answered for client in made]
        for client in made:
            client.stop()
        for client in made:
            client.join()
        assert abs(counts[0] / sum(counts) - 0.5) <= 0.1, counts
        assert made[1].counts.retry_after_received > 0
        assert not made[0].counts.unanswered + made[1].counts.unanswered


def test_at_sigterm_ten_thousand_wait_and_clients_go_on_asking_it_ends_in_time():
    """Without an end to what it takes, a gateway had not ended 10 s after SIGTERM."""
    more = "door: {patience: 1000, waiting: 30000}"
    with RunningDeployment(
        operator=ADMISSION_RULES + more, slots=0, timeout_s=8.0, max_open=30000
    ) as running:
        made = [
            load_client.LoadClient(
                running.address,
                "",
                f"c{i}",
                open=320,
                connections=10,
                limit_ms=8000,
                retry_rule=load_client.RetryRule.NEVER,
            ).start()
            for i in range(32)
        ]
        deadline = time.monotonic() + 8
        while (
            sum(c.counts.attempts - c.counts.answered - c.counts.shed - c.counts.failed for c in made) < 9_900
        ):
            assert time.monotonic() < deadline
            time.sleep(0.05)
        began = time.monotonic()
        running.process.terminate()
        waiter = Thread(target=running.process.wait, args=(10,))
        waiter.start()
        waiter.join(10)
        took = time.monotonic() - began
        for client in made:
            client.stop()
        for client in made:
            client.join()
        assert running.process.returncode == 0, took
        assert took < 3.7, took
        assert "overdue" not in running.log_text()
        assert "internal_faults" not in running.log_text()
        # Each command that was taken is answered; what crossed the end was never taken.
        assert sum(client.counts.shed for client in made) > 9_000
