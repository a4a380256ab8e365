"""Threads of engines in use by this gateway's attempts, also by those that run on after a timeout."""

from typing import NamedTuple

from gullhold.decisions.engine import Engine

TIMED_OUT_HOLD_AGES = (
    2.0  # assumed time that a timed-out attempt runs on, in its ages, if none can be cancelled
)


class TimedOutAttempt(NamedTuple):
    """An attempt that timed out and may still run."""

    until: float  # us
    engine: Engine
    started_us: int  # of the engine's process that ran it
    threads: int


class ThreadUse:
    """Threads in use, by engine (in Engine.threads) and in total."""

    def __init__(self) -> None:
        self.total = 0
        self.timed_out: list[TimedOutAttempt] = []

    def occupy(self, engine: Engine, threads: int) -> None:
        """Count the threads of an attempt that begins."""
        engine.threads += threads
        engine.attempts += 1
        self.total += threads

    def vacate(self, engine: Engine, threads: int) -> None:
        """Release the threads of an attempt that has ended."""
        engine.threads -= threads
        engine.attempts -= 1
        self.total -= threads

    def hold_timed_out(self, engine: Engine, threads: int, sent_at: int, now: int) -> None:
        """Keep the threads of a timed-out attempt in use for a while, as its work can't be cancelled.

        Guards against new work for an overloaded engine. Harm: work that a dead engine has lost takes
        capacity.
        """
        until = now + TIMED_OUT_HOLD_AGES * (now - sent_at)
        self.timed_out.append(TimedOutAttempt(until, engine, engine.started_us, threads))
        self.occupy(engine, threads)

    def release_ended(self, now: int) -> None:
        """Release the threads of attempts that ran on until now, or on an engine that has restarted."""
        if not self.timed_out:
            return
        remaining = []
        for attempt in self.timed_out:
            if attempt.until <= now or attempt.started_us != attempt.engine.started_us:
                self.vacate(attempt.engine, attempt.threads)
            else:
                remaining.append(attempt)
        self.timed_out = remaining
