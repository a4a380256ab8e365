"""Load clients: each keeps commands open on its connections, and counts their outcomes."""

import multiprocessing
import socket
import time
from collections import deque
from dataclasses import replace
from enum import Enum, StrEnum, auto
from heapq import heappop, heappush
from multiprocessing.connection import Connection
from random import Random
from threading import Lock, Thread
from typing import Any, NamedTuple, Self

from gullhold.net import thrift
from gullhold.net.connection_ends import ProtocolError
from gullhold.testing import WAIT_TIMEOUT_S
from gullhold.testing.client import execute_arguments
from gullhold.testing.load_counts import Attempt, LoadCounts
from gullhold.testing.working_engine import statement

MAX_OPEN_REQUESTS = 32  # on one connection; the protocol's limit
MAX_FRAME_BYTES = 100_000  # bytes of an answer
READ_TIMEOUT_S = 0.01  # s for which a connection waits for an answer before it checks what to send
GRACE_S = 0.5  # s after the client timeout for which a stopped client still reads answers
SHED_DELAY_S = 0.02  # s between a shed command that is not retried and the new one in its place
MAX_FIRST_DELAY_S = 0.05  # s until the first command of a connection that sends at a rate
MAX_RETRY_JITTER = 0.1  # fraction of Retry-After; a random share of it is added
TABLE_GROUPS = 5  # number of groups of tables that the statements read in turn


class RetryRule(Enum):
    """What a client does with a command that is shed."""

    AFTER_WAIT = auto()  # retry after the answer's Retry-After, give up if it has none
    IMMEDIATELY = auto()
    NEVER = auto()


class ScheduledAttempt(NamedTuple):
    """An attempt to be sent at a time in monotonic s; serial: orders attempts with the same time."""

    at: float
    serial: int
    attempt: Attempt


def encode_execute_call(seq: int, fields: dict[bytes, bytes], body: bytes) -> bytes:
    """Encode one execute call."""
    return thrift.encode_message(
        thrift.CALL, "execute", seq, execute_arguments(fields, body) + thrift.END_OF_STRUCT
    )


class LoadClient:
    """A client of one tenant with a thread for each connection, which run until stop() or disconnect().

    `lock` guards the counts and the serial number of attempts.
    """

    def __init__(
        self,
        address: tuple[str, int],
        tenant: str,
        name: str,
        open: int = 4,
        connections: int = 1,
        work_ms: float = 50.0,
        estimate_factor: float = 1.0,
        retry_rule: RetryRule = RetryRule.AFTER_WAIT,
        max_attempts: int = 3,
        limit_ms: int = 4000,
        verb: str = "read",
        name_field: bytes = b"client",
        rate: float = 0.0,
        seed: int = 1,
        retry_after_field: bytes = b"retry_ms",
    ) -> None:
        """Prepare the client; start() starts it.

        tenant: empty for none; open: number of commands kept open on all connections, if there is no rate;
        work_ms: work of a command; estimate_factor: ratio of its estimate to its work; limit_ms: client
        timeout; verb: profile; rate: commands a second on all connections, 0 to keep a fixed number open;
        name_field, retry_after_field: names of the fields with the client's name and with Retry-After in ms.
        """
        self.address = address
        self.tenant = tenant
        self.name = name
        self.open = open
        self.work_ms = work_ms
        self.estimate_factor = estimate_factor
        self.retry_rule = retry_rule
        self.max_attempts = max_attempts
        self.limit_ms = limit_ms
        self.verb = verb
        self.name_field = name_field
        self.rate = rate
        self.retry_after_field = retry_after_field
        self.draw = Random(f"{seed} {tenant} {name}")
        self.lock = Lock()
        self.is_stopped = False
        self.is_disconnected = False
        self.serial = 0
        self.counts = LoadCounts()
        self.threads = [
            Thread(target=self._run, args=(index, connections), daemon=True) for index in range(connections)
        ]

    def start(self) -> Self:
        """Send commands until stop()."""
        for thread in self.threads:
            thread.start()
        return self

    def stop(self) -> None:
        """Send nothing more; answers to open commands are still read until GRACE_S after their timeout."""
        self.is_stopped = True

    def disconnect(self) -> None:
        """Close all connections now, also with commands open."""
        self.is_stopped = True
        self.is_disconnected = True

    def join(self) -> None:
        """Wait until all connections have ended."""
        for thread in self.threads:
            thread.join(WAIT_TIMEOUT_S)

    def reset_counts(self) -> None:
        """Set all counts to zero, for the start of a measurement."""
        with self.lock:
            self.counts = LoadCounts()

    def copy_counts(self) -> LoadCounts:
        """Return a copy of the current counts."""
        with self.lock:
            return replace(
                self.counts,
                latencies_s=list(self.counts.latencies_s),
                late_by_s=list(self.counts.late_by_s),
            )

    def encode_call(self, seq: int, attempt: Attempt) -> bytes:
        """Count an attempt that is about to be sent; return the bytes of its call."""
        with self.lock:
            self.serial += 1
            self.counts.add_sent(attempt)
        txn = b"%016x" % self.draw.getrandbits(64)
        fields = {
            b"verb": self.verb.encode(),
            b"txn": txn,
            b"limit": b"%d" % self.limit_ms,
            b"cpu": b"%g" % (self.work_ms * self.estimate_factor),
            b"memory": b"50",
            self.name_field: self.name.encode(),
        }
        if self.tenant:
            fields[b"team"] = self.tenant.encode()
        if attempt.number > 1:
            fields[b"second"] = b"1"
        return encode_execute_call(seq, fields, statement(self.work_ms, 1 + self.serial % TABLE_GROUPS))

    def _run(self, index: int, connections: int) -> None:
        """Run one connection, on its thread."""
        _LoadConnection(self, index, connections).run()


