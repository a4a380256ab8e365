"""Clients that disconnect: no more attempts are sent for them, and all other requests are answered."""

import socket
import time

import pytest
from races import CLIENTS_CLOSED_COUNTER, BlockedCore
from serving import Gateway, open_sequence_ids, until

from gullhold.net import backpressure, client_limits, thrift
from gullhold.net.transaction_ids import MAX_REMEMBERED_IDS, AbandonedIds
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config, endpoint_list_event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.scripted import ScriptedEngine, never_finish, reply_with, reset_connection, serve_pages


@pytest.fixture
def gateway_without_engines(tmp_path):
    """A gateway that queues requests until its discovery service lists an engine."""
    gateways = []

    def make(**limits):
        discovery = DiscoveryService()
        gateways.append(Gateway(tmp_path, config(**limits) | {"coordinator": discovery.address}))
        return gateways[-1], BlockingClient(gateways[-1].address), discovery

    yield make
    for gateway in gateways:
        gateway.end()


@pytest.mark.parametrize("action", ["closes", "ends its side", "resets", "interrupts"])
def test_no_attempt_is_sent_for_a_client_that_leaves_while_its_command_waits(gateway_without_engines, action):
    gateway, client, discovery = gateway_without_engines()
    other, engine = BlockingClient(gateway.address), ScriptedEngine()
    seq = client.send_command(limit=7000)
    until(lambda: gateway.core.requests.by_number)
    if action == "closes":
        client.sock.close()
    elif action == "ends its side":
        client.sock.shutdown(socket.SHUT_WR)
    elif action == "resets":
        reset_connection(client.sock, b"fetch")
    else:
        client.interrupt(seq)
    until(lambda: not gateway.core.requests.by_number)
    discovery.send(endpoint_list_event(2, ("s-0", engine.address, "ready")))
    seq = other.send_command(txn=b"f%015x" % 7)
    assert other.read_answer() == (seq, b"a\tb\tc\n")
    assert [words[2] for words in engine.messages(b"fetch")] == [b"f%015x" % 7]
    engine.close()


def test_the_end_of_a_client_is_processed_before_its_waiting_requests(start_gateway):
    """Guards against an end that waits behind all requests: each would be sent before it is dropped."""
    engine = ScriptedEngine()
    gateway, client = start_gateway(engine)
    with BlockedCore(gateway.core):
        for _ in range(20):
            client.send_command()
        until(lambda: len(gateway.listener.clients) == 1)
        (gateway_side,) = gateway.listener.clients
        until(lambda: gateway_side.posted_count == 20)
        client.sock.close()
        until(lambda: gateway_side.is_ending)
    until(lambda: gateway.count("interrupted") == 20)
    assert gateway.core.gateway.submitted_count == 0
    assert not engine.received


@pytest.mark.parametrize("action", ["closes", "interrupts"])
def test_a_disconnect_or_interrupt_is_noticed_during_a_pause(gateway_without_engines, action):
    """Guards against a reader that sleeps in the pause: the waiting command would be sent to an engine."""
    gateway, client, discovery = gateway_without_engines(connect_timeout=3.0)
    other, engine = BlockingClient(gateway.address), ScriptedEngine()
    seq = client.send_command(limit=7000)
    until(lambda: gateway.core.requests.by_number)
    client.send_command("odd")  # an unknown profile: an invalid request begins a pause
    assert client.read_answer()[1] == "fault"
    began = time.monotonic()
    if action == "closes":
        client.sock.close()
    else:
        client.interrupt(seq)
    until(lambda: not gateway.core.requests.by_number)
    assert time.monotonic() - began < 1
    discovery.send(endpoint_list_event(2, ("s-0", engine.address, "ready")))
    seq = other.send_command()
    assert other.read_answer() == (seq, b"a\tb\tc\n")
    assert len(engine.messages(b"fetch")) == 1
    engine.close()


def test_calls_deferred_in_a_pause_are_handled_after_it_unless_interrupted(start_gateway):
    engine = ScriptedEngine(never_finish, serve_pages())
    gateway, client = start_gateway(engine, connect_timeout=0.5)
    running = client.send_command("once")
    until(lambda: engine.messages(b"fetch"))
    began = time.monotonic()
    invalid = client.send_command("odd")
    first, interrupted, last = (client.send_command(txn=b"f%015x" % n) for n in (1, 2, 3))
    client.interrupt(interrupted)
    check = client.send("check", b"\x02\0\1\1")
    answers = [client.read_answer() for _ in range(4)]
    assert answers[0] == (invalid, "fault")
    assert time.monotonic() - began >= 0.5
    assert set(answers[1:]) == {(first, b"a\tb\tc\n"), (last, b"a\tb\tc\n"), (check, b"")}
    assert sorted(words[2] for words in engine.messages(b"fetch")[1:]) == [b"f%015x" % n for n in (1, 3)]
    assert gateway.count("requests_received") == 5
    assert gateway.count("interrupted") == 1
    client.interrupt(running)


