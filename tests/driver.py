"""A driver that makes calls on a Gateway and checks the seven rules after every one, with its own books."""

from gullhold import interface as api
from gullhold.policy import Gateway

MS = 1000
START = 5_000_000
WORK = 100 * MS
FINAL = (api.SHED, api.FAIL)


def profile(**other):
    """A profile of short replayable commands, with what the test names changed."""
    plain = {
        "threads": 1,
        "target_us": 500 * MS,
        "target_stretch": 2.0,
        "timeout_us": 4000 * MS,
        "benefit": 1.0,
        "late_benefit": 0.3,
        "effect": api.REPLAYABLE,
        "dedup_scope": api.ALL,
        "dedup_us": 1500 * MS,
        "ordered": False,
        "locations": None,
        "kinds": None,
        "loads": False,
        "stands_still": False,
    }
    return api.Profile(**plain | other)


def agreement(*profiles, **other):
    """An agreement over such profiles, with what the test names changed."""
    plain = {
        "profiles": profiles or (profile(),),
        "tenants": (),
        "managers": 1,
        "location": 0,
        "kind_cores": (4.0, 2.0),
        "kind_memory_mb": (8192.0, 4096.0),
        "most_grant": 0.4,
        "heeds_grants": True,
        "heeds_priority": True,
        "sends_cap": 3,
        "may_cancel": True,
        "come_back_us": 0,
        "cold_from": 0.3,
        "cold_us": 10_000 * MS,
        "fall_multiple": 3.0,
        "fall_us": 2000 * MS,
        "key_rest_us": 300 * MS,
        "extra_free": None,
        "extra_share": 0.0,
        "extra_us": 0,
        "crossing_costs": False,
    }
    return api.Agreement(**plain | other)


