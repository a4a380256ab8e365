"""Connections to engines that open late, and changes after which a waiting attempt must not be sent."""

import time

import pytest
from races import CLIENTS_CLOSED_COUNTER, LateEngine
from serving import Gateway, until

from gullhold.net import connection_ends, resp
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config, endpoint_list_event
from gullhold.testing.discovery_service import DiscoveryService


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
