"""Client connections: when they end, which requests on them are rejected, and which are closed for others."""

import socket
import time
from threading import Thread

from serving import open_sequence_ids, until

from gullhold.net import client_connection, listener, thrift
from gullhold.testing.client import BlockingClient
from gullhold.testing.scripted import ScriptedEngine, never_finish, reply_with


def test_a_malformed_frame_ends_only_its_own_connection(start_gateway):
    gateway, client = start_gateway(ScriptedEngine())
    for data in (
        b"\xff\xff\xff\xff",
        b"\x7f\xff\xff\xff",
        b"\0\0\0\x08GET / HT",
        thrift.encode_answer("execute", 1),
    ):
        other = BlockingClient(gateway.address)
        other.sock.sendall(data)
        assert other.read_answer() is None
    incomplete = BlockingClient(gateway.address)
    incomplete.sock.sendall(b"\0\0\1\0abc")
    incomplete.sock.close()
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert gateway.count("client_connections_ended_malformed") == 4


def test_a_repeated_sequence_id_ends_the_connection_and_its_open_request(start_gateway):
    engine = ScriptedEngine(never_finish)
    gateway, client = start_gateway(engine)
    client.send_command(seq=5)
    until(lambda: engine.messages(b"fetch"))
    client.send_command(seq=5)
    assert client.read_answer() == (5, "shed")  # the open request gets its one answer, the second call none
    assert client.read_answer() is None
    until(lambda: engine.messages(b"abort"))


def test_a_client_that_shuts_down_its_side_has_left_and_its_requests_are_dropped(start_gateway):
    """By the protocol this is no half close: no further attempts are sent for the client, nor any answers.

    Guards against queued requests that are still sent to engines and answered.
    """
    engine = ScriptedEngine(never_finish)
    gateway, client = start_gateway(engine)
    client.send_command("once")
    until(lambda: engine.messages(b"fetch"))
    client.sock.shutdown(socket.SHUT_WR)
    assert client.read_answer() is None  # no answer is due, and the gateway shuts down its side too
    until(lambda: engine.messages(b"abort") and not gateway.core.requests.by_number)
    assert len(engine.messages(b"fetch")) == 1
    assert not gateway.count("answered")


def test_an_idle_client_connection_is_closed_but_not_while_a_request_is_open(start_gateway, monkeypatch):
    monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(client_connection, "MESSAGE_TIMEOUT_S", 0.1)
    gateway, client = start_gateway(ScriptedEngine(never_finish))
    idle = BlockingClient(gateway.address)
    seq = client.send_command("once", limit=1200)
    assert idle.read_answer() is None
    assert client.read_answer() == (seq, "fault")  # long after the idle timeout
    assert client.read_answer() is None
    until(lambda: gateway.count("client_connections_ended_idle") == 2)


def test_connections_without_a_complete_request_are_closed_and_make_room_for_others(
    start_gateway, monkeypatch
):
    monkeypatch.setattr(client_connection, "MESSAGE_TIMEOUT_S", 0.2)
    gateway, client = start_gateway(ScriptedEngine(never_finish))
    incomplete, interrupting = BlockingClient(gateway.address), BlockingClient(gateway.address)
    incomplete.sock.sendall(b"\0\0\1\0\x80\1")
    for _ in range(30):
        interrupting.interrupt(interrupting.send_command())
    for caller in (client, incomplete, interrupting):
        assert caller.read_answer() is None
    # Requests that are interrupted at once do not count as traffic of this gateway.
    assert gateway.core.gateway.components.traffic.count < 1
    monkeypatch.setattr(client_connection, "MESSAGE_TIMEOUT_S", 60)
    gateway.listener.max_clients = 10
    idle = [BlockingClient(gateway.address) for _ in range(40)]
    active = BlockingClient(gateway.address)
    seq = active.send("check", b"\x02\0\1\1")
    assert active.read_answer() == (seq, b"")
    assert gateway.count("idle_clients_closed") >= 31
    assert all(caller.read_answer() is None for caller in idle[:30])


