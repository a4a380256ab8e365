"""Fleets of real processes with budgets. Engines are test doubles in this process that record attempts."""

from collections.abc import Callable, Sequence
from typing import Any

from benchmarks import fleet_load
from benchmarks.fleet_load import make_counting_engine
from gullhold.testing import load_client
from gullhold.testing.budget_checker import AllocationHistory
from gullhold.testing.counting_engine import CountingEngine
from gullhold.testing.fleet import FleetRig

CORES = 60  # cores of an engine; a gateway runs at most two threads per core on it
TOTAL_THREADS = 2 * CORES  # the fleet's budget on one engine
MEMBERS = 6

Budget = dict[str, Any]  # the record of a budget in the operator file


def threads_budget(total: int = TOTAL_THREADS, **other: Any) -> Budget:
    """A budget of threads on each engine; other: further fields of its record."""
    return {"of": '"threads"', "whole": total, "linger": "600ms"} | other


def windowed_budget(kind: str, total: int, window: str) -> Budget:
    """A budget that limits spending in any window of time; kind, window: as in the operator file."""
    return {"of": f'"{kind}"', "whole": total, "window": window}


def make_fleet(
    members: int,
    budgets: Sequence[Budget],
    engines: int = 1,
    adjust: Callable[[dict[str, Any]], None] | None = None,
    make: Callable[[int], CountingEngine] = make_counting_engine,
    **options: Any,
) -> FleetRig:
    """A fleet of gateways, not started yet.

    budgets: records of the operator file; adjust(settings): changes the gateways' settings further;
    make(seed): makes an engine; options: other options of FleetRig.
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
    """Start a client of one gateway; options: of the client, replacing the defaults below."""
    options = {"open": 60, "connections": 2, "work_ms": 100.0, "limit_ms": 1500} | options
    return fleet_load.start_client(rig, member, f"c{seed}", seed, **options)


def allocations(rig: FleetRig) -> dict[str, int]:
    """Each member's allocation of threads in a fleet with one engine, by the member's name."""
    history = AllocationHistory(rig.journal_lines())
    return history.allocated_by_name(next(iter(history.max_sums), ""))
