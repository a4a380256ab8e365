"""Rollouts of a policy: correctness under faults, service and costs.

    python -m benchmarks.policy_rollout [--quick]

Prints all figures as JSON in the last line; exits with status 1 if a bound is missed. Gateways and the store
are real processes. Engines are test doubles in this process; the memory granted to an attempt shows under
which policy it was sent.
"""

from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from benchmarks.decision_exploration import Exploration, ExplorationPlan, ExplorationSize
from benchmarks.harness import Figures, at_least, at_most, parse_arguments, report_and_exit
from benchmarks.policy_rollout_calls import coordinator_cost
from benchmarks.policy_rollout_faults import run_several_with_faults
from benchmarks.policy_rollout_runs import measure_rollout_cost, measure_service
from gullhold.rollout.policy_change import Overlap
from gullhold.testing import rollout_explorer, rollout_mutants

BOUNDS = {
    "changes": at_least(40),
    "split": at_most(0),
    "mixed_sends": at_most(0),
    "overlap_p99_ms": at_most(1200),
    "in_force_without_all_ready": at_most(0),
    "turned_down_in_force": at_most(0),
    "unknown_reported_as_known": at_most(0),
    "commands_lost": at_most(0),
    "answered_twice": at_most(0),
    "rules_broken": at_most(0),
    "over_whole": at_most(0),
    "answered_ratio": at_least(0.98),
    "back_under_the_wrong_one": at_most(0),
    "mutants_missed": at_most(0),
    "walks_broken": at_most(0),
}
WALK_STEPS = 500
SEARCH_DEPTH = 8
FLEET_SIZES = (6, 12)  # members of the fleets of real processes
DECISION_FLEET_SIZES = (200, 1000, 10_000)  # members of the simulated fleets
DECISION_PROCESSES = 3  # processes that explore decisions


class RunSize(NamedTuple):
    """The size of a run.

    fault_runs: runs with faults, each with a fleet of its own; changes: changes without faults; service_s:
    duration of each measurement of the share of requests that are answered.
    """

    fault_runs: int
    changes: int
    service_s: float
    exploration: ExplorationSize


QUICK = RunSize(1, 8, 3.0, ExplorationSize(60, 8, 1000, 3000))
FULL = RunSize(7, 40, 15.0, ExplorationSize(1500, 16, 6000, 60_000))


def exploration_plan(size: ExplorationSize) -> ExplorationPlan:
    """The exploration of the coordinator and its members."""
    return ExplorationPlan(
        walk=partial(rollout_explorer.walk, steps=WALK_STEPS, with_fingerprints=True),
        find_mutant={
            name: partial(rollout_mutants.find_detecting_walk, name, size.max_mutant_walks, WALK_STEPS)
            for name in rollout_mutants.MUTANTS
        },
        searches=[
            partial(rollout_explorer.explore, overlap, SEARCH_DEPTH, size.max_states)
            for overlap in (Overlap.STRICT, Overlap.LOOSE)
        ],
    )


def add_costs(figures: Figures, changes: int) -> None:
    """Add what a change costs in fleets of real processes."""
    costs = {members: measure_rollout_cost(members, changes) for members in FLEET_SIZES}
    figures.add(
        held_p99_ms={members: cost.held_p99_ms for members, cost in costs.items()},
        change_p95_s={members: cost.change_p95_s for members, cost in costs.items()},
        calls_per_member=costs[max(FLEET_SIZES)].calls_per_member,
    )


def add_service(figures: Figures, seconds: float) -> None:
    """Add the figures of service while policies change."""
    service = measure_service(seconds)
    figures.add(
        answered_ratio=service.answered_ratio,
        back_s=service.return_s,
        back_under_the_wrong_one=service.wrong_attempts,
    )


def add_coordinator_costs(figures: Figures) -> None:
    """Add what a change costs its coordinator in simulated fleets."""
    costs = {members: coordinator_cost(members) for members in DECISION_FLEET_SIZES}
    figures.add(
        carrier_calls={members: cost.calls for members, cost in costs.items()},
        carrier_s={members: cost.seconds for members, cost in costs.items()},
    )


def main() -> None:
    """Run the benchmark and print its figures."""
    arguments = parse_arguments("policy_rollout", __doc__)
    size = QUICK if arguments.is_quick else FULL
    figures = Figures(quick=arguments.is_quick, seed=arguments.seed)
    # The exploration runs beside the runs with faults, which measure no time that it could distort.
    with ProcessPoolExecutor(DECISION_PROCESSES) as pool:
        exploration = Exploration(pool, exploration_plan(size.exploration), size.exploration)
        figures.add(**run_several_with_faults(size.fault_runs, arguments.seed))
        figures.add(**exploration.figures())
    add_costs(figures, size.changes)
    add_service(figures, size.service_s)
    add_coordinator_costs(figures)
    figures.add_duration()
    report_and_exit(figures.by_name, BOUNDS)


if __name__ == "__main__":
    main()