def test_invalid_requests_and_those_over_the_connection_limit_are_rejected(start_gateway):
    engine = ScriptedEngine(reply_with(b"500"))
    gateway, client = start_gateway(engine)
    for name, value in (("cpu", b"1e40"), ("memory", b"1e12"), ("cpu", b"1_0"), ("memory", b" 5")):
        seq = client.send_command(**{name: value})
        assert client.read_answer() == (seq, "fault")
    assert not engine.received
    seq = client.send_command()  # every attempt ends with error 500
    assert client.read_answer() == (seq, "shed")
    assert len(engine.messages(b"fetch")) <= 6
    over_limit = BlockingClient(gateway.address)
    engine.script[:] = [never_finish]
    for _ in range(60):
        over_limit.send_command()
    until(lambda: gateway.count("rejected_connection_limit") == 28)
    over_limit.send_command(seq=7)  # a sequence id that was used before
    until(lambda: gateway.count("client_connections_ended_malformed") == 1)


def test_requests_interrupted_before_the_core_processes_them_never_reach_the_decision_module(start_gateway):
    gateway, client = start_gateway(ScriptedEngine())
    gateway.core.post(time.sleep, 0.3)  # blocks the core, so that events wait
    for _ in range(20):
        client.interrupt(client.send_command())
    until(lambda: gateway.count("interrupted") == 20)
    assert gateway.core.gateway.submitted_count == 0


def test_requests_that_arrived_before_a_connection_is_drained_are_answered(start_gateway):
    gateway, client = start_gateway(ScriptedEngine())
    client.send("check", b"\x02\0\1\1")
    client.read_answer()
    (gateway_side,) = gateway.listener.clients
    gateway.core.post(time.sleep, 0.2)
    seqs = [client.send_command() for _ in range(3)]
    gateway_side.drain()
    assert sorted(client.read_answer() for _ in seqs) == [(seq, b"a\tb\tc\n") for seq in seqs]
    assert client.read_answer() is None


def test_a_connection_accepted_just_now_is_not_closed_to_make_room(start_gateway):
    gateway, client = start_gateway(ScriptedEngine())
    gateway.listener.max_clients = 8
    old = [BlockingClient(gateway.address) for _ in range(6)]
    until(lambda: len(gateway.listener.clients) == 7)
    time.sleep(client_connection.TRANSIT_TIME_S + 0.05)
    new = [BlockingClient(gateway.address) for _ in range(5)]
    for caller in new:
        seq = caller.send_command()
        assert caller.read_answer() == (seq, b"a\tb\tc\n")
    assert all(caller.read_answer() is None for caller in old[:4])


def test_an_interrupted_request_does_not_count_as_open_before_the_core_settles_it(start_gateway):
    gateway, client = start_gateway(ScriptedEngine(never_finish))
    seqs = [client.send_command() for _ in range(32)]
    until(lambda: len(open_sequence_ids(gateway)) == 32)
    gateway.core.post(time.sleep, 0.3)  # blocks the core, so that events wait
    for seq in seqs[:5]:
        client.interrupt(seq)
        client.send_command()
    until(lambda: len(open_sequence_ids(gateway)) == 32 and gateway.count("interrupted") == 5)
    assert not gateway.count("rejected_connection_limit")


def test_a_connection_that_ends_before_its_thread_start_returns_does_not_count_as_open(
    start_gateway, monkeypatch
):
    class InlineThread(Thread):
        def start(self):
            self.run()  # has ended before start() returns

    gateway, client = start_gateway(ScriptedEngine())
    until(lambda: gateway.count("client_connections_accepted") == 1)
    monkeypatch.setattr(listener, "Thread", InlineThread)
    for _ in range(3):
        BlockingClient(gateway.address).sock.close()
    until(lambda: gateway.count("client_connections_accepted") == 4)
    assert len(gateway.listener.clients) == 1
