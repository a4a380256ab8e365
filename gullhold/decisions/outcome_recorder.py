"""Updates the estimates for an engine, a profile and the fleet when an attempt has ended."""

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

# Outcomes after which the run time of the attempt is known.
TIMED_OUTCOMES = frozenset((Outcome.ANSWERED, Outcome.TIMED_OUT, Outcome.CANCELLED))


class OutcomeRecorder:
    """Passes ended attempts on to the components that learn from them, in a fixed order."""

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

        If attempts can't be cancelled, the work of a timed-out one goes on: it counts against its engine and
        keeps its threads. If they can, a timeout is a sign of overload only.
        """
        may_still_run = outcome == Outcome.TIMED_OUT and not self._supports_cancel
        if may_still_run:
            self._thread_use.hold_timed_out(engine, command.threads, command.sent_at, now)
        self._health.record_outcome(engine, outcome, may_still_run, now)
        if outcome == Outcome.OVERLOADED or may_still_run:
            self._limits.record_loss()
        elif outcome == Outcome.ANSWERED:
            self._limits.record_answer()
        if outcome in TIMED_OUTCOMES and command.state != CommandState.ORPHANED:
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
        """Learn from an attempt whose run time is known and whose client has not left."""
        estimate = self._estimates.by_profile[command.profile_index]
        estimate.attempts += 1
        smoothing = max(SMOOTHING_FACTOR, 1 / (2 + estimate.attempts))
        if need_mb and command.need_mb:
            estimate.record_need(need_mb / command.need_mb, smoothing)
        # Attempts without an answer have a pace too: otherwise an overload would be hidden.
        pace = max(latency_us * command.threads / work, MIN_PACE)
        # One that ended sooner than the usual run is ignored, as it would count as fast. Guards against
        # clients that give up early, whose attempts made overloaded engines look idle to every gateway.
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
