"""Clients that disconnect: nothing is sent for them any more, and every other request is answered."""

import socket
import time

import pytest
from races import CLIENTS_CLOSED_COUNTER, BlockedCore
from serving import Gateway, open_sequence_ids, until

from gullhold.net import backpressure, client_limits, thrift
from gullhold.testing.client import Caller
from gullhold.testing.deployment import config, event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.scripted import Engine, endless, ok, resets, says


@pytest.fixture
def gateway_without_engines(tmp_path):
    """A gateway that queues requests until its discovery service lists an engine."""
    made = []

    def make(**other):
        feed = DiscoveryService()
        made.append(Gateway(tmp_path, config(**other) | {"coordinator": feed.address}))
        return made[-1], Caller(made[-1].address), feed

    yield make
    for gateway in made:
        gateway.end()


@pytest.mark.parametrize("how", ["closes", "ends its side", "resets", "interrupts"])
def test_nothing_goes_out_for_a_client_that_left_while_its_command_was_held(gateway_without_engines, how):
    gateway, client, feed = gateway_without_engines()
    other, engine = Caller(gateway.address), Engine()
    seq = client.ask(limit=7000)
    until(lambda: gateway.core.requests.by_number)
    if how == "closes":
        client.sock.close()
    elif how == "ends its side":
        client.sock.shutdown(socket.SHUT_WR)
    elif how == "resets":
        resets(client.sock, b"fetch")
    else:
        client.interrupt(seq)
    until(lambda: not gateway.core.requests.by_number)
    feed.send(event(2, ("s-0", engine.address, "ready")))
    seq = other.ask(txn=b"f%015x" % 7)
    assert other.answer() == (seq, b"a\tb\tc\n")
    assert [words[2] for words in engine.messages(b"fetch")] == [b"f%015x" % 7]
    engine.close()


def test_a_client_that_left_is_passed_over_where_its_requests_wait_behind_a_flood(start_gateway):
    """Its end waited behind its own requests and all others: each was sent first, and given up after."""
    engine = Engine()
    gateway, client = start_gateway(engine)
    with BlockedCore(gateway.core):
        for _ in range(20):
            client.ask()
        until(lambda: len(gateway.listener.clients) == 1)
        (inside,) = gateway.listener.clients
        until(lambda: inside.handed_over_count == 20)
        client.sock.close()
        until(lambda: inside.is_ending)
    until(lambda: gateway.count("interrupted") == 20)
    assert gateway.core.gateway.submitted_count == 0
    assert not engine.received


@pytest.mark.parametrize("how", ["closes", "interrupts"])
def test_a_pause_after_a_refusal_does_not_keep_the_news_that_a_client_left(gateway_without_engines, how):
    """The reader slept: the held command went out while its client's end lay unread."""
    gateway, client, feed = gateway_without_engines(connect_timeout=3.0)
    other, engine = Caller(gateway.address), Engine()
    seq = client.ask(limit=7000)
    until(lambda: gateway.core.requests.by_number)
    client.ask("odd")  # unusable: whoever asks so is not listened to for a while
    assert client.answer()[1] == "fault"
    began = time.monotonic()
    if how == "closes":
        client.sock.close()
    else:
        client.interrupt(seq)
    until(lambda: not gateway.core.requests.by_number)
    assert time.monotonic() - began < 1
    feed.send(event(2, ("s-0", engine.address, "ready")))
    seq = other.ask()
    assert other.answer() == (seq, b"a\tb\tc\n")
    assert len(engine.messages(b"fetch")) == 1
    engine.close()


