"""A driver that makes calls on a Gateway and checks the seven rules after every one, with its own books."""

from gullhold.decisions.gateway import Gateway
from gullhold.interface import (
    NEVER_RAN,
    Agreement,
    CancelAttempt,
    DeduplicationScope,
    Dispatch,
    EngineEntry,
    EngineState,
    Fail,
    Idempotency,
    Outcome,
    Profile,
    Shed,
    StartTimer,
)

MS = 1000
START = 5_000_000
WORK = 100 * MS
FINAL = (Shed, Fail)


def profile(**other):
    """A profile of short replayable commands, with what the test names changed."""
    plain = {
        "threads": 1,
        "target_us": 500 * MS,
        "target_stretch": 2.0,
        "timeout_us": 4000 * MS,
        "benefit": 1.0,
        "late_benefit": 0.3,
        "idempotency": Idempotency.IDEMPOTENT,
        "dedup_scope": DeduplicationScope.FLEET,
        "dedup_window_us": 1500 * MS,
        "ordered": False,
        "zones": None,
        "engine_kinds": None,
        "loads_dataset": False,
        "waits_for_loads": False,
    }
    return Profile(**plain | other)


def make_agreement(*profiles, **other):
    """An agreement over such profiles, with what the test names changed."""
    plain = {
        "profiles": profiles or (profile(),),
        "tenants": (),
        "gateways": 1,
        "zone": 0,
        "cores_by_kind": (4.0, 2.0),
        "memory_mb_by_kind": (8192.0, 4096.0),
        "max_grant_share": 0.4,
        "honors_grants": True,
        "honors_priority": True,
        "max_attempts": 3,
        "supports_cancel": True,
        "max_retry_after_us": 0,
        "warmup_initial_share": 0.3,
        "warmup_us": 10_000 * MS,
        "overload_multiple": 3.0,
        "overload_window_us": 2000 * MS,
        "key_settle_us": 300 * MS,
        "retry_budget_base": None,
        "retry_budget_share": 0.0,
        "retry_budget_window_us": 0,
        "cross_zone_costs": False,
    }
    return Agreement(**plain | other)


