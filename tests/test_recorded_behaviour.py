"""The decisions and the bytes of seeded runs, as hashes: a change of names or of structure must keep them.

The expected values were recorded on commit 3c216f7. A change that is meant to alter a decision or a byte on
the wire records them anew, and says so in its commit; one that is not meant to has a fault.
"""

from random import Random
from unittest import mock

import pytest
from agreements import AGREEMENTS, ARBITRARY_ESTIMATES
from driver import MS, Driver, make_agreement, profile
from recording import Recorder

from gullhold.decisions.decision_terms import DecisionTerms
from gullhold.decisions.gateway import Gateway
from gullhold.interface import (
    Agreement,
    BudgetKind,
    CancelAttempt,
    Dispatch,
    EngineState,
    Fail,
    LogLine,
    Outcome,
    ReportDemand,
    SetGrantAndPriority,
    Shed,
    StartTimer,
    Tenant,
)
from gullhold.simulation import play, streams

# Methods of the decision module and of a stream, numbered: the numbers go into the hash, the names do not.
GATEWAY_CALLS = {
    "update_engines": 1,
    "submit": 2,
    "answer_began": 3,
    "attempt_status": 4,
    "attempt_ended": 5,
    "client_left": 6,
    "abandon": 7,
    "timer_fired": 8,
    "apply_budgets": 9,
    "apply_policy": 10,
}
STREAM_CALLS = {"write": 21, "finish": 22}
# Result types that stand for the number that a result once began with.
TAGS = {
    Dispatch: 0,
    SetGrantAndPriority: 1,
    CancelAttempt: 2,
    Shed: 3,
    Fail: 4,
    StartTimer: 5,
    LogLine: 6,
    ReportDemand: 7,
}

REHEARSED_SEEDS = 12
WALKS_EACH = 10
WALK_STEPS = 260


class Part:
    """A member's part of one budget, without a fleet: so much at once."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.used = 0
        self.refusals = 0

    def limit(self) -> int:
        """How much may be acquired at once."""
        return self.size

    def allows(self, amount: int) -> bool:
        """Whether so much more may be acquired."""
        return self.used + amount <= self.size

    def acquire(self, amount: int) -> None:
        """Count an amount as acquired."""
        self.used += amount

    def release(self, amount: int, confirmed: bool = True) -> None:  # noqa: ARG002  the interface of a budget
        """Give an amount back, whether or not its end is confirmed."""
        self.used -= amount

    def record_rejection(self, amount: int) -> None:
        """Count one rejection."""
        self.refusals += amount


class Gate:
    """A policy's gate, open or shut by turns of a seeded generator."""

    def __init__(self, draw: Random) -> None:
        self.draw = draw

    def may_dispatch(self) -> bool:
        """Whether attempts may be sent: nine times in ten."""
        return self.draw.random() < 0.9

    def rejects_new(self) -> bool:
        """Whether new commands are rejected: once in ten times."""
        return self.draw.random() < 0.1


