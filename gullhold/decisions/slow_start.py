"""Slow start: what an engine that has just started may be given until it is warm."""

from collections.abc import Callable
from math import ceil

from gullhold.decisions.engine import Engine
from gullhold.interface import Agreement

EXPECTED_PART = 0.5  # of the warming budget that all gateways together expect to use: chance needs the rest
COMMAND_PART = 0.25  # of the warming budget that one command may be
GROWTH_PART = 0.5  # of the linear growth of capacity that we count on


class SlowStart:
    """The warming budget: work that a warming engine stands in one overload window."""

    def __init__(self, agreement: Agreement, started_at: int, draw: Callable[[], float]) -> None:
        self._agreement = agreement
        self._draw = draw
        self.gateway_started_at = started_at

    def is_warming(self, engine: Engine, now: int) -> bool:
        """Whether the engine has started too short a time ago to be warm."""
        return 0 < engine.started_us > now - self._agreement.warmup_us

    def capacity(self, engine: Engine, now: int) -> float:
        """Work (core-us) that it stands in a window, its capacity taken to grow half as fast as a line."""
        agreement = self._agreement
        growth = (
            (now - engine.started_us)
            / agreement.warmup_us
            * (1 - agreement.warmup_initial_share)
            * GROWTH_PART
        )
        return (
            agreement.overload_multiple
            * (agreement.warmup_initial_share + growth)
            * engine.cores
            * agreement.overload_window_us
        )

    def budget_part(self, work: float, engine: Engine, now: int) -> int:
        """Of all that we may expect of a warming engine in a window, in millionths."""
        return ceil(work * 1e6 / max(1.0, EXPECTED_PART * self.capacity(engine, now)))

    def may_take(self, engine: Engine, work: float, has_fleet_budget: bool, now: int) -> bool:
        """Whether a warming engine may be given so much work.

        It gets our even part of what it stands; a part under one command is rounded by a lot drawn for each
        window: all gateways together expect the sum. A budget of the fleet for it holds the sum by itself.
        We may have taken our part before a restart: guards against killed fleets and processes that start
        over and over. Harm: where all engines are warming, what comes in the first window waits.
        """
        window_start = now - self._agreement.overload_window_us
        if engine.started_us < self.gateway_started_at > window_start:
            return False
        if engine.warmup_rounding_at <= window_start:
            engine.warmup_rounding = self._draw()
            engine.warmup_rounding_at = now
        sent = sum([work_sent for at, work_sent in engine.warmup_dispatches if at > window_start])
        budget = self.capacity(engine, now)
        if work > COMMAND_PART * budget:
            return False
        our_part = EXPECTED_PART * budget / self._agreement.gateways
        return has_fleet_budget or sent + engine.warmup_rounding * work <= our_part

    def record_dispatch(self, engine: Engine, work: float, now: int) -> None:
        """An attempt of so much work goes to a warming engine; the next one draws a new lot."""
        engine.warmup_dispatches.append((now, work))
        engine.warmup_rounding_at = 0
