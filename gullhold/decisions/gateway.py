"""The decisions of one gateway: joins the parts and turns calls into results.

A driver makes one Gateway(seed, agreement, now) and calls its public methods, each with the time in whole
microseconds. gullhold/interface.py defines the Agreement and the results that return.
"""

from collections.abc import Iterable, Mapping, Sequence
from random import Random
from typing import NamedTuple

from gullhold.decisions.attempt_review import AttemptReview, Verdict
from gullhold.decisions.command import OPEN_ATTEMPT_STATES, WAITING_STATES, Command, CommandState
from gullhold.decisions.concurrency_limit import ConcurrencyLimit
from gullhold.decisions.engine import Engine
from gullhold.decisions.engine_health import OVERLOADED_US, EngineHealth
from gullhold.decisions.engine_registry import EngineRegistry
from gullhold.decisions.estimators import Estimates
from gullhold.decisions.fair_queue import Entry, FairQueue
from gullhold.decisions.fleet_budgets import FleetBudgets, ShareLookup
from gullhold.decisions.key_order import UNKNOWN_END, KeyOrder
from gullhold.decisions.load_report import LoadReports
from gullhold.decisions.memory_grants import MemoryGrants
from gullhold.decisions.outcome_recorder import OutcomeRecorder
from gullhold.decisions.placement import Placement
from gullhold.decisions.retry_policy import MARGIN_US, RetryPolicy
from gullhold.decisions.review_schedule import ReviewSchedule
from gullhold.decisions.slow_start import SlowStart
from gullhold.decisions.thread_use import ThreadUse
from gullhold.decisions.traffic import TrafficMeter
from gullhold.interface import (
    NEVER_RAN,
    Agreement,
    CancelAttempt,
    Dispatch,
    EngineEntry,
    Fail,
    Outcome,
    PolicyGate,
    Result,
    SetTerms,
    Shed,
    StartTimer,
    StatusKind,
)

SHORT_TARGETS = 2.5  # times the shortest latency objective that a short command is allowed in all
PROGRESS_LEAST = 0.01  # share done that a report of less counts as
LOAD_WAIT_LEAST = 2  # value of a WAITING status from which the attempt waits for a load of its data set
SHORT_PRIORITY = 3  # where the policy sets none
LONG_PRIORITY = 1


class Census(NamedTuple):
    """Counts of what the gateway holds, for tests and simulations: all are 0 once nothing is open."""

    commands: int  # that are queued or have an open attempt
    ordered_keys: int
    queued_tenants: int
    engine_threads: int  # sum over the engines
    engine_attempts: int
    threads: int  # the same, as the limit over the fleet counts them
    attempts_running_on: int  # that timed out and may still run


