"""The processes of a rig: gateways, each with its files and its relay to the store, and the store."""

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
    """The stand-in of the store, as a process of its own."""

    def __init__(self, folder: Path) -> None:
        """folder: where its file and its journal are."""
        self.address = free_address()
        self.journal = folder / "journal"
        self.file = folder / "store"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Begin, or begin again with what it has stored. Raises RuntimeError where it does not come up."""
        options = {
            "--listen": self.address,
            "--store": str(self.file),
            "--journal": str(self.journal),
        }
        words = [word for option in options.items() for word in option]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "gullhold", "register", *words, "--fast", "--scripted"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )
        if not self.process.stdout.readline():
            raise RuntimeError("the register did not come up")

    def kill(self) -> None:
        """SIGKILL, at whatever it is doing."""
        self.process.kill()
        self.process.wait()

    def close(self) -> None:
        """End, if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def journal_lines(self) -> list[dict[str, Any]]:
        """The journal; a line that is not written to its end is left out."""
        if not self.journal.exists():
            return []
        lines = self.journal.read_text("utf-8").splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.endswith("\n")]


class Member:
    """One gateway: its files, its relay to the store, its process."""

    def __init__(self, name: str, folder: Path, store_address: str) -> None:
        """folder: where its own folder is made."""
        self.name = name
        self.relay = Relay(store_address)
        self.process: subprocess.Popen | None = None
        self.listen = free_address()
        self.address = split_host_port(self.listen)
        self.folder = folder / name
        self.folder.mkdir()
        self.log = self.folder / "log"
        self.events = self.folder / "events"
        self.serial = 0  # of its starts

    def start(self, configuration: dict[str, Any], operator: str | None, hooks: dict[str, Any]) -> None:
        """Start the process.

        operator: text of its file, or None; hooks: for gullhold.testing.hooked_gateway.
        """
        configuration_path = self.folder / "config.json"
        configuration_path.write_text(json.dumps(configuration))
        words = ["serve", "--config", str(configuration_path)]
        if operator is not None:
            operator_path = self.folder / "operator.cue"
            operator_path.write_text(operator)
            words += ["--operator", str(operator_path)]
        environment = {
            "PYTHONPATH": str(ROOT),
            "GULLHOLD_RIG": json.dumps(hooks),
            "MALLOC_ARENA_MAX": "1",
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gullhold.testing.hooked_gateway", *words],
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env=os.environ | environment,
            )

    def log_text(self) -> str:
        """What it has logged so far, over all its starts."""
        return self.log.read_text("utf-8", "replace") if self.log.exists() else ""

    def terminate(self) -> None:
        """SIGTERM."""
        self.process.terminate()

    def wait(self) -> None:
        """Wait for the end."""
        self.process.wait(WAIT_TIMEOUT_S)

    def kill(self) -> None:
        """SIGKILL, if it runs."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def pause(self) -> None:
        """SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """SIGCONT."""
        self.process.send_signal(signal.SIGCONT)

    def is_paused(self) -> bool:
        """Whether it sleeps by a SIGSTOP."""
        try:
            status = Path(f"/proc/{self.process.pid}/stat").read_text()
        except OSError:
            return False
        state = status.rpartition(")")[2][1]
        return state == "T"

    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process.poll() is not None

    def event_records(self) -> list[dict[str, Any]]:
        """The events that it wrote of the fleet, as loguru writes them."""
        if not self.events.exists():
            return []
        records = []
        for line in self.events.read_text("utf-8").splitlines():
            try:
                records.append(json.loads(line)["record"])
            except ValueError:  # cut by a kill
                continue
        return records
