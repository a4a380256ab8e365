"""The gateway as a process: signals, files, limits, log and exit status; and other commands."""

import fcntl
import json
import os
import resource
import signal
import socket
import time
from pathlib import Path

import pytest
from serving import WAIT_TIMEOUT_S, free_port, is_listening, until

from gullhold.__main__ import main
from gullhold.net import service
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config, endpoint_list_event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.scripted import ScriptedEngine, never_finish, serve_pages


def test_open_requests_are_answered_and_exit_status_is_0_when_sigterm_arrives(launch_gateway):
    engine, port = ScriptedEngine(never_finish, serve_pages()), free_port()
    configuration = config(engine) | {"listen": f"127.0.0.1:{port}"}
    configuration["settings"]["limits"]["cancel"] = False  # the open request must not be retried
    configuration["settings"]["domain"]["note_period"] = 0  # nor its attempt be abandoned as lost
    process = launch_gateway(configuration)
    until(lambda: is_listening(port))
    client = BlockingClient(("127.0.0.1", port))
    client.send("check", b"\x02\0\1\1")
    assert client.read_answer()[1] == b""
    endless_seq = client.send_command("once", limit=7000)
    until(lambda: engine.messages(b"fetch"))
    process.send_signal(signal.SIGUSR1)
    began = time.monotonic()
    process.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    other = BlockingClient(("127.0.0.1", port))  # new connections are still accepted and served
    seq = other.send_command()
    assert other.read_answer() == (seq, b"a\tb\tc\n")
    other.send("check", b"\x02\0\1\1")
    assert other.read_answer()[1] == "unfit"
    assert client.read_answer() == (endless_seq, "fault")
    assert 2.5 < time.monotonic() - began < 3.7
    assert process.wait(WAIT_TIMEOUT_S) == 0
    log = process.stderr.read()
    assert log.count("requests_received=1") == 1
    assert log.count("requests_received=2") == 1
    assert "resident" in log


def test_sighup_applies_the_new_discovery_address_and_ignores_an_unusable_file(launch_gateway, tmp_path):
    old, new, engine, port = DiscoveryService(), DiscoveryService(), ScriptedEngine(), free_port()
    configuration = config() | {"listen": f"127.0.0.1:{port}", "coordinator": old.address}
    process = launch_gateway(configuration)
    until(lambda: old.follow_requests)
    path = tmp_path / "config.json"
    for text in ("{", "[]", '{"coordinator": "nowhere"}', '{"coordinator": 5}'):
        path.write_text(text)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.05)
    old.send(endpoint_list_event(2, ("s-0", "127.0.0.1:1", "ready")))
    path.write_text(json.dumps(configuration | {"coordinator": new.address}))
    process.send_signal(signal.SIGHUP)
    until(lambda: new.follow_requests)
    new.send(endpoint_list_event(3, ("s-9", engine.address, "ready"), is_complete=True))
    time.sleep(0.2)
    client = BlockingClient(("127.0.0.1", port))
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert process.poll() is None
    assert old.follow_requests == [b"follow 1\n"]
    assert new.follow_requests == [b"follow 2\n"]


SERVE_WITH_SIGNALS_TO_ANOTHER_THREAD = """
import signal, sys, threading, time
threading.Thread(target=time.sleep, args=(60,), daemon=True).start()   # only this thread gets signals
block = signal.pthread_sigmask
signal.pthread_sigmask = lambda how, numbers: block(signal.SIG_BLOCK, numbers)
from gullhold.__main__ import main
status = main(sys.argv[1:])
sys.stderr.flush()
__import__("os")._exit(status)
"""


def test_signals_take_effect_at_once_when_another_thread_receives_them(launch_gateway, tmp_path):
    """Guards against a main thread that waits on until its next report: it kept an old list for 7.5 s."""
    old, new, port = DiscoveryService(), DiscoveryService(), free_port()
    configuration = config() | {"listen": f"127.0.0.1:{port}", "coordinator": old.address}
    process = launch_gateway(
        configuration, "-c", SERVE_WITH_SIGNALS_TO_ANOTHER_THREAD, "serve", "--report", "30"
    )
    until(lambda: old.follow_requests)
    (tmp_path / "config.json").write_text(json.dumps(configuration | {"coordinator": new.address}))
    began = time.monotonic()
    process.send_signal(signal.SIGHUP)
    until(lambda: new.follow_requests)
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_TIMEOUT_S) == 0
    assert time.monotonic() - began < 3
    assert process.stderr.read().count("counters: ") == 1  # only at the end


def test_changed_configuration_is_reloaded_without_a_signal_when_the_discovery_service_refuses(
    launch_gateway, tmp_path
):
    old, new, port = DiscoveryService(), DiscoveryService(), free_port()
    configuration = config() | {"listen": f"127.0.0.1:{port}", "coordinator": old.address}
    process = launch_gateway(configuration)
    until(lambda: old.connection)
    path = tmp_path / "config.json"
    path.write_text("{")
    old.close()
    time.sleep(0.6)
    path.write_text(json.dumps(configuration | {"coordinator": new.address}))
    until(lambda: new.follow_requests)
    process.terminate()
    assert process.wait(WAIT_TIMEOUT_S) == 0
    log = process.stderr.read()
    assert log.count("configuration rejected, previous one kept") == 1
    assert log.count("configuration reloaded") == 1