class Gateway:
    """The decisions of one gateway."""

    def __init__(self, seed: int, agreement: Agreement, now: int) -> None:
        draw = Random(seed).random
        self.agreement = agreement
        self.now = now
        self.results: list[Result] = []  # of the call that runs, also after it has raised an exception
        self.commands: dict[int, Command] = {}
        self.submitted = 0  # commands so far
        self.policy_gate: PolicyGate | None = None
        self.priorities: Mapping[int, int] = {}  # by profile, where the policy sets it
        shortest_target_us = min([profile.target_us for profile in agreement.profiles], default=0)
        self._short_us = SHORT_TARGETS * shortest_target_us
        self.engines = EngineRegistry(agreement)
        self.estimates = Estimates(agreement)
        self.health = EngineHealth(self.engines.ready, self.estimates)
        self.loads = LoadReports(agreement, self.health)
        self.traffic = TrafficMeter(agreement, now)
        self.slow_start = SlowStart(agreement, now, draw)
        self.grants = MemoryGrants(agreement, self.estimates)
        self.budgets = FleetBudgets(self.slow_start, self.grants)
        self.thread_use = ThreadUse()
        self.limits = ConcurrencyLimit(
            agreement,
            self.engines,
            self.estimates,
            self.health,
            self.loads,
            self.traffic,
            self.budgets,
            self.thread_use,
        )
        self.key_order = KeyOrder(agreement.key_settle_us)
        self.retries = RetryPolicy(agreement, self.budgets, self.key_order)
        self.queue = FairQueue(agreement)
        self.placement = Placement(
            agreement,
            draw,
            self.engines,
            self.health,
            self.loads,
            self.limits,
            self.slow_start,
            self.budgets,
        )
        self.reviews = ReviewSchedule()
        self._attempt_review = AttemptReview(agreement, self.estimates, self.retries)
        self._outcomes = OutcomeRecorder(
            agreement,
            self.estimates,
            self.health,
            self.limits,
            self.thread_use,
            self.queue,
            self.placement,
        )

    # Calls of the driver.

    def update_engines(self, now: int, entries: Iterable[EngineEntry], full: bool) -> list[Result]:
        """The endpoint list changed; full: engines that are not among the entries are removed."""
        self._begin_call(now)
        listed = set()
        for entry in entries:
            engine = self.engines.update(entry)
            listed.add(engine)
            self.limits.stop_sampling(engine)
            self.health.note_listed(engine)
        if full:
            self.engines.remove_all_but(listed)
        self._forget_removed_engines()
        self.placement.locks.forget_released(now)
        self.key_order.forget_settled(now)
        return self._dispatch_queued()

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
        self._begin_call(now)
        if command_id in self.commands:
            return []
        if profile_index >= len(self.agreement.profiles):
            return [Fail(command_id)]
        self.traffic.record_arrival(now)
        command = self._new_command(
            command_id, profile_index, tenant, key, timeout_at, work, need_mb, dataset
        )
        self.commands[command_id] = command
        self.placement.popularity.record(dataset)
        if self.key_order.add(command):
            self._change_state(command, CommandState.QUEUED)
        self.reviews.add_last_start(command)
        # What can't end in time at the best pace seen is shed, not sent: guards against clients that give up
        # early, whose attempts would only take threads. Harm: one that finds all it reads warm.
        may_end_in_time = now + self.estimates.best_run_us(command) < command.last_start_at
        if may_end_in_time and self._admit(command):
            return self._dispatch_queued()
        self._finish(command)
        return self.results

    def apply_budgets(self, now: int, shares: ShareLookup | None) -> list[Result]:
        """Budgets of the fleet bind, in place of even shares; called again when a share has changed.

        shares(budget, subject) is our BudgetShare; None: the fleet has no such budget, and we go on as
        without. The last result tells what queued commands lack.
        """
        self._begin_call(now)
        self.budgets.apply(shares)
        self._dispatch_queued()
        queued = [command for command in self.commands.values() if command.state == CommandState.QUEUED]
        self.results.append(self.budgets.demand(queued, self.engines.ready, self.traffic.count, now))
        return self.results

    def apply_policy(
        self,
        now: int,
        terms: tuple[Sequence[float], Mapping[int, int], Mapping[int, float], Mapping[int, int]],
        gate: PolicyGate,
    ) -> list[Result]:
        """A policy of the fleet: shares hold from the next round on, all else from the next attempt.

        terms: weights of tenants, then by profile priorities, most MB of a grant and most attempts.
        """
        self._begin_call(now)
        self.policy_gate = gate
        weights, priorities, grants_mb, attempts_most = terms
        self.queue.apply_weights(weights)
        self.priorities = priorities
        self.grants.most_mb = grants_mb
        self.retries.attempts_most = attempts_most
        return self._dispatch_queued()

    def answer_began(
        self,
        now: int,  # noqa: ARG002  as all calls have it
        command_id: int,
        attempt: int,
    ) -> list[Result]:
        """An attempt's answer has begun: it now belongs to the client."""
        command = self._command_with_attempt(command_id, attempt, (CommandState.DISPATCHED,))
        if command:
            self._change_state(command, CommandState.STREAMING)
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
            command.progress = max(value, PROGRESS_LEAST)
        elif kind == StatusKind.WAITING and value >= LOAD_WAIT_LEAST and command.engine:
            # The load of another gateway, which we would not know of.
            self.placement.locks.lock(command.engine, command.dataset, now + OVERLOADED_US)
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
        self._begin_call(now)
        command = self._command_with_attempt(command_id, attempt, OPEN_ATTEMPT_STATES)
        if command is None:
            return self.results
        engine = command.engine
        state = command.state
        for share, amount in command.attempt_claims:  # what was given up may run on for a moment
            share.release(amount, outcome not in UNKNOWN_END)
        command.attempt_claims = ()
        self.loads.record(engine, report, outcome, now)
        self._outcomes.record(command, engine, outcome, latency_us, cost, need_mb, now)
        if outcome == Outcome.ERROR:
            command.admitted_at = 0
        if outcome not in NEVER_RAN:
            command.mark_run()
        self.key_order.record_outcome(command, outcome, now)
        if (
            is_closed
            or outcome == Outcome.ANSWERED
            or state in (CommandState.ORPHANED, CommandState.STREAMING)
        ):
            self._change_state(command, CommandState.ENDED)
        elif self._may_go_on(command, engine, outcome):
            self._change_state(command, CommandState.QUEUED)
        else:
            self._finish(command)
        return self._dispatch_queued()

    def client_left(self, now: int, command_id: int) -> list[Result]:
        """The client left; an attempt that is still open is cancelled."""
        self._begin_call(now)
        command = self.commands.get(command_id)
        if command and command.state == CommandState.DISPATCHED and self.agreement.supports_cancel:
            self.results.append(CancelAttempt(command_id, command.attempts - 1))
        if command and command.state != CommandState.ORPHANED:
            self.traffic.withdraw_arrival()
            command.admitted_at = 0
            is_waiting = command.state in WAITING_STATES
            self._change_state(command, CommandState.ENDED if is_waiting else CommandState.ORPHANED)
        return self._dispatch_queued()

    def abandon(self, now: int, command_id: int) -> list[Result]:
        """The driver must end this command now: its final answer, also while an attempt is open."""
        self._begin_call(now)
        command = self.commands.get(command_id)
        if command is None:
            return self.results
        if command.state in WAITING_STATES:
            self._finish(command)
        elif command.state in (CommandState.DISPATCHED, CommandState.CANCELLING):
            command.mark_run()
            self._finish(command, CommandState.ORPHANED)
        return self.results

    def timer_fired(self, now: int, token: int) -> list[Result]:
        """A moment at which something is due, or at which queued commands are to be looked at."""
        self._begin_call(now)
        self.reviews.timer_fired(token)
        return self._dispatch_queued()

    def census(self) -> Census:
        """Counts of what the gateway holds."""
        return Census(
            commands=len(self.commands),
            ordered_keys=len(self.key_order.by_key),
            queued_tenants=len(self.queue.by_tenant),
            engine_threads=sum(engine.threads for engine in self.engines.by_slot),
            engine_attempts=sum(engine.attempts for engine in self.engines.by_slot),
            threads=self.thread_use.total,
            attempts_running_on=len(self.thread_use.running_on),
        )

    # Commands.

    def _begin_call(self, now: int) -> None:
        self.now = now
        self.results = []

    def _command_with_attempt(
        self, command_id: int, attempt: int, states: tuple[CommandState, ...]
    ) -> Command | None:
        """The command if this is its newest attempt and its state is one of these."""
        command = self.commands.get(command_id)
        if command is None or attempt != command.attempts - 1 or command.state not in states:
            return None
        return command

    def _new_command(
        self,
        command_id: int,
        profile_index: int,
        tenant: int,
        key: int,
        timeout_at: int,
        stated_work: float,
        need_mb: float,
        dataset: int,
    ) -> Command:
        profile = self.agreement.profiles[profile_index]
        if not self.agreement.tenants:
            tenant = profile_index
        self.submitted += 1
        work = self.estimates.command_work(profile_index, stated_work)
        allowed_us = profile.target_us + profile.target_stretch * work / profile.threads
        target_at = int(self.now + allowed_us)
        last_start_at = timeout_at - MARGIN_US
        return Command(
            id=command_id,
            profile_index=profile_index,
            profile=profile,
            tenant=tenant if tenant < len(self.queue.weights) else 0,
            key=key,
            need_mb=need_mb if 0 < need_mb < float("inf") else 0.0,
            dataset=dataset,
            order=self.submitted,
            work=work,
            admitted_at=self.now,
            target_at=target_at,
            is_short=allowed_us <= self._short_us,
            last_start_at=last_start_at,
            worthwhile_until=last_start_at if profile.late_benefit else target_at,
            threads=profile.threads,
        )

    def _admit(self, command: Command) -> bool:
        """Whether the policy and the fleet's budgets admit the command."""
        is_open = not (self.policy_gate and self.policy_gate.rejects_new())
        return self.budgets.admit(command, is_open)

    def _change_state(self, command: Command, state: CommandState) -> None:
        """Every change of a command's state, and what follows from it in the parts."""
        was_waiting = command.state in WAITING_STATES
        command.change_state(state)
        if state == CommandState.DISPATCHED:
            self.thread_use.occupy(command.engine, command.threads)
        elif state in (CommandState.QUEUED, CommandState.ENDED) and not was_waiting:
            self._close_attempt(command)
        if state == CommandState.QUEUED:
            self._enqueue(command)
        elif state == CommandState.ENDED:
            self._forget(command)

    def _close_attempt(self, command: Command) -> None:
        """The command's attempt is open no more."""
        self.thread_use.vacate(command.engine, command.threads)
        if command.is_stalled:
            command.is_stalled = False
            self.health.count_stalled(command.engine, -1)

    def _enqueue(self, command: Command) -> None:
        """Queue a command and plan the reviews at which it is out of time."""
        run_us = self.estimates.run_us(command)
        is_late = self.now > command.target_at - run_us
        profile = command.profile
        if command.may_have_run and command.is_keyed:  # it must not wait past its deduplication window
            self.reviews.add(command.deduplication_until - MARGIN_US, command)
        latest_start_at = int((command.last_start_at if is_late else command.target_at) - run_us)
        self.reviews.add(max(self.now, latest_start_at) + 1, command)
        self.queue.push(command, profile.benefit * (profile.late_benefit if is_late else 1.0))

    def _forget(self, command: Command) -> None:
        """A command has ended: what it held is free, and a command that it blocked is queued."""
        for share in command.admission_shares:
            share.release(1)
        self.retries.record_ended(command)
        del self.commands[command.id]
        unblocked = self.key_order.remove(command)
        if unblocked:
            self._change_state(unblocked, CommandState.QUEUED)

    def _may_go_on(self, command: Command, engine: Engine, outcome: Outcome) -> bool:
        """Whether a further attempt may follow one that ended so on this engine.

        An error on a second engine too is the command's fault, as what bad clients ask.
        """
        if self.now >= command.last_start_at or not self.retries.may_retry(command, self.now):
            return False
        return outcome != Outcome.ERROR or engine is command.first_run_engine

    def _finish(self, command: Command, state: CommandState = CommandState.ENDED) -> None:
        """The final answer: shed where a retry does no harm, else failed."""
        if self.retries.may_shed(command, self.now):
            self.results.append(Shed(command.id, self.agreement.max_retry_after_us))
        else:
            self.results.append(Fail(command.id))
        self._change_state(command, state)

    # Reviews and dispatching.

    def _dispatch_queued(self) -> list[Result]:
        """What is due first (after a stall its timer may be last); then queued commands while there is room.

        Ends each call that may have changed what can be dispatched; returns its results.
        """
        while due := self.reviews.pop_due(self.now):
            self._review(*due)
        self.thread_use.release_ended(self.now)
        self.placement.begin_dispatching()
        while not self.policy_gate or self.policy_gate.may_dispatch():
            tenant = self._dispatch_next()
            if tenant is None:
                break
            self.queue.record_dispatch(tenant)
        timer_at = self.reviews.next_timer(self.now, bool(self.queue.by_tenant))
        if timer_at is not None:
            self.results.append(StartTimer(timer_at - self.now, timer_at))
        return self.results

    def _dispatch_next(self) -> int | None:
        """Dispatch one command; returns its tenant, None: none can go."""
        for tenant in self.queue.tenants_in_turn():
            if self._dispatch_of_tenant(tenant):
                return tenant
        return None

    def _dispatch_of_tenant(self, tenant: int) -> bool:
        """Dispatch the tenant's best queued command that fits anywhere; whether one went."""
        is_dispatched = False
        for heap in self.queue.queues_of(tenant):
            if self._dispatch_first(heap):
                is_dispatched = True
                break
        self.queue.drop_if_empty(tenant)
        return is_dispatched

    def _dispatch_first(self, heap: list[Entry]) -> bool:
        command = self.queue.first(heap)
        if command is None or not self.retries.may_start(command, self.now):
            return False
        engine = self.placement.choose(command, self.now)
        if engine is None:
            return False
        self.queue.pop(heap)
        self._dispatch(command, engine)
        return True

    def _dispatch(self, command: Command, engine: Engine) -> None:
        """Start an attempt of the command on the engine."""
        now = self.now
        self._acquire_claims(command, engine)
        if self.agreement.honors_grants or self.agreement.honors_priority:
            self.results.append(self._terms(command, engine))
        if self.slow_start.is_warming(engine, now):
            self.slow_start.record_dispatch(engine, command.work, now)
        run_us = self.estimates.run_us(command)
        if command.profile.loads_dataset:
            self.placement.locks.lock(engine, command.dataset, int(now + run_us))
        self.retries.record_attempt(command, now)
        command.engine = engine
        command.sent_at = now
        command.progress = 0.0
        command.attempts += 1
        self._change_state(command, CommandState.DISPATCHED)
        self.results.append(Dispatch(command.id, engine.id, command.last_start_at))
        if command.is_idempotent:
            self.reviews.add(self._attempt_review.first_at(run_us, now), command)

    def _acquire_claims(self, command: Command, engine: Engine) -> None:
        if not self.budgets.is_active:
            return
        command.attempt_claims = self.budgets.claims(command, engine, self.now)
        for share, amount in command.attempt_claims:
            share.acquire(amount)

    def _terms(self, command: Command, engine: Engine) -> SetTerms:
        usual = SHORT_PRIORITY if command.is_short else LONG_PRIORITY
        priority = self.priorities.get(command.profile_index, usual)
        return SetTerms(command.id, self.grants.grant_mb(command, engine), priority)

    def _review(self, command: Command, attempts: int) -> None:
        """A command's review is due; attempts: those that it had when the review was planned."""
        if command.state in WAITING_STATES:
            self._review_waiting(command)
        elif command.state == CommandState.DISPATCHED and attempts == command.attempts:
            self._review_attempt(command)

    def _review_waiting(self, command: Command) -> None:
        """A command whose time is up, or that can't make its latency objective any more."""
        is_too_late = self.now + self.estimates.run_us(command) > command.worthwhile_until
        is_too_late = is_too_late or self.now >= command.last_start_at
        if is_too_late or not self.retries.may_retry(command, self.now):
            self._finish(command)
        elif command.state == CommandState.QUEUED:
            self._enqueue(command)

    def _review_attempt(self, command: Command) -> None:
        """An open attempt that may be far slower than usual."""
        review = self._attempt_review
        match review.verdict(command, self.now):
            case Verdict.CANCEL:
                self.retries.spend_cancel_credit(command)
                self.results.append(CancelAttempt(command.id, command.attempts - 1))
                self._change_state(command, CommandState.CANCELLING)
            case Verdict.STALLED:
                if not command.is_stalled:
                    command.is_stalled = True
                    self.health.count_stalled(command.engine, 1)
                self.reviews.add(review.next_at(command, self.now), command)
            case Verdict.REVIEW_AGAIN:
                self.reviews.add(review.next_at(command, self.now), command)
            case Verdict.LEAVE_ALONE:
                pass

    def _forget_removed_engines(self) -> None:
        """Forget removed engines that no command and no thread refers to."""
        if not self.engines.has_removed():
            return
        in_use: set[Engine | None] = set()
        for command in self.commands.values():
            in_use.add(command.engine)
            in_use.add(command.first_run_engine)
        in_use.update(attempt.engine for attempt in self.thread_use.running_on)
        for engine in self.engines.forget_removed(self.now, in_use):
            self.limits.stop_sampling(engine)
            self.health.forget(engine)
