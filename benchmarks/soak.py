"""A soak test of real gateways: `python -m benchmarks.soak [--seeds A:B] [--seconds N] [--replay SEED]`.

Each seed draws one plan of faults, signals and client load. The rules are checked only on what clients and
engines observe on the wire. Prints JSON in the last line: the number of seeds, the number of requests
checked, and each violation with its seed; exits with status 1 if there is any violation.
"""

import argparse
import json
import sys
import time
from dataclasses import asdict

from gullhold.testing.soak.plan import draw_plan
from gullhold.testing.soak.run import run_plan
from gullhold.testing.soak.violations import Violation

DEFAULT_SEEDS = "0:50"
MAX_PRINTED_VIOLATIONS = 5  # violations in the output line of one seed


def parse_seeds(text: str) -> range:
    """Parse A:B, the first seed and the one after the last. Raises ValueError."""
    first, _, end = text.partition(":")
    return range(int(first), int(end))


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="benchmarks.soak", description=(__doc__ or "").splitlines()[0])
    parser.add_argument(
        "--seeds",
        type=parse_seeds,
        default=parse_seeds(DEFAULT_SEEDS),
        help="seeds from A up to B, B not included",
    )
    parser.add_argument(
        "--seconds", type=float, default=float("inf"), help="start no further seed after this time"
    )
    parser.add_argument("--replay", type=int, help="run only this seed, and print its plan")
    return parser.parse_args()


def main() -> None:
    """Run the plan of each seed and print the violations."""
    arguments = parse_arguments()
    seeds = arguments.seeds if arguments.replay is None else range(arguments.replay, arguments.replay + 1)
    began = time.monotonic()
    violations: dict[int, list[Violation]] = {}
    run_count = requests = 0
    for seed in seeds:
        if time.monotonic() - began > arguments.seconds:
            break
        plan = draw_plan(seed)
        if arguments.replay is not None:
            print(json.dumps(asdict(plan), default=str))
        outcome = run_plan(plan)
        run_count += 1
        requests += outcome.requests
        if outcome.violations:
            violations[seed] = outcome.violations
        shown = [asdict(violation) for violation in outcome.violations[:MAX_PRINTED_VIOLATIONS]]
        print(
            f"{time.monotonic() - began:6.1f} s seed {seed} requests {outcome.requests} {shown}", flush=True
        )
    rows = [{"seed": seed, **asdict(violation)} for seed, found in violations.items() for violation in found]
    print(json.dumps({"seeds": run_count, "requests": requests, "violations": rows}))
    sys.exit(1 if rows else 0)


if __name__ == "__main__":
    main()
