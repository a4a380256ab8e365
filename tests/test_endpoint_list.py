"""The endpoint list: changes of it, starts and stalls of the gateway, failures and moves of the service."""

import contextlib
import json
import os
import resource
import signal
import socket
import time
from pathlib import Path

import pytest
from serving import WAIT_TIMEOUT_S, Gateway, free_port, is_listening, until

from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config, endpoint_list_event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.scripted import ScriptedEngine


def test_engine_gets_no_attempt_when_it_was_drained_while_the_gateway_started(tmp_path):
    """Guards against attempts that use the configuration's list before the first watch event has arrived."""
    discovery, old, new = DiscoveryService(), ScriptedEngine(), ScriptedEngine()
    gateway = Gateway(
        tmp_path,
        config(old) | {"coordinator": discovery.address},
        delayed_threads=("core", "coordinator"),
    )
    client = BlockingClient(gateway.address)
    seq = client.send_command()
    until(lambda: gateway.core.queue.qsize() == 1)
    gateway.start_threads("core", "coordinator")
    discovery.send(endpoint_list_event(2, ("s-0", old.address, "draining"), ("s-1", new.address, "ready")))
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert not old.received
    assert len(new.messages(b"fetch")) == 1
    gateway.end()


@pytest.mark.parametrize("failure", ["refuses", "says nothing"])
def test_gateway_serves_the_known_list_when_the_discovery_service_is_down(tmp_path, failure):
    discovery, engine = DiscoveryService(), ScriptedEngine()
    if failure == "refuses":
        discovery.close()
    gateway = Gateway(tmp_path, config(engine) | {"coordinator": discovery.address})
    client, began = BlockingClient(gateway.address), time.monotonic()
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert time.monotonic() - began < 0.6
    gateway.end()


def test_a_gateway_that_has_ended_does_not_connect_to_the_port_of_its_discovery_service(tmp_path):
    """Guards against test gateways that connect to other tests' servers on the port of a closed service."""
    discovery, engine = DiscoveryService(), ScriptedEngine()
    gateway = Gateway(tmp_path, config(engine) | {"coordinator": discovery.address})
    until(lambda: discovery.follow_requests)
    gateway.end()
    discovery.close()
    host, port = discovery.address.split(":")
    with socket.create_server((host, int(port))) as server:
        server.settimeout(4 * gateway.core.agreement.connect_timeout_us / 1e6)
        with pytest.raises(TimeoutError):
            server.accept()


def are_threads_stopped(pid):
    """Whether all threads of a process are stopped."""
    return all(
        Path(f"/proc/{pid}/task/{task}/stat").read_text().rpartition(")")[2].split()[0] in "Tt"
        for task in os.listdir(f"/proc/{pid}/task")
    )


def test_engine_gets_no_attempt_when_it_was_drained_while_the_process_was_stopped(launch_gateway):
    """On waking, the process finds many requests and a list change, and must apply the change first."""
    discovery, old, new, port = DiscoveryService(), ScriptedEngine(), ScriptedEngine(), free_port()
    process = launch_gateway(config(old) | {"listen": f"127.0.0.1:{port}", "coordinator": discovery.address})
    until(lambda: is_listening(port))
    callers = [BlockingClient(("127.0.0.1", port)) for _ in range(20)]
    for caller in callers:
        caller.send("check", b"\x02\0\1\1")
        assert caller.read_answer()[1] == b""
    for turn in range(5):
        drained, replacement = (old, new) if turn % 2 == 0 else (new, old)
        names = ("s-0", "s-1") if turn % 2 == 0 else ("s-1", "s-0")
        before = len(drained.messages(b"fetch"))
        process.send_signal(signal.SIGSTOP)
        until(lambda: are_threads_stopped(process.pid))  # takes a while on a busy machine
        sequence_ids = [caller.send_command() for caller in callers]
        discovery.send(
            endpoint_list_event(
                2 + turn, (names[0], drained.address, "draining"), (names[1], replacement.address, "ready")
            )
        )
        time.sleep(0.6)  # longer than the drain grace period
        process.send_signal(signal.SIGCONT)
        for caller, seq in zip(callers, sequence_ids, strict=True):
            assert caller.read_answer() == (seq, b"a\tb\tc\n")
        assert len(drained.messages(b"fetch")) == before
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_TIMEOUT_S) == 0


