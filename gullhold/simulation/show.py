"""The command `gullhold simulate`: runs simulations, prints coverage and violations, shrinks scripts."""

import os
import sys
from collections import Counter
from collections.abc import Callable
from itertools import zip_longest
from multiprocessing import get_context
from pathlib import Path
from typing import NamedTuple

from loguru import logger
from rich.console import Console
from rich.progress import track
from rich.table import Table

from gullhold.simulation import script
from gullhold.simulation.checker import Rule
from gullhold.simulation.fault_injection import SUPPORTED_KINDS
from gullhold.simulation.runner import Result, faults_of_seed, run_simulation
from gullhold.simulation.script import Fault
from gullhold.simulation.simulation import SimulationSize

EXIT_OK = 0
EXIT_VIOLATION = 1
EXIT_UNUSABLE = 2


class Run(NamedTuple):
    """A finished simulation: its seed, its script and its result."""

    seed: int
    faults: list[Fault]
    result: Result


def run(seeds: str, jobs: int | None, replay: str | None, shrink: str | None, command: str) -> int:
    """Run the command; returns the exit status.

    seeds: N, or FIRST:END without END; jobs: number of processes, 0 or None: one for each core; replay: path
    of a script, which is run with the first seed instead of the scripts that the seeds draw; shrink: path to
    which the first failing script is written, reduced; command: the sub-command's name, for printed lines
    that say how to repeat a run. Status 0: no violation, 1: a violation, 2: unusable arguments.
    """
    try:
        seed_range = _parse_seeds(seeds)
        faults = script.parse_script(Path(replay).read_text("utf-8")) if replay else None
        if not seed_range:
            raise ValueError(f"the range {seeds} contains no seed")
    except (OSError, ValueError, script.ScriptError) as error:
        print(f"gullhold: {replay or seeds}: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    console = Console()
    if faults is not None:
        runs = [_run_script(seed_range[0], faults)]
    else:
        runs = _run_seeds(console, seed_range, jobs)
    _print_coverage(console, runs)
    failing = [each for each in runs if each.result.violations]
    for each in failing:
        _print_violation(each, replay, command)
    if failing and shrink:
        _write_shrunk(failing[0], shrink, command)
    return EXIT_VIOLATION if failing else EXIT_OK


def fails_by(rule: Rule, seed: int) -> Callable[[list[Fault]], bool]:
    """Return a function that checks whether a script breaks this rule in the simulation of this seed."""
    return lambda faults: any(violation.rule == rule for violation in run_simulation(seed, faults).violations)


def _parse_seeds(text: str) -> range:
    first, has_end, end = text.partition(":")
    return range(int(first), int(end) if has_end else int(first) + 1)


def _run_seeds(console: Console, seeds: range, jobs: int | None) -> list[Run]:
    with get_context("spawn").Pool(jobs or os.cpu_count()) as pool:
        return list(track(pool.imap(_run_seed, seeds), "playing", len(seeds), console=console))


def _run_seed(seed: int) -> Run:
    return _run_script(seed, faults_of_seed(seed, SimulationSize()))


def _run_script(seed: int, faults: list[Fault]) -> Run:
    logger.remove()  # simulated gateways would log every fault
    return Run(seed, faults, run_simulation(seed, faults))


def _print_violation(failing: Run, replay: str | None, command: str) -> None:
    violations = failing.result.violations
    first = violations[0]
    repeat_command = f"gullhold {command} --seeds {failing.seed}" + (f" --replay {replay}" if replay else "")
    print(
        f"seed {failing.seed}: {first.rule} at {first.at_us} us: {first.text} "
        f"({len(violations)} in all); again: {repeat_command}"
    )


def _write_shrunk(failing: Run, path: str, command: str) -> None:
    """Reduce a script to the faults that its first violation needs, and write it to a file."""
    rule = failing.result.violations[0].rule
    reduced = script.shrink(failing.faults, fails_by(rule, failing.seed))
    Path(path).write_text(f"# seed {failing.seed}: {rule}\n" + script.format_script(reduced), "utf-8")
    print(
        f"{len(reduced)} of {len(failing.faults)} faults left in {path}; again: "
        f"gullhold {command} --seeds {failing.seed} --replay {path}"
    )


def _print_coverage(console: Console, runs: list[Run]) -> None:
    """Print how many scripts contained each kind of fault, and how often each event was recorded."""
    kind_counts: Counter[str] = Counter()
    event_counts: Counter[str] = Counter()
    pairs = set()
    for each in runs:
        kind_counts.update({fault.kind for fault in each.faults})
        event_counts.update(each.result.counts)
        pairs |= script.kind_pairs(each.faults)
    pair_total = len(SUPPORTED_KINDS) * (len(SUPPORTED_KINDS) - 1) // 2
    table = Table(
        title=f"{len(runs)} scripts, {len(pairs)} of {pair_total} pairs of fault kinds occurred in one script"
    )
    for column in ("fault", "scripts", "event", "times"):
        table.add_column(column)
    kinds = [(str(kind), str(kind_counts[kind])) for kind in sorted(SUPPORTED_KINDS)]
    events = [(name, str(count)) for name, count in sorted(event_counts.items())]
    for kind_cells, event_cells in zip_longest(kinds, events, fillvalue=("", "")):
        table.add_row(*kind_cells, *event_cells)
    console.print(table)
