"""Rollouts of a policy under load, each with a fault while the change is open."""

import random
import time
from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import Any, NamedTuple

from benchmarks.fleet_load import count_fault_lines, stop_clients
from benchmarks.harness import rounded_quantile
from benchmarks.policy_rollout_fleet import (
    FIRST_GRANT_MB,
    FLEET_NAME,
    make_fleet,
    start_load,
    wait_for_version,
)
from gullhold.rollout.policy_change import Overlap
from gullhold.rollout.policy_client import ExitStatus, PolicyClient, StoreUnavailableError
from gullhold.rollout.policy_version import PolicyError
from gullhold.testing import load_client
from gullhold.testing.budget_checker import AllocationHistory, peak_threads
from gullhold.testing.fleet import FleetRig
from gullhold.testing.rollout_checker import RolloutChecker, attempts_with_policy, measure_overlap

TOTAL_THREADS = 24  # the fleet's budget of threads
THREADS_DECREASE = 8  # threads by which every second policy lowers the budget
CHANGES_PER_RUN = 44  # changes on one fleet: few enough for each to grant another amount below MAX_GRANT_MB
MEMBERS = 6
SURVIVING_MEMBERS = 4  # the first members, which are never killed
VOTE_TIMEOUT_US = 1_500_000  # time that the coordinator waits for votes of silent members
RETRY_S = 0.3  # wait after a proposal that failed because the last change is still open
MAX_FAULT_DELAY_S = 0.05  # longest time from the proposal to the fault
FAULT_DURATION_S = 0.2
OUTCOME_TIMEOUT_S = 6  # time in which the outcome of a change has to be known, faults included
CUT_DIRECTIONS = (("there",), ("back",), ("there", "back"))  # between gateway and store, by turns
JOURNAL_STATES = {ExitStatus.IN_FORCE: "decided", ExitStatus.DROPPED: "dropped"}  # by reported outcome


class Fault(IntEnum):
    """What goes wrong while a change is made; changes get these faults one after another."""

    KILL = 0
    PAUSE = 1
    CUT = 2
    LOST_CALLS = 3
    STORE_RESTART = 4
    DELAYS = 5


class Outcome(NamedTuple):
    """The outcome of a change as reported to its author. number: of the proposed version."""

    number: int
    status: ExitStatus
    overlap: Overlap


class AppliedChange(NamedTuple):
    """A change that came into force."""

    grant_mb: int
    overlap: Overlap


class Overlaps(NamedTuple):
    """How far changes overlapped with the policy before them.

    strict_mixed: attempts sent under the earlier policy after the first one under a strict change's policy;
    lengths_ms: the duration of each change's overlap.
    """

    strict_mixed: int
    lengths_ms: list[float]


def policy_with_budget(grant_mb: int, turn: int) -> str:
    """A policy recognisable by the memory that it grants, whose budget alternates between two totals."""
    threads = TOTAL_THREADS - THREADS_DECREASE * (turn % 2)
    return f"policy: {{grants: read: {grant_mb}, budgets: threads: {threads}}}"


def run_with_faults(count: int, seed: int) -> dict[str, Any]:
    """Make changes to a fleet under load, each with a fault; returns the figures by name."""
    draw = random.Random(seed)
    outcomes = []
    applied = []
    budgets = [{"of": '"threads"', "whole": TOTAL_THREADS, "linger": "600ms"}]
    with make_fleet(MEMBERS, budgets=budgets, seed=seed) as rig:
        rig.start()
        wait_for_version(rig, 0, rig.names)
        policy_client = PolicyClient(rig.store_address, FLEET_NAME)
        clients = start_load(rig, rig.names)
        for turn in range(count):
            outcome = _change_with_fault(rig, policy_client, turn, draw)
            if outcome is None:
                continue
            outcomes.append(outcome)
            if RolloutChecker(rig.journal_lines()).outcomes.get(outcome.number) == "decided":
                applied.append(AppliedChange(FIRST_GRANT_MB + turn, outcome.overlap))
        time.sleep(0.5)
        wait_for_version(rig, policy_client.current().number, rig.names)
        stop_clients(clients)
        return collect_figures(rig, clients, outcomes, applied)


def _change_with_fault(
    rig: FleetRig, policy_client: PolicyClient, turn: int, draw: random.Random
) -> Outcome | None:
    """Make one change with a fault; returns None if the change can't be proposed yet."""
    fault = Fault(turn % len(Fault))
    name = draw.choice(rig.names[SURVIVING_MEMBERS:] if fault == Fault.KILL else rig.names)
    overlap = Overlap.LOOSE if turn // len(Fault) % 2 else Overlap.STRICT
    text = policy_with_budget(FIRST_GRANT_MB + turn, turn)
    try:
        version = policy_client.propose(text, "bench", "b", overlap=overlap, patience_us=VOTE_TIMEOUT_US)
    except (PolicyError, StoreUnavailableError):  # the last change is still open, or the store is down
        time.sleep(RETRY_S)
        return None
    time.sleep(draw.random() * MAX_FAULT_DELAY_S)
    _begin_fault(rig, fault, name, turn)
    policy_client.wait(version.number, FAULT_DURATION_S)
    _end_fault(rig, fault, name)
    return Outcome(version.number, policy_client.wait(version.number, OUTCOME_TIMEOUT_S).status, overlap)


