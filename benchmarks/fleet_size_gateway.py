"""One gateway process under traffic while most of its engines are replaced."""

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from threading import Thread
from typing import Any, NamedTuple

from gullhold.net import thrift
from gullhold.testing import WAIT_TIMEOUT_S
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config, endpoint_list_event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.many_engines import ManyEngines
from gullhold.testing.running import ROOT, cpu_s, free_address, serving_status

CORES = 1280.0  # cores of all engines together, whatever their number
GATEWAYS = 50
REPLACED_SHARE = 0.6  # share of the engines that are replaced within RAMP_S
RAMP_S = 7.0
AROUND_RAMP_S = 2.0  # duration of the traffic before the ramp, and of that after it
RATE_PER_S = 25.0  # requests; a gateway in production receives some tens per second
TIMEOUT_MS = 2000  # client timeout of each request
DATASETS = 40  # groups of tables that requests read
LIST_INTERVAL_S = 0.05  # least time between two groups of watch events
DESCRIPTOR_POLL_S = 0.2
REQUEST_POLL_S = 0.005  # time between checks whether a request is due
STARTUP_POLL_S = 0.05
MAX_FRAME_BYTES = 1 << 20

Address = tuple[str, int]


class GatewayFigures(NamedTuple):
    """What a gateway needed.

    list_bytes: size of the watch events sent to it; descriptors, memory_mb: peaks; connections: accepted by
    all engines over the run; served: the share of requests answered with a result.
    """

    list_bytes: int
    descriptors: int
    cpu_s: float
    memory_mb: float
    connections: int
    served: float


class Traffic(Thread):
    """Sends requests at an even rate on one connection for a given time; counts requests and answers."""

    def __init__(self, address: Address, seconds: float, seed: int) -> None:
        super().__init__(daemon=True)
        self.caller = BlockingClient(address)
        self.seconds = seconds
        self.draw = Random(seed).random
        self.sent = 0
        self.answered = 0

    def run(self) -> None:
        """Send the requests, then wait for the last answers until their timeout."""
        reader = Thread(target=self._read, daemon=True)
        reader.start()
        began = time.monotonic()
        while (elapsed_s := time.monotonic() - began) < self.seconds:
            if self.sent <= elapsed_s * RATE_PER_S:
                group = int(self.draw() * DATASETS)
                statement = b"select a from sales_%d.t" % group
                self.caller.send_command("read", TIMEOUT_MS, txn=b"%016x" % (self.sent + 1), body=statement)
                self.sent += 1
            time.sleep(REQUEST_POLL_S)
        reader.join(TIMEOUT_MS / 1000)
        self.caller.sock.close()

    def _read(self) -> None:
        decoder = thrift.Decoder(MAX_FRAME_BYTES)
        try:
            while decoder.buffer.receive(self.caller.sock):
                for frame in decoder.frames():
                    message = thrift.decode_message(frame, thrift.REPLY, thrift.EXCEPTION)
                    self.answered += (0, thrift.STRUCT) in message.fields
        except OSError:  # the connection was closed
            return


class EngineReplacer(Thread):
    """Sends watch events that replace engines one after another within RAMP_S, after AROUND_RAMP_S.

    Engine number N is replaced by engine number `size` + N. list_bytes: size of the events so far.
    """

    def __init__(self, discovery_service: DiscoveryService, addresses: list[str], size: int) -> None:
        super().__init__(daemon=True)
        self.discovery_service = discovery_service
        self.addresses = addresses
        self.size = size
        self.list_bytes = 0
        self.index = 1  # index of the last event

    def run(self) -> None:
        """Send each event when it is due; events that are due within LIST_INTERVAL_S are sent together."""
        time.sleep(AROUND_RAMP_S)
        began = time.monotonic()
        count = int(self.size * REPLACED_SHARE)
        for number in range(count):
            wait_s = began + RAMP_S * number / count - time.monotonic()
            if wait_s > LIST_INTERVAL_S:
                time.sleep(wait_s)
            self._replace(number)

    def _replace(self, number: int) -> None:
        started_ms = int(time.time() * 1000)
        new = self.size + number
        self._send((f"s-{number}", self.addresses[number], "gone"), 0)
        self._send((f"s-{new}", self.addresses[new], "ready"), started_ms)

    def _send(self, member: tuple[str, str, str], started_ms: int) -> None:
        self.index += 1
        watch_event = endpoint_list_event(self.index, member, started_ms=started_ms)
        self.discovery_service.send(watch_event)
        self.list_bytes += len(json.dumps(watch_event)) + 1


