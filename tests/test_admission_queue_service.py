"""The admission queue in a gateway that serves on loopback sockets."""

import time
from threading import Thread

import pytest
from serving import Gateway, until

from gullhold.net.engine_ids import EngineIds
from gullhold.net.list_change import parse_event
from gullhold.operator import records
from gullhold.testing import load_client
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config, endpoint_list_event
from gullhold.testing.running import ADMISSION_OPERATOR_FILE, RunningDeployment, adjust_settings
from gullhold.testing.scripted import ScriptedEngine, never_finish
from gullhold.testing.working_engine import WorkingEngine, statement


@pytest.fixture
def start_gateway(tmp_path):
    """A function that starts a gateway with an admission queue; gateways and engines end with the test."""
    gateways, engines = [], []

    def make(*parts, more="", tenants=(), cores=2, **other):
        record = records.read(ADMISSION_OPERATOR_FILE + more, "test.cue").door
        configuration = config(*parts, **other)
        adjust_settings(configuration["settings"], tenants, cores)
        gateways.append(Gateway(tmp_path, configuration, admission_record=record))
        engines.extend(parts)
        return gateways[-1], BlockingClient(gateways[-1].address)

    yield make
    for gateway in gateways:
        gateway.end()
        queue = gateway.core.admission_queue
        assert not queue.commands
        assert not queue.queued_count
        assert not queue.forwarded_count
        assert not queue.commands_by_key
    for engine in engines:
        engine.close()


def test_queued_commands_are_unknown_to_the_decision_module_and_shed_in_time(start_gateway):
    gateway, client = start_gateway(ScriptedEngine(never_finish), more="door: patience: 100")
    for _ in range(30):
        client.send_command(limit=600, client=b"one")
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
    began_s = time.monotonic()
    answers = [client.read_answer()[1] for _ in range(30)]
    assert set(answers) == {"shed"}
    assert time.monotonic() - began_s < 0.7


def test_the_queue_is_empty_after_clients_interrupt_or_disconnect(start_gateway):
    gateway, client = start_gateway(ScriptedEngine(never_finish), more="door: patience: 100")
    other = BlockingClient(gateway.address)
    seqs = [client.send_command(client=b"one") for _ in range(30)]
    for _ in range(20):
        other.send_command(client=b"two")
    until(lambda: gateway.core.admission_queue.queued_count + len(gateway.core.gateway.commands) == 50)
    for seq in seqs:
        client.interrupt(seq)
    other.sock.close()
    until(lambda: not gateway.core.requests.by_number)


def test_queued_commands_go_to_another_engine_when_one_drains(start_gateway):
    engine, later = WorkingEngine(slots=1), ScriptedEngine()
    gateway, client = start_gateway(engine, cores=1, more="door: patience: 100")
    for _ in range(20):
        client.send_command(limit=4000, client=b"one", body=statement(30))
    until(lambda: engine.completed >= 2)
    core = gateway.core
    core.list_changed(
        *parse_event(endpoint_list_event(2, ("s-0", engine.address, "draining")), core.agreement, EngineIds())
    )
    core.list_changed(
        *parse_event(endpoint_list_event(3, ("s-9", later.address, "ready")), core.agreement, EngineIds())
    )
    answers = [client.read_answer()[1] for _ in range(20)]
    assert all(answer == b"a\tb\tc\n" for answer in answers)
    assert len(later.messages(b"fetch")) >= 10
    assert engine.completed + len(later.messages(b"fetch")) == 20
    later.close()


def test_unknown_tenants_use_the_share_of_the_fallback_tenant_or_are_refused(start_gateway):
    tenants = (("a", 0.7), ("rest", 0.3))
    _, client = start_gateway(
        ScriptedEngine(), tenants=tenants, more='door: {tenants: "open", others: "rest"}'
    )
    client.send_command(team=b"never heard of")
    assert client.read_answer() == (1, b"a\tb\tc\n")
    gateway, client = start_gateway(ScriptedEngine(), tenants=tenants)
    client.send_command(team=b"never heard of")
    assert client.read_answer() == (1, "fault")
    assert not gateway.core.admission_queue.flow_table.tenants


def test_inside_one_tenant_a_crowding_client_takes_no_more_than_its_share():
    with RunningDeployment(
        operator=ADMISSION_OPERATOR_FILE, tenants=(("one", 1.0),), memory_mb=192
    ) as running:
        clients = [
            load_client.LoadClient(running.address, "one", "polite", open=16).start(),
            load_client.LoadClient(running.address, "one", "crowding", open=160, connections=8).start(),
        ]
        time.sleep(1.5)
        for client in clients:
            client.reset_counts()
        time.sleep(3)
        counts = [client.counts.answered for client in clients]
        for client in clients:
            client.stop()
        for client in clients:
            client.join()
        assert abs(counts[0] / sum(counts) - 0.5) <= 0.1, (
            f"answered commands of the polite and the crowding client: {counts};"
            f" the share of the polite one is {counts[0] / sum(counts):.2f}, not within 0.1 of 0.5"
        )
        assert clients[1].counts.retry_after_received > 0
        assert not clients[0].counts.unanswered + clients[1].counts.unanswered


def test_gateway_ends_in_time_at_sigterm_when_ten_thousand_commands_wait_and_more_arrive():
    """Guards against a gateway that goes on accepting commands: it had not ended 10 s after SIGTERM."""
    more = "door: {patience: 1000, waiting: 30000}"
    with RunningDeployment(
        operator=ADMISSION_OPERATOR_FILE + more, slots=0, timeout_s=8.0, max_open=30000
    ) as running:
        clients = [
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
        deadline_s = time.monotonic() + 8
        while (
            sum(c.counts.attempts - c.counts.answered - c.counts.shed - c.counts.failed for c in clients)
            < 9_900
        ):
            assert time.monotonic() < deadline_s
            time.sleep(0.05)
        began_s = time.monotonic()
        running.process.terminate()
        waiter = Thread(target=running.process.wait, args=(10,))
        waiter.start()
        waiter.join(10)
        took_s = time.monotonic() - began_s
        for client in clients:
            client.stop()
        for client in clients:
            client.join()
        assert running.process.returncode == 0, (
            f"exit status {running.process.returncode} after {took_s} s, not 0"
        )
        assert took_s < 3.7, (
            f"the gateway ended {took_s} s after SIGTERM, not within 3.7 s: the shutdown counts 3 s of the "
            "client timeout of 8 s, and the kill comes 0.7 s later"
        )
        assert "overdue" not in running.log_text()
        assert "internal_faults" not in running.log_text()
        # Each accepted command is answered; commands that arrived during the shutdown were not accepted.
        assert sum(client.counts.shed for client in clients) > 9_000
