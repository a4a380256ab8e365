"""Connections to engines that open late, and changes after which a waiting attempt must not be sent."""

import socket
import struct
import time
from contextlib import suppress
from types import SimpleNamespace

import pytest
from races import CLIENTS_CLOSED_COUNTER, LateEngine
from serving import Gateway, until

from gullhold.interface import EngineState
from gullhold.net import connection_ends, resp
from gullhold.net.client_input import HandledInput, InputState
from gullhold.net.engine_connection import Attempt, EngineEndpoint
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config, endpoint_list_event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.scripted import ScriptedEngine


@pytest.mark.parametrize("change", ["drains", "is gone"])
def test_attempt_is_withdrawn_when_its_engine_leaves_before_the_connection_opens(tmp_path, change):
    discovery, late = DiscoveryService(), LateEngine()
    gateway = Gateway(tmp_path, config(late, connect_timeout=5.0) | {"coordinator": discovery.address})
    client = BlockingClient(gateway.address)
    seq = client.send_command(limit=7000)
    until(lambda: gateway.core.pool.connections)
    discovery.send(
        endpoint_list_event(2, ("s-0", late.address, {"drains": "draining", "is gone": "gone"}[change]))
    )
    until(lambda: gateway.count("attempts_ended_not_started"))
    conn = late.accept()
    assert conn.recv(100) == b""  # closed without a byte sent
    client.interrupt(seq)
    gateway.end()
    late.close()


@pytest.mark.parametrize("cancel", [True, False])
def test_attempt_is_withdrawn_when_its_client_leaves_before_the_connection_opens(start_gateway, cancel):
    """Guards against a fetch that is still sent where the settings forbid cancelling attempts."""
    late = LateEngine()
    gateway, client = start_gateway(late, connect_timeout=5.0, cancel=cancel)
    client.send_command(limit=7000, txn=b"f%015x" % 1)
    until(lambda: gateway.core.pool.connections)
    client.sock.close()
    until(lambda: gateway.count(CLIENTS_CLOSED_COUNTER) == 1)
    conn = late.accept()
    until(lambda: gateway.count("engine_connections_opened") == 1 and not gateway.core.requests.by_number)
    other = BlockingClient(gateway.address)
    seq = other.send_command(txn=b"f%015x" % 2)
    assert b"f%015x" % 1 not in (first := conn.recv(1000))
    assert b"f%015x" % 2 in first
    other.interrupt(seq)
    until(lambda: not any(pending.client for pending in gateway.core.requests.by_number.values()))
    conn.close()


def test_attempt_is_withdrawn_when_its_deadline_passes_before_the_connection_opens(start_gateway):
    late = LateEngine()
    gateway, client = start_gateway(late, connect_timeout=5.0)
    seq = client.send_command("once", limit=300)
    assert client.read_answer() == (seq, "shed")  # it never ran, so the client may retry
    conn = late.accept()
    until(lambda: gateway.count("engine_connections_opened") == 1)
    conn.settimeout(0.3)
    with pytest.raises(TimeoutError):
        raise AssertionError(f"the engine received {conn.recv(100)!r}")
    conn.close()


def test_attempt_is_decided_again_when_its_fencing_token_is_stale_before_it_is_sent(start_gateway):
    class StubFence:
        """Stands for a component of a fleet; its current token is a number."""

        current_token = 1

        def fencing_token(self):
            return self.current_token

        def token_valid(self, token):
            return token == self.current_token

    late, fence = LateEngine(), StubFence()
    gateway, client = start_gateway(late, connect_timeout=5.0)
    gateway.core.fences.append(fence)
    seq = client.send_command("once", limit=4000)
    until(lambda: gateway.core.pool.connections)
    fence.current_token = 2
    conn = late.accept()
    assert conn.recv(1000).count(b"fetch") == 1  # the attempt that was decided under the new token
    assert gateway.count("attempts_withdrawn") == gateway.count("attempts_ended_not_started") == 1
    client.interrupt(seq)
    until(lambda: not any(pending.client for pending in gateway.core.requests.by_number.values()))
    conn.close()


