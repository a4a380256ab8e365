"""The decisions of one gateway: turns calls of a driver into results.

A driver makes one Gateway(seed, agreement, now) and calls its public methods, each with the time in whole
microseconds. gullhold/interface.py defines the Agreement and the results that return.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import cast

from gullhold.decisions.census import Census, take_census
from gullhold.decisions.command import OPEN_ATTEMPT_STATES, WAITING_STATES, Command, CommandState
from gullhold.decisions.command_intake import CommandIntake
from gullhold.decisions.command_lifecycle import CommandLifecycle
from gullhold.decisions.decision_call import DecisionCall
from gullhold.decisions.dispatcher import Dispatcher
from gullhold.decisions.engine import Engine
from gullhold.decisions.engine_health import OVERLOADED_US
from gullhold.decisions.fleet_budgets import ShareLookup
from gullhold.decisions.key_order import UNKNOWN_END
from gullhold.decisions.parts import Parts
from gullhold.interface import (
    NEVER_RAN,
    Agreement,
    CancelAttempt,
    EngineEntry,
    Fail,
    Outcome,
    PolicyGate,
    Result,
    StatusKind,
)

MIN_PROGRESS = 0.01  # share done that a report of less counts as
MIN_LOAD_WAIT = 2  # value of a WAITING status from which the attempt waits for a load of its data set
LOAD_WAIT_US = OVERLOADED_US  # us that such a status keeps us off

PolicyValues = tuple[Sequence[float], Mapping[int, int], Mapping[int, float], Mapping[int, int]]


class Gateway:
    """The decisions of one gateway."""

    def __init__(self, seed: int, agreement: Agreement, now: int) -> None:
        self.agreement = agreement
        self.parts = Parts(seed, agreement, now)
        self._call = DecisionCall(now)
        self._lifecycle = CommandLifecycle(agreement, self.parts, self._call)
        self._dispatcher = Dispatcher(agreement, self.parts, self._lifecycle, self._call)
        self._intake = CommandIntake(agreement, self.parts.estimates)
        self.commands = self._lifecycle.commands  # by id: those that wait or have an open attempt

    @property
    def results(self) -> list[Result]:
        """What the newest call has decided, also where it has raised an exception."""
        return self._call.results

    @results.setter
    def results(self, results: list[Result]) -> None:
        self._call.results = results

    @property
    def submitted(self) -> int:
        """How many commands there have been."""
        return self._intake.submitted

    def census(self) -> Census:
        """Counts of what the gateway holds."""
        return take_census(self.parts, self._lifecycle)

    def update_engines(self, now: int, entries: Iterable[EngineEntry], full: bool) -> list[Result]:
        """The endpoint list changed; full: engines that are not among the entries are removed."""
        self._call.begin(now)
        listed = set()
        for entry in entries:
            engine = self.parts.engines.update(entry)
            listed.add(engine)
            self.parts.limits.stop_sampling(engine)
            self.parts.health.note_listed(engine)
        if full:
            self.parts.engines.remove_all_but(listed)
        self._forget_removed_engines()
        self.parts.placement.locks.forget_released(now)
        self.parts.key_order.forget_settled(now)
        return self._dispatcher.run()

    def submit(
        self,
        now: int,
        command_id: int,
        profile_index: int,
        tenant: int,
        key: int,
        timeout_at: int,
        work: float,
        need_mb: float,
        dataset: int,
        is_repeat: bool,  # noqa: ARG002  drivers give it; no decision depends on it
    ) -> list[Result]:
        """A command arrived; work, need_mb: its estimates, of any value, 0: none."""
        self._call.begin(now)
        if command_id in self.commands:
            return []
        if profile_index >= len(self.agreement.profiles):
            return [Fail(command_id)]
        self.parts.traffic.record_arrival(now)
        command = self._intake.new_command(
            now,
            command_id,
            profile_index,
            tenant,
            len(self.parts.queue.weights),
            key,
            timeout_at,
            work,
            need_mb,
            dataset,
        )
        self.parts.placement.popularity.record(dataset)
        self._lifecycle.add(command)
        # What can't end in time at the best pace seen is shed, not sent: guards against clients that give up
        # early, whose attempts would only take threads. Harm: one that finds all it reads warm.
        may_end_in_time = now + self.parts.estimates.best_run_us(command) < command.last_start_at
        if may_end_in_time and self.parts.budgets.admit(command, self.parts.policy.admits_new()):
            return self._dispatcher.run()
        self._lifecycle.finish(command)
        return self._call.results

    def apply_budgets(self, now: int, shares: ShareLookup | None) -> list[Result]:
        """Budgets of the fleet bind, in place of even shares; called again when a share has changed.

        shares(budget, subject) is our BudgetShare; None: the fleet has no such budget, and we go on as
        without. The last result tells what queued commands lack.
        """
        self._call.begin(now)
        self.parts.budgets.apply(shares)
        self._dispatcher.run()
        queued = [command for command in self.commands.values() if command.state == CommandState.QUEUED]
        ready = self.parts.engines.ready
        demand = self.parts.budgets.demand(queued, ready, self.parts.traffic.count, now)
        self._call.results.append(demand)
        return self._call.results

    def apply_policy(self, now: int, terms: PolicyValues, gate: PolicyGate) -> list[Result]:
        """A policy of the fleet: shares hold from the next round on, all else from the next attempt.

        terms: weights of tenants, then by profile priorities, most MB of a grant and most attempts.
        """
        self._call.begin(now)
        weights, priorities, grants_mb, max_attempts = terms
        self.parts.queue.apply_weights(weights)
        self.parts.policy.apply(gate, priorities)
        self.parts.grants.most_mb = grants_mb
        self.parts.retries.max_attempts = max_attempts
        return self._dispatcher.run()

    def answer_began(
        self,
        now: int,  # noqa: ARG002  as all calls have it
        command_id: int,
        attempt: int,
    ) -> list[Result]:
        """An attempt's answer has begun: it now belongs to the client."""
        command = self._lifecycle.with_attempt(command_id, attempt, (CommandState.DISPATCHED,))
        if command:
            self._lifecycle.change_state(command, CommandState.STREAMING)
        return []

    def attempt_status(
        self, now: int, command_id: int, attempt: int, kind: StatusKind, value: float
    ) -> list[Result]:
        """A status note on an open attempt."""
        command = self.commands.get(command_id)
        if command is None:
            return []
        is_open = command.state == CommandState.DISPATCHED and attempt == command.attempts - 1
        if is_open and kind == StatusKind.PROGRESS:
            command.progress = max(value, MIN_PROGRESS)
        elif kind == StatusKind.WAITING and value >= MIN_LOAD_WAIT and command.engine:
            # The load of another gateway, which we would not know of.
            self.parts.placement.locks.lock(command.engine, command.dataset, now + LOAD_WAIT_US)
        return []

    def attempt_ended(
        self,
        now: int,
        command_id: int,
        attempt: int,
        outcome: Outcome,
        is_closed: bool,
        latency_us: int,
        cost: float,
        need_mb: float,
        report: tuple[float, ...],
    ) -> list[Result]:
        """An attempt ended; is_closed: the command has its final answer or its client has left.

        cost: its work (core-us), need_mb: its memory, each 0: unknown. report: the engine's load report.
        """
        self._call.begin(now)
        command = self._lifecycle.with_attempt(command_id, attempt, OPEN_ATTEMPT_STATES)
        if command is None:
            return self._call.results
        engine = cast("Engine", command.engine)  # an open attempt has one
        is_unawaited = command.state in (CommandState.ORPHANED, CommandState.STREAMING)
        self._release_claims(command, outcome)
        self.parts.loads.record(engine, report, outcome, now)
        self.parts.outcomes.record(command, engine, outcome, latency_us, cost, need_mb, now)
        if outcome == Outcome.ERROR:
            command.admitted_at = 0
        if outcome not in NEVER_RAN:
            command.mark_run()
        self.parts.key_order.record_outcome(command, outcome, now)
        if is_closed or is_unawaited or outcome == Outcome.ANSWERED:
            self._lifecycle.change_state(command, CommandState.ENDED)
        elif self._may_go_on(command, engine, outcome):
            self._lifecycle.change_state(command, CommandState.QUEUED)
        else:
            self._lifecycle.finish(command)
        return self._dispatcher.run()

    def client_left(self, now: int, command_id: int) -> list[Result]:
        """The client left; an attempt that is still open is cancelled."""
        self._call.begin(now)
        command = self.commands.get(command_id)
        if command and command.state == CommandState.DISPATCHED and self.agreement.supports_cancel:
            self._call.results.append(CancelAttempt(command_id, command.attempts - 1))
        if command and command.state != CommandState.ORPHANED:
            self.parts.traffic.withdraw_arrival()
            command.admitted_at = 0
            is_waiting = command.state in WAITING_STATES
            self._lifecycle.change_state(command, CommandState.ENDED if is_waiting else CommandState.ORPHANED)
        return self._dispatcher.run()

    def abandon(self, now: int, command_id: int) -> list[Result]:
        """The driver must end this command now: its final answer, also while an attempt is open."""
        self._call.begin(now)
        command = self.commands.get(command_id)
        if command is None:
            return self._call.results
        if command.state in WAITING_STATES:
            self._lifecycle.finish(command)
        elif command.state in (CommandState.DISPATCHED, CommandState.CANCELLING):
            command.mark_run()
            self._lifecycle.finish(command, CommandState.ORPHANED)
        return self._call.results

    def timer_fired(self, now: int, token: int) -> list[Result]:
        """A moment at which something is due, or at which queued commands are to be looked at."""
        self._call.begin(now)
        self.parts.reviews.timer_fired(token)
        return self._dispatcher.run()

    def _release_claims(self, command: Command, outcome: Outcome) -> None:
        """Give back what an ended attempt took of the fleet's budgets; it may run on for a moment."""
        for share, amount in command.attempt_claims:
            share.release(amount, outcome not in UNKNOWN_END)
        command.attempt_claims = ()

    def _may_go_on(self, command: Command, engine: Engine, outcome: Outcome) -> bool:
        """Whether a further attempt may follow one that ended so on this engine.

        An error on a second engine too is the command's fault, as what bad clients ask.
        """
        now = self._call.now
        if now >= command.last_start_at or not self.parts.retries.may_retry(command, now):
            return False
        return outcome != Outcome.ERROR or engine is command.first_run_engine

    def _forget_removed_engines(self) -> None:
        """Forget removed engines that no command and no thread refers to."""
        if not self.parts.engines.has_removed():
            return
        in_use = self._lifecycle.engines_in_use()
        in_use.update(attempt.engine for attempt in self.parts.thread_use.running_on)
        for engine in self.parts.engines.forget_removed(self._call.now, in_use):
            self.parts.limits.stop_sampling(engine)
            self.parts.health.forget(engine)
