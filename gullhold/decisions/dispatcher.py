"""Runs the reviews that are due, then dispatches queued commands in turn while there is capacity."""

from typing import cast

from gullhold.decisions.attempt_review import Verdict
from gullhold.decisions.command import WAITING_STATES, Command, CommandState
from gullhold.decisions.command_lifecycle import CommandLifecycle
from gullhold.decisions.components import Components
from gullhold.decisions.decision_call import DecisionCall
from gullhold.decisions.engine import Engine
from gullhold.decisions.fair_queue import CommandHeap
from gullhold.interface import Agreement, CancelAttempt, Dispatch, Result, SetGrantAndPriority, StartTimer


class Dispatcher:
    """Dispatches queued commands: the last step of each call that may change what can be dispatched."""

    def __init__(
        self, agreement: Agreement, components: Components, lifecycle: CommandLifecycle, call: DecisionCall
    ) -> None:
        self._sends_grant_and_priority = agreement.honors_grants or agreement.honors_priority
        self._call = call
        self._lifecycle = lifecycle
        self._attempt_review = components.attempt_review
        self._budgets = components.budgets
        self._estimates = components.estimates
        self._grants = components.grants
        self._health = components.health
        self._placement = components.placement
        self._policy = components.policy
        self._queue = components.queue
        self._retries = components.retries
        self._reviews = components.reviews
        self._slow_start = components.slow_start
        self._thread_use = components.thread_use

    def run(self) -> list[Result]:
        """Run due reviews, then dispatch queued commands while there is capacity; return the call's results.

        Due reviews are run on every call, not only when their timer fires: after a pause of the process the
        timer may be the last of the pending events.
        """
        now = self._call.now
        while due := self._reviews.pop_due(now):
            self._review(*due)
        self._thread_use.release_timed_out(now)
        self._placement.begin_dispatching()
        while self._policy.may_dispatch():
            tenant = self._dispatch_next()
            if tenant is None:
                break
            self._queue.record_dispatch(tenant)
        timer_at = self._reviews.next_timer(now, bool(self._queue.by_tenant))
        if timer_at is not None:
            self._call.results.append(StartTimer(timer_at - now, timer_at))
        return self._call.results

    def _dispatch_next(self) -> int | None:
        """Dispatch one command; return its tenant, None if no command can be dispatched."""
        for tenant in self._queue.tenants_in_turn():
            if self._dispatch_from(tenant):
                return tenant
        return None

    def _dispatch_from(self, tenant: int) -> bool:
        """Dispatch the first command of one of the tenant's queues; return whether one was dispatched."""
        is_dispatched = False
        for heap in self._queue.queues_of(tenant):
            if self._dispatch_first(heap):
                is_dispatched = True
                break
        self._queue.drop_if_empty(tenant)
        return is_dispatched

    def _dispatch_first(self, heap: CommandHeap) -> bool:
        """Dispatch the first command of a queue, if an engine may take it; return whether one did."""
        command = self._queue.first(heap)
        if command is None or not self._retries.may_start(command, self._call.now):
            return False
        engine = self._placement.choose(command, self._call.now)
        if engine is None:
            return False
        self._queue.pop(heap)
        self._dispatch(command, engine)
        return True

    def _dispatch(self, command: Command, engine: Engine) -> None:
        """Start an attempt of the command on the engine."""
        now = self._call.now
        self._acquire_claims(command, engine)
        if self._sends_grant_and_priority:
            grant_mb = self._grants.grant_mb(command, engine)
            self._call.results.append(
                SetGrantAndPriority(command.id, grant_mb, self._policy.priority(command))
            )
        if self._slow_start.is_warming(engine, now):
            self._slow_start.record_dispatch(engine, command.work, now)
        run_us = self._estimates.run_us(command)
        if command.profile.loads_dataset:
            self._placement.locks.lock(engine, command.dataset, int(now + run_us), now)
        self._retries.record_attempt(command, now)
        command.begin_attempt(engine, now)
        self._lifecycle.change_state(command, CommandState.DISPATCHED)
        send_until = self._retries.send_until(command)
        self._call.results.append(Dispatch(command.id, engine.id, command.last_start_at, send_until))
        if command.is_idempotent:
            self._reviews.add(self._attempt_review.first_review_at(run_us, now), command)

    def _acquire_claims(self, command: Command, engine: Engine) -> None:
        """Acquire what the attempt needs from the fleet's budgets."""
        if not self._budgets.is_active:
            return
        command.attempt_claims = self._budgets.claims(command, engine, self._call.now)
        for share, amount in command.attempt_claims:
            share.acquire(amount)

    def _review(self, command: Command, attempts: int) -> None:
        """Review a command. attempts: the number of its attempts when the review was scheduled."""
        if command.state in WAITING_STATES:
            self._review_waiting(command)
        elif command.state == CommandState.DISPATCHED and attempts == command.attempts:
            self._review_attempt(command)

    def _review_waiting(self, command: Command) -> None:
        """Finish a waiting command that is out of time, or queue it again with its lower benefit."""
        now = self._call.now
        is_worthless = now + self._estimates.run_us(command) > command.worthwhile_until
        if is_worthless or now >= command.last_start_at or not self._retries.may_retry(command, now):
            self._lifecycle.finish(command)
        elif command.state == CommandState.QUEUED:
            self._lifecycle.enqueue(command)

    def _review_attempt(self, command: Command) -> None:
        """Review an open attempt, and cancel it or mark it as stalled if it is far slower than usual."""
        now = self._call.now
        match self._attempt_review.verdict(command, now):
            case Verdict.CANCEL:
                self._retries.spend_cancel_credit(command)
                self._call.results.append(CancelAttempt(command.id, command.attempts - 1))
                self._lifecycle.change_state(command, CommandState.CANCELLING)
            case Verdict.STALLED:
                self._mark_stalled(command)
                self._reviews.add(self._attempt_review.next_review_at(command, now), command)
            case Verdict.REVIEW_AGAIN:
                self._reviews.add(self._attempt_review.next_review_at(command, now), command)
            case Verdict.LEAVE_ALONE:
                pass

    def _mark_stalled(self, command: Command) -> None:
        if not command.is_stalled:
            command.is_stalled = True
            self._health.count_stalled(cast("Engine", command.engine), 1)
