"""One leader at a time: what a fleet of real processes keeps under faults, and what it costs.

    python -m benchmarks.leadership [--quick]

Last line JSON; status 1: a bound is missed. Quick: 6 gateways for some 25 s of faults, 12 for the counts of
calls; under a minute. In full: four times the faults and ten times the walks.
"""

from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from benchmarks import leadership_decisions, leadership_runs
from benchmarks.decision_exploration import Exploration, ExplorationSize
from benchmarks.harness import Figures, at_least, at_most, parse_arguments, report_and_exit
from benchmarks.leadership_runs import IdleCost

BOUNDS = {
    "owners_accepted_at_once": at_most(0),
    "late_effects_accepted": at_most(0),
    "late_effects_tried": at_least(50),
    "occurrences": at_least(200),
    "occurrences_lost": at_most(0),
    "non_replayable_twice": at_most(0),
    "uniqued_outside_window": at_most(0),
    "rules_broken": at_most(0),
    "handover_p95_leases": at_most(1.5),
    "handover_sigterm_p95_leases": at_most(0.2),
    "moves_over_least": at_most(1.2),
    "calls_flat": at_most(1.5),
    "service_ratio": at_least(0.98),
    "mutants_missed": at_most(0),
    "walks_broken": at_most(0),
}
FLEET_SIZES = (50, 200, 1000)  # members, for the counts of calls


class Extent(NamedTuple):
    """How much is run."""

    fault_turns: int
    handovers: int
    service_s: float
    idle_s: float
    exploration: ExplorationSize


QUICK = Extent(7, 4, 2.5, 2.0, ExplorationSize(60, 8, 1200, 4_000))
FULL = Extent(40, 16, 15.0, 20.0, ExplorationSize(2000, 16, 1200, 60_000))


def add_calls(figures: Figures, cost: IdleCost) -> None:
    """What an idle member costs: in a run, and by the decisions alone in fleets of several sizes."""
    calls = {size: leadership_decisions.count_calls(size) for size in FLEET_SIZES}
    rates = [count.settled_per_s for count in calls.values()]
    figures.add(
        calls_per_member_s=cost.calls_per_s,
        calls_alone={size: count.settled_per_s for size, count in calls.items()},
        calls_to_take={size: count.claiming for size, count in calls.items()},
        calls_flat=round(max(rates) / min(rates), 3),
        idle_cpu_more=cost.cpu_share,
        idle_mb_more=cost.memory_mb,
    )


def measure(extent: Extent, figures: Figures) -> None:
    """Take all figures."""
    figures.add(**leadership_runs.run_faults(extent.fault_turns, figures.by_name["seed"]))
    handovers = leadership_runs.run_handovers(extent.handovers)
    figures.by_name["owners_accepted_at_once"] += handovers.broken
    figures.add(handover_p95_leases=handovers.kill_p95, handover_sigterm_p95_leases=handovers.sigterm_p95)
    service = leadership_runs.run_service(extent.service_s)
    figures.add(service_ratio=service.ratio, answered_in_target=service.shares)
    add_calls(figures, leadership_runs.run_idle(extent.idle_s))
    figures.add(moves_over_least=leadership_decisions.moves_over_least())
    with ProcessPoolExecutor() as pool:
        plan = leadership_decisions.exploration_plan(extent.exploration)
        figures.add(**Exploration(pool, plan, extent.exploration).figures())
    figures.add_duration()


def main() -> None:
    """Run all of it; the last line is JSON."""
    arguments = parse_arguments("leadership", __doc__)
    figures = Figures(quick=arguments.is_quick, seed=arguments.seed)
    measure(QUICK if arguments.is_quick else FULL, figures)
    report_and_exit(figures.by_name, BOUNDS)


if __name__ == "__main__":
    main()
