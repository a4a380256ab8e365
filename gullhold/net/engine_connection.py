"""Connections to engines: one connection, its reader thread, and the attempts that are open on it."""

import errno
import socket
import time
from threading import Thread
from typing import TYPE_CHECKING, NamedTuple

from gullhold.interface import EngineState, Outcome
from gullhold.net import connection_ends, host_port, resp, set_no_delay, set_read_timeout
from gullhold.net.connection import Connection
from gullhold.net.connection_ends import ConnectionEnd, ProtocolError
from gullhold.net.write_buffer import WriteBuffer

if TYPE_CHECKING:
    from gullhold.net.core import Core
    from gullhold.net.pending_requests import PendingRequest

CONNECT_RETRY_INTERVAL_S = 0.02  # s between tries to connect where this machine is short of something
# Also tried again: a route that is gone for a moment. ip(7), connect(2).
RETRIED_ERRNOS = connection_ends.SHORT_HERE | {errno.ENETUNREACH}


class ResourceUse(NamedTuple):
    """What an engine says that an attempt needed, and its load report in the order of the settings."""

    work_us: int
    memory_mb: float
    load: tuple[float, ...]


NO_RESOURCES = ResourceUse(0, 0, ())


class EngineEndpoint:
    """An engine by its identity, where it listens, and our connections to it."""

    def __init__(self, engine_id: int, address: str) -> None:
        self.id = engine_id
        self.address = address
        self.connections: list[EngineConnection] = []
        self.state = EngineState.REMOVED
        # Connections that it closed in good order, less those that broke; never below zero.
        self.orderly_closes = 0


class Attempt:
    """One attempt of a request on its connection, from its fetch to its last page."""

    __slots__ = (
        "connection",
        "deadline_us",
        "end_offset",
        "fencing_tokens",
        "last_reply_at",
        "message",
        "number",
        "outcome_once_confirmed",
        "page_count",
        "pages",
        "pending",
        "resources",
        "result_bytes",
        "sent_at",
    )

    def __init__(self, pending: "PendingRequest", number: int, now: int) -> None:
        self.pending = pending
        self.number = number
        self.sent_at = now
        self.last_reply_at = now
        self.connection: EngineConnection | None = None
        self.message = b""
        self.end_offset = 0  # of its fetch in the write buffer; negative: a Rejection
        self.deadline_us = 0  # it must not begin after it
        self.fencing_tokens: tuple[object, ...] = ()  # what it was decided under
        self.pages: list[bytes] = []
        self.page_count = 0
        self.result_bytes = 0
        self.outcome_once_confirmed: Outcome | None = None  # set once an abort went, to be confirmed
        self.resources = NO_RESOURCES

    def release(self) -> None:
        """It is over: let go of what takes memory."""
        self.message = b""
        self.pages = []


