"""Starts gateways on loopback addresses for tests, in this process or in one of their own."""

import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path
from threading import Thread

from gullhold.net.assembly import build_parts
from gullhold.net.configuration import load_configuration
from gullhold.testing import gateway_log

ROOT = Path(__file__).parent.parent
WAIT_TIMEOUT_S = 8  # far longer than any of these waits takes
POLL_INTERVAL_S = 0.005


def until(condition):
    """Wait until a condition holds; fail after WAIT_TIMEOUT_S."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f"{condition} did not become true within {WAIT_TIMEOUT_S} s"
        time.sleep(POLL_INTERVAL_S)


class Gateway:
    """A gateway in this process.

    delayed_threads: names of threads that the test starts later.
    admission_record: settings of an admission queue.
    """

    def __init__(self, tmp_path, configuration, delayed_threads=(), admission_record=None):
        path = write_configuration(tmp_path, configuration)
        parts = build_parts(load_configuration(path), admission_record)
        self.core = parts.core
        self.listener = parts.listener
        self.discovery_client = parts.discovery_client
        self.address = self.listener.sock.getsockname()
        self.configuration = load_configuration(path)
        self.thread_functions = parts.background_threads()
        self.thread_functions["core"] = lambda: self.core.run(self.configuration.list_changes)
        self.start_threads(*(name for name in self.thread_functions if name not in delayed_threads))

    def start_threads(self, *names):
        """Start threads by name."""
        for name in names:
            Thread(target=self.thread_functions[name], daemon=True).start()

    def count(self, name):
        """Return the value of a counter."""
        return self.core.counters.counts[name]

    def end(self):
        """Stop the gateway, once no request is open; nothing may be left open or reserved then."""
        until(lambda: not self.core.requests.by_number)
        self.core.post(setattr, self.core, "stopped", True)
        until(lambda: self.core.stopped)
        self.listener.sock.close()
        # The discovery client's thread outlives the test. After its service is closed, it would connect to
        # another test's server that has the same port by then.
        self.discovery_client.may_call = lambda: False
        gateway_log.record("\n".join(self.core.counters.lines()))
        assert not self.count("internal_faults")
        assert not self.count("requests_overdue")
        assert not self.core.requests.by_number
        assert not self.core.requests.by_transaction_id
        assert not self.core.gateway.commands
        assert not self.core.statement_memory.used_bytes


def write_configuration(tmp_path, configuration):
    """Write a configuration file and return its path."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration))
    return path


def start_process(tmp_path, configuration, *arguments, stderr=subprocess.PIPE):
    """Start a Python process with these arguments, by default those of a gateway."""
    path = write_configuration(tmp_path, configuration)
    environment = {**os.environ, "GW_CONFIG": str(path)}
    environment.pop("GW_LISTEN", None)
    return subprocess.Popen(
        [sys.executable, *(arguments or ("-m", "gullhold", "serve"))],
        cwd=ROOT,
        env=environment,
        text=True,
        stderr=stderr,
        stdout=subprocess.PIPE,
    )


def is_listening(port):
    """Whether something listens on a port of this machine."""
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) == 0


def free_port():
    """Return a port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def open_sequence_ids(gateway):
    """Return the sequence ids of the requests whose clients wait for an answer."""
    return {pending.sequence_id for pending in gateway.core.requests.by_number.values() if pending.client}
