"""Budgets of a fleet: `python -m benchmarks.budgets [--quick]`. Last line JSON; status 1: a bound is missed.

Gateways, store and faults are real processes; engines stand in here and count what is in them.
"""

import argparse
import sys
import time
from concurrent.futures import Future, ProcessPoolExecutor
from typing import Any, NamedTuple

from benchmarks import begin_decisions, close, decided
from benchmarks.budget_calls import CallCosts, calls_alone
from benchmarks.budget_rigs import (
    MEMBERS,
    cost,
    faults,
    gain,
    member_calls,
    redivided,
    service,
    threads_budget,
    used,
)
from gullhold.budgets.ledger import LedgerKind
from gullhold.testing import budget_explorer, budget_mutants

BOUNDS = {
    "over_whole": 0,
    "moves": (300, "least"),
    "used_of_whole": (0.9, "least"),
    "used_even": (0.95, "least"),
    "redivided_order_p95_s": 0.5,
    "redivided_kill_p95_leases": 2.5,
    "answered_gain": (1.0, "least"),
    "cold_fallen": 0,
    "calls_flat": 1.5,
    "service_ratio": (0.98, "least"),
    "mutants_missed": 0,
    "walks_broken": 0,
    "cpu_over": 1.05,
}
STEPS = 800  # of a walk
SLOW_MUTANTS = (
    "NoFence",
    "ForgetsExpiringOnLoad",
    "IgnoresChangesWhileReading",
    "TakesUnknownForDone",
    "reports not compared",
    "drift left out",
)
FLEET_SIZES = (200, 1000)  # members, by the decisions alone
RIGS_AT_ONCE = 2
DECISION_PROCESSES = 5


class Extent(NamedTuple):
    """How much is run. decisions: walks a job, jobs, walks a mutant, states of a search."""

    run_s: float
    calls_s: float
    fault_turns: int
    redivisions: int
    decisions: tuple[int, int, int, int]


QUICK = Extent(1.5, 2.0, 7, 4, (30, 8, 1200, 1500))
FULL = Extent(15.0, 20.0, 60, 20, (400, 16, 6000, 40_000))


class Figures:
    """What was measured, by name; printed as it comes."""

    def __init__(self, **facts: Any) -> None:
        self.began = time.monotonic()
        self.by_name = facts

    def add(self, **facts: Any) -> None:
        """Take in and print."""
        self.by_name.update(facts)
        print(f"{self.seconds():6.1f} s", facts, flush=True)

    def seconds(self) -> float:
        """Since the begin."""
        return time.monotonic() - self.began


class RigRuns:
    """All runs with real processes, begun; results are waited for in the order of the page."""

    def __init__(self, pool: ProcessPoolExecutor, extent: Extent, seed: int) -> None:
        names = [f"n{number}" for number in range(MEMBERS)]
        budgets = [threads_budget()]
        seconds = extent.run_s
        self.faults = pool.submit(faults, extent.fault_turns, seed)
        self.redivided = pool.submit(redivided, extent.redivisions)
        self.used_by_one = pool.submit(used, seconds, names[:1], budgets)
        self.used_without = pool.submit(used, seconds, names[:1], [])
        self.used_evenly = pool.submit(used, seconds, names, budgets)
        self.gain = pool.submit(gain, seconds, [threads_budget(), {"of": '"cold"', "window": "1s"}])
        self.gain_without = pool.submit(gain, seconds, [])
        self.service = pool.submit(service, seconds, [threads_budget(alone=10, members=MEMBERS)])
        self.service_without = pool.submit(service, seconds, [])
        self.calls = pool.submit(member_calls, extent.calls_s)

    def add_results(self, figures: Figures) -> None:
        """Wait for them, in order."""
        figures.add(**self.faults.result())
        redivision = self.redivided.result()
        figures.add(
            redivided_order_p95_s=redivision.after_leave_s,
            redivided_kill_p95_leases=redivision.after_kill_leases,
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


def add_calls(figures: Figures, runs: RigRuns, alone: dict[int, Future[CallCosts]]) -> None:
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
    """All of it; the last line is JSON."""
    parser = argparse.ArgumentParser(prog="benchmarks.budgets", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    extent = QUICK if args.quick else FULL
    figures = Figures(quick=args.quick, seed=args.seed)
    # Rigs two at a time, decisions beside them; what a command costs is measured by itself.
    with ProcessPoolExecutor(RIGS_AT_ONCE) as rigs, ProcessPoolExecutor(DECISION_PROCESSES) as pool:
        decisions = begin_decisions(
            pool,
            budget_explorer,
            budget_mutants,
            STEPS,
            extent.decisions,
            (LedgerKind.HELD, LedgerKind.WINDOWED),
            SLOW_MUTANTS,
        )
        alone = {members: pool.submit(calls_alone, members) for members in FLEET_SIZES}
        runs = RigRuns(rigs, extent, args.seed)
        runs.add_results(figures)
        add_calls(figures, runs, alone)
        figures.add(**decided(*decisions))
    command_cost = cost(2 * extent.run_s)
    figures.add(cpu_over=command_cost.ratio, cpu_off_us=command_cost.us_without)
    figures.add(seconds=round(figures.seconds(), 1))
    sys.stdout.flush()
    close(figures.by_name, BOUNDS)


if __name__ == "__main__":
    main()