class _LoadConnection:
    """One connection of a client, used by one thread.

    open: attempts that were sent, by sequence number; scheduled: heap of attempts to be sent later; ready:
    attempts to be sent once fewer than MAX_OPEN_REQUESTS are open; answers: answers read so far.
    """

    def __init__(self, client: LoadClient, index: int, connections: int) -> None:
        """index: number of this connection, from 0; connections: number of the client's connections."""
        self.client = client
        self.max_open = client.open // connections + (index < client.open % connections)
        self.rate = client.rate / connections
        self.next_at = time.monotonic() + client.draw.random() * MAX_FIRST_DELAY_S
        self.decoder = thrift.Decoder(MAX_FRAME_BYTES)
        self.sequence_number = 0
        self.answers = 0
        self.open: dict[int, Attempt] = {}
        self.scheduled: list[ScheduledAttempt] = []
        self.ready: deque[Attempt] = deque()

    def run(self) -> None:
        """Connect, then send and read until the client is stopped or the connection ends."""
        try:
            with socket.create_connection(self.client.address, timeout=WAIT_TIMEOUT_S) as sock:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.settimeout(READ_TIMEOUT_S)
                self._serve(sock)
        except (OSError, ProtocolError):
            pass
        with self.client.lock:
            self.client.counts.unanswered += len(self.open)

    def _serve(self, sock: socket.socket) -> None:
        end = 0.0
        while self._is_running(end):
            now = time.monotonic()
            if not self.client.is_stopped or not end:
                end = now + self.client.limit_ms / 1000 + GRACE_S
            self._schedule(now)
            calls = self._take_calls(now)
            if calls:
                sock.sendall(b"".join(calls))
            try:
                if not self.decoder.buffer.receive(sock):
                    break
            except (TimeoutError, BlockingIOError):
                continue
            for answer in self.decoder.frames():
                self.answers += 1
                self._take_answer(answer)

    def _is_running(self, end: float) -> bool:
        if not self.client.is_stopped:
            return True
        return bool(self.open) and not self.client.is_disconnected and time.monotonic() < end

    def _schedule(self, now: float) -> None:
        """Move due retries to `ready`, and new commands at the rate or up to the number to keep open."""
        client = self.client
        while not client.is_stopped and self.rate and self.next_at <= now:
            self.next_at += client.draw.expovariate(self.rate)
            self.ready.append(_first_attempt(now))
        while self.scheduled and self.scheduled[0].at <= now:
            self.ready.append(heappop(self.scheduled).attempt)
        while not client.is_stopped and not self.rate and self._command_count() < self.max_open:
            self.ready.append(_first_attempt(now))

    def _command_count(self) -> int:
        return len(self.open) + len(self.scheduled) + len(self.ready)

    def _take_calls(self, now: float) -> list[bytes]:
        """Return the encoded calls to be sent now, and record them as open."""
        calls = []
        while self.ready and len(self.open) < MAX_OPEN_REQUESTS and not self.client.is_stopped:
            self.sequence_number += 1
            attempt = self.ready.popleft()._replace(sent_at=now)
            self.open[self.sequence_number] = attempt
            calls.append(self.client.encode_call(self.sequence_number, attempt))
        return calls

    def _take_answer(self, answer: bytes) -> None:
        """Count an answer, and schedule a retry or a new command if it shed its command."""
        message = thrift.decode_message(answer, thrift.REPLY, thrift.EXCEPTION)
        now = time.monotonic()
        attempt = self.open.pop(message.sequence_id, None)
        shed_fields = _shed_fields(message)
        retry_after = None if shed_fields is None else shed_fields.get(self.client.retry_after_field)
        with self.client.lock:
            counts = self.client.counts
            if attempt is None:
                counts.duplicate_answers += 1
                return
            counts.add_delay(attempt, now, self.client.limit_ms / 1000)
            if (thrift.RESULT_SUCCESS, thrift.STRUCT) in message.fields:
                counts.add_answered(attempt, now)
                return
            if shed_fields is None:
                counts.failed += 1
                return
            counts.add_shed(attempt, retry_after is not None)
        self._schedule_after_shed(attempt, retry_after, now)

    def _schedule_after_shed(self, attempt: Attempt, retry_after: bytes | None, now: float) -> None:
        """Schedule the retry of a command that was shed, or a new command in its place."""
        if not self._is_retried(attempt, retry_after):
            if not self.rate:
                self._schedule_at(now + SHED_DELAY_S, _first_attempt(now))
            return
        delay_s = 0.0
        waits = self.client.retry_rule == RetryRule.AFTER_WAIT
        if waits and retry_after is not None:
            delay_s = float(retry_after) / 1000 * (1 + MAX_RETRY_JITTER * self.client.draw.random())
        self._schedule_at(now + delay_s, attempt._replace(number=attempt.number + 1, has_waited=waits))

    def _is_retried(self, attempt: Attempt, retry_after: bytes | None) -> bool:
        rule = self.client.retry_rule
        if rule == RetryRule.NEVER or attempt.number >= self.client.max_attempts:
            return False
        return rule == RetryRule.IMMEDIATELY or retry_after is not None

    def _schedule_at(self, at: float, attempt: Attempt) -> None:
        heappush(self.scheduled, ScheduledAttempt(at, self.answers, attempt))


