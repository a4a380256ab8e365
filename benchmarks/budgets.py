"""Budgets of a fleet: `python -m benchmarks.budgets [--quick]`. Last line JSON; status 1: a bound is missed.

Gateways, register and faults are real processes; engines stand in here and count what is in them.
"""

import argparse
import random
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks import begin_decisions, close, decided, p95
from gullhold.budgets.allocator import Budget
from gullhold.budgets.allocator_role import AllocatorRole
from gullhold.budgets.budget_schema import ALLOCATIONS, REPORTS, Usage, UsageReport, encode_report
from gullhold.budgets.ledger import LedgerKind
from gullhold.fleet.role_state import ReadKeys, WriteKeys
from gullhold.fleet.store_calls import KeyValue, Proof, Put, Reply
from gullhold.testing import budget_explorer, budget_mutants, crowd
from gullhold.testing.budget_checker import AllocationHistory, most_at_once, most_in_window, retries
from gullhold.testing.counting import CountingEngine
from gullhold.testing.fleet import Rig
from gullhold.testing.running import cpu_s

BOUNDS = {
    "over_whole": 0,
    "moves": (300, "least"),
    "used_of_whole": (0.9, "least"),
    "used_even": (0.95, "least"),
    "redivided_order_p95_s": 0.5,
    "redivided_kill_p95_leases": 2.5,
    "answered_gain": (1.0, "least"),
    "cold_fallen": 0,
    "calls_flat": 1.5,
    "service_ratio": (0.98, "least"),
    "mutants_missed": 0,
    "walks_broken": 0,
    "cpu_over": 1.05,
}
CORES = 60  # of an engine: the module's cap is two threads a core
WHOLE = 2 * CORES  # threads of the fleet on one engine
STEPS = 800  # of a walk
SLOW = (
    "NoFence",
    "ForgetsExpiringOnLoad",
    "IgnoresChangesWhileReading",
    "TakesUnknownForDone",
    "reports not compared",
    "drift left out",
)


def threads(whole=WHOLE, **other):
    """An operator's words for a budget of threads on each engine."""
    return {"of": '"threads"', "whole": whole, "linger": "600ms"} | other


def fleet(members, budgets, engines=1, adjust=lambda settings: None, **facts):
    """A rig of so many gateways, whose engines count."""

    def settings(tree):
        tree["balancers"], tree["domain"]["cores_by_kind"] = members, [CORES]
        adjust(tree)

    make = facts.pop("make", lambda seed: CountingEngine(slots=400, seed=seed))
    return Rig(members=members, budgets=budgets, engines=engines, adjust=settings, make=make, **facts)


def client(rig, name, serial, **facts):
    """A client of one gateway."""
    facts = {
        "open": 60,
        "connections": 2,
        "work_ms": 100.0,
        "limit_ms": 1500,
        "manner": crowd.NOT_AT_ALL,
    } | facts
    return crowd.Client(rig.members[name].address, "", f"c{serial}", seed=serial, **facts).start()


def end(clients):
    """They ask no more, and hear what they are owed."""
    for one in clients:
        one.stop()
    for one in clients:
        one.join()


def faults(rounds, seed):
    """Six gateways, held and windowed budgets, demand that moves, drawn faults; what engines counted."""
    draw, whole, further = random.Random(seed), 24, 20
    budgets = [
        threads(whole),
        {"of": '"further"', "whole": further, "window": "2s"},
        {"of": '"taken"', "whole": 400, "window": "1s"},
    ]
    make = lambda seed: CountingEngine(slots=64, seed=seed, fails=0.1, runs_on=True)  # noqa: E731
    with fleet(6, budgets, engines=2, seed=seed, make=make) as rig:
        rig.start()
        clients, serial = [], 0
        for turn in range(rounds):
            busy = draw.sample(rig.names, 2)
            for i, name in enumerate(busy):
                serial += 1
                clients.append(client(rig, name, serial, open=(40, 12)[i], work_ms=60.0, limit_ms=500))
            victims = draw.sample(rig.names, 3)
            rig.pause(victims[0])
            rig.cut(victims[1], sides=(("there", "back"), ("back",))[turn % 2])
            if turn % 3 == 0:
                rig.kill(victims[2])
            elif turn % 3 == 1:
                rig.faults(lose=8, stale=3, behind=4)
            else:
                rig.kill_register()
                rig.start_register()
            time.sleep(0.8)
            end(clients[:-2])
            clients = clients[-2:]
            rig.resume(victims[0])
            rig.heal(victims[1])
            if turn % 3 == 0:
                rig.start(victims[2], wait=False)
            time.sleep(0.5)
        end(clients)
        rig.stop(*[name for name in rig.names if rig.members[name].process.poll() is None])
        over = sum(most_at_once(engine.flights)[0] > whole for engine in rig.engines)
        sends = retries(rig.engines)
        over += most_in_window(sends, 2.0)[0] > further
        check = AllocationHistory(rig.lines())
        limits = {"threads": whole, "further": further, "taken": 400}
        over += sum(most > limits[name.partition("/")[0]] for name, most in check.most.items())
        logs = [member.log.read_text("utf-8", "replace") for member in rig.members.values()]
        bad = sum(
            log.count(word)
            for log in logs
            for word in ("faults of ours", "faults of the module", "was not answered in time", "Traceback")
        )
        return {
            "over_whole": over,
            "moves": check.moves,
            "rules_broken": bad,
            "further_sends": len(sends),
            "most_at_once": [most_at_once(engine.flights)[0] for engine in rig.engines],
            "most_further": most_in_window(sends, 2.0)[0],
            "fetches": sum(len(engine.flights) for engine in rig.engines),
        }


