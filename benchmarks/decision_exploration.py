"""Explores decisions without processes: seeded walks, mutants that walks must find, systematic search."""

from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Executor
from typing import Any, NamedTuple

from gullhold.testing.walking import Explored, Finding, FindingKind, InvariantError

MAX_FAULT_LENGTH = 400  # characters of a broken walk that are printed
MAX_FINDING_LENGTH = 90  # characters of a finding that are printed


class ExplorationSize(NamedTuple):
    """How much is explored. max_mutant_walks: for each mutant; max_states: of each systematic search."""

    walks_per_job: int
    jobs: int
    max_mutant_walks: int
    max_states: int


class ExplorationPlan(NamedTuple):
    """What is explored; all functions are called in other processes, so they have to be picklable.

    walk(seed) returns the marks of the states that it met, and raises InvariantError. find_mutant: by the
    mutant's name, a search for a walk that finds it. searches: systematic searches.
    """

    walk: Callable[[int], set[int]]
    find_mutant: Mapping[str, Callable[[], Finding | None]]
    searches: Iterable[Callable[[], Explored]]


class Walked(NamedTuple):
    """Marks of the states that walks met, and the text of the walk that broke, empty if none did."""

    marks: set[int]
    fault: str


class Exploration:
    """An exploration that has begun in a pool of processes."""

    def __init__(self, pool: Executor, plan: ExplorationPlan, size: ExplorationSize) -> None:
        """Mutants come first, in the plan's order: the longest searches should not be the last to begin."""
        self.walk_count = size.walks_per_job * size.jobs
        self._found = {name: pool.submit(find) for name, find in plan.find_mutant.items()}
        self._walked = [
            pool.submit(walk_seeds, plan.walk, range(first, first + size.walks_per_job))
            for first in range(0, self.walk_count, size.walks_per_job)
        ]
        self._explored = [pool.submit(search) for search in plan.searches]

    def figures(self) -> dict[str, Any]:
        """Wait for the results, print what was found, and return the figures by name."""
        findings = {name: job.result() for name, job in self._found.items()}
        walked = [job.result() for job in self._walked]
        explored = [job.result() for job in self._explored]
        faults = [one.fault for one in walked if one.fault]
        for name, finding in findings.items():
            print(f"mutant {name}: {describe(finding)}")
        for fault in faults:
            print("broken:", fault)
        missed = sum(finding is None for finding in findings.values())
        marks = set().union(*(one.marks for one in walked))
        return {
            "explored_states": len(marks) + sum(one.states for one in explored),
            "walks": self.walk_count,
            "systematic_depth_whole": min(one.depth for one in explored),
            "walks_broken": len(faults),
            "mutants": len(findings),
            "mutants_found": len(findings) - missed,
            "mutants_missed": missed,
        }


def walk_seeds(walk: Callable[[int], set[int]], seeds: range) -> Walked:
    """Take a walk from each seed, up to the first that breaks a rule."""
    marks: set[int] = set()
    for seed in seeds:
        try:
            marks |= walk(seed)
        except InvariantError as fault:
            return Walked(marks, str(fault)[:MAX_FAULT_LENGTH])
    return Walked(marks, "")


def describe(finding: Finding | None) -> str:
    """What found a mutant, as a line of the output; a crash is marked as one, for it proves no rule."""
    if finding is None:
        return "NOT FOUND"
    mark = "CRASH: " if finding.kind is FindingKind.CRASH else ""
    return f"{mark}{finding.text[:MAX_FINDING_LENGTH]} (walk {finding.seed})"
