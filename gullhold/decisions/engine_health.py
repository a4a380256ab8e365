"""Health of engines: failure rate, stalled attempts, and pace compared with what is usual."""

from gullhold.decisions.engine import Engine
from gullhold.decisions.estimators import Estimates
from gullhold.decisions.median import median
from gullhold.decisions.moving_average import SMOOTHING_FACTOR, decay_factor
from gullhold.decisions.ranking import EngineList
from gullhold.interface import Outcome

# An engine is an outlier if its failure rate is more than OUTLIER_RATE above OUTLIER_MEDIAN_FACTOR times the
# median failure rate of all ready engines.
OUTLIER_RATE = 0.15  # share of failures
OUTLIER_MEDIAN_FACTOR = 2
CAUTIOUS_FACTOR = 0.7  # factor of OUTLIER_RATE for commands that are long or not idempotent
UNANSWERED_SMOOTHING = 0.3  # weight of a failure without an answer from the engine: it costs the most time
MIN_FAILURE_RATE = 1e-4  # a failure rate that has decayed to this or less counts as 0
OVERLOADED_US = 2_000_000  # us without new attempts on an overloaded engine: the time of a few status notes
MAX_SLOWNESS = 10.0  # highest slowness that one attempt counts with: bounds its influence

FAILURES = frozenset((Outcome.ERROR, Outcome.RESET))


class EngineHealth:
    """Failure rates, stalled attempts and slowness of engines, and the median failure rate."""

    def __init__(self, ready: EngineList, estimates: Estimates) -> None:
        self._ready = ready
        self._estimates = estimates
        self._failing: set[Engine] = set()  # engines with failures
        self._stalled: set[Engine] = set()  # engines with stalled attempts
        self.median_failure_rate = 0.0  # median of the ready engines' failure rates

    def record_listed(self, engine: Engine) -> None:
        """Add an engine that is ready again to those with failures, if attempts on it have failed."""
        if engine in self._ready and engine.failure_rate:
            self._failing.add(engine)

    def forget(self, engine: Engine) -> None:
        """Drop an engine that nothing refers to any more."""
        self._failing.discard(engine)
        self._stalled.discard(engine)

    def failure_rate(self, engine: Engine, now: int) -> float:
        """Return the share of the engine's attempts that failed, decayed to the present."""
        if not engine.failure_rate:
            return 0.0
        return engine.failure_rate * decay_factor(engine.failure_rate_at, now)

    def slowness(self, engine: Engine, now: int) -> float:
        """Return how many times slower the engine is than usual for the profiles it ran; decays to 1."""
        if not engine.completed_work:
            return 1.0
        decay = decay_factor(engine.completed_at, now)
        prior_work = self._estimates.smallest_usual_work  # keeps the ratio near 1 while little was observed
        slow_work = prior_work + engine.completed_slow_work * decay
        return slow_work / (prior_work + engine.completed_work * decay)

    def is_outlier(self, engine: Engine, tolerates_failure: bool, now: int) -> bool:
        """Whether the engine fails far more often than the median engine.

        tolerates_failure: the engine is to run a short, idempotent command, for which a failure costs little.
        """
        tolerance = OUTLIER_RATE * (1 if tolerates_failure else CAUTIOUS_FACTOR)
        return self.failure_rate(engine, now) > tolerance + OUTLIER_MEDIAN_FACTOR * self.median_failure_rate

    def record_outcome(self, engine: Engine, outcome: Outcome, may_still_run: bool, now: int) -> None:
        """Record how an attempt ended. may_still_run: it timed out, and the engine may still run it."""
        is_unanswered = may_still_run or outcome == Outcome.CONNECT_FAILED
        is_failure = is_unanswered or outcome in FAILURES
        if is_failure or outcome == Outcome.ANSWERED:
            rate = self.failure_rate(engine, now)
            smoothing = UNANSWERED_SMOOTHING if is_unanswered else SMOOTHING_FACTOR
            engine.failure_rate_at = now
            engine.failure_rate = rate + smoothing * (is_failure - rate)
            if is_failure:
                self._failing.add(engine)
                self.median_failure_rate = self._median_failure_rate(now)
        if outcome == Outcome.OVERLOADED:
            engine.overloaded_until = now + OVERLOADED_US

    def record_pace(self, engine: Engine, work: float, pace: float, usual_pace: float, now: int) -> None:
        """Record the pace of an ended attempt. work: of the attempt (core-us); usual_pace: of its profile."""
        decay = decay_factor(engine.completed_at, now)
        slowness = min(pace / usual_pace, MAX_SLOWNESS)
        engine.completed_at = now
        engine.completed_work = engine.completed_work * decay + work
        engine.completed_slow_work = engine.completed_slow_work * decay + work * slowness

    def count_stalled(self, engine: Engine, change: int) -> None:
        """Add a stalled attempt of the engine (change: 1), or subtract one that has ended (-1)."""
        engine.stalled_attempts += change
        if engine.stalled_attempts > 0:
            self._stalled.add(engine)
        else:
            self._stalled.discard(engine)

    def is_stalled(self, engine: Engine) -> bool:
        """Whether attempts stall on the engine, but on less than half of all ready engines."""
        if not engine.stalled_attempts:
            return False
        stalled = sum(each in self._ready for each in self._stalled)
        return 2 * stalled < len(self._ready)

    def _median_failure_rate(self, now: int) -> float:
        """Return the median failure rate of the ready engines.

        It is 0, without a scan of all engines, while fewer than half of them have failures.
        """
        if 2 * len(self._failing) >= len(self._ready):
            self._failing = {
                engine
                for engine in self._failing
                if engine in self._ready and self.failure_rate(engine, now) > MIN_FAILURE_RATE
            }
        if not self._ready or 2 * len(self._failing) < len(self._ready):
            return 0.0
        return median([self.failure_rate(engine, now) for engine in self._ready])
