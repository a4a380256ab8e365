"""Runs of a fleet's budgets with real processes: gateways, store, faults; engines stand in here and count."""

import random
import time
from typing import Any, NamedTuple

from benchmarks import p95
from gullhold.testing import load_client
from gullhold.testing.budget_checker import AllocationHistory, most_at_once, most_in_window, retries
from gullhold.testing.counting_engine import CountingEngine
from gullhold.testing.fleet import Rig
from gullhold.testing.running import cpu_s

CORES = 60  # of an engine: the decisions' cap is two threads a core
TOTAL = 2 * CORES  # threads of the fleet on one engine
MEMBERS = 6
LOG_FAULTS = ("internal_faults", "decision_faults", "was not answered in time", "Traceback")
FAULT_LIMITS = {"threads": 24, "further": 20, "taken": 400}  # totals in a run with faults
RETRY_WINDOW_S = 2.0
TAKEN_OVER = 22  # of 24 threads: what a member has once another's allocation was given to it
WARMUP_INITIAL_SHARE = 0.05
WARMUP_S = 30
LATENCY_TARGET_S = 0.4


class Redivision(NamedTuple):
    """From a member's end to its allocation written for others, 95th percentiles."""

    after_leave_s: float | None
    after_kill_leases: float | None


class Gain(NamedTuple):
    """Share of commands answered in the latency target; commands that a warming engine could not take."""

    answered: float
    overloads: int


class CommandCost(NamedTuple):
    """CPU of a command with budgets over that without, and us of that without."""

    ratio: float
    us_without: int


class MemberCalls(NamedTuple):
    """Of one member in a second."""

    calls: float
    bytes: int


def threads_budget(total: int = TOTAL, **other: Any) -> dict[str, Any]:
    """An operator's record of a budget of threads on each engine."""
    return {"of": '"threads"', "whole": total, "linger": "600ms"} | other


def make_rig(members: int, budgets: list[dict], engines: int = 1, adjust=None, **facts: Any) -> Rig:
    """A rig of so many gateways, whose engines count; adjust(settings) changes them."""

    def adjust_all(settings: dict) -> None:
        settings["balancers"] = members
        settings["domain"]["cores_by_kind"] = [CORES]
        if adjust:
            adjust(settings)

    make_engine = facts.pop("make", lambda seed: CountingEngine(slots=400, seed=seed))
    return Rig(
        members=members, budgets=budgets, engines=engines, adjust=adjust_all, make=make_engine, **facts
    )


def start_client(rig: Rig, name: str, seed: int, **facts: Any) -> load_client.LoadClient:
    """A client of one gateway, started."""
    facts = {
        "open": 60,
        "connections": 2,
        "work_ms": 100.0,
        "limit_ms": 1500,
        "retry_rule": load_client.RetryRule.NEVER,
    } | facts
    return load_client.LoadClient(rig.members[name].address, "", f"c{seed}", seed=seed, **facts).start()


def stop_clients(clients: list[load_client.LoadClient]) -> None:
    """They send no more commands, and get the answers that are due."""
    for client in clients:
        client.stop()
    for client in clients:
        client.join()


def allocations(rig: Rig) -> dict[str, int]:
    """{member: its allocation} of the one engine's threads."""
    history = AllocationHistory(rig.lines())
    return history.now(next(iter(history.most), ""))


class _FaultRun:
    """Demand that moves between six gateways while drawn faults strike."""

    def __init__(self, rig: Rig, draw: random.Random) -> None:
        self.rig = rig
        self.draw = draw
        self.clients: list[load_client.LoadClient] = []
        self.client_count = 0

    def turn(self, number: int) -> None:
        """New clients at two gateways; three gateways and sometimes the store are struck, then mended."""
        rig = self.rig
        for name, open_commands in zip(self.draw.sample(rig.names, 2), (40, 12), strict=True):
            self._start_client(name, open_commands)
        paused, cut, killed = self.draw.sample(rig.names, 3)
        rig.pause(paused)
        rig.cut(cut, sides=(("there", "back"), ("back",))[number % 2])
        self._strike(number, killed)
        time.sleep(0.8)
        stop_clients(self.clients[:-2])
        self.clients = self.clients[-2:]
        rig.resume(paused)
        rig.heal(cut)
        if number % 3 == 0:
            rig.start(killed, wait=False)
        time.sleep(0.5)

    def _start_client(self, name: str, open_commands: int) -> None:
        self.client_count += 1
        self.clients.append(
            start_client(self.rig, name, self.client_count, open=open_commands, work_ms=60.0, limit_ms=500)
        )

    def _strike(self, number: int, victim: str) -> None:
        if number % 3 == 0:
            self.rig.kill(victim)
        elif number % 3 == 1:
            self.rig.faults(lose=8, stale=3, behind=4)
        else:
            self.rig.kill_register()
            self.rig.start_register()

    def figures(self) -> dict[str, Any]:
        """What engines counted, the journal shows and logs say."""
        rig = self.rig
        peaks = [most_at_once(engine.attempts).amount for engine in rig.engines]
        retried = retries(rig.engines)
        most_retries = most_in_window(retried, RETRY_WINDOW_S).amount
        history = AllocationHistory(rig.lines())
        over = sum(peak > FAULT_LIMITS["threads"] for peak in peaks)
        over += most_retries > FAULT_LIMITS["further"]
        over += sum(most > FAULT_LIMITS[name.partition("/")[0]] for name, most in history.most.items())
        logs = [member.log.read_text("utf-8", "replace") for member in rig.members.values()]
        return {
            "over_whole": over,
            "moves": history.moves,
            "rules_broken": sum(log.count(text) for log in logs for text in LOG_FAULTS),
            "further_sends": len(retried),
            "most_at_once": peaks,
            "most_further": most_retries,
            "fetches": sum(len(engine.attempts) for engine in rig.engines),
        }


