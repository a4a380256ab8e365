"""One connection of a client: its socket, its reader thread, and its graceful end."""

import socket
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from gullhold.net import connection_ends, set_no_delay, set_read_timeout, thrift
from gullhold.net.backpressure import Backpressure
from gullhold.net.client_calls import ClientCalls
from gullhold.net.client_limits import MAX_OPEN_REQUESTS, MAX_RESULT_BYTES
from gullhold.net.connection import Connection
from gullhold.net.connection_ends import ConnectionEnd, ProtocolError
from gullhold.net.idle_timer import IdleTimer
from gullhold.net.pending_requests import PeerAddress, PendingRequest
from gullhold.net.request_reader import RequestReader
from gullhold.net.write_buffer import WriteBuffer

if TYPE_CHECKING:
    from gullhold.net.core import Core

CLOSING_PAUSE_S = 0.5  # between reads of a connection that waits for its last answers
MAX_CLOSING_READ_BYTES = 65_536  # read at once during the shutdown: 32 requests of usual size
FULL_POLL_INTERVAL_S = 0.05  # between reads in a pause once the deferred calls are full
MESSAGE_TIMEOUT_S = 2.0  # in which a peer completes a message; the protocol wants an end within 3 s
IDLE_TIMEOUT_S = 5.0  # without a request; usual clients close their own connection after 4 s
MAX_READ_WAIT_US = 500_000  # between checks of the two timeouts above
PAUSE_MARGIN_US = 1000  # that a read waits beyond the end of a pause, so that the pause is over then
CROSSING_TIME_S = 0.1  # in which what was sent has arrived: twice the protocol's time for crossing messages
POLL_INTERVAL_S = 0.01  # between checks of a dismissed connection: the protocol's crossing time is 50 ms
UNKNOWN_PEER = PeerAddress("", "")  # of a connection that has no address