def in_use(rig, began, ended):
    """The mean of what was in the first engine between two times, of the whole."""
    total = sum(max(0.0, min(row[1] or ended, ended) - max(row[0], began)) for row in rig.engines[0].flights)
    return total / (ended - began) / WHOLE


def used(seconds, busy, budgets):
    """What gateways that ask for all get to use of the whole, of six; busy: who asks."""
    with fleet(6, budgets) as rig:
        rig.start(operator=bool(budgets))
        clients = [
            client(
                rig,
                name,
                i,
                open=2 * WHOLE // len(busy),
                connections=1 + 8 // len(busy),
                work_ms=600.0,
                limit_ms=2900,
            )
            for i, name in enumerate(busy)
        ]
        time.sleep(1.5)
        began = time.time()
        time.sleep(seconds)
        share = in_use(rig, began, time.time())
        end(clients)
        return round(share, 4)


def redivided(turns):
    """From a member's end to its part written for others: (after one in good order in s, after a kill in
    leases)."""
    found = {"stop": [], "kill": []}
    with fleet(3, [threads(24)]) as rig:
        rig.start()
        clients = [client(rig, name, i, open=40) for i, name in enumerate(("n0", "n1"))]
        for turn in range(turns):
            rig.until(lambda: sum(rig_parts(rig).get(name, 0) > 6 for name in ("n0", "n1")) == 2)
            time.sleep(0.2)
            manner = ("kill", "stop")[turn % 2]
            told = time.time()
            getattr(rig, manner)("n0")
            went = time.time()
            rig.until(lambda: rig_parts(rig).get("n1", 0) >= 22)
            raised = next(
                at
                for at, rows in AllocationHistory(rig.lines()).history
                if at > told
                and sum(
                    part
                    for name, parts in rows.items()
                    for member, part in parts.items()
                    if member.startswith("n1/")
                )
                >= 22
            )
            found[manner].append(max(0.0, raised - went) / (rig.lease_s if manner == "kill" else 1))
            rig.start("n0")
            end(clients[:1])
            clients[0] = client(rig, "n0", 10 + turn, open=40)
        end(clients)
    return p95(found["stop"]), p95(found["kill"])


def rig_parts(rig):
    """{member: its part} of the one engine's threads."""
    check = AllocationHistory(rig.lines())
    return check.now(next(iter(check.most), ""))


def gain(seconds, budgets):
    """Commands answered in the latency target under uneven traffic, with one engine slow and one cold."""

    def rules(tree):
        tree["rules"] |= {"cold_from": 0.05, "warm_after": 30, "fall_multiple": 1, "tip_after": 1}
        for item in tree["categories"]:
            item["aim"] = 0.4

    with fleet(6, budgets, engines=3, adjust=rules) as rig:
        rig.engines[1].pace = 0.5
        rig.born_ms[2] = int(time.time() * 1000)
        rig.start(operator=bool(budgets))
        clients = [
            client(rig, "n0", 1, rate=170.0, work_ms=250.0, limit_ms=900, connections=4),
            *(client(rig, f"n{i}", 1 + i, rate=4.0, work_ms=250.0, limit_ms=900) for i in range(1, 6)),
        ]
        time.sleep(1.0)
        for one in clients:
            one.zero()
        time.sleep(seconds)
        good = sum(latency <= 0.4 for one in clients for latency in one.latencies)
        asked = sum(one.asked for one in clients)
        end(clients)
        fallen = 0
        rows = [(row[0], row[4] / 1000) for row in rig.engines[2].flights]
        for at, _ in rows:  # what it stands in a window, its capacity growing half as fast as a line
            stands = (0.05 + 0.95 / 2 * (at - rig.born_ms[2] / 1000) / 30) * CORES
            fallen += sum(work for when, work in rows if at - 1.0 < when <= at) > stands
        return good / max(1, asked), fallen


