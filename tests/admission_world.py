"""An admission queue between simulated clients and simulated decisions, checked after each step."""

import random
from collections import Counter

from driver import profile

from gullhold.admission.queue import AdmissionQueue
from gullhold.admission.queued_command import CommandState
from gullhold.admission_interface import Forward, Reject
from gullhold.operator import records

MS = 1000


SECOND = 1_000_000


def rule(text=""):
    """A DoorRecord, as an operator would write it."""
    return records.read('door: {on: true, come_back: field: "retry_ms"}\n' + text, "test.cue").door


class World:
    """A front and a module with so many slots round one door; checks the door with books of its own."""

    def __init__(self, text="", weights=(0.6, 0.4), ordered=(False, False), slots=4, seed=1, checked=True):
        self.checked, self.names = checked, {}
        self.rule, self.now, self.slots, self.serial, self.seed = rule(text), SECOND, slots, 0, seed
        self.queue = AdmissionQueue(
            seed, self.rule, weights, [profile(ordered=each) for each in ordered], 0, self.now
        )
        self.ordered, self.draw = ordered, random.Random(seed)
        self.open, self.held, self.out, self.ended = {}, [], [], {}
        self.done, self.told, self.kept, self.log = Counter(), {}, Counter(), []

    def ask(
        self,
        name=b"c:a",
        tenant=0,
        kind=0,
        key=0,
        work=50 * MS,
        says=1.0,
        limit=4 * SECOND,
        repeat=False,
        real=None,
    ):
        """A command comes."""
        self.serial += 1
        ident = self.serial
        self.open[ident] = {
            "name": name,
            "tenant": tenant,
            "profile": kind,
            "key": key,
            "at": self.now,
            "work": real or work,
            "timeout_at": self.now + limit,
            "state": "door",
        }
        self.names[ident] = name
        self.obey(
            self.queue.submit(
                self.now, ident, tenant, name, kind, key, int(work * says), 100, self.now + limit, repeat
            )
        )
        self.settle()
        return ident

    def obey(self, results):
        """Check each result against the queue's promises, then carry it out."""
        for decision in results:
            ident = decision.command
            cmd = self.open[ident]
            self.log.append((self.now, decision))
            assert cmd["state"] == "door", "decided twice"
            if isinstance(decision, Forward):
                if self.ordered[cmd["profile"]] and cmd["key"]:
                    earlier = [
                        other
                        for other, row in self.open.items()
                        if other < ident
                        and row["state"] == "door"
                        and (row["profile"], row["key"]) == (cmd["profile"], cmd["key"])
                    ]
                    assert not earlier, "out of order"
                cmd["state"] = "held"
                self.held.append(ident)
                lane = sum(
                    (self.open[i]["tenant"], self.open[i]["profile"]) == (cmd["tenant"], cmd["profile"])
                    for i in self.held
                )
                assert lane <= self.rule.window
                assert len(self.held) <= self.rule.held
            else:
                assert isinstance(decision, Reject)
                assert self.now <= cmd["timeout_at"], "too late"
                assert decision.retry_after_us <= self.rule.come_back.most
                self.told[ident] = decision.retry_after_us
                self.end(ident, "refused")

    def end(self, ident, how):
        """Close the books on a command; how: answered, refused or gone."""
        self.ended[ident] = how
        del self.open[ident]

    def settle(self):
        """The module sends what it has slots for; the door hands on until nothing moves."""
        while True:
            while self.held and len(self.out) < self.slots:
                ident = self.held.pop(0)
                self.open[ident]["state"] = "out"
                self.out.append([self.now + int(self.open[ident]["work"]), ident])
                self.queue.attempt_sent(ident)
            results = self.queue.take_ready(self.now)
            if not results:
                break
            self.obey(results)
        self.check()

    def wait(self, span):
        """Time passes."""
        until = self.now + span
        while True:
            look = (self.now // (20 * MS) + 1) * 20 * MS
            at = min([row[0] for row in self.out] + [look])
            if at > until:
                break
            self.now = at
            for row in [row for row in self.out if row[0] <= at]:
                self.out.remove(row)
                ident, cmd = row[1], self.open[row[1]]
                self.done[cmd["name"]] += cmd["work"]
                self.queue.attempt_ended(self.now, ident, int(cmd["work"]), True)
                self.queue.command_ended(self.now, ident)
                self.end(ident, "answered")
            if at == look:
                self.obey(self.queue.expire(self.now))
            self.settle()
        self.now = until

    def leave(self, ident):
        """Its client goes, wherever the command is."""
        state = self.open[ident]["state"]
        self.out = [row for row in self.out if row[1] != ident]
        self.held = [other for other in self.held if other != ident]
        if state == "out":
            self.queue.attempt_ended(self.now, ident, 0, True)
        self.queue.command_ended(self.now, ident)
        self.end(ident, "gone")
        self.settle()

    def check(self):
        """Compare the queue's counts and bounds with the books of this world."""
        if not self.checked:  # long runs
            return
        queue = self.queue
        here = [ident for ident, cmd in self.open.items() if cmd["state"] == "door"]
        assert queue.queued_count == len(here) <= self.rule.waiting
        assert set(queue.commands) == set(self.open)
        assert queue.forwarded_count == len(self.held)
        assert queue.queued_bytes == 100 * len(here)
        for ident in here:
            assert self.now <= self.open[ident]["timeout_at"]
        queued = sum(
            flow.queued_count
            for queues in queue.flow_table.tenants.values()
            for flow in queues.flows.values()
        )
        behind = sum(command.state is CommandState.BLOCKED for command in queue.commands.values())
        assert queued + behind == len(here)
        assert (
            sum(
                flow.is_exact
                for queues in queue.flow_table.tenants.values()
                for flow in queues.flows.values()
            )
            == queue.flow_table.exact_flow_count
            <= self.rule.exact
        )
        if not self.open:
            assert not queue.commands_by_key
            assert not queue.forwarded_by_lane
            assert not queue.forwarded_count


def crowd(world, span, **clients):
    """Closed loop: each client keeps so many open; the first second does not count."""
    until, counted = world.now + span, False
    while world.now < until:
        if not counted and world.now > until - span + SECOND:
            world.done.clear()
            counted = True
        have = Counter(cmd["name"] for cmd in world.open.values())
        for name, many in clients.items():
            for _ in range(many - have[name.encode()]):
                world.ask(name.encode())
        world.wait(10 * MS)