class ClientConnection:
    """One connection of a client. Its reader thread feeds the core, which answers through its write buffer.

    peer, open, undelivered, interrupted, settled_count, completed_count, has_left and write_buffer are as in
    pending_requests.Client; of the others the core touches end_requested, may_end and is_busy().
    """

    def __init__(
        self,
        sock: socket.socket,
        core: "Core",
        reader: RequestReader,
        max_message_bytes: int,
        peer: PeerAddress = UNKNOWN_PEER,
    ) -> None:
        self.connection = Connection(sock)
        self.core = core
        self.peer = peer
        self.decoder = thrift.Decoder(max_message_bytes)
        self.write_buffer = WriteBuffer(
            MAX_OPEN_REQUESTS * (MAX_RESULT_BYTES + max_message_bytes), core.counters, core.flusher
        )
        self.open: dict[int, PendingRequest] = {}  # by sequence id
        self.undelivered: dict[int, bool] = {}  # sequence ids posted to the core that it has yet to process
        self.interrupted: set[int] = set()  # sequence ids of open requests whose interrupts wait for the core
        self.handed_over_count = 0  # requests that were handed to the core
        self.settled_count = 0  # those of them that are answered or interrupted
        self.completed_count = 0  # those of them whose answers are in the write buffer, or interrupted
        self.is_ending = False  # it is not read any more, or is to end
        self.has_left = False  # it closed, or its connection broke: it waits for no answer any more
        self.is_dismissed = False  # to end once nothing is open
        self.end_requested = False  # the core was asked whether it may end, because it is idle
        self.may_end = False  # the core has said so
        self.local_end: tuple[ConnectionEnd, str] | None = None
        self.backpressure = Backpressure()
        self.calls = ClientCalls(self, reader)
        self.idle_timer = IdleTimer()
        self.read_timeout_us = MAX_READ_WAIT_US
        set_no_delay(sock)
        set_read_timeout(sock, MAX_READ_WAIT_US)
        self.write_buffer.attach(self.connection)

    @property
    def last_active_at(self) -> float:
        """When something last arrived or was open, by the monotonic clock."""
        return self.idle_timer.last_active_at

    def put(self, message: bytes) -> None:
        """Send complete frames; the connection ends where that is not possible.

        While the unread answers of all clients take too much memory, a connection that has some ends as well.
        Drawback: one that only reads slowly ends together with those that do not read at all.
        """
        is_crowding = self.write_buffer.size > MAX_RESULT_BYTES and self.core.statement_memory.is_crowded()
        is_sent = not is_crowding and self.write_buffer.put(message) >= 0
        if not is_sent and (self.write_buffer.is_dead or not self.write_buffer.is_finishing):
            self.core.counters.add("answers_undeliverable")
            self.end(ConnectionEnd.RESET if self.write_buffer.is_dead else ConnectionEnd.PEER_NOT_READING, "")

    def end(self, end: ConnectionEnd, text: str) -> None:
        """End the connection from our side, now; its reader thread wakes and reports the end."""
        self.local_end = self.local_end or (end, text)
        self.is_ending = True
        self.write_buffer.finish(now=True)

    def dismiss(self) -> None:
        """End the connection as idle, or for a shutdown; what has arrived is answered first."""
        self.is_ending = True
        self.is_dismissed = True
        self.backpressure.stop()
        self.connection.shutdown(socket.SHUT_RD)

    def is_busy(self) -> bool:
        """Whether a request of this client is still to be answered."""
        return self.handed_over_count != self.completed_count or len(self.backpressure.calls) > 0

    def open_count(self) -> int:
        """Return how many requests the client has open."""
        return self.handed_over_count - self.settled_count - len(self.interrupted)

    def run(self) -> None:
        """Read until the connection ends, then close it."""
        try:
            self._serve()
        finally:
            self.connection.close()

    def report_end(self, end: ConnectionEnd, text: str) -> None:
        """From the reader thread: tell the core that the connection is not read any more."""
        if self.local_end:
            end, text = self.local_end
        self.is_ending = True
        if end in connection_ends.CLIENT_STILL_WAITS:  # posted behind its own requests: each gets its answer
            self.calls.reject_deferred()
            self.write_rejections()
            self.core.post(self.core.client_ended, self, end, text)
        else:  # ahead of all events: nothing must be sent to engines for it any more
            self.has_left = True
            self.core.post_urgent(self.core.client_ended, self, end, text)

    def write_rejections(self) -> bool:
        """From the reader thread: send the pending rejections in one write; return whether there were any."""
        if not self.calls.rejections:
            return False
        self.put(b"".join(self.calls.take_rejections()))
        return True

    def _serve(self) -> None:
        text = ""
        try:
            end = self._read()
            if self.write_buffer.error:  # a write failed, and the reader was only woken
                end, text = connection_ends.classify_exception(self.write_buffer.error)
        # A fault of ours ends this connection, not the program.
        except Exception as error:  # noqa: BLE001  the outermost function of the thread
            end, text = connection_ends.classify_exception(error)
        self.report_end(end, text)
        self._linger()

    def _linger(self) -> None:
        """Read and discard until the peer has closed too, or has had the time to.

        Closing a socket with unread bytes sends a reset, which can destroy answers on their way. What is read
        here arrived after our end of stream, so the client sends it again elsewhere: it is never handled.
        """
        deadline_s = time.monotonic() + MESSAGE_TIMEOUT_S  # for what is still to be written
        is_end_awaited = False
        with suppress(OSError):
            set_read_timeout(self.connection.sock, int(POLL_INTERVAL_S * 1e6))
            while time.monotonic() < deadline_s and not self.write_buffer.is_dead:
                if self.write_buffer.is_end_sent and not is_end_awaited:
                    is_end_awaited = True
                    deadline_s = min(deadline_s, time.monotonic() + CROSSING_TIME_S)
                if self._has_peer_closed():
                    break
        self.write_buffer.finish(now=True)

    def _has_peer_closed(self) -> bool:
        try:
            has_more = len(self.connection.sock.recv(MAX_CLOSING_READ_BYTES)) > 0
        except BlockingIOError:
            return False
        if not has_more and self.write_buffer.is_end_sent and not self.is_dismissed:
            return True
        time.sleep(POLL_INTERVAL_S)  # a peer that goes on writing must not take up the processor
        return False

    def _read(self) -> ConnectionEnd:
        while True:
            has_more = self._receive()
            received_at_us = self.core.clock()
            if self.write_buffer.is_finishing:
                return ConnectionEnd.IDLE
            if not has_more and not self.is_dismissed:
                return ConnectionEnd.CLOSED_BY_PEER
            if not has_more:
                self._end_if_settled()
            with self.core.reading_lock:
                self.calls.take_deferred()
                for frame in self.decoder.frames():
                    self.idle_timer.call_received()
                    self.calls.handle(frame, received_at_us)
                self._answer_rejected()
            self._end_if_allowed()
            self._check_idle()

    def _end_if_allowed(self) -> None:
        """Say the end of our stream where the core allows it, between two reads.

        Guards against an end while a request that was read is on its way to the core.
        """
        if self.may_end:
            self.may_end = False
            self.end_requested = False
            if not self.is_busy():
                self.write_buffer.finish()

    def _end_if_settled(self) -> None:
        """End a dismissed connection whose stream is at its end, once nothing is open."""
        if self.core.is_rejecting:
            self._end_soon()
        elif not self.is_busy():
            self._request_end()
        time.sleep(POLL_INTERVAL_S)  # more may still arrive

    def _answer_rejected(self) -> None:
        if not self.write_rejections():
            self.backpressure.record_accepted()
        elif self.core.is_rejecting:
            self._end_soon()
        else:
            self.backpressure.record_rejected()

    def _check_idle(self) -> None:
        """End an idle connection; guards against clients that send nothing, or never complete a message."""
        is_mid_message = len(self.decoder.buffer) > 0
        is_busy = self.is_busy()
        was_answered = self.write_buffer.end_offset > 0
        limit_s = IDLE_TIMEOUT_S if was_answered and not is_mid_message else MESSAGE_TIMEOUT_S
        if self.idle_timer.idle_s(is_mid_message, is_busy, was_answered) <= limit_s:
            return
        if is_mid_message:
            raise ProtocolError("half a message")
        if not is_busy:
            self._request_end()

    def _receive(self) -> bool:
        """Read what arrives, waiting no longer than a pause lasts; return False at the end of the stream.

        A pause only defers requests. The connection is still read, so that an interrupt, or that the client
        has left, is noticed before its command goes to an engine. Once the deferred calls are full it is read
        slowly, so that its own connection holds the client back; that it has left is still noticed at once.
        """
        pause_s = self.backpressure.remaining_pause_s()
        is_pausing = pause_s > 0
        is_full = is_pausing and self.backpressure.is_full()
        if is_full and self.connection.has_peer_closed(min(pause_s, FULL_POLL_INTERVAL_S)):
            return False  # whatever it sent before: nothing is attempted for a client that has left
        self._set_read_timeout(self._read_wait_us(pause_s))
        try:
            count = self.decoder.buffer.receive(self.connection.sock)
        except BlockingIOError:
            return True
        if count and self.core.is_rejecting:
            self._receive_rest()
        return count > 0

    def _read_wait_us(self, pause_s: float) -> int:
        """Return how long the next read may wait."""
        if pause_s <= 0:
            return int(POLL_INTERVAL_S * 1e6) if self.end_requested else MAX_READ_WAIT_US
        if self.backpressure.calls:
            oldest_s = self.backpressure.oldest_remaining_s(self.core.clock())
            pause_s = min(pause_s, max(oldest_s, POLL_INTERVAL_S))
        return int(min(pause_s * 1e6 + PAUSE_MARGIN_US, MAX_READ_WAIT_US))

    def _set_read_timeout(self, wait_us: int) -> None:
        if wait_us != self.read_timeout_us:
            self.read_timeout_us = wait_us
            set_read_timeout(self.connection.sock, wait_us)

    def _receive_rest(self) -> None:
        """In the shutdown, read all that has arrived before it is answered; the rest crosses our end."""
        buffer = self.decoder.buffer
        while len(buffer) < MAX_CLOSING_READ_BYTES and self.connection.is_readable():
            if not buffer.receive(self.connection.sock):
                return

    def _end_soon(self) -> None:
        """Say the end of our stream: all that had arrived is answered, and nothing is accepted any more.

        The client sends later requests elsewhere. A connection that waits for answers is read slowly, and
        ends with the last of them.
        """
        if self.is_busy():
            self.backpressure.pause_for(CLOSING_PAUSE_S)
        else:
            self.write_buffer.finish()

    def _request_end(self) -> None:
        """Ask the core whether this idle connection may end; posted behind all that it has to answer."""
        if not self.end_requested:
            self.end_requested = True
            self.core.post(self.core.close_if_idle, self)