@pytest.mark.parametrize(
    "damage",
    [
        lambda _, path: path.unlink(),
        lambda _, path: path.write_text("{"),
        lambda valid, path: path.write_text(
            json.dumps(valid | {"known": {"index": 1, "updates": [{"index": 1}]}})
        ),
        lambda valid, path: path.write_text(json.dumps({k: v for k, v in valid.items() if k != "settings"})),
    ],
)
def test_one_line_error_and_status_2_when_the_configuration_is_unusable(tmp_path, capsys, damage):
    path = tmp_path / "config.json"
    path.write_text("{}")
    damage(config(), path)
    assert service.serve(path) == 2
    err = capsys.readouterr().err
    assert err.startswith("gullhold: ")
    assert err.count("\n") == 1


def test_one_line_error_and_status_2_when_the_listen_address_is_in_use(tmp_path, capsys):
    with socket.create_server(("127.0.0.1", 0)) as sock:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config() | {"listen": f"127.0.0.1:{sock.getsockname()[1]}"}))
        assert service.serve(path) == 2
    assert capsys.readouterr().err.startswith("gullhold: can't listen on 127.0.0.1:")


def test_version_check_and_config_commands_print_results_and_exit_statuses(start_gateway, tmp_path, capsys):
    gateway, _ = start_gateway(ScriptedEngine())
    address = f"127.0.0.1:{gateway.address[1]}"
    assert main(["version"]) == 0
    assert capsys.readouterr().out.startswith("gullhold 0.")
    assert main(["check", address]) == 0
    assert capsys.readouterr().out == "serves\n"
    gateway.core.shutdown_began_at = 1
    assert main(["check", address]) == 1
    assert capsys.readouterr().out == "does not serve\n"
    with socket.create_server(("127.0.0.1", 0)) as sock:
        silent = f"127.0.0.1:{sock.getsockname()[1]}"
        assert main(["check", silent, "--timeout", "0.1"]) == 1
        assert main(["check", "x"]) == 1
    capsys.readouterr()
    assert main(["config", "--config", str(tmp_path / "config.json")]) == 0
    assert "name='mark'" in capsys.readouterr().out
    assert main(["config", "--config", str(tmp_path / "none")]) == 2


def test_memory_threads_and_descriptors_stay_within_limits_when_330_clients_are_connected(launch_gateway):
    engine, port = ScriptedEngine(), free_port()
    process = launch_gateway(config(engine) | {"listen": f"127.0.0.1:{port}"})
    until(lambda: is_listening(port))
    # 330 is about a third of the sockets of the configuration; clients usually need that many.
    callers = [BlockingClient(("127.0.0.1", port)) for _ in range(330)]
    sequence_ids = [[caller.send_command() for _ in range(3)] for caller in callers]
    for caller, seqs in zip(callers, sequence_ids, strict=True):
        answers = [caller.read_answer() for _ in seqs]
        assert {seq for seq, _ in answers} == set(seqs)
        assert all(answer in (b"a\tb\tc\n", "shed") for _, answer in answers)
    status = dict(row.split(":", 1) for row in Path(f"/proc/{process.pid}/status").read_text().splitlines())
    assert int(status["VmHWM"].split()[0]) < 100_000  # kB; half of the usual limit of 192 MB
    assert len(os.listdir(f"/proc/{process.pid}/fd")) < 600
    assert int(status["Threads"]) < 600
    for caller in callers:
        caller.sock.close()
    # Connections to engines stay open for a while.
    until(lambda: len(os.listdir(f"/proc/{process.pid}/fd")) < 220)
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_TIMEOUT_S) == 0


def test_requests_are_answered_when_nobody_reads_the_log(launch_gateway):
    """Guards against a full pipe at standard error that blocks the core's thread."""
    dead, engine, port = ScriptedEngine(), ScriptedEngine(), free_port()
    dead.stop_listening()
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
    process = launch_gateway(config(dead, engine) | {"listen": f"127.0.0.1:{port}"}, stderr=write_end)
    until(lambda: is_listening(port))
    for _ in range(300):
        process.send_signal(signal.SIGUSR1)  # each logs a long line
        time.sleep(0.001)
    caller = BlockingClient(("127.0.0.1", port))
    seq = caller.send_command()
    assert caller.read_answer() == (seq, b"a\tb\tc\n")
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_TIMEOUT_S) == 0
    os.close(read_end)
    os.close(write_end)


def test_connections_wait_and_are_served_later_when_descriptors_run_out(launch_gateway):
    engine, port = ScriptedEngine(), free_port()
    configuration = config(engine) | {"listen": f"127.0.0.1:{port}"}
    configuration["limits"]["sockets"] = 40
    process = launch_gateway(configuration)
    until(lambda: is_listening(port))
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (40, 40))
    first = BlockingClient(("127.0.0.1", port))
    seq = first.send_command()
    assert first.read_answer() == (seq, b"a\tb\tc\n")  # the gateway now has its connection to the engine
    callers = [BlockingClient(("127.0.0.1", port)) for _ in range(60)]
    sequence_ids = [caller.send_command(limit=7000) for caller in callers]
    # With a bound of 20 a slow gateway had not reached its limit before the first callers closed.
    until(lambda: len(os.listdir(f"/proc/{process.pid}/fd")) >= 30)
    for caller, seq in zip(callers, sequence_ids, strict=True):
        assert caller.read_answer() == (seq, b"a\tb\tc\n")
        caller.sock.close()
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_TIMEOUT_S) == 0
    assert "accepts_deferred" in process.stderr.read()
