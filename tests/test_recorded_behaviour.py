"""The decisions and bytes of seeded runs, compared as hashes with those that commit 3c216f7 produced.

They were recorded again when Dispatch got its field send_until_us; without that field they are the same.

Changes of names or structure must keep the hashes. A change that is meant to alter a decision or a byte on
the wire has to record them again and say so in its commit; any other change that alters them is faulty.
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
from gullhold.simulation import runner, streams

# Recorded methods of the decision module and of a stream. Their numbers go into the hash, their names do not.
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
# Results were once tuples that began with these numbers, which is how the hashes were recorded.
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

SIMULATED_SEEDS = 12
WALKS_PER_AGREEMENT = 10
WALK_STEPS = 260


class FixedShare:
    """A gateway's share of one budget that never changes, as the decision module uses it (BudgetShare)."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.used = 0
        self.rejections = 0

    def limit(self) -> int:
        """Return the size of the share."""
        return self.size

    def allows(self, amount: int) -> bool:
        """Return whether this amount may be acquired now."""
        return self.used + amount <= self.size

    def acquire(self, amount: int) -> None:
        """Count an amount as in use."""
        self.used += amount

    def release(self, amount: int, confirmed: bool = True) -> None:  # noqa: ARG002  the interface of a budget
        """Give an amount back, whether or not its end is confirmed."""
        self.used -= amount

    def record_rejection(self, amount: int) -> None:
        """Add the amount that was not available."""
        self.rejections += amount


class Gate:
    """A policy's gate that is open or closed at random."""

    def __init__(self, draw: Random) -> None:
        self.draw = draw

    def may_dispatch(self) -> bool:
        """Return whether attempts may be dispatched: true in 90% of calls."""
        return self.draw.random() < 0.9

    def rejects_new(self) -> bool:
        """Return whether new commands are rejected: true in 10% of calls."""
        return self.draw.random() < 0.1


