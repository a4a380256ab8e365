"""The table of pending requests: each stays until it is settled and has no open attempt."""

from typing import TYPE_CHECKING, NamedTuple, Protocol

from loguru import logger

from gullhold.interface import Outcome
from gullhold.net import ceil_to_ms, connection_ends, counters, thrift
from gullhold.net.client_input import Input
from gullhold.net.connection_ends import ConnectionEnd
from gullhold.net.eventlog import EventKind, LoggedEvent
from gullhold.net.request_reader import Request
from gullhold.net.transaction_ids import AbandonedIds

if TYPE_CHECKING:
    from gullhold.net.core import Core
    from gullhold.net.engine_connection import Attempt
    from gullhold.net.timer_queue import Timer


class PeerAddress(NamedTuple):
    """The remote address of a client: its host, and HOST:PORT, which identifies one connection."""

    host: str
    connection: str


class ClientWriteBuffer(Protocol):
    """The part of a client's write buffer that the core uses."""

    is_finishing: bool

    def finish(self, now: bool = False) -> bool:
        """Accept no more messages, and shut down our side once the buffered ones are written.

        now: discard the buffered messages instead. Returns whether our side is shut down.
        """
        ...


class Client(Protocol):
    """What the core needs of a client: a client connection, or the sender of scheduled commands.

    open_requests: pending requests by sequence id.
    undelivered: sequence ids of requests that were posted to the core, but not processed by it yet.
    interrupted: sequence ids of open requests whose interrupts the core has not processed yet.
    settled_count: number of requests for which an answer was decided, or which were dropped.
    completed_count: number of the settled requests whose answers were passed to put(), or which were dropped.
    has_left: the client has disconnected and no longer waits for answers.
    input: what has arrived from it, which may hold more interrupts or its end.
    """

    peer: PeerAddress
    open_requests: dict[int, "PendingRequest"]
    undelivered: dict[int, bool]
    interrupted: set[int]
    settled_count: int
    completed_count: int
    has_left: bool
    input: Input
    write_buffer: ClientWriteBuffer

    def put(self, message: bytes) -> None:
        """Send one or more complete frames."""
        ...


class PendingRequest:
    """A request with its client and its open attempt, if any.

    number: the command's number in the decision module; client: None once the request is settled.
    """

    __slots__ = (
        "attempt",
        "attempts_started",
        "client",
        "grant_mb",
        "guard_timer",
        "kept_bytes",
        "last_outcome",
        "number",
        "priority",
        "request",
        "sequence_id",
        "timeout_at_us",
    )

    def __init__(
        self, number: int, client: Client, sequence_id: int, request: Request, timeout_at_us: int
    ) -> None:
        self.number = number
        self.client: Client | None = client
        self.sequence_id = sequence_id
        self.request = request
        self.timeout_at_us = timeout_at_us
        self.grant_mb = 0.0
        self.priority = 1
        self.attempt: Attempt | None = None
        self.attempts_started = 0
        self.kept_bytes = request.kept_bytes  # reserved in the statement memory
        self.guard_timer: Timer | None = None  # at the client timeout, until the request is settled
        self.last_outcome = ""  # outcome of the last attempt, as text for the event log


