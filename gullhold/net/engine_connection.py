"""A connection to an engine: its reader thread, and the attempts that are open on it."""

import errno
import socket
import time
from threading import Thread
from typing import TYPE_CHECKING

from gullhold.interface import EngineState, Outcome
from gullhold.net import (
    connection_ends,
    engine_reply,
    resp,
    set_no_delay,
    set_read_timeout,
    split_host_port,
)
from gullhold.net.connection import Connection
from gullhold.net.connection_ends import ConnectionEnd, ProtocolError
from gullhold.net.engine_reply import NO_RESOURCES
from gullhold.net.write_buffer import WriteBuffer

if TYPE_CHECKING:
    from gullhold.net.client_input import InputMark
    from gullhold.net.core import Core
    from gullhold.net.pending_requests import PendingRequest
    from gullhold.net.timer_queue import Timer

MAX_REPLY_BYTES = 16_384  # a reply with a page of 6,000 bytes, the largest, has far less beside it
MAX_UNHANDLED_REPLY_BYTES = 32_768  # memory of the replies on one connection that wait for the core
UNHANDLED_POLL_INTERVAL_S = 0.001  # time between checks whether the core has handled enough of them
CONNECT_RETRY_INTERVAL_S = 0.02  # time between tries to connect while this machine lacks resources or a route
# Errors after which connecting is retried; ENETUNREACH: there is no route yet. ip(7), connect(2).
RETRIED_ERRNOS = connection_ends.LOCAL_EXHAUSTION_ERRNOS | {errno.ENETUNREACH}


class EngineEndpoint:
    """An engine: its id, address and state, and the connections to it."""

    def __init__(self, engine_id: int, address: str) -> None:
        self.id = engine_id
        self.address = address
        self.connections: list[EngineConnection] = []
        self.state = EngineState.REMOVED
        # Connections that the engine closed in an orderly way, minus those that broke; never below zero.
        self.orderly_closes = 0


class Attempt:
    """One attempt of a request, from its fetch to the last page of its result."""

    __slots__ = (
        "confirmation",
        "connection",
        "deadline_us",
        "end_offset",
        "engine",
        "fencing_tokens",
        "held_until_us",
        "input_mark",
        "is_discarded",
        "is_held",
        "last_reply_at",
        "message",
        "number",
        "outcome_once_confirmed",
        "page_count",
        "pages",
        "pending",
        "resources",
        "result_bytes",
        "send_until_us",
        "sent_at",
        "timers",
    )

    def __init__(self, pending: "PendingRequest", number: int, now: int) -> None:
        self.pending = pending
        self.engine = 0  # id of the engine that the decision module has chosen
        self.number = number
        self.sent_at = now
        self.last_reply_at = now
        self.connection: EngineConnection | None = None
        self.message = b""
        self.end_offset = 0  # end of its fetch in the stream of the write buffer; negative: a Rejection
        self.deadline_us = 0  # time at which it is given up
        self.send_until_us = 0  # time from which on it must not be sent
        self.is_discarded = False  # the write buffer has not sent it, as its conditions did not hold any more
        self.is_held = False  # it waits until what its client has sent is handled, and is in no write buffer
        self.held_until_us = 0  # time at which that wait is over in any case; 0: none is set
        self.input_mark: InputMark | None = None  # the point of the client's input that it waits for
        self.fencing_tokens: tuple[object, ...] = ()  # valid when the attempt was decided
        self.pages: list[bytes] = []
        self.page_count = 0
        self.result_bytes = 0
        self.outcome_once_confirmed: Outcome | None = None  # set while the abort is to be confirmed
        self.resources = NO_RESOURCES
        self.timers: list[Timer] = []  # all that were set for it, cancelled when it ends
        self.confirmation: Confirmation | None = None  # set while the abort is to be confirmed

    def release(self) -> None:
        """Free what an attempt that has ended kept: its message, its pages, and what refers to it."""
        self.message = b""
        self.pages = []
        self.timers = []
        if self.input_mark:
            self.input_mark.cancel()
            self.input_mark = None
        if self.confirmation:
            self.confirmation.attempt = None
            self.confirmation = None


class Confirmation:
    """A confirmation that an engine owes, that it has received an abort. attempt: None once it has ended."""

    __slots__ = ("attempt", "transaction_id")

    def __init__(self, attempt: Attempt) -> None:
        self.attempt: Attempt | None = attempt
        self.transaction_id = attempt.pending.request.transaction_id


