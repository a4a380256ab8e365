"""Utilisation of engines, as they report it with their answers."""

from math import exp

from gullhold.decisions.engine import Engine
from gullhold.decisions.engine_health import EngineHealth
from gullhold.decisions.moving_average import SMOOTHING_FACTOR
from gullhold.interface import Agreement, Outcome

UTILIZATION_FIELD = "util"  # name of the field in the reports
FULL_UTILIZATION = 0.7  # no free capacity from here on
LOAD_DECAY_US = 1_000_000  # us in which one engine's report fades to the fleet's mean
MIN_UTILIZATION = 0.01  # keeps the widening finite
# Reports of engines that fail or are slow are not believed: such an engine counts as fully utilised.
DISTRUST_FAILURE_RATE = 0.1  # below that of an outlier
DISTRUST_SLOWNESS = 1.5


def widening_factor(utilization: float, max_widening: float) -> float:
    """The factor by which a limit is raised at this utilisation, 1 to max_widening."""
    if utilization >= FULL_UTILIZATION:
        return 1.0
    return min(max_widening, max(1.0, FULL_UTILIZATION / max(utilization, MIN_UTILIZATION)))


class LoadReports:
    """The reports of all engines."""

    def __init__(self, agreement: Agreement, health: EngineHealth) -> None:
        fields = list(agreement.report_fields)
        self._field = fields.index(UTILIZATION_FIELD) if UTILIZATION_FIELD in fields else -1
        self._health = health
        self.mean_utilization = 1.0  # moving average; 1 until engines report

    def record(self, engine: Engine, report: tuple[float, ...], outcome: Outcome, now: int) -> None:
        """Record the report that came with the end of an attempt.

        Without a report, a rejection as overloaded or a timeout counts as full utilisation. Invalid figures
        (negative, not a number) are ignored.
        """
        reported = report[self._field] if 0 <= self._field < len(report) else -1.0
        if 0.0 <= reported < float("inf"):
            utilization = min(reported, 1.0)
            engine.load = utilization
            engine.load_at = now
        elif self._field >= 0 and outcome in (Outcome.OVERLOADED, Outcome.TIMED_OUT):
            utilization = 1.0
        else:
            return
        self.mean_utilization += SMOOTHING_FACTOR * (utilization - self.mean_utilization)

    def utilization(self, engine: Engine, now: int) -> float:
        """Utilisation that the engine reported, fading to the fleet's mean.

        1 if engines report none, and for an engine that fails or is slow: guards against engines that crawl
        for want of memory while their cores are idle.
        """
        if self._field < 0 or self._health.failure_rate(engine, now) > DISTRUST_FAILURE_RATE:
            return 1.0
        if self._health.slowness(engine, now) > DISTRUST_SLOWNESS:
            return 1.0
        decay = exp((engine.load_at - now) / LOAD_DECAY_US)
        return self.mean_utilization + (engine.load - self.mean_utilization) * decay
