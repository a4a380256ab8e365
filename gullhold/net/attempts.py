"""Attempts of requests on engines: how they start, end, and are abandoned or cancelled with confirmation."""

from collections.abc import Callable
from math import ceil
from typing import TYPE_CHECKING

from gullhold.interface import NEVER_RAN, Dispatch, Outcome
from gullhold.net import ceil_to_ms, engine_protocol, resp
from gullhold.net.connection_ends import ConnectionEnd
from gullhold.net.engine_connection import Attempt, Confirmation, EngineConnection
from gullhold.net.engine_reply import NO_RESOURCES
from gullhold.net.eventlog import EventKind, LoggedEvent
from gullhold.net.held_attempts import HeldAttempts
from gullhold.net.write_buffer import Rejection, SendConditions

if TYPE_CHECKING:
    from gullhold.net.core import Core
    from gullhold.net.pending_requests import PendingRequest

OUTCOME_TEXTS = {
    Outcome.ANSWERED: "answered",
    Outcome.ERROR: "error",
    Outcome.OVERLOADED: "overloaded",
    Outcome.TIMED_OUT: "timed_out",
    Outcome.CONNECT_FAILED: "connect_failed",
    Outcome.RESET: "reset",
    Outcome.CANCELLED: "cancelled",
    Outcome.NOT_STARTED: "not_started",
}
MIN_TIMEOUT_MS = 1  # smallest time that a fetch states, also if its deadline has passed


