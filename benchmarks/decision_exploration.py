"""Explores decisions without gateway processes: random walks, mutants to be found, systematic searches."""

from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Executor
from typing import Any, NamedTuple

from gullhold.testing.walking import Explored, Finding, FindingKind, InvariantError

MAX_FAULT_LENGTH = 400  # printed characters of the text of a broken rule
MAX_FINDING_LENGTH = 90  # printed characters of the text of a finding


class ExplorationSize(NamedTuple):
    """How much is explored.

    walks_per_job: random walks of each job in the pool; jobs: their number; max_mutant_walks: the most walks
    taken to find one mutant; max_states: the number of states at which a systematic search stops.
    """

    walks_per_job: int
    jobs: int
    max_mutant_walks: int
    max_states: int


class ExplorationPlan(NamedTuple):
    """What is explored. All functions are called in other processes, so they have to be picklable.

    walk(seed): one random walk; returns hashes of the states that it reached, or raises InvariantError.
    find_mutant: by mutant's name, a search for a walk that finds the mutant. searches: systematic searches.
    """

    walk: Callable[[int], set[int]]
    find_mutant: Mapping[str, Callable[[], Finding | None]]
    searches: Iterable[Callable[[], Explored]]


class WalkResult(NamedTuple):
    """What a job's walks found.

    state_hashes: of the states that they reached; fault: the text of the first broken rule, empty if there is
    none.
    """

    state_hashes: set[int]
    fault: str


class Exploration:
    """An exploration that runs in a pool of processes."""

    def __init__(self, pool: Executor, plan: ExplorationPlan, size: ExplorationSize) -> None:
        """Submit all jobs: mutants first, in the plan's order, so that the longest jobs don't start last."""
        self.walk_count = size.walks_per_job * size.jobs
        self._found = {name: pool.submit(find) for name, find in plan.find_mutant.items()}
        self._walked = [
            pool.submit(run_walks, plan.walk, range(first, first + size.walks_per_job))
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
        state_hashes = set().union(*(one.state_hashes for one in walked))
        return {
            "explored_states": len(state_hashes) + sum(one.states for one in explored),
            "walks": self.walk_count,
            "systematic_depth_whole": min(one.depth for one in explored),
            "walks_broken": len(faults),
            "mutants": len(findings),
            "mutants_found": len(findings) - missed,
            "mutants_missed": missed,
        }


def run_walks(walk: Callable[[int], set[int]], seeds: range) -> WalkResult:
    """Take one walk for each seed, until a walk breaks a rule."""
    state_hashes: set[int] = set()
    for seed in seeds:
        try:
            state_hashes |= walk(seed)
        except InvariantError as fault:
            return WalkResult(state_hashes, str(fault)[:MAX_FAULT_LENGTH])
    return WalkResult(state_hashes, "")


def describe(finding: Finding | None) -> str:
    """The output line that says what found a mutant; a crash is marked, since it shows no broken rule."""
    if finding is None:
        return "NOT FOUND"
    mark = "CRASH: " if finding.kind is FindingKind.CRASH else ""
    return f"{mark}{finding.text[:MAX_FINDING_LENGTH]} (walk {finding.seed})"
