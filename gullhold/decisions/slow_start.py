"""Slow start: what an engine that has just started may be given until it is warm."""

from collections.abc import Callable
from math import ceil

from gullhold.decisions.engine import Engine
from gullhold.interface import MILLIONTHS_PER_UNIT, Agreement

EXPECTED_BUDGET_SHARE = (
    0.5  # of the warming budget, used by all gateways together on average: a margin for chance
)
MAX_COMMAND_BUDGET_SHARE = 0.25  # of the warming budget, for one command
GROWTH_FACTOR = 0.5  # of the linear growth of capacity: a careful estimate


class SlowStart:
    """The warming budget: work that a warming engine can take in one overload window."""

    def __init__(self, agreement: Agreement, started_at: int, draw: Callable[[], float]) -> None:
        self._agreement = agreement
        self._draw = draw
        self.gateway_started_at = started_at

    def is_warming(self, engine: Engine, now: int) -> bool:
        """Whether the engine has started too recently to be warm."""
        return 0 < engine.started_us > now - self._agreement.warmup_us

    def capacity(self, engine: Engine, now: int) -> float:
        """The warming budget (core-us), on the assumption that capacity grows at GROWTH_FACTOR."""
        agreement = self._agreement
        growth = (
            (now - engine.started_us)
            / agreement.warmup_us
            * (1 - agreement.warmup_initial_share)
            * GROWTH_FACTOR
        )
        return (
            agreement.overload_multiple
            * (agreement.warmup_initial_share + growth)
            * engine.cores
            * agreement.overload_window_us
        )

    def budget_millionths(self, work: float, engine: Engine, now: int) -> int:
        """The work in millionths of what all gateways together may give the engine in a window."""
        return ceil(work * MILLIONTHS_PER_UNIT / max(1.0, EXPECTED_BUDGET_SHARE * self.capacity(engine, now)))

    def may_take(self, engine: Engine, work: float, has_fleet_budget: bool, now: int) -> bool:
        """Whether a warming engine may be given this work (core-us).

        Our limit is an even share of its budget. Shares smaller than one command are rounded at random, with
        one draw for each window, so that all gateways together keep to the budget on average. A budget of the
        fleet for the engine (has_fleet_budget) limits the sum by itself. Nothing is given in the window after
        our own start, as we may have used our share before a restart: guards against fleets that are killed
        and processes that restart again and again. Harm: if all engines are warming, commands of that window
        wait.
        """
        window_start = now - self._agreement.overload_window_us
        if engine.started_us < self.gateway_started_at > window_start:
            return False
        if engine.warmup_rounding_drawn_at <= window_start:
            engine.warmup_rounding_draw = self._draw()
            engine.warmup_rounding_drawn_at = now
        sent = sum([work_sent for at, work_sent in engine.warmup_dispatches if at > window_start])
        budget = self.capacity(engine, now)
        if work > MAX_COMMAND_BUDGET_SHARE * budget:
            return False
        our_share = EXPECTED_BUDGET_SHARE * budget / self._agreement.gateways
        return has_fleet_budget or sent + engine.warmup_rounding_draw * work <= our_share

    def record_dispatch(self, engine: Engine, work: float, now: int) -> None:
        """Record an attempt on a warming engine; the next one is rounded by a new draw."""
        engine.warmup_dispatches.append((now, work))
        engine.warmup_rounding_drawn_at = 0