class EngineConnection:
    """One connection. Its thread connects, reads and closes; all but `connection` is the core thread's.

    max_message_bytes, max_buffered_bytes: bytes of the largest answer, and of what may wait to be written.
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
        self.decoder = resp.Decoder(max_message_bytes)
        self.write_buffer = WriteBuffer(max_buffered_bytes, core.counters, core.flusher)
        self.open: dict[bytes, Attempt] = {}  # by the id of the command
        self.abandoned_ids: set[bytes] = set()  # ids to which a late answer may come
        self.confirmations: dict[bytes, Attempt] = {}  # by tag: those that are awaited
        self.is_ended = False
        self.is_retired = False  # takes no further attempt
        self.last_reply_at = now
        self.used_at = now
        self.probed_at = 0  # when it was asked for a sign of life that has not come; 0: it was not
        self.local_end: ConnectionEnd | None = None
        self.connection: Connection | None = None  # once it is up
        self.address = host_port(endpoint.address)

    def start(self) -> None:
        """Connect and read, in a thread of its own. RuntimeError where there is no thread to be had."""
        Thread(target=self._run, daemon=True, name="link").start()

    def accepts(self, transaction_id: bytes, max_streams: int) -> bool:
        """Whether an attempt of this id may go out here: a late answer to an earlier one must not meet it."""
        if self.is_ended or self.is_retired or self.write_buffer.is_dead:
            return False
        if self.probed_at:  # it fell silent
            return False
        return len(self.open) < max_streams and transaction_id not in self.abandoned_ids

    def begin_close(self, end: ConnectionEnd) -> None:
        """End it from our side; the reader wakes and reports."""
        self.is_retired = True
        self.local_end = self.local_end or end
        if self.connection is not None:
            self.connection.shutdown()

    def connected(self, connection: Connection) -> bool:
        """From the reader: the connection is up; False where it was ended meanwhile."""
        self.connection = connection
        if self.local_end:
            return False
        # The core looks once more at what waits here, and lets it go out.
        self.core.post_urgent(self.core.pool.connection_up, self)
        return True

    def deliver(self) -> None:
        """From the reader: hand what is complete in the decoder to the core."""
        arrays: list[list[bytes]] = []
        try:
            arrays.extend(self.decoder.arrays())
        finally:  # what was complete before bytes that make no sense holds
            if arrays:
                self.core.post(self.core.replies.handle, self, arrays)

    def reader_ended(self, end: ConnectionEnd, text: str, connection: Connection | None) -> None:
        """From the reader, last: give the descriptor back and report."""
        self.write_buffer.finish(now=True)
        if connection is not None:
            connection.close()
        self.core.pool.holding_descriptor.discard(self)
        self.core.post(self.core.pool.connection_ended, self, self.local_end or end, text)

    def _run(self) -> None:
        end = ConnectionEnd.FAULT
        text = ""
        connection = None
        try:
            try:
                connection = Connection(self._connect_in_time())
            except OSError as error:
                end, text = connection_ends.classify_exception(error, connecting=True)
                return
            if not self.connected(connection):
                return
            end = self._read(connection.sock)
            if self.write_buffer.error:  # a write broke it, and the reader was only woken
                end, text = connection_ends.classify_exception(self.write_buffer.error)
        # A fault of ours ends this connection, not the program.
        except Exception as error:  # noqa: BLE001  the outermost function of the thread
            end, text = connection_ends.classify_exception(error)
        finally:
            self.reader_ended(end, text, connection)

    def _connect_in_time(self) -> socket.socket:
        """A socket that is connected; OSError where there is none in time.

        What this machine refuses for a moment is tried again: guards against blaming an engine for it.
        """
        wait_s = self.core.agreement.connect_timeout_us / 1e6
        end_at = time.monotonic() + (wait_s or self.core.limits.sweep_interval_us / 1e6)
        while True:
            left_s = max(end_at - time.monotonic(), CONNECT_RETRY_INTERVAL_S) if wait_s else 0
            try:
                return self._connect(left_s)
            except OSError as error:
                is_last = time.monotonic() + CONNECT_RETRY_INTERVAL_S >= end_at
                if error.errno not in RETRIED_ERRNOS or self.local_end or is_last:
                    raise
            self.core.counters.add("connects tried again")
            time.sleep(CONNECT_RETRY_INTERVAL_S)

    def _connect(self, wait_s: float) -> socket.socket:
        """One try, for so many seconds at most (0: no limit)."""
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
        is_cut = False
        while True:
            try:
                count = self.decoder.buffer.receive(sock)
            except BlockingIOError:
                raise ProtocolError("an answer that stopped short") from None
            if not count:
                return ConnectionEnd.CLOSED
            self.deliver()
            if self.decoder.is_cut != is_cut:
                # In the middle of an answer the next bytes come soon, or never.
                is_cut = self.decoder.is_cut
                set_read_timeout(sock, self.core.agreement.connect_timeout_us if is_cut else 0)
