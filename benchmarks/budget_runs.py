"""Runs of a fleet with budgets in real processes: use, delay of reallocation, gain, service and costs."""

import time
from collections.abc import Sequence
from typing import Any, NamedTuple

from benchmarks.budget_fleet import (
    CORES,
    MEMBERS,
    TOTAL_THREADS,
    Budget,
    allocations,
    make_fleet,
    start_client,
    threads_budget,
    windowed_budget,
)
from benchmarks.fleet_load import count_store_calls, measure_answered_share, stop_clients
from benchmarks.harness import rounded_quantile
from gullhold.testing.budget_checker import AllocationHistory
from gullhold.testing.fleet import FleetRig
from gullhold.testing.running import cpu_s

SHARED_THREADS = 24  # the budget that two busy members share until one of them ends
TAKEN_OVER_THREADS = 22  # the remaining member's least allocation once it has taken over the other's
MIN_BUSY_THREADS = 6  # each of the two members has more than this once its demand is known
WARMUP_INITIAL_SHARE = 0.05
WARMUP_S = 30
LATENCY_OBJECTIVE_S = 0.4
LEASE_EXPIRY_WAIT_S = 1.3  # time after the end of the store, by which all leases have expired


class Reallocation(NamedTuple):
    """The time from a member's end until its allocation is written to another; 95th percentiles.

    after_leave_s: after SIGTERM; after_kill_leases: after SIGKILL, divided by the lease's duration. None if
    not measured.
    """

    after_leave_s: float | None
    after_kill_leases: float | None


class Gain(NamedTuple):
    """What budgets gain under uneven traffic.

    answered: the share of commands answered within the latency objective; overloads: commands that exceeded
    the capacity of the warming engine.
    """

    answered: float
    overloads: int


class CommandCost(NamedTuple):
    """CPU time per command: with budgets divided by without, and in us without."""

    ratio: float
    us_without: int


class MemberCost(NamedTuple):
    """Calls to the store and bytes written, per member and second."""

    calls: float
    bytes: int


def _share_in_use(rig: FleetRig, began: float, ended: float) -> float:
    """The mean number of threads in use on the first engine, as a share of the total.

    began, ended: Unix time in s.
    """
    in_use_s = 0.0
    for attempt in rig.engines[0].attempts:
        attempt_began, attempt_ended = attempt.started_at, attempt.ended_at
        in_use_s += max(0.0, min(attempt_ended or ended, ended) - max(attempt_began, began))
    return in_use_s / (ended - began) / TOTAL_THREADS


def measure_use(seconds: float, busy: Sequence[str], budgets: Sequence[Budget]) -> float:
    """The share of the total that is used when the busy gateways together ask for all of it."""
    with make_fleet(MEMBERS, budgets) as rig:
        rig.start(operator=bool(budgets))
        load = {
            "open": 2 * TOTAL_THREADS // len(busy),
            "connections": 1 + 8 // len(busy),
            "work_ms": 600.0,
            "limit_ms": 2900,
        }
        clients = [start_client(rig, name, seed, **load) for seed, name in enumerate(busy)]
        time.sleep(1.5)
        began = time.time()
        time.sleep(seconds)
        share = _share_in_use(rig, began, time.time())
        stop_clients(clients)
        return round(share, 4)


def _taken_over_at(rig: FleetRig, member: str, after: float) -> float:
    """When the journal first shows that a member has taken over the other's allocation.

    Times are Unix s; entries up to `after` are ignored.
    """
    for at, by_budget in AllocationHistory(rig.journal_lines()).history:
        if at <= after:
            continue
        allocated = 0
        for amounts in by_budget.values():
            allocated += sum(amount for name, amount in amounts.items() if name.startswith(member + "/"))
        if allocated >= TAKEN_OVER_THREADS:
            return at
    raise AssertionError(f"{member} never had a total allocation of at least {TAKEN_OVER_THREADS}")


def _end_and_measure(rig: FleetRig, is_kill: bool) -> float:
    """End n0 and wait until n1 has taken over its allocation; returns the time between in s."""
    began = time.time()
    if is_kill:
        rig.kill("n0")
    else:
        rig.stop("n0")
    ended = time.time()
    rig.wait_until(lambda: allocations(rig).get("n1", 0) >= TAKEN_OVER_THREADS)
    return max(0.0, _taken_over_at(rig, "n1", began) - ended)


def measure_reallocation(turns: int) -> Reallocation:
    """End one of two busy members again and again, alternately with SIGKILL and SIGTERM."""
    after_leave_s = []
    after_kill_leases = []
    with make_fleet(3, [threads_budget(SHARED_THREADS)]) as rig:
        rig.start()
        clients = [start_client(rig, name, seed, open=40) for seed, name in enumerate(("n0", "n1"))]
        for turn in range(turns):
            rig.wait_until(
                lambda: min(allocations(rig).get(name, 0) for name in ("n0", "n1")) > MIN_BUSY_THREADS
            )
            time.sleep(0.2)
            is_kill = turn % 2 == 0
            waited_s = _end_and_measure(rig, is_kill)
            if is_kill:
                after_kill_leases.append(waited_s / rig.lease_s)
            else:
                after_leave_s.append(waited_s)
            rig.start("n0")
            stop_clients(clients[:1])
            clients[0] = start_client(rig, "n0", 10 + turn, open=40)
        stop_clients(clients)
    return Reallocation(rounded_quantile(after_leave_s), rounded_quantile(after_kill_leases))