def faults(turns: int, seed: int) -> dict[str, Any]:
    """Six gateways, held and windowed budgets, demand that moves, drawn faults; the figures."""
    budgets = [
        threads_budget(FAULT_LIMITS["threads"]),
        {"of": '"further"', "whole": FAULT_LIMITS["further"], "window": "2s"},
        {"of": '"taken"', "whole": FAULT_LIMITS["taken"], "window": "1s"},
    ]

    def make_engine(seed: int) -> CountingEngine:
        return CountingEngine(slots=64, seed=seed, failure_rate=0.1, runs_on=True)

    with make_rig(MEMBERS, budgets, engines=2, seed=seed, make=make_engine) as rig:
        rig.start()
        run = _FaultRun(rig, random.Random(seed))
        for number in range(turns):
            run.turn(number)
        stop_clients(run.clients)
        rig.stop(*[name for name in rig.names if rig.members[name].process.poll() is None])
        return run.figures()


def _share_in_use(rig: Rig, began: float, ended: float) -> float:
    """The mean of what was in the first engine between two times, as a share of the total."""
    in_use = 0.0
    for flight in rig.engines[0].attempts:
        flight_end = min(flight.ended_at or ended, ended)
        in_use += max(0.0, flight_end - max(flight.started_at, began))
    return in_use / (ended - began) / TOTAL


def used(seconds: float, busy: list[str], budgets: list[dict]) -> float:
    """What gateways that ask for all get to use of the total, of six; busy: who asks."""
    with make_rig(MEMBERS, budgets) as rig:
        rig.start(operator=bool(budgets))
        clients = [
            start_client(
                rig,
                name,
                seed,
                open=2 * TOTAL // len(busy),
                connections=1 + 8 // len(busy),
                work_ms=600.0,
                limit_ms=2900,
            )
            for seed, name in enumerate(busy)
        ]
        time.sleep(1.5)
        began = time.time()
        time.sleep(seconds)
        share = _share_in_use(rig, began, time.time())
        stop_clients(clients)
        return round(share, 4)


def _raised_at(rig: Rig, member_name: str, after: float) -> float:
    """When a member was first written to have taken over, after a time."""
    for at, by_budget in AllocationHistory(rig.lines()).history:
        allocated = 0
        for members in by_budget.values():
            allocated += sum(
                amount for member, amount in members.items() if member.startswith(member_name + "/")
            )
        if at > after and allocated >= TAKEN_OVER:
            return at
    raise AssertionError(f"{member_name} was never given {TAKEN_OVER}")


def redivided(turns: int) -> Redivision:
    """One of two busy members ends, killed or in good order, in turn."""
    after_leave_s = []
    after_kill_leases = []
    with make_rig(3, [threads_budget(24)]) as rig:
        rig.start()
        clients = [start_client(rig, name, seed, open=40) for seed, name in enumerate(("n0", "n1"))]
        for turn in range(turns):
            rig.until(lambda: min(allocations(rig).get(name, 0) for name in ("n0", "n1")) > 6)
            time.sleep(0.2)
            is_kill = turn % 2 == 0
            began = time.time()
            if is_kill:
                rig.kill("n0")
            else:
                rig.stop("n0")
            ended = time.time()
            rig.until(lambda: allocations(rig).get("n1", 0) >= TAKEN_OVER)
            waited_s = max(0.0, _raised_at(rig, "n1", began) - ended)
            if is_kill:
                after_kill_leases.append(waited_s / rig.lease_s)
            else:
                after_leave_s.append(waited_s)
            rig.start("n0")
            stop_clients(clients[:1])
            clients[0] = start_client(rig, "n0", 10 + turn, open=40)
        stop_clients(clients)
    return Redivision(p95(after_leave_s), p95(after_kill_leases))


def _use_warmup_rules(settings: dict) -> None:
    settings["rules"] |= {
        "cold_from": WARMUP_INITIAL_SHARE,
        "warm_after": WARMUP_S,
        "fall_multiple": 1,
        "tip_after": 1,
    }
    for category in settings["categories"]:
        category["aim"] = LATENCY_TARGET_S