def test_event_is_applied_once_when_the_discovery_address_changes_in_the_middle_of_it(tmp_path):
    old, new, engines = DiscoveryService(), DiscoveryService(), [ScriptedEngine(), ScriptedEngine()]
    gateway = Gateway(tmp_path, config() | {"coordinator": old.address})
    line = json.dumps(endpoint_list_event(2, ("s-0", engines[0].address, "ready"))).encode() + b"\n"
    old.send(line[:40])
    gateway.discovery_client.change_address(new.address)
    until(lambda: new.follow_requests)
    new.send(line, b"2\n")
    until(lambda: gateway.count("endpoint_list_events") == 2)
    with contextlib.suppress(OSError):  # the gateway has closed it
        old.send(line[40:], endpoint_list_event(3, ("s-0", engines[0].address, "gone")))
    new.send(endpoint_list_event(3, ("s-1", engines[1].address, "ready")))
    until(lambda: gateway.count("endpoint_list_events") == 3)
    assert new.follow_requests == [b"follow 1\n"]
    assert len(gateway.core.gateway.components.engines.ready) == 2
    gateway.end()


def test_stream_is_followed_again_from_the_last_event_when_it_falls_silent(tmp_path):
    discovery, old, new = DiscoveryService(), ScriptedEngine(), ScriptedEngine()
    gateway = Gateway(tmp_path, config(old) | {"coordinator": discovery.address})
    discovery.send(b"1\n")
    until(lambda: len(discovery.follow_requests) == 2)  # reconnected after two missing lines
    discovery.send(endpoint_list_event(2, ("s-0", old.address, "draining"), ("s-1", new.address, "ready")))
    until(lambda: gateway.count("endpoint_list_events") == 2)
    client = BlockingClient(gateway.address)
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert not old.received
    assert discovery.follow_requests[1] == b"follow 1\n"
    gateway.end()


def test_list_is_followed_again_when_idle_clients_hold_all_descriptors(launch_gateway):
    """Reconnecting needs a descriptor while clients hold as many as they can get."""
    discovery, engine, port = DiscoveryService(), ScriptedEngine(), free_port()
    configuration = config(engine) | {"listen": f"127.0.0.1:{port}", "coordinator": discovery.address}
    configuration["limits"]["sockets"] = 60
    process = launch_gateway(configuration)
    until(lambda: is_listening(port))
    until(lambda: discovery.follow_requests)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (60, 60))
    idle_clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(120)]
    discovery.connection.close()
    until(lambda: len(discovery.follow_requests) >= 2)
    assert len(os.listdir(f"/proc/{process.pid}/fd")) < 60
    for sock in idle_clients:
        sock.close()
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_TIMEOUT_S) == 0


def test_attempts_follow_the_endpoint_list_when_engines_join_drain_and_leave(tmp_path):
    discovery, old, new = DiscoveryService(), ScriptedEngine(), ScriptedEngine()
    gateway = Gateway(tmp_path, config(old) | {"coordinator": discovery.address})
    client = BlockingClient(gateway.address)
    client.send_command()
    client.read_answer()
    discovery.send(
        endpoint_list_event(2, ("s-9", new.address, "ready")),
        endpoint_list_event(3, ("s-0", old.address, "draining")),
        b"3\n",
    )
    until(lambda: gateway.count("endpoint_list_events") == 3)
    for _ in range(4):
        client.send_command()
        client.read_answer()
    assert len(old.messages(b"fetch")) == 1
    assert len(new.messages(b"fetch")) == 4
    discovery.send(b"{bad\n")  # followed again from the last good event; the list stays as it is
    until(lambda: len(discovery.follow_requests) == 2)
    assert discovery.follow_requests == [b"follow 1\n", b"follow 3\n"]
    discovery.send(
        endpoint_list_event(3, ("s-9", new.address, "gone")),
        endpoint_list_event(4, ("s-7", new.address, "ready"), is_complete=True),
    )
    until(lambda: gateway.count("endpoint_list_events") == 4)
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert len(new.messages(b"fetch")) == 5
    # The first item of a message is the number of its connection: s-7, another engine at the address of s-9,
    # gets another connection.
    assert len({words[0] for words in new.messages(b"fetch")}) == 2
    gateway.end()


def test_ids_and_connections_of_engines_are_freed_when_they_are_removed(tmp_path):
    discovery, engines = DiscoveryService(), [ScriptedEngine() for _ in range(8)]
    gateway = Gateway(tmp_path, config() | {"coordinator": discovery.address})
    client = BlockingClient(gateway.address)
    for i, engine in enumerate(engines):  # each is added with its own address, then removed
        discovery.send(endpoint_list_event(2 * i + 2, (f"s-{i}", engine.address, "ready")))
        seq = client.send_command()
        assert client.read_answer() == (seq, b"a\tb\tc\n")
        discovery.send(endpoint_list_event(2 * i + 3, (f"s-{i}", engine.address, "gone")))
    until(lambda: not gateway.core.pool.endpoints and not gateway.core.pool.connections)
    assert not gateway.core.gateway.components.engines.by_id
    assert not gateway.discovery_client.engine_ids.ids_by_name
    gateway.end()
