"""Threads of engines that this gateway's attempts hold, also those that run on after a timeout."""

from typing import NamedTuple

from gullhold.decisions.engine import Engine

RUN_ON_AGES = 2.0  # ages that a timed-out attempt is taken to run on, where none can be cancelled


class RunningOn(NamedTuple):
    """An attempt that timed out and may still run."""

    until: float  # us
    engine: Engine
    started_us: int  # of the engine's process that ran it
    threads: int


class ThreadUse:
    """The threads held, by engine (in Engine.threads) and in all."""

    def __init__(self) -> None:
        self.total = 0
        self.running_on: list[RunningOn] = []

    def occupy(self, engine: Engine, threads: int) -> None:
        """An attempt holds threads of an engine."""
        engine.threads += threads
        engine.attempts += 1
        self.total += threads

    def vacate(self, engine: Engine, threads: int) -> None:
        """An attempt holds them no more."""
        engine.threads -= threads
        engine.attempts -= 1
        self.total -= threads

    def hold_timed_out(self, engine: Engine, threads: int, sent_at: int, now: int) -> None:
        """An attempt timed out where none can be cancelled: its work goes on for a while.

        Guards against feeding an engine that jams. Harm: what a dead engine lost holds room.
        """
        until = now + RUN_ON_AGES * (now - sent_at)
        self.running_on.append(RunningOn(until, engine, engine.started_us, threads))
        self.occupy(engine, threads)

    def release_ended(self, now: int) -> None:
        """What has run on until now has ended, as has what ran on an engine that has restarted."""
        if not self.running_on:
            return
        left = []
        for attempt in self.running_on:
            if attempt.until <= now or attempt.started_us != attempt.engine.started_us:
                self.vacate(attempt.engine, attempt.threads)
            else:
                left.append(attempt)
        self.running_on = left
