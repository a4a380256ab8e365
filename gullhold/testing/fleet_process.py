"""The processes of a FleetRig: gateways, each with its files and its relay to the store, and the store."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from gullhold.net import split_host_port
from gullhold.testing import WAIT_TIMEOUT_S
from gullhold.testing.relay import Relay
from gullhold.testing.running import ROOT, free_address


class StoreProcess:
    """The store server (gullhold.testing.register) in a process of its own. journal, file: paths."""

    def __init__(self, folder: Path) -> None:
        """folder: holds the data file and the journal."""
        self.address = free_address()
        self.journal = folder / "journal"
        self.file = folder / "store"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process, or restart it on its file. Raises RuntimeError if it does not become ready."""
        options = {
            "--listen": self.address,
            "--store": str(self.file),
            "--journal": str(self.journal),
        }
        arguments = [word for option in options.items() for word in option]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "gullhold", "register", *arguments, "--fast", "--scripted"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )
        if not self.process.stdout.readline():
            raise RuntimeError(f"the store server at {self.address} did not start")

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.process.kill()
        self.process.wait()

    def close(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def journal_lines(self) -> list[dict[str, Any]]:
        """Return the records of the journal; a line that a kill has cut is left out."""
        if not self.journal.exists():
            return []
        lines = self.journal.read_text("utf-8").splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.endswith("\n")]


class Member:
    """One gateway: its files, its relay to the store, its process.

    listen: HOST:PORT; address: the same as (host, port); log, events: paths; serial: number of its starts.
    """

    def __init__(self, name: str, folder: Path, store_address: str) -> None:
        """folder: the member's own folder is created in it."""
        self.name = name
        self.relay = Relay(store_address)
        self.process: subprocess.Popen | None = None
        self.listen = free_address()
        self.address = split_host_port(self.listen)
        self.folder = folder / name
        self.folder.mkdir()
        self.log = self.folder / "log"
        self.events = self.folder / "events"
        self.serial = 0

    def start(self, configuration: dict[str, Any], operator: str | None, hooks: dict[str, Any]) -> None:
        """Start the process.

        operator: text of the operator file, None for no file; hooks: for gullhold.testing.hooked_gateway.
        """
        configuration_path = self.folder / "config.json"
        configuration_path.write_text(json.dumps(configuration))
        arguments = ["serve", "--config", str(configuration_path)]
        if operator is not None:
            operator_path = self.folder / "operator.cue"
            operator_path.write_text(operator)
            arguments += ["--operator", str(operator_path)]
        environment = {
            "PYTHONPATH": str(ROOT),
            "GULLHOLD_RIG": json.dumps(hooks),
            "MALLOC_ARENA_MAX": "1",
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gullhold.testing.hooked_gateway", *arguments],
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env=os.environ | environment,
            )

    def log_text(self) -> str:
        """Return what the gateway has logged so far, over all its starts."""
        return self.log.read_text("utf-8", "replace") if self.log.exists() else ""

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.process.terminate()

    def wait(self) -> None:
        """Wait until the process has ended."""
        self.process.wait(WAIT_TIMEOUT_S)

    def kill(self) -> None:
        """Kill the process with SIGKILL if it runs."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self.process.send_signal(signal.SIGCONT)

    def is_paused(self) -> bool:
        """Return whether the process is suspended by SIGSTOP."""
        try:
            status = Path(f"/proc/{self.process.pid}/stat").read_text()
        except OSError:
            return False
        state = status.rpartition(")")[2][1]
        return state == "T"

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process.poll() is not None

    def event_records(self) -> list[dict[str, Any]]:
        """Return the records of the fleet events that the gateway logged, as loguru serializes them."""
        if not self.events.exists():
            return []
        records = []
        for line in self.events.read_text("utf-8").splitlines():
            try:
                records.append(json.loads(line)["record"])
            except ValueError:  # a line that a kill has cut
                continue
        return records
