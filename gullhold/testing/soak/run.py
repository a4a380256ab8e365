"""One seed of the soak: gateways as processes, engines, discovery services and clients on loopback."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from gullhold.net import split_host_port
from gullhold.testing import WAIT_TIMEOUT_S, gateway_log
from gullhold.testing.deployment import config, endpoint_list_event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.load_client import RetryRule
from gullhold.testing.load_process import ClientGroup, LoadProcesses
from gullhold.testing.running import (
    ADMISSION_OPERATOR_FILE,
    ROOT,
    adjust_settings,
    free_address,
    serving_status,
)
from gullhold.testing.soak.clients_and_engines import RequestRecord, SoakClient, SoakEngine, TimedFetch
from gullhold.testing.soak.plan import ENGINES, SERVING_S, Crowd, Plan, Trouble
from gullhold.testing.soak.violations import Kind, Suspension, Violation, check_attempts, check_requests

DRAIN_GRACE_S = 0.5  # of the settings
NEW_CONNECTIONS_S = 0.3  # after SIGTERM in which clients still connect, from the protocol
SOCKETS = 160  # descriptors of a gateway; half are for clients
IDLE_CONNECTIONS = 70  # of a crowd that fills the descriptors
POLL_S = 0.005
COMMAND = ("-m", "gullhold")
FIRST_INDEX = 1  # of the events of the endpoint list: the one in the configuration
FLOOD = ClientGroup(
    processes=2, clients=4, options={"open": 256, "connections": 8, "retry_rule": RetryRule.NEVER}
)


class Outcome(NamedTuple):
    """What came of a seed."""

    requests: int
    violations: list[Violation]


@dataclass(frozen=True)
class Step:
    """Something that is done at a time in s from the first request."""

    at_s: float
    do: Callable[[], None]


class SoakGateway:
    """One gateway process with a discovery service of its own."""

    def __init__(
        self, folder: Path, plan: Plan, engines: Sequence[SoakEngine], command: Sequence[str]
    ) -> None:
        listen = free_address()
        self.address = split_host_port(listen)
        self.discovery = DiscoveryService()
        configuration = config(*engines, max_open=1000) | {
            "listen": listen,
            "coordinator": self.discovery.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
        }
        adjust_settings(configuration["settings"], (), 16, plan.timeout_s, plan.timeout_s / 3)
        arguments = ["serve", "--config", str(_write(folder / "config.json", json.dumps(configuration)))]
        if plan.has_queue:
            arguments += ["--operator", str(_write(folder / "operator.cue", ADMISSION_OPERATOR_FILE))]
        self.log = folder / "log"
        environment = os.environ | {"PYTHONPATH": str(ROOT), "MALLOC_ARENA_MAX": "1", "GULLHOLD_LOG": "INFO"}
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *command, *arguments], cwd=ROOT, stderr=log, env=environment
            )

    def wait_until_serving(self) -> None:
        """Raise RuntimeError where it does not come up."""
        end = time.monotonic() + WAIT_TIMEOUT_S
        while not serving_status(self.address):
            if time.monotonic() > end or self.process.poll() is not None:
                raise RuntimeError(f"the gateway did not come up: {self.log_text()}")
            time.sleep(POLL_S)

    def log_text(self) -> str:
        """What it has logged."""
        return self.log.read_text("utf-8", "replace")

    def close(self) -> None:
        """End the process, if it still runs, and the discovery service."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.close_discovery()

    def close_discovery(self) -> None:
        """End the discovery service; a second call does nothing."""
        with suppress(OSError):
            self.discovery.close()


