"""The endpoint list, and starts, stalls and moves of the discovery service."""

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

from gullhold.testing.client import Caller
from gullhold.testing.deployment import config, event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.scripted import Engine


def test_engine_gets_no_attempt_when_it_was_drained_while_the_gateway_started(tmp_path):
    """The configuration's list is a second old by then: attempts went out before the stream's first event."""
    feed, old, new = DiscoveryService(), Engine(), Engine()
    gateway = Gateway(
        tmp_path, config(old) | {"coordinator": feed.address}, delayed_threads=("core", "coordinator")
    )
    client = Caller(gateway.address)
    seq = client.ask()
    until(lambda: gateway.core.queue.qsize() == 1)
    gateway.start_threads("core", "coordinator")
    feed.send(event(2, ("s-0", old.address, "draining"), ("s-1", new.address, "ready")))
    assert client.answer() == (seq, b"a\tb\tc\n")
    assert not old.received
    assert len(new.messages(b"fetch")) == 1
    gateway.end()


@pytest.mark.parametrize("how", ["refuses", "says nothing"])
def test_gateway_serves_the_known_list_when_the_discovery_service_is_down(tmp_path, how):
    feed, engine = DiscoveryService(), Engine()
    if how == "refuses":
        feed.close()
    gateway = Gateway(tmp_path, config(engine) | {"coordinator": feed.address})
    client, began = Caller(gateway.address), time.monotonic()
    seq = client.ask()
    assert client.answer() == (seq, b"a\tb\tc\n")
    assert time.monotonic() - began < 0.6
    gateway.end()


def all_stopped(pid):
    """Whether each thread of a process is stopped."""
    return all(
        Path(f"/proc/{pid}/task/{task}/stat").read_text().rpartition(")")[2].split()[0] in "Tt"
        for task in os.listdir(f"/proc/{pid}/task")
    )


def test_engine_gets_no_attempt_when_it_was_drained_while_the_process_was_stopped(launch_gateway):
    """What came meanwhile is read at once: many requests, and one event of the endpoint list."""
    feed, old, new, port = DiscoveryService(), Engine(), Engine(), free_port()
    process = launch_gateway(config(old) | {"listen": f"127.0.0.1:{port}", "coordinator": feed.address})
    until(lambda: is_listening(port))
    callers = [Caller(("127.0.0.1", port)) for _ in range(20)]
    for caller in callers:
        caller.send("check", b"\x02\0\1\1")
        assert caller.answer()[1] == b""
    for turn in range(5):
        here, there = (old, new) if turn % 2 == 0 else (new, old)
        names = ("s-0", "s-1") if turn % 2 == 0 else ("s-1", "s-0")
        before = len(here.messages(b"fetch"))
        process.send_signal(signal.SIGSTOP)
        until(lambda: all_stopped(process.pid))  # a busy machine takes its time
        asked = [caller.ask() for caller in callers]
        feed.send(event(2 + turn, (names[0], here.address, "draining"), (names[1], there.address, "ready")))
        time.sleep(0.6)  # longer than the grace
        process.send_signal(signal.SIGCONT)
        for caller, seq in zip(callers, asked, strict=True):
            assert caller.answer() == (seq, b"a\tb\tc\n")
        assert len(here.messages(b"fetch")) == before
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_TIMEOUT_S) == 0


def test_event_is_applied_once_when_the_discovery_address_changes_in_the_middle_of_it(tmp_path):
    old, new, engines = DiscoveryService(), DiscoveryService(), [Engine(), Engine()]
    gateway = Gateway(tmp_path, config() | {"coordinator": old.address})
    line = json.dumps(event(2, ("s-0", engines[0].address, "ready"))).encode() + b"\n"
    old.send(line[:40])
    gateway.discovery_client.change_address(new.address)
    until(lambda: new.follow_requests)
    new.send(line, b"2\n")
    until(lambda: gateway.count("endpoint_list_events") == 2)
    with contextlib.suppress(OSError):  # it was closed
        old.send(line[40:], event(3, ("s-0", engines[0].address, "gone")))
    new.send(event(3, ("s-1", engines[1].address, "ready")))
    until(lambda: gateway.count("endpoint_list_events") == 3)
    assert new.follow_requests == [b"follow 1\n"]
    assert len(gateway.core.gateway.components.engines.ready) == 2
    gateway.end()