def test_deferred_calls_are_limited_during_a_pause(start_gateway):
    gateway, client = start_gateway(ScriptedEngine(never_finish), connect_timeout=1.0)
    client.send_command("once")
    client.send_command("odd")
    assert client.read_answer()[1] == "fault"
    (gateway_side,) = gateway.listener.clients
    for _ in range(400):
        client.send_command(body=b"select 1 from sales_3.t" + b" " * 5000)
    until(
        lambda: (
            len(gateway_side.backpressure.deferred_calls) >= client_limits.MAX_OPEN_REQUESTS
            or gateway_side.backpressure.deferred_bytes > backpressure.MAX_DEFERRED_BYTES
        )
    )
    assert gateway_side.backpressure.deferred_bytes <= 2 * backpressure.MAX_DEFERRED_BYTES
    assert len(gateway_side.backpressure.deferred_calls) <= client_limits.MAX_OPEN_REQUESTS
    # The rest is read slowly, a buffer at a time, and rejected: an interrupt may follow it.
    rejected, began = gateway.count("rejected_backpressure"), time.monotonic()
    until(lambda: gateway.count("rejected_backpressure") > rejected)
    assert gateway_side.backpressure.deferred_bytes <= 2 * backpressure.MAX_DEFERRED_BYTES
    assert len(gateway_side.backpressure.deferred_calls) <= client_limits.MAX_OPEN_REQUESTS
    # The end of the stream follows two megabytes, yet is noticed during the pause and not only after it.
    client.sock.close()
    until(lambda: gateway_side.has_left)
    assert time.monotonic() - began < 0.5
    until(lambda: not gateway.listener.clients)


def test_a_request_is_shed_when_the_statement_memory_is_exhausted(start_gateway):
    """Without a limit, 32 of the largest statements on each of 10 connections took 60 of 80 MB."""
    engine = ScriptedEngine(never_finish)
    gateway, client = start_gateway(engine)
    assert gateway.core.statement_memory.max_bytes == 192 * 2**20 // 8
    gateway.core.statement_memory.max_bytes = 10_000
    seqs = [client.send_command("once", body=b"select 1 from sales_3.t" + b" " * 4000) for _ in range(2)]
    until(lambda: len(engine.messages(b"fetch")) == 2)
    other = BlockingClient(gateway.address)
    big = other.send_command(body=b"select 1 from sales_3.t" + b" " * 4000)
    assert other.read_answer() == (big, "shed")
    assert gateway.count("rejected_statement_memory") == 1
    client.interrupt(seqs[0])
    until(lambda: gateway.core.statement_memory.used_bytes < 5000)
    other.send_command("once", body=b"select 1 from sales_3.t" + b" " * 4000)
    until(lambda: len(engine.messages(b"fetch")) == 3)


def test_connections_that_do_not_read_are_ended_when_unread_answers_exceed_their_memory(start_gateway):
    """One connection may buffer 8 MB of answers, and there may be hundreds."""
    gateway, client = start_gateway(ScriptedEngine())
    memory, frame = gateway.core.statement_memory, thrift.encode_answer("execute", 1, b"x\ty\tz\n" * 8000)
    memory.max_bytes = 2_000_000
    unread = []
    for _ in range(12):
        unread.append(BlockingClient(gateway.address))
        unread[-1].sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    until(lambda: len(gateway.listener.clients) == 13)
    reading_port = client.sock.getsockname()[1]
    unread_sides = [
        side for side in list(gateway.listener.clients) if side.peer.connection != f"127.0.0.1:{reading_port}"
    ]
    most_bytes = 0
    for _ in range(400):
        for side in unread_sides:
            if not side.write_buffer.is_closed:
                side.put(frame)
        most_bytes = max(most_bytes, sum(side.write_buffer.size for side in unread_sides))
    assert memory.max_bytes < most_bytes < memory.max_bytes + 12 * 2 * len(frame)
    assert 0 < gateway.count("answers_undeliverable") <= 12
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")  # a client that reads is still served


def test_open_requests_are_answered_when_malformed_bytes_end_their_connection(start_gateway):
    """Guards against requests that are dropped though their client still waits for the answers."""
    engine = ScriptedEngine(never_finish)
    gateway, client = start_gateway(engine)
    other = BlockingClient(gateway.address)
    other_seq = other.send_command("once", limit=2000)
    seqs = [client.send_command(), client.send_command("once")]
    until(lambda: len(engine.messages(b"fetch")) == 3)
    client.sock.sendall(b"\xff\xff\xff\xff" * 10)
    assert {client.read_answer(), client.read_answer()} == {(seqs[0], "shed"), (seqs[1], "fault")}
    assert client.read_answer() is None
    assert other.read_answer() == (other_seq, "fault")  # at its own client timeout
    assert gateway.count("client_connections_ended_malformed") == 1


