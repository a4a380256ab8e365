"""All decisions of the gateway: what runs, where, when, with how much memory and at which priority.

A front makes one Gateway(seed, agreement, now) for each workload manager and calls its public methods, each
with the time in whole microseconds. gullhold/interface.py defines the Agreement and the tuples that return.
"""

from bisect import insort
from collections import deque
from heapq import heappop, heappush
from itertools import chain
from math import ceil, exp
from random import Random
from statistics import median

from gullhold.decisions.ranking import RANKED_MOST, EngineList
from gullhold.interface import (
    NEVER_RAN,
    BudgetKind,
    CancelAttempt,
    DeduplicationScope,
    Demand,
    Dispatch,
    EngineState,
    Fail,
    Idempotency,
    Outcome,
    ReportDemand,
    SetTerms,
    Shed,
    StartTimer,
    StatusKind,
)

# Tuned values: each with its unit and the reason for its size.
THREADS_A_CORE = 2.0  # threads; the design's start for cap and bound
TICK_US = 50_000  # us between looks while commands are held; far below any latency target
MARGIN_US = 30_000  # us before a client timeout or window ends at which we stop: over one tick
REFIT_US = (10_000_000, 800_000)  # us between fits, from the design; and of one sample: a few commands end
SAMPLE_AT = (0.4, 0.7, 4)  # P0 and P1 against the cap: far apart; least threads of a cap worth sampling
BUSY = (0.7, 2.0, 4.0, 1_000_000)  # load told that leaves no room; most that sum and cap widen; us it fades
PRESSURE = 1.8  # pace against the best seen that is pressure: sharing cores in turn explains less
WARM = 0.7  # weight of a command's own threads at a home: it reads less there, warm
STALE_US = 12_000_000  # us in which what an engine showed fades: some long commands, less than a trouble
HOMES = (3, 20, 2.0, 400)  # least homes of a data set; first count; spread; commands after which all halve
TRAFFIC_US = 15_000_000  # us over which our traffic is counted for our share: longer than a burst
FULL_US = 2_000_000  # us a full answer, or a note of waiting for a load, keeps us off: a few notes
STEADY = 4.0  # long commands' work that outweighs the newest in the fleet's pace: few end
PART = (0.5, 1.25)  # least and most of our share that pressure leaves: a thread a core; more jams all
SLACK = 1.0  # spreads of our threads by chance that the bound over the fleet allows
LONG_PART = (0.3, 0.8, 0.7, 0.0015)  # of a bound, for long commands: least, most; left at a loss; regained
SHORT = 2.5  # times the shortest latency target that a short command is allowed in all
QUOTA = (1.0, 2.0, 8.0)  # least, first and most commands a round of the smallest tenant (zeta)
LIMITS = (0.5, 1.0)  # unfairness and latency variability: half the mean count, a spread like the mean
NEED = (1.1, 0.2, 2.0)  # first mean of need over estimate, its spread; spreads granted: spilling costs more
SICK = (0.15, 2, 0.7, 0.3)  # share of failures, over times the median, that is sick; part for long ones; step
JAMMED = (0.1, 1.5)  # share of failures, or slowness, from which load told is no room: half of sick
NO_FAILURES = 1e-4  # share of failures, as it fades, that is none
LARGE = RANKED_MOST  # engines beyond which a gateway goes back to those that it has used
LATELY = (4, 512)  # engines kept for a data set: what one gateway has out there; data sets
WALK_MOST = 128  # engines looked at from a point drawn at random: more than most fleets have
EASE = 0.1  # weight of the newest answer in moving figures: about ten count
FORGOTTEN = 0.02  # commands of a tenant's fading count that no figure would show any more
RUNS = (0.6, 1.8, 3.0)  # usual runs between looks at a send; of a bad plan; left by notes, or of one stuck
KILLS = (0.4, 4.0)  # further sends for bad plans that each send earns, and the most saved up
COLD_PART = (0.5, 0.25)  # part of the cold budget that we expect to use; and for one command: chance
RUNS_ON = 2.0  # ages that a send which timed out is taken to run on, where none can be cancelled
ABSURD = 100  # client timeouts of work that no estimate is believed beyond
FIRST = (1.5, 0.5)  # before any answer: pace; part of the latency target that a run takes

HELD, BEHIND, OUT, STREAMING, LEAVING, ORPHAN, ENDED = range(7)
MOVES = {
    HELD: (OUT, ENDED),
    BEHIND: (HELD, ENDED),
    OUT: (HELD, STREAMING, LEAVING, ORPHAN, ENDED),
    STREAMING: (ORPHAN, ENDED),
    LEAVING: (HELD, ORPHAN, ENDED),
    ORPHAN: (ENDED,),
    ENDED: (),
}

ENGINE = {
    "state": EngineState.REMOVED,
    "place": 0,
    "kind": 0,
    "cell": 0,
    "born": 0,
    "cores": 1.0,
    "threads": 0,
    "running": 0,
    "bound": None,
    "failed": 0.0,
    "failed_at": 0,
    "full_until": 0,
    "seen_at": 0,
    "seen": 0.0,
    "seen_slow": 0.0,
    "stage": 0,
    "stage_at": 0,
    "work_done": 0.0,
    "fit_at": 0,
    "samples": (),
    "cold_sent": deque,
    "ticket": 0.0,
    "ticket_at": 0,
    "load": 1.0,
    "load_at": 0,
    "stuck": 0,
    "sequence": 0,
}


class Command:
    """One command from its arrival to the outcome of its last send; changes state only in Gateway._move."""

    def __init__(self, ident, profile, kind, tenant, key, timeout_at, need, dataset, order):
        self.id, self.profile, self.kind, self.tenant, self.key = ident, profile, kind, tenant, key
        self.need, self.dataset, self.order, self.entry, self.state = need, dataset, order, 0, BEHIND
        self.last_at, self.threads = timeout_at - MARGIN_US, kind.threads  # after last_at nothing is started
        self.sends, self.engine, self.sent_at, self.ran_engine, self.ran_at, self.done = 0, -1, 0, -1, 0, 0.0
        self.stuck = False  # its send has been out for so long that nothing new goes to that engine
        self.began, self.stays = (), ()  # under the fleet's budgets: of its send, and until it has ended


