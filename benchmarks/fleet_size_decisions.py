"""The time that the decision module takes for a command and for a change of the endpoint list."""

import time
from random import Random
from typing import NamedTuple

from gullhold.agreement import read_agreement
from gullhold.decisions.gateway import Gateway
from gullhold.interface import Dispatch, EngineEntry, EngineState, Outcome, Result
from gullhold.testing.deployment import config

COMMANDS = 3000
CHANGE_EVERY = 30  # commands between replacements of an engine, each of which is two list changes
GATEWAYS = 50
ARRIVAL_INTERVAL_US = 40_000
TIMEOUT_US = 2_000_000
WORK_US = 5_000
NEED_MB = 10  # memory that a command needs
MIN_ATTEMPT_US = 5_000
MAX_ATTEMPT_US = 200_000
ENGINE_ID_FACTOR = 7919  # spreads the ids of engines, as in a real list


class DecisionTimes(NamedTuple):
    """Mean time of the decision module in us: of a command from arrival to end, and of a list change."""

    us_per_command: float
    us_per_list_change: float


class OpenAttempt(NamedTuple):
    """An attempt of a command. ends_at, sent_at: us of simulated time."""

    ends_at: int
    command: int
    sent_at: int


class DecisionRun:
    """Runs a gateway's decision module with evenly spaced commands and engines that are replaced."""

    def __init__(self, engines: int, cores: float, datasets: int, seed: int) -> None:
        """Add the engines. cores: of all engines together; datasets: groups of tables that commands read."""
        self.draw = Random(seed)
        agreement = read_agreement(config()["settings"] | {"balancers": GATEWAYS})
        agreement = agreement._replace(cores_by_kind=(cores / engines,))
        self.gateway = Gateway(seed, agreement, 0)
        self.datasets = datasets
        self.now = 5_000_000
        self.attempts: list[OpenAttempt] = []
        self.engines = list(range(engines))
        self.next_engine = engines
        entries = [_entry(engine, EngineState.READY, 0) for engine in self.engines]
        self.gateway.update_engines(self.now, entries, True)

    def submit(self, command: int) -> float:
        """Submit a command and end the attempts that are due; returns the decision module's time in s."""
        self.now += ARRIVAL_INTERVAL_US
        began = time.perf_counter()
        timeout_at = self.now + TIMEOUT_US
        dataset = command % self.datasets
        results = self.gateway.submit(
            self.now, command, 0, 0, 0, timeout_at, WORK_US, float(NEED_MB), dataset, True
        )
        for attempt in [attempt for attempt in self.attempts if attempt.ends_at <= self.now]:
            self.attempts.remove(attempt)
            results = results + self._end(attempt)
        spent_s = time.perf_counter() - began
        for result in results:
            if isinstance(result, Dispatch):
                ends_at = self.now + self.draw.randrange(MIN_ATTEMPT_US, MAX_ATTEMPT_US)
                self.attempts.append(OpenAttempt(ends_at, result.command, self.now))
        return spent_s

    def _end(self, attempt: OpenAttempt) -> list[Result]:
        latency_us = attempt.ends_at - attempt.sent_at
        return self.gateway.attempt_ended(
            self.now, attempt.command, 0, Outcome.ANSWERED, False, latency_us, WORK_US, NEED_MB, ()
        )

    def replace_engine(self) -> float:
        """Remove an engine and add a new one; returns the time in s that the decision module took."""
        place = self.draw.randrange(len(self.engines))
        self.next_engine += 1
        removed = _entry(self.engines[place], EngineState.REMOVED, 0)
        started = _entry(self.next_engine, EngineState.READY, self.now)
        began = time.perf_counter()
        for entry in (removed, started):
            self.gateway.update_engines(self.now, [entry], False)
        spent_s = time.perf_counter() - began
        self.engines[place] = self.next_engine
        return spent_s


def _entry(engine: int, state: EngineState, started_us: int) -> EngineEntry:
    return EngineEntry(engine * ENGINE_ID_FACTOR, 0, 1.0, 0, state, 0, started_us)


def measure_decisions(engines: int, cores: float, datasets: int, seed: int) -> DecisionTimes:
    """Submit COMMANDS commands while engines are replaced, and return the mean times.

    engines, cores, datasets, seed: as for DecisionRun.
    """
    run = DecisionRun(engines, cores, datasets, seed)
    submitting_s = 0.0
    changing_s = 0.0
    changes = 0
    for command in range(COMMANDS):
        submitting_s += run.submit(command)
        if command % CHANGE_EVERY == 0:
            changing_s += run.replace_engine()
            changes += 2
    return DecisionTimes(submitting_s / COMMANDS * 1e6, changing_s / changes * 1e6)