def test_deferred_requests_are_answered_when_malformed_bytes_end_their_connection(start_gateway):
    gateway, client = start_gateway(ScriptedEngine(never_finish), connect_timeout=2.0)
    running, invalid, deferred = (
        client.send_command("once"),
        client.send_command("odd"),
        client.send_command(),
    )
    client.sock.sendall(b"\xff\xff\xff\xff")
    assert client.read_answer() == (invalid, "fault")
    assert {client.read_answer(), client.read_answer()} == {(deferred, "shed"), (running, "fault")}
    assert client.read_answer() is None


@pytest.fixture
def gateway_with_queued_requests(tmp_path):
    """A gateway whose one engine is overloaded: requests wait in the decision module."""
    engine = ScriptedEngine(reply_with(b"503"))
    gateway = Gateway(tmp_path, config(engine))
    yield gateway, BlockingClient(gateway.address), engine
    gateway.end()
    engine.close()


def leave_while_the_core_is_blocked(gateway, client, requests, blocked_s):
    """Close a client's connection; the core handles its end after it was blocked for blocked_s."""
    until(lambda: open_sequence_ids(gateway) == requests and gateway.count("attempts_ended_overloaded"))
    until(lambda: not any(connection.open_attempts for connection in list(gateway.core.pool.connections)))
    (gateway_side,) = gateway.listener.clients
    with BlockedCore(gateway.core):
        client.sock.close()
        until(lambda: gateway_side.has_left)
        time.sleep(blocked_s)
    until(lambda: gateway.count(CLIENTS_CLOSED_COUNTER) == 1 and not gateway.listener.clients)
    return gateway_side


def test_all_requests_of_a_client_that_leaves_are_dropped_when_dropping_one_sheds_others(
    gateway_with_queued_requests,
):
    """Guards against an event that fails half way and leaves the other requests open to be sent."""
    gateway, client, _ = gateway_with_queued_requests
    requests = {client.send_command(limit=600) for _ in range(20)}
    gateway_side = leave_while_the_core_is_blocked(gateway, client, requests, blocked_s=0.7)
    assert not gateway_side.open_requests
    assert not gateway.core.requests.by_number
    assert gateway_side.write_buffer.is_finishing
    assert not gateway.count("shed")
    assert not gateway.count("internal_faults")


def test_no_attempt_is_sent_for_a_client_that_leaves_when_dropping_one_request_makes_room_for_another(
    gateway_with_queued_requests,
):
    """Guards against requests that are dropped one by one: the second would be sent in place of the first."""
    gateway, client, engine = gateway_with_queued_requests
    requests = {client.send_command(limit=4000) for _ in range(6)}
    leave_while_the_core_is_blocked(gateway, client, requests, blocked_s=2.1)
    time.sleep(0.2)
    assert gateway.count("attempts_sent") == gateway.count("attempts_ended_overloaded")
    assert len(engine.messages(b"fetch")) == gateway.count("attempts_ended_overloaded")


@pytest.mark.parametrize("action", ["closes", "interrupts"])
def test_an_id_that_may_have_run_is_not_run_again_when_it_comes_after_its_client_has_left(
    start_gateway, action
):
    """Guards against a command that runs twice, as the gateway has forgotten the first one (picture c)."""
    engine = ScriptedEngine(never_finish, serve_pages())
    gateway, client = start_gateway(engine)
    seq = client.send_command("once", txn=b"f%015x" % 1)
    until(lambda: engine.messages(b"fetch"))
    if action == "closes":
        client.sock.close()
    else:
        client.interrupt(seq)
    until(lambda: not gateway.core.requests.by_number)
    again = BlockingClient(gateway.address)
    seq = again.send_command("once", txn=b"f%015x" % 1)
    assert again.read_answer() == (seq, "fault")
    seq = again.send_command("once", txn=b"f%015x" % 2)
    assert again.read_answer() == (seq, b"a\tb\tc\n")
    assert [words[2] for words in engine.messages(b"fetch")] == [b"f%015x" % 1, b"f%015x" % 2]


def test_an_id_that_was_never_sent_may_come_again(gateway_without_engines):
    gateway, client, discovery = gateway_without_engines()
    client.interrupt(client.send_command(txn=b"f%015x" % 1))
    until(lambda: gateway.count("interrupted") == 1)
    engine = ScriptedEngine()
    discovery.send(endpoint_list_event(2, ("s-0", engine.address, "ready")))
    seq = client.send_command(txn=b"f%015x" % 1)
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    engine.close()


def test_abandoned_ids_are_remembered_for_a_time_and_in_bounded_memory():
    ids = AbandonedIds(remembered_us=100)
    ids.add(b"a", 0)
    assert ids.holds(b"a", 99)
    assert not ids.holds(b"a", 100)
    ids.add(b"b", 100)
    assert len(ids) == 1
    for number in range(2 * MAX_REMEMBERED_IDS):
        ids.add(b"%d" % number, 101)
    assert len(ids) == MAX_REMEMBERED_IDS
    assert ids.holds(b"%d" % (2 * MAX_REMEMBERED_IDS - 1), 150)