def _overloads(rig: Rig, engine: int) -> int:
    """Commands by which a warming engine had more work in a second than it can take.

    Its capacity grows half as fast as a line.
    """
    work = [(flight.started_at, flight.work_ms / 1000) for flight in rig.engines[engine].attempts]
    started = rig.born_ms[engine] / 1000
    overloads = 0
    for at, _ in work:
        grown = (1 - WARMUP_INITIAL_SHARE) / 2 * (at - started) / WARMUP_S
        capacity = (WARMUP_INITIAL_SHARE + grown) * CORES
        in_window = sum(amount for other_at, amount in work if at - 1.0 < other_at <= at)
        overloads += in_window > capacity
    return overloads


def gain(seconds: float, budgets: list[dict]) -> Gain:
    """Commands answered in the latency target under uneven traffic, with one engine slow and one cold."""
    with make_rig(MEMBERS, budgets, engines=3, adjust=_use_warmup_rules) as rig:
        rig.engines[1].pace = 0.5
        rig.born_ms[2] = int(time.time() * 1000)
        rig.start(operator=bool(budgets))
        clients = [start_client(rig, "n0", 1, rate=170.0, work_ms=250.0, limit_ms=900, connections=4)]
        for number in range(1, MEMBERS):
            clients.append(start_client(rig, f"n{number}", 1 + number, rate=4.0, work_ms=250.0, limit_ms=900))
        time.sleep(1.0)
        for client in clients:
            client.reset_counts()
        time.sleep(seconds)
        in_target = sum(
            latency <= LATENCY_TARGET_S for client in clients for latency in client.counts.latencies_s
        )
        asked = sum(client.counts.sent for client in clients)
        stop_clients(clients)
        return Gain(in_target / max(1, asked), _overloads(rig, 2))


def service(seconds: float, budgets: list[dict]) -> float:
    """Answered over asked with the store dead, at a load that even allocations carry."""
    with make_rig(MEMBERS, budgets) as rig:
        rig.start(operator=True)
        clients = [
            start_client(rig, name, seed, rate=30.0, work_ms=150.0, limit_ms=1000)
            for seed, name in enumerate(rig.names)
        ]
        time.sleep(1.0)
        rig.kill_register()
        time.sleep(1.3)
        for client in clients:
            client.reset_counts()
        time.sleep(seconds)
        answered = sum(client.counts.answered for client in clients)
        ratio = answered / max(1, sum(client.counts.sent for client in clients))
        stop_clients(clients)
        rig.start_register()
        return ratio


class _CostMeter:
    """CPU and answers of a gateway of its own."""

    def __init__(self, rig: Rig) -> None:
        rig.start()
        self.pid = rig.members["n0"].process.pid
        self.client = start_client(rig, "n0", 1, rate=120.0, work_ms=5.0, limit_ms=900)
        time.sleep(0.7)
        self.cpu_s = 0.0
        self.answered = 0

    def begin(self) -> None:
        """A period begins."""
        self.cpu_s -= cpu_s(self.pid)
        self.answered -= self.client.counts.answered

    def end(self) -> None:
        """A period ends."""
        self.cpu_s += cpu_s(self.pid)
        self.answered += self.client.counts.answered

    def cost_s(self) -> float:
        """CPU of a command."""
        return self.cpu_s / max(1, self.answered)


def cost(seconds: float) -> CommandCost:
    """CPU of a command with budgets over that without, in one run, times by default."""
    budgets = [threads_budget(), {"of": '"further"', "whole": 1000, "window": "5s"}]
    times = {"lease_s": 5, "look": "100ms"}
    with make_rig(1, budgets, **times) as rig_with, make_rig(1, [], **times) as rig_without:
        meters = [_CostMeter(rig_with), _CostMeter(rig_without)]
        for _ in range(2):  # both are under the same load at the same time
            for meter in meters:
                meter.begin()
            time.sleep(seconds)
            for meter in meters:
                meter.end()
        stop_clients([meter.client for meter in meters])
    cost_with, cost_without = (meter.cost_s() for meter in meters)
    return CommandCost(round(cost_with / cost_without, 3), round(cost_without * 1e6))


def member_calls(seconds: float, members: int = 12) -> MemberCalls:
    """Calls to the store and bytes written of one member in a second, while demand alternates."""
    with make_rig(members, [threads_budget(48)], engines=2) as rig:
        rig.start()
        rig.until(lambda: len(allocations(rig)) == members)
        calls_before = sum(rig.counts().values())
        bytes_before = AllocationHistory(rig.lines()).bytes
        for turn in range(2):
            client = start_client(rig, f"n{turn}", turn, work_ms=60.0)
            time.sleep(seconds / 2)
            stop_clients([client])
        calls = sum(rig.counts().values()) - calls_before
        size = AllocationHistory(rig.lines()).bytes - bytes_before
        return MemberCalls(round(calls / members / seconds, 2), round(size / members / seconds))
