"""Utilisation of engines, as they report it with the end of attempts."""

from math import exp

from gullhold.decisions.engine import Engine
from gullhold.decisions.engine_health import EngineHealth
from gullhold.decisions.moving_average import SMOOTHING_FACTOR
from gullhold.interface import Agreement, Outcome

UTILIZATION_FIELD = "util"  # name of the field in the reports
FULL_UTILIZATION = 0.7  # utilisation from which an engine has no free capacity
UTILIZATION_DECAY_US = 1_000_000  # us, time constant with which a report decays to the mean of all engines
MIN_UTILIZATION = 0.01  # a lower one counts as this: keeps raise_factor() finite
# The report of an engine above one of these limits is ignored; the engine counts as fully utilised.
DISTRUST_FAILURE_RATE = 0.1  # lower than the failure rate of an outlier
DISTRUST_SLOWNESS = 1.5


def raise_factor(utilization: float, max_factor: float) -> float:
    """Return the factor, 1 to max_factor, by which a limit is raised at this utilisation."""
    if utilization >= FULL_UTILIZATION:
        return 1.0
    return min(max_factor, max(1.0, FULL_UTILIZATION / max(utilization, MIN_UTILIZATION)))


class LoadReports:
    """The utilisation of each engine and its mean over all engines, from their reports."""

    def __init__(self, agreement: Agreement, health: EngineHealth) -> None:
        fields = list(agreement.report_fields)
        # Position of the utilisation in a report; -1: engines do not report it.
        self._field_index = fields.index(UTILIZATION_FIELD) if UTILIZATION_FIELD in fields else -1
        self._health = health
        self.mean_utilization = 1.0  # moving average over all engines; 1 until engines report

    def record(self, engine: Engine, report: tuple[float, ...], outcome: Outcome, now: int) -> None:
        """Record the report that came with the end of an attempt.

        Without a valid report, a rejection as overloaded or a timeout counts as full utilisation. A report is
        invalid if its value is negative, infinite or not a number.
        """
        reported = report[self._field_index] if 0 <= self._field_index < len(report) else -1.0
        if 0.0 <= reported < float("inf"):
            utilization = min(reported, 1.0)
            engine.utilization = utilization
            engine.utilization_at = now
        elif self._field_index >= 0 and outcome in (Outcome.OVERLOADED, Outcome.TIMED_OUT):
            utilization = 1.0
        else:
            return
        self.mean_utilization += SMOOTHING_FACTOR * (utilization - self.mean_utilization)

    def utilization(self, engine: Engine, now: int) -> float:
        """Return the utilisation that the engine reported, decaying to the mean of all engines.

        It is 1 if engines report none, and for an engine that fails or is slow: one that lacks memory is slow
        although its cores are idle.
        """
        if self._field_index < 0 or self._health.failure_rate(engine, now) > DISTRUST_FAILURE_RATE:
            return 1.0
        if self._health.slowness(engine, now) > DISTRUST_SLOWNESS:
            return 1.0
        decay = exp((engine.utilization_at - now) / UTILIZATION_DECAY_US)
        return self.mean_utilization + (engine.utilization - self.mean_utilization) * decay
