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


def test_a_request_that_comes_before_the_end_for_idleness_is_said_is_answered(start_gateway, monkeypatch):
    """The reader had decided; what came until the core had closed was lost, and its answers with it."""
    engine = Engine()
    gateway, client = start_gateway(engine)
    inside = idle(gateway, client)
    with BlockedCore(gateway.core):
        monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 0.0)
        until(lambda: inside.end_requested)  # it asks the core for its end
        monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 60)
        seq = client.ask()
        until(lambda: inside.handed_over_count == 1)
    assert client.answer() == (seq, b"a\tb\tc\n")
    assert not gateway.count("client_connections_ended_idle")


def test_a_request_that_comes_after_the_end_is_said_is_never_sent_on_and_resets_nothing(
    start_gateway, monkeypatch
):
    """The client sends it again elsewhere: forwarded here too it would run for nobody, or twice."""
    engine = Engine()
    gateway, client = start_gateway(engine)
    inside = idle(gateway, client)
    monkeypatch.setattr(client_connection, "CROSSING_TIME_S", 2.0)
    inside.write_buffer.finish()
    client.ask()
    assert read_to_end(client) == (b"", True)
    until(lambda: len(inside.decoder.buffer) or inside.is_ending)
    client.sock.close()
    until(lambda: not gateway.listener.clients)
    assert not engine.received
    assert gateway.core.gateway.submitted_count == 0


def test_a_request_read_just_before_the_end_is_said_and_handed_on_after_it_goes_nowhere(start_gateway):
    engine = Engine()
    gateway, client = start_gateway(engine)
    inside = idle(gateway, client)
    with BlockedCore(gateway.core):
        client.ask()
        until(lambda: inside.handed_over_count == 1)
        inside.write_buffer.finish()  # as it would be, had the core looked an instant earlier
    until(lambda: gateway.count("interrupted") == 1)
    assert read_to_end(client) == (b"", True)
    assert not engine.received


def test_a_check_that_waits_in_the_cores_queue_is_answered_before_an_end_for_idleness(start_gateway):
    """It is no open request, so the connection looks idle while the core has yet to come to it."""
    gateway, client = start_gateway(Engine())
    inside = idle(gateway, client)
    with BlockedCore(gateway.core):
        quiet = inside.last_active_at
        seq = client.send("check", b"\x02\0\1\1")
        until(lambda: inside.last_active_at > quiet)
        inside.dismiss()
        until(lambda: inside.end_requested)
    assert client.answer() == (seq, b"")
    assert read_to_end(client) == (b"", True)


def test_an_end_over_unread_bytes_takes_no_answer_along(start_gateway):
    """A close over unread bytes is a reset: what the client had yet to read was lost with it."""
    rows = b"x\ty\tz\n" * 900
    gateway, client = start_gateway(Engine(ok(*[rows] * 8)))
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    asked = [client.ask() for _ in range(30)]
    until(lambda: gateway.count("answered") == 30)
    client.sock.sendall(b"\xff\xff\xff\xff" + b"noise" * 20_000)
    answers = [client.answer() for _ in asked]
    assert {seq for seq, _ in answers} == set(asked)
    assert all(body == rows * 8 for _, body in answers)
    assert read_to_end(client) == (b"", True)


def test_closing_connections_hold_their_room_until_their_descriptors_are_given_back(
    start_gateway, monkeypatch
):
    gateway, client = start_gateway(Engine())
    monkeypatch.setattr(client_connection, "CROSSING_TIME_S", 1.0)
    inside = idle(gateway, client)
    inside.dismiss()
    assert read_to_end(client) == (b"", True)
    assert gateway.listener.clients
    assert inside.connection.fileno() >= 0
    until(lambda: not gateway.listener.clients)
    assert inside.connection.fileno() < 0


def test_a_connection_that_ended_is_freed_without_the_garbage_collector(start_gateway):
    """A cycle of references once kept each, with its buffers, until the collector came round."""
    gateway, client = start_gateway(Engine())
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
