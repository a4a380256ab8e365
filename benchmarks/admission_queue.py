"""The admission queue: fair shares, latency beside a crowding client, memory, CPU and the outcome of retries.

    python -m benchmarks.admission_queue [--quick]

Prints all figures as JSON in the last line; exits with status 1 if a bound is missed. The gateway is a real
process on loopback; its engines are test doubles, and most of its clients run in this process. The full run
repeats some cases without the queue, and on the last commit before the queue was added.
"""

from pathlib import Path
from typing import NamedTuple

from benchmarks import earlier_version
from benchmarks.admission_queue_cases import (
    measure_latency_ratio,
    measure_rejection_cost,
    measure_retries,
    measure_share_errors,
)
from benchmarks.admission_queue_decisions import cpu_us_of_command
from benchmarks.admission_queue_load import Variant
from benchmarks.admission_queue_tenants import measure_tenant_growth
from benchmarks.harness import Figures, at_least, at_most, make_parser, report_and_exit
from gullhold.testing.running import ADMISSION_OPERATOR_FILE, ROOT

COMMIT_BEFORE_QUEUE = "a6dbb5f"  # the last commit without an admission queue
DECISION_TENANTS = (2, 4000, 100_000)
BOUNDS = {
    "share_error": at_most(0.10),
    "share_error_middle": at_most(0.05),
    "polite_p95_ratio": at_most(1.5),
    "memory_growth_mb": at_most(8.0),
    "memory_second_mb": at_most(2.0),
    "cpu_ratio_tenants": at_most(1.5),
    "cpu_ratio_tenants_module": at_most(1.5),
    "came_back_answered": at_least(0.9),
    "refusal_cpu_ratio": at_most(0.1),
}


class Extent(NamedTuple):
    """The size of a run.

    has_variants: whether some cases also run without the queue and, if git has COMMIT_BEFORE_QUEUE, on that
    commit.
    """

    decision_commands: int
    shares_s: float
    latency_s: float
    retries_s: float
    rejections_s: float
    tenants: int
    has_variants: bool


QUICK = Extent(700, 2.5, 3, 3, 2, 5_000, has_variants=False)
FULL = Extent(6000, 12, 15, 20, 8, 100_000, has_variants=True)


def list_variants(extent: Extent, earlier_root: Path | None) -> list[Variant]:
    """The variants to run, the one with the queue first.

    earlier_root: the folder of the earlier version, or None if git does not have it.
    """
    variants = [Variant("door", ADMISSION_OPERATOR_FILE, ROOT)]
    if extent.has_variants:
        variants.append(Variant("no door", "", ROOT))
    if extent.has_variants and earlier_root is not None:
        variants.append(Variant("earlier", "", earlier_root))
    return variants


def add_decision_cost(figures: Figures, commands: int) -> None:
    """Measure the CPU time of the decision module alone with few and with many tenants."""
    costs = {tenants: cpu_us_of_command(tenants, commands) for tenants in DECISION_TENANTS}
    few, *many = costs.values()
    print(
        "module alone: " + ", ".join(f"{us:.0f} us at {tenants}" for tenants, us in costs.items()), flush=True
    )
    figures.by_name["cpu_ratio_tenants_module"] = round(max(many) / few, 2)


def add_fairness(figures: Figures, extent: Extent, variants: list[Variant]) -> None:
    """Measure shares and the latency of polite clients; the bounds apply to the first variant."""
    errors = {variant.name: measure_share_errors(extent.shares_s, variant) for variant in variants}
    ratios = {variant.name: measure_latency_ratio(extent.latency_s, variant) for variant in variants}
    rounded_ratios = {name: round(ratio, 2) if ratio else None for name, ratio in ratios.items()}
    present = variants[0].name
    figures.by_name |= {
        "share_error": round(errors[present].largest, 3),
        "share_error_middle": round(errors[present].largest_median, 3),
        "share_error_by_way": {name: round(error.largest, 3) for name, error in errors.items()},
        "polite_p95_ratio": rounded_ratios[present],
        "polite_p95_ratio_by_way": rounded_ratios,
    }


def add_costs(figures: Figures, extent: Extent) -> None:
    """Measure the outcome of retries, and the costs of rejections and of many tenants."""
    retries = measure_retries(extent.retries_s)
    rejection_ratio = measure_rejection_cost(extent.rejections_s)
    growth = measure_tenant_growth(extent.tenants)
    figures.by_name |= {
        "memory_growth_mb": round(growth.growth_mb, 2),
        "memory_second_mb": round(growth.further_growth_mb, 2),
        "tenants": extent.tenants,
        "cpu_ratio_tenants": round(growth.cpu_ratio, 2),
        "came_back_answered": round(retries.after_wait or 0, 3),
        "came_back_at_once_answered": round(retries.immediately or 0, 3),
        "refusal_cpu_ratio": round(rejection_ratio, 3),
    }


def main() -> None:
    """Run all cases and print their figures."""
    parser = make_parser("admission_queue", __doc__, "a shorter run with fewer tenants, under a minute")
    is_quick = parser.parse_args().quick
    extent = QUICK if is_quick else FULL
    figures = Figures()
    with earlier_version.checkout(COMMIT_BEFORE_QUEUE) as earlier_root:
        add_decision_cost(figures, extent.decision_commands)
        add_fairness(figures, extent, list_variants(extent, earlier_root))
        add_costs(figures, extent)
    figures.by_name |= {"quick": is_quick, "seconds": round(figures.seconds(), 1)}
    report_and_exit(figures.by_name, BOUNDS)


if __name__ == "__main__":
    main()