def peak_descriptors(pid: int, seconds: float) -> int:
    """The largest number of open file descriptors of a process, polled for the given time."""
    peak = 0
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        peak = max(peak, len(os.listdir(f"/proc/{pid}/fd")))
        time.sleep(DESCRIPTOR_POLL_S)
    return peak


def peak_memory_mb(pid: int) -> float:
    """The peak resident memory of a process."""
    rows = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
    return int(rows["VmHWM"].split()[0]) / 1024


def run_size(size: int, seed: int) -> GatewayFigures:
    """Run one gateway with the given number of engines and return its figures."""
    discovery_service = DiscoveryService()
    engines = ManyEngines(size + int(size * REPLACED_SHARE))
    try:
        configuration = _configuration(discovery_service, engines, size)
        with run_gateway(configuration) as process:
            return _measure(process, configuration, discovery_service, engines, size, seed)
    finally:
        engines.close()


def _configuration(discovery_service: DiscoveryService, engines: ManyEngines, size: int) -> dict[str, Any]:
    """The gateway's configuration: it lists the first `size` engines and names the discovery service."""
    configuration = config() | {"listen": free_address(), "coordinator": discovery_service.address}
    members = [(f"s-{number}", engines.addresses[number], "ready") for number in range(size)]
    configuration["known"] = {"index": 1, "updates": [endpoint_list_event(1, *members, is_complete=True)]}
    configuration["settings"]["domain"]["cores_by_kind"] = [CORES / size]
    configuration["settings"]["balancers"] = GATEWAYS
    return configuration


def _address(configuration: dict[str, Any]) -> Address:
    host, _, port = configuration["listen"].rpartition(":")
    return host, int(port)


@contextmanager
def run_gateway(configuration: dict[str, Any]) -> Iterator[subprocess.Popen[bytes]]:
    """Start a gateway, wait until it serves, and kill it on leaving.

    Raises RuntimeError with the gateway's log if it does not serve in time.
    """
    with tempfile.TemporaryDirectory(prefix="gullhold-size-") as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration))
        log_path = Path(folder) / "log"
        with open(log_path, "wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "gullhold", "serve"],
                cwd=ROOT,
                stderr=log,
                env=os.environ | {"GW_CONFIG": str(path), "MALLOC_ARENA_MAX": "1"},
            )
        try:
            _wait_until_serving(_address(configuration), log_path)
            yield process
        finally:
            process.kill()
            process.wait()


def _wait_until_serving(address: Address, log_path: Path) -> None:
    ends_at = time.monotonic() + WAIT_TIMEOUT_S
    while not serving_status(address):
        if time.monotonic() > ends_at:
            raise RuntimeError(
                f"no gateway serves at {address} after {WAIT_TIMEOUT_S} s: {log_path.read_text()}"
            )
        time.sleep(STARTUP_POLL_S)


def _measure(
    process: subprocess.Popen[bytes],
    configuration: dict[str, Any],
    discovery_service: DiscoveryService,
    engines: ManyEngines,
    size: int,
    seed: int,
) -> GatewayFigures:
    """Send traffic while engines are replaced, then read the figures of the gateway's process."""
    seconds = RAMP_S + 2 * AROUND_RAMP_S
    traffic = Traffic(_address(configuration), seconds, seed)
    replacement = EngineReplacer(discovery_service, engines.addresses, size)
    traffic.start()
    replacement.start()
    descriptors = peak_descriptors(process.pid, seconds)
    traffic.join()
    replacement.join()
    return GatewayFigures(
        list_bytes=replacement.list_bytes,
        descriptors=descriptors,
        cpu_s=cpu_s(process.pid),
        memory_mb=peak_memory_mb(process.pid),
        connections=engines.accepted,
        served=traffic.answered / traffic.sent,
    )
