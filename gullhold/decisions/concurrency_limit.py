"""Limits on the threads that this gateway uses: on each engine, and in total over all engines.

An engine's limit is our share of two threads a core. It is raised if the engine reports free capacity and
lowered if the engine is slow. Under pressure the limit is fitted, as in the paper "Improving the scalability
of database engines by controlling their load": throughput is sampled at the limit and at two fractions of it,
and a curve through the samples gives the concurrency with the highest throughput.
"""

from gullhold.decisions.command import Command
from gullhold.decisions.engine import Engine, SampleStage
from gullhold.decisions.engine_health import EngineHealth
from gullhold.decisions.engine_registry import EngineRegistry
from gullhold.decisions.estimators import Estimates
from gullhold.decisions.fleet_budgets import FleetBudgets
from gullhold.decisions.load_report import FULL_UTILIZATION, LoadReports, raise_factor
from gullhold.decisions.thread_use import ThreadUse
from gullhold.decisions.throughput_fit import fit_concurrency_limit
from gullhold.decisions.traffic import TrafficMeter
from gullhold.interface import MILLIONTHS_PER_UNIT, Agreement, BudgetKind

# Threads of all gateways together: the initial limit of the design, before it is raised or lowered.
THREADS_PER_CORE = 2.0
MAX_ENGINE_RAISE = 4.0  # highest factor by which the limit of an engine with free capacity is raised
MAX_TOTAL_RAISE = 2.0  # highest factor by which the total limit is raised if engines have free capacity
ALLOWED_DEVIATIONS = 1.0  # standard deviations of our threads in use by which the total limit is raised
PRESSURE_SLOWNESS = 1.8  # ratio of pace to best pace; time-sharing of cores explains lower ratios than this
# Weight of the past in overall_slowness: the work of this many commands of the largest usual work per engine.
# Few such commands end, so with a higher weight the average would follow them slowly.
HISTORY_COMMANDS = 4.0
MAX_SLOWNESS = 10.0  # highest ratio of pace to best pace that one attempt counts with: bounds its influence
MIN_SHARE_FACTOR = 0.5  # factor of our share at the strongest pressure: one thread a core
MAX_SHARE_FACTOR = 1.25  # factor of our share without pressure; a higher one overloads all engines
MIN_LONG_SHARE = 0.3  # smallest part of a limit that long commands may use
MAX_LONG_SHARE = 0.8  # largest part of a limit that long commands may use: the rest is kept for short ones
LONG_SHARE_OVERLOAD_FACTOR = 0.7  # factor of the long share after a sign of overload: see record_overload()
LONG_SHARE_GAIN = 0.0015  # added to the long share by an answer
REFIT_US = 10_000_000  # us between fits of an engine's limit, set by the design
SAMPLE_US = 800_000  # us that one sample takes: long enough for a few commands to end
MIN_SAMPLED_LIMIT = 4  # threads; no samples are taken at this limit or a lower one
SAMPLE_SHARES = {  # part of the limit at which each sample is taken; the samples have to lie far apart
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
    """The limits, the pressure that lowers them and the samples taken under it."""

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
        self._max_threads = max((profile.threads for profile in agreement.profiles), default=0)
        self._engines = engines
        self._estimates = estimates
        self._health = health
        self._loads = loads
        self._traffic = traffic
        self._budgets = budgets
        self._thread_use = thread_use
        self.share_factor = 1.0  # factor of our share, lowered under pressure
        self.overall_slowness = 1.0  # ratio of pace to best pace, averaged over all engines
        self.long_share = MAX_LONG_SHARE  # part of a limit that long commands may use
        # Samples are taken on one engine at a time, so that the limits do not oscillate together.
        self._sampled_engine: Engine | None = None

    def share(self, now: int) -> float:
        """Return our share, 0 to 1, of the capacity of all engines."""
        budget = self._budgets.share(BudgetKind.TRAFFIC_SHARE, 0)
        if budget is not None:
            return self.share_factor * budget.limit() / MILLIONTHS_PER_UNIT
        return self._traffic.scaled_share(self.share_factor, now)

    def engine_limit(self, engine: Engine, now: int) -> float:
        """Return the limit on our threads on the engine; under pressure the sampled or the fitted one."""
        budget = self._budgets.share(BudgetKind.THREADS, engine.id)
        limit = budget.limit() if budget is not None else THREADS_PER_CORE * engine.cores * self.share(now)
        raised_by = raise_factor(self._loads.utilization(engine, now), MAX_ENGINE_RAISE)
        limit *= raised_by / max(1.0, self._health.slowness(engine, now))
        if engine.sample_stage and self.is_under_pressure(engine, now):
            return limit * SAMPLE_SHARES[engine.sample_stage]
        if engine.fitted_limit and self.is_under_pressure(engine, now):
            return min(limit, engine.fitted_limit)
        return limit

    def long_command_limit(self, limit: float, command: Command) -> float:
        """Return the part of a limit that a command may use: long ones leave some of it to short ones."""
        return limit if command.is_short else limit * self.long_share

    def total_limit_allows(self, command: Command, now: int) -> bool:
        """Whether the command fits into our total limit over all engines, with slack for random deviation.

        A gateway may always have one attempt on an engine, however small its limit is, so without a total
        limit many gateways could overload the engines together.
        """
        ready = self._engines.ready
        if ready and self._budgets.share(BudgetKind.THREADS, ready[0].id) is not None:
            return True  # the fleet's budget limits the threads of each engine
        limit = THREADS_PER_CORE * self.share(now) * self._engines.ready_cores
        limit += ALLOWED_DEVIATIONS * (limit * self._max_threads) ** 0.5
        limit *= raise_factor(self._loads.mean_utilization, MAX_TOTAL_RAISE)
        threads = self._thread_use.total
        return not threads or threads + command.threads <= self.long_command_limit(limit, command)

    def is_under_pressure(self, engine: Engine, now: int) -> bool:
        """Whether the engine is overloaded.

        A slow engine that reports free capacity does not count as overloaded: the cause may be a lack of
        memory, bad estimates or lost answers. The price is that an engine whose commands wait for disks while
        its cores are idle is not recognized as overloaded.
        """
        is_slow = self.overall_slowness * self._health.slowness(engine, now) > PRESSURE_SLOWNESS
        if is_slow and self._loads.utilization(engine, now) > FULL_UTILIZATION:
            return True
        return now < engine.overloaded_until

    def are_engines_slow(self) -> bool:
        """Whether all engines taken together are under pressure."""
        return self.overall_slowness > PRESSURE_SLOWNESS

    def record_overload(self) -> None:
        """Lower the long share, after an engine has rejected an attempt as overloaded or let it time out."""
        self.long_share = max(MIN_LONG_SHARE, self.long_share * LONG_SHARE_OVERLOAD_FACTOR)

    def record_answer(self) -> None:
        """Raise the long share, after an attempt was answered."""
        self.long_share = min(MAX_LONG_SHARE, self.long_share + LONG_SHARE_GAIN)

    def record_pace(self, work: float, pace: float, best_pace: float) -> float:
        """Record the pace of an ended attempt; return its weight, 0 to 1, in averages over all engines."""
        engines_per_gateway = max(1.0, len(self._engines.ready) / self._gateways)
        history_work = HISTORY_COMMANDS * self._estimates.largest_usual_work() * engines_per_gateway
        weight = work / (work + history_work)
        slowness = min(pace / min(pace, best_pace), MAX_SLOWNESS)
        self.overall_slowness += weight * (slowness - self.overall_slowness)
        return weight

    def adapt(self, engine: Engine, weight: float, has_queued: bool, now: int) -> None:
        """Adapt our share, and take samples, after an attempt on the engine has ended."""
        if self.is_under_pressure(engine, now):
            self.share_factor = max(MIN_SHARE_FACTOR, self.share_factor * (1 - weight))
        elif has_queued:
            self.share_factor = min(MAX_SHARE_FACTOR, self.share_factor + weight)
        self._sample(engine, now)

    def stop_sampling(self, engine: Engine) -> None:
        """Discard the samples being taken on the engine."""
        engine.sample_stage = SampleStage.NONE
        if self._sampled_engine is engine:
            self._sampled_engine = None

    def _sample(self, engine: Engine, now: int) -> None:
        """Under pressure, sample throughput at three concurrencies for SAMPLE_US each, then fit the curve."""
        if not self.is_under_pressure(engine, now):
            self.stop_sampling(engine)
        elif self._may_begin_samples(engine, now):
            engine.next_fit_at = now + REFIT_US
            engine.samples = ()
            self._begin_stage(engine, SampleStage.AT_LIMIT, now)
        elif engine.sample_stage and now >= engine.sample_began_at + SAMPLE_US:
            throughput = engine.sample_work / (now - engine.sample_began_at)
            engine.samples = (self.engine_limit(engine, now), throughput, *engine.samples)
            self._begin_stage(engine, NEXT_STAGE[engine.sample_stage], now)
            if not engine.sample_stage:
                engine.fitted_limit = fit_concurrency_limit(*engine.samples)

    def _may_begin_samples(self, engine: Engine, now: int) -> bool:
        """Whether no samples are being taken, the engine's limit is due for a fit, and it is high enough."""
        if self._sampled_engine is not None or now < engine.next_fit_at:
            return False
        return self.engine_limit(engine, now) > MIN_SAMPLED_LIMIT

    def _begin_stage(self, engine: Engine, stage: SampleStage, now: int) -> None:
        """Begin the sample of this stage; NONE: all samples of the engine have been taken."""
        if stage:
            engine.sample_stage = stage
            self._sampled_engine = engine
        else:
            self.stop_sampling(engine)
        engine.sample_began_at = now
        engine.sample_work = 0.0
