"""Fair queues at the door: shares, latency of the polite, memory, CPU, and those who come back.

A real gateway (a process of its own) on loopback, working stand-in engines, clients under load here. Each
case with the door and without it, and as the program was before (EARLIER) where that applies.
"""

import argparse
import random
import socket
import sys
import time
from statistics import median

from benchmarks import close, earlier
from gullhold.decisions.gateway import Gateway
from gullhold.interface import (
    Agreement,
    DeduplicationScope,
    Dispatch,
    EngineEntry,
    EngineState,
    Idempotency,
    Outcome,
    Profile,
    Tenant,
)
from gullhold.net import thrift
from gullhold.testing import load_client
from gullhold.testing.running import ADMISSION_RULES, ROOT, RunningDeployment
from gullhold.testing.working_engine import statement

EARLIER = "a6dbb5f"  # the last commit before the door and the change to the module
WORK_MS = 50.0  # of a command; two engines of four slots do 160 of them a second
WARM_S = 1.5  # s before a measurement: the drain is known, first links are up
OPEN = 'door: {tenants: "open", others: "others"}\n'
BOUNDS = {
    "share_error": 0.10,
    "share_error_middle": 0.05,
    "polite_p95_ratio": 1.5,
    "memory_growth_mb": 8.0,
    "memory_second_mb": 2.0,
    "cpu_ratio_tenants": 1.5,
    "cpu_ratio_tenants_module": 1.5,
    "came_back_answered": (0.9, "least"),
    "refusal_cpu_ratio": 0.1,
}


def during(running, clients, seconds, finish=False):
    """Run these clients, count so many seconds after WARM_S; (CPU s, seconds, (answered, shed) of each).

    finish: what is open at the end is waited for, and counts.
    """
    for client in clients:
        client.start()
    time.sleep(WARM_S)
    for client in clients:
        client.reset_counts()
    cpu, began = running.cpu_s(), time.monotonic()
    time.sleep(seconds)
    used, took = running.cpu_s() - cpu, time.monotonic() - began
    for client in clients:
        (client.stop if finish else client.disconnect)()
    counts = [(client.counts.answered, client.counts.shed) for client in clients]
    for client in clients:
        client.join()
    return used, took, counts


def p95(clients):
    """Of all their answers, s."""
    ordered = sorted(latency for client in clients for latency in client.counts.latencies_s)
    return ordered[int(0.95 * (len(ordered) - 1))] if ordered else None


def shares(seconds, ways):
    """(largest, middle) relative departure from an even share, by way; both crowds."""
    found = {}
    for way, operator, root in ways:
        largest, middle = 0.0, []
        for many, connections in ((160, 8), (1600, 50)):
            with RunningDeployment(operator=operator, tenants=(("one", 1.0),), root=root) as running:
                # Turned away, each asks for something else: all stay backlogged.
                clients = [
                    load_client.LoadClient(
                        running.address, "one", f"polite-{i}", open=16, retry_rule=load_client.RetryRule.NEVER
                    )
                    for i in range(3)
                ]
                clients.append(
                    load_client.LoadClientProcess(
                        running.address,
                        "one",
                        "crowding",
                        open=many,
                        connections=connections,
                        retry_rule=load_client.RetryRule.NEVER,
                    )
                )
                _, _, counts = during(running, clients, seconds)
            work = [answered * WORK_MS for answered, _ in counts]
            off = [abs(each * len(work) / max(sum(work), 1) - 1) for each in work]
            print(
                f"shares {way} {many}: answered {[answered for answered, _ in counts]}, off by "
                f"{', '.join(f'{each:.3f}' for each in off)}",
                flush=True,
            )
            largest, middle = max(largest, *off), [*middle, median(off)]
        found[way] = largest, max(middle)
    return found


def polite(seconds, ways):
    """p95 of polite clients beside a crowd over the same without it, by way."""
    found = {}
    for way, operator, root in ways:
        seen = []
        for many in (0, 160):
            with RunningDeployment(operator=operator, tenants=(("one", 1.0),), root=root) as running:
                clients = [
                    load_client.LoadClient(running.address, "one", f"polite-{i}", rate=8.0) for i in range(4)
                ]
                crowding = (
                    [
                        load_client.LoadClientProcess(
                            running.address,
                            "one",
                            "crowding",
                            open=many,
                            connections=8,
                            retry_rule=load_client.RetryRule.NEVER,
                        )
                    ]
                    if many
                    else []
                )
                during(running, clients + crowding, seconds)
            seen.append(p95(clients))
        found[way] = seen[1] / seen[0] if all(seen) else None
        print(
            f"polite {way}: p95 {seen[0] * 1000:.0f} ms alone, {(seen[1] or 0) * 1000:.0f} ms beside 160",
            flush=True,
        )
    return found