def test_what_comes_in_a_pause_is_taken_after_it_in_its_order_and_can_be_taken_back(start_gateway):
    engine = Engine(endless, ok())
    gateway, client = start_gateway(engine, connect_timeout=0.5)
    held = client.ask("once")
    until(lambda: engine.messages(b"fetch"))
    began = time.monotonic()
    bad = client.ask("odd")
    first, back, last = (client.ask(txn=b"f%015x" % n) for n in (1, 2, 3))
    client.interrupt(back)
    check = client.send("check", b"\x02\0\1\1")
    answers = [client.answer() for _ in range(4)]
    assert answers[0] == (bad, "fault")
    assert time.monotonic() - began >= 0.5
    assert set(answers[1:]) == {(first, b"a\tb\tc\n"), (last, b"a\tb\tc\n"), (check, b"")}
    assert sorted(words[2] for words in engine.messages(b"fetch")[1:]) == [b"f%015x" % n for n in (1, 3)]
    assert gateway.count("requests_received") == 5
    assert gateway.count("interrupted") == 1
    client.interrupt(held)


def test_a_flood_in_a_pause_is_held_to_what_a_usual_client_has_open(start_gateway):
    gateway, client = start_gateway(Engine(endless), connect_timeout=1.0)
    client.ask("once")
    client.ask("odd")
    assert client.answer()[1] == "fault"
    (inside,) = gateway.listener.clients
    for _ in range(400):
        client.ask(body=b"select 1 from sales_3.t" + b" " * 5000)
    until(
        lambda: (
            len(inside.backpressure.calls) >= client_limits.MAX_OPEN_REQUESTS
            or inside.backpressure.size_bytes > backpressure.MAX_DEFERRED_BYTES
        )
    )
    assert inside.backpressure.size_bytes <= 2 * backpressure.MAX_DEFERRED_BYTES
    assert len(inside.backpressure.calls) <= client_limits.MAX_OPEN_REQUESTS
    # The rest is read slowly, a buffer at a time, and turned away: an interrupt may stand behind it.
    turned, began = gateway.count("rejected_backpressure"), time.monotonic()
    until(lambda: gateway.count("rejected_backpressure") > turned)
    assert inside.backpressure.size_bytes <= 2 * backpressure.MAX_DEFERRED_BYTES
    assert len(inside.backpressure.calls) <= client_limits.MAX_OPEN_REQUESTS
    # That it has left stands behind two megabytes, and is seen in the pause: it was seen when that was over.
    client.sock.close()
    until(lambda: inside.has_left)
    assert time.monotonic() - began < 0.5
    until(lambda: not gateway.listener.clients)


def test_statements_that_wait_hold_no_more_than_their_part_of_the_memory(start_gateway):
    """Thirty-two of the largest on each of ten connections were sixty megabytes, of a limit of eighty."""
    engine = Engine(endless)
    gateway, client = start_gateway(engine)
    assert gateway.core.statement_memory.max_bytes == 192 * 2**20 // 8
    gateway.core.statement_memory.max_bytes = 10_000
    asked = [client.ask("once", body=b"select 1 from sales_3.t" + b" " * 4000) for _ in range(2)]
    until(lambda: len(engine.messages(b"fetch")) == 2)
    other = Caller(gateway.address)
    big = other.ask(body=b"select 1 from sales_3.t" + b" " * 4000)
    assert other.answer() == (big, "shed")
    assert gateway.count("rejected_statement_memory") == 1
    client.interrupt(asked[0])
    until(lambda: gateway.core.statement_memory.used_bytes < 5000)
    other.ask("once", body=b"select 1 from sales_3.t" + b" " * 4000)
    until(lambda: len(engine.messages(b"fetch")) == 3)


def test_answers_that_are_not_read_hold_no_more_than_their_part_of_the_memory(start_gateway):
    """A connection may hold eight megabytes, and there may be hundreds."""
    gateway, client = start_gateway(Engine())
    room, frame = gateway.core.statement_memory, thrift.encode_answer("execute", 1, b"x\ty\tz\n" * 8000)
    room.max_bytes = 2_000_000
    crowd = []
    for _ in range(12):
        crowd.append(Caller(gateway.address))
        crowd[-1].sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    until(lambda: len(gateway.listener.clients) == 13)
    asks = client.sock.getsockname()[1]
    inside = [one for one in list(gateway.listener.clients) if one.peer.connection != f"127.0.0.1:{asks}"]
    most = 0
    for _ in range(400):
        for one in inside:
            if not one.write_buffer.is_dead:
                one.put(frame)
        most = max(most, sum(one.write_buffer.size for one in inside))
    assert room.max_bytes < most < room.max_bytes + 12 * 2 * len(frame)
    assert 0 < gateway.count("answers_undeliverable") <= 12
    seq = client.ask()
    assert client.answer() == (seq, b"a\tb\tc\n")  # who reads is served on