class SoakRun:
    """Plays one plan. command: the arguments of Python that start the program."""

    def __init__(self, plan: Plan, folder: Path, command: Sequence[str] = COMMAND) -> None:
        self.plan = plan
        self.engines = [SoakEngine(number, plan.seed * 100 + number) for number in range(ENGINES)]
        self.replaced: list[SoakEngine] = []
        self.drained_at: dict[int, float] = {}
        self.stops: list[Suspension] = []
        self.stopped_at = 0.0
        self.terminated_at = 0.0
        self.last_index = FIRST_INDEX
        self.gateways = []
        for number in range(plan.gateways):
            own = folder / str(number)
            own.mkdir()
            self.gateways.append(SoakGateway(own, plan, self.engines, command))
        self.clients: list[SoakClient] = []
        self.idle: list[socket.socket] = []
        self.flood: LoadProcesses | None = None

    def play(self) -> Outcome:
        """Serve, have trouble, end; judge what was seen."""
        try:
            for gateway in self.gateways:
                gateway.wait_until_serving()
            self._start_clients()
            self._do_steps()
            violations = self._await_ends()
        finally:
            self._close()
        records = [record for client in self.clients for record in client.records]
        fetches = [fetch for engine in (*self.engines, *self.replaced) for fetch in engine.fetches]
        return Outcome(len(records), violations + self._judge(records, fetches))

    def _judge(self, records: list[RequestRecord], fetches: list[TimedFetch]) -> list[Violation]:
        found = check_requests(records, self.stops)
        found += check_attempts(records, fetches, self.drained_at, DRAIN_GRACE_S)
        for gateway in self.gateways:
            found += [Violation(Kind.FAULT, line) for line in gateway_log.fault_lines(gateway.log_text())]
        return found

    def _start_clients(self) -> None:
        plan = self.plan
        for number, gateway in enumerate(self.gateways):
            for index in range(plan.clients):
                client = SoakClient(gateway.address, number * plan.clients + index, plan)
                client.start()
                self.clients.append(client)
        if plan.crowd is Crowd.IDLE:
            time.sleep(10 * POLL_S)  # the others are connected first
            self.idle = [
                socket.create_connection(gateway.address, WAIT_TIMEOUT_S)
                for gateway in self.gateways
                for _ in range(IDLE_CONNECTIONS)
            ]
        if plan.crowd is Crowd.FLOOD:
            options = FLOOD.options | {"limit_ms": int(plan.timeout_s * 1000)}
            crowd = ClientGroup(FLOOD.processes, FLOOD.clients, options)
            self.flood = LoadProcesses(self.gateways[0].address, crowd)
            self.flood.start()

    def _do_steps(self) -> None:
        steps = [
            Step(each.at_s, self._trouble_step(each.trouble, each.engine)) for each in self.plan.troubles
        ]
        steps += [Step(each.at_s, self._signal_step(each.number)) for each in self.plan.signals]
        steps.append(Step(SERVING_S + NEW_CONNECTIONS_S, self._stop_connecting))
        began = time.monotonic()
        for step in sorted(steps, key=lambda each: each.at_s):
            time.sleep(max(0.0, began + step.at_s - time.monotonic()))
            step.do()

    def _trouble_step(self, trouble: Trouble, number: int) -> Callable[[], None]:
        match trouble:
            case Trouble.HANG:
                return lambda: setattr(self.engines[number], "hangs", True)
            case Trouble.DRAIN:
                return lambda: self._drain(number)
            case Trouble.VANISH:
                return self.engines[number].close
            case Trouble.REPLACE:
                return lambda: self._replace(number)
            case Trouble.DISCOVERY_AWAY:
                return self._close_discovery
            case _:
                return lambda: None  # the service never says anything by itself

    def _close_discovery(self) -> None:
        for gateway in self.gateways:
            gateway.close_discovery()

    def _drain(self, number: int) -> None:
        told_at = time.monotonic()
        if self._tell((f"s-{number}", self.engines[number].address, "draining")):
            self.drained_at[number] = told_at

    def _replace(self, number: int) -> None:
        """The engine goes, and another one starts cold, under another name."""
        self.replaced.append(self.engines[number])
        self.engines[number].close()
        new_number = ENGINES + number
        self.engines[number] = SoakEngine(new_number, self.plan.seed * 100 + new_number)
        now_ms = int(time.time() * 1000)
        self._tell((f"s-{number}", self.replaced[-1].address, "gone"))
        self._tell((f"s-{new_number}", self.engines[number].address, "ready"), started_ms=now_ms)

    def _tell(self, member: tuple[str, str, str], **facts: Any) -> bool:
        """Tell a change of the endpoint list to all gateways; whether all could be told."""
        self.last_index += 1
        try:
            for gateway in self.gateways:
                gateway.discovery.send(endpoint_list_event(self.last_index, member, **facts))
        except (OSError, AssertionError):  # the service is away, or a gateway follows it no more
            return False
        return True

    def _signal_step(self, number: signal.Signals) -> Callable[[], None]:
        return lambda: self._send_signal(number)

    def _send_signal(self, number: signal.Signals) -> None:
        now = time.monotonic()
        if number == signal.SIGTERM and not self.terminated_at:
            self.terminated_at = now
        if number == signal.SIGSTOP:
            self.stopped_at = now
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.process.send_signal(number)
        if number == signal.SIGCONT:
            self.stops.append(Suspension(self.stopped_at, time.monotonic()))

    def _stop_connecting(self) -> None:
        for client in self.clients:
            client.may_connect = False

    def _await_ends(self) -> list[Violation]:
        """Wait for the end of each process until SIGKILL may come."""
        found = []
        for gateway in self.gateways:
            left_s = self.terminated_at + self.plan.kill_at_s - time.monotonic()
            try:
                status = gateway.process.wait(max(0.0, left_s))
            except subprocess.TimeoutExpired:
                found.append(Violation(Kind.LATE_END, f"over {self.plan.kill_at_s:.1f} s"))
                continue
            if status:
                found.append(Violation(Kind.BAD_STATUS, str(status)))
        return found

    def _close(self) -> None:
        for gateway in self.gateways:
            gateway.close()
        for client in self.clients:
            client.stop()
        for client in self.clients:
            client.join(WAIT_TIMEOUT_S)
        if self.flood:
            self.flood.stop()
        for sock in self.idle:
            sock.close()
        for engine in (*self.engines, *self.replaced):
            engine.close()


def _write(path: Path, text: str) -> Path:
    path.write_text(text)
    return path


def run_plan(plan: Plan, command: Sequence[str] = COMMAND) -> Outcome:
    """Play one plan in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="gullhold-soak-") as folder:
        return SoakRun(plan, Path(folder), command).play()
