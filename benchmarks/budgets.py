"""Budgets of a fleet: `python -m benchmarks.budgets [--quick]`. Last line JSON; status 1: a bound is missed.

Gateways, store and faults are real processes; engines are test doubles here and count what is in them.
"""

from concurrent.futures import Future, ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from benchmarks.budget_calls import CallCosts, call_costs
from benchmarks.budget_faults import run_faults
from benchmarks.budget_fleet import MEMBERS, threads_budget
from benchmarks.budget_runs import (
    measure_command_cost,
    measure_gain,
    measure_member_cost,
    measure_reallocation,
    measure_service_without_store,
    measure_use,
)
from benchmarks.decision_exploration import Exploration, ExplorationPlan, ExplorationSize
from benchmarks.harness import Figures, at_least, at_most, parse_arguments, report_and_exit
from gullhold.budgets.ledger import LedgerKind
from gullhold.testing import budget_explorer, budget_mutants

BOUNDS = {
    "over_whole": at_most(0),
    "moves": at_least(300),
    "used_of_whole": at_least(0.9),
    "used_even": at_least(0.95),
    "redivided_order_p95_s": at_most(0.5),
    "redivided_kill_p95_leases": at_most(2.5),
    "answered_gain": at_least(1.0),
    "cold_fallen": at_most(0),
    "calls_flat": at_most(1.5),
    "service_ratio": at_least(0.98),
    "mutants_missed": at_most(0),
    "walks_broken": at_most(0),
    "cpu_over": at_most(1.05),
}
WALK_STEPS = 800
SEARCH_DEPTH = 8
SLOW_MUTANTS = (
    "NoFence",
    "ForgetsExpiringOnLoad",
    "IgnoresChangesWhileReading",
    "TakesUnknownForDone",
    "reports not compared",
    "drift left out",
)
FLEET_SIZES = (200, 1000)  # members, by the decisions alone
FLEETS_AT_ONCE = 2
DECISION_PROCESSES = 5


class Extent(NamedTuple):
    """How much is run."""

    run_s: float
    calls_s: float
    fault_turns: int
    reallocations: int
    exploration: ExplorationSize


QUICK = Extent(1.5, 2.0, 7, 4, ExplorationSize(30, 8, 1200, 1500))
FULL = Extent(15.0, 20.0, 60, 20, ExplorationSize(400, 16, 6000, 40_000))


def exploration_plan(size: ExplorationSize) -> ExplorationPlan:
    """Walks, mutants and searches of the allocator and its members; the slowest mutants come first."""
    names = sorted(budget_mutants.MUTANTS, key=lambda name: name not in SLOW_MUTANTS)
    return ExplorationPlan(
        walk=partial(budget_explorer.walk, steps=WALK_STEPS, with_fingerprints=True),
        find_mutant={
            name: partial(budget_mutants.find_detecting_walk, name, size.max_mutant_walks, WALK_STEPS)
            for name in names
        },
        searches=[
            partial(budget_explorer.explore, kind, SEARCH_DEPTH, size.max_states)
            for kind in (LedgerKind.HELD, LedgerKind.WINDOWED)
        ],
    )


class FleetRuns:
    """All runs with real processes, begun; results are waited for in the order of the printed figures."""

    def __init__(self, pool: ProcessPoolExecutor, extent: Extent, seed: int) -> None:
        names = [f"n{number}" for number in range(MEMBERS)]
        budgets = [threads_budget()]
        gain_budgets = [threads_budget(), {"of": '"cold"', "window": "1s"}]
        service_budgets = [threads_budget(alone=10, members=MEMBERS)]
        seconds = extent.run_s
        self.faults = pool.submit(run_faults, extent.fault_turns, seed)
        self.reallocation = pool.submit(measure_reallocation, extent.reallocations)
        self.used_by_one = pool.submit(measure_use, seconds, names[:1], budgets)
        self.used_without = pool.submit(measure_use, seconds, names[:1], [])
        self.used_evenly = pool.submit(measure_use, seconds, names, budgets)
        self.gain = pool.submit(measure_gain, seconds, gain_budgets)
        self.gain_without = pool.submit(measure_gain, seconds, [])
        self.service = pool.submit(measure_service_without_store, seconds, service_budgets)
        self.service_without = pool.submit(measure_service_without_store, seconds, [])
        self.calls = pool.submit(measure_member_cost, extent.calls_s)

    def add_results(self, figures: Figures) -> None:
        """Wait for them, in order."""
        figures.add(**self.faults.result())
        reallocation = self.reallocation.result()
        figures.add(
            redivided_order_p95_s=reallocation.after_leave_s,
            redivided_kill_p95_leases=reallocation.after_kill_leases,
        )
        figures.add(
            used_of_whole=self.used_by_one.result(),
            used_today=self.used_without.result(),
            used_even=self.used_evenly.result(),
        )
        gained = self.gain.result()
        without = self.gain_without.result()
        figures.add(
            answered_gain=round(gained.answered / max(without.answered, 1e-9), 3),
            cold_fallen=gained.overloads,
            answered_in_target=[round(gained.answered, 3), round(without.answered, 3)],
        )
        ratios = [self.service.result(), self.service_without.result()]
        figures.add(
            service_ratio=round(ratios[0] / ratios[1], 4), service_dead=[round(ratio, 4) for ratio in ratios]
        )


def add_calls(figures: Figures, runs: FleetRuns, alone: dict[int, Future[CallCosts]]) -> None:
    """Calls and bytes of a member: in a run, and by the decisions alone in fleets of several sizes."""
    measured = runs.calls.result()
    costs = {members: job.result() for members, job in alone.items()}
    calls = [one.calls for one in costs.values()]
    sizes = [one.bytes for one in costs.values()]
    figures.add(
        calls_per_member_s=measured.calls,
        bytes_per_member_s=measured.bytes,
        calls_alone={members: one.calls for members, one in costs.items()},
        bytes_alone={members: one.bytes for members, one in costs.items()},
        divide_ms={members: one.longest_ms for members, one in costs.items()},
        calls_flat=round(max(max(calls) / min(calls), max(sizes) / min(sizes)), 3),
    )


def main() -> None:
    """Run all of it; the last line is JSON."""
    arguments = parse_arguments("budgets", __doc__)
    extent = QUICK if arguments.is_quick else FULL
    figures = Figures(quick=arguments.is_quick, seed=arguments.seed)
    # Rigs two at a time, decisions beside them; what a command costs is measured by itself.
    with ProcessPoolExecutor(FLEETS_AT_ONCE) as fleet_pool, ProcessPoolExecutor(DECISION_PROCESSES) as pool:
        exploration = Exploration(pool, exploration_plan(extent.exploration), extent.exploration)
        alone = {members: pool.submit(call_costs, members) for members in FLEET_SIZES}
        runs = FleetRuns(fleet_pool, extent, arguments.seed)
        runs.add_results(figures)
        add_calls(figures, runs, alone)
        figures.add(**exploration.figures())
    command_cost = measure_command_cost(2 * extent.run_s)
    figures.add(cpu_over=command_cost.ratio, cpu_off_us=command_cost.us_without)
    figures.add_duration()
    report_and_exit(figures.by_name, BOUNDS)


if __name__ == "__main__":
    main()
