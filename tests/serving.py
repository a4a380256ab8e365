"""A gateway on loopback, in this process or one of its own; for tests."""

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

ROOT = Path(__file__).parent.parent
PATIENCE = 8  # seconds until a wait fails: far more than any of these takes


def until(true):
    """Wait for it."""
    end = time.monotonic() + PATIENCE
    while not true():
        assert time.monotonic() < end, "waited in vain"
        time.sleep(0.005)


class Gateway:
    """A gateway in this process."""

    def __init__(self, tmp_path, told, held=(), door_record=None):
        path = tmp_path / "config.json"
        path.write_text(json.dumps(told))
        parts = build_parts(load_configuration(path), door_record)
        self.core = parts.core
        self.listener = parts.listener
        self.coordinator = parts.discovery_client
        self.address = self.listener.sock.getsockname()
        self.configuration = load_configuration(path)
        self.parts = parts.background_threads()
        self.parts["core"] = lambda: self.core.run(self.configuration.list_changes)
        self.go(*(name for name in self.parts if name not in held))

    def go(self, *names):
        """Start these parts; those held back at first wait for it."""
        for name in names:
            Thread(target=self.parts[name], daemon=True).start()

    def count(self, name):
        """A counter."""
        return self.core.counters.counts[name]

    def end(self):
        """It ends with nothing owed."""
        until(lambda: not self.core.pending)
        self.core.post(setattr, self.core, "stopped", True)
        until(lambda: self.core.stopped)
        self.listener.sock.close()
        assert not self.count("faults of ours") and not self.count("overdue")
        assert not self.core.pending and not self.core.pending_by_txn and not self.core.gateway.commands
        assert not self.core.room.used


def launched(tmp_path, told, *words, stderr=subprocess.PIPE):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told))
    env = {**os.environ, "GW_CONFIG": str(path)}
    env.pop("GW_LISTEN", None)
    return subprocess.Popen(
        [sys.executable, *(words or ("-m", "gullhold", "serve"))],
        cwd=ROOT,
        env=env,
        text=True,
        stderr=stderr,
        stdout=subprocess.PIPE,
    )


def listens(port):
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) == 0


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]
