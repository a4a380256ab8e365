"""What all benchmarks share: arguments, figures that are printed as they are taken, bounds, the last line."""

import argparse
import json
import sys
import time
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, NoReturn

ROUNDED_DIGITS = 3


class Bound(NamedTuple):
    """The limit of a figure: the least that it may be if is_minimum, else the most."""

    limit: float
    is_minimum: bool = False

    def is_missed_by(self, value: float | None) -> bool:
        """Whether a figure is beyond the limit; one that could not be taken (None) is."""
        if value is None:
            return True
        return value < self.limit if self.is_minimum else value > self.limit


def at_most(limit: float) -> Bound:
    """A bound above."""
    return Bound(limit)


def at_least(limit: float) -> Bound:
    """A bound below."""
    return Bound(limit, is_minimum=True)


class Arguments(NamedTuple):
    """The command line of a benchmark. seed: of all that is drawn by chance."""

    is_quick: bool
    seed: int


def make_parser(name: str, description: str, quick_help: str | None = None) -> argparse.ArgumentParser:
    """A parser of the command line of benchmarks.NAME; description: a docstring, its first line is shown."""
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
    """The figures of one run by name; each is printed as it is taken."""

    def __init__(self, **figures: Any) -> None:
        """figures: what is known at the start. The clock of seconds() starts here."""
        self.began = time.monotonic()
        self.by_name: dict[str, Any] = figures

    def add(self, **figures: Any) -> None:
        """Add and print some."""
        self.by_name.update(figures)
        print(f"{self.seconds():6.1f} s", figures, flush=True)

    def add_duration(self) -> None:
        """Add the time that the run has taken, in s."""
        self.add(seconds=round(self.seconds(), 1))

    def seconds(self) -> float:
        """Time since the start, in s."""
        return time.monotonic() - self.began


def report_and_exit(figures: Mapping[str, Any], bounds: Mapping[str, Bound]) -> NoReturn:
    """Print the last line: all figures and the names of the missed bounds. Exit with 1 if there are any."""
    missed = [name for name, bound in bounds.items() if bound.is_missed_by(figures[name])]
    print(json.dumps({**figures, "missed": missed}))
    sys.exit(1 if missed else 0)


def quantile(values: Iterable[float], share: float = 0.95) -> float | None:
    """Return the least value that is not below this share of all, or None without values."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[int(share * (len(ordered) - 1))]


def rounded_quantile(values: Iterable[float], share: float = 0.95) -> float | None:
    """Return quantile() with three digits."""
    value = quantile(values, share)
    return None if value is None else round(value, ROUNDED_DIGITS)