def test_bytes_that_make_no_sense_cost_their_connection_and_leave_no_command_without_its_answer(
    start_gateway,
):
    """What was open there was dropped unanswered, its client still waiting for it."""
    engine = Engine(endless)
    gateway, client = start_gateway(engine)
    other = Caller(gateway.address)
    kept = other.ask("once", limit=2000)
    asked = [client.ask(), client.ask("once")]
    until(lambda: len(engine.messages(b"fetch")) == 3)
    client.sock.sendall(b"\xff\xff\xff\xff" * 10)
    assert {client.answer(), client.answer()} == {(asked[0], "shed"), (asked[1], "fault")}
    assert client.answer() is None
    assert other.answer() == (kept, "fault")  # at its own time, untouched by that
    assert gateway.count("client_connections_ended_malformed") == 1


def test_what_waits_in_a_pause_is_answered_when_the_connection_ends_by_bytes_that_make_no_sense(
    start_gateway,
):
    gateway, client = start_gateway(Engine(endless), connect_timeout=2.0)
    held, bad, seq = client.ask("once"), client.ask("odd"), client.ask()
    client.sock.sendall(b"\xff\xff\xff\xff")
    assert client.answer() == (bad, "fault")
    assert {client.answer(), client.answer()} == {(seq, "shed"), (held, "fault")}
    assert client.answer() is None


@pytest.fixture
def gateway_with_queued_requests(tmp_path):
    """A gateway whose one engine is overloaded: requests wait in the decision module."""
    engine = Engine(says(b"503"))
    gateway = Gateway(tmp_path, config(engine))
    yield gateway, Caller(gateway.address), engine
    gateway.end()
    engine.close()


def leave_while_the_core_is_blocked(gateway, client, requests, blocked_s):
    """Close a client's connection so that its end is handled once the core was blocked for so long."""
    until(lambda: open_sequence_ids(gateway) == requests and gateway.count("attempts_ended_overloaded"))
    until(lambda: not any(connection.open_attempts for connection in list(gateway.core.pool.connections)))
    (inside,) = gateway.listener.clients
    with BlockedCore(gateway.core):
        client.sock.close()
        until(lambda: inside.has_left)
        time.sleep(blocked_s)
    until(lambda: gateway.count(CLIENTS_CLOSED_COUNTER) == 1 and not gateway.listener.clients)
    return inside


def test_a_client_that_leaves_is_dropped_whole_where_one_dropped_request_sheds_others(
    gateway_with_queued_requests,
):
    """Guards against an event that fails half way: the other requests stayed open and could be sent."""
    gateway, client, _ = gateway_with_queued_requests
    requests = {client.ask(limit=600) for _ in range(20)}
    inside = leave_while_the_core_is_blocked(gateway, client, requests, blocked_s=0.7)
    assert not inside.open
    assert not gateway.core.requests.by_number
    assert inside.write_buffer.is_finishing
    assert not gateway.count("shed")
    assert not gateway.count("internal_faults")


def test_nothing_goes_out_for_a_client_that_leaves_where_one_dropped_request_makes_room_for_another(
    gateway_with_queued_requests,
):
    """Guards against attempts for a client that has left: its requests were dropped one after the other."""
    gateway, client, engine = gateway_with_queued_requests
    requests = {client.ask(limit=4000) for _ in range(6)}
    leave_while_the_core_is_blocked(gateway, client, requests, blocked_s=2.1)
    time.sleep(0.2)
    assert gateway.count("attempts_sent") == gateway.count("attempts_ended_overloaded")
    assert len(engine.messages(b"fetch")) == gateway.count("attempts_ended_overloaded")