class PendingRequests:
    """The pending requests of all clients. Settles each exactly once: answers it, or drops it.

    On the core's thread only, except for is_over_open_limit().
    """

    def __init__(self, core: "Core") -> None:
        self.core = core
        self.counters = core.counters
        self.by_number: dict[int, PendingRequest] = {}
        self.by_transaction_id: dict[bytes, PendingRequest] = {}
        longest_timeout_us = max((each.timeout_us for each in core.agreement.profiles), default=0)
        self.abandoned_ids = AbandonedIds(longest_timeout_us)
        self.last_number = 0
        self.settled_at_us = 0  # when a request was last settled

    def execute(self, client: Client, sequence_id: int, request: Request, received_at_us: int) -> None:
        """Begin to execute a client's request, or answer it at once if it is rejected.

        received_at_us: when it was read; its client timeout counts from then on.
        """
        self.last_number += 1
        pending = PendingRequest(
            self.last_number, client, sequence_id, request, received_at_us + request.timeout_us
        )
        # Before the pop below: the reader thread must find an interrupted request in undelivered or here.
        client.open_requests[sequence_id] = pending
        # Drop it if it was interrupted meanwhile, if its client has left, or if our side is shut down: the
        # client then sends the request again to another gateway.
        if (
            client.undelivered.pop(sequence_id, None) is None
            or client.has_left
            or client.write_buffer.is_finishing
        ):
            self.counters.add("interrupted")
            self._settle(pending)
            client.completed_count += 1
        elif request.transaction_id in self.by_transaction_id:
            self.counters.add(counters.FAILED)
            self.answer(pending, thrift.encode_fault(sequence_id, "this txn is open already"))
        elif self.abandoned_ids.holds(request.transaction_id, self.core.now):
            self.counters.add(counters.FAILED)
            self.answer(pending, thrift.encode_fault(sequence_id, "this txn may have run already"))
        elif self.core.is_rejecting or self.is_over_open_limit():
            self.counters.add("rejected_open_limit")
            self.answer(pending, thrift.encode_shed(sequence_id, {}))
        else:
            self._admit(pending)

    def interrupt(self, client: Client, sequence_id: int) -> None:
        """Drop a request that its client has interrupted, if it is still open."""
        pending = client.open_requests.get(sequence_id)
        if pending:
            self.counters.add("interrupted")
            self._abandon([pending])

    def client_ended(self, client: Client, end: ConnectionEnd, detail: str) -> None:
        """Handle the end of a client's connection.

        A client that closed its connection, or whose connection broke, has left: its requests are dropped.
        A client that sent malformed bytes still waits: each of its requests is answered.
        """
        self.counters.add(f"client_connections_ended_{end.value}")
        is_unusual = bool(client.open_requests) and end in connection_ends.CAUSED_BY_GATEWAY
        event = LoggedEvent(
            self.core.now,
            EventKind.CONNECTION_CLOSED,
            end.value,
            connection=f"client {client.peer.connection}",
            old_state="open",
            new_state="closed",
            open=len(client.open_requests),
            detail=detail,
        )
        self.core.event_log.add(event, is_unusual)
        if end in connection_ends.CLIENT_STILL_WAITS:
            for pending in list(client.open_requests.values()):
                self.force_answer(pending)
        else:
            self._abandon(list(client.open_requests.values()))
        client.write_buffer.finish()  # buffered answers are still written; the reader closes the socket

    def answer(self, pending: PendingRequest, message: bytes) -> None:
        """Settle a request and send its final answer."""
        client = self._settle(pending)  # first: the next request may arrive as soon as this answer is sent
        client.put(message)
        client.completed_count += 1

    def answer_result(self, pending: PendingRequest, rows: bytes) -> None:
        """Answer a request with its complete result, and count the answer and its latency."""
        self.counters.add(counters.ANSWERED)
        if self.core.gate:  # with policies only: the canary of a rollout is judged by its answer times
            timeout_us = pending.request.timeout_us
            self.counters.add(counters.ANSWER_TIME_US, self.core.now - pending.timeout_at_us + timeout_us)
        self.answer(pending, thrift.encode_answer("execute", pending.sequence_id, rows))

    def answer_shed(self, number: int, longest_retry_after_us: int) -> None:
        """Answer a request with a Shed, and its Retry-After time where one is known.

        longest_retry_after_us: upper limit of the Retry-After time; 0: no limit.
        """
        pending = self._unanswered_request(number)
        retry_after_us = self.core.admission.retry_after_us(number)
        if longest_retry_after_us:
            retry_after_us = min(retry_after_us, longest_retry_after_us)
        if pending:
            message = thrift.encode_shed(pending.sequence_id, self.shed_fields(retry_after_us))
            self._reject(pending, counters.SHED, message)

    def answer_failed(self, number: int) -> None:
        """Answer a request with a Fault: the command may have run."""
        pending = self._unanswered_request(number)
        if pending:
            self._reject(pending, counters.FAILED, thrift.encode_fault(pending.sequence_id, "failed"))

    def settle_rejected(self, pending: PendingRequest, retry_after_us: int) -> bytes:
        """Settle a request that the admission queue rejected; return the frame for its client.

        The caller sends the frame and increments the client's completed_count.
        """
        self.counters.add("rejected_admission")
        self._log_rejection(pending, "rejected_admission")
        frame = thrift.encode_shed(pending.sequence_id, self.shed_fields(retry_after_us))
        self._settle(pending)
        return frame

    def shed_fields(self, retry_after_us: int) -> dict[bytes, bytes]:
        """Return the fields of a Shed: the Retry-After time in ms; none if it is 0 or has no field name."""
        field = self.core.retry_after_field
        if not retry_after_us or not field:
            return {}
        return {field: b"%d" % ceil_to_ms(retry_after_us)}

    def force_answer(self, pending: PendingRequest) -> None:
        """Answer a request without waiting for its command any longer.

        A request in the admission queue is shed. The decision module answers any other; if it raises, the
        request is answered as failed.
        """
        if not pending.client:
            return
        if self.core.admission.is_queued(pending.number):
            self.answer_shed(pending.number, 0)  # no attempt was started
            return
        self.core.decisions.call(None, self.core.gateway.abandon, pending.number)
        self.answer_failed(pending.number)  # no effect unless the decision module raised

    def forget(self, pending: PendingRequest) -> None:
        """Remove a settled request without an open attempt, and release the memory of its statement."""
        if pending.kept_bytes:
            self.core.statement_memory.release(pending.kept_bytes)
            pending.kept_bytes = 0
        if self.by_number.pop(pending.number, None):
            self.by_transaction_id.pop(pending.request.transaction_id, None)
            if self.core.admission_queue:
                self.core.admission_queue.command_ended(self.core.now, pending.number)

    def unanswered(self) -> list[PendingRequest]:
        """Return the requests that are not settled."""
        return [pending for pending in self.by_number.values() if pending.client]

    def is_over_open_limit(self) -> bool:
        """Whether max_open_commands requests are open, not counting those in the admission queue.

        May be called from any thread; other threads than the core's get an estimate.
        """
        limit = self.core.agreement.max_open_commands
        return 0 < limit <= len(self.by_number) - self.core.admission.queued_count()

    def _admit(self, pending: PendingRequest) -> None:
        self.by_number[pending.number] = pending
        self.by_transaction_id[pending.request.transaction_id] = pending
        self.counters.peak("pending_requests", len(self.by_number))
        pending.guard_timer = self.core.call_later(pending.timeout_at_us, self._check_answered, pending)
        self.core.admission.submit(pending)

    def _unanswered_request(self, number: int) -> PendingRequest | None:
        pending = self.by_number.get(number)
        return pending if pending and pending.client else None

    def _reject(self, pending: PendingRequest, reason: str, message: bytes) -> None:
        self.counters.add(reason)
        self._log_rejection(pending, reason)
        self.answer(pending, message)
        if pending.attempt:  # the attempt is of no use once its request is answered
            self.core.attempts.abandon(pending.attempt, Outcome.CANCELLED)

    def _log_rejection(self, pending: PendingRequest, reason: str) -> None:
        event = LoggedEvent(
            self.core.now,
            EventKind.ERROR_ANSWER,
            reason,
            pending.request.transaction_id,
            pending.client.peer.connection if pending.client else "",
            "sent" if pending.attempt else "queued",
            "answered",
        )
        self.core.event_log.add(event)

    def _abandon(self, abandoned: list[PendingRequest]) -> None:
        """Drop requests whose client no longer waits for their answers.

        All are settled before the first is reported to the decision module: as a result it may dispatch or
        shed another one, which would start an attempt or send an answer for a client that has left.
        """
        for pending in abandoned:
            self._mark_settled(pending).completed_count += 1
        for pending in abandoned:
            if pending.attempts_started:
                self.abandoned_ids.add(pending.request.transaction_id, self.core.now)
            is_queued = self.core.admission.is_queued(pending.number)
            if not is_queued:
                self.core.decisions.call(pending, self.core.gateway.client_left, pending.number)
            if not pending.attempt:
                self.forget(pending)

    def _settle(self, pending: PendingRequest) -> Client:
        """Mark a request as settled, and forget it unless an attempt is open; return its client."""
        client = self._mark_settled(pending)
        if not pending.attempt:
            self.forget(pending)
        return client

    def _mark_settled(self, pending: PendingRequest) -> Client:
        """Mark a request as settled, detach it from its client and return the client."""
        client = pending.client
        assert client is not None, f"request {pending.number} is already settled"
        client.open_requests.pop(pending.sequence_id, None)
        client.settled_count += 1
        client.interrupted.discard(pending.sequence_id)
        pending.client = None
        self.core.cancel_timer(pending.guard_timer)
        self.settled_at_us = self.core.now
        return client

    def _check_answered(self, pending: PendingRequest) -> None:
        """At the client timeout: answer a request that the decision module, by a fault, has not answered."""
        if pending.client:
            self.counters.add("requests_overdue")
            logger.error("request was not answered in time number={}", pending.number)
            self.force_answer(pending)