class Walk:
    """Random calls on one gateway through the driver, which checks the gateway's rules after each call."""

    def __init__(self, agreement: Agreement, seed: int, engines: int) -> None:
        self.draw = Random(seed)
        self.driver = Driver(agreement, seed)
        self.engines = engines
        self.shares: dict[tuple[int, int], FixedShare] = {}
        for engine in range(engines):
            self.driver.update_engines((engine, engine % 2, engine % 2, EngineState.READY, engine % 3, 0))

    def step(self) -> None:
        """Make one random call. New commands, ends of attempts and waits are the most frequent."""
        calls = (self.submit,) * 7 + (self.end_attempt,) * 5 + (self.wait,) * 3
        calls += (
            self.change_engines,
            self.client_left,
            self.abandon,
            self.attempt_status,
            self.begin_answer,
            self.apply_budgets,
            self.apply_policy,
        )
        self.draw.choice(calls)()

    def submit(self) -> None:
        """Submit a command, some with estimates that no client should send."""
        number = self.draw.randrange(10_000)
        self.driver.submit(
            number % len(self.driver.agreement.profiles),
            tenant=number % 3,
            key=number % 4,
            work=self.draw.choice((3, 20, 100, 400)) * MS,
            timeout_us=(200 + number % 3800) * MS,
            need_mb=ARBITRARY_ESTIMATES[number % 6],
            estimate=ARBITRARY_ESTIMATES[number // 7 % 6] if number % 5 == 0 else None,
        )

    def end_attempt(self) -> None:
        """End an open attempt with a random outcome."""
        if running := self.driver.running_ids():
            outcome = self.draw.choice((0, 0, 0, 0, 0, *range(8)))
            report = (self.draw.choice(ARBITRARY_ESTIMATES), self.draw.random())[: self.draw.randrange(3)]
            cost = self.draw.choice((2, 50, 100, 900)) * MS
            self.driver.end_attempt(self.draw.choice(running), outcome, cost=cost, report=report)

    def wait(self) -> None:
        """Let time pass."""
        self.driver.wait(self.draw.choice((1, 10, 60, 300, 900)) * MS)

    def change_engines(self) -> None:
        """Change one entry of the endpoint list; in 5% of the calls the new list is this entry alone."""
        state = self.draw.choice(
            (
                EngineState.READY,
                EngineState.READY,
                EngineState.READY,
                EngineState.DRAINING,
                EngineState.REMOVED,
            )
        )
        started_at = self.driver.now if self.draw.random() < 0.3 else 0
        engine = self.draw.randrange(self.engines)
        entry = (engine, engine % 2, engine // 7 % 2, state, engine % 3, started_at)
        self.driver.update_engines(entry, full=self.draw.random() < 0.05)

    def client_left(self) -> None:
        """Disconnect a client whose command has an open attempt."""
        if running := self.driver.running_ids():
            self.driver.client_left(self.draw.choice(running))

    def abandon(self) -> None:
        """Abandon an unanswered command, as the service does when it ends a request by itself."""
        unanswered = [
            command_id for command_id, command in self.driver.commands.items() if not command.is_over
        ]
        if unanswered:
            self.driver.abandon(self.draw.choice(unanswered))

    def attempt_status(self) -> None:
        """Deliver a status note on an open attempt."""
        if running := self.driver.running_ids():
            command_id = self.draw.choice(running)
            attempt_number = self.driver.commands[command_id].open_attempt.number
            status, value = self.draw.randrange(3), self.draw.choice((0.0, 0.02, 0.6, 1.0, 2.0))
            self.driver.carry_out(
                self.driver.gateway.attempt_status(self.driver.now, command_id, attempt_number, status, value)
            )

    def begin_answer(self) -> None:
        """Begin the final answer of an open attempt, in 20% of the calls."""
        if self.draw.random() < 0.2 and (running := self.driver.running_ids()):
            command_id = self.draw.choice(running)
            attempt_number = self.driver.commands[command_id].open_attempt.number
            self.driver.carry_out(
                self.driver.gateway.answer_began(self.driver.now, command_id, attempt_number)
            )
            self.driver.commands[command_id].is_over = True  # an answer that has begun is the final one

    def apply_budgets(self) -> None:
        """Apply budgets, in 30% of the calls, and ignore the demands that are reported in return."""
        if self.draw.random() < 0.3:
            results = self.driver.gateway.apply_budgets(self.driver.now, self.share)
            self.driver.carry_out([result for result in results if not isinstance(result, ReportDemand)])

    def share(self, budget: int, subject: int) -> FixedShare | None:
        """Return the share of one budget for one subject; None if only the agreement's own budget applies."""
        agreement = self.driver.agreement
        if budget == BudgetKind.ADMISSIONS or (
            budget == BudgetKind.RETRIES and agreement.retry_budget_base is not None
        ):
            return None  # of the retries, the driver checks the agreement's own budget
        limit = {
            BudgetKind.WARMUP: 10**6 // agreement.gateways,
            BudgetKind.TRAFFIC_SHARE: 4 * 10**5,
            BudgetKind.MEMORY: 10**5,
        }.get(budget, 12)
        return self.shares.setdefault((budget, subject), FixedShare(limit))

    def apply_policy(self) -> None:
        """Apply a policy with random weights, in 30% of the calls."""
        if self.draw.random() < 0.3:
            weights = [
                self.draw.choice((1.0, 2.0, 0.5)) for _ in self.driver.gateway.components.queue.weights
            ]
            terms = DecisionTerms(weights, {0: 2}, {0: 48.0}, {0: self.draw.choice((1, 2, 3))})
            self.driver.carry_out(self.driver.gateway.apply_policy(self.driver.now, terms, Gate(self.draw)))


def recorded(recorder: Recorder, target: type, calls: dict[str, int]) -> mock._patch_multiple:
    """Patch the target so that its methods record their calls. calls: the number of each method by name."""
    methods = {name: recorder.recording(number, getattr(target, name)) for name, number in calls.items()}
    return mock.patch.multiple(target, **methods)


WALK_HASHES = {
    "tenants": (34545, "55f33500a852af7e19ea0b10e8813cabb420eae988fb787c4ea62f40e6ea89a0"),
    "ordered keys": (8473, "5a161f07b58f015f9e02c2bc2d29c3dd12ab907de7f4fbc5c844d515a60821d3"),
    "placement": (10264, "04da8d0410769e7cd38202c016c7ed75f293c1f00a82e0a3eba880570a8f674e"),
    "no cancels": (118028, "ed287a54bc2f9cb290905fca86b8963eb9c386f252ade4eaddda2f47ea65a2ec"),
    "loads": (21339, "87e57f767df0d53b8a04213466469acd7ed6867d04e568afbfa7f5e6ebe14cae"),
}
CROWDED_HASH = (21609, "470c93166f834a91548b13ce347c4a64084be8035778dcd9bc4a2fcd216fe75f")
SIMULATION_HASH = (77476, "9ae6cd26c58c73bfc340e4400bb302b74a7cf6fef457ac035972c577b27d62b2")


@pytest.mark.parametrize("name", AGREEMENTS)
def test_seeded_walks_give_the_recorded_decisions(name: str) -> None:
    recorder = Recorder(TAGS)
    with recorded(recorder, Gateway, GATEWAY_CALLS):
        for seed in range(WALKS_PER_AGREEMENT):
            walk = Walk(AGREEMENTS[name], seed, engines=5 if seed % 2 else 300)
            for _ in range(WALK_STEPS):
                walk.step()
    assert (recorder.records, recorder.digest()) == WALK_HASHES[name]


def test_a_crowded_gateway_gives_the_recorded_decisions() -> None:
    """Long commands on few engines that get slower.

    This covers pressure, sampling, fitted estimates, engine health and slow start.
    """
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
            driver = Driver(agreement, seed)
            started_at = driver.now if seed else 0
            driver.update_engines(
                *((ident, 0, 0, EngineState.READY, 0, started_at * (ident == 3)) for ident in range(4))
            )
            for step in range(2500):
                driver.submit(step % 2, tenant=step % 2, work=draw.choice((20, 120, 700)) * MS, need_mb=40.0)
                running = driver.running_ids()
                slowdown = 1 + step // 300
                if len(running) > 3 * slowdown or draw.random() < 0.5:
                    for ident in running[: 1 + slowdown // 2]:
                        outcome = Outcome.ANSWERED if draw.random() < 0.95 else draw.choice((1, 2, 3, 4, 5))
                        driver.end_attempt(
                            ident, outcome, cost=draw.choice((20, 120, 700)) * MS, report=(0.95,)
                        )
                driver.wait(draw.choice((2, 10, 30)) * MS)
    assert (recorder.records, recorder.digest()) == CROWDED_HASH


def test_simulated_seeds_give_the_recorded_calls_and_bytes() -> None:
    recorder = Recorder(TAGS)
    with (
        recorded(recorder, Gateway, GATEWAY_CALLS),
        recorded(recorder, streams.Stream, STREAM_CALLS),
    ):
        results = [runner.run_simulation(seed) for seed in range(SIMULATED_SEEDS)]
    assert [result.violations for result in results] == [[]] * SIMULATED_SEEDS
    assert (recorder.records, recorder.digest()) == SIMULATION_HASH
