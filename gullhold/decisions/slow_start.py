"""Slow start: how much work an engine that has just started may be given until it is warm."""

from collections.abc import Callable
from math import ceil

from gullhold.decisions.engine import Engine
from gullhold.interface import MILLIONTHS_PER_UNIT, Agreement

# Part of an engine's warming budget that all gateways together use on average; the rest is a margin for
# random variation.
EXPECTED_BUDGET_SHARE = 0.5
MAX_COMMAND_BUDGET_SHARE = 0.25  # largest part of the warming budget that one command may take
# Capacity is assumed to grow at this fraction of the rate that would reach full capacity at the end of the
# warm-up: a low estimate, to be safe.
GROWTH_FACTOR = 0.5


class SlowStart:
    """Keeps to the warming budget of each engine: the work that it can take in one overload window.

    started_at: start of this gateway (us); draw: returns a random number from 0 to 1.
    """

    def __init__(self, agreement: Agreement, started_at: int, draw: Callable[[], float]) -> None:
        self._agreement = agreement
        self._draw = draw
        self.gateway_started_at = started_at

    def is_warming(self, engine: Engine, now: int) -> bool:
        """Whether the engine started so recently that it is not warm yet."""
        return 0 < engine.started_us > now - self._agreement.warmup_us

    def warming_budget(self, engine: Engine, now: int) -> float:
        """Return the work (core-us) that the engine can take now in one overload window."""
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
        """Return work (core-us) in millionths of what all gateways may give the engine in a window."""
        return ceil(
            work * MILLIONTHS_PER_UNIT / max(1.0, EXPECTED_BUDGET_SHARE * self.warming_budget(engine, now))
        )

    def may_take(self, engine: Engine, work: float, has_fleet_budget: bool, now: int) -> bool:
        """Whether a warming engine may be given this work (core-us).

        Our limit is an even share of the engine's warming budget. Shares smaller than one command are rounded
        at random, so that all gateways together keep to the budget on average. A draw is kept until an
        attempt is dispatched, but for one window at most. If the fleet has a budget for the engine
        (has_fleet_budget), that budget limits the sum instead.

        Nothing is given in the first window after this gateway's own start, as it may have used its share
        before a restart: otherwise gateways that are all killed, or that restart repeatedly, would exceed the
        budget. The price: if all engines are warming, commands wait during that window.
        """
        window_start = now - self._agreement.overload_window_us
        if engine.started_us < self.gateway_started_at > window_start:
            return False
        if engine.warmup_rounding_drawn_at <= window_start:
            engine.warmup_rounding_draw = self._draw()
            engine.warmup_rounding_drawn_at = now
        sent = sum([work_sent for at, work_sent in engine.warmup_dispatches if at > window_start])
        budget = self.warming_budget(engine, now)
        if work > MAX_COMMAND_BUDGET_SHARE * budget:
            return False
        our_share = EXPECTED_BUDGET_SHARE * budget / self._agreement.gateways
        return has_fleet_budget or sent + engine.warmup_rounding_draw * work <= our_share

    def record_dispatch(self, engine: Engine, work: float, now: int) -> None:
        """Record an attempt on a warming engine, and have the next may_take() draw anew."""
        engine.warmup_dispatches.append((now, work))
        engine.warmup_rounding_drawn_at = 0
