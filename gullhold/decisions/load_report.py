"""Utilisation of engines as they report it with answers."""

from math import exp

from gullhold.decisions.engine import Engine
from gullhold.decisions.engine_health import EngineHealth
from gullhold.decisions.moving_average import STEP
from gullhold.interface import Agreement, Outcome

UTILIZATION_FIELD = "util"  # name of the figure in the reports
FULL = 0.7  # utilisation that leaves no room
LOAD_FADE_US = 1_000_000  # us in which one engine's report fades to the fleet's mean
MIN_UTILIZATION = 0.01  # keeps the room finite
DISTRUST_FAILURE_RATE = 0.1  # from which a report counts as full: below that of an outlier
DISTRUST_SLOWNESS = 1.5  # from which a report counts as full


def room(utilization: float, max_widening: float) -> float:
    """How far a limit widens under this utilisation, 1 to max_widening."""
    if utilization >= FULL:
        return 1.0
    return min(max_widening, max(1.0, FULL / max(utilization, MIN_UTILIZATION)))


class LoadReports:
    """The reports of all engines."""

    def __init__(self, agreement: Agreement, health: EngineHealth) -> None:
        fields = list(agreement.report_fields)
        self._field = fields.index(UTILIZATION_FIELD) if UTILIZATION_FIELD in fields else -1
        self._health = health
        self.fleet_utilization = 1.0  # moving mean; full until engines report

    def record(self, engine: Engine, report: tuple[float, ...], outcome: Outcome, now: int) -> None:
        """An attempt ended with this report.

        One that was rejected as overloaded, or heard nothing in time, counts as full. Figures that can't
        be (negative, not a number) are passed over.
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
        self.fleet_utilization += STEP * (utilization - self.fleet_utilization)

    def utilization(self, engine: Engine, now: int) -> float:
        """What the engine reported, fading to the fleet's mean.

        1 where engines report nothing, and for one that fails or is slow: guards against engines that crawl,
        short of memory, beside idle cores.
        """
        if self._field < 0 or self._health.failure_rate(engine, now) > DISTRUST_FAILURE_RATE:
            return 1.0
        if self._health.slowness(engine, now) > DISTRUST_SLOWNESS:
            return 1.0
        fresh = exp((engine.load_at - now) / LOAD_FADE_US)
        return self.fleet_utilization + (engine.load - self.fleet_utilization) * fresh