def test_stream_is_followed_again_from_the_last_event_when_it_falls_silent(tmp_path):
    feed, old, new = DiscoveryService(), Engine(), Engine()
    gateway = Gateway(tmp_path, config(old) | {"coordinator": feed.address})
    feed.send(b"1\n")
    until(lambda: len(feed.follow_requests) == 2)  # two of its lines missed
    feed.send(event(2, ("s-0", old.address, "draining"), ("s-1", new.address, "ready")))
    until(lambda: gateway.count("endpoint_list_events") == 2)
    client = Caller(gateway.address)
    seq = client.ask()
    assert client.answer() == (seq, b"a\tb\tc\n")
    assert not old.received
    assert feed.follow_requests[1] == b"follow 1\n"
    gateway.end()


def test_list_is_followed_again_when_idle_clients_hold_all_descriptors(launch_gateway):
    """The stream needs a descriptor just when clients hold all that they can get."""
    feed, engine, port = DiscoveryService(), Engine(), free_port()
    told = config(engine) | {"listen": f"127.0.0.1:{port}", "coordinator": feed.address}
    told["limits"]["sockets"] = 60
    process = launch_gateway(told)
    until(lambda: is_listening(port))
    until(lambda: feed.follow_requests)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (60, 60))
    crowd = [socket.create_connection(("127.0.0.1", port)) for _ in range(120)]
    feed.connection.close()
    until(lambda: len(feed.follow_requests) >= 2)
    assert len(os.listdir(f"/proc/{process.pid}/fd")) < 60
    for sock in crowd:
        sock.close()
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_TIMEOUT_S) == 0


def test_attempts_follow_the_endpoint_list_when_engines_join_drain_and_leave(tmp_path):
    feed, old, new = DiscoveryService(), Engine(), Engine()
    gateway = Gateway(tmp_path, config(old) | {"coordinator": feed.address})
    client = Caller(gateway.address)
    client.ask()
    client.answer()
    feed.send(event(2, ("s-9", new.address, "ready")), event(3, ("s-0", old.address, "draining")), b"3\n")
    until(lambda: gateway.count("endpoint_list_events") == 3)
    for _ in range(4):
        client.ask()
        client.answer()
    assert len(old.messages(b"fetch")) == 1
    assert len(new.messages(b"fetch")) == 4
    feed.send(b"{bad\n")  # followed anew from the last good event; the list holds
    until(lambda: len(feed.follow_requests) == 2)
    assert feed.follow_requests == [b"follow 1\n", b"follow 3\n"]
    feed.send(event(3, ("s-9", new.address, "gone")), event(4, ("s-7", new.address, "ready"), whole=True))
    until(lambda: gateway.count("endpoint_list_events") == 4)
    seq = client.ask()
    assert client.answer() == (seq, b"a\tb\tc\n")
    assert len(new.messages(b"fetch")) == 5
    assert len({words[0] for words in new.messages(b"fetch")}) == 2  # another engine: another link
    gateway.end()


def test_ids_and_connections_of_engines_are_freed_when_they_are_removed(tmp_path):
    feed, engines = DiscoveryService(), [Engine() for _ in range(8)]
    gateway = Gateway(tmp_path, config() | {"coordinator": feed.address})
    client = Caller(gateway.address)
    for i, engine in enumerate(engines):  # each at its own address, then gone
        feed.send(event(2 * i + 2, (f"s-{i}", engine.address, "ready")))
        seq = client.ask()
        assert client.answer() == (seq, b"a\tb\tc\n")
        feed.send(event(2 * i + 3, (f"s-{i}", engine.address, "gone")))
    until(lambda: not gateway.core.pool.endpoints and not gateway.core.pool.connections)
    assert not gateway.core.gateway.components.engines.by_id
    assert not gateway.discovery_client.engine_ids.ids_by_name
    gateway.end()