def _begin_fault(rig: FleetRig, fault: Fault, name: str, turn: int) -> None:
    """Cause a fault. name: the gateway that is affected if the fault concerns one."""
    match fault:
        case Fault.KILL:
            rig.kill(name)
        case Fault.PAUSE:
            rig.pause(name)
        case Fault.CUT:
            rig.cut(name, directions=CUT_DIRECTIONS[turn % len(CUT_DIRECTIONS)])
        case Fault.LOST_CALLS:
            rig.inject_store_faults(lose=5, stale=3, behind=3)
        case Fault.STORE_RESTART:
            rig.kill_store()
            rig.start_store()
        case Fault.DELAYS:
            rig.inject_store_faults(drop=1, delay=0.3, delay_s=0.05)


def _end_fault(rig: FleetRig, fault: Fault, name: str) -> None:
    """End a fault that does not end by itself."""
    match fault:
        case Fault.KILL:
            rig.start(name, wait=False)
        case Fault.PAUSE:
            rig.resume(name)
        case Fault.CUT:
            rig.heal(name)


def collect_figures(
    rig: FleetRig,
    clients: Sequence[load_client.LoadClient],
    outcomes: Sequence[Outcome],
    applied: Sequence[AppliedChange],
) -> dict[str, Any]:
    """The figures of a run, from engines, clients, the store's journal and the gateways' logs."""
    check = RolloutChecker(rig.journal_lines())
    overlaps = measure_overlaps(rig, applied)
    over_on_engine = peak_threads(rig.engines[0].attempts).amount > TOTAL_THREADS
    over_allocated = max(AllocationHistory(rig.journal_lines()).max_sums.values(), default=0) > TOTAL_THREADS
    return {
        "changes": len(outcomes),
        "in_force": sum(outcome.status == ExitStatus.IN_FORCE for outcome in outcomes),
        "dropped": sum(outcome.status == ExitStatus.DROPPED for outcome in outcomes),
        "split": check.divergent_changes,
        "mixed_sends": overlaps.strict_mixed,
        "overlap_p99_ms": rounded_quantile(overlaps.lengths_ms, 0.99),
        "overlap_most_ms": max(overlaps.lengths_ms),
        "in_force_without_all_ready": check.decided_without_all,
        "turned_down_in_force": check.decided_though_refused,
        "unknown_reported_as_known": _count_misreported(check, outcomes),
        "commands_lost": sum(client.counts.unanswered for client in clients[:SURVIVING_MEMBERS]),
        "answered_twice": sum(client.counts.duplicate_answers for client in clients),
        "rules_broken": count_fault_lines(rig),
        "over_whole": over_on_engine + over_allocated,
        "asked": sum(client.counts.sent for client in clients),
    }


def _count_misreported(check: RolloutChecker, outcomes: Iterable[Outcome]) -> int:
    """The number of outcomes that were reported as known but differ from those in the store's journal."""
    return sum(
        outcome.status in JOURNAL_STATES
        and check.outcomes.get(outcome.number) != JOURNAL_STATES[outcome.status]
        for outcome in outcomes
    )


def measure_overlaps(rig: FleetRig, applied: Sequence[AppliedChange]) -> Overlaps:
    """Measure how far attempts under each change's policy and under the one before were mixed."""
    attempts = attempts_with_policy(rig.engines, [change.grant_mb for change in applied])
    strict_mixed = 0
    lengths_ms = []
    for place, change in enumerate(applied, 1):
        pair = [
            (attempt.at, attempt.policy_index >= place)
            for attempt in attempts
            if attempt.policy_index in (place - 1, place)
        ]
        overlap = measure_overlap(pair)
        if change.overlap == Overlap.STRICT:
            strict_mixed += overlap.stale_attempts
        lengths_ms.append(overlap.overlap_ms)
    return Overlaps(strict_mixed, lengths_ms)


def run_several_with_faults(runs: int, seed: int) -> dict[str, Any]:
    """Run several fleets one after another; returns the sums of figures, of times (*_ms) the maximum."""
    rows = [run_with_faults(CHANGES_PER_RUN, seed + number) for number in range(runs)]
    return {name: (max if name.endswith("_ms") else sum)(row[name] for row in rows) for name in rows[0]}
