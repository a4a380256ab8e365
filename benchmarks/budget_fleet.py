"""Fleets of real processes with budgets; engines are test doubles here and count what is in them."""

from collections.abc import Callable, Sequence
from typing import Any

from benchmarks import fleet_load
from benchmarks.fleet_load import make_counting_engine
from gullhold.testing import load_client
from gullhold.testing.budget_checker import AllocationHistory
from gullhold.testing.counting_engine import CountingEngine
from gullhold.testing.fleet import FleetRig

CORES = 60  # of an engine: the decisions' limit is two threads a core
TOTAL_THREADS = 2 * CORES  # of the fleet on one engine
MEMBERS = 6

Budget = dict[str, Any]  # an operator's record of a budget


def threads_budget(total: int = TOTAL_THREADS, **other: Any) -> Budget:
    """A budget of threads on each engine."""
    return {"of": '"threads"', "whole": total, "linger": "600ms"} | other


def windowed_budget(kind: str, total: int, window: str) -> Budget:
    """A budget of what is spent in any window of time; kind, window: in the operator's words."""
    return {"of": f'"{kind}"', "whole": total, "window": window}


def make_fleet(
    members: int,
    budgets: Sequence[Budget],
    engines: int = 1,
    adjust: Callable[[dict[str, Any]], None] | None = None,
    make: Callable[[int], CountingEngine] = make_counting_engine,
    **options: Any,
) -> FleetRig:
    """A fleet of so many gateways.

    adjust(settings) changes these; make(seed): an engine; options: those of FleetRig.
    """

    def adjust_all(settings: dict[str, Any]) -> None:
        settings["balancers"] = members
        settings["domain"]["cores_by_kind"] = [CORES]
        if adjust:
            adjust(settings)

    return FleetRig(
        members=members,
        budgets=budgets,
        engines=engines,
        adjust_settings=adjust_all,
        make_engine=make,
        **options,
    )


def start_client(rig: FleetRig, member: str, seed: int, **options: Any) -> load_client.LoadClient:
    """Start a client of one gateway; options: of the client, in place of those given here."""
    options = {"open": 60, "connections": 2, "work_ms": 100.0, "limit_ms": 1500} | options
    return fleet_load.start_client(rig, member, f"c{seed}", seed, **options)


def allocations(rig: FleetRig) -> dict[str, int]:
    """Each member's allocation of the one engine's threads, by name."""
    history = AllocationHistory(rig.journal_lines())
    return history.allocated_by_name(next(iter(history.max_sums), ""))