def spread_of(n, s1, s2):
    """The spread against its mean of a figure, from fading sums of ones, values and squares; 0: none yet."""
    return max(s2 * n / s1**2 - 1, 0.0) ** 0.5 if s1 else 0.0


def fit_bound(p0, rate0, p1, rate1, p2, rate2):
    """The first local maximum of the paper's throughput curve through three samples, or None."""
    if min(rate0, rate1, rate2) <= 0 or not 0 < p0 < p1 < p2 or p1 <= 1:
        return None
    far1 = (p1 * rate0 / rate1 - p0) / (p0 * (p1 - 1))
    far2 = (p2 * rate0 / rate2 - p0) / (p0 * (p2 - 1))
    if far1 <= 0 or far2 <= far1 or far2 / far1 >= (p2 - p0) / (p1 - p0):  # no positive B and gamma fit
        return None
    low, high = 1e-6 / (p2 - p0), 50 / (p1 - p0)
    for _ in range(60):
        gamma = (low + high) / 2
        over = (1 - exp(-gamma * (p2 - p0))) / (1 - exp(-gamma * (p1 - p0))) > far2 / far1
        low, high = (gamma, high) if over else (low, gamma)
    b = far1 / ((base := exp(-gamma * p0)) - exp(-gamma * p1))
    points = [p0 + i * (p2 - p0) / 64 for i in range(65)]
    rates = [p / (p0 + b * p0 * (base - exp(-gamma * p)) * (p - 1)) for p in points]
    return next((points[i] for i in range(64) if rates[i + 1] < rates[i]), None)


