"""Runs of fleets of real processes for benchmarks.leadership: faults, handovers, service and costs."""

import random
import statistics
import time
from collections.abc import Iterable
from typing import Any, NamedTuple

from benchmarks.fleet_load import (
    count_fault_lines,
    count_store_calls,
    measure_answered_share,
    start_client,
    stop_clients,
)
from benchmarks.harness import rounded_quantile
from gullhold.testing.fleet import FleetRig
from gullhold.testing.fleet_checker import FleetChecker, attempts_by_key, attempts_by_statement
from gullhold.testing.running import cpu_s, resident_mb

PROFILES = {"plain": "read", "marked": "mark", "single": "once"}  # by the kind in a statement's table name
COMMANDS_PER_PROFILE = 3
INTERVAL_US = 500_000  # time between due times of a scheduled command
NON_IDEMPOTENT = "single"  # the kind of commands that must not run twice
FAULTY_MEMBERS = 6
FAULTY_HEARTBEATS = 18
FAULT_DURATION_S = 1.7  # longer than a lease
RECOVERY_S = 0.5  # time between the end of a turn's faults and the next turn
NO_HANDOVER = 99.0  # ratio recorded for a role whose next leader had no effect
MEMBERS = 4
HEARTBEATS = 24  # heartbeat roles
IDLE_HEARTBEATS = 36  # heartbeat roles of the idle fleet
IDLE_PERIOD_MS = 3_600_000  # heartbeat period longer than the run, so that members stay idle
LEASE_EXPIRY_WAIT_S = 1.2  # time after the end of the store, by which all leases have expired


def scheduled_command(kind: str, number: int) -> dict[str, str]:
    """The record of a scheduled command in the operator file; its statement names a table of its own."""
    name = f"{kind}{number}"
    return {
        "name": f'"{name}"',
        "every": "500ms",
        "profile": f'"{PROFILES[kind]}"',
        "window": "20s",
        "statement": f'"select 1 from {name}_1.t /* work=30 */"',
        "work": "30ms",
    }


def run_faults(turns: int, seed: int) -> dict[str, Any]:
    """Run gateways with roles and scheduled commands under random faults; returns figures by name."""
    draw = random.Random(seed)
    scheduled = [
        scheduled_command(kind, number) for kind in PROFILES for number in range(COMMANDS_PER_PROFILE)
    ]
    roles = FAULTY_HEARTBEATS + len(scheduled)
    rig = FleetRig(
        members=FAULTY_MEMBERS,
        heartbeat_roles=FAULTY_HEARTBEATS,
        heartbeat_ms=40,
        scheduled=scheduled,
        seed=seed,
    )
    with rig:
        rig.start()
        rig.wait_until(lambda: len(rig.leaders()) == roles)
        for turn in range(turns):
            _run_one_fault(rig, draw.sample(rig.names, 4), turn)
        rig.wait_until(lambda: len(rig.leaders()) == roles)
        time.sleep(1.5)
        rig.stop(*rig.names)
        return collect_figures(rig, [item["name"].strip('"') for item in scheduled])


def _run_one_fault(rig: FleetRig, names: list[str], turn: int) -> None:
    """Cause faults at gateways and the store, then end them.

    One gateway is cut off in one direction, one in both, one is paused. By turns a fourth one is killed,
    calls to the store fail, or the store restarts.
    """
    cut_one_way, cut_both_ways, paused, killed = names
    rig.cut(cut_one_way, directions=("there",))
    rig.cut(cut_both_ways)
    rig.pause(paused)
    if turn % 3 == 0:
        rig.kill(killed)
    elif turn % 3 == 1:
        rig.inject_store_faults(lose=6, stale=3, behind=4)
    else:
        rig.kill_store()
        rig.start_store()
    time.sleep(FAULT_DURATION_S)
    rig.heal(cut_one_way)
    rig.heal(cut_both_ways)
    rig.resume(paused)
    if turn % 3 == 0:
        rig.start(killed)
    time.sleep(RECOVERY_S)


def collect_figures(rig: FleetRig, commands: Iterable[str]) -> dict[str, Any]:
    """The figures of a run, from the store's journal, the engines' records and the gateways' logs."""
    check = FleetChecker(rig.journal_lines())
    occurrences = check.occurrences()
    late_effects = [line for line in check.violations if "token" in line or "effect" in line]
    for line in check.violations[:5]:
        print("broken:", line)
    states = [record["state"] for record in occurrences.values()]
    return {
        "owners_accepted_at_once": len(check.violations) - len(late_effects),
        "late_effects_accepted": len(late_effects),
        "late_effects_tried": check.rejected_effects,
        "effects": check.effects,
        "moves": check.leader_changes,
        "occurrences": len(occurrences),
        "occurrences_lost": sum(count_missing(check, command) for command in commands),
        "non_replayable_twice": _count_repeats(rig, occurrences),
        "uniqued_outside_window": _count_late_repeats(rig),
        "rules_broken": count_fault_lines(rig),
        "occurrence_states": {state: states.count(state) for state in sorted(set(states))},
    }


def _count_repeats(rig: FleetRig, occurrences: dict[tuple[str, int], Any]) -> int:
    """The number of attempts of non-idempotent commands beyond those that their stored occurrences count."""
    repeats = 0
    for statement, attempts in attempts_by_statement(rig.engines).items():
        if NON_IDEMPOTENT not in statement:
            continue
        table = statement.split()[3]
        command, _, _ = table.partition("_")
        allowed = sum(record["tries"] for (name, _), record in occurrences.items() if name == command)
        repeats += max(0, len(attempts) - allowed)
    return repeats


