"""Budgets of a fleet: use, reallocation, gain and costs.

    python -m benchmarks.budgets [--quick]

Prints all figures as JSON in the last line; exits with status 1 if a bound is missed. Gateways and the store
are real processes; engines are test doubles in this process that record attempts.
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

# Meaning of some printed figures. over_whole: number of peaks above a total; moves: number of increases of
# allocations; used_of_whole, used_even: share of the total in use when one member is busy, and when all are;
# used_today: as used_of_whole, without budgets; redivided_order_p95_s, redivided_kill_p95_leases: time from a
# member's end by SIGTERM or SIGKILL until its allocation is written to another, in s, and divided by a
# lease's; cold_fallen: commands that exceeded the capacity of the warming engine; calls_flat: largest ratio
# of calls or bytes per member between FLEET_SIZES; service_dead: shares of requests answered without the
# store, with budgets and without.
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
# Mutants that take longest to detect; exploration_plan() starts them first.
SLOW_MUTANTS = (
    "NoFence",
    "ForgetsExpiringOnLoad",
    "IgnoresChangesWhileReading",
    "TakesUnknownForDone",
    "reports not compared",
    "drift left out",
)
FLEET_SIZES = (200, 1000)  # members of the simulated fleets whose calls are counted
FLEETS_AT_ONCE = 2  # fleets of real processes that run at the same time
DECISION_PROCESSES = 5  # processes that explore decisions meanwhile


class RunSize(NamedTuple):
    """The size of a run.

    run_s, calls_s: duration of each run, and of the run that counts calls to the store; fault_turns: turns of
    the run with faults; reallocations: members that are ended.
    """

    run_s: float
    calls_s: float
    fault_turns: int
    reallocations: int
    exploration: ExplorationSize


QUICK = RunSize(1.5, 2.0, 7, 4, ExplorationSize(30, 8, 1200, 1500))
FULL = RunSize(15.0, 20.0, 60, 20, ExplorationSize(400, 16, 6000, 40_000))


def exploration_plan(size: ExplorationSize) -> ExplorationPlan:
    """The exploration of the allocator and its members; the mutants that take longest come first."""
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
    """All runs with fleets of real processes; they are submitted at once to a pool of processes."""

    def __init__(self, pool: ProcessPoolExecutor, size: RunSize, seed: int) -> None:
        names = [f"n{number}" for number in range(MEMBERS)]
        budgets = [threads_budget()]
        gain_budgets = [threads_budget(), {"of": '"cold"', "window": "1s"}]
        service_budgets = [threads_budget(alone=10, members=MEMBERS)]
        seconds = size.run_s
        self.faults = pool.submit(run_faults, size.fault_turns, seed)
        self.reallocation = pool.submit(measure_reallocation, size.reallocations)
        self.used_by_one = pool.submit(measure_use, seconds, names[:1], budgets)
        self.used_without = pool.submit(measure_use, seconds, names[:1], [])
        self.used_evenly = pool.submit(measure_use, seconds, names, budgets)
        self.gain = pool.submit(measure_gain, seconds, gain_budgets)
        self.gain_without = pool.submit(measure_gain, seconds, [])
        self.service = pool.submit(measure_service_without_store, seconds, service_budgets)
        self.service_without = pool.submit(measure_service_without_store, seconds, [])
        self.calls = pool.submit(measure_member_cost, size.calls_s)

    def add_results(self, figures: Figures) -> None:
        """Wait for the results and add them in the order in which they are printed."""
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


def add_calls(figures: Figures, runs: FleetRuns, simulated_costs: dict[int, Future[CallCosts]]) -> None:
    """Add the calls and bytes per member: with real processes, and simulated in fleets of several sizes.

    simulated_costs: by the number of members of the simulated fleet.
    """
    measured = runs.calls.result()
    costs = {members: job.result() for members, job in simulated_costs.items()}
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
    """Run the benchmark and print its figures."""
    arguments = parse_arguments("budgets", __doc__)
    size = QUICK if arguments.is_quick else FULL
    figures = Figures(quick=arguments.is_quick, seed=arguments.seed)
    # Two fleets run at a time beside the exploration. The CPU time per command is measured afterwards, alone.
    with ProcessPoolExecutor(FLEETS_AT_ONCE) as fleet_pool, ProcessPoolExecutor(DECISION_PROCESSES) as pool:
        exploration = Exploration(pool, exploration_plan(size.exploration), size.exploration)
        simulated_costs = {members: pool.submit(call_costs, members) for members in FLEET_SIZES}
        runs = FleetRuns(fleet_pool, size, arguments.seed)
        runs.add_results(figures)
        add_calls(figures, runs, simulated_costs)
        figures.add(**exploration.figures())
    command_cost = measure_command_cost(2 * size.run_s)
    figures.add(cpu_over=command_cost.ratio, cpu_off_us=command_cost.us_without)
    figures.add_duration()
    report_and_exit(figures.by_name, BOUNDS)


if __name__ == "__main__":
    main()