class Walk:
    """Seeded calls on one gateway through the driver, which checks the rules after every call."""

    def __init__(self, agreement: Agreement, seed: int, engines: int) -> None:
        self.draw = Random(seed)
        self.world = Driver(agreement, seed)
        self.engines = engines
        self.parts: dict[tuple[int, int], Part] = {}
        for ident in range(engines):
            self.world.update_engines((ident, ident % 2, ident % 2, EngineState.READY, ident % 3, 0))

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
        """A command arrives."""
        number = self.draw.randrange(10_000)
        self.world.submit(
            number % len(self.world.agreement.profiles),
            tenant=number % 3,
            key=number % 4,
            work=self.draw.choice((3, 20, 100, 400)) * MS,
            timeout_us=(200 + number % 3800) * MS,
            need_mb=ARBITRARY_ESTIMATES[number % 6],
            estimate=ARBITRARY_ESTIMATES[number // 7 % 6] if number % 5 == 0 else None,
        )

    def end(self) -> None:
        """An open attempt ends with a drawn outcome."""
        if out := self.world.running_ids():
            outcome = self.draw.choice((0, 0, 0, 0, 0, *range(8)))
            report = (self.draw.choice(ARBITRARY_ESTIMATES), self.draw.random())[: self.draw.randrange(3)]
            cost = self.draw.choice((2, 50, 100, 900)) * MS
            self.world.end_attempt(self.draw.choice(out), outcome, cost=cost, report=report)

    def wait(self) -> None:
        """Time passes."""
        self.world.wait(self.draw.choice((1, 10, 60, 300, 900)) * MS)

    def list_change(self) -> None:
        """The endpoint list changes in one entry."""
        state = self.draw.choice(
            (
                EngineState.READY,
                EngineState.READY,
                EngineState.READY,
                EngineState.DRAINING,
                EngineState.REMOVED,
            )
        )
        born = self.world.now if self.draw.random() < 0.3 else 0
        ident = self.draw.randrange(self.engines)
        entry = (ident, ident % 2, ident // 7 % 2, state, ident % 3, born)
        self.world.update_engines(entry, full=self.draw.random() < 0.05)

    def leave(self) -> None:
        """A client whose command has an open attempt leaves."""
        if out := self.world.running_ids():
            self.world.client_left(self.draw.choice(out))

    def give_up(self) -> None:
        """The service ends an unanswered command."""
        owed = [ident for ident, command in self.world.commands.items() if not command.is_over]
        if owed:
            self.world.abandon(self.draw.choice(owed))

    def note(self) -> None:
        """An engine tells the status of an open attempt."""
        if out := self.world.running_ids():
            ident = self.draw.choice(out)
            send = self.world.commands[ident].open_attempt.number
            note, value = self.draw.randrange(3), self.draw.choice((0.0, 0.02, 0.6, 1.0, 2.0))
            self.world.carry_out(self.world.gateway.attempt_status(self.world.now, ident, send, note, value))

    def stream(self) -> None:
        """The final answer of an open attempt begins."""
        if self.draw.random() < 0.2 and (out := self.world.running_ids()):
            ident = self.draw.choice(out)
            send = self.world.commands[ident].open_attempt.number
            self.world.carry_out(self.world.gateway.answer_began(self.world.now, ident, send))
            self.world.commands[ident].is_over = True  # the answer that has begun is the final one

    def budgets(self) -> None:
        """Budgets are applied; the demands that are reported in return are not carried out."""
        if self.draw.random() < 0.3:
            results = self.world.gateway.apply_budgets(self.world.now, self.part)
            self.world.carry_out([result for result in results if not isinstance(result, ReportDemand)])

    def part(self, budget: int, of: int) -> Part | None:
        """The member's part of one budget for one subject, or None where the agreement's own budget holds."""
        agreement = self.world.agreement
        if budget == BudgetKind.ADMISSIONS or (
            budget == BudgetKind.RETRIES and agreement.retry_budget_base is not None
        ):
            return None  # the driver checks the agreement's own budget of further sends
        limit = {
            BudgetKind.WARMUP: 10**6 // agreement.gateways,
            BudgetKind.TRAFFIC_SHARE: 4 * 10**5,
            BudgetKind.MEMORY: 10**5,
        }.get(budget, 12)
        return self.parts.setdefault((budget, of), Part(limit))

    def policy(self) -> None:
        """A policy is applied."""
        if self.draw.random() < 0.3:
            weights = [self.draw.choice((1.0, 2.0, 0.5)) for _ in self.world.gateway.components.queue.weights]
            terms = DecisionTerms(weights, {0: 2}, {0: 48.0}, {0: self.draw.choice((1, 2, 3))})
            self.world.carry_out(self.world.gateway.apply_policy(self.world.now, terms, Gate(self.draw)))


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
    with recorded(recorder, Gateway, GATEWAY_CALLS):
        for seed in range(WALKS_EACH):
            walk = Walk(AGREEMENTS[name], seed, engines=5 if seed % 2 else 300)
            for _ in range(WALK_STEPS):
                walk.step()
    assert (recorder.records, recorder.digest()) == WALK_HASHES[name]


def test_a_crowded_gateway_gives_the_recorded_decisions() -> None:
    """Long commands on few engines, slower and slower: pressure, samples, fits, health and cold starts."""
    recorder = Recorder(TAGS)
    agreement = make_agreement(
        profile(threads=2, objective_us=3000 * MS, timeout_us=9000 * MS),
        profile(threads=1, objective_us=200 * MS),
        report_fields=("util",),
        gateways=2,
        tenants=(Tenant(0.6, 40.0), Tenant(0.4, 30.0)),
        retry_budget_base=3.0,
        retry_budget_share=0.1,
        retry_budget_window_us=3000 * MS,
    )
    with recorded(recorder, Gateway, GATEWAY_CALLS):
        for seed in range(3):
            draw = Random(seed)
            world = Driver(agreement, seed)
            born = world.now if seed else 0
            world.update_engines(
                *((ident, 0, 0, EngineState.READY, 0, born * (ident == 3)) for ident in range(4))
            )
            for step in range(2500):
                world.submit(step % 2, tenant=step % 2, work=draw.choice((20, 120, 700)) * MS, need_mb=40.0)
                out = world.running_ids()
                slowest = 1 + step // 300
                if len(out) > 3 * slowest or draw.random() < 0.5:
                    for ident in out[: 1 + slowest // 2]:
                        outcome = Outcome.ANSWERED if draw.random() < 0.95 else draw.choice((1, 2, 3, 4, 5))
                        world.end_attempt(
                            ident, outcome, cost=draw.choice((20, 120, 700)) * MS, report=(0.95,)
                        )
                world.wait(draw.choice((2, 10, 30)) * MS)
    assert (recorder.records, recorder.digest()) == CROWDED_HASH


def test_rehearsed_seeds_give_the_recorded_calls_and_bytes() -> None:
    recorder = Recorder(TAGS)
    with (
        recorded(recorder, Gateway, GATEWAY_CALLS),
        recorded(recorder, streams.Stream, STREAM_CALLS),
    ):
        results = [play.play(seed) for seed in range(REHEARSED_SEEDS)]
    assert [result.violations for result in results] == [[]] * REHEARSED_SEEDS
    assert (recorder.records, recorder.digest()) == REHEARSAL_HASH