def _count_late_repeats(rig: FleetRig) -> int:
    """The number of idempotency keys that were sent over a longer time than engines remember them."""
    late = 0
    for attempts in attempts_by_key(rig.engines).values():
        times = [at for at, _ in attempts]
        late += max(times) - min(times) > rig.dedup_s
    return late


def count_missing(check: FleetChecker, command: str) -> int:
    """The number of due times without a record between a command's first and last recorded ones."""
    recorded = sorted(
        (due, record["count"] if record["state"] == "skipped" else 1)
        for (name, due), record in check.occurrences().items()
        if name == command
    )
    missing = 0
    last_due = None
    for due, count in recorded:
        if last_due is not None:
            missing += max(0, (due - last_due) // INTERVAL_US - count)
        last_due = due
    return missing


class Handovers(NamedTuple):
    """The time from the end of a leader to the first effect of the next one.

    kill_p95, sigterm_p95: 95th percentiles in lease times, None if not measured; broken: the number of
    violations that the store's journal shows.
    """

    kill_p95: float | None
    sigterm_p95: float | None
    broken: int


def run_handovers(count: int) -> Handovers:
    """End one member after another, alternately with SIGKILL and SIGTERM."""
    after_kill: list[float] = []
    after_sigterm: list[float] = []
    with FleetRig(members=MEMBERS, heartbeat_roles=HEARTBEATS, heartbeat_ms=40) as rig:
        rig.start()
        _wait_for_leaders(rig)
        for turn in range(count):
            time.sleep(0.7 + 0.1 * turn)
            is_kill = turn % 2 == 0
            times = _run_one_handover(rig, rig.names[turn % MEMBERS], is_kill)
            (after_kill if is_kill else after_sigterm).extend(times)
            _wait_for_leaders(rig)
        broken = FleetChecker(rig.journal_lines()).violations
    return Handovers(rounded_quantile(after_kill), rounded_quantile(after_sigterm), len(broken))


def _wait_for_leaders(rig: FleetRig) -> None:
    """Wait until every member leads at least one role."""
    rig.wait_until(lambda: len({member for member, _ in rig.leaders().values()}) == len(rig.names))


def _run_one_handover(rig: FleetRig, name: str, is_kill: bool) -> list[float]:
    """End a member and start it again; returns each led role's handover time divided by a lease's."""
    roles = {role for role, (member, _) in rig.leaders().items() if member == name}
    ended_at = time.time()
    if is_kill:
        rig.kill(name)
    else:
        rig.members[name].terminate()
    rig.wait_until(lambda: all(rig.leaders().get(role, (name, 0))[0] != name for role in roles))
    time.sleep(0.3)
    handovers = FleetChecker(rig.journal_lines()).handovers()
    times = []
    for role in roles:
        first_effects = [
            handover.first_effect_at
            for handover in handovers
            if handover.role == role and handover.first_effect_at and handover.acquired_at > ended_at
        ]
        times.append((min(first_effects) - ended_at) / rig.lease_s if first_effects else NO_HANDOVER)
    rig.members[name].wait()
    rig.start(name)
    return times


class IdleCost(NamedTuple):
    """What an idle member costs.

    calls_per_s: calls to the store; cpu_share, memory_mb: CPU seconds per second, and resident memory, beyond
    those of a gateway without a fleet.
    """

    calls_per_s: float
    cpu_share: float
    memory_mb: float


def run_idle(seconds: float, members: int = 12) -> IdleCost:
    """Measure the cost of idle members against a gateway without a fleet."""
    with FleetRig(
        members=members + 1, lease_s=5, heartbeat_roles=IDLE_HEARTBEATS, heartbeat_ms=IDLE_PERIOD_MS
    ) as rig:
        rig.start(*rig.names[:members])
        rig.start(rig.names[members], operator=False)
        rig.wait_until(lambda: len(rig.leaders()) == IDLE_HEARTBEATS)
        time.sleep(1)
        pids = [rig.members[name].process.pid for name in rig.names]
        calls_before = count_store_calls(rig)
        cpu_before = [cpu_s(pid) for pid in pids]
        time.sleep(seconds)
        calls = (count_store_calls(rig) - calls_before) / members / seconds
        cpu_used = [cpu_s(pid) - before for pid, before in zip(pids, cpu_before, strict=True)]
        cpu_more = statistics.mean(cpu_used[:members]) - cpu_used[members]
        memory_mb = [resident_mb(pid) for pid in pids]
        memory_more = statistics.mean(memory_mb[:members]) - memory_mb[members]
    return IdleCost(round(calls, 3), round(cpu_more / seconds, 4), round(memory_more, 1))


class ServiceShares(NamedTuple):
    """The shares of requests answered with the store up and down.

    ratio: the second share divided by the first; shares: both, in this order.
    """

    ratio: float
    shares: list[float]


def run_service(seconds: float) -> ServiceShares:
    """Measure service under the same load with the store up and down."""
    load = {"work_ms": 20.0, "limit_ms": 500, "rate": 40.0}
    with FleetRig(members=3, heartbeat_roles=6) as rig:
        rig.start()
        clients = [
            start_client(rig, name, f"c{number}", number, **load) for number, name in enumerate(rig.names)
        ]
        time.sleep(0.5)
        share_with_store = measure_answered_share(clients, seconds)
        rig.kill_store()
        time.sleep(LEASE_EXPIRY_WAIT_S)
        share_without_store = measure_answered_share(clients, seconds)
        stop_clients(clients)
        rig.start_store()
    return ServiceShares(
        round(share_without_store / share_with_store, 4),
        [round(share_with_store, 4), round(share_without_store, 4)],
    )
