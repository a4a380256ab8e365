"""Calls to the decision module, and how their results are carried out."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from gullhold.interface import (
    CancelAttempt,
    Dispatch,
    Fail,
    LogLine,
    Outcome,
    ReportDemand,
    Result,
    SetGrantAndPriority,
    Shed,
    StartTimer,
)
from gullhold.net import engine_protocol

if TYPE_CHECKING:
    from gullhold.net.core import Core
    from gullhold.net.pending_requests import PendingRequest
    from gullhold.net.timer_queue import Timer


class Decisions:
    """Calls the decision module and carries out the results. On the core's thread only."""

    def __init__(self, core: "Core") -> None:
        self.core = core
        self._timer: Timer | None = None  # of the module, which waits for its latest one alone

    def call(
        self, pending: "PendingRequest | None", method: Callable[..., list[Result]], *args: object
    ) -> None:
        """Call a method of the module; if it raises, the request of this call is answered as failed."""
        core = self.core
        core.gateway.results = []  # if the call raises, this holds only its own results
        try:
            results = method(core.now, *args)
        # A request that makes the module raise must not affect the others.
        except Exception:  # noqa: BLE001  a fault of the module fails one request, not the event
            core.counters.add("decision_faults")
            logger.exception("decisions failed method={}", method.__name__)
            results = list(core.gateway.results)  # those made before the exception are carried out
            if pending and pending.client and not pending.attempt:
                core.defer(core.requests.force_answer, pending)
        for result in results:
            self._carry_out(result)

    def _carry_out(self, result: Result) -> None:
        core = self.core
        match result:
            case Dispatch():
                core.attempts.start(result)
            case StartTimer():
                self._start_timer(result)
            case SetGrantAndPriority():
                self._set_terms(result)
            case CancelAttempt():
                self._cancel_attempt(result)
            case Shed():
                core.requests.answer_shed(result.command, result.retry_after_us)
            case Fail():
                core.requests.answer_failed(result.command)
            case LogLine():
                logger.info("decisions: {}", result.text)
            case ReportDemand():
                core.report_demand(result.demands)
            case _:
                raise TypeError(f"unknown result of the decision module: {result!r}")

    def _start_timer(self, timer: StartTimer) -> None:
        """Set the module's timer in place of the one before, for whose token it no longer waits."""
        core = self.core
        core.cancel_timer(self._timer)
        due_at_us = core.now + timer.delay_us
        self._timer = core.call_later(due_at_us, self.call, None, core.gateway.timer_fired, timer.token)

    def _set_terms(self, terms: SetGrantAndPriority) -> None:
        pending = self.core.requests.by_number.get(terms.command)
        if pending is None:
            return
        attempt = pending.attempt
        is_priority_changed = terms.priority != pending.priority
        if attempt and attempt.connection and is_priority_changed and self.core.agreement.honors_priority:
            priority = b"%d" % terms.priority
            self.core.pool.send_control(
                attempt.connection, engine_protocol.RENICE, pending.request.transaction_id, priority
            )
        pending.grant_mb = terms.grant_mb
        pending.priority = terms.priority

    def _cancel_attempt(self, cancel: CancelAttempt) -> None:
        pending = self.core.requests.by_number.get(cancel.command)
        if pending and pending.attempt and pending.attempt.number == cancel.attempt:
            self.core.attempts.abandon(pending.attempt, Outcome.CANCELLED)
