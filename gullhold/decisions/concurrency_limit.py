"""Limits on the threads that this gateway uses: of each engine, and over the fleet.

An engine's limit is our share of two threads a core, wider where engines report room and narrower where the
engine is slow. Under pressure it follows the paper: throughput is sampled at the limit and at two fractions
of it, and a curve through the samples gives the concurrency of the best throughput.
"""

from gullhold.decisions.command import Command
from gullhold.decisions.engine import Engine, SampleStage
from gullhold.decisions.engine_health import EngineHealth
from gullhold.decisions.engine_registry import EngineRegistry
from gullhold.decisions.estimators import Estimates
from gullhold.decisions.fleet_budgets import FleetBudgets
from gullhold.decisions.load_report import FULL, LoadReports, room
from gullhold.decisions.thread_use import ThreadUse
from gullhold.decisions.throughput_fit import fit_concurrency_limit
from gullhold.decisions.traffic import TrafficMeter
from gullhold.interface import Agreement, BudgetKind

THREADS_PER_CORE = 2.0  # threads; the design's start for the limits
MAX_ENGINE_WIDENING = 4.0  # times that reported room widens the limit of an engine
MAX_FLEET_WIDENING = 2.0  # and that over the fleet
CHANCE_DEVIATIONS = 1.0  # deviations of our threads by chance that the limit over the fleet allows
PRESSURE = 1.8  # pace against the best seen that is pressure: sharing cores in turn explains less
STEADY_COMMANDS = 4.0  # long commands' work that outweighs the newest in the fleet's pace: few end
MAX_SLOWNESS = 10.0  # of one attempt against the best pace: bounds what a single one can say
MIN_PRESSURE_SHARE = 0.5  # of our share that pressure leaves: one thread a core
MAX_PRESSURE_SHARE = 1.25  # more jams all engines
MIN_LONG_SHARE = 0.3  # of a limit, for long commands
MAX_LONG_SHARE = 0.8
LONG_SHARE_LOSS = 0.7  # what a loss leaves of it
LONG_SHARE_GAIN = 0.0015  # what an answer gives back
REFIT_US = 10_000_000  # us between fits, from the design
SAMPLE_US = 800_000  # us of one sample: a few commands end
MIN_SAMPLED_LIMIT = 4  # threads of a limit worth sampling
SAMPLE_PARTS = {  # of the limit, far apart
    SampleStage.AT_LIMIT: 1.0,
    SampleStage.AT_UPPER: 0.7,
    SampleStage.AT_LOWER: 0.4,
}
NEXT_STAGE = {
    SampleStage.AT_LIMIT: SampleStage.AT_UPPER,
    SampleStage.AT_UPPER: SampleStage.AT_LOWER,
    SampleStage.AT_LOWER: SampleStage.NONE,
}


