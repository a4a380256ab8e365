"""The public calls on the decisions of one gateway; each returns results that the driver carries out.

A driver creates one Gateway(seed, agreement, now) and calls its public methods, each with the time in integer
microseconds. gullhold/interface.py defines the Agreement and the results.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING, cast

from gullhold.decisions.census import Census, take_census
from gullhold.decisions.command import OPEN_ATTEMPT_STATES, WAITING_STATES, Command, CommandState
from gullhold.decisions.command_intake import CommandIntake
from gullhold.decisions.command_lifecycle import CommandLifecycle
from gullhold.decisions.components import Components
from gullhold.decisions.decision_call import DecisionCall
from gullhold.decisions.dispatcher import Dispatcher
from gullhold.decisions.engine import Engine
from gullhold.decisions.engine_health import OVERLOADED_US
from gullhold.decisions.fleet_budgets import ShareLookup
from gullhold.decisions.key_order import UNKNOWN_END
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

if TYPE_CHECKING:
    from gullhold.decisions.decision_terms import DecisionTerms

MIN_PROGRESS = 0.01  # lowest share of work done; a status note that reports less counts as this
MIN_LOAD_WAIT_CODE = 2  # a WAITING note with this value or more: the command waits for a load of its data set
LOAD_LOCK_US = OVERLOADED_US  # us for which a note of waiting for a load locks the data set on the engine


class Gateway:
    """One gateway's decisions: its public calls, and the components that serve them."""

    def __init__(self, seed: int, agreement: Agreement, now: int) -> None:
        self.agreement = agreement
        self.components = Components(seed, agreement, now)
        self._call = DecisionCall(now)
        self._lifecycle = CommandLifecycle(agreement, self.components, self._call)
        self._dispatcher = Dispatcher(agreement, self.components, self._lifecycle, self._call)
        self._intake = CommandIntake(agreement, self.components.estimates)
        self.commands = self._lifecycle.commands  # by id: those that wait or have an open attempt

    @property
    def results(self) -> list[Result]:
        """Results of the latest call, also if it has raised an exception."""
        return self._call.results

    @results.setter
    def results(self, results: list[Result]) -> None:
        self._call.results = results

    @property
    def submitted_count(self) -> int:
        """Number of commands that have been submitted."""
        return self._intake.submitted_count

    def census(self) -> Census:
        """Count what the gateway holds, for tests and simulations."""
        return take_census(self.components, self._lifecycle)

    def update_engines(self, now: int, entries: Iterable[EngineEntry], full: bool) -> list[Result]:
        """Apply a change of the endpoint list. full: all engines without an entry are removed."""
        self._call.begin(now)
        listed = set()
        for entry in entries:
            engine = self.components.engines.update(entry)
            listed.add(engine)
            self.components.limits.stop_sampling(engine)
            self.components.health.record_listed(engine)
        if full:
            self.components.engines.remove_all_but(listed)
        self._forget_removed_engines()
        self.components.placement.locks.forget_released(now)
        self.components.key_order.forget_settled(now)
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
        is_retry: bool,  # noqa: ARG002  of the client; drivers pass it, but no decision depends on it
    ) -> list[Result]:
        """Handle a command that has arrived.

        work (core-us), need_mb: the client's estimates, of any value; 0: none. timeout_at: end of the client
        timeout (us).
        """
        self._call.begin(now)
        if command_id in self.commands:
            return []
        if profile_index >= len(self.agreement.profiles):
            return [Fail(command_id)]
        self.components.traffic.record_arrival(now)
        command = self._intake.new_command(
            now,
            command_id,
            profile_index,
            tenant,
            len(self.components.queue.weights),
            key,
            timeout_at,
            work,
            need_mb,
            dataset,
        )
        self.components.placement.popularity.record(dataset)
        self._lifecycle.add(command)
        # A command that can't end in time even at the best pace seen is shed, since its attempt would only
        # take threads until the client gives up. The price: one that would find its data cached is shed too.
        may_end_in_time = now + self.components.estimates.best_run_us(command) < command.last_start_at
        if may_end_in_time and self.components.budgets.admit(command, self.components.policy.admits_new()):
            return self._dispatcher.run()
        self._lifecycle.finish(command)
        return self._call.results

    def apply_budgets(self, now: int, shares: ShareLookup | None) -> list[Result]:
        """Use budgets of the fleet in place of even shares; called again whenever a share has changed.

        shares(budget, subject) returns our BudgetShare, or None if the fleet has no such budget. If shares is
        None, the fleet has no budgets. The last result reports this gateway's demand.
        """
        self._call.begin(now)
        self.components.budgets.apply(shares)
        self._dispatcher.run()
        queued = [command for command in self.commands.values() if command.state == CommandState.QUEUED]
        ready = self.components.engines.ready
        demand = self.components.budgets.demand(queued, ready, self.components.traffic.count, now)
        self._call.results.append(demand)
        return self._call.results

    def apply_policy(self, now: int, terms: "DecisionTerms", gate: PolicyGate) -> list[Result]:
        """Apply a policy of the fleet: weights from the next round on, the rest from the next attempt on."""
        self._call.begin(now)
        self.components.queue.apply_weights(terms.weights)
        self.components.policy.apply(gate, terms.priorities)
        self.components.grants.max_mb_by_profile = terms.grants_mb
        self.components.retries.max_attempts_by_profile = terms.max_attempts
        return self._dispatcher.run()

    def answer_began(
        self,
        now: int,  # noqa: ARG002  every call takes the time
        command_id: int,
        attempt: int,
    ) -> list[Result]:
        """Record that the driver has begun to pass an attempt's answer on: no other attempt may follow."""
        command = self._lifecycle.with_attempt(command_id, attempt, (CommandState.DISPATCHED,))
        if command:
            self._lifecycle.change_state(command, CommandState.STREAMING)
        return []

    def attempt_status(
        self, now: int, command_id: int, attempt: int, kind: StatusKind, value: float
    ) -> list[Result]:
        """Handle a status note on an open attempt."""
        command = self.commands.get(command_id)
        if command is None:
            return []
        is_newest = attempt == command.attempts - 1
        is_open = command.state == CommandState.DISPATCHED and is_newest
        if is_open and kind == StatusKind.PROGRESS:
            command.progress = max(value, MIN_PROGRESS)
        elif is_newest and kind == StatusKind.WAITING and value >= MIN_LOAD_WAIT_CODE and command.engine:
            # Another gateway may have sent the load, in which case this note is the only sign of it.
            self.components.placement.locks.lock(command.engine, command.dataset, now + LOAD_LOCK_US, now)
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
        """Record that an attempt has ended.

        is_closed: the command has its final answer, or its client has left. cost: work of the attempt
        (core-us), need_mb: its memory; 0: unknown. report: the engine's load report, empty if there is none.
        """
        self._call.begin(now)
        command = self._lifecycle.with_attempt(command_id, attempt, OPEN_ATTEMPT_STATES)
        if command is None:
            return self._call.results
        engine = cast("Engine", command.engine)  # an open attempt has one
        needs_no_final_answer = command.state in (CommandState.ORPHANED, CommandState.STREAMING)
        self._release_claims(command, outcome)
        self.components.loads.record(engine, report, outcome, now)
        self.components.outcomes.record(command, engine, outcome, latency_us, cost, need_mb, now)
        if outcome == Outcome.ERROR:
            command.admitted_at = 0
        if outcome not in NEVER_RAN:
            command.mark_may_have_run()
        self.components.key_order.record_outcome(command, outcome, now)
        if is_closed or needs_no_final_answer or outcome == Outcome.ANSWERED:
            self._lifecycle.change_state(command, CommandState.ENDED)
        elif self._may_try_again(command, engine, outcome):
            self._lifecycle.change_state(command, CommandState.QUEUED)
        else:
            self._lifecycle.finish(command)
        return self._dispatcher.run()

    def client_left(self, now: int, command_id: int) -> list[Result]:
        """Record that the client has left; an attempt that is open is cancelled, if engines support that."""
        self._call.begin(now)
        command = self.commands.get(command_id)
        if command and command.state == CommandState.DISPATCHED and self.agreement.supports_cancel:
            self._call.results.append(CancelAttempt(command_id, command.attempts - 1))
        if command and command.state != CommandState.ORPHANED:
            self.components.traffic.withdraw_arrival()
            command.admitted_at = 0
            is_waiting = command.state in WAITING_STATES
            self._lifecycle.change_state(command, CommandState.ENDED if is_waiting else CommandState.ORPHANED)
        return self._dispatcher.run()

    def abandon(self, now: int, command_id: int) -> list[Result]:
        """Give a command its final answer now; if an attempt is open, the driver has to end it."""
        self._call.begin(now)
        command = self.commands.get(command_id)
        if command is None:
            return self._call.results
        if command.state in WAITING_STATES:
            self._lifecycle.finish(command)
        elif command.state in (CommandState.DISPATCHED, CommandState.CANCELLING):
            command.mark_may_have_run()
            self._lifecycle.finish(command, CommandState.ORPHANED)
        return self._call.results

    def timer_fired(self, now: int, token: int) -> list[Result]:
        """Handle a timer: run the reviews that are due, and try again to dispatch queued commands."""
        self._call.begin(now)
        self.components.reviews.timer_fired(token)
        return self._dispatcher.run()

    def _release_claims(self, command: Command, outcome: Outcome) -> None:
        """Release what an ended attempt had acquired from the fleet's budgets; it may still be running."""
        for share, amount in command.attempt_claims:
            share.release(amount, outcome not in UNKNOWN_END)
        command.attempt_claims = ()

    def _may_try_again(self, command: Command, engine: Engine, outcome: Outcome) -> bool:
        """Whether another attempt may follow one that ended with this outcome on this engine.

        If an attempt on a second engine ends with an error too, the fault is taken to be in the command, as
        sent by a misbehaving client.
        """
        now = self._call.now
        if now >= command.last_start_at or not self.components.retries.may_retry(command, now):
            return False
        return outcome != Outcome.ERROR or engine is command.first_run_engine

    def _forget_removed_engines(self) -> None:
        """Forget removed engines to which no command and no attempt that may still run refers."""
        if not self.components.engines.has_removed():
            return
        in_use = self._lifecycle.engines_in_use()
        in_use.update(attempt.engine for attempt in self.components.thread_use.timed_out)
        for engine in self.components.engines.forget_removed(self._call.now, in_use):
            self.components.limits.stop_sampling(engine)
            self.components.health.forget(engine)
            self.components.placement.locks.forget(engine)