def came_back(seconds):
    """Of those who came back at twice what the engines can do: the part answered, told and at once."""
    found = {}
    for rule, name in (
        (load_client.RetryRule.AFTER_WAIT, "told"),
        (load_client.RetryRule.IMMEDIATELY, "at once"),
    ):
        with RunningDeployment(operator=ADMISSION_RULES, tenants=(("one", 1.0),)) as running:
            clients = [
                load_client.LoadClient(running.address, "one", f"client-{i}", rate=16.0, retry_rule=rule)
                for i in range(20)
            ]  # 320 a second where 160 can be done
            during(running, clients, seconds, finish=True)
        good = sum(client.counts.waited_answered + client.counts.early_answered for client in clients)
        back = good + sum(client.counts.waited_shed + client.counts.early_shed for client in clients)
        found[name] = good / back if back else None
        print(
            f"came back {name}: {good} of {back} answered; answers in all "
            f"{sum(client.counts.answered for client in clients)}, "
            f"told {sum(client.counts.retry_after_received for client in clients)}",
            flush=True,
        )
    return found


def refusals(seconds):
    """CPU of one refusal over that of one served command."""
    with RunningDeployment(operator=ADMISSION_RULES, tenants=(("one", 1.0),)) as running:
        clients = [
            load_client.LoadClient(running.address, "one", f"client-{i}", rate=10.0) for i in range(10)
        ]
        used, _, counts = during(running, clients, seconds)
        served = used / sum(answered for answered, _ in counts)
    with RunningDeployment(operator=ADMISSION_RULES, tenants=(("one", 1.0),)) as running:
        clients = [
            load_client.LoadClientProcess(
                running.address,
                "one",
                "crowding",
                open=640,
                connections=20,
                retry_rule=load_client.RetryRule.IMMEDIATELY,
                max_attempts=10**9,
            )
        ]
        used, _, counts = during(running, clients, seconds)
        answered, shed = map(sum, zip(*counts, strict=True))
    refused = (used - answered * served) / max(shed, 1)
    print(
        f"served {served * 1e6:.0f} us, refused {refused * 1e6:.0f} us of CPU ({shed} refused beside "
        f"{answered} served)",
        flush=True,
    )
    return refused / served


def once_each(address, first, count, connections=4):
    """Tenants that send one command each, once, as fast as answers come."""
    draw, socks = random.Random(first), []
    for _ in range(connections):
        sock = socket.create_connection(address, timeout=8)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        socks.append([sock, thrift.Decoder(load_client.MAX_FRAME_BYTES), 0, 0])
    sent, answered, at = 0, 0, 0
    while answered < count:
        for row in socks:
            sock, machine, seq, out = row
            burst = []
            while out < 8 and sent < count:
                seq, out, name = seq + 1, out + 1, b"t%d" % (first + sent)
                sent += 1
                burst.append(small_read(seq, draw, name))
            if burst:
                sock.sendall(b"".join(burst))
            if out:
                machine.buffer.receive(sock)
                for _ in machine.frames():
                    out, answered = out - 1, answered + 1
            row[2], row[3] = seq, out
        at += 1
    for row in socks:
        row[0].close()


def small_read(seq, draw, name):
    """A frame that asks for 1 ms of work, by a tenant and a client of this name."""
    fields = {
        b"verb": b"read",
        b"txn": b"%016x" % draw.getrandbits(64),
        b"limit": b"4000",
        b"cpu": b"1",
        b"memory": b"50",
        b"team": name,
        b"client": name,
    }
    return load_client.frame(seq, fields, statement(1))


def tenants(many):
    """Memory and CPU of the whole path as open tenants grow: growth in MB, again, CPU ratio."""
    with RunningDeployment(
        operator=ADMISSION_RULES + OPEN, tenants=(("known", 0.5), ("others", 0.5)), slots=64, cores=32
    ) as running:

        def step(first, count):
            cpu = running.cpu_s()
            once_each(running.address, first, count)
            return (running.cpu_s() - cpu) / count * 1e6

        few = [step(0, 2) and 0.0]
        names = iter(range(10**9, 10**10, 10**7))
        for _ in range(4):  # two names, many commands: what a command costs with two tenants
            few.append(two(running))
        step(100, 100)
        base = running.resident_mb()
        some = step(next(names), 4000)
        first = step(10**8, many)
        grown = running.resident_mb()
        step(2 * 10**8, many)
        again = running.resident_mb()
    cost = median(few[1:])
    print(
        f"tenants: resident {base:.1f} MB at 100, {grown:.1f} after {many} more, {again:.1f} after as many "
        f"again; CPU {cost:.0f} us a command at 2, {some:.0f} at 4000, {first:.0f} at {many}",
        flush=True,
    )
    return grown - base, again - grown, max(some, first) / cost


