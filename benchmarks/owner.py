"""One owner at a time: what a fleet of real processes keeps under faults, and what it costs.

    python -m benchmarks.owner [--quick]

Quick: 6 gateways for some 25 s of faults, 12 for the counts of calls; under a minute. In full: four times the
faults and ten times the walks.
"""

import argparse
import random
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks import close, p95
from gullhold.fleet.lease import LeaseTerms
from gullhold.fleet.membership import Membership
from gullhold.fleet.membership_types import CallStore, MembershipRules
from gullhold.fleet.role_assignment import RoleAssignment
from gullhold.fleet.store_calls import (
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    Proof,
    ReadLeaseKeys,
    ReadPrefix,
    Reply,
)
from gullhold.testing import (
    crowd,
    membership_explorer,
    membership_mutants,
    scheduled_command_explorer,
    scheduled_command_mutants,
)
from gullhold.testing.fleet import Rig
from gullhold.testing.fleet_checker import Check, marks, sent
from gullhold.testing.running import cpu_s, resident_mb
from gullhold.testing.walking import Broken

BOUNDS = {
    "owners_accepted_at_once": 0,
    "late_effects_accepted": 0,
    "late_effects_tried": (50, "least"),
    "occurrences": (200, "least"),
    "occurrences_lost": 0,
    "non_replayable_twice": 0,
    "uniqued_outside_window": 0,
    "rules_broken": 0,
    "handover_p95_leases": 1.5,
    "handover_sigterm_p95_leases": 0.2,
    "moves_over_least": 1.2,
    "calls_flat": 1.5,
    "service_ratio": (0.98, "least"),
    "mutants_missed": 0,
    "walks_broken": 0,
}
DUTIES = 10_000
SIZES = (50, 200, 1000)
STEPS = 160  # of a walk
KINDS = {"plain": "read", "marked": "mark", "single": "once"}


def words(kind, i):
    """An operator's words for a scheduled command; each has a statement of its own."""
    name = f"{kind}{i}"
    return {
        "name": f'"{name}"',
        "every": "500ms",
        "profile": f'"{KINDS[kind]}"',
        "window": "20s",
        "statement": f'"select 1 from {name}_1.t /* work=30 */"',
        "work": "30ms",
    }


def faults(rounds, seed):
    """Six gateways, duties and scheduled commands under drawn faults; figures of what was kept."""
    draw = random.Random(seed)
    scheduled = [words(kind, i) for kind in KINDS for i in range(3)]
    with Rig(members=6, beats=18, beat_ms=40, scheduled=scheduled, seed=seed) as rig:
        rig.start()
        rig.until(lambda: len(rig.owners()) == 27)
        for turn in range(rounds):
            names = draw.sample(rig.names, 4)
            rig.cut(names[0], sides=("there",))
            rig.cut(names[1])
            rig.pause(names[2])
            if turn % 3 == 0:
                rig.kill(names[3])
            elif turn % 3 == 1:
                rig.faults(lose=6, stale=3, behind=4)
            else:
                rig.kill_register()
                rig.start_register()
            time.sleep(1.7)
            rig.heal(names[0])
            rig.heal(names[1])
            rig.resume(names[2])
            if turn % 3 == 0:
                rig.start(names[3])
            time.sleep(0.5)
        rig.until(lambda: len(rig.owners()) == 27)
        time.sleep(1.5)
        rig.stop(*rig.names)
        return judged(rig, scheduled)


def judged(rig, scheduled):
    """What the register's journal and the engines' records say of a run."""
    check = Check(rig.lines())
    rows = check.occurrences()
    lost = sum(gaps(check, item["name"].strip('"'), 500_000) for item in scheduled)
    twice = sum(
        max(0, len(at) - tries(rows, statement.split()[3].partition("_")[0]))
        for statement, at in sent(rig.engines).items()
        if "single" in statement
    )
    outside = sum(
        max(at for at, _ in times) - min(at for at, _ in times) > rig.dedup_s
        for mark, times in marks(rig.engines).items()
    )
    broken = [line for line in check.broken if "token" in line or "effect" in line]
    logs = [member.log.read_text("utf-8", "replace") for member in rig.members.values()]
    faults_of_ours = sum(
        log.count(word)
        for log in logs
        for word in ("faults of ours", "faults of the module", "was not answered in time", "Traceback")
    )
    for line in check.broken[:5]:
        print("broken:", line)
    return {
        "owners_accepted_at_once": len(check.broken) - len(broken),
        "late_effects_accepted": len(broken),
        "late_effects_tried": check.late,
        "effects": check.effects,
        "moves": check.moves,
        "occurrences": len(rows),
        "occurrences_lost": lost,
        "non_replayable_twice": twice,
        "uniqued_outside_window": outside,
        "rules_broken": faults_of_ours,
        "occurrence_states": {
            state: sum(row["state"] == state for row in rows.values())
            for state in sorted({row["state"] for row in rows.values()})
        },
    }