def test_timeout_in_the_fetch_counts_from_its_sending_when_the_connection_opens_late(start_gateway):
    """Guards against a fetch encoded at the decision: after its wait the stated timeout was too long."""
    late = LateEngine()
    gateway, client = start_gateway(late, connect_timeout=3.0)
    client.send_command(limit=3500)
    until(lambda: gateway.count("attempts_sent") == 1)
    time.sleep(0.7)
    conn, decoder = late.accept(), resp.Decoder(100_000)
    began = time.monotonic()
    while not (arrays := list(decoder.arrays())):
        decoder.buffer.receive(conn)
    verb, txn, fields, _ = arrays[0]
    left = 3500 - 700 - 1000 * (time.monotonic() - began)  # ms, an upper bound: the fetch was sent earlier
    assert verb == b"fetch"
    assert 0 < int(resp.decode_fields(fields)[b"w"]) <= left + 150
    conn.sendall(resp.encode(txn, b"200", b"pages=1,cost=5,need=10", b"a\tb\tc\n"))
    assert client.read_answer()[1] == b"a\tb\tc\n"


def test_connection_limit_counts_dropped_connections_until_their_descriptors_are_closed(start_gateway):
    """A connection that is dropped while it connects holds its descriptor until its thread closes it."""
    late = LateEngine()
    gateway, client = start_gateway(late, connect_timeout=5.0)
    gateway.core.pool.max_connections = 1
    seq = client.send_command("once", limit=400)
    assert client.read_answer() == (seq, "shed")
    (connection,) = gateway.core.pool.connections
    gateway.core.post(gateway.core.pool.drop, connection, connection_ends.ConnectionEnd.SILENT)
    until(lambda: not gateway.core.pool.connections)
    seq = client.send_command("once", limit=400)
    assert client.read_answer() == (seq, "shed")
    assert gateway.count("engine_connections_no_descriptor")
    late.accept().close()
    until(lambda: not gateway.core.pool.holding_descriptor)