def service(seconds, budgets):
    """Answered over asked with the register dead, at a load that even parts carry."""
    with fleet(6, budgets) as rig:
        rig.start(operator=True)
        clients = [
            client(rig, name, i, rate=30.0, work_ms=150.0, limit_ms=1000) for i, name in enumerate(rig.names)
        ]
        time.sleep(1.0)
        rig.kill_register()
        time.sleep(1.3)
        for one in clients:
            one.zero()
        time.sleep(seconds)
        ratio = sum(one.answered for one in clients) / max(1, sum(one.asked for one in clients))
        end(clients)
        rig.start_register()
        return ratio


def cost(seconds):
    """CPU of a command with budgets on over off, in one run, each a gateway of its own, times by default."""
    budgets = [threads(), {"of": '"further"', "whole": 1000, "window": "5s"}]
    times = {"lease_s": 5, "look": "100ms"}
    with fleet(1, budgets, **times) as on, fleet(1, [], **times) as off:
        spent = {}
        for rig in (on, off):
            rig.start()
            clients = [client(rig, "n0", 1, rate=120.0, work_ms=5.0, limit_ms=900)]
            time.sleep(0.7)
            spent[rig] = [clients, 0.0, 0]
        for _ in range(2):  # both are under the same load at the same time
            before = {rig: (cpu_s(rig.members["n0"].process.pid), spent[rig][0][0].answered) for rig in spent}
            time.sleep(seconds)
            for rig, (cpu, answered) in before.items():
                spent[rig][1] += cpu_s(rig.members["n0"].process.pid) - cpu
                spent[rig][2] += spent[rig][0][0].answered - answered
        each = {rig: cpu / max(1, count) for rig, (_, cpu, count) in spent.items()}
        for rig in spent:
            end(spent[rig][0])
    return round(each[on] / each[off], 3), round(each[off] * 1e6)


def calls_real(seconds, members=12):
    """Calls of the register and bytes written of one member in a second, while demand alternates."""
    with fleet(members, [threads(48)], engines=2) as rig:
        rig.start()
        rig.until(lambda: len(rig_parts(rig)) == members)
        before, size = sum(rig.counts().values()), AllocationHistory(rig.lines()).bytes
        for turn in range(2):
            one = client(rig, f"n{turn}", turn, work_ms=60.0)
            time.sleep(seconds / 2)
            end([one])
        return (
            round((sum(rig.counts().values()) - before) / members / seconds, 2),
            round((AllocationHistory(rig.lines()).bytes - size) / members / seconds),
        )


