"""A small deployment that runs: working engines here, one gateway as a process of its own, on loopback."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from gullhold.net import health_check
from gullhold.testing import LOOPBACK, PATIENCE_S
from gullhold.testing.deployment import config
from gullhold.testing.working import WorkingEngine

ROOT = Path(__file__).resolve().parents[2]
TICKS = os.sysconf("SC_CLK_TCK")
DOOR = """
door: {
    on: true
    client: field: "client"
    come_back: field: "retry_ms"
}
"""  # the operator file of a trial: clients are told by a field, and are told when to come back


def free_address():
    """An address that nobody listens on at this moment."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{sock.getsockname()[1]}"


def agreed(tree, tenants=(), cores=2, timeout_s=4.0, target_s=0.5):
    """A settings tree with these tenants (name, share), cores an engine, and times of all profiles."""
    tree["tenants"] = [{"name": name, "fraction": share} for name, share in tenants]
    tree["domain"]["cores_by_kind"] = [cores]
    for item in tree["categories"]:
        item["give_up"], item["aim"] = timeout_s, target_s
    return tree


def cpu_s(pid):
    """CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    """Memory of a process now."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def answers(address):
    """Whether a gateway says that it serves; None: nobody there, or one that takes connections and does not
    answer yet: on a busy machine it may take its time, and who waits for it has a limit of its own."""
    try:
        return health_check.is_serving(address, 1.0)
    except TimeoutError:
        return None


class Running:
    """Engines and a gateway, from entering to leaving.

    operator: text of an operator file, "" for none; root: the program's folder, for an earlier version;
    limits: what the gateway may have.
    """

    def __init__(
        self,
        engines=2,
        slots=4,
        tenants=(),
        operator="",
        root=ROOT,
        cores=2,
        timeout_s=4.0,
        target_s=0.5,
        spread=0.1,
        seed=1,
        memory_mb=192,
        sockets=1024,
        max_open=20000,
    ):
        self.engines = [WorkingEngine(slots, spread=spread, seed=seed + i) for i in range(engines)]
        self.folder, self.root, self.process = tempfile.TemporaryDirectory(prefix="gullhold-"), root, None
        listen = free_address()
        self.address = (LOOPBACK, int(listen.rpartition(":")[2]))
        told = config(*self.engines, max_open=max_open) | {
            "listen": listen,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        }
        agreed(told["settings"], tenants, cores, timeout_s, target_s)
        path = Path(self.folder.name)
        (path / "config.json").write_text(json.dumps(told))
        (path / "operator.cue").write_text(operator)
        self.log = path / "log"
        self.words = ["--config", str(path / "config.json")]
        self.words += ["--operator", str(path / "operator.cue")] if operator else []

    def __enter__(self):
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gullhold", "serve", *self.words],
                cwd=self.root,
                stderr=log,
                env=os.environ
                | {"MALLOC_ARENA_MAX": "1", "PYTHONPATH": str(self.root), "GULLHOLD_LOG": "INFO"},
            )
        end = time.monotonic() + PATIENCE_S
        while answers(self.address) is None:
            if time.monotonic() > end or self.process.poll() is not None:
                self.__exit__()
                raise RuntimeError(f"the gateway did not come up: {self.text()}")
            time.sleep(0.05)
        return self

    def __exit__(self, *_):
        if self.process and self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(PATIENCE_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        for engine in self.engines:
            engine.close()
        self.folder.cleanup()

    def text(self):
        """What the gateway logged so far."""
        return self.log.read_text("utf-8", "replace")

    def cpu_s(self):
        """CPU seconds that the gateway has used."""
        return cpu_s(self.process.pid)

    def resident_mb(self):
        """Memory of the gateway now."""
        return resident_mb(self.process.pid)