def _first_attempt(now: float) -> Attempt:
    return Attempt(now, 1, False)


def _shed_fields(message: thrift.Message) -> dict[bytes, bytes] | None:
    """Return the fields of an answer that sheds its command; None: the answer is of another kind."""
    shed = (
        message.fields.get((thrift.RESULT_SHED, thrift.STRUCT))
        if message.message_type == thrift.REPLY
        else None
    )
    return None if shed is None else shed.get((thrift.EXCEPTION_FIELDS, thrift.MAP), {})


class ClientOrder(StrEnum):
    """An order to the process of a client; the value is the name of the LoadClient method to call."""

    START = "start"
    RESET_COUNTS = "reset_counts"
    STOP = "stop"
    DISCONNECT = "disconnect"
    JOIN = "join"


class LoadClientProcess:
    """A LoadClient in a process of its own, so that its CPU use does not delay the threads of this process.

    counts: as of the last method call.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Prepare the process; arguments, options: those of LoadClient."""
        context = multiprocessing.get_context("spawn")
        self.pipe, child_pipe = context.Pipe()
        self.process = context.Process(target=_run_client, args=(child_pipe, arguments, options), daemon=True)
        self.counts = LoadCounts()

    def _give_order(self, order: ClientOrder) -> None:
        """Send an order, and wait until the process has carried it out."""
        self.pipe.send(order)
        self.counts = self.pipe.recv()

    def start(self) -> Self:
        """Start the process and its client; return once the client sends commands."""
        self.process.start()
        self._give_order(ClientOrder.START)
        return self

    def reset_counts(self) -> None:
        """Set all counts to zero."""
        self._give_order(ClientOrder.RESET_COUNTS)

    def stop(self) -> None:
        """Send nothing more."""
        self._give_order(ClientOrder.STOP)

    def disconnect(self) -> None:
        """Close all connections now."""
        self._give_order(ClientOrder.DISCONNECT)

    def join(self) -> None:
        """Wait until all connections have ended; the counts are final."""
        self._give_order(ClientOrder.JOIN)
        self.process.join(WAIT_TIMEOUT_S)


def _run_client(pipe: Connection, arguments: tuple[Any, ...], options: dict[str, Any]) -> None:
    """Run in the process of a client: carry out orders up to and including JOIN."""
    client = LoadClient(*arguments, **options)
    order = None
    while order != ClientOrder.JOIN:
        order = pipe.recv()
        getattr(client, order.value)()
        pipe.send(client.copy_counts())
