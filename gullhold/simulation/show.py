"""`gullhold simulate`: plays scripts, prints what was met and what broke, cuts a failing script down."""

import os
import sys
from collections import Counter
from collections.abc import Callable
from multiprocessing import get_context
from pathlib import Path

from loguru import logger
from rich.console import Console
from rich.progress import track
from rich.table import Table

from gullhold.simulation import play, script
from gullhold.simulation.world import WorldSize


def _one(seed: int) -> tuple[int, play.Result, list[script.Fault]]:
    logger.remove()  # what gateways log of their faults is no news here
    return seed, play.play(seed), play.faults_of(seed, WorldSize())


def _span(text: str) -> range:
    first, found, last = text.partition(":")
    return range(int(first), int(last)) if found else range(int(first), int(first) + 1)


def _failing(rule: str, seed: int) -> Callable[[list[script.Fault]], bool]:
    """Whether a script still breaks this rule."""
    return lambda faults: any(broken[1] == rule for broken in play.play(seed, faults).broken)


def run(seeds: str, jobs: int | None, replay: str | None, shrink: str | None, command: str) -> int:
    """The exit status: 0 no rule broken, 1 one was, 2 what was asked for can't be played.

    `command` is the sub-command's name in the printed lines that say how to run a script again.
    """
    try:
        seeds = _span(seeds)
        faults = script.faults_of(Path(replay).read_text("utf-8")) if replay else None
        if not seeds:
            raise ValueError("no seed")
    except (OSError, ValueError, script.ScriptError) as fault:
        print(f"gullhold: {replay or seeds}: {fault}", file=sys.stderr)
        return 2
    console = Console()
    if replay:
        logger.remove()
        found = [(seeds[0], play.play(seeds[0], faults), faults)]
    else:
        with get_context("spawn").Pool(jobs or os.cpu_count()) as pool:
            found = list(track(pool.imap(_one, seeds), "playing", len(seeds), console=console))
    _table(console, found)
    broken = [(seed, result.broken, faults) for seed, result, faults in found if result.broken]
    for seed, rules, _ in broken:
        at, rule, text = rules[0]
        again = f"gullhold {command} --seeds {seed}" + (f" --replay {replay}" if replay else "")
        print(f"seed {seed}: {rule} at {at} us: {text} ({len(rules)} in all); again: {again}")
    if broken and shrink:
        seed, rules, faults = broken[0]
        fewer = script.shrunk(faults, _failing(rules[0][1], seed))
        Path(shrink).write_text(f"# seed {seed}: {rules[0][1]}\n" + script.text_of(fewer), "utf-8")
        print(
            f"{len(fewer)} of {len(faults)} faults left in {shrink}; again: "
            f"gullhold {command} --seeds {seed} --replay {shrink}"
        )
    return 1 if broken else 0


def _table(console: Console, found: list[tuple[int, play.Result, list[script.Fault]]]) -> None:
    kinds = Counter()
    pairs = set()
    counts = Counter()
    for _, result, faults in found:
        kinds.update({fault.kind for fault in faults})
        pairs |= script.pairs(faults)
        counts.update(result.counts)
    most = len(play.PLAYED) * (len(play.PLAYED) - 1) // 2
    table = Table(title=f"{len(found)} scripts, {len(pairs)} of {most} pairs of faults met together")
    for column in ("fault", "scripts", "what passed", "times"):
        table.add_column(column)
    rows = [(kind, str(kinds[kind])) for kind in sorted(play.PLAYED)]
    seen = [(name, str(number)) for name, number in sorted(counts.items())]
    for at in range(max(len(rows), len(seen))):
        table.add_row(*(rows[at : at + 1] or [("", "")])[0], *(seen[at : at + 1] or [("", "")])[0])
    console.print(table)