def _use_warmup_rules(settings: dict[str, Any]) -> None:
    settings["rules"] |= {
        "cold_from": WARMUP_INITIAL_SHARE,
        "warm_after": WARMUP_S,
        "fall_multiple": 1,
        "tip_after": 1,
    }
    for category in settings["categories"]:
        category["aim"] = LATENCY_OBJECTIVE_S


def _count_overloads(rig: FleetRig, engine: int) -> int:
    """Number of commands that brought a warming engine more work within 1 s than its capacity at that time.

    Its capacity is taken to grow at half the rate that would bring it to the full capacity in WARMUP_S.
    """
    work = [(attempt.started_at, attempt.work_ms / 1000) for attempt in rig.engines[engine].attempts]
    started_at = rig.engine_start_ms[engine] / 1000
    overloads = 0
    for at, _ in work:
        capacity_gained = (1 - WARMUP_INITIAL_SHARE) / 2 * (at - started_at) / WARMUP_S
        capacity = (WARMUP_INITIAL_SHARE + capacity_gained) * CORES
        in_window = sum(amount for other_at, amount in work if at - 1.0 < other_at <= at)
        overloads += in_window > capacity
    return overloads


def measure_gain(seconds: float, budgets: Sequence[Budget]) -> Gain:
    """Measure the gain under uneven traffic, with one engine at half speed and one that warms up."""
    with make_fleet(MEMBERS, budgets, engines=3, adjust=_use_warmup_rules) as rig:
        rig.engines[1].speed = 0.5
        rig.engine_start_ms[2] = int(time.time() * 1000)
        rig.start(operator=bool(budgets))
        load = {"work_ms": 250.0, "limit_ms": 900}
        clients = [start_client(rig, "n0", 1, rate=170.0, connections=4, **load)]
        for number in range(1, MEMBERS):
            clients.append(start_client(rig, f"n{number}", 1 + number, rate=4.0, **load))
        time.sleep(1.0)
        for client in clients:
            client.reset_counts()
        time.sleep(seconds)
        latencies = [latency for client in clients for latency in client.counts.latencies_s]
        in_objective = sum(latency <= LATENCY_OBJECTIVE_S for latency in latencies)
        asked = sum(client.counts.sent for client in clients)
        stop_clients(clients)
        return Gain(in_objective / max(1, asked), _count_overloads(rig, 2))


def measure_service_without_store(seconds: float, budgets: Sequence[Budget]) -> float:
    """The share of requests answered without the store, at a load that equal allocations can serve."""
    with make_fleet(MEMBERS, budgets) as rig:
        rig.start(operator=True)
        clients = [
            start_client(rig, name, seed, rate=30.0, work_ms=150.0, limit_ms=1000)
            for seed, name in enumerate(rig.names)
        ]
        time.sleep(1.0)
        rig.kill_store()
        time.sleep(LEASE_EXPIRY_WAIT_S)
        share = measure_answered_share(clients, seconds)
        stop_clients(clients)
        rig.start_store()
        return share


class CostMeter:
    """Counts CPU time and answers of a gateway alone in its fleet, in periods from begin() to end()."""

    def __init__(self, rig: FleetRig) -> None:
        """Start the gateway and a client that puts load on it."""
        rig.start()
        self.pid = rig.members["n0"].process.pid
        self.client = start_client(rig, "n0", 1, rate=120.0, work_ms=5.0, limit_ms=900)
        time.sleep(0.7)
        self.cpu_s = 0.0
        self.answered = 0

    def begin(self) -> None:
        """Begin a measured period."""
        self.cpu_s -= cpu_s(self.pid)
        self.answered -= self.client.counts.answered

    def end(self) -> None:
        """End the measured period."""
        self.cpu_s += cpu_s(self.pid)
        self.answered += self.client.counts.answered

    def cost_s(self) -> float:
        """CPU time per answered command over all periods, in s."""
        return self.cpu_s / max(1, self.answered)


def measure_command_cost(seconds: float) -> CommandCost:
    """Measure the CPU time per command with and without budgets, with the default times of a fleet."""
    budgets = [threads_budget(), windowed_budget("further", 1000, "5s")]
    times = {"lease_s": 5, "budget_check_interval": "100ms"}
    with make_fleet(1, budgets, **times) as fleet_with, make_fleet(1, [], **times) as fleet_without:
        meters = [CostMeter(fleet_with), CostMeter(fleet_without)]
        for _ in range(2):  # both gateways run at the same time under the same load
            for meter in meters:
                meter.begin()
            time.sleep(seconds)
            for meter in meters:
                meter.end()
        stop_clients(meter.client for meter in meters)
    cost_with, cost_without = (meter.cost_s() for meter in meters)
    return CommandCost(round(cost_with / cost_without, 3), round(cost_without * 1e6))


def measure_member_cost(seconds: float, members: int = 12) -> MemberCost:
    """Measure what one member costs the store while demand moves from one member to another."""
    with make_fleet(members, [threads_budget(48)], engines=2) as rig:
        rig.start()
        rig.wait_until(lambda: len(allocations(rig)) == members)
        calls_before = count_store_calls(rig)
        bytes_before = AllocationHistory(rig.journal_lines()).bytes_written
        for turn in range(2):
            client = start_client(rig, f"n{turn}", turn, work_ms=60.0)
            time.sleep(seconds / 2)
            stop_clients([client])
        calls = count_store_calls(rig) - calls_before
        size = AllocationHistory(rig.journal_lines()).bytes_written - bytes_before
        return MemberCost(round(calls / members / seconds, 2), round(size / members / seconds))
