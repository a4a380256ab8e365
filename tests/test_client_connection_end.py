"""The end of a client's connection, for idleness or malformed bytes, and events at that moment."""

import gc
import socket
from weakref import ref

from races import BlockedCore, read_to_end
from serving import until

from gullhold.net import client_connection
from gullhold.testing.scripted import Engine, ok


def idle(gateway, caller):
    """The gateway's connection of a client that has sent one health check."""
    caller.send("check", b"\x02\0\1\1")
    assert caller.answer()[1] == b""
    (inside,) = gateway.listener.clients
    return inside


def test_a_request_that_arrives_before_an_idle_connection_is_shut_down_is_answered(start, monkeypatch):
    """The reader had decided; what came until the core had closed was lost, and its answers with it."""
    engine = Engine()
    gateway, client = start(engine)
    inside = idle(gateway, client)
    with BlockedCore(gateway.core):
        monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 0.0)
        until(lambda: inside.end_requested)  # it asks the core for its end
        monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 60)
        seq = client.ask()
        until(lambda: inside.posted_count == 1)
    assert client.answer() == (seq, b"a\tb\tc\n")
    assert not gateway.count("client_connections_ended_idle")


def test_a_request_that_arrives_after_the_shutdown_of_our_side_is_ignored_without_a_reset(start, monkeypatch):
    """The client sends it again elsewhere: forwarded here too it would run for nobody, or twice."""
    engine = Engine()
    gateway, client = start(engine)
    inside = idle(gateway, client)
    monkeypatch.setattr(client_connection, "TRANSIT_TIME_S", 2.0)
    inside.write_buffer.finish()
    client.ask()
    assert read_to_end(client) == (b"", True)
    until(lambda: len(inside.decoder.buffer) or inside.is_ending)
    client.sock.close()
    until(lambda: not gateway.listener.clients)
    assert not engine.received
    assert gateway.core.gateway.submitted == 0


def test_a_request_read_before_the_shutdown_of_our_side_and_processed_after_it_is_dropped(start):
    engine = Engine()
    gateway, client = start(engine)
    inside = idle(gateway, client)
    with BlockedCore(gateway.core):
        client.ask()
        until(lambda: inside.posted_count == 1)
        inside.write_buffer.finish()  # as it would be, had the core looked an instant earlier
    until(lambda: gateway.count("interrupted") == 1)
    assert read_to_end(client) == (b"", True)
    assert not engine.received


def test_a_check_in_the_cores_queue_is_answered_before_an_idle_connection_ends(start):
    """It is no open request, so the connection looks idle while the core has yet to come to it."""
    gateway, client = start(Engine())
    inside = idle(gateway, client)
    with BlockedCore(gateway.core):
        quiet = inside.last_active_at
        seq = client.send("check", b"\x02\0\1\1")
        until(lambda: inside.last_active_at > quiet)
        inside.drain()
        until(lambda: inside.end_requested)
    assert client.answer() == (seq, b"")
    assert read_to_end(client) == (b"", True)


def test_answers_arrive_whole_when_a_connection_ends_with_unread_bytes(start):
    """A close over unread bytes is a reset: what the client had yet to read was lost with it."""
    rows = b"x\ty\tz\n" * 900
    gateway, client = start(Engine(ok(*[rows] * 8)))
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    asked = [client.ask() for _ in range(30)]
    until(lambda: gateway.count("answered") == 30)
    client.sock.sendall(b"\xff\xff\xff\xff" + b"noise" * 20_000)
    answers = [client.answer() for _ in asked]
    assert {seq for seq, _ in answers} == set(asked)
    assert all(body == rows * 8 for _, body in answers)
    assert read_to_end(client) == (b"", True)


def test_a_closing_connection_counts_as_open_until_its_descriptor_is_closed(start, monkeypatch):
    gateway, client = start(Engine())
    monkeypatch.setattr(client_connection, "TRANSIT_TIME_S", 1.0)
    inside = idle(gateway, client)
    inside.drain()
    assert read_to_end(client) == (b"", True)
    assert gateway.listener.clients
    assert inside.connection.fileno() >= 0
    until(lambda: not gateway.listener.clients)
    assert inside.connection.fileno() < 0


def test_an_ended_connection_is_freed_without_the_garbage_collector(start):
    """A cycle of references once kept each, with its buffers, until the collector came round."""
    gateway, client = start(Engine())
    seq = client.ask()
    assert client.answer() == (seq, b"a\tb\tc\n")
    inside = ref(next(iter(gateway.listener.clients)))
    gc.collect()
    gc.disable()
    try:
        client.sock.close()
        until(lambda: inside() is None)
    finally:
        gc.enable()
