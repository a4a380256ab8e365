"""What a gateway needs over 3,200 engines against 80: the same traffic, capacity, ramp and replacement.

A real gateway (a process of its own) on loopback, told by a stand-in coordinator of six in ten engines that
are replaced within seven seconds. The bounds are those of the users' page on the standing test. Two figures,
the module's time for a command and for a change of the list, are taken in this process.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from statistics import median
from threading import Thread

from benchmarks import ROOT, close
from gullhold.agreement import read_agreement
from gullhold.decisions.gateway import Gateway
from gullhold.interface import Dispatch, EngineEntry, EngineState, Outcome
from gullhold.net import thrift
from gullhold.net.buffer import Buffer
from gullhold.testing import PATIENCE_S
from gullhold.testing.client import Caller
from gullhold.testing.deployment import config, event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.many_engines import ManyEngines
from gullhold.testing.running import cpu_s, free_address, serving_status

SIZES = (80, 3200)
CORES = 1280.0  # of all engines together: the same at every size
REPLACED = 0.6  # part of the engines that are replaced ...
RAMP_S = 7.0  # ... within so many seconds
AROUND_S = 2.0  # s of traffic before and after
RATE_PER_S = 25.0  # requests: some tens a second is what a gateway sees
LIMIT_MS = 2000  # of a request
STEP_S = 0.05  # s between pieces of news
DATASETS = 40  # groups of tables that requests read
THOUSANDS = SIZES[1] / 1000
BOUNDS = {
    "cpu_extra_s": 0.02 + 0.12 * THOUSANDS,  # over 1.4 times
    "memory_extra_mb": 8.0 + 4.0 * THOUSANDS,  # over 1.5 times
    "descriptors_extra": 40.0,  # over twice
    "connections_extra": 40.0,  # over 2.5 times
    "list_bytes_extra_kb": 64.0 + 500.0 * THOUSANDS,  # over twice
    "served_ratio": (0.85, "least"),
    "us_per_list_change_ratio": 1.5,
    "us_per_command_ratio": 1.5,
}


class Traffic(Thread):
    """Requests at an even rate on one connection; asked and answered count."""

    def __init__(self, address, seconds, seed):
        super().__init__(daemon=True)
        self.caller, self.seconds, self.draw = Caller(address), seconds, Random(seed).random
        self.asked = self.answered = 0

    def run(self):
        reader = Thread(target=self._read, daemon=True)
        reader.start()
        began = time.monotonic()
        while (now := time.monotonic() - began) < self.seconds:
            if self.asked <= now * RATE_PER_S:
                group = int(self.draw() * DATASETS)
                body = b"select a from sales_%d.t" % group
                self.caller.ask("read", LIMIT_MS, txn=b"%016x" % (self.asked + 1), body=body)
                self.asked += 1
            time.sleep(0.005)
        reader.join(LIMIT_MS / 1000)
        self.caller.sock.close()

    def _read(self):
        buffer = Buffer(1 << 20)
        decoder = thrift.Decoder(1 << 20)
        decoder.buffer = buffer
        try:
            while buffer.receive(self.caller.sock):
                for frame in decoder.frames():
                    message = thrift.decode_message(frame, thrift.REPLY, thrift.EXCEPTION)
                    self.answered += (0, thrift.STRUCT) in message.fields
        except OSError:  # the end
            return


def watch(pid, seconds):
    """The most descriptors of a process over so many seconds."""
    most, end = 0, time.monotonic() + seconds
    while time.monotonic() < end:
        most = max(most, len(os.listdir(f"/proc/{pid}/fd")))
        time.sleep(0.2)
    return most


def peak_mb(pid):
    """The most memory that a process had."""
    rows = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
    return int(rows["VmHWM"].split()[0]) / 1024


def replace(feed, addresses, size, first_new):
    """Tell of engines that go, and of others that start in their place; the bytes that it took."""
    count, told, index, began = int(size * REPLACED), 0, 1, time.monotonic()
    for n in range(count):
        due = began + RAMP_S * n / count
        if due - time.monotonic() > STEP_S:
            time.sleep(due - time.monotonic())
        started_ms = int(time.time() * 1000)
        for news in (
            event(index + 1, (f"s-{n}", addresses[n], "gone")),
            event(
                index + 2, (f"s-{first_new + n}", addresses[first_new + n], "ready"), started_ms=started_ms
            ),
        ):
            feed.send(news)
            told += len(json.dumps(news)) + 1
        index += 2
    return told


def played(size, seed):
    """Figures of one gateway over so many engines."""
    feed, extra = DiscoveryService(), int(size * REPLACED)
    swarm = ManyEngines(size + extra)
    try:
        told = config() | {"listen": free_address(), "coordinator": feed.address}
        members = [(f"s-{n}", swarm.addresses[n], "ready") for n in range(size)]
        told["known"] = {"index": 1, "updates": [event(1, *members, whole=True)]}
        told["settings"]["domain"]["cores_by_kind"] = [CORES / size]
        told["settings"]["balancers"] = 50
        with tempfile.TemporaryDirectory(prefix="gullhold-size-") as folder:
            return measured(Path(folder), told, feed, swarm, size, seed)
    finally:
        swarm.close()


def measured(folder, told, feed, swarm, size, seed):
    """Start the gateway, play traffic and the ramp, and take its figures."""
    path = folder / "config.json"
    path.write_text(json.dumps(told))
    host, _, port = told["listen"].rpartition(":")
    with open(folder / "log", "wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "gullhold", "serve"],
            cwd=ROOT,
            stderr=log,
            env=os.environ | {"GW_CONFIG": str(path), "MALLOC_ARENA_MAX": "1"},
        )
    try:
        end = time.monotonic() + PATIENCE_S
        while not serving_status((host, int(port))):
            if time.monotonic() > end:
                raise RuntimeError(f"the gateway did not come up: {(folder / 'log').read_text()}")
            time.sleep(0.05)
        seconds = RAMP_S + 2 * AROUND_S
        traffic, found = Traffic((host, int(port)), seconds, seed), {}
        news = Thread(
            target=lambda: (
                time.sleep(AROUND_S),
                found.update(list_bytes=replace(feed, swarm.addresses, size, size)),
            ),
            daemon=True,
        )
        traffic.start()
        news.start()
        found["descriptors"] = watch(process.pid, seconds)
        traffic.join()
        news.join()
        return found | {
            "cpu_s": cpu_s(process.pid),
            "memory_mb": peak_mb(process.pid),
            "connections": swarm.accepted,
            "served": traffic.answered / traffic.asked,
        }
    finally:
        process.kill()
        process.wait()


def module(size, seed, commands=3000, change_every=30):
    """(us of the module for a command from its arrival to its end, and for a change of the list)."""
    random, agreement = Random(seed), read_agreement(config()["settings"] | {"balancers": 50})
    agreement = agreement._replace(cores_by_kind=(CORES / size,))
    gateway, now, serial, out = Gateway(seed, agreement, 0), 5_000_000, size, []
    ids = list(range(size))
    gateway.update_engines(
        now, [EngineEntry(n * 7919, 0, 1.0, 0, EngineState.READY, 0, 0) for n in ids], True
    )
    spent, changing, changes = 0.0, 0.0, 0
    for command in range(commands):
        now += 40_000
        began = time.perf_counter()
        results = gateway.submit(
            now, command, 0, 0, 0, now + 2_000_000, 5_000, 10.0, command % DATASETS, True
        )
        for ended in [entry for entry in out if entry[0] <= now]:
            out.remove(ended)
            at, number, sent_at = ended
            results = results + gateway.attempt_ended(
                now, number, 0, Outcome.ANSWERED, False, at - sent_at, 5_000, 10, ()
            )
        spent += time.perf_counter() - began
        sent = [result.command for result in results if isinstance(result, Dispatch)]
        out += [(now + random.randrange(5_000, 200_000), number, now) for number in sent]
        if command % change_every == 0:
            place, serial = random.randrange(size), serial + 1
            gone = EngineEntry(ids[place] * 7919, 0, 1.0, 0, EngineState.REMOVED, 0, 0)
            new = EngineEntry(serial * 7919, 0, 1.0, 0, EngineState.READY, 0, now)
            began = time.perf_counter()
            for row in (gone, new):
                gateway.update_engines(now, [row], False)
            changing, changes, ids[place] = changing + time.perf_counter() - began, changes + 2, serial
    return spent / commands * 1e6, changing / changes * 1e6


def main():
    """All of it; the last line is JSON."""
    parser = argparse.ArgumentParser(prog="benchmarks.fleet_size", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    figures, rounds = {"quick": args.quick, "seed": args.seed}, 1 if args.quick else 3
    seen = {}
    for size in SIZES:
        rows = [played(size, args.seed + turn) for turn in range(rounds)]
        seen[size] = {name: median(row[name] for row in rows) for name in rows[0]}
        alone = [module(size, args.seed + turn) for turn in range(max(3, rounds))]
        seen[size] |= {
            "us_per_command": min(row[0] for row in alone),
            "us_per_list_change": min(row[1] for row in alone),
        }
        print(size, {name: round(value, 2) for name, value in seen[size].items()}, flush=True)
    small, large = (seen[size] for size in SIZES)
    figures |= {f"{name}_ratio": round(large[name] / small[name], 3) for name in small}
    for name, times, unit in (
        ("cpu_s", 1.4, "cpu_extra_s"),
        ("memory_mb", 1.5, "memory_extra_mb"),
        ("descriptors", 2, "descriptors_extra"),
        ("connections", 2.5, "connections_extra"),
    ):
        figures[unit] = round(large[name] - times * small[name], 3)
    figures["list_bytes_extra_kb"] = round((large["list_bytes"] - 2 * small["list_bytes"]) / 1000, 1)
    figures |= {"cpu_ratio": figures.pop("cpu_s_ratio"), "memory_ratio": figures.pop("memory_mb_ratio")}
    close(figures, BOUNDS)


if __name__ == "__main__":
    main()