def tries(rows, command):
    """The sends of a command that its records allow for."""
    return sum(row["tries"] for (name, _), row in rows.items() if name == command)


def gaps(check, command, every_us):
    """Times at which a command was due, between the first and the last that is recorded, without a record."""
    found = sorted(
        (due, row["count"] if row["state"] == "skipped" else 1)
        for (name, due), row in check.occurrences().items()
        if name == command
    )
    missing, last = 0, None
    for due, count in found:
        missing += 0 if last is None else max(0, (due - last) // every_us - count)
        last = due
    return missing


def handover(kills):
    """From the end of an owner to the next one's first effect, in leases: (after a kill, at SIGTERM)."""
    found = {"kill": [], "stop": []}
    with Rig(members=4, beats=24, beat_ms=40) as rig:
        rig.start()
        rig.until(lambda: len({who for who, _ in rig.owners().values()}) == 4)
        for turn in range(kills):
            time.sleep(0.7 + 0.1 * turn)
            name, manner = rig.names[turn % 4], ("kill", "stop")[turn % 2]
            mine = {duty for duty, (who, _) in rig.owners().items() if who == name}
            went = time.time()
            (rig.kill if manner == "kill" else rig.members[name].process.terminate)(
                *([name] if manner == "kill" else [])
            )
            rig.until(
                lambda mine=mine, name=name: all(
                    rig.owners().get(duty, (name, 0))[0] != name for duty in mine
                )
            )
            time.sleep(0.3)
            check = Check(rig.lines())
            for duty in mine:
                at = [first for of, first, took in check.handovers() if of == duty and first and took > went]
                found[manner].append((min(at) - went) / rig.lease_s if at else 99.0)
            rig.members[name].process.wait(8)
            rig.start(name)
            rig.until(lambda: len({who for who, _ in rig.owners().values()}) == 4)
        broken = Check(rig.lines()).broken
    return p95(found["kill"]), p95(found["stop"]), len(broken)


def moved(members=12):
    """Duties that move when one of so many goes, over its own: by the decisions alone."""
    spread = RoleAssignment([f"d{i}" for i in range(DUTIES)])
    spread.update_members([f"n{i}" for i in range(members)])
    least = sum(name == "n3" for name in spread.leaders.values())
    return round(len(spread.update_members([f"n{i}" for i in range(members) if i != 3])) / least, 3)


def calls_alone(members, lease_s=5, seconds=120):
    """(calls a second of one member among so many in its steady state, calls to take its duties)."""
    rules = MembershipRules(LeaseTerms(lease_s, 0.01, 100_000), 0, 200, 100_000, 5_000_000, 1_000_000)
    one = Membership("n0", "x", rules, [f"d{i}" for i in range(DUTIES)], lambda: 0.5, 0)
    others = tuple(KeyValue(f"members/n{i}", '{"nonce": "y", "ready": true}', 2) for i in range(1, members))
    now, taking, steady, revision = 0, 0, 0, 10
    one.tick(now)
    while now < seconds * 1_000_000:
        for action in one.take_actions():
            if not isinstance(action, CallStore):
                continue
            call, revision = action.call, revision + 1
            request = call.request
            steady += now >= 30_000_000
            taking += now < 30_000_000
            if isinstance(request, GrantLease):
                reply = Reply(Proof.DONE, revision, lease=7, ttl_s=lease_s)
            elif isinstance(request, KeepLeaseAlive):
                reply = Reply(Proof.DONE, revision, ttl_s=lease_s)
            elif isinstance(request, ReadPrefix):
                reply = Reply(Proof.DONE, revision, items=others)
            elif isinstance(request, ReadLeaseKeys):
                reply = Reply(
                    Proof.DONE, revision, keys=tuple(f"duties/{duty}" for duty in one.claims.tokens)
                )
            else:
                reply = Reply(Proof.DONE, revision)
            one.call_replied(now, call, reply)
        if not one.out:
            now = max(now + 1000, one.due(now))
            one.tick(now)
    mine = sum(name == "n0" for name in one.claims.assignment.leaders.values())
    if len(one.claims.tokens) != mine:
        raise SystemExit(f"{len(one.claims.tokens)} of {mine} duties were taken")
    return round(steady / (seconds - 30), 3), taking


def calls_real(members=12, seconds=5):
    """(calls a second of each of so many real members, CPU share and MB that an idle one costs more)."""
    with Rig(members=members + 1, lease_s=5, beats=36, beat_ms=3_600_000) as rig:
        rig.start(*rig.names[:members])
        rig.start(rig.names[members], operator=False)
        rig.until(lambda: len(rig.owners()) == 36)
        time.sleep(1)
        pids = [rig.members[name].process.pid for name in rig.names]
        before, cpu = sum(rig.counts().values()), [cpu_s(pid) for pid in pids]
        time.sleep(seconds)
        calls = (sum(rig.counts().values()) - before) / members / seconds
        used = [cpu_s(pid) - old for pid, old in zip(pids, cpu, strict=True)]
        more = statistics.mean(used[:members]) - used[members]
        mb = statistics.mean(resident_mb(pid) for pid in pids[:members]) - resident_mb(pids[members])
        return round(calls, 3), round(more / seconds, 4), round(mb, 1)


def service(seconds):
    """Answered in target with the register dead over with it alive, same load."""
    with Rig(members=3, beats=6) as rig:
        rig.start()
        clients = [
            crowd.Client(
                member.address,
                "",
                f"c{i}",
                work_ms=20.0,
                limit_ms=500,
                rate=40.0,
                manner=crowd.NOT_AT_ALL,
                seed=i,
            ).start()
            for i, member in enumerate(rig.members.values())
        ]
        time.sleep(0.5)
        counts = []
        for alive in (True, False):
            if not alive:
                rig.kill_register()
                time.sleep(1.2)  # leases end
            for client in clients:
                client.zero()
            time.sleep(seconds)
            counts.append(
                sum(client.answered for client in clients) / max(1, sum(client.asked for client in clients))
            )
        for client in clients:
            client.stop()
        for client in clients:
            client.join()
        rig.start_register()
    return round(counts[1] / counts[0], 4), [round(count, 4) for count in counts]


def walks(job):
    """Marks of states that some walks met, or what broke."""
    first, last = job
    met = set()
    for seed in range(first, last):
        try:
            met |= membership_explorer.walk(seed, STEPS)
            scheduled_command_explorer.walk(seed)
        except Broken as fault:
            return met, str(fault)[:300]
    return met, ""


def hunt(job):
    """Whether a mutant is found, and by which walk."""
    owners, i, most = job
    which = membership_mutants if owners else scheduled_command_mutants
    mutant = which.MUTANTS[i]
    return mutant.__name__, which.find(mutant, most, *([STEPS] if which is membership_mutants else []))


def decisions(quick):
    """The decisions alone: states met, broken walks, mutants found."""
    per, jobs = (60, 8) if quick else (2000, 16)
    with ProcessPoolExecutor() as pool:
        played = pool.map(walks, [(i * per, (i + 1) * per) for i in range(jobs)])
        hunted = pool.map(
            hunt,
            [
                (which is membership_mutants, i, 1200)
                for which in (membership_mutants, scheduled_command_mutants)
                for i in range(len(which.MUTANTS))
            ],
        )
        systematic = pool.submit(membership_explorer.explore, 8, 4_000 if quick else 60_000)
        met, broken = set(), []
        for marks_met, fault in played:
            met |= marks_met
            broken += [fault] if fault else []
        found = dict(hunted)
        states, depth = systematic.result()
    for name, what in found.items():
        print(f"mutant {name}: {what[1][:90] + f' (walk {what[0]})' if what else 'NOT FOUND'}")
    return {
        "explored_states": len(met) + states,
        "systematic_depth_whole": depth,
        "walks": per * jobs,
        "walks_broken": len(broken),
        "mutants": len(found),
        "mutants_found": sum(what is not None for what in found.values()),
        "mutants_missed": sum(what is None for what in found.values()),
    }


def main():
    """All of it; the last line is JSON."""
    parser = argparse.ArgumentParser(prog="benchmarks.owner", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    began = time.monotonic()
    figures = {"quick": args.quick, "seed": args.seed}

    def show(**facts):
        figures.update(facts)
        print(f"{time.monotonic() - began:6.1f} s", facts, flush=True)

    show(**faults(7 if args.quick else 40, args.seed))
    kill, stop, broken = handover(4 if args.quick else 16)
    figures["owners_accepted_at_once"] += broken
    show(handover_p95_leases=kill, handover_sigterm_p95_leases=stop)
    ratio, each = service(2.5 if args.quick else 15)
    show(service_ratio=ratio, answered_in_target=each)
    calls, cpu, mb = calls_real(seconds=2 if args.quick else 20)
    alone = {size: calls_alone(size) for size in SIZES}
    rates = [rate for rate, _ in alone.values()]
    show(
        calls_per_member_s=calls,
        calls_alone={size: rate for size, (rate, _) in alone.items()},
        calls_to_take={size: taking for size, (_, taking) in alone.items()},
        calls_flat=round(max(rates) / min(rates), 3),
        idle_cpu_more=cpu,
        idle_mb_more=mb,
    )
    show(moves_over_least=moved())
    show(**decisions(args.quick))
    show(seconds=round(time.monotonic() - began, 1))
    sys.stdout.flush()
    close(figures, BOUNDS)


if __name__ == "__main__":
    main()