def reset(conn):
    """Reset a connection, like a process that dies."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


class Fence:
    """Stands for a component of a fleet whose token may have changed since an attempt was decided."""

    def __init__(self, is_stale):
        self.is_stale = is_stale

    def token_valid(self, _token):
        """Whether a token is still valid."""
        return not self.is_stale


def keyed_profile_config(engine, window_s):
    """Return a configuration in which engines recognize a repeat of the profile "mark" for this long."""
    configuration = config(engine, connect_timeout=5.0)
    configuration["settings"]["categories"][1]["window"] = window_s
    return configuration


def test_retry_is_not_sent_when_its_connection_opens_after_the_deduplication_window(tmp_path):
    """Guards against a second run: the window was checked only when the retry was decided."""
    late = LateEngine()  # the first connection may take a second of the window
    gateway = Gateway(tmp_path, keyed_profile_config(late, window_s=2.5))
    client = BlockingClient(gateway.address)
    seq = client.send_command("mark", limit=7000)
    conn = late.accept()
    assert b"fetch" in conn.recv(1000)
    late.fill()
    time.sleep(0.3)
    reset(conn)
    until(lambda: gateway.count("attempts_sent") == 2)  # the retry waits for a new connection
    assert client.read_answer()[0] == seq  # when the window ends, as it can't be sent any more
    conn = late.accept()
    conn.settimeout(0.5)
    with pytest.raises(TimeoutError):
        raise AssertionError(f"the engine received {conn.recv(1000)!r}")
    assert gateway.count("attempts_withdrawn") == 1
    conn.close()
    gateway.end()
    late.close()


def test_retry_that_is_half_written_when_the_deduplication_window_ends_is_never_completed(tmp_path):
    """Guards against an engine that reads slowly: the rest of the fetch would reach it after the window."""
    listener = socket.create_server(("127.0.0.1", 0))
    engine = SimpleNamespace(address="{}:{}".format(*listener.getsockname()))
    gateway = Gateway(tmp_path, keyed_profile_config(engine, window_s=1.0))
    core = gateway.core
    core.max_message_bytes = gateway.listener.max_message_bytes = 30_000_000
    core.statement_memory.max_bytes = core.receive_memory.max_bytes = 100_000_000
    client = BlockingClient(gateway.address)
    statement = b"select 1 from sales_3.t -- " + b"x" * 20_000_000  # more than the sockets hold
    seq = client.send_command("mark", limit=3500, body=statement)
    first = listener.accept()[0]
    received = 0
    while received < len(statement):
        received += len(first.recv(1 << 20))
    reset(first)
    second = listener.accept()[0]
    assert client.read_answer() == (seq, "fault")  # it may have run, and can't be sent again
    received = 0
    with suppress(ConnectionError):
        while data := second.recv(1 << 20):
            received += len(data)
    assert 0 < received < len(statement)
    second.close()
    gateway.end()
    listener.close()


def test_attempt_of_a_client_that_has_left_is_not_sent_before_the_core_knows(start_gateway):
    """Guards against an attempt between the end of a client's connection and the event that reports it."""
    late = LateEngine()
    gateway, client = start_gateway(late, connect_timeout=5.0)
    client.send_command("once", limit=7000)
    until(lambda: gateway.count("attempts_sent") == 1)
    (gateway_side,) = gateway.listener.clients
    gateway_side.has_left = True  # as its reader thread does before it posts the event
    conn = late.accept()
    conn.settimeout(0.3)
    with pytest.raises(TimeoutError):
        raise AssertionError(f"the engine received {conn.recv(100)!r}")
    assert gateway.count("attempts_withdrawn") == 1
    client.sock.close()
    until(lambda: not gateway.core.requests.by_number)
    conn.close()


@pytest.mark.parametrize(
    "change",
    [
        lambda attempt, _connection, _core: setattr(attempt.pending, "client", None),
        lambda attempt, _connection, _core: setattr(attempt.pending.client, "has_left", True),
        lambda attempt, _connection, _core: attempt.pending.client.interrupted.add(1),
        lambda attempt, _connection, _core: setattr(
            attempt.pending.client.input, "state", lambda: InputState.UNREAD
        ),
        lambda attempt, _connection, _core: setattr(
            attempt.pending.client.input, "state", lambda: InputState.CLOSED
        ),
        lambda attempt, _connection, core: setattr(attempt, "send_until_us", core.clock()),
        lambda _attempt, _connection, core: core.pool.endpoints.clear(),
        lambda _attempt, connection, _core: setattr(connection.endpoint, "state", EngineState.DRAINING),
        lambda _attempt, _connection, core: setattr(core.fences[0], "is_stale", True),
    ],
)
def test_attempt_may_be_sent_only_while_all_that_allowed_it_holds(start_gateway, change):
    gateway, _ = start_gateway(ScriptedEngine())
    core = gateway.core
    client = SimpleNamespace(has_left=False, interrupted=set(), input=HandledInput())
    attempt = Attempt(SimpleNamespace(client=client, sequence_id=1), 0, core.clock())
    attempt.engine = 1
    attempt.send_until_us = core.clock() + 60_000_000
    connection = SimpleNamespace(endpoint=EngineEndpoint(1, "127.0.0.1:1"))
    connection.endpoint.state = EngineState.READY
    core.pool.endpoints[1] = connection.endpoint
    attempt.fencing_tokens = ("token",)
    core.fences.append(Fence(is_stale=False))
    assert core.pool.may_be_sent(connection, attempt)
    change(attempt, connection, core)
    assert not core.pool.may_be_sent(connection, attempt)
    core.fences.clear()