class Driver:
    """Plays the front: keeps what was asked and answered, and fails on the first broken rule."""

    def __init__(self, deal, seed=1):
        self.deal, self.now = deal, START
        self.gateway = Gateway(seed, deal, self.now)
        self.fleet, self.commands, self.lines, self.log = {}, {}, {}, []
        self.rest, self.extras, self.taken, self.cold, self.timers, self.serial = {}, [], [], {}, [], 0

    def engines(self, *entries, full=False):
        """Tell of (id, location, kind, state, cell, started_us) entries."""
        if full:
            for known in self.fleet.values():
                known["state"] = api.GONE
        for ident, place, kind, state, cell, born in entries:
            self.fleet[ident] = {"place": place, "kind": kind, "state": state, "cell": cell, "born": born}
        rows = [(entry[0], entry[1], 1.0, *entry[2:]) for entry in entries]
        self.obey(self.gateway.engines(self.now, rows, full))

    def command(self, number=0, tenant=0, key=0, work=WORK, timeout_us=None, need=64.0, told=None):
        """A command arrives; returns its id. told: its estimate, where that is not its work."""
        self.serial += 1
        kind = self.deal.profiles[number]
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
            self.gateway.command(
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
        cmd["over"] = cmd["over"] or outcome == api.ANSWERED
        if outcome not in api.NEVER_RAN and cmd["ran"] is None:
            cmd["ran"] = (engine, sent_at)
        if cmd["kind"].ordered and outcome in (api.TIMED_OUT, api.RESET, api.CANCELLED):
            self.rest[cmd["key"]] = self.now + self.deal.key_rest_us
        cost = cost if outcome == api.ANSWERED else 0
        self.obey(
            self.gateway.ended(
                self.now, ident, send, outcome, cmd["over"] or closed, self.now - sent_at, cost, 60, report
            )
        )

    def leave(self, ident):
        """The client goes."""
        self.commands[ident]["over"] = True
        self.obey(self.gateway.client_gone(self.now, ident))

    def give_up(self, ident):
        """The front must end a command now; a send that is out is stopped."""
        cmd = self.commands[ident]
        out, cmd["out"] = cmd["out"], None  # the front stops it beside the answer
        if out and cmd["ran"] is None:
            cmd["ran"] = out[:2]
        self.obey(self.gateway.give_up(self.now, ident))
        assert cmd["over"], "no final answer"
        if out:
            cmd["out"] = out
            self.end(ident, api.CANCELLED)

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
                    self.end(ident, api.TIMED_OUT)
            if self.timers and self.timers[0][0] <= self.now:
                self.obey(self.gateway.timer(self.now, self.timers.pop(0)[1]))
        self.now = until
        for ident, cmd in self.commands.items():
            late = self.now > cmd["timeout_at"] and not cmd["over"] and not cmd["final"]
            assert not late, f"command {ident} has no final answer"

    def obey(self, results):
        """Carry out results, each checked first."""
        for result in results:
            self.log.append(result)
            verb = result[0]
            if verb == api.TIMER:
                self.timers.append((self.now + result[1], result[2]))
                self.timers.sort()
                continue
            cmd = self.commands[result[1]]
            if verb in FINAL:
                self.check_final(verb, cmd)
                cmd["final"], cmd["over"] = verb, True
            elif verb == api.SEND:
                self.check_send(result[1], cmd, result[2])
                cmd["out"] = (result[2], self.now, len(cmd["sends"]))
                cmd["until"] = min(result[3], cmd["timeout_at"])
                cmd["sends"].append(self.now)
            elif verb == api.CANCEL:
                assert self.deal.may_cancel and cmd["out"] and cmd["out"][2] == result[2]

    def check_final(self, verb, cmd):
        """Rules 1 and 2: one answer in time; shed only where a repeat does no harm."""
        assert not cmd["over"] and self.now <= cmd["timeout_at"] and not cmd["out"]
        if verb == api.SHED and cmd["ran"] and cmd["kind"].effect != api.REPLAYABLE:
            assert cmd["kind"].effect == api.UNIQUED and cmd["kind"].dedup_scope == api.ALL
            assert self.now < cmd["ran"][1] + cmd["kind"].dedup_us

    def check_send(self, ident, cmd, engine):
        """All seven rules at a send."""
        deal, kind, be = self.deal, cmd["kind"], self.fleet[engine]
        assert not cmd["over"] and self.now < cmd["timeout_at"]
        assert not cmd["out"], "two sends at once"
        assert len(cmd["sends"]) < deal.sends_cap
        assert be["state"] == api.READY, "sent to an engine that drains or is gone"
        if cmd["ran"] and kind.effect != api.REPLAYABLE:
            assert kind.effect == api.UNIQUED and self.now < cmd["ran"][1] + kind.dedup_us
            first = self.fleet[cmd["ran"][0]]
            for scope, name in ((api.LOCATION, "place"), (api.CELL, "cell")):
                assert kind.dedup_scope != scope or first[name] == be[name], "left its dedup group"
        assert kind.locations is None or be["place"] in kind.locations
        assert kind.kinds is None or be["kind"] in kind.kinds
        if be["born"] and self.now < be["born"] + deal.cold_us:
            sent = self.cold.setdefault(engine, [])
            sent.append((self.now, cmd["work"]))
            work = sum(work for at, work in sent if at > self.now - deal.fall_us)
            grown = deal.cold_from + (1 - deal.cold_from) * (self.now - be["born"]) / deal.cold_us
            stands = deal.fall_multiple * grown * deal.kind_cores[be["kind"]] * deal.fall_us
            assert work <= stands / deal.managers + cmd["work"], "cold engine pushed over"  # rounded by lot
        if kind.ordered and cmd["key"]:
            line = self.lines[cmd["key"]]
            for other in line[: line.index(ident)]:
                earlier = self.commands[other]
                assert earlier["over"] and not earlier["out"], "out of order"
            assert cmd["sends"] or self.now >= self.rest.get(cmd["key"], 0), "the key rests"
        if cmd["sends"]:
            self.extras.append(self.now)
            since = self.now - deal.extra_us
            extras = sum(at > since for at in self.extras)
            taken = sum(at > since for at in self.taken)
            budget = deal.extra_free is None or extras <= deal.extra_free + deal.extra_share * taken
            assert budget, "over budget"
