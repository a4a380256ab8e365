"""Measurements that take longer than tests: `python -m benchmarks.NAME [--quick]`.

Each prints what it sees as it goes, then one JSON object as its last line, and exits with 1 where a bound is
missed.
"""

import json
import subprocess
import sys
import tarfile
import tempfile
from contextlib import contextmanager
from io import BytesIO
from pathlib import Path

from gullhold.testing.walking import FindingKind, InvariantError

ROOT = Path(__file__).resolve().parents[1]


@contextmanager
def earlier(commit):
    """A folder with the project as it was at a commit, or None where git does not have it."""
    found = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=False)
    if found.returncode:
        yield None
        return
    with tempfile.TemporaryDirectory(prefix="gullhold-earlier-") as folder:
        with tarfile.open(fileobj=BytesIO(found.stdout)) as packed:
            packed.extractall(folder, filter="data")
        yield Path(folder)


def close(figures, bounds):
    """Print the last line and end: figures by name; bounds: the most or (least, "least") by name."""
    missed = []
    for name, bound in bounds.items():
        at_least = isinstance(bound, tuple)
        limit, value = bound[0] if at_least else bound, figures[name]
        if value is None or (value < limit if at_least else value > limit):
            missed.append(name)
    print(json.dumps(figures | {"missed": missed}))
    sys.exit(1 if missed else 0)


def p95(values, part=0.95):
    """The 95th percentile, or another, or None."""
    return round(sorted(values)[int(part * (len(values) - 1))], 3) if values else None


def walks(job):
    """Marks of states that some walks of an explorer met, or what broke."""
    walk, first, last, steps = job
    met = set()
    for seed in range(first, last):
        try:
            met |= walk(seed, steps, marks=True)
        except InvariantError as fault:
            return met, str(fault)[:400]
    return met, ""


def hunt(job):
    """Whether a mutant is found, and by which walk."""
    find, name, most, steps = job
    return name, find(name, most, steps)


def describe(finding):
    """What showed a mutant, as a line of the output; a crash is marked, for it proves no rule."""
    if finding is None:
        return "NOT FOUND"
    mark = "CRASH: " if finding.kind is FindingKind.CRASH else ""
    return f"{mark}{finding.text[:90]} (walk {finding.seed})"


def begin_decisions(pool, check, mutants, steps, sizes, worlds, slow=()):
    """Begin to play decisions alone; what decided() needs.

    check, mutants: an explorer and its mutants; sizes: walks a job, jobs, walks a mutant, states of a search;
    worlds: what the search is told; slow: mutants that take longest, so that no core waits for them.
    """
    per, jobs, most, states = sizes
    names = sorted(mutants.MUTANTS, key=lambda name: name not in slow)
    hunted = pool.map(hunt, [(mutants.find, name, most, steps) for name in names])
    played = pool.map(walks, [(check.walk, i * per, (i + 1) * per, steps) for i in range(jobs)])
    return per * jobs, hunted, played, [pool.submit(check.explore, world, 8, states) for world in worlds]


def decided(count, hunted, played, systematic):
    """The decisions alone: states met, broken walks, mutants found."""
    found, met, broken = dict(hunted), set(), []
    for marks, fault in played:
        met |= marks
        broken += [fault] if fault else []
    states = [one.result() for one in systematic]
    for name, finding in found.items():
        print(f"mutant {name}: {describe(finding)}")
    for fault in broken:
        print("broken:", fault)
    return {
        "explored_states": len(met) + sum(number for number, _ in states),
        "walks": count,
        "systematic_depth_whole": min(depth for _, depth in states),
        "walks_broken": len(broken),
        "mutants": len(found),
        "mutants_found": sum(finding is not None for finding in found.values()),
        "mutants_missed": sum(finding is None for finding in found.values()),
    }
