"""The decisions and the bytes of seeded runs, as hashes: a change of names or of structure must keep them.

The expected values were recorded on commit 3c216f7. A change that is meant to alter a decision or a byte on
the wire records them anew, and says so in its commit; one that is not meant to has a fault.
"""

from random import Random
from unittest import mock

import pytest
from driver import MS, Driver, agreement, profile
from recording import Recorder

from gullhold import interface as api
from gullhold import policy
from gullhold.rehearsal import play, streams

# Methods of the decision module and of a stream, numbered: the numbers go into the hash, the names do not.
GATEWAY_CALLS = {
    "engines": 1,
    "command": 2,
    "streaming": 3,
    "noted": 4,
    "ended": 5,
    "client_gone": 6,
    "give_up": 7,
    "timer": 8,
    "allot": 9,
    "adopt": 10,
}
STREAM_CALLS = {"write": 21, "finish": 22}
TAGS: dict[type, int] = {}  # result types that stand for a verb's number

REHEARSED_SEEDS = 12
WALKS_EACH = 10
WALK_STEPS = 260
ODD_FIGURES = (0, -5, float("nan"), float("inf"), 1e300, 64.0)  # estimates as they may come

AGREEMENTS = {
    "tenants": agreement(
        profile(),
        profile(effect=api.NON_REPLAYABLE, threads=3),
        profile(effect=api.UNIQUED, dedup_scope=api.LOCATION, target_us=2000 * MS),
        tenants=(api.Tenant(0.7), api.Tenant(0.3)),
    ),
    "ordered keys": agreement(
        profile(effect=api.UNIQUED, ordered=True),
        profile(ordered=True, late_benefit=0.0),
        profile(effect=api.UNIQUED, dedup_scope=api.CELL),
        extra_free=2.0,
        extra_share=0.2,
        extra_us=2000 * MS,
        managers=3,
    ),
    "placement": agreement(
        profile(locations=frozenset((1,))),
        profile(kinds=frozenset((0,)), effect=api.NON_REPLAYABLE),
        profile(effect=api.UNIQUED, ordered=True, locations=frozenset((0,)), kinds=frozenset((0,))),
        managers=2,
        crossing_costs=True,
        heeds_grants=False,
        heeds_priority=False,
        sends_cap=6,
    ),
    "no cancels": agreement(
        profile(late_benefit=0.0),
        profile(threads=3, benefit=6.0, target_us=1500 * MS),
        sends_cap=6,
        may_cancel=False,
        heeds_grants=False,
        come_back_us=500 * MS,
        report_fields=("util",),
        managers=3,
        tenants=(api.Tenant(0.87, 90.0), api.Tenant(0.13, 12.0)),
    ),
    "loads": agreement(
        profile(stands_still=True),
        profile(threads=3, benefit=2.5),
        profile(threads=2, benefit=6.0, effect=api.NON_REPLAYABLE, loads=True),
        heeds_priority=False,
        crossing_costs=True,
        report_fields=("queue", "util"),
        managers=5,
    ),
}


class Part:
    """A member's part of one budget, without a fleet: so much at once."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.refusals = 0

    def most(self) -> int:
        return self.limit

    def may(self, amount: int) -> bool:
        return self.used + amount <= self.limit

    def begin(self, amount: int) -> None:
        self.used += amount

    def over(self, amount: int, surely: bool = True) -> None:
        self.used -= amount

    def refused(self, amount: int) -> None:
        self.refusals += amount


class Gate:
    """A policy's gate, open or shut by turns of a seeded generator."""

    def __init__(self, draw: Random) -> None:
        self.draw = draw

    def __call__(self) -> bool:
        return self.draw.random() < 0.9

    def shut(self) -> bool:
        return self.draw.random() < 0.1


