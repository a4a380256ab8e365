"""A small deployment on loopback: a gateway process, and working engines on threads of this process."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Self

from gullhold.net import health_check
from gullhold.testing import LOOPBACK, WAIT_TIMEOUT_S, gateway_log
from gullhold.testing.deployment import config
from gullhold.testing.working_engine import WorkingEngine

ROOT = Path(__file__).resolve().parents[2]
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
HEALTH_CHECK_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.05
# An operator file that enables the admission queue. One command field holds the name of the client, one field
# of a shed answer holds Retry-After.
ADMISSION_OPERATOR_FILE = """
door: {
    on: true
    client: field: "client"
    come_back: field: "retry_ms"
}
"""


def free_address() -> str:
    """Return a HOST:PORT with a port that is free at this moment."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{sock.getsockname()[1]}"


def adjust_settings(
    settings: dict[str, Any],
    tenants: Iterable[tuple[str, float]] = (),
    cores: int = 2,
    timeout_s: float = 4.0,
    target_s: float = 0.5,
) -> dict[str, Any]:
    """Change settings in place and return them.

    tenants: (name, share) of each; cores: cores of an engine; timeout_s, target_s: client timeout and latency
    objective of all profiles.
    """
    settings["tenants"] = [{"name": name, "fraction": share} for name, share in tenants]
    settings["domain"]["cores_by_kind"] = [cores]
    for profile in settings["categories"]:
        profile["give_up"] = timeout_s
        profile["aim"] = target_s
    return settings


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def serving_status(address: tuple[str, int]) -> bool | None:
    """Return whether a gateway reports that it serves; None: no answer within HEALTH_CHECK_TIMEOUT_S.

    On a busy machine a gateway that accepts connections may answer later than that, so callers try again up
    to a limit of their own.
    """
    try:
        return health_check.is_serving(address, HEALTH_CHECK_TIMEOUT_S)
    except TimeoutError:
        return None


class RunningDeployment:
    """Engines and a gateway, which runs inside a `with` block. address: (host, port) of the gateway."""

    def __init__(
        self,
        engines: int = 2,
        slots: int = 4,
        tenants: Iterable[tuple[str, float]] = (),
        operator: str = "",
        root: Path = ROOT,
        cores: int = 2,
        timeout_s: float = 4.0,
        target_s: float = 0.5,
        spread: float = 0.1,
        seed: int = 1,
        memory_mb: int = 192,
        sockets: int = 1024,
        max_open: int = 20000,
    ) -> None:
        """Start the engines and write the gateway's files; entering the `with` block starts the gateway.

        engines: number of engines; slots, spread, seed: arguments of each WorkingEngine; tenants, cores,
        timeout_s, target_s: arguments of adjust_settings(); operator: text of an operator file, "" for none;
        root: source folder of the gateway, for an earlier version; memory_mb, sockets, max_open: the
        gateway's limits of memory, descriptors and open commands.
        """
        self.engines = [WorkingEngine(slots, spread=spread, seed=seed + number) for number in range(engines)]
        self.folder = tempfile.TemporaryDirectory(prefix="gullhold-")
        self.root = root
        self.process: subprocess.Popen | None = None
        listen = free_address()
        self.address = (LOOPBACK, int(listen.rpartition(":")[2]))
        configuration = config(*self.engines, max_open=max_open) | {
            "listen": listen,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        }
        adjust_settings(configuration["settings"], tenants, cores, timeout_s, target_s)
        path = Path(self.folder.name)
        self.log = path / "log"
        self.arguments = _write_files(path, configuration, operator)

    def __enter__(self) -> Self:
        environment = {"MALLOC_ARENA_MAX": "1", "PYTHONPATH": str(self.root), "GULLHOLD_LOG": "INFO"}
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gullhold", "serve", *self.arguments],
                cwd=self.root,
                stderr=log,
                env=os.environ | environment,
            )
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while serving_status(self.address) is None:
            if time.monotonic() > deadline or self.process.poll() is not None:
                self.__exit__()
                raise RuntimeError(f"the gateway did not start: {self.log_text()}")
            time.sleep(POLL_INTERVAL_S)
        return self

    def __exit__(self, *_: object) -> None:
        if self.process and self.process.poll() is None:
            self._end_process(self.process)
        gateway_log.record(self.log_text())
        for engine in self.engines:
            engine.close()
        self.folder.cleanup()

    @staticmethod
    def _end_process(process: subprocess.Popen) -> None:
        process.terminate()
        try:
            process.wait(WAIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def log_text(self) -> str:
        """Return what the gateway has logged so far."""
        return self.log.read_text("utf-8", "replace") if self.log.exists() else ""

    def counter(self, name: str) -> int:
        """Return the last value of a counter that the gateway has logged; 0: it has logged none."""
        return gateway_log.counter(self.log_text(), name)

    def pin_to_core(self, core: int) -> None:
        """Restrict all threads of the gateway to one core of the machine."""
        for thread in os.listdir(f"/proc/{self._pid()}/task"):
            os.sched_setaffinity(int(thread), {core})

    def cpu_s(self) -> float:
        """Return the CPU seconds that the gateway has used."""
        return cpu_s(self._pid())

    def resident_mb(self) -> float:
        """Return the resident memory of the gateway in MB."""
        return resident_mb(self._pid())

    def _pid(self) -> int:
        assert self.process is not None
        return self.process.pid


def _write_files(folder: Path, configuration: dict[str, Any], operator: str) -> list[str]:
    """Write a gateway's configuration and operator file; return the arguments that name them."""
    configuration_path = folder / "config.json"
    configuration_path.write_text(json.dumps(configuration))
    operator_path = folder / "operator.cue"
    operator_path.write_text(operator)
    arguments = ["--config", str(configuration_path)]
    if operator:
        arguments += ["--operator", str(operator_path)]
    return arguments