class Gateway:
    """The decisions of one workload manager."""

    def __init__(self, seed, agreement, now):
        self.agreement, self.draw, self.began = agreement, Random(seed).random, now
        self.out, self.now, self.order, self.ready_cores, self.usual_failed = [], now, 0, 0.0, 0.0
        self.commands, self.due = {}, []  # by id while owed or out; (time, order, command, sends)
        # (Engine, data set): until when a load holds it. Data set: engines by rank, and commands, fading.
        self.closed, self.asked, self.asked_all = {}, {}, 0.0
        self.lines, self.key_rest, self.taken, self.extras = {}, {}, deque(), deque()  # by key; times
        # Profiles: usual work, bias of estimates, need against estimate, best and usual pace, kills saved up.
        n = len(agreement.profiles)
        self.usual, self.bias, self.spread = [0.0] * n, [1.0] * n, [NEED[:2]] * n
        self.best, self.pace, self.count, self.kills = [1.0] * n, [FIRST[0]] * n, [0] * n, [KILLS[1]] * n
        self.short_us = SHORT * min((p.target_us for p in agreement.profiles), default=0)
        # Tenants, else profiles: weight, held commands (short, long), released, quota left, latency sums.
        least = min((t.share for t in agreement.tenants if t.share > 0), default=1.0)
        # All but the weights is kept only for tenants that it says something of, in dicts by index.
        self.weight = [t.share / least for t in agreement.tenants] or [1.0] * n
        self.counted, self.held, self.released = sum(w > 0 for w in self.weight), {}, {}
        self.quota, self.latency, self.spreads = {}, {}, 0.0  # sum of spreads of latency
        self.allowance = sum(t.allowance for t in agreement.tenants)  # what our traffic is measured against
        self.traffic, self.traffic_at = self.allowance / agreement.gateways * TRAFFIC_US / 1e6, now
        self.part, self.slow, self.total, self.armed = 1.0, 1.0, 0, None
        self.long, self.lingering = LONG_PART[1], []  # (until, engine, born, threads): sends that may run on
        self.zeta, self.rose, self.turn, self.rounds = QUOTA[1], False, 0, 0
        fields = list(agreement.report_fields)  # reported load, if any; of the fleet: full until told
        self.util, self.busy = fields.index("util") if "util" in fields else -1, 1.0
        self.prior, self.parts = 1.0, None  # least usual work; our parts of the fleet's budgets
        self.gate, self.priorities, self.grants, self.most_sends = None, {}, {}, {}  # by the fleet's policy
        # Engines by id; ready ones, and those of them in our location; gone ones that may still be needed.
        self.index, self.ids, self.free, self.sequences = {}, [], [], 0
        self.ready, self.near, self.gone = EngineList(), EngineList(), set()
        self.lately = {}  # by data set: engines that answered for it
        self.marred, self.stuck_at, self.sampled = set(), set(), -1  # with failures, stuck sends; sampled
        vars(self).update({name: [] for name in ENGINE})  # parallel arrays under the dense index

    def update_engines(self, now, entries, full):
        """The list of engines changed; full: engines that are not in it are gone."""
        self.now, self.out, seen = now, [], set()
        for ident, zone, _, kind, state, cell, born in entries:
            if ident not in self.index:
                be = self.index[ident] = self.free.pop() if self.free else len(self.ids)
                for name, first in (*ENGINE.items(), ("ids", ident)):  # a new place, or one given up
                    getattr(self, name)[be : be + 1] = [first() if callable(first) else first]
                self.sequences += 1
                self.sequence[be] = self.sequences
            seen.add(be := self.index[ident])
            self._take_off(be)
            if born > self.born[be]:  # a restart: whatever we knew is void
                self.seen[be] = self.seen_slow[be] = self.failed[be] = self.full_until[be] = 0
                self.load[be] = 1.0
                self.cold_sent[be].clear()
            self.state[be], self.place[be], self.kind[be], self.cell[be] = state, zone, kind, cell
            cores, self.born[be] = self.agreement.cores_by_kind, born
            self._set_stage(be, 0)
            self.cores[be] = cores[kind] if kind < len(cores) else max(cores, default=1.0)
            self._enlist(be)
        for be in [be for be in self.index.values() if be not in seen] if full else ():
            self._take_off(be)
            self.state[be] = EngineState.REMOVED
            self._enlist(be)
        self._forget_gone()
        self.closed = {spot: until for spot, until in self.closed.items() if until > now}
        self.key_rest = {key: until for key, until in self.key_rest.items() if until > now}
        return self._release()

    def _take_off(self, be):
        """Before an engine's entry changes: what it adds to the sums of ready ones."""
        if be in self.ready:
            self.ready_cores -= self.cores[be]

    def _enlist(self, be):
        """After an engine's entry has changed: the lists that it belongs to."""
        ready = self.state[be] == EngineState.READY
        self.ready.set(be, self.sequence[be], self.ids[be], ready)
        self.near.set(be, self.sequence[be], self.ids[be], ready and self.place[be] == self.agreement.zone)
        self.ready_cores += self.cores[be] if ready else 0.0
        (self.gone.add if self.state[be] == EngineState.REMOVED else self.gone.discard)(be)
        if ready and self.failed[be]:
            self.marred.add(be)

    def _forget_gone(self):
        """Places of engines that have gone, and that nothing hangs on, are given to others."""
        if not self.gone:
            return
        used = {be for cmd in self.commands.values() for be in (cmd.engine, cmd.ran_engine)}
        used.update(row[1] for row in self.lingering)
        over = [
            be for be in self.gone if be not in used and self.now > self.born[be] + self.agreement.warmup_us
        ]
        for be in sorted(over, key=lambda be: self.sequence[be]):
            self._set_stage(be, 0)
            del self.index[self.ids[be]]
            self.free.append(be)
            for of_engines in (self.gone, self.marred, self.stuck_at):
                of_engines.discard(be)

    def submit(self, now, ident, profile, tenant, key, timeout_at, work, need, dataset, repeat):
        """A command arrived."""
        self.now, self.out = now, []
        if ident in self.commands or profile >= len(self.agreement.profiles):
            return [] if ident in self.commands else [Fail(ident)]
        kind, who = self.agreement.profiles[profile], tenant if self.agreement.tenants else profile
        self.order += 1
        self.traffic, self.traffic_at = self.traffic * exp((self.traffic_at - now) / TRAFFIC_US) + 1, now
        # Estimates that are none, or beyond all that a client waits for, are bounded: never an exception.
        need = need if 0 < need < float("inf") else 0.0
        work = min(work * self.bias[profile], ABSURD * kind.timeout_us) if work > 0 else self.usual[profile]
        cmd = Command(
            ident,
            profile,
            kind,
            who if who < len(self.weight) else 0,
            key,
            timeout_at,
            need,
            dataset,
            self.order,
        )
        cmd.work, cmd.taken_at = work or FIRST[1] * kind.target_us * kind.threads, now
        self.usual[profile] += EASE * (cmd.work - self.usual[profile]) if self.usual[profile] else cmd.work
        self.prior = min(usual for usual in self.usual if usual)
        allowed = kind.target_us + kind.target_stretch * cmd.work / kind.threads
        cmd.target_at, cmd.short = int(now + allowed), allowed <= self.short_us
        cmd.until = cmd.last_at if kind.late_benefit else cmd.target_at  # while an answer still earns
        self.commands[ident] = cmd
        self.asked[dataset], self.asked_all = self.asked.get(dataset, 0.0) + 1, self.asked_all + 1
        if self.asked_all > HOMES[3]:
            self.asked, self.asked_all = {d: n / 2 for d, n in self.asked.items() if n > 0.5}, HOMES[3] / 2
        line = self.lines.setdefault(key, deque()) if kind.ordered and key else deque()
        line.append(cmd)
        if line[0] is cmd:
            self._move(cmd, HELD)
        heappush(self.due, (cmd.last_at, cmd.order, cmd, -1))
        # What can't end in time at the best pace seen is turned away, not sent: guards against clients that
        # give up early, whose sends would only take threads. Harm: one that finds all it reads warm.
        run = cmd.work / cmd.threads * min(self.best[profile], 1.0)
        fits = now + run < cmd.last_at and self._take(cmd)
        return self._release() if fits else self._finish(cmd)

    def apply_budgets(self, now, parts):
        """Budgets of the fleet bind, in place of even parts; called again when a part has changed.

        parts(budget, subject) is our BudgetShare; None: the fleet has no such budget, and we go on as
        without. The last result tells what held commands lack.
        """
        self.now, self.out, self.parts = now, [], parts
        self._release()
        held, n = [cmd for cmd in self.commands.values() if cmd.state == HELD], max(1, len(self.ready))
        found = [
            Demand(BudgetKind.RETRIES, 0, sum(cmd.sends > 0 for cmd in held)),
            Demand(BudgetKind.TRAFFIC_SHARE, 0, ceil(self.traffic)),
        ]
        needs = [(cmd.threads, ceil(cmd.need), cmd.work) for cmd in held] or [(0, 0, 0)]
        # Each engine could take an even part of what is held, or the largest of it.
        threads, memory, work = (max(*rows, ceil(sum(rows) / n)) for rows in zip(*needs, strict=True))
        for be in self.ready:
            found.append(Demand(BudgetKind.THREADS, self.ids[be], threads))
            found.append(Demand(BudgetKind.MEMORY, self.ids[be], memory))
            if self._cold(be):
                found.append(Demand(BudgetKind.WARMUP, self.ids[be], self._cold_part(work, be)))
        self.out.append(ReportDemand(tuple(found)))
        return self.out

    def apply_policy(self, now, terms, gate):
        """A policy of the fleet: shares hold from the next round on, all else from the next attempt."""
        self.now, self.out, self.gate = now, [], gate
        self.weight, self.priorities, self.grants, self.most_sends = terms
        self.counted = sum(w > 0 for w in self.weight)
        return self._release()

    def _part(self, budget, of):
        return self.parts(budget, of) if self.parts else None

    def _take(self, cmd):
        """Whether its tenant may have one more command open, and taken, by the fleet's budgets."""
        parts = [
            part
            for budget in (BudgetKind.OPEN_COMMANDS, BudgetKind.ADMISSIONS)
            if (part := self._part(budget, cmd.tenant))
        ]
        if may := not (self.gate and self.gate.rejects_new()) and all(part.allows(1) for part in parts):
            cmd.stays = parts
        for part in parts:
            part.acquire(1) if may else part.record_rejection(1)  # a refusal is demand
        return may

    def _claims(self, cmd, be):
        """What a send takes of our parts of the fleet's budgets: (part, how much) each."""
        ident, cold = self.ids[be], self._cold_part(cmd.work, be) if self._cold(be) else None
        asked = (
            (BudgetKind.THREADS, ident, cmd.threads),
            (BudgetKind.MEMORY, ident, ceil(self._grant(cmd, be))),
            (BudgetKind.WARMUP, ident, cold),
            (BudgetKind.RETRIES, 0, 1 if cmd.sends else None),
        )
        return [(part, n) for budget, of, n in asked if n is not None and (part := self.parts(budget, of))]

    def answer_began(self, now, ident, send):
        """A send's answer has begun: it now belongs to the client."""
        if (cmd := self.commands.get(ident)) and cmd.state == OUT and send == cmd.sends - 1:
            self._move(cmd, STREAMING)
        return []

    def attempt_status(self, now, ident, send, note, value):
        """News of a send that is out."""
        cmd = self.commands.get(ident)
        if cmd and cmd.state == OUT and send == cmd.sends - 1 and note == StatusKind.PROGRESS:
            cmd.done = max(value, 0.01)
        elif cmd and note == StatusKind.WAITING and value >= 2:  # another gateway's load, else unseen
            self.closed[cmd.engine, cmd.dataset] = now + FULL_US
        return []

    def attempt_ended(self, now, ident, send, outcome, closed, latency, cost, need, report):
        """A send ended. An error on a second engine too is the command's fault, as what bad clients ask."""
        self.now, self.out, cmd = now, [], self.commands.get(ident)
        if cmd is None or send != cmd.sends - 1 or cmd.state not in (OUT, STREAMING, LEAVING, ORPHAN):
            return self.out
        be, state = cmd.engine, cmd.state
        for part, n in cmd.began:  # what was given up may run on for a moment
            part.release(n, outcome not in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED))
        cmd.began = ()
        self._heard(be, report, outcome)
        self._account(cmd, be, outcome, latency, cost, need)
        cmd.taken_at = 0 if outcome == Outcome.ERROR else cmd.taken_at
        if outcome not in NEVER_RAN and cmd.ran_engine < 0:
            cmd.ran_engine, cmd.ran_at = be, cmd.sent_at
        if cmd.kind.ordered and cmd.key and outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.key_rest[cmd.key] = now + self.agreement.key_settle_us
        if closed or outcome == Outcome.ANSWERED or state in (ORPHAN, STREAMING):
            self._move(cmd, ENDED)
        elif (
            now >= cmd.last_at
            or not self._may_resend(cmd)
            or outcome == Outcome.ERROR
            and be != cmd.ran_engine
        ):
            self._finish(cmd)
        else:
            self._move(cmd, HELD)
        return self._release()

    def client_left(self, now, ident):
        """The client left; a send that is still out is stopped."""
        self.now, self.out, cmd = now, [], self.commands.get(ident)
        if cmd and cmd.state == OUT and self.agreement.supports_cancel:
            self.out.append(CancelAttempt(ident, cmd.sends - 1))
        if cmd and cmd.state != ORPHAN:
            self.traffic, cmd.taken_at = max(0.0, self.traffic - 1), 0  # no traffic: it was taken back
            self._move(cmd, ENDED if cmd.state in (HELD, BEHIND) else ORPHAN)
        return self._release()

    def abandon(self, now, ident):
        """The front must end this command now: its final answer, also while a send is out."""
        self.now, self.out, cmd = now, [], self.commands.get(ident)
        if cmd and cmd.state in (HELD, BEHIND, OUT, LEAVING):
            if (out := cmd.state in (OUT, LEAVING)) and cmd.ran_engine < 0:
                cmd.ran_engine, cmd.ran_at = cmd.engine, cmd.sent_at
            self._finish(cmd, ORPHAN if out else ENDED)
        return self.out

    def timer_fired(self, now, token):
        """A moment at which something is due, or at which held commands are to be looked at."""
        self.now, self.out, self.armed = now, [], None if token == self.armed else self.armed
        return self._release()

    def _arm(self):
        """One timer at the next moment that matters; while commands are held, soon."""
        while self.due and self.due[0][2].state == ENDED:
            heappop(self.due)
        at = min([self.now + TICK_US] * bool(self.held) + [d[0] for d in self.due[:1]], default=0)
        if at and (self.armed is None or at < self.armed - TICK_US // 2 or self.armed <= self.now):
            self.armed = max(at, self.now + 1)
            self.out.append(StartTimer(self.armed - self.now, self.armed))

    def _move(self, cmd, to):
        """Every change of a command's state, and the lists and counts that hang on it."""
        assert to in MOVES[cmd.state], f"command {cmd.id}: {cmd.state} to {to}"
        step = (to == OUT) - (to in (HELD, ENDED) and cmd.state not in (HELD, BEHIND))
        if step:
            self._occupy(cmd.engine, cmd.threads, step)
        if cmd.stuck and to in (HELD, ENDED):
            cmd.stuck = False
            self._count_stuck(cmd.engine, -1)
        cmd.state = to
        if to == HELD:
            self._hold(cmd)
        if to == ENDED:
            for part in cmd.stays:
                part.release(1)
            insort(self.taken, cmd.taken_at)  # widens the budget now that it is known to be no bad client's
            del self.commands[cmd.id]
            line = self.lines.get(cmd.key) if cmd.kind.ordered else None
            if line:
                line.remove(cmd)
                if not line:
                    del self.lines[cmd.key]
                elif line[0].state == BEHIND:
                    self._move(line[0], HELD)

    def _occupy(self, be, threads, step):
        self.threads[be], self.running[be] = self.threads[be] + step * threads, self.running[be] + step
        self.total += step * threads

    def _hold(self, cmd):
        """Into its tenant's held commands, those with the most benefit for their work first."""
        run, cmd.entry = self._run_us(cmd), cmd.entry + 1
        late = self.now > cmd.target_at - run
        benefit = cmd.kind.benefit * (cmd.kind.late_benefit if late else 1.0)
        if (
            cmd.ran_engine >= 0 and cmd.kind.idempotency == Idempotency.KEYED
        ):  # it must not wait past its dedup window
            heappush(self.due, (cmd.ran_at + cmd.kind.dedup_window_us - MARGIN_US, cmd.order, cmd, cmd.sends))
        last = int((cmd.last_at if late else cmd.target_at) - run)
        heappush(self.due, (max(self.now, last) + 1, cmd.order, cmd, cmd.sends))
        heappush(
            self.held.setdefault(cmd.tenant, ([], []))[0 if cmd.short else 1],
            (-benefit / max(cmd.work, 1.0), cmd.order, cmd.entry, cmd),
        )

    def _run_us(self, cmd):
        return cmd.work / cmd.threads * self.pace[cmd.profile]  # on an ordinary engine, at present

    def _review_held(self, cmd):
        """A held command whose time is up, or that can't make its latency target any more."""
        if self.now + self._run_us(cmd) > cmd.until or self.now >= cmd.last_at or not self._may_resend(cmd):
            self._finish(cmd)
        elif cmd.state == HELD:
            self._hold(cmd)

    def _review_send(self, cmd):
        """A replayable send far past the usual (bad plan, slow engine): afresh, unless most are so.

        What can't be started afresh (no cancels, none left) stays out until its end is known, and its engine
        gets nothing new: guards against engines that take work and answer nothing, or crawl. Harm: one bad
        plan closes an engine to us while it runs.
        """
        fresh, age = self._run_us(cmd), self.now - cmd.sent_at
        bad = age * (1 / cmd.done - 1) > RUNS[2] * fresh if cmd.done else age >= RUNS[1] * fresh
        if (
            bad
            and self.now + fresh <= cmd.until
            and self.kills[cmd.profile] >= 1
            and self.agreement.supports_cancel
            and self._may_start(cmd)
        ):
            self.kills[cmd.profile] -= 1
            self.out.append(CancelAttempt(cmd.id, cmd.sends - 1))
            self._move(cmd, LEAVING)
        elif self.now + fresh <= cmd.until:
            if age >= RUNS[2] * fresh and not cmd.stuck:
                cmd.stuck = True
                self._count_stuck(cmd.engine, 1)
            heappush(self.due, (int(self.now + RUNS[0] * fresh) + 1, cmd.order, cmd, cmd.sends))

    def _finish(self, cmd, to=ENDED):
        """The final answer: shed where trying again does no harm, else failed."""
        may = (
            cmd.kind.idempotency == Idempotency.IDEMPOTENT
            or cmd.ran_engine < 0
            or (
                cmd.kind.idempotency == Idempotency.KEYED
                and cmd.kind.dedup_scope == DeduplicationScope.FLEET
                and self.now < cmd.ran_at + cmd.kind.dedup_window_us
            )
        )
        self.out.append(Shed(cmd.id, self.agreement.max_retry_after_us) if may else Fail(cmd.id))
        self._move(cmd, to)
        return self.out

    def _may_resend(self, cmd):
        """Rules: whether one more send can ever be allowed: effect, dedup window, cap."""
        ran_at = cmd.ran_at if cmd.ran_engine >= 0 else cmd.sent_at
        return not 0 < self.most_sends.get(cmd.profile, self.agreement.max_attempts) <= cmd.sends and (
            cmd.ran_engine < 0
            or cmd.kind.idempotency == Idempotency.IDEMPOTENT
            or cmd.kind.idempotency == Idempotency.KEYED
            and self.now + MARGIN_US < ran_at + cmd.kind.dedup_window_us
        )

    def _may_start(self, cmd):
        """Rules: whether a send is allowed at this moment: key at rest, budget of further sends."""
        rests = cmd.kind.ordered and self.now < self.key_rest.get(cmd.key, 0)
        for times in (self.taken, self.extras):
            while times and times[0] <= self.now - self.agreement.retry_budget_window_us:
                times.popleft()
        return (
            self.now < cmd.last_at
            and self._may_resend(cmd)
            and (
                not rests
                if not cmd.sends
                else (
                    self.agreement.retry_budget_base is None
                    or self._part(BudgetKind.RETRIES, 0)
                    or len(self.extras) + 1
                    <= self.agreement.retry_budget_base + self.agreement.retry_budget_share * len(self.taken)
                )
            )
        )

    def _allowed(self, cmd, be):
        """Rules: whether this command may go to this engine now."""
        kind, repeats = cmd.kind, cmd.kind.idempotency == Idempotency.KEYED and cmd.ran_engine >= 0
        group = {DeduplicationScope.ZONE: self.place, DeduplicationScope.CELL: self.cell}.get(
            kind.dedup_scope if repeats else DeduplicationScope.FLEET
        )
        if (
            self.state[be] != EngineState.READY
            or (kind.zones is not None and self.place[be] not in kind.zones)
            or (kind.engine_kinds is not None and self.kind[be] not in kind.engine_kinds)
            or (group and group[be] != group[cmd.ran_engine])
        ):
            return False
        if not self._cold(be):
            return True
        # A cold engine gets our even part of what it can stand; a part under one command is rounded by a lot
        # for each window: all together expect the sum. A budget of the fleet for it holds the sum by itself.
        # We may have taken our part before a restart: guards against killed fleets and processes that start
        # over and over. Harm: where all engines are cold, what comes in the first window waits.
        if self.born[be] < self.began > self.now - self.agreement.overload_window_us:
            return False
        if self.ticket_at[be] <= self.now - self.agreement.overload_window_us:
            self.ticket[be], self.ticket_at[be] = self.draw(), self.now
        sent = sum(
            work for at, work in self.cold_sent[be] if at > self.now - self.agreement.overload_window_us
        )
        budget = self._stands(be)
        return cmd.work <= COLD_PART[1] * budget and (
            self._part(BudgetKind.WARMUP, self.ids[be]) is not None
            or (sent + self.ticket[be] * cmd.work <= COLD_PART[0] * budget / self.agreement.gateways)
        )

    def _cold(self, be):
        return 0 < self.born[be] > self.now - self.agreement.warmup_us

    def _stands(self, be):
        """Work that a cold engine stands in a window, its capacity taken to grow half as fast as a line."""
        warm = (
            (self.now - self.born[be])
            / self.agreement.warmup_us
            * (1 - self.agreement.warmup_initial_share)
            / 2
        )
        return (
            self.agreement.overload_multiple
            * (self.agreement.warmup_initial_share + warm)
            * self.cores[be]
            * self.agreement.overload_window_us
        )

    def _cold_part(self, work, be):
        """Of all that we may expect of a cold engine in a window, in millionths."""
        return ceil(work * 1e6 / max(1.0, COLD_PART[0] * self._stands(be)))

    def _share(self):
        """Our share of the fleet: our part of the traffic where its whole is stated, else an even one."""
        if part := self._part(BudgetKind.TRAFFIC_SHARE, 0):
            return self.part * part.limit() / 1e6
        if not self.allowance:
            return self.part / self.agreement.gateways
        rate = self.traffic * exp((self.traffic_at - self.now) / TRAFFIC_US) * 1e6 / TRAFFIC_US
        return self.part * min(1.0, max(0.1 / self.agreement.gateways, rate / self.allowance))

    def _fresh(self, at):
        return exp((at - self.now) / STALE_US)  # what is left of what an engine showed then

    def _slow(self, be):
        """How much slower than the fleet, each profile against its usual: what ended there lately fades."""
        fresh = self._fresh(self.seen_at[be])
        return (self.prior + self.seen_slow[be] * fresh) / (self.prior + self.seen[be] * fresh)

    def _heard(self, be, report, outcome):
        """How busy an engine says it is; one that turned us away, or said nothing in time, counts as full."""
        told = report[self.util] if 0 <= self.util < len(report) else -1.0
        if 0.0 <= told < float("inf"):  # nothing made up: neither below nor not a number
            self.load[be], self.load_at[be] = (told := min(told, 1.0)), self.now
        elif self.util >= 0 and outcome in (Outcome.OVERLOADED, Outcome.TIMED_OUT):
            told = 1.0
        else:
            return
        self.busy += EASE * (told - self.busy)

    def _failing(self, be):
        return self.failed[be] * self._fresh(self.failed_at[be])  # the share of failures there, as it fades

    def _median_failing(self):
        """Of the ready ones. While fewer than half have any failures it is none, and nothing is walked."""
        if 2 * len(self.marred) >= len(self.ready):
            self.marred = {be for be in self.marred if be in self.ready and self._failing(be) > NO_FAILURES}
        if not self.ready or 2 * len(self.marred) < len(self.ready):
            return 0.0
        return median(map(self._failing, self.ready))

    def _room(self, busy, most):
        return min(most, max(1.0, BUSY[0] / max(busy, 0.01)))  # how far a bound widens under that load

    def _busy(self, be):
        """What it reported, fading to what the fleet does; 1 where engines report nothing, and for one that
        fails or is slow: guards against engines that crawl, short of memory, beside idle cores."""
        if self.util < 0 or self._failing(be) > JAMMED[0] or self._slow(be) > JAMMED[1]:
            return 1.0
        return self.busy + (self.load[be] - self.busy) * exp((self.load_at[be] - self.now) / BUSY[3])

    def _pressed(self, be):
        """Slow alone is none where engines report room: guards against short memory, bad estimates and lost
        answers that look like crowding. Harm: engines that jam on disks and report idle cores."""
        slow = self.slow * self._slow(be) > PRESSURE and self._busy(be) > BUSY[0]
        return slow or self.now < self.full_until[be]

    def _limit(self, be):
        """The bound on our threads there: the cap, and under pressure the fit or the sample being taken."""
        part = self._part(BudgetKind.THREADS, self.ids[be])
        cap = part.limit() if part else THREADS_A_CORE * self.cores[be] * self._share()
        cap *= self._room(self._busy(be), BUSY[2]) / max(1.0, self._slow(be))
        if self.stage[be] and self._pressed(be):
            return cap * (1.0, SAMPLE_AT[1], SAMPLE_AT[0])[self.stage[be] - 1]
        return min(cap, self.bound[be]) if self.bound[be] and self._pressed(be) else cap

    def _set_stage(self, be, stage):
        """Which sample is being taken there, 0: none; of one engine at a time."""
        self.stage[be] = stage
        if stage:
            self.sampled = be
        elif self.sampled == be:
            self.sampled = -1

    def _sample(self, be):
        """Throughput at the cap, at P1 and at P0, each for a window under pressure, then the fit."""
        if not self._pressed(be):
            self._set_stage(be, 0)
        elif self.sampled < 0 and self.now >= self.fit_at[be] and self._limit(be) > SAMPLE_AT[2]:
            self.fit_at[be] = self.now + REFIT_US[0]  # one engine at a time: no swing in step
            self.stage_at[be], self.work_done[be], self.samples[be] = self.now, 0.0, ()
            self._set_stage(be, 1)
        elif self.stage[be] and self.now >= self.stage_at[be] + REFIT_US[1]:
            self.samples[be] = (
                self._limit(be),
                self.work_done[be] / (self.now - self.stage_at[be]),
                *self.samples[be],
            )
            self._set_stage(be, (self.stage[be] + 1) % 4)
            self.stage_at[be], self.work_done[be] = self.now, 0.0
            if not self.stage[be]:
                self.bound[be] = fit_bound(*self.samples[be])

    def _room_at_all(self, cmd):
        """The sum of our bounds over the fleet, with slack for chance: many that send "one" each flood it."""
        if self.ready and self._part(BudgetKind.THREADS, self.ids[self.ready[0]]):
            return True  # each engine's threads are held by the fleet's budget
        bound = THREADS_A_CORE * self._share() * self.ready_cores
        bound += SLACK * (bound * max(kind.threads for kind in self.agreement.profiles)) ** 0.5
        bound *= self._room(self.busy, BUSY[1])
        return not self.total or self.total + cmd.threads <= bound * (1.0 if cmd.short else self.long)

    def _fits(self, cmd, be):
        """Room, the rules, and health: failing far more than the fleet's median, none till that fades."""
        cap = (self.caps.get(be) or self.caps.setdefault(be, self._limit(be))) * self.long ** (not cmd.short)
        most = SICK[0] * (1 if cmd.short and cmd.kind.idempotency == Idempotency.IDEMPOTENT else SICK[2])
        return (
            self.now >= self.full_until[be]
            and not (self.stuck[be] and self._few_stuck())
            and (not self.running[be] or self.threads[be] + cmd.threads <= cap)
            and self._allowed(cmd, be)
            and (self._failing(be) <= most + SICK[1] * self.usual_failed)
            and (not self.parts or all(part.allows(n) for part, n in self._claims(cmd, be)))
        )

    def _few_stuck(self):
        return 2 * sum(be in self.ready for be in self.stuck_at) < len(self.ready)  # not most of the fleet

    def _count_stuck(self, be, step):
        self.stuck[be] += step
        (self.stuck_at.add if self.stuck[be] > 0 else self.stuck_at.discard)(be)

    def _choose(self, cmd):
        """Two drawn at random from the data set's homes (all gateways rank them alike), and one from all."""
        if not self._room_at_all(cmd) or not self.ready:
            return -1
        # Under pressure all locations: guards against one that is busier than the others. Harm: crossings.
        wide = not self.agreement.cross_zone_costs or not self.near or self.slow > PRESSURE
        pool = self.ready if wide else self.near
        ranking, size = pool.ranked(cmd.dataset), len(pool)
        part = self.asked.get(cmd.dataset, 0.0) / (self.asked_all + HOMES[1])
        homes, rest, half = range(min(size, HOMES[0] + int(part * size * HOMES[2]))), range(size), size // 2
        if half and any(kind.waits_for_loads for kind in self.agreement.profiles):  # loads: a half apart
            homes, rest = (
                (rest[half:], rest[half:]) if cmd.kind.loads_dataset else (homes[:half], rest[:half])
            )
        n, seen = 2 + (not cmd.short and self._limit(pool[0]) < cmd.threads), set()  # counts say nothing
        drawn = self._drawn(cmd, ranking, homes, n, self._lately_used(cmd, size, seen), seen)
        drawn = self._drawn(cmd, ranking, rest, max(2, n - 1 + len(drawn)), drawn, seen)
        drawn = drawn or self._drawn(cmd, self.ready, range(len(self.ready)), 2, [], seen)
        return min(
            drawn, default=-1, key=lambda be: self._weigh(cmd, be, ranking.stands_in(homes, self.ids[be], be))
        )

    def _lately_used(self, cmd, size, seen):
        """In a large fleet, one that answered for this data set lately, if it may take the command: guards
        against a connection for each command. It goes first only where no other is less busy."""
        used = self.lately.get(cmd.dataset) if size > LARGE else None
        if not used:
            return []
        be = used[int(self.draw() * len(used))]
        seen.add(be)
        return [be] if be in self.ready and self._fits(cmd, be) else []

    def _use(self, cmd, be):
        """An engine has answered for a data set."""
        if len(self.lately) >= LATELY[1]:
            self.lately.clear()
        used = self.lately.setdefault(cmd.dataset, deque(maxlen=LATELY[0]))
        if be not in used:
            used.append(be)

    def _drawn(self, cmd, pool, places, want, drawn, seen):
        """Engines drawn by chance from these places of a list; where few may take the command, by a walk from
        a point drawn at random, as far as it may go: the work must not grow with the fleet."""
        n, first = len(places), int(self.draw() * len(places))
        draws = [int(self.draw() * n) for _ in range(min(4, n))]
        for at in chain(draws, range(first, first + min(n, WALK_MOST))):
            if len(drawn) >= want:
                break
            be = pool.at(places[at % n])  # each looked at once
            if be not in seen and not seen.add(be) and self._fits(cmd, be):
                drawn.append(be)
        return drawn

    def _weigh(self, cmd, be, home):
        """Our threads there against size and pace, and load told; where a load holds its data set: last."""
        stuck = (cmd.kind.loads_dataset or cmd.kind.waits_for_loads) and self.now < self.closed.get(
            (be, cmd.dataset), 0
        )
        ours = (self.threads[be] + cmd.threads * WARM**home) * self._slow(be) / self.cores[be]
        return stuck, ours + self._busy(be)

    def _account(self, cmd, be, outcome, latency, cost, need):
        """What an outcome tells about its engine and its profile."""
        p, work = cmd.profile, cost or cmd.work
        # A time-out where work goes on tells of its engine and holds its threads: guards against feeding one
        # that jams. Harm: what a dead engine lost holds room. Where we cut slow ones off it tells of a crowd.
        runs_on = outcome == Outcome.TIMED_OUT and not self.agreement.supports_cancel
        if runs_on:
            age = self.now - cmd.sent_at
            self.lingering.append((self.now + RUNS_ON * age, be, self.born[be], cmd.threads))
            self._occupy(be, cmd.threads, 1)
        silent = runs_on or outcome == Outcome.CONNECT_FAILED
        if silent or outcome in (Outcome.ERROR, Outcome.RESET, Outcome.ANSWERED):
            bad, step = outcome != Outcome.ANSWERED, SICK[3] if silent else EASE
            left, self.failed_at[be] = self._failing(be), self.now
            self.failed[be] = left + step * (bad - left)
            if bad:
                self.marred.add(be)
                self.usual_failed = self._median_failing()
        self.full_until[be] = self.now + FULL_US if outcome == Outcome.OVERLOADED else self.full_until[be]
        if outcome == Outcome.OVERLOADED or runs_on:
            self.long = max(LONG_PART[0], self.long * LONG_PART[2])
        elif outcome == Outcome.ANSWERED:
            self.long = min(LONG_PART[1], self.long + LONG_PART[3])
        if (
            outcome not in (Outcome.ANSWERED, Outcome.TIMED_OUT, Outcome.CANCELLED) or cmd.state == ORPHAN
        ):  # taken back
            return
        self.count[p] += 1
        step = max(EASE, 1 / (2 + self.count[p]))
        if need and cmd.need:
            (mean, wide), off = self.spread[p], need / cmd.need - self.spread[p][0]
            self.spread[p] = mean + off * step, wide + (abs(off) - wide) * step
        pace = max(latency * cmd.threads / work, 0.01)  # of a send cut off too: a jam is not to be hidden
        # Cut off sooner than the usual run, it says nothing: it would count as fast. Guards against clients
        # that give up early, whose sends made jammed engines look idle to every gateway.
        if outcome != Outcome.ANSWERED and pace < self.pace[p]:
            return
        if outcome == Outcome.ANSWERED:
            if len(self.ready) > LARGE:
                self._use(cmd, be)
            self.bias[p] += EASE * (min(max(work / cmd.work, 0.2), 5.0) - 1.0) * self.bias[p]
            self.work_done[be] += work
            self.best[p] = min(pace, self.best[p] + EASE / 10 * (pace - self.best[p]))
        fresh = self._fresh(self.seen_at[be])
        self.seen[be], self.seen_at[be] = self.seen[be] * fresh + work, self.now
        self.seen_slow[be] = self.seen_slow[be] * fresh + work * min(pace / self.pace[p], 10.0)
        self.pace[p] += step * (min(pace, 3 * self.pace[p]) - self.pace[p])
        weigh = work / (work + STEADY * max(self.usual) * max(1.0, len(self.ready) / self.agreement.gateways))
        self.slow += weigh * (min(pace / min(pace, self.best[p]), 10.0) - self.slow)
        last = self.latency.get(cmd.tenant, (0.0, 0.0, 0.0))
        new = [old + EASE * (now - old) for old, now in zip(last, (1.0, pace, pace * pace), strict=True)]
        self.latency[cmd.tenant], self.spreads = new, self.spreads + spread_of(*new) - spread_of(*last)
        if self._pressed(be):
            self.part = max(PART[0], self.part * (1 - weigh))
        elif self.held:
            self.part = min(PART[1], self.part + weigh)
        self._sample(be)

    def _release(self):
        """What is due first (after a stall its timer may be last); then held commands while there is room."""
        while self.due and self.due[0][0] <= self.now:
            _, _, cmd, sends = heappop(self.due)
            if cmd.state in (HELD, BEHIND):
                self._review_held(cmd)
            elif cmd.state == OUT and sends == cmd.sends:
                self._review_send(cmd)
        for row in [row for row in self.lingering if row[0] <= self.now or row[2] != self.born[row[1]]]:
            self.lingering.remove(row)  # it has ended, or its engine began anew
            self._occupy(row[1], row[3], -1)
        self.caps, n = {}, len(self.weight)  # engines' bounds: none changes while we send
        while (
            not self.gate or self.gate.may_dispatch()
        ):  # who has no quota left comes last: for what others can't use
            order = sorted(self.held, key=lambda t: (self._quota(t) < 1, (t - self.turn) % n))
            went = next((t for t in order if self._release_one(t)), None)
            if went is None:
                break
            self.quota[went] = self._quota(went) - 1
            self.released[went] = self.released.get(went, 0.0) + 1
            self.turn = went if self.quota[went] > 0 else (went + 1) % n
            if not any(self._quota(t) > 0 for t in self.held):
                self._new_round()
        self._arm()
        return self.out

    def _quota(self, tenant):
        """What is left to a tenant in this round: its weight times zeta, at least one, less what it used."""
        return self.quota.get(tenant, self.rounds and max(1, round(self.weight[tenant] * self.zeta)))

    def _new_round(self):
        """Each tenant gets its weight times zeta; zeta follows unfairness and latency variability."""
        counts = [n / self.weight[t] for t, n in self.released.items() if self.weight[t] > 0]
        mean = sum(counts) / self.counted if self.counted else 0.0
        least = min(counts) if len(counts) == self.counted else 0.0  # some sent nothing lately
        unfair = max(max(counts) - mean, mean - least) / mean if mean else 0.0
        vary = max(self.spreads, 0.0) / len(self.latency) if self.latency else 0.0
        if unfair < LIMITS[0] / 2 and vary < LIMITS[1] / 2:
            self.zeta, self.rose = min(self.zeta + 1, QUOTA[2]), True
        elif self.rose and (unfair > LIMITS[0] or vary > LIMITS[1]):
            self.zeta, self.rose = max(self.zeta / 2, QUOTA[0]), False
        self.quota, self.rounds = {}, self.rounds + 1
        self.released = {t: n * (1 - EASE) for t, n in self.released.items() if n > FORGOTTEN}

    def _release_one(self, tenant):
        """Send the tenant's best held command that fits anywhere; whether one went."""
        sent = False
        for heap in sorted(self.held[tenant], key=lambda heap: heap[0][0] if heap else 0.0):
            while heap and (heap[0][3].state != HELD or heap[0][3].entry != heap[0][2]):
                heappop(heap)
            be = self._choose(heap[0][3]) if heap and self._may_start(heap[0][3]) else -1
            if be >= 0:
                sent = self._send(heappop(heap)[3], be)
                break
        if not any(self.held[tenant]):  # nothing is walked for a tenant that holds nothing
            del self.held[tenant]
        return sent

    def _grant(self, cmd, be):
        """MB that a send is granted there."""
        (mean, wide), of_kind = self.spread[cmd.profile], self.agreement.memory_mb_by_kind
        memory = of_kind[self.kind[be]] if self.kind[be] < len(of_kind) else 0.0
        return min(
            cmd.need * (mean + NEED[2] * wide),
            self.agreement.max_grant_share * memory or float("inf"),
            self.grants.get(cmd.profile, float("inf")),
        )

    def _send(self, cmd, be):
        agreement, cmd.began = self.agreement, self._claims(cmd, be) if self.parts else ()
        for part, n in cmd.began:
            part.acquire(n)
        if agreement.honors_grants or agreement.honors_priority:
            priority = self.priorities.get(cmd.profile, 3 if cmd.short else 1)
            self.out.append(SetTerms(cmd.id, self._grant(cmd, be), priority))
        if cmd.sends:
            self.extras.append(self.now)
        if self._cold(be):
            self.cold_sent[be].append((self.now, cmd.work))
            self.ticket_at[be] = 0
        if cmd.kind.loads_dataset:
            self.closed[be, cmd.dataset] = int(self.now + self._run_us(cmd))
        cmd.engine, cmd.sent_at, cmd.done = be, self.now, 0.0
        cmd.sends += 1
        self.kills[cmd.profile] = min(KILLS[1], self.kills[cmd.profile] + KILLS[0])
        self._move(cmd, OUT)
        self.out.append(Dispatch(cmd.id, self.ids[be], cmd.last_at))
        if cmd.kind.idempotency == Idempotency.IDEMPOTENT:
            heappush(self.due, (int(self.now + RUNS[0] * self._run_us(cmd)), cmd.order, cmd, cmd.sends))
        return True