class EngineConnection:
    """One connection. Its reader thread connects, reads and closes; the core's thread owns all other state.

    max_message_bytes: how much is buffered of what arrives. max_buffered_bytes: how much may wait to be
    written. decoder.decoded_bytes counts the memory of all replies so far, handled_bytes that of those which
    the core has handled.
    """

    def __init__(
        self,
        endpoint: EngineEndpoint,
        core: "Core",
        max_message_bytes: int,
        max_buffered_bytes: int,
        now: int,
    ) -> None:
        self.endpoint = endpoint
        self.core = core
        self.decoder = resp.Decoder(max_message_bytes, MAX_REPLY_BYTES, engine_reply.STRINGS)
        self.handled_bytes = 0
        self.write_buffer = WriteBuffer(max_buffered_bytes, core.counters, core.flusher)
        self.open_attempts: dict[bytes, Attempt] = {}  # by transaction id
        self.abandoned_ids: set[bytes] = set()  # of abandoned attempts, to which late replies may arrive
        self.confirmations: dict[bytes, Confirmation] = {}  # that the engine owes, by tag
        self.is_ended = False
        self.is_retired = False  # no further attempts are sent on it
        self.last_reply_at = now
        self.used_at = now  # when an attempt was last sent on it or ended
        self.probed_at = 0  # when the unanswered health check was sent; 0: none is unanswered
        self.local_end: ConnectionEnd | None = None  # why the gateway closed the connection; None: it did not
        self.connection: Connection | None = None  # set once connected
        self.address = split_host_port(endpoint.address)

    def start(self) -> None:
        """Start the reader thread, which connects. Raises RuntimeError if the thread can't be started."""
        Thread(target=self._run, daemon=True, name="link").start()

    def accepts(self, transaction_id: bytes, max_streams: int) -> bool:
        """Whether an attempt may be sent here; not while late replies to its transaction id may arrive."""
        if self.is_ended or self.is_retired or self.write_buffer.is_closed:
            return False
        if self.probed_at:  # a health check is unanswered: the engine may be gone
            return False
        return len(self.open_attempts) < max_streams and transaction_id not in self.abandoned_ids

    def begin_close(self, end: ConnectionEnd) -> None:
        """Begin to close the connection from this side; its reader thread wakes and reports the end."""
        self.is_retired = True
        self.local_end = self.local_end or end
        if self.connection is not None:
            self.connection.shutdown()

    def connected(self, connection: Connection) -> bool:
        """From the reader thread: the connection is open. Returns False if it is to be closed already."""
        self.connection = connection
        if self.local_end:
            return False
        # The core checks the waiting attempts once more before they are sent.
        self.core.post_urgent(self.core.pool.connection_up, self)
        return True

    def deliver(self) -> None:
        """From the reader thread: pass the complete arrays that have arrived to the core."""
        arrays: list[list[bytes]] = []
        try:
            arrays.extend(self.decoder.arrays())
        finally:  # also the arrays that precede malformed bytes
            if arrays:
                self.core.post_first(self.core.replies.handle, self, arrays, self.decoder.decoded_bytes)

    def reader_ended(self, end: ConnectionEnd, detail: str, connection: Connection | None) -> None:
        """From the reader thread as it ends: close the descriptor and report the end to the core."""
        self.write_buffer.finish(now=True)
        if connection is not None:
            connection.close()
        self.core.pool.holding_descriptor.discard(self)
        self.core.post_first(self.core.pool.connection_ended, self, self.local_end or end, detail)

    def _run(self) -> None:
        end = ConnectionEnd.INTERNAL_FAULT
        detail = ""
        connection = None
        try:
            try:
                connection = Connection(self._connect_in_time())
            except OSError as error:
                end, detail = connection_ends.classify_exception(error, connecting=True)
                return
            if not self.connected(connection):
                return
            end = self._read(connection.sock)
            if self.write_buffer.error:  # a write failed and woke the reader: this is the cause
                end, detail = connection_ends.classify_exception(self.write_buffer.error)
        # An unexpected exception ends this connection only.
        except Exception as error:  # noqa: BLE001  the outermost function of the thread
            end, detail = connection_ends.classify_exception(error)
        finally:
            self.reader_ended(end, detail, connection)

    def _connect_in_time(self) -> socket.socket:
        """Return a connected socket. Raises OSError if connecting fails or takes too long.

        Errors that this machine causes for a moment are retried, so that no engine is blamed for them.
        """
        wait_s = self.core.agreement.connect_timeout_us / 1e6
        deadline_s = time.monotonic() + (wait_s or self.core.limits.sweep_interval_us / 1e6)
        while True:
            left_s = max(deadline_s - time.monotonic(), CONNECT_RETRY_INTERVAL_S) if wait_s else 0
            try:
                return self._connect(left_s)
            except OSError as error:
                is_last_attempt = time.monotonic() + CONNECT_RETRY_INTERVAL_S >= deadline_s
                if error.errno not in RETRIED_ERRNOS or self.local_end or is_last_attempt:
                    raise
            self.core.counters.add("connect_retries")
            time.sleep(CONNECT_RETRY_INTERVAL_S)

    def _connect(self, wait_s: float) -> socket.socket:
        """Make one attempt to connect, within a timeout (0: none). Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(wait_s or None)
            set_no_delay(sock)
            sock.connect(self.address)
            sock.settimeout(None)
        except BaseException:
            sock.close()
            raise
        return sock

    def _read(self, sock: socket.socket) -> ConnectionEnd:
        is_mid_array = False
        while True:
            try:
                count = self.decoder.buffer.receive(sock)
            except BlockingIOError:
                raise ProtocolError(
                    "the rest of a reply did not arrive within the connect timeout of"
                    f" {self.core.agreement.connect_timeout_us} us"
                ) from None
            if not count:
                return ConnectionEnd.CLOSED_BY_PEER
            self.deliver()
            self._wait_for_core()
            if self.decoder.is_mid_array != is_mid_array:
                # The rest of a started array arrives soon or never, so only its reads have a timeout.
                is_mid_array = self.decoder.is_mid_array
                set_read_timeout(sock, self.core.agreement.connect_timeout_us if is_mid_array else 0)

    def _wait_for_core(self) -> None:
        """Wait while too much waits for the core; meanwhile TCP flow control holds the engine back.

        Guards against an engine that sends faster than the core handles its replies.
        """
        while self.decoder.decoded_bytes - self.handled_bytes > MAX_UNHANDLED_REPLY_BYTES:
            if self.local_end or self.core.stopped:
                return
            time.sleep(UNHANDLED_POLL_INTERVAL_S)
