"""What a gateway needs with 3,200 engines compared with 80: `python -m benchmarks.fleet_size [--quick]`.

Traffic, total capacity and the replaced share are the same at both sizes. The gateway is a real process on
loopback; a test double of the discovery service replaces 60% of the engines within 7 s. The bounds are those
that the users set for this test. Two figures are measured in this process: the time that the decision module
takes for a command and for a change of the endpoint list. Prints all figures as JSON in the last line; exits
with status 1 if a bound is missed.
"""

from statistics import median
from typing import Any

from benchmarks.fleet_size_decisions import DecisionTimes, measure_decisions
from benchmarks.fleet_size_gateway import CORES, DATASETS, GatewayFigures, run_size
from benchmarks.harness import at_least, at_most, parse_arguments, report_and_exit

SMALL, LARGE = 80, 3200  # engines
THOUSANDS = LARGE / 1000  # the bounds grow with each thousand engines
MIN_DECISION_ROUNDS = 3  # the fastest one counts
# The large size may need this many times what the small one does. The bounds on "extra" limit the excess.
ALLOWED_RATIOS = {"cpu_s": 1.4, "memory_mb": 1.5, "descriptors": 2.0, "connections": 2.5, "list_bytes": 2.0}
BOUNDS = {
    "cpu_extra_s": at_most(0.02 + 0.12 * THOUSANDS),
    "memory_extra_mb": at_most(8.0 + 4.0 * THOUSANDS),
    "descriptors_extra": at_most(40.0),
    "connections_extra": at_most(40.0),
    "list_bytes_extra_kb": at_most(64.0 + 500.0 * THOUSANDS),
    "served_ratio": at_least(0.85),
    "us_per_list_change_ratio": at_most(1.5),
    "us_per_command_ratio": at_most(1.5),
}


def measure_size(size: int, rounds: int, seed: int) -> dict[str, float]:
    """Measure one size: figures of GatewayFigures (medians) and DecisionTimes (minima) by name."""
    runs = [run_size(size, seed + turn) for turn in range(rounds)]
    decisions = [
        measure_decisions(size, CORES, DATASETS, seed + turn)
        for turn in range(max(MIN_DECISION_ROUNDS, rounds))
    ]
    figures = {name: median(getattr(run, name) for run in runs) for name in GatewayFigures._fields}
    figures |= {name: min(getattr(times, name) for times in decisions) for name in DecisionTimes._fields}
    print(size, {name: round(value, 2) for name, value in figures.items()}, flush=True)
    return figures


def compare(small: dict[str, float], large: dict[str, float]) -> dict[str, Any]:
    """The ratios of the figures, and by how much the large size exceeds ALLOWED_RATIOS."""
    ratios = {name: round(large[name] / small[name], 3) for name in small}
    extra = {name: large[name] - ratio * small[name] for name, ratio in ALLOWED_RATIOS.items()}
    return {
        "list_bytes_ratio": ratios["list_bytes"],
        "descriptors_ratio": ratios["descriptors"],
        "connections_ratio": ratios["connections"],
        "served_ratio": ratios["served"],
        "us_per_command_ratio": ratios["us_per_command"],
        "us_per_list_change_ratio": ratios["us_per_list_change"],
        "cpu_extra_s": round(extra["cpu_s"], 3),
        "memory_extra_mb": round(extra["memory_mb"], 3),
        "descriptors_extra": round(extra["descriptors"], 3),
        "connections_extra": round(extra["connections"], 3),
        "list_bytes_extra_kb": round(extra["list_bytes"] / 1000, 1),
        "cpu_ratio": ratios["cpu_s"],
        "memory_ratio": ratios["memory_mb"],
    }


def main() -> None:
    """Run the benchmark and print its figures."""
    arguments = parse_arguments("fleet_size", __doc__)
    rounds = 1 if arguments.is_quick else 3
    small, large = (measure_size(size, rounds, arguments.seed) for size in (SMALL, LARGE))
    figures = {"quick": arguments.is_quick, "seed": arguments.seed}
    report_and_exit(figures | compare(small, large), BOUNDS)


if __name__ == "__main__":
    main()
