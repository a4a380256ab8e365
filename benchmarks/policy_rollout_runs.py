"""Rollouts of a policy with no fault but the kill of one gateway: what they cost and delay."""

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from benchmarks.fleet_load import answered_share, count_store_calls, stop_clients
from benchmarks.harness import rounded_quantile
from benchmarks.policy_rollout_fleet import (
    FIRST_GRANT_MB,
    FLEET_NAME,
    MAX_GRANT_MB,
    make_fleet,
    policy_text,
    start_load,
    wait_for_version,
)
from gullhold.rollout.policy_change import Overlap
from gullhold.rollout.policy_client import ExitStatus, PolicyClient
from gullhold.testing import load_client
from gullhold.testing.fleet import FleetRig
from gullhold.testing.rollout_checker import RolloutChecker, attempts_with_policy

STRICT_CHANGE_TIMEOUT_S = 8  # time in which a strict change has to come into force with all members up
LOOSE_CHANGE_TIMEOUT_S = 5
DEAD_MEMBER_TIMEOUT_S = 6  # timeout of a change while a member is down
POLL_INTERVAL_S = 0.1  # time between the reads with which the client of a change waits for its outcome
CALLS_TO_PROPOSE = 3  # calls to the store by which the client of a change proposes it, besides its reads
LOADED_MEMBERS = 3
LOAD_RATE_PER_S = 60.0  # requests of each client
RETURNING_MEMBER = "n2"


class RolloutCost(NamedTuple):
    """What strict changes cost while all members are up.

    held_p99_ms: time from a change's preparation to its adoption by a member, which does not dispatch
    meanwhile; change_p95_s: time from the proposal until the change is known to be in force;
    calls_per_member: calls to the store for one change.
    """

    held_p99_ms: float | None
    change_p95_s: float | None
    calls_per_member: float


class Service(NamedTuple):
    """Service while policies change, and after the return of a member that missed a change.

    answered_ratio: the share of requests answered while changes are made, divided by the share without them;
    return_s: time from the member's start to the first attempt that it dispatches; wrong_attempts: attempts
    after that start under a policy that is no longer in force.
    """

    answered_ratio: float
    return_s: float
    wrong_attempts: int


def measure_rollout_cost(members: int, count: int) -> RolloutCost:
    """Make strict changes while all members are up; ends the program if one does not come into force."""
    with make_fleet(members) as rig:
        rig.start()
        wait_for_version(rig, 0, rig.names)
        policy_client = PolicyClient(rig.store_address, FLEET_NAME)
        time.sleep(0.3)
        idle_calls_per_s = _idle_calls_per_s(rig)
        calls_before = count_store_calls(rig)
        began = time.monotonic()
        durations = [_make_strict_change(policy_client, FIRST_GRANT_MB + turn) for turn in range(count)]
        seconds = time.monotonic() - began
        own_calls = count * CALLS_TO_PROPOSE + sum(durations) / POLL_INTERVAL_S
        calls = count_store_calls(rig) - calls_before - idle_calls_per_s * seconds - own_calls
        held_p99_s = rounded_quantile(RolloutChecker(rig.journal_lines()).stop_times_s, 0.99)
        return RolloutCost(
            None if held_p99_s is None else round(held_p99_s * 1000, 1),
            rounded_quantile(durations),
            round(calls / members / count, 2),
        )


def _idle_calls_per_s(rig: FleetRig) -> int:
    calls_before = count_store_calls(rig)
    time.sleep(1.0)
    return count_store_calls(rig) - calls_before


def _make_strict_change(policy_client: PolicyClient, grant_mb: int) -> float:
    """Make one strict change; returns the time until it is known to be in force, in s."""
    proposed_at = time.monotonic()
    version = policy_client.propose(policy_text(grant_mb), "bench", "b", overlap=Overlap.STRICT)
    if policy_client.wait(version.number, STRICT_CHANGE_TIMEOUT_S).status != ExitStatus.IN_FORCE:
        raise SystemExit(f"change {version.number} did not come into force")
    return time.monotonic() - proposed_at


def measure_service(seconds: float) -> Service:
    """Measure service without and with changes, for the given time each, and the return of a dead member."""
    with make_fleet(LOADED_MEMBERS) as rig:
        rig.start()
        wait_for_version(rig, 0, rig.names)
        policy_client = PolicyClient(rig.store_address, FLEET_NAME)
        clients = start_load(rig, rig.names, LOAD_RATE_PER_S)
        time.sleep(0.5)
        without = _answered_share_during(clients, seconds, lambda _turn: time.sleep(0.05))
        during = _answered_share_during(clients, seconds, lambda turn: _make_change(policy_client, turn))
        rig.kill(RETURNING_MEMBER)
        version = policy_client.propose(policy_text(MAX_GRANT_MB), "bench", "b")
        policy_client.wait(version.number, DEAD_MEMBER_TIMEOUT_S)
        stop_clients(clients)
        return_s, wrong_attempts = _return_of_member(rig)
        return Service(round(during / without, 4), return_s, wrong_attempts)


def _return_of_member(rig: FleetRig) -> tuple[float, int]:
    """Start the member that missed a change; returns return_s and wrong_attempts of Service."""
    began = time.time()
    rig.start(RETURNING_MEMBER)
    clients = start_load(rig, [RETURNING_MEMBER], LOAD_RATE_PER_S)
    rig.wait_until(
        lambda: any(attempt.at > began for attempt in attempts_with_policy(rig.engines, [MAX_GRANT_MB]))
    )
    time.sleep(0.3)
    first_at = next(record.started_at for record in rig.engines[0].attempts if record.started_at > began)
    stop_clients(clients)
    attempts = attempts_with_policy(rig.engines, [MAX_GRANT_MB])
    wrong = sum(attempt.at > began and not attempt.policy_index for attempt in attempts)
    return round(first_at - began, 2), wrong


def _answered_share_during(
    clients: Sequence[load_client.LoadClient], seconds: float, act: Callable[[int], None]
) -> float:
    """The share of requests answered while act(turn) is called again and again for the given time."""
    for client in clients:
        client.reset_counts()
    ends_at = time.monotonic() + seconds
    turn = 0
    while time.monotonic() < ends_at:
        act(turn)
        turn += 1
    return answered_share(clients)


def _make_change(policy_client: PolicyClient, turn: int) -> None:
    """Make one change, alternately strict and loose."""
    overlap = Overlap.LOOSE if turn % 2 else Overlap.STRICT
    version = policy_client.propose(policy_text(FIRST_GRANT_MB + turn), "bench", "b", overlap=overlap)
    policy_client.wait(version.number, LOOSE_CHANGE_TIMEOUT_S)
    time.sleep(0.05)
