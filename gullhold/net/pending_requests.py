"""Requests that were taken from clients: from their arrival to the one final answer that each gets."""

from typing import TYPE_CHECKING, NamedTuple, Protocol

from loguru import logger

from gullhold.interface import Outcome
from gullhold.net import ceil_to_ms, connection_ends, counters, thrift
from gullhold.net.connection_ends import ConnectionEnd
from gullhold.net.eventlog import EventKind, LoggedEvent
from gullhold.net.request_reader import Request

if TYPE_CHECKING:
    from gullhold.net.core import Core
    from gullhold.net.engine_connection import Attempt


class PeerAddress(NamedTuple):
    """Where a client connects from: its host, and a name for this connection alone."""

    host: str
    connection: str


class ClientOutput(Protocol):
    """The way out of a client's connection, as far as the core touches it."""

    finishing: bool

    def finish(self, now: bool = False) -> bool:
        """Take no more messages; the other side reads to the end."""
        ...


class Client(Protocol):
    """What the core needs of whoever asks: a client's connection, or the fleet's own commands.

    open: pending requests by sequence number. unseen: sequence numbers that the core has yet to see.
    interrupted: those of open requests whose interrupts wait for the core. settled_count: how many are
    answered or were interrupted. has_left: it waits for nothing any more.
    """

    peer: PeerAddress
    open: dict[int, "PendingRequest"]
    unseen: dict[int, bool]
    interrupted: set[int]
    settled_count: int
    has_left: bool
    write_buffer: ClientOutput

    def put(self, message: bytes) -> None:
        """Send whole frames."""
        ...


class PendingRequest:
    """A request that was taken: its client (None once answered), and its attempt that is out."""

    __slots__ = (
        "attempt",
        "attempts_started",
        "client",
        "grant_mb",
        "last_outcome",
        "number",
        "priority",
        "request",
        "seq",
        "statement_bytes",
        "timeout_at_us",
    )

    def __init__(self, number: int, client: Client, seq: int, request: Request, timeout_at_us: int) -> None:
        self.number = number
        self.client: Client | None = client
        self.seq = seq
        self.request = request
        self.timeout_at_us = timeout_at_us
        self.grant_mb = 0.0
        self.priority = 1
        self.attempt: Attempt | None = None
        self.attempts_started = 0
        self.statement_bytes = len(request.body)  # held in the memory for statements
        self.last_outcome = ""  # of its last attempt, as text for the event log