class Driver:
    """Plays the front: keeps what was asked and answered, and fails on the first broken rule."""

    def __init__(self, agreement, seed=1):
        self.agreement, self.now = agreement, START
        self.gateway = Gateway(seed, agreement, self.now)
        self.fleet, self.commands, self.lines, self.log = {}, {}, {}, []
        self.rest, self.extras, self.taken, self.cold, self.timers, self.serial = {}, [], [], {}, [], 0

    def engines(self, *entries, full=False):
        """Tell of (id, location, kind, state, cell, started_us) entries."""
        if full:
            for known in self.fleet.values():
                known["state"] = EngineState.REMOVED
        for ident, place, kind, state, cell, born in entries:
            self.fleet[ident] = {"place": place, "kind": kind, "state": state, "cell": cell, "born": born}
        rows = [EngineEntry(entry[0], entry[1], 1.0, *entry[2:]) for entry in entries]
        self.obey(self.gateway.update_engines(self.now, rows, full))

    def command(self, number=0, tenant=0, key=0, work=WORK, timeout_us=None, need=64.0, told=None):
        """A command arrives; returns its id. told: its estimate, where that is not its work."""
        self.serial += 1
        kind = self.agreement.profiles[number]
        timeout_at = self.now + (timeout_us or kind.timeout_us)
        self.commands[self.serial] = {
            "kind": kind,
            "key": key,
            "timeout_at": timeout_at,
            "final": None,
            "work": work,
            "over": False,
            "out": None,
            "sends": [],
            "ran": None,
        }
        if kind.ordered and key:
            self.lines.setdefault(key, []).append(self.serial)
        self.taken.append(self.now)
        self.obey(
            self.gateway.submit(
                self.now,
                self.serial,
                number,
                tenant,
                key,
                timeout_at,
                work if told is None else told,
                need,
                self.serial % 5,
                False,
            )
        )
        return self.serial

    def end(self, ident, outcome, cost=WORK, closed=False, report=()):
        """The send that is out for a command ends."""
        cmd = self.commands[ident]
        engine, sent_at, send = cmd["out"]
        cmd["out"] = None
        cmd["over"] = cmd["over"] or outcome == Outcome.ANSWERED
        if outcome not in NEVER_RAN and cmd["ran"] is None:
            cmd["ran"] = (engine, sent_at)
        if cmd["kind"].ordered and outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.rest[cmd["key"]] = self.now + self.agreement.key_settle_us
        cost = cost if outcome == Outcome.ANSWERED else 0
        self.obey(
            self.gateway.attempt_ended(
                self.now, ident, send, outcome, cmd["over"] or closed, self.now - sent_at, cost, 60, report
            )
        )

    def leave(self, ident):
        """The client goes."""
        self.commands[ident]["over"] = True
        self.obey(self.gateway.client_left(self.now, ident))

    def give_up(self, ident):
        """The front must end a command now; a send that is out is stopped."""
        cmd = self.commands[ident]
        out, cmd["out"] = cmd["out"], None  # the front stops it beside the answer
        if out and cmd["ran"] is None:
            cmd["ran"] = out[:2]
        self.obey(self.gateway.abandon(self.now, ident))
        assert cmd["over"], "no final answer"
        if out:
            cmd["out"] = out
            self.end(ident, Outcome.CANCELLED)

    def out(self):
        """Ids with a send that is out."""
        return [ident for ident, cmd in self.commands.items() if cmd["out"]]

    def wait(self, span_us):
        """Time passes: timers fire, sends whose time is up time out."""
        until = self.now + span_us
        while True:
            ends = [(cmd["until"], ident) for ident, cmd in self.commands.items() if cmd["out"]]
            first = min([at for at, _ in self.timers + ends], default=until + 1)
            if first > until:
                break
            self.now = max(self.now, first)
            for at, ident in ends:
                if at <= self.now and self.commands[ident]["out"]:
                    self.end(ident, Outcome.TIMED_OUT)
            if self.timers and self.timers[0][0] <= self.now:
                self.obey(self.gateway.timer_fired(self.now, self.timers.pop(0)[1]))
        self.now = until
        for ident, cmd in self.commands.items():
            late = self.now > cmd["timeout_at"] and not cmd["over"] and not cmd["final"]
            assert not late, f"command {ident} has no final answer"

    def obey(self, results):
        """Carry out results, each checked first."""
        for result in results:
            self.log.append(result)
            if isinstance(result, StartTimer):
                self.timers.append((self.now + result.delay_us, result.token))
                self.timers.sort()
                continue
            cmd = self.commands[result.command]
            if isinstance(result, FINAL):
                self.check_final(type(result), cmd)
                cmd["final"], cmd["over"] = type(result), True
            elif isinstance(result, Dispatch):
                self.check_send(result.command, cmd, result.engine)
                cmd["out"] = (result.engine, self.now, len(cmd["sends"]))
                cmd["until"] = min(result.deadline_us, cmd["timeout_at"])
                cmd["sends"].append(self.now)
            elif isinstance(result, CancelAttempt):
                assert self.agreement.supports_cancel and cmd["out"] and cmd["out"][2] == result.attempt

    def check_final(self, verb, cmd):
        """Rules 1 and 2: one answer in time; shed only where a repeat does no harm."""
        assert not cmd["over"] and self.now <= cmd["timeout_at"] and not cmd["out"]
        if verb == Shed and cmd["ran"] and cmd["kind"].idempotency != Idempotency.IDEMPOTENT:
            assert (
                cmd["kind"].idempotency == Idempotency.KEYED
                and cmd["kind"].dedup_scope == DeduplicationScope.FLEET
            )
            assert self.now < cmd["ran"][1] + cmd["kind"].dedup_window_us

    def check_send(self, ident, cmd, engine):
        """All seven rules at a send."""
        agreement, kind, be = self.agreement, cmd["kind"], self.fleet[engine]
        assert not cmd["over"] and self.now < cmd["timeout_at"]
        assert not cmd["out"], "two sends at once"
        assert len(cmd["sends"]) < agreement.max_attempts
        assert be["state"] == EngineState.READY, "sent to an engine that drains or is gone"
        if cmd["ran"] and kind.idempotency != Idempotency.IDEMPOTENT:
            assert kind.idempotency == Idempotency.KEYED and self.now < cmd["ran"][1] + kind.dedup_window_us
            first = self.fleet[cmd["ran"][0]]
            for scope, name in ((DeduplicationScope.ZONE, "place"), (DeduplicationScope.CELL, "cell")):
                assert kind.dedup_scope != scope or first[name] == be[name], "left its dedup group"
        assert kind.zones is None or be["place"] in kind.zones
        assert kind.engine_kinds is None or be["kind"] in kind.engine_kinds
        if be["born"] and self.now < be["born"] + agreement.warmup_us:
            sent = self.cold.setdefault(engine, [])
            sent.append((self.now, cmd["work"]))
            work = sum(work for at, work in sent if at > self.now - agreement.overload_window_us)
            grown = (
                agreement.warmup_initial_share
                + (1 - agreement.warmup_initial_share) * (self.now - be["born"]) / agreement.warmup_us
            )
            stands = (
                agreement.overload_multiple
                * grown
                * agreement.cores_by_kind[be["kind"]]
                * agreement.overload_window_us
            )
            assert work <= stands / agreement.gateways + cmd["work"], (
                "cold engine pushed over"
            )  # rounded by lot
        if kind.ordered and cmd["key"]:
            line = self.lines[cmd["key"]]
            for other in line[: line.index(ident)]:
                earlier = self.commands[other]
                assert earlier["over"] and not earlier["out"], "out of order"
            assert cmd["sends"] or self.now >= self.rest.get(cmd["key"], 0), "the key rests"
        if cmd["sends"]:
            self.extras.append(self.now)
            since = self.now - agreement.retry_budget_window_us
            extras = sum(at > since for at in self.extras)
            taken = sum(at > since for at in self.taken)
            budget = (
                agreement.retry_budget_base is None
                or extras <= agreement.retry_budget_base + agreement.retry_budget_share * taken
            )
            assert budget, "over budget"