class Attempts:
    """Starts and ends attempts. On the core's thread only."""

    def __init__(self, core: "Core") -> None:
        self.core = core
        self.agreement = core.agreement
        self.counters = core.counters
        self.last_confirmation = 0  # number of the last confirmation that was requested
        self.page_bytes = 0  # size of all pages that are kept until their results are complete
        self.held = HeldAttempts(core)

    def start(self, dispatch: Dispatch) -> None:
        """Start an attempt that the decision module has dispatched."""
        core = self.core
        pending = core.requests.by_number.get(dispatch.command)
        if pending is None:
            return
        attempt = Attempt(pending, pending.attempts_started, core.now)
        attempt.engine = dispatch.engine
        attempt.deadline_us = dispatch.deadline_us
        attempt.send_until_us = dispatch.send_until_us
        attempt.fencing_tokens = core.fencing_tokens()
        pending.attempts_started += 1
        if pending.attempt or not pending.client or dispatch.send_until_us <= core.now:
            self._report_never_started(attempt)
            return
        pending.attempt = attempt
        if attempt.number:
            self._log_retry(pending)
        if core.admission_queue:
            core.admission_queue.attempt_sent(dispatch.command)
        self.send(attempt)

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on a connection to its engine."""
        core = self.core
        pending = attempt.pending
        connection = None
        if pending.client and not pending.client.has_left:  # else the event of its end is about to be handled
            connection = core.pool.connection_for(attempt.engine, pending.request.transaction_id)
        if connection is None:
            # No descriptor or thread was left, which is not the engine's fault. Reported only after the
            # connect timeout, so that the same request is not dispatched again and again without a pause.
            reported_at_us = min(core.now + self.agreement.connect_timeout_us, attempt.deadline_us)
            self.call_later(attempt, reported_at_us, self.end, attempt, Outcome.NOT_STARTED)
            return
        self._send_on(attempt, connection)

    def not_sent(self, attempt: Attempt) -> None:
        """Handle an attempt that no write buffer holds, as what allowed it does not hold any more.

        It is held if that may only be because something of its client is not handled yet.
        """
        if attempt.pending.attempt is not attempt:
            return
        if attempt.end_offset > 0:  # it had waited in a write buffer; if it is sent later, it counts then
            self.counters.add("attempts_withdrawn")
            self.counters.add("attempts_sent", -1)
            attempt.end_offset = 0
        connection = attempt.connection
        if connection and connection.open_attempts.get(attempt.pending.request.transaction_id) is attempt:
            del connection.open_attempts[attempt.pending.request.transaction_id]
        attempt.connection = None
        attempt.is_discarded = False
        if attempt.pending.client and self.core.pool.is_dispatch_valid(attempt):
            self.held.hold(attempt)
        else:
            self.end(attempt, Outcome.NOT_STARTED)

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt and report its outcome to the decision module; further calls do nothing."""
        core = self.core
        pending = attempt.pending
        connection = attempt.connection
        if pending.attempt is not attempt:
            return
        pending.attempt = None
        if connection and connection.open_attempts.get(pending.request.transaction_id) is attempt:
            del connection.open_attempts[pending.request.transaction_id]
            connection.used_at = core.now
        self.page_bytes -= attempt.result_bytes
        for timer in attempt.timers:
            core.cancel_timer(timer)
        attempt.release()
        pending.last_outcome = OUTCOME_TEXTS[outcome]
        self.counters.add(f"attempts_ended_{pending.last_outcome}")
        is_answered = pending.client is None
        if core.admission_queue:
            core.admission_queue.attempt_ended(
                core.now, pending.number, attempt.resources.work_us, outcome not in NEVER_RAN
            )
        if is_answered:
            core.requests.forget(pending)
        core.decisions.call(
            pending,
            core.gateway.attempt_ended,
            pending.number,
            attempt.number,
            outcome,
            is_answered,
            core.now - attempt.sent_at,
            *attempt.resources,
        )

    def abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        """Abandon an attempt: withdraw it if no byte of it was sent, else abort it at its engine.

        Guards against two attempts of a request running at once: the abort and the fetch of the retry travel
        on different connections. So if a retry may follow, the end is reported to the decision module only
        once an `alive` sent after the abort was answered; no late answer can arrive after that either.
        """
        connection = attempt.connection
        transaction_id = attempt.pending.request.transaction_id
        self._log_abandoned(attempt, outcome)
        if attempt.is_held:
            outcome = Outcome.NOT_STARTED
        if connection and connection.open_attempts.get(transaction_id) is attempt:
            if attempt.is_discarded or connection.write_buffer.withdraw(attempt.message):
                outcome = Outcome.NOT_STARTED
            elif self._needs_confirmation(attempt, outcome):
                if attempt.outcome_once_confirmed is None:
                    self._cancel_with_confirmation(attempt, connection, outcome)
                return
            else:
                self._abort_without_confirmation(attempt, connection)
            del connection.open_attempts[transaction_id]
        self.core.defer(self.end, attempt, outcome)

    def are_pages_over_limit(self) -> bool:
        """Whether the pages of incomplete results exceed the memory that unread answers may use, too."""
        return self.page_bytes > self.core.statement_memory.max_bytes

    def cancel_confirmed(self, connection: EngineConnection, tag: bytes) -> None:
        """Handle a confirmation: the engine has received the abort, and its earlier replies have arrived.

        tag: identifies the confirmation; an unknown one is ignored.
        """
        confirmation = connection.confirmations.pop(tag, None)
        if confirmation is None:
            return
        connection.abandoned_ids.discard(confirmation.transaction_id)
        attempt = confirmation.attempt
        if attempt and attempt.outcome_once_confirmed is not None:
            self.end(attempt, attempt.outcome_once_confirmed)

    def call_later(self, attempt: Attempt, due_at_us: int, call: Callable[..., None], *args: object) -> None:
        """Make this call at a time, in us of the core's clock, unless the attempt has ended by then."""
        attempt.timers.append(self.core.call_later(due_at_us, call, *args))

    def _report_never_started(self, attempt: Attempt) -> None:
        pending = attempt.pending
        self.core.defer(
            self.core.decisions.call,
            pending,
            self.core.gateway.attempt_ended,
            pending.number,
            attempt.number,
            Outcome.NOT_STARTED,
            not pending.client,
            0,  # duration, us
            *NO_RESOURCES,
        )

    def _send_on(self, attempt: Attempt, connection: EngineConnection) -> None:
        core = self.core
        request = attempt.pending.request
        fixed_fields = self._fixed_fields(attempt.pending)

        def encode_fetch(now_us: int) -> bytes:
            fields = [*fixed_fields, (b"w", remaining_ms(now_us, attempt.deadline_us))]
            return resp.encode(
                engine_protocol.FETCH, request.transaction_id, resp.encode_fields(fields), request.statement
            )

        attempt.message = encode_fetch(core.now)
        attempt.connection = connection
        connection.used_at = core.now
        connection.open_attempts[request.transaction_id] = attempt
        # The remaining time is encoded again if the message has to wait: its connection may open late, or the
        # engine may be slow to read the messages before it.
        conditions = SendConditions(
            is_allowed=lambda: core.pool.may_be_sent(connection, attempt),
            reencode=lambda: encode_fetch(core.clock()),
            discarded=lambda: self._discarded(attempt),
        )
        attempt.end_offset = connection.write_buffer.put(attempt.message, conditions)
        if attempt.end_offset < 0:
            self._handle_rejected_write(attempt, connection)
            return
        self.counters.add("attempts_sent")
        self.call_later(attempt, attempt.deadline_us, self._deadline_passed, attempt)
        if attempt.send_until_us < attempt.deadline_us:
            self.call_later(attempt, attempt.send_until_us, self._take_back, attempt)

    def _discarded(self, attempt: Attempt) -> None:
        """From the thread that writes: an attempt that had to wait was not sent."""
        attempt.is_discarded = True
        self.core.post_first(self.not_sent, attempt)

    def _take_back(self, attempt: Attempt) -> None:
        """At the time from which on an attempt must not be sent: prevent that the rest of it is."""
        connection = attempt.connection
        if attempt.pending.attempt is not attempt or connection is None or attempt.is_discarded:
            return
        if connection.write_buffer.withdraw(attempt.message):
            self.not_sent(attempt)
        elif not connection.write_buffer.is_written(attempt.end_offset):
            self.core.pool.drop(connection, ConnectionEnd.PEER_NOT_READING)  # part of the message is sent

    def _handle_rejected_write(self, attempt: Attempt, connection: EngineConnection) -> None:
        """End an attempt whose fetch the write buffer did not accept."""
        if attempt.end_offset == Rejection.NOT_ALLOWED:
            self.core.defer(self.not_sent, attempt)
            return
        connection.is_retired = True
        self.core.defer(self.end, attempt, Outcome.CONNECT_FAILED)

    def _fixed_fields(self, pending: "PendingRequest") -> list[tuple[bytes, bytes]]:
        """Return the fields of a fetch that stay the same however long it waits to be sent."""
        fields = [(b"c", pending.request.profile_name)]
        if pending.request.idempotency_key:
            fields.append((b"i", pending.request.idempotency_key))
        if pending.grant_mb > 0 and self.agreement.honors_grants:
            fields.append((b"mem", b"%d" % ceil(pending.grant_mb)))
        if self.agreement.honors_priority:
            fields.append((b"prio", b"%d" % pending.priority))
        return fields

    def _needs_confirmation(self, attempt: Attempt, outcome: Outcome) -> bool:
        """Whether a retry may follow this attempt, so that its abort must be confirmed first."""
        may_be_retried = outcome in (Outcome.CANCELLED, Outcome.RESET) and attempt.pending.client
        return bool(may_be_retried) and not attempt.pages

    def _cancel_with_confirmation(
        self, attempt: Attempt, connection: EngineConnection, outcome: Outcome
    ) -> None:
        self.last_confirmation += 1
        tag = b"~%d" % self.last_confirmation
        attempt.outcome_once_confirmed = outcome
        attempt.confirmation = Confirmation(attempt)
        connection.confirmations[tag] = attempt.confirmation
        self.core.pool.send_control(connection, engine_protocol.ABORT, attempt.pending.request.transaction_id)
        self.core.pool.send_control(connection, engine_protocol.ALIVE, tag)

    def _abort_without_confirmation(self, attempt: Attempt, connection: EngineConnection) -> None:
        transaction_id = attempt.pending.request.transaction_id
        if attempt.outcome_once_confirmed is None:  # otherwise the abort was sent earlier
            self.core.pool.send_control(
                connection, engine_protocol.DONE if attempt.pages else engine_protocol.ABORT, transaction_id
            )
        connection.abandoned_ids.add(transaction_id)
        if len(connection.abandoned_ids) >= self.agreement.streams_per_connection:
            connection.is_retired = True

    def _deadline_passed(self, attempt: Attempt) -> None:
        if attempt.pending.attempt is attempt:
            self.abandon(attempt, Outcome.TIMED_OUT)

    def _log_retry(self, pending: "PendingRequest") -> None:
        event = LoggedEvent(
            self.core.now,
            EventKind.RETRY,
            pending.last_outcome,
            pending.request.transaction_id,
            old_state="queued",
            new_state="sent",
        )
        self.core.event_log.add(event)

    def _log_abandoned(self, attempt: Attempt, outcome: Outcome) -> None:
        connection = attempt.connection
        event = LoggedEvent(
            self.core.now,
            EventKind.ATTEMPT_ABANDONED,
            OUTCOME_TEXTS[outcome],
            attempt.pending.request.transaction_id,
            f"engine {connection.endpoint.address}" if connection else "",
            "streaming" if attempt.pages else "sent",
            "abandoned",
        )
        self.core.event_log.add(event)


def remaining_ms(now_us: int, deadline_us: int) -> bytes:
    """Return the time until the deadline as a fetch states it, at least MIN_TIMEOUT_MS."""
    return b"%d" % max(MIN_TIMEOUT_MS, ceil_to_ms(deadline_us - now_us))
