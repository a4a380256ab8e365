"""A client connection: its socket, its reader thread, and the ways in which it is closed."""

import socket
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from gullhold.net import US_PER_S, connection_ends, set_no_delay, set_read_timeout, thrift
from gullhold.net.backpressure import Backpressure
from gullhold.net.client_calls import ClientCalls
from gullhold.net.client_input import ClientInput
from gullhold.net.client_limits import MAX_OPEN_REQUESTS, MAX_RESULT_BYTES
from gullhold.net.connection import Connection
from gullhold.net.connection_ends import ConnectionEnd, ProtocolError
from gullhold.net.idle_timer import IdleTimer
from gullhold.net.pending_requests import PeerAddress, PendingRequest
from gullhold.net.request_reader import RequestReader
from gullhold.net.write_buffer import WriteBuffer

if TYPE_CHECKING:
    from gullhold.net.core import Core

CLOSING_PAUSE_S = 0.5  # pause between reads, in the shutdown, of a connection that still has open requests
MAX_CLOSING_READ_BYTES = 65_536  # limit of one read in the shutdown: 32 requests of 2 KB
FULL_POLL_INTERVAL_S = 0.05  # time between reads in a pause once no more calls can be deferred
MESSAGE_TIMEOUT_S = 2.0  # time to complete a message; the protocol has us end the connection within 3 s
IDLE_TIMEOUT_S = 5.0  # time without a request; usual clients close an idle connection after 4 s themselves
MAX_READ_WAIT_US = 500_000  # longest wait of a read, so that the two timeouts above are checked
PAUSE_MARGIN_US = 1000  # added to a read's wait for the end of a pause, so that the pause is over then
TRANSIT_TIME_S = 0.1  # limit of the network delay: twice the 50 ms that the protocol states
POLL_INTERVAL_S = 0.01  # time between checks of a closing connection: far less than TRANSIT_TIME_S
SPURIOUS_WAKE_DELAY_S = 0.001  # pause after a wait that has ended though nothing had arrived
UNKNOWN_PEER = PeerAddress("", "")  # peer of a connection without an address, as in the simulation