class ConcurrencyLimit:
    """The limits, the pressure that narrows them and the samples taken under it."""

    def __init__(
        self,
        agreement: Agreement,
        engines: EngineRegistry,
        estimates: Estimates,
        health: EngineHealth,
        loads: LoadReports,
        traffic: TrafficMeter,
        budgets: FleetBudgets,
        thread_use: ThreadUse,
    ) -> None:
        self._gateways = agreement.gateways
        self._most_threads = max((profile.threads for profile in agreement.profiles), default=0)
        self._engines = engines
        self._estimates = estimates
        self._health = health
        self._loads = loads
        self._traffic = traffic
        self._budgets = budgets
        self._thread_use = thread_use
        self.pressure_share = 1.0  # of our share, as pressure leaves it
        self.fleet_slowness = 1.0  # pace against the best pace, over all engines
        self.long_share = MAX_LONG_SHARE  # of a limit, for long commands
        self._sampled: Engine | None = None  # one at a time: no swing in step

    def share(self, now: int) -> float:
        """Our share of the fleet's engines."""
        budget = self._budgets.share(BudgetKind.TRAFFIC_SHARE, 0)
        if budget is not None:
            return self.pressure_share * budget.limit() / 1e6
        return self._traffic.share_of(self.pressure_share, now)

    def engine_limit(self, engine: Engine, now: int) -> float:
        """The limit on our threads there; under pressure the fit, or the sample being taken."""
        budget = self._budgets.share(BudgetKind.THREADS, engine.id)
        limit = budget.limit() if budget is not None else THREADS_PER_CORE * engine.cores * self.share(now)
        widening = room(self._loads.utilization(engine, now), MAX_ENGINE_WIDENING)
        limit *= widening / max(1.0, self._health.slowness(engine, now))
        if engine.sample_stage and self.is_under_pressure(engine, now):
            return limit * SAMPLE_PARTS[engine.sample_stage]
        if engine.fitted_limit and self.is_under_pressure(engine, now):
            return min(limit, engine.fitted_limit)
        return limit

    def long_command_limit(self, limit: float, command: Command) -> float:
        """What of a limit is for this command: long ones leave a part of it to short ones."""
        return limit if command.is_short else limit * self.long_share

    def fleet_has_room(self, command: Command, now: int) -> bool:
        """Whether the sum of our limits over the fleet, with slack for chance, has room for the command.

        Guards against many gateways that each send "one" and flood an engine together.
        """
        ready = self._engines.ready
        if ready and self._budgets.share(BudgetKind.THREADS, ready[0].id) is not None:
            return True  # each engine's threads are held by the fleet's budget
        limit = THREADS_PER_CORE * self.share(now) * self._engines.ready_cores
        limit += CHANCE_DEVIATIONS * (limit * self._most_threads) ** 0.5
        limit *= room(self._loads.fleet_utilization, MAX_FLEET_WIDENING)
        threads = self._thread_use.total
        return not threads or threads + command.threads <= self.long_command_limit(limit, command)

    def is_under_pressure(self, engine: Engine, now: int) -> bool:
        """Whether the engine is crowded.

        Slow alone is not, where engines report room: guards against short memory, bad estimates and lost
        answers that look like crowding. Harm: engines that jam on disks and report idle cores.
        """
        is_slow = self.fleet_slowness * self._health.slowness(engine, now) > PRESSURE
        if is_slow and self._loads.utilization(engine, now) > FULL:
            return True
        return now < engine.overloaded_until

    def is_fleet_slow(self) -> bool:
        """Whether the fleet as a whole is under pressure."""
        return self.fleet_slowness > PRESSURE

    def record_loss(self) -> None:
        """An engine rejected an attempt as overloaded, or let it time out."""
        self.long_share = max(MIN_LONG_SHARE, self.long_share * LONG_SHARE_LOSS)

    def record_answer(self) -> None:
        """An attempt was answered."""
        self.long_share = min(MAX_LONG_SHARE, self.long_share + LONG_SHARE_GAIN)

    def record_pace(self, work: float, pace: float, best_pace: float) -> float:
        """An attempt of so much work ended at this pace; returns its weight in the fleet's figures."""
        engines_each = max(1.0, len(self._engines.ready) / self._gateways)
        steady = STEADY_COMMANDS * self._estimates.largest_usual_work() * engines_each
        weight = work / (work + steady)
        slowness = min(pace / min(pace, best_pace), MAX_SLOWNESS)
        self.fleet_slowness += weight * (slowness - self.fleet_slowness)
        return weight

    def adapt(self, engine: Engine, weight: float, has_queued: bool, now: int) -> None:
        """After an attempt there: our share under pressure, and the samples."""
        if self.is_under_pressure(engine, now):
            self.pressure_share = max(MIN_PRESSURE_SHARE, self.pressure_share * (1 - weight))
        elif has_queued:
            self.pressure_share = min(MAX_PRESSURE_SHARE, self.pressure_share + weight)
        self._sample(engine, now)

    def stop_sampling(self, engine: Engine) -> None:
        """Void the samples being taken there."""
        engine.sample_stage = SampleStage.NONE
        if self._sampled is engine:
            self._sampled = None

    def _sample(self, engine: Engine, now: int) -> None:
        """Throughput at three concurrencies, each for a window under pressure, then the fit."""
        if not self.is_under_pressure(engine, now):
            self.stop_sampling(engine)
        elif self._may_begin_samples(engine, now):
            engine.next_fit_at = now + REFIT_US
            engine.samples = ()
            self._begin_sample(engine, SampleStage.AT_LIMIT, now)
        elif engine.sample_stage and now >= engine.sample_began_at + SAMPLE_US:
            throughput = engine.sample_work / (now - engine.sample_began_at)
            engine.samples = (self.engine_limit(engine, now), throughput, *engine.samples)
            self._begin_sample(engine, NEXT_STAGE[engine.sample_stage], now)
            if not engine.sample_stage:
                engine.fitted_limit = fit_concurrency_limit(*engine.samples)

    def _may_begin_samples(self, engine: Engine, now: int) -> bool:
        if self._sampled is not None or now < engine.next_fit_at:
            return False
        return self.engine_limit(engine, now) > MIN_SAMPLED_LIMIT

    def _begin_sample(self, engine: Engine, stage: SampleStage, now: int) -> None:
        if stage:
            engine.sample_stage = stage
            self._sampled = engine
        else:
            self.stop_sampling(engine)
        engine.sample_began_at = now
        engine.sample_work = 0.0