class PendingRequests:
    """The table of pending requests, and the one final answer of each. On the core's thread only."""

    def __init__(self, core: "Core") -> None:
        self.core = core
        self.counters = core.counters
        self.by_number: dict[int, PendingRequest] = {}
        self.by_txn: dict[bytes, PendingRequest] = {}
        self.last_number = 0
        self.settled_at_us = 0  # when the last one was answered, or taken back

    def execute(self, client: Client, seq: int, request: Request, received_at_us: int) -> None:
        """A client asks for a command; received_at_us: when it was read, from which its timeout counts."""
        self.last_number += 1
        pending = PendingRequest(self.last_number, client, seq, request, received_at_us + request.limit_us)
        client.open[seq] = pending  # first: an interrupt finds it in one place or the other
        # Taken back before we came to it; or its client has left; or it came after we had said our end, so
        # that its client asks elsewhere.
        if client.unseen.pop(seq, None) is None or client.has_left or client.write_buffer.finishing:
            self.counters.add("interrupted")
            self._settle(pending)
        elif request.txn in self.by_txn:
            self.counters.add(counters.FAILED)
            self.answer(pending, thrift.encode_fault(seq, "this txn is open already"))
        elif self.core.is_rejecting or self._is_over_open_limit():
            self.counters.add("rejected_open_limit")
            self.answer(pending, thrift.encode_shed(seq, {}))
        else:
            self._admit(pending)

    def interrupt(self, client: Client, seq: int) -> None:
        """A client stops waiting: no answer is expected any more."""
        pending = client.open.get(seq)
        if pending:
            self.counters.add("interrupted")
            self._abandoned_by_client(pending)

    def client_ended(self, client: Client, end: ConnectionEnd, text: str) -> None:
        """A client's connection is read no more.

        One that closed, or broke, has left: nothing of it goes out any more. One that sent what makes no
        sense is still there: each of its requests gets its answer.
        """
        self.counters.add(f"client_connections_ended_{end.value}")
        is_unusual = bool(client.open) and end in connection_ends.CAUSED_BY_US
        event = LoggedEvent(
            self.core.now,
            EventKind.CLOSE,
            end.value,
            connection=f"client {client.peer.connection}",
            before="open",
            after="closed",
            open=len(client.open),
            detail=text,
        )
        self.core.events.add(event, is_unusual)
        for pending in list(client.open.values()):
            if end in connection_ends.CLIENT_STILL_WAITS:
                self.give_up(pending)
            else:
                self._abandoned_by_client(pending)
        client.write_buffer.finish()  # what is under way goes out; the reader closes

    def answer(self, pending: PendingRequest, message: bytes) -> None:
        """Give a request its final answer."""
        client = pending.client
        self._settle(pending)  # first: its next request may come as soon as it has this answer
        client.put(message)

    def answer_result(self, pending: PendingRequest, rows: bytes) -> None:
        """The rows of a result are the final answer."""
        self.counters.add(counters.ANSWERED)
        if self.core.gate:  # a canary is judged by it
            limit_us = pending.request.limit_us
            self.counters.add(counters.ANSWER_TIME_US, self.core.now - pending.timeout_at_us + limit_us)
        self.answer(pending, thrift.encode_answer("execute", pending.seq, rows))

    def answer_shed(self, number: int, longest_retry_after_us: int) -> None:
        """The final answer is that the request was shed; 0: no bound on when its client may ask again."""
        pending = self._waiting_for_answer(number)
        retry_after_us = self.core.admission.retry_after_us(number)
        if longest_retry_after_us:
            retry_after_us = min(retry_after_us, longest_retry_after_us)
        if pending:
            message = thrift.encode_shed(pending.seq, self.shed_fields(retry_after_us))
            self._refuse(pending, counters.SHED, message)

    def answer_failed(self, number: int) -> None:
        """The final answer is a failure, which promises nothing."""
        pending = self._waiting_for_answer(number)
        if pending:
            self._refuse(pending, counters.FAILED, thrift.encode_fault(pending.seq, "failed"))

    def settle_rejected(self, pending: PendingRequest, retry_after_us: int) -> bytes:
        """The admission queue rejected a request; the frame that its client is to get (0: no Retry-After)."""
        self.counters.add("rejected_admission")
        self._log_refusal(pending, "rejected_admission")
        frame = thrift.encode_shed(pending.seq, self.shed_fields(retry_after_us))
        self._settle(pending)
        return frame

    def shed_fields(self, retry_after_us: int) -> dict[bytes, bytes]:
        """The fields of a Shed: in how many ms to ask again, where that is known."""
        field = self.core.retry_after_field
        if not retry_after_us or not field:
            return {}
        return {field: b"%d" % ceil_to_ms(retry_after_us)}

    def give_up(self, pending: PendingRequest) -> None:
        """The request must end now: the final answer is the decision module's, else a failure."""
        if not pending.client:
            return
        if self.core.admission.is_queued(pending.number):
            self.answer_shed(pending.number, 0)  # it never went out
            return
        self.core.decisions.call(None, self.core.gateway.abandon, pending.number)
        self.answer_failed(pending.number)  # for a module that fails on this command again

    def forget(self, pending: PendingRequest) -> None:
        """It is answered, and no attempt of it is out."""
        if pending.statement_bytes:
            self.core.statement_memory.release(pending.statement_bytes)
            pending.statement_bytes = 0
        if self.by_number.pop(pending.number, None):
            self.by_txn.pop(pending.request.txn, None)
            if self.core.admission_queue:
                self.core.admission_queue.command_ended(self.core.now, pending.number)

    def unanswered(self) -> list[PendingRequest]:
        """Those whose clients still wait."""
        return [pending for pending in self.by_number.values() if pending.client]

    def _is_over_open_limit(self) -> bool:
        most = self.core.agreement.max_open_commands
        return 0 < most <= len(self.by_number) - self.core.admission.queued_count()

    def _admit(self, pending: PendingRequest) -> None:
        self.by_number[pending.number] = pending
        self.by_txn[pending.request.txn] = pending
        self.counters.peak("pending_requests", len(self.by_number))
        self.core.call_later(pending.timeout_at_us, self._overdue, pending)
        self.core.admission.arrived(pending)

    def _waiting_for_answer(self, number: int) -> PendingRequest | None:
        pending = self.by_number.get(number)
        return pending if pending and pending.client else None

    def _refuse(self, pending: PendingRequest, reason: str, message: bytes) -> None:
        self.counters.add(reason)
        self._log_refusal(pending, reason)
        self.answer(pending, message)
        if pending.attempt:  # given up with the request
            self.core.attempts.stop(pending.attempt, Outcome.CANCELLED)

    def _log_refusal(self, pending: PendingRequest, reason: str) -> None:
        event = LoggedEvent(
            self.core.now,
            EventKind.REFUSAL,
            reason,
            pending.request.txn,
            pending.client.peer.connection,
            "sent" if pending.attempt else "queued",
            "answered",
        )
        self.core.events.add(event)

    def _abandoned_by_client(self, pending: PendingRequest) -> None:
        is_queued = self.core.admission.is_queued(pending.number)
        self._settle(pending)
        if not is_queued:
            self.core.decisions.call(pending, self.core.gateway.client_left, pending.number)

    def _settle(self, pending: PendingRequest) -> None:
        """No answer is expected any more."""
        client = pending.client
        client.open.pop(pending.seq, None)
        client.settled_count += 1
        client.interrupted.discard(pending.seq)
        pending.client = None
        self.settled_at_us = self.core.now
        if not pending.attempt:
            self.forget(pending)

    def _overdue(self, pending: PendingRequest) -> None:
        """Guards the rule of one answer in time against any fault of ours: the module answers well before."""
        if pending.client:
            self.counters.add("requests_overdue")
            logger.error("request was not answered in time number={}", pending.number)
            self.give_up(pending)