class ClientConnection:
    """A client connection. Its reader thread posts calls to the core, which puts answers in its write buffer.

    peer, open_requests, undelivered, interrupted, settled_count, completed_count, has_left and write_buffer
    are described in pending_requests.Client. The core also uses end_requested, may_end and is_busy().
    """

    open_input = ClientInput  # the simulation replaces it

    def __init__(
        self,
        sock: socket.socket,
        core: "Core",
        reader: RequestReader,
        max_message_bytes: int,
        peer: PeerAddress = UNKNOWN_PEER,
    ) -> None:
        self.connection = Connection(sock)
        self.input = self.open_input(self.connection)
        self.core = core
        self.peer = peer
        self.decoder = thrift.Decoder(max_message_bytes, core.receive_memory, self.connection)
        self.write_buffer = WriteBuffer(
            MAX_OPEN_REQUESTS * (MAX_RESULT_BYTES + max_message_bytes), core.counters, core.flusher
        )
        self.open_requests: dict[int, PendingRequest] = {}  # by sequence id
        # Sequence ids of requests posted to the core, not processed yet. A dict, whose values mean nothing,
        # as its pop() removes an id and tells whether it was there in one step.
        self.undelivered: dict[int, bool] = {}
        self.interrupted: set[int] = set()  # sequence ids whose interrupts the core has not processed
        self.posted_count = 0  # number of requests posted to the core
        self.settled_count = 0  # number of posted requests whose answer is decided, or that are dropped
        self.completed_count = 0  # number of settled requests whose answer was put, or that are dropped
        self.posted_check_count = 0  # health checks posted to the core
        self.answered_check_count = 0  # those that it has answered
        self.is_ending = False  # the connection is no longer read, or is to end soon
        self.has_left = False  # the client closed it, or it broke: no answers are expected any more
        self.has_closed = False  # the client has closed its side, by what its reader has seen
        self.is_draining = False  # the connection is to end once all its requests are answered
        self.end_requested = False  # the core was asked whether the idle connection may end
        self.may_end = False  # the core has allowed the idle connection to end
        self.local_end: tuple[ConnectionEnd, str] | None = None  # why we ended it, with a detail for the log
        self.backpressure = Backpressure(core.statement_memory)
        self.calls = ClientCalls(self, reader)
        self.idle_timer = IdleTimer()
        set_no_delay(sock)
        self.write_buffer.attach(self.connection)

    @property
    def last_active_at(self) -> float:
        """Monotonic time at which a message last began or ended, or a request was last open."""
        return self.idle_timer.last_active_at

    def put(self, message: bytes) -> None:
        """Send complete frames, or end the connection if its write buffer can't take them.

        While the unread answers of all clients together exceed their memory limit, a connection with over
        MAX_RESULT_BYTES of them is ended too. Drawback: this ends clients that read slowly along with those
        that do not read at all.
        """
        is_over_limit = (
            self.write_buffer.size > MAX_RESULT_BYTES and self.core.statement_memory.are_answers_over_limit()
        )
        is_sent = not is_over_limit and self.write_buffer.put(message) >= 0
        if not is_sent and (self.write_buffer.is_closed or not self.write_buffer.is_finishing):
            self.core.counters.add("answers_undeliverable")
            self.end(
                ConnectionEnd.RESET if self.write_buffer.is_closed else ConnectionEnd.PEER_NOT_READING, ""
            )

    def end(self, end: ConnectionEnd, detail: str) -> None:
        """End the connection at once and discard buffered answers; its reader wakes and reports the end."""
        self.local_end = self.local_end or (end, detail)
        self.is_ending = True
        self.write_buffer.finish(now=True)

    def drain(self) -> None:
        """End the connection once all that has arrived is read and answered."""
        self.is_ending = True
        self.is_draining = True
        self.backpressure.stop()
        self.connection.shutdown(socket.SHUT_RD)

    def is_busy(self) -> bool:
        """Whether a request of this client has yet to be answered, also a deferred one."""
        return self.posted_count != self.completed_count or len(self.backpressure.deferred_calls) > 0

    def open_count(self) -> int:
        """Return the number of requests posted to the core that are neither settled nor interrupted."""
        return self.posted_count - self.settled_count - len(self.interrupted)

    def run(self) -> None:
        """Read until the connection ends, then close it."""
        try:
            self._serve()
        finally:
            self.connection.close()

    def report_end(self, end: ConnectionEnd, detail: str) -> None:
        """From the reader thread: report to the core that reading has ended, and why."""
        if self.local_end:
            end, detail = self.local_end
        self.is_ending = True
        self.decoder.buffer.clear()
        if end in connection_ends.CLIENT_STILL_WAITS:  # posted behind its requests, so that each is answered
            self.calls.reject_deferred()
            self.write_rejections()
            self.core.post(self.core.client_ended, self, end, detail)
        else:  # ahead of all other events: no more attempts must be sent for this client
            self.has_left = True
            self.core.post_urgent(self.core.client_ended, self, end, detail)
            self.backpressure.take_all()

    def write_rejections(self) -> bool:
        """From the reader thread: send the collected rejections in one write; return whether any existed."""
        if not self.calls.rejections:
            return False
        self.put(b"".join(self.calls.take_rejections()))
        return True

    def _serve(self) -> None:
        detail = ""
        try:
            end = self._read()
            if self.write_buffer.error:  # a failed write has ended the connection and woken the reader
                end, detail = connection_ends.classify_exception(self.write_buffer.error)
        # An internal fault ends this connection only.
        except Exception as error:  # noqa: BLE001  the outermost function of the thread
            end, detail = connection_ends.classify_exception(error)
        self.report_end(end, detail)
        self._linger()

    def _linger(self) -> None:
        """Read and discard until the peer has closed its side too, or a time limit has passed.

        Closing a socket with unread bytes sends a reset, which can destroy answers that the peer has yet to
        read. What is read here arrived after we shut down our side: the client sends it again to another
        gateway, so it is never handled.
        """
        deadline_s = time.monotonic() + MESSAGE_TIMEOUT_S  # deadline for writing the buffered answers
        is_end_awaited = False  # our side is shut down; the peer's end of stream is due
        with suppress(OSError):
            set_read_timeout(self.connection.sock, int(POLL_INTERVAL_S * 1e6))
            while time.monotonic() < deadline_s and not self.write_buffer.is_closed:
                if self.write_buffer.is_end_sent and not is_end_awaited:
                    is_end_awaited = True
                    deadline_s = min(deadline_s, time.monotonic() + TRANSIT_TIME_S)
                if self._has_peer_closed():
                    break
        self.write_buffer.finish(now=True)

    def _has_peer_closed(self) -> bool:
        try:
            has_more = len(self.connection.sock.recv(MAX_CLOSING_READ_BYTES)) > 0
        except BlockingIOError:
            return False
        if not has_more and self.write_buffer.is_end_sent and not self.is_draining:
            return True
        time.sleep(POLL_INTERVAL_S)  # limits the processor time for a peer that keeps writing
        return False

    def _read(self) -> ConnectionEnd:
        while True:
            self.input.handled()
            has_more = self._receive()
            received_at_us = self.core.clock()
            if self.write_buffer.is_finishing:
                return ConnectionEnd.IDLE
            if not has_more and (self.has_closed or not self.is_draining):
                return ConnectionEnd.CLOSED_BY_PEER
            if not has_more:
                self._end_if_settled()
            with self.core.reading_turns.turn(self, self.input.is_awaited):
                self.calls.handle_deferred()
                for frame in self.decoder.frames():
                    self.idle_timer.call_received()
                    self.calls.handle(frame, received_at_us)
                self._send_rejections()
            self._end_if_allowed()
            self._check_idle()

    def _end_if_allowed(self) -> None:
        """Shut down our side if the core allows it; called between two reads.

        Only the reader thread does this: the core can't know of a request that was read but not posted yet.
        """
        if self.may_end:
            self.may_end = False
            self.end_requested = False
            if not self.is_busy():
                self.write_buffer.finish()

    def _end_if_settled(self) -> None:
        """End a draining connection of which everything was read, once no request is open."""
        if self.core.is_rejecting:
            self._end_when_answered()
        elif not self.is_busy():
            self._request_end()
        time.sleep(POLL_INTERVAL_S)  # more bytes may still arrive

    def _send_rejections(self) -> None:
        """Send the rejections of this read, and begin a pause or end the connection if there were any."""
        if not self.write_rejections():
            self.backpressure.record_accepted()
        elif self.core.is_rejecting:
            self._end_when_answered()
        else:
            self.backpressure.record_rejected()

    def _check_idle(self) -> None:
        """End a connection that has been idle, or in the middle of a message, for too long."""
        is_mid_message = len(self.decoder.buffer) > 0
        is_busy = self.is_busy()
        was_answered = self.write_buffer.end_offset > 0
        limit_s = IDLE_TIMEOUT_S if was_answered and not is_mid_message else MESSAGE_TIMEOUT_S
        if self.idle_timer.idle_s(is_mid_message, is_busy, was_answered) <= limit_s:
            return
        if is_mid_message:
            raise ProtocolError(
                f"only {len(self.decoder.buffer)} bytes of a message arrived within the limit of {limit_s} s"
            )
        if not is_busy:
            self._request_end()

    def _receive(self) -> bool:
        """Read what arrives, waiting no longer than a pause lasts; return False at the end of the stream.

        A pause only defers requests: the connection is still read, so that an interrupt or a disconnect is
        noticed before the command goes to an engine. Once no more calls can be deferred it is read slowly,
        and TCP flow control holds the client back; a disconnect is still noticed at once, and while the core
        waits for what has arrived it is read at full speed.
        """
        pause_s = self.backpressure.remaining_pause_s()
        if pause_s > 0 and self.backpressure.is_full():
            self._wait_while_full(min(pause_s, FULL_POLL_INTERVAL_S))
        if not self.input.wait(self._read_wait_us(pause_s) / US_PER_S):
            return True
        self.has_closed = self._has_peer_closed_orderly()
        if self.has_closed:
            return False  # its unread calls do not matter: nothing is attempted for a client that has left
        try:
            count = self.decoder.buffer.receive(self.input)
        except BlockingIOError:
            time.sleep(SPURIOUS_WAKE_DELAY_S)
            return True
        if count and self.core.is_rejecting:
            self._receive_rest()
        return count > 0

    def _wait_while_full(self, wait_s: float) -> None:
        """Wait until the client has closed its side, the core waits for its input, or this time is over."""
        ends_at = time.monotonic() + wait_s
        while not self.input.is_awaited and time.monotonic() < ends_at:
            if self.connection.has_peer_closed(POLL_INTERVAL_S):
                return

    def _has_peer_closed_orderly(self) -> bool:
        """Whether the client has closed its side. Where we end the connection, the read tells why."""
        if self.decoder.buffer.is_given_up or self.write_buffer.is_finishing:
            return False
        return self.connection.has_peer_closed(0) if self.is_draining else self.input.has_peer_closed

    def _read_wait_us(self, pause_s: float) -> int:
        """Return how long the next read may wait; pause_s: the rest of the pause, 0 or less if none."""
        if pause_s <= 0:
            return int(POLL_INTERVAL_S * 1e6) if self.end_requested else MAX_READ_WAIT_US
        if self.backpressure.deferred_calls:
            remaining_s = self.backpressure.oldest_remaining_s(self.core.clock())
            pause_s = min(pause_s, max(remaining_s, POLL_INTERVAL_S))
        return int(min(pause_s * 1e6 + PAUSE_MARGIN_US, MAX_READ_WAIT_US))

    def _receive_rest(self) -> None:
        """In the shutdown, read all that has arrived, up to a limit, so that it is answered before we end.

        What arrives later the client sends again to another gateway, once it sees our end of stream.
        """
        buffer = self.decoder.buffer
        while len(buffer) < MAX_CLOSING_READ_BYTES and self.connection.is_readable():
            if not self.core.receive_memory.has_room(MAX_CLOSING_READ_BYTES):
                return  # what has been read is handled first
            if not buffer.receive(self.input):
                return

    def _end_when_answered(self) -> None:
        """In the shutdown, shut down our side if no request is open, else read slowly until then.

        The client then sends further requests to another gateway.
        """
        if self.is_busy():
            self.backpressure.pause_for(CLOSING_PAUSE_S)
        else:
            self.write_buffer.finish()

    def _request_end(self) -> None:
        """Ask the core whether this idle connection may end. The core handles all earlier calls first."""
        if not self.end_requested:
            self.end_requested = True
            self.core.post(self.core.close_if_idle, self)
