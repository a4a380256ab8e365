"""The end of a client connection, when it is idle or malformed bytes arrive, and what arrives just then."""

import gc
import socket
from weakref import ref

from races import BlockedCore, read_to_end
from serving import until

from gullhold.net import client_connection
from gullhold.testing.scripted import ScriptedEngine, serve_pages


def idle_connection(gateway, caller):
    """Send one check on a client's connection; return the gateway's side of it."""
    caller.send("check", b"\x02\0\1\1")
    assert caller.read_answer()[1] == b""
    (gateway_side,) = gateway.listener.clients
    return gateway_side


def test_a_request_that_arrives_before_an_idle_connection_is_shut_down_is_answered(
    start_gateway, monkeypatch
):
    """Guards against an end that was decided before the request arrived, and that leaves it unanswered."""
    engine = ScriptedEngine()
    gateway, client = start_gateway(engine)
    gateway_side = idle_connection(gateway, client)
    with BlockedCore(gateway.core):
        monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 0.0)
        until(lambda: gateway_side.end_requested)  # the reader has asked the core whether it may end
        monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 60)
        seq = client.send_command()
        until(lambda: gateway_side.posted_count == 1)
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert not gateway.count("client_connections_ended_idle")


def test_a_request_that_arrives_after_the_shutdown_of_our_side_is_ignored_without_a_reset(
    start_gateway, monkeypatch
):
    """The client sends it again to another gateway: submitted here too, it could run twice."""
    engine = ScriptedEngine()
    gateway, client = start_gateway(engine)
    gateway_side = idle_connection(gateway, client)
    monkeypatch.setattr(client_connection, "TRANSIT_TIME_S", 2.0)
    gateway_side.write_buffer.finish()
    client.send_command()
    assert read_to_end(client) == (b"", True)
    until(lambda: len(gateway_side.decoder.buffer) or gateway_side.is_ending)
    client.sock.close()
    until(lambda: not gateway.listener.clients)
    assert not engine.received
    assert gateway.core.gateway.submitted_count == 0


def test_a_request_read_before_the_shutdown_of_our_side_and_processed_after_it_is_dropped(start_gateway):
    engine = ScriptedEngine()
    gateway, client = start_gateway(engine)
    gateway_side = idle_connection(gateway, client)
    with BlockedCore(gateway.core):
        client.send_command()
        until(lambda: gateway_side.posted_count == 1)
        gateway_side.write_buffer.finish()  # as if the core had allowed the end just before
    until(lambda: gateway.count("interrupted") == 1)
    assert read_to_end(client) == (b"", True)
    assert not engine.received


def test_a_check_in_the_cores_queue_is_answered_before_an_idle_connection_ends(start_gateway):
    """A check does not count as open, so the connection looks idle while the check waits for the core."""
    gateway, client = start_gateway(ScriptedEngine())
    gateway_side = idle_connection(gateway, client)
    with BlockedCore(gateway.core):
        idle_since = gateway_side.last_active_at
        seq = client.send("check", b"\x02\0\1\1")
        until(lambda: gateway_side.last_active_at > idle_since)
        gateway_side.drain()
        until(lambda: gateway_side.end_requested)
    assert client.read_answer() == (seq, b"")
    assert read_to_end(client) == (b"", True)


def test_answers_arrive_whole_when_a_connection_ends_with_unread_bytes(start_gateway):
    """Closing a socket with unread bytes resets the connection, and the client loses unread answers."""
    rows = b"x\ty\tz\n" * 900
    gateway, client = start_gateway(ScriptedEngine(serve_pages(*[rows] * 8)))
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    seqs = [client.send_command() for _ in range(30)]
    until(lambda: gateway.count("answered") == 30)
    client.sock.sendall(b"\xff\xff\xff\xff" + b"noise" * 20_000)
    answers = [client.read_answer() for _ in seqs]
    assert {seq for seq, _ in answers} == set(seqs)
    assert all(body == rows * 8 for _, body in answers)
    assert read_to_end(client) == (b"", True)


def test_a_closing_connection_counts_as_open_until_its_descriptor_is_closed(start_gateway, monkeypatch):
    gateway, client = start_gateway(ScriptedEngine())
    monkeypatch.setattr(client_connection, "TRANSIT_TIME_S", 1.0)
    gateway_side = idle_connection(gateway, client)
    gateway_side.drain()
    assert read_to_end(client) == (b"", True)
    assert gateway.listener.clients
    assert gateway_side.connection.fileno() >= 0
    until(lambda: not gateway.listener.clients)
    assert gateway_side.connection.fileno() < 0


def test_an_ended_connection_is_freed_without_the_garbage_collector(start_gateway):
    """Guards against a reference cycle, which keeps the connection and its buffers until a collection."""
    gateway, client = start_gateway(ScriptedEngine())
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    gateway_side = ref(next(iter(gateway.listener.clients)))
    gc.collect()
    gc.disable()
    try:
        client.sock.close()
        until(lambda: gateway_side() is None)
    finally:
        gc.enable()