def two(running):
    """CPU us of a command where two tenants send all of them."""
    cpu, count = running.cpu_s(), 1000
    draw, machine = random.Random(5), thrift.Decoder(load_client.MAX_FRAME_BYTES)
    with socket.create_connection(running.address, timeout=8) as sock:
        seq = out = 0
        while seq < count or out:
            burst = []
            while out < 32 and seq < count:
                seq, out, name = seq + 1, out + 1, b"u%d" % (seq % 2)
                burst.append(small_read(seq, draw, name))
            if burst:
                sock.sendall(b"".join(burst))
            machine.buffer.receive(sock)
            out -= sum(1 for _ in machine.frames())
    return (running.cpu_s() - cpu) / count * 1e6


def module(many, commands):
    """CPU us of one command of the module alone with so many tenants, eight engines."""
    profile = Profile(
        1,
        500_000,
        2.0,
        4_000_000,
        1.0,
        0.3,
        Idempotency.IDEMPOTENT,
        DeduplicationScope.FLEET,
        0,
        False,
        None,
        None,
        False,
        False,
    )
    agreement = Agreement(
        profiles=(profile,),
        tenants=tuple(Tenant(1 / many) for _ in range(many)),
        gateways=1,
        zone=0,
        cores_by_kind=(4.0,),
        memory_mb_by_kind=(8192.0,),
        max_grant_share=0.4,
        honors_grants=False,
        honors_priority=False,
        max_attempts=3,
        supports_cancel=True,
        max_retry_after_us=0,
        warmup_initial_share=0.3,
        warmup_us=0,
        overload_multiple=3.0,
        overload_window_us=2_000_000,
        key_settle_us=0,
        retry_budget_base=None,
        retry_budget_share=0.0,
        retry_budget_window_us=0,
        cross_zone_costs=False,
    )
    best = []
    for _ in range(3):
        gateway, draw, now, out = Gateway(1, agreement, 0), random.Random(3), 1000, []
        gateway.update_engines(
            0, [EngineEntry(100 + i, 0, 1.0, 0, EngineState.READY, 0, 0) for i in range(8)], True
        )
        began = time.process_time()
        for ident in range(commands):
            now += 400
            results = gateway.submit(
                now, ident, 0, draw.randrange(many), 0, now + 4_000_000, 50_000, 64.0, ident % 5, False
            )
            out += [(now + 20_000, result.command) for result in results if isinstance(result, Dispatch)]
            while out and out[0][0] <= now:
                results = gateway.attempt_ended(
                    now, out.pop(0)[1], 0, Outcome.ANSWERED, False, 20_000, 50_000, 60, ()
                )
                out += [(now + 20_000, result.command) for result in results if isinstance(result, Dispatch)]
        best.append((time.process_time() - began) / commands * 1e6)
    return min(best)


def main(argv=None):
    """All cases."""
    args = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    args.add_argument("--quick", action="store_true", help="under a minute: shorter, fewer tenants")
    quick = args.parse_args(argv).quick
    with earlier(EARLIER) as old:
        ways = [("door", ADMISSION_RULES, ROOT), ("no door", "", ROOT)]
        if old is not None and not quick:
            ways.append(("earlier", "", old))
        begun = time.monotonic()
        cost = {many: module(many, 700 if quick else 6000) for many in (2, 4000, 100_000)}
        print("module alone: " + ", ".join(f"{us:.0f} us at {many}" for many, us in cost.items()), flush=True)
        off = shares(2.5 if quick else 12, ways[:1] if quick else ways)
        late = polite(3 if quick else 15, ways[:1] if quick else ways)
        back = came_back(3 if quick else 20)
        refusal = refusals(2 if quick else 8)
        many = 5_000 if quick else 100_000
        growth, second, ratio = tenants(many)
    close(
        {
            "share_error": round(off["door"][0], 3),
            "share_error_middle": round(off["door"][1], 3),
            "share_error_by_way": {way: round(each[0], 3) for way, each in off.items()},
            "polite_p95_ratio": round(late["door"], 2),
            "polite_p95_ratio_by_way": {way: round(each, 2) if each else None for way, each in late.items()},
            "memory_growth_mb": round(growth, 2),
            "memory_second_mb": round(second, 2),
            "tenants": many,
            "cpu_ratio_tenants": round(ratio, 2),
            "cpu_ratio_tenants_module": round(max(cost[4000], cost[100_000]) / cost[2], 2),
            "came_back_answered": round(back["told"] or 0, 3),
            "came_back_at_once_answered": round(back["at once"] or 0, 3),
            "refusal_cpu_ratio": round(refusal, 3),
            "quick": quick,
            "seconds": round(time.monotonic() - begun, 1),
        },
        BOUNDS,
    )


if __name__ == "__main__":
    main(sys.argv[1:])
