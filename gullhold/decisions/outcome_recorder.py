"""Passes the outcomes of attempts on to the components that adapt to them."""

from gullhold.decisions.command import Command, CommandState
from gullhold.decisions.concurrency_limit import ConcurrencyLimit
from gullhold.decisions.engine import Engine
from gullhold.decisions.engine_health import EngineHealth
from gullhold.decisions.estimators import MIN_PACE, Estimates
from gullhold.decisions.fair_queue import FairQueue
from gullhold.decisions.moving_average import SMOOTHING_FACTOR
from gullhold.decisions.placement import Placement
from gullhold.decisions.thread_use import ThreadUse
from gullhold.interface import Agreement, Outcome

# Outcomes after which the latency of the attempt tells how long it has run.
MEASURED_OUTCOMES = frozenset((Outcome.ANSWERED, Outcome.TIMED_OUT, Outcome.CANCELLED))


class OutcomeRecorder:
    """Updates engines, profiles, limits and the queue, in a fixed order, when an attempt has ended."""

    def __init__(
        self,
        agreement: Agreement,
        estimates: Estimates,
        health: EngineHealth,
        limits: ConcurrencyLimit,
        thread_use: ThreadUse,
        queue: FairQueue,
        placement: Placement,
    ) -> None:
        self._supports_cancel = agreement.supports_cancel
        self._estimates = estimates
        self._health = health
        self._limits = limits
        self._thread_use = thread_use
        self._queue = queue
        self._placement = placement

    def record(
        self,
        command: Command,
        engine: Engine,
        outcome: Outcome,
        latency_us: int,
        cost: float,
        need_mb: float,
        now: int,
    ) -> None:
        """Record an ended attempt. cost: its work (core-us), need_mb: its memory; 0: unknown.

        If attempts can't be cancelled, one that timed out may still run: it counts as a failure of its engine
        and keeps its threads for a while. If they can be cancelled, a timeout counts only with its pace,
        which shows an overload.
        """
        may_still_run = outcome == Outcome.TIMED_OUT and not self._supports_cancel
        if may_still_run:
            self._thread_use.hold_timed_out(engine, command.threads, command.sent_at, now)
        self._health.record_outcome(engine, outcome, may_still_run, now)
        if outcome == Outcome.OVERLOADED or may_still_run:
            self._limits.record_overload()
        elif outcome == Outcome.ANSWERED:
            self._limits.record_answer()
        if outcome in MEASURED_OUTCOMES and command.state != CommandState.ORPHANED:
            self._record_run(command, engine, outcome, latency_us, cost or command.work, need_mb, now)

    def _record_run(
        self,
        command: Command,
        engine: Engine,
        outcome: Outcome,
        latency_us: int,
        work: float,
        need_mb: float,
        now: int,
    ) -> None:
        """Record need, work and pace of an attempt that has run and whose client has not left."""
        estimate = self._estimates.by_profile[command.profile_index]
        estimate.attempts += 1
        smoothing = max(SMOOTHING_FACTOR, 1 / (2 + estimate.attempts))
        if need_mb and command.need_mb:
            estimate.record_need(need_mb / command.need_mb, smoothing)
        # Attempts without an answer have a pace too: if they were left out, an overload would not show.
        pace = max(latency_us * command.threads / work, MIN_PACE)
        # An attempt that ended without an answer before its usual run time is ignored, as it would count as
        # fast: the attempts of clients that give up early made overloaded engines look idle to all gateways.
        if outcome != Outcome.ANSWERED and pace < estimate.pace:
            return
        if outcome == Outcome.ANSWERED:
            self._placement.record_answer(command.dataset, engine)
            estimate.record_answer(work, command.work, pace)
            engine.sample_work += work
        self._health.record_pace(engine, work, pace, estimate.pace, now)
        estimate.record_pace(pace, smoothing)
        weight = self._limits.record_pace(work, pace, estimate.best_pace)
        self._queue.record_pace(command.tenant, pace)
        self._limits.adapt(engine, weight, bool(self._queue.by_tenant), now)