def calls_alone(members, budgets=5000, each=250, turns=2):
    """By the decisions alone: (calls, bytes) of one member for a change of five of its budgets, and the
    longest division in ms. Each member tells of so many of the budgets: scaled down from all of them."""
    role = AllocatorRole(
        {
            "threads": Budget(LedgerKind.HELD, 10_000, linger_us=1_000_000),
            "taken": Budget(LedgerKind.WINDOWED, 10_000, window_us=1_000_000),
        }
    )
    names = [f"{('threads', 'taken')[i % 2]}/{i}" for i in range(budgets)]
    told = {
        f"m{i}/1": {names[(i * each + k) % budgets]: Usage(0, 5, 8) for k in range(each)}
        for i in range(members)
    }
    items = tuple(
        KeyValue(REPORTS + member, encode_report(UsageReport(0, rows)), 2, 1) for member, rows in told.items()
    )
    now, revision, writes, size, longest = 0, 10, 0, 0, 0.0
    role.won(1, now)
    first = next(action for action in role.take_actions() if isinstance(action, ReadKeys))
    role.read(now, first.serial, Reply(Proof.DONE, 3, items=items))

    def settle():
        nonlocal now, revision, writes, size, longest
        while True:
            began = time.perf_counter()
            role.step(now)
            longest = max(longest, time.perf_counter() - began)
            rows = [action for action in role.take_actions() if isinstance(action, WriteKeys)]
            for row in rows:
                writes, revision = writes + 1, revision + 1
                size += sum(
                    len(act.value)
                    for act in row.operations
                    if isinstance(act, Put) and ALLOCATIONS in act.key
                )
                role.written(now, row.serial, Reply(Proof.DONE, revision))
            if not rows and role.allocator.due() != 0:
                return
            now += 20_000

    settle()
    calls = 0
    writes = size = 0
    for turn in range(turns):
        for i, (member, rows) in enumerate(told.items()):
            for name in list(rows)[5 * turn : 5 * turn + 5]:
                rows[name] = Usage(0, 20 + turn + i % 3, 40 + turn)
            revision, calls = revision + 1, calls + 1
            text = encode_report(UsageReport(0, rows))
            size += len(text)
            role.changed(now, REPORTS + member, text, revision)
            if role.writing:
                role.written(now, role.writing, Reply(Proof.DONE, revision))
        now += 1_000_000
        settle()
    return (
        round((calls + writes) / members / turns, 3),
        round(size / members / turns),
        round(longest * 1000, 1),
    )


def main():
    """All of it; the last line is JSON."""
    parser = argparse.ArgumentParser(prog="benchmarks.budgets", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    began, figures = time.monotonic(), {"quick": args.quick, "seed": args.seed}
    seconds = 1.5 if args.quick else 15.0

    def show(**facts):
        figures.update(facts)
        print(f"{time.monotonic() - began:6.1f} s", facts, flush=True)

    budgets, cold = [threads()], {"of": '"cold"', "window": "1s"}
    six, spare = [f"n{i}" for i in range(6)], [threads(alone=10, members=6)]
    # Rigs two at a time, decisions beside them; what a command costs is measured by itself.
    with ProcessPoolExecutor(2) as rigs, ProcessPoolExecutor(5) as pool:
        alone = begin_decisions(
            pool,
            budget_explorer,
            budget_mutants,
            STEPS,
            (30, 8, 1200, 1500) if args.quick else (400, 16, 6000, 40_000),
            (LedgerKind.HELD, LedgerKind.WINDOWED),
            SLOW,
        )
        sizes = {members: pool.submit(calls_alone, members) for members in (200, 1000)}
        broken = rigs.submit(faults, 7 if args.quick else 60, args.seed)
        again = rigs.submit(redivided, 4 if args.quick else 20)
        spent = [
            rigs.submit(used, seconds, *told) for told in ((["n0"], budgets), (["n0"], []), (six, budgets))
        ]
        gains = [rigs.submit(gain, seconds, told) for told in ([threads(), cold], [])]
        dead = [rigs.submit(service, seconds, told) for told in (spare, [])]
        real = rigs.submit(calls_real, 2.0 if args.quick else 20.0)
        show(**broken.result())
        order, kill = again.result()
        show(redivided_order_p95_s=order, redivided_kill_p95_leases=kill)
        one, today, even = (job.result() for job in spent)
        show(used_of_whole=one, used_today=today, used_even=even)
        (good, fallen), (evenly, _) = (job.result() for job in gains)
        show(
            answered_gain=round(good / max(evenly, 1e-9), 3),
            cold_fallen=fallen,
            answered_in_target=[round(good, 3), round(evenly, 3)],
        )
        ratios = [job.result() for job in dead]
        show(
            service_ratio=round(ratios[0] / ratios[1], 4), service_dead=[round(ratio, 4) for ratio in ratios]
        )
        calls, size = real.result()
        found = {members: job.result() for members, job in sizes.items()}
        rates, written = zip(*(row[:2] for row in found.values()), strict=True)
        show(
            calls_per_member_s=calls,
            bytes_per_member_s=size,
            calls_alone={members: row[0] for members, row in found.items()},
            bytes_alone={members: row[1] for members, row in found.items()},
            divide_ms={members: row[2] for members, row in found.items()},
            calls_flat=round(max(max(rates) / min(rates), max(written) / min(written)), 3),
        )
        show(**decided(*alone))
    over, us = cost(2 * seconds)
    show(cpu_over=over, cpu_off_us=us)
    show(seconds=round(time.monotonic() - began, 1))
    sys.stdout.flush()
    close(figures, BOUNDS)


if __name__ == "__main__":
    main()
