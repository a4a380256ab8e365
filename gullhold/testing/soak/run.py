"""One run of the soak test: gateway processes, engines, discovery services and clients on loopback."""

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

DRAIN_GRACE_S = 0.5  # as in the settings of gullhold.testing.deployment
NEW_CONNECTIONS_S = 0.3  # the protocol lets clients connect until this long after SIGTERM
SOCKETS = 160  # limit of a gateway's descriptors; half of them are for clients
IDLE_CONNECTIONS = 70  # nearly all descriptors that a gateway has for clients
POLL_INTERVAL_S = 0.005
GATEWAY_COMMAND = ("-m", "gullhold")  # arguments of Python
FIRST_INDEX = 1  # index of the endpoint list event in the configuration
FLOOD_CLIENTS = ClientGroup(
    processes=2, clients=4, options={"open": 256, "connections": 8, "retry_rule": RetryRule.NEVER}
)


class Outcome(NamedTuple):
    """The result of a run. requests: number of requests that were checked."""

    requests: int
    violations: list[Violation]


@dataclass(frozen=True)
class Step:
    """An action at a time in s from the first request."""

    at_s: float
    action: Callable[[], None]


class SoakGateway:
    """One gateway process with its own discovery service.

    command: the arguments of Python that start the program; log: path.
    """

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
        """Wait until the gateway serves. Raises RuntimeError if it does not start."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not serving_status(self.address):
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise RuntimeError(f"the gateway did not start: {self.log_text()}")
            time.sleep(POLL_INTERVAL_S)

    def log_text(self) -> str:
        """Return what the gateway has logged so far."""
        return self.log.read_text("utf-8", "replace")

    def close(self) -> None:
        """Kill the process if it still runs, and close the discovery service."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.close_discovery()

    def close_discovery(self) -> None:
        """Close the discovery service; a second call does nothing."""
        with suppress(OSError):
            self.discovery.close()


class SoakRun:
    """One run of a plan.

    command: the arguments of Python that start a gateway; replaced: engines that were closed and replaced;
    drained_at: when the gateways were sent an endpoint list in which an engine is draining, by the engine's
    number, in monotonic s; suspended_at, terminated_at: when SIGSTOP and the first SIGTERM were sent, in
    monotonic s; last_index: index of the latest endpoint list event.
    """

    def __init__(self, plan: Plan, folder: Path, command: Sequence[str] = GATEWAY_COMMAND) -> None:
        self.plan = plan
        self.engines = [SoakEngine(number, plan.seed * 100 + number) for number in range(ENGINES)]
        self.replaced: list[SoakEngine] = []
        self.drained_at: dict[int, float] = {}
        self.suspensions: list[Suspension] = []
        self.suspended_at = 0.0
        self.terminated_at = 0.0
        self.last_index = FIRST_INDEX
        self.gateways = []
        for number in range(plan.gateways):
            gateway_folder = folder / str(number)
            gateway_folder.mkdir()
            self.gateways.append(SoakGateway(gateway_folder, plan, self.engines, command))
        self.clients: list[SoakClient] = []
        self.idle_connections: list[socket.socket] = []
        self.flood: LoadProcesses | None = None

    def run(self) -> Outcome:
        """Carry out the plan until the gateways have ended, and check what was recorded."""
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
        return Outcome(len(records), violations + self._check(records, fetches))

    def _check(self, records: list[RequestRecord], fetches: list[TimedFetch]) -> list[Violation]:
        found = check_requests(records, self.suspensions)
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
            time.sleep(10 * POLL_INTERVAL_S)  # the checked clients connect first
            self.idle_connections = [
                socket.create_connection(gateway.address, WAIT_TIMEOUT_S)
                for gateway in self.gateways
                for _ in range(IDLE_CONNECTIONS)
            ]
        if plan.crowd is Crowd.FLOOD:
            options = FLOOD_CLIENTS.options | {"limit_ms": int(plan.timeout_s * 1000)}
            group = ClientGroup(FLOOD_CLIENTS.processes, FLOOD_CLIENTS.clients, options)
            self.flood = LoadProcesses(self.gateways[0].address, group)
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
            step.action()

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
                return lambda: None  # DISCOVERY_SILENT: the service sends nothing by itself anyway

    def _close_discovery(self) -> None:
        for gateway in self.gateways:
            gateway.close_discovery()

    def _drain(self, number: int) -> None:
        sent_at = time.monotonic()
        if self._send_change((f"s-{number}", self.engines[number].address, "draining")):
            self.drained_at[number] = sent_at

    def _replace(self, number: int) -> None:
        """Close an engine, and start another one cold with an id of its own."""
        self.replaced.append(self.engines[number])
        self.engines[number].close()
        new_number = ENGINES + number
        self.engines[number] = SoakEngine(new_number, self.plan.seed * 100 + new_number)
        now_ms = int(time.time() * 1000)
        self._send_change((f"s-{number}", self.replaced[-1].address, "gone"))
        self._send_change((f"s-{new_number}", self.engines[number].address, "ready"), started_ms=now_ms)

    def _send_change(self, member: tuple[str, str, str], **options: Any) -> bool:
        """Send a change of the endpoint list to all gateways; return whether all of them were sent it.

        member, options: arguments of endpoint_list_event().
        """
        self.last_index += 1
        try:
            for gateway in self.gateways:
                gateway.discovery.send(endpoint_list_event(self.last_index, member, **options))
        except (OSError, AssertionError):  # the service is closed, or a gateway no longer follows it
            return False
        return True

    def _signal_step(self, number: signal.Signals) -> Callable[[], None]:
        return lambda: self._send_signal(number)

    def _send_signal(self, number: signal.Signals) -> None:
        now = time.monotonic()
        if number == signal.SIGTERM and not self.terminated_at:
            self.terminated_at = now
        if number == signal.SIGSTOP:
            self.suspended_at = now
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.process.send_signal(number)
        if number == signal.SIGCONT:
            self.suspensions.append(Suspension(self.suspended_at, time.monotonic()))

    def _stop_connecting(self) -> None:
        for client in self.clients:
            client.may_connect = False

    def _await_ends(self) -> list[Violation]:
        """Wait for the gateways' ends until SIGKILL is allowed; return late ends and bad exit statuses."""
        found = []
        for gateway in self.gateways:
            remaining_s = self.terminated_at + self.plan.kill_at_s - time.monotonic()
            try:
                status = gateway.process.wait(max(0.0, remaining_s))
            except subprocess.TimeoutExpired:
                found.append(
                    Violation(Kind.LATE_END, f"still running {self.plan.kill_at_s:.1f} s after SIGTERM")
                )
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
        for sock in self.idle_connections:
            sock.close()
        for engine in (*self.engines, *self.replaced):
            engine.close()


def _write(path: Path, text: str) -> Path:
    path.write_text(text)
    return path


def run_plan(plan: Plan, command: Sequence[str] = GATEWAY_COMMAND) -> Outcome:
    """Run one plan in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="gullhold-soak-") as folder:
        return SoakRun(plan, Path(folder), command).run()
