"""A driver that makes calls on a Gateway and checks the seven rules after each, with records of its own."""

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
    """A profile of short idempotent commands, with what the test names changed."""
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
    """Stands for the service: records what was asked and answered, and fails on the first broken rule."""

    def __init__(self, agreement, seed=1):
        self.agreement = agreement
        self.now = START
        self.gateway = Gateway(seed, agreement, self.now)
        self.fleet = {}  # engines by id, as last listed
        self.commands = {}  # by id: what was asked, and what has become of it
        self.ids_by_key = {}  # ids of commands with an ordered key, in order of arrival
        self.settles_until = {}  # by ordered key
        self.log = []  # results
        self.extras = []  # times of retries
        self.submitted_at = []
        self.warmup_work = {}  # (time, work) of attempts on warming engines, by engine
        self.timers = []  # (time, token), ascending
        self.serial = 0

    def engines(self, *entries, full=False):
        """The endpoint list changes: (id, zone, kind, state, cell, started_us) entries."""
        if full:
            for known in self.fleet.values():
                known["state"] = EngineState.REMOVED
        for ident, zone, kind, state, cell, started_us in entries:
            self.fleet[ident] = {
                "zone": zone,
                "kind": kind,
                "state": state,
                "cell": cell,
                "started_us": started_us,
            }
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
            self.ids_by_key.setdefault(key, []).append(self.serial)
        self.submitted_at.append(self.now)
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
        """The open attempt of a command ends."""
        command = self.commands[ident]
        engine, sent_at, send = command["out"]
        command["out"] = None
        command["over"] = command["over"] or outcome == Outcome.ANSWERED
        if outcome not in NEVER_RAN and command["ran"] is None:
            command["ran"] = (engine, sent_at)
        if command["kind"].ordered and outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.settles_until[command["key"]] = self.now + self.agreement.key_settle_us
        cost = cost if outcome == Outcome.ANSWERED else 0
        self.obey(
            self.gateway.attempt_ended(
                self.now,
                ident,
                send,
                outcome,
                command["over"] or closed,
                self.now - sent_at,
                cost,
                60,
                report,
            )
        )

    def leave(self, ident):
        """The client leaves."""
        self.commands[ident]["over"] = True
        self.obey(self.gateway.client_left(self.now, ident))

    def give_up(self, ident):
        """The service must end a command now; an open attempt is cancelled."""
        command = self.commands[ident]
        out, command["out"] = command["out"], None  # the service cancels it beside the answer
        if out and command["ran"] is None:
            command["ran"] = out[:2]
        self.obey(self.gateway.abandon(self.now, ident))
        assert command["over"], "no final answer"
        if out:
            command["out"] = out
            self.end(ident, Outcome.CANCELLED)

    def out(self):
        """Ids of commands with an open attempt."""
        return [ident for ident, command in self.commands.items() if command["out"]]

    def wait(self, span_us):
        """Time passes: timers fire, attempts whose time is up time out."""
        until = self.now + span_us
        while True:
            ends = [(command["until"], ident) for ident, command in self.commands.items() if command["out"]]
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
        for ident, command in self.commands.items():
            late = self.now > command["timeout_at"] and not command["over"] and not command["final"]
            assert not late, f"command {ident} has no final answer"

    def obey(self, results):
        """Carry out results, each checked first."""
        for result in results:
            self.log.append(result)
            if isinstance(result, StartTimer):
                self.timers.append((self.now + result.delay_us, result.token))
                self.timers.sort()
                continue
            command = self.commands[result.command]
            if isinstance(result, FINAL):
                self.check_final(type(result), command)
                command["final"], command["over"] = type(result), True
            elif isinstance(result, Dispatch):
                self.check_send(result.command, command, result.engine)
                command["out"] = (result.engine, self.now, len(command["sends"]))
                command["until"] = min(result.deadline_us, command["timeout_at"])
                command["sends"].append(self.now)
            elif isinstance(result, CancelAttempt):
                assert self.agreement.supports_cancel
                assert command["out"]
                assert command["out"][2] == result.attempt

    def results_of(self, result_type):
        """The results of one type so far: those of other types may have equal fields."""
        return [result for result in self.log if type(result) is result_type]

    def check_final(self, final, command):
        """Rules 1 and 2: one answer in time; shed only where a repeat does no harm."""
        assert not command["over"]
        assert self.now <= command["timeout_at"]
        assert not command["out"]
        if final == Shed and command["ran"] and command["kind"].idempotency != Idempotency.IDEMPOTENT:
            assert command["kind"].idempotency == Idempotency.KEYED
            assert command["kind"].dedup_scope == DeduplicationScope.FLEET
            assert self.now < command["ran"][1] + command["kind"].dedup_window_us

    def check_send(self, ident, command, engine):
        """All seven rules at a dispatch."""
        agreement = self.agreement
        kind = command["kind"]
        listed = self.fleet[engine]
        assert not command["over"]
        assert self.now < command["timeout_at"]
        assert not command["out"], "two attempts at once"
        assert len(command["sends"]) < agreement.max_attempts
        assert listed["state"] == EngineState.READY, "dispatched to an engine that drains or is removed"
        if command["ran"] and kind.idempotency != Idempotency.IDEMPOTENT:
            assert kind.idempotency == Idempotency.KEYED
            assert self.now < command["ran"][1] + kind.dedup_window_us
            first = self.fleet[command["ran"][0]]
            for scope, name in ((DeduplicationScope.ZONE, "zone"), (DeduplicationScope.CELL, "cell")):
                assert kind.dedup_scope != scope or first[name] == listed[name], (
                    "left its deduplication scope"
                )
        assert kind.zones is None or listed["zone"] in kind.zones
        assert kind.engine_kinds is None or listed["kind"] in kind.engine_kinds
        if listed["started_us"] and self.now < listed["started_us"] + agreement.warmup_us:
            sent = self.warmup_work.setdefault(engine, [])
            sent.append((self.now, command["work"]))
            work = sum(work for at, work in sent if at > self.now - agreement.overload_window_us)
            grown = (
                agreement.warmup_initial_share
                + (1 - agreement.warmup_initial_share)
                * (self.now - listed["started_us"])
                / agreement.warmup_us
            )
            capacity = (
                agreement.overload_multiple
                * grown
                * agreement.cores_by_kind[listed["kind"]]
                * agreement.overload_window_us
            )
            assert work <= capacity / agreement.gateways + command["work"], (
                "warming engine overloaded"
            )  # rounded by lot
        if kind.ordered and command["key"]:
            ids = self.ids_by_key[command["key"]]
            for other in ids[: ids.index(ident)]:
                earlier = self.commands[other]
                assert earlier["over"], "out of order"
                assert not earlier["out"], "out of order"
            assert command["sends"] or self.now >= self.settles_until.get(command["key"], 0), (
                "the key has not settled"
            )
        if command["sends"]:
            self.extras.append(self.now)
            since = self.now - agreement.retry_budget_window_us
            extras = sum(at > since for at in self.extras)
            submitted = sum(at > since for at in self.submitted_at)
            budget = (
                agreement.retry_budget_base is None
                or extras <= agreement.retry_budget_base + agreement.retry_budget_share * submitted
            )
            assert budget, "over budget"
