"""Threads that this gateway's attempts use on engines, also those that may still run after a timeout."""

from typing import NamedTuple

from gullhold.decisions.engine import Engine

TIMED_OUT_RUN_FACTOR = 2.0  # a timed-out attempt is assumed to run on for its age times this


class TimedOutAttempt(NamedTuple):
    """An attempt that timed out and is assumed to run on."""

    until: float  # time (us) at which it is assumed to have ended
    engine: Engine
    started_us: int  # start of the engine's process that ran it
    threads: int


class ThreadUse:
    """Counts threads in use, for each engine (in Engine.threads) and in total."""

    def __init__(self) -> None:
        self.total = 0
        self.timed_out: list[TimedOutAttempt] = []

    def occupy(self, engine: Engine, threads: int) -> None:
        """Count the threads of an attempt that starts."""
        engine.threads += threads
        engine.attempts += 1
        self.total += threads

    def vacate(self, engine: Engine, threads: int) -> None:
        """Subtract the threads of an attempt that has ended."""
        engine.threads -= threads
        engine.attempts -= 1
        self.total -= threads

    def hold_timed_out(self, engine: Engine, threads: int, sent_at: int, now: int) -> None:
        """Keep the threads of a timed-out attempt in use for a while, as it can't be cancelled.

        Otherwise an overloaded engine would be given new work while it still runs the old. The price: work
        that a dead engine has lost takes up capacity.
        """
        until = now + TIMED_OUT_RUN_FACTOR * (now - sent_at)
        self.timed_out.append(TimedOutAttempt(until, engine, engine.started_us, threads))
        self.occupy(engine, threads)

    def release_timed_out(self, now: int) -> None:
        """Release the threads of timed-out attempts that are assumed over or whose engine has restarted."""
        if not self.timed_out:
            return
        remaining = []
        for attempt in self.timed_out:
            if attempt.until <= now or attempt.started_us != attempt.engine.started_us:
                self.vacate(attempt.engine, attempt.threads)
            else:
                remaining.append(attempt)
        self.timed_out = remaining
