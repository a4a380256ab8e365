"""What all benchmarks share: command lines, bounds, and figures with the JSON object in the last line."""

import argparse
import json
import sys
import time
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, NoReturn

ROUNDED_DIGITS = 3


class Bound(NamedTuple):
    """The limit of a figure: its minimum if is_minimum is set, else its maximum."""

    limit: float
    is_minimum: bool = False

    def is_missed_by(self, value: float | None) -> bool:
        """Whether a figure is beyond the limit. A figure that could not be measured (None) always is."""
        if value is None:
            return True
        return value < self.limit if self.is_minimum else value > self.limit


def at_most(limit: float) -> Bound:
    """A bound with a maximum."""
    return Bound(limit)


def at_least(limit: float) -> Bound:
    """A bound with a minimum."""
    return Bound(limit, is_minimum=True)


class Arguments(NamedTuple):
    """The command line of a benchmark. seed: of all its random generators."""

    is_quick: bool
    seed: int


def make_parser(name: str, description: str, quick_help: str | None = None) -> argparse.ArgumentParser:
    """Make the command-line parser of benchmarks.NAME.

    description: a docstring, whose first line the help shows; quick_help: the help text of --quick.
    """
    parser = argparse.ArgumentParser(prog=f"benchmarks.{name}", description=description.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help=quick_help)
    return parser


def parse_arguments(name: str, description: str) -> Arguments:
    """Read the command line of a benchmark that takes a seed."""
    parser = make_parser(name, description)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    return Arguments(arguments.quick, arguments.seed)


class Figures:
    """The figures of one run by name; add() prints them as they are measured."""

    def __init__(self, **figures: Any) -> None:
        """Start the clock of seconds(). figures: those that are known at the start."""
        self.began = time.monotonic()
        self.by_name: dict[str, Any] = figures

    def add(self, **figures: Any) -> None:
        """Add figures, and print them with the time since the start."""
        self.by_name.update(figures)
        print(f"{self.seconds():6.1f} s", figures, flush=True)

    def add_duration(self) -> None:
        """Add the time since the start, in s, as the figure `seconds`."""
        self.add(seconds=round(self.seconds(), 1))

    def seconds(self) -> float:
        """Time since the start, in s."""
        return time.monotonic() - self.began


def report_and_exit(figures: Mapping[str, Any], bounds: Mapping[str, Bound]) -> NoReturn:
    """Print all figures and the names of missed bounds as JSON; exit with status 1 if a bound is missed."""
    missed = [name for name, bound in bounds.items() if bound.is_missed_by(figures[name])]
    print(json.dumps({**figures, "missed": missed}))
    sys.exit(1 if missed else 0)


def quantile(values: Iterable[float], share: float = 0.95) -> float | None:
    """Return the value at this share of the way through the sorted values, or None without values."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[int(share * (len(ordered) - 1))]


def rounded_quantile(values: Iterable[float], share: float = 0.95) -> float | None:
    """Return quantile() rounded to ROUNDED_DIGITS decimal places."""
    value = quantile(values, share)
    return None if value is None else round(value, ROUNDED_DIGITS)