class Walk:
    """Seeded calls on one gateway through the driver, which checks the rules after every call."""

    def __init__(self, deal: api.Agreement, seed: int, engines: int) -> None:
        self.draw = Random(seed)
        self.world = Driver(deal, seed)
        self.engines = engines
        self.parts: dict[tuple[int, int], Part] = {}
        for ident in range(engines):
            self.world.engines((ident, ident % 2, ident % 2, api.READY, ident % 3, 0))

    def step(self) -> None:
        """One call drawn by chance; arrivals and waits are the most frequent."""
        calls = (self.arrive,) * 7 + (self.end,) * 5 + (self.wait,) * 3
        calls += (
            self.list_change,
            self.leave,
            self.give_up,
            self.note,
            self.stream,
            self.budgets,
            self.policy,
        )
        self.draw.choice(calls)()

    def arrive(self) -> None:
        number = self.draw.randrange(10_000)
        self.world.command(
            number % len(self.world.deal.profiles),
            tenant=number % 3,
            key=number % 4,
            work=self.draw.choice((3, 20, 100, 400)) * MS,
            timeout_us=(200 + number % 3800) * MS,
            need=ODD_FIGURES[number % 6],
            told=ODD_FIGURES[number // 7 % 6] if number % 5 == 0 else None,
        )

    def end(self) -> None:
        if out := self.world.out():
            outcome = self.draw.choice((0, 0, 0, 0, 0, *range(8)))
            report = (self.draw.choice(ODD_FIGURES), self.draw.random())[: self.draw.randrange(3)]
            cost = self.draw.choice((2, 50, 100, 900)) * MS
            self.world.end(self.draw.choice(out), outcome, cost=cost, report=report)

    def wait(self) -> None:
        self.world.wait(self.draw.choice((1, 10, 60, 300, 900)) * MS)

    def list_change(self) -> None:
        state = self.draw.choice((api.READY, api.READY, api.READY, api.DRAINING, api.GONE))
        born = self.world.now if self.draw.random() < 0.3 else 0
        ident = self.draw.randrange(self.engines)
        entry = (ident, ident % 2, ident // 7 % 2, state, ident % 3, born)
        self.world.engines(entry, full=self.draw.random() < 0.05)

    def leave(self) -> None:
        if out := self.world.out():
            self.world.leave(self.draw.choice(out))

    def give_up(self) -> None:
        owed = [ident for ident, command in self.world.commands.items() if not command["over"]]
        if owed:
            self.world.give_up(self.draw.choice(owed))

    def note(self) -> None:
        if out := self.world.out():
            ident = self.draw.choice(out)
            send = self.world.commands[ident]["out"][2]
            note, value = self.draw.randrange(3), self.draw.choice((0.0, 0.02, 0.6, 1.0, 2.0))
            self.world.obey(self.world.gateway.noted(self.world.now, ident, send, note, value))

    def stream(self) -> None:
        if self.draw.random() < 0.2 and (out := self.world.out()):
            ident = self.draw.choice(out)
            send = self.world.commands[ident]["out"][2]
            self.world.obey(self.world.gateway.streaming(self.world.now, ident, send))
            self.world.commands[ident]["over"] = True  # the answer that has begun is the final one

    def budgets(self) -> None:
        if self.draw.random() < 0.3:
            results = self.world.gateway.allot(self.world.now, self.part)
            self.world.obey([result for result in results if result[0] != api.LACKS])

    def part(self, budget: int, of: int) -> Part | None:
        deal = self.world.deal
        if budget == api.TAKEN or (budget == api.FURTHER and deal.extra_free is not None):
            return None  # the driver checks the agreement's own budget of further sends
        limit = {api.COLD: 10**6 // deal.managers, api.SHARE: 4 * 10**5, api.MEMORY: 10**5}.get(budget, 12)
        return self.parts.setdefault((budget, of), Part(limit))

    def policy(self) -> None:
        if self.draw.random() < 0.3:
            weights = [self.draw.choice((1.0, 2.0, 0.5)) for _ in self.world.gateway.weight]
            terms = (weights, {0: 2}, {0: 48.0}, {0: self.draw.choice((1, 2, 3))})
            self.world.obey(self.world.gateway.adopt(self.world.now, terms, Gate(self.draw)))


def recorded(recorder: Recorder, target: type, calls: dict[str, int]) -> mock._patch_multiple:
    """The target with these methods recorded."""
    methods = {name: recorder.recording(number, getattr(target, name)) for name, number in calls.items()}
    return mock.patch.multiple(target, **methods)


WALK_HASHES = {
    "tenants": (34545, "eb7e68e7829c18e499bb633e86b8cfaf32ad63d080a753307bbbac5fb7594820"),
    "ordered keys": (8473, "80099b316584e9bf9edc3ac05f1c5eff5987bad8371b14f3e1023ecf4cf8b6a8"),
    "placement": (10264, "bc7589938a19c6437be38916f5d7b5b619bc7aa8c7d9080ac4f5c4849e3f53b6"),
    "no cancels": (118028, "e2be68b1b6d051aca914ce16650486d335b0a366bddb63a432d0b8130531be93"),
    "loads": (21339, "7b9e0ee966f4c36c0b20a1da642e6b6ecda1f0d79fc9fec9cb6faf8a6b8f060d"),
}
CROWDED_HASH = (21609, "b477ecb4677e52afc0a32856e4c10a69191d764b997b7f00a07ccf09c400f62d")
REHEARSAL_HASH = (77742, "72d0d59ebcf9075dd41ea52db2fc8d66347f026b25eaa38b9d9014094892d227")


@pytest.mark.parametrize("name", AGREEMENTS)
def test_seeded_walks_give_the_recorded_decisions(name: str) -> None:
    recorder = Recorder(TAGS)
    with recorded(recorder, policy.Gateway, GATEWAY_CALLS):
        for seed in range(WALKS_EACH):
            walk = Walk(AGREEMENTS[name], seed, engines=5 if seed % 2 else 300)
            for _ in range(WALK_STEPS):
                walk.step()
    assert (recorder.records, recorder.digest()) == WALK_HASHES[name]


def test_a_crowded_gateway_gives_the_recorded_decisions() -> None:
    """Long commands on few engines, slower and slower: pressure, samples, fits, health and cold starts."""
    recorder = Recorder(TAGS)
    deal = agreement(
        profile(threads=2, target_us=3000 * MS, timeout_us=9000 * MS),
        profile(threads=1, target_us=200 * MS),
        report_fields=("util",),
        managers=2,
        tenants=(api.Tenant(0.6, 40.0), api.Tenant(0.4, 30.0)),
        extra_free=3.0,
        extra_share=0.1,
        extra_us=3000 * MS,
    )
    with recorded(recorder, policy.Gateway, GATEWAY_CALLS):
        for seed in range(3):
            draw = Random(seed)
            world = Driver(deal, seed)
            born = world.now if seed else 0
            world.engines(*((ident, 0, 0, api.READY, 0, born * (ident == 3)) for ident in range(4)))
            for step in range(2500):
                world.command(step % 2, tenant=step % 2, work=draw.choice((20, 120, 700)) * MS, need=40.0)
                out = world.out()
                slowest = 1 + step // 300
                if len(out) > 3 * slowest or draw.random() < 0.5:
                    for ident in out[: 1 + slowest // 2]:
                        outcome = api.ANSWERED if draw.random() < 0.95 else draw.choice((1, 2, 3, 4, 5))
                        world.end(ident, outcome, cost=draw.choice((20, 120, 700)) * MS, report=(0.95,))
                world.wait(draw.choice((2, 10, 30)) * MS)
    assert (recorder.records, recorder.digest()) == CROWDED_HASH


def test_rehearsed_seeds_give_the_recorded_calls_and_bytes() -> None:
    recorder = Recorder(TAGS)
    with (
        recorded(recorder, policy.Gateway, GATEWAY_CALLS),
        recorded(recorder, streams.Stream, STREAM_CALLS),
    ):
        results = [play.play(seed) for seed in range(REHEARSED_SEEDS)]
    assert [result.broken for result in results] == [[]] * REHEARSED_SEEDS
    assert (recorder.records, recorder.digest()) == REHEARSAL_HASH
