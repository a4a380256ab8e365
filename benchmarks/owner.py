"""One owner at a time: what a fleet of real processes keeps under faults, and what it costs.

    python -m benchmarks.owner [--quick]

Quick: 6 gateways for some 25 s of faults, 12 for the counts of calls; under a minute. In full: four times the
faults and ten times the walks.
"""

import argparse
import sys
import time
from typing import Any

from benchmarks import close, owner_decisions, owner_runs

BOUNDS = {
    "owners_accepted_at_once": 0,
    "late_effects_accepted": 0,
    "late_effects_tried": (50, "least"),
    "occurrences": (200, "least"),
    "occurrences_lost": 0,
    "non_replayable_twice": 0,
    "uniqued_outside_window": 0,
    "rules_broken": 0,
    "handover_p95_leases": 1.5,
    "handover_sigterm_p95_leases": 0.2,
    "moves_over_least": 1.2,
    "calls_flat": 1.5,
    "service_ratio": (0.98, "least"),
    "mutants_missed": 0,
    "walks_broken": 0,
}
SIZES = (50, 200, 1000)  # members, for the counts of calls


class Figures:
    """The figures of a run, printed as they come."""

    def __init__(self, is_quick: bool, seed: int) -> None:
        """Both are figures themselves."""
        self.began = time.monotonic()
        self.all: dict[str, Any] = {"quick": is_quick, "seed": seed}

    def seconds(self) -> float:
        """Since the beginning."""
        return time.monotonic() - self.began

    def add(self, **figures: Any) -> None:
        """Add and print some."""
        self.all.update(figures)
        print(f"{self.seconds():6.1f} s", figures, flush=True)


def run(is_quick: bool, seed: int) -> dict[str, Any]:
    """All figures."""
    figures = Figures(is_quick, seed)
    figures.add(**owner_runs.run_faults(7 if is_quick else 40, seed))
    handovers = owner_runs.run_handovers(4 if is_quick else 16)
    figures.all["owners_accepted_at_once"] += handovers.broken
    figures.add(handover_p95_leases=handovers.kill_p95, handover_sigterm_p95_leases=handovers.sigterm_p95)
    service = owner_runs.run_service(2.5 if is_quick else 15)
    figures.add(service_ratio=service.ratio, answered_in_target=service.shares)
    cost = owner_runs.run_idle(2 if is_quick else 20)
    calls = {size: owner_decisions.count_calls(size) for size in SIZES}
    rates = [count.settled_per_s for count in calls.values()]
    figures.add(
        calls_per_member_s=cost.calls,
        calls_alone={size: count.settled_per_s for size, count in calls.items()},
        calls_to_take={size: count.claiming for size, count in calls.items()},
        calls_flat=round(max(rates) / min(rates), 3),
        idle_cpu_more=cost.cpu,
        idle_mb_more=cost.memory_mb,
    )
    figures.add(moves_over_least=owner_decisions.moves_over_least())
    figures.add(**owner_decisions.explore(is_quick))
    figures.add(seconds=round(figures.seconds(), 1))
    return figures.all


def main() -> None:
    """All of it; the last line is JSON."""
    parser = argparse.ArgumentParser(prog="benchmarks.owner", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    figures = run(args.quick, args.seed)
    sys.stdout.flush()
    close(figures, BOUNDS)


if __name__ == "__main__":
    main()
