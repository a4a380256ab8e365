"""Handles the calls of one client connection: defers, rejects or answers each, or posts it to the core."""

from typing import TYPE_CHECKING, cast
from weakref import ref

from gullhold.net import thrift
from gullhold.net.client_limits import MAX_OPEN_REQUESTS
from gullhold.net.connection_ends import ProtocolError
from gullhold.net.reading_turns import LONG_STATEMENT_BYTES
from gullhold.net.received_call import FIELDS_ARGUMENT, ReceivedCall
from gullhold.net.request_reader import Request, RequestError, RequestReader

if TYPE_CHECKING:
    from gullhold.net.client_connection import ClientConnection

# Field ids and types of arguments; FIELDS_ARGUMENT, the first of execute, is defined in received_call.
SEQUENCE_ID_ARGUMENT = (1, thrift.I32)  # the only argument of interrupt
STATEMENT_ARGUMENT = (2, thrift.STRING)  # the second argument of execute


class ClientCalls:
    """Handles the calls of one connection, on its reader thread."""

    __slots__ = ("_client", "backpressure", "core", "counters", "last_sequence_id", "reader", "rejections")

    def __init__(self, client: "ClientConnection", reader: RequestReader) -> None:
        # Weak, since the connection refers to this object: a reference cycle would keep each ended connection
        # and its buffers in memory until the garbage collector runs.
        self._client = ref(client)
        self.core = client.core
        self.counters = client.core.counters
        self.backpressure = client.backpressure
        self.reader = reader
        self.last_sequence_id = 0
        self.rejections: list[bytes] = []  # frames that reject requests of the current read

    @property
    def client(self) -> "ClientConnection":
        """The connection that owns this object: weakly referenced, but it exists while a call is handled."""
        return cast("ClientConnection", self._client())

    def handle(self, frame: bytes, received_at_us: int) -> None:
        """Handle a call that was read, or defer it during a pause; interrupts are never deferred."""
        call = ReceivedCall(frame, received_at_us)
        if call.method == "interrupt":
            sequence_id = call.decode_arguments().get(SEQUENCE_ID_ARGUMENT)
            if sequence_id is not None:
                self._interrupt(sequence_id)
        elif not self.backpressure.must_defer():
            self._process(call)
        elif self.backpressure.defer(call):
            pass
        elif call.method == "execute":
            self.counters.add("requests_received")
            self._reject(call.sequence_id, "rejected_backpressure")
        else:
            self._process(call)

    def handle_deferred(self) -> None:
        """Handle the deferred calls that are due."""
        while self.backpressure.deferred_calls:
            deferred = self.backpressure.take_due(self.core.clock())
            if deferred is None:
                return
            self._process(deferred)

    def take_rejections(self) -> list[bytes]:
        """Remove and return the frames of all rejections since the last call."""
        rejections = self.rejections
        self.rejections = []
        return rejections

    def reject_deferred(self) -> None:
        """Shed each deferred request, as the connection is no longer read."""
        for deferred in self.backpressure.take_all():
            if deferred.method == "execute":
                self.rejections.append(thrift.encode_shed(deferred.sequence_id, {}))

    def _interrupt(self, sequence_id: int) -> None:
        client = self.client
        if self.backpressure.remove_request(sequence_id):
            self.counters.add("requests_received")
            self.counters.add("interrupted")
            return
        if client.undelivered.pop(sequence_id, None) is not None:
            return  # the core drops the request when it processes it
        if sequence_id in client.interrupted:
            return  # the core has yet to process an earlier interrupt
        client.interrupted.add(sequence_id)  # no longer counted as open, though not settled yet
        if sequence_id in client.open_requests:
            self.core.post_urgent(self.core.interrupt, client, sequence_id)
        else:  # already answered, or never received
            client.interrupted.discard(sequence_id)

    def _process(self, call: ReceivedCall) -> None:
        if call.message_type != thrift.CALL:
            return
        if call.method == "execute":
            self._execute(call)
        elif call.method == "check":
            self._check(call.sequence_id)
        else:
            self.counters.add("unknown_calls")
            text = "unknown method"
            self.client.put(
                thrift.encode_application_exception(
                    call.method, call.sequence_id, thrift.UNKNOWN_METHOD, text
                )
            )

    def _check(self, sequence_id: int) -> None:
        """Post a health check to the core. What waits there is bounded: usual clients have one check open."""
        client = self.client
        if client.posted_check_count - client.answered_check_count >= MAX_OPEN_REQUESTS:
            raise ProtocolError(f"{MAX_OPEN_REQUESTS} calls of check are unanswered")
        client.posted_check_count += 1
        self.core.post(self.core.check, client, sequence_id)

    def _execute(self, call: ReceivedCall) -> None:
        """Post a request to the core, or answer it here if it is unusable or rejected.

        The cheapest checks come first: most of a flood is shed after its header is decoded.
        """
        sequence_id = call.sequence_id
        if sequence_id <= self.last_sequence_id:
            raise ProtocolError(f"sequence id {sequence_id} is not greater than {self.last_sequence_id}")
        self.last_sequence_id = sequence_id
        self.counters.add("requests_received")
        if self.core.is_rejecting:  # in the shutdown; rejecting here costs the core nothing
            self._reject(sequence_id)
            return
        if self.core.overload.is_overloaded():  # before the arguments are decoded, which costs more
            self._reject(sequence_id, "rejected_overload")
            return
        if self.core.requests.is_over_open_limit():
            self._reject(sequence_id, "rejected_open_limit")
            return
        if self.client.open_count() >= MAX_OPEN_REQUESTS:
            self.counters.add("rejected_connection_limit")
            self.client.put(thrift.encode_shed(sequence_id, {}))
            return
        arguments = call.decode_arguments()
        fields = arguments.get(FIELDS_ARGUMENT)
        statement = arguments.get(STATEMENT_ARGUMENT)
        if fields is None or statement is None:
            self.counters.add("invalid_requests")
            self.client.put(
                thrift.encode_application_exception(
                    "execute", sequence_id, thrift.PROTOCOL_ERROR, "missing argument"
                )
            )
            return
        if self._is_rejected_early(sequence_id, fields, call.received_at_us):
            return
        if len(statement) > LONG_STATEMENT_BYTES:
            request = self._read_long_request(call, fields, statement)
        else:
            request = self._read_request(sequence_id, fields, statement)
        if request:
            self._post_to_core(sequence_id, request, call.received_at_us)

    def _reject(self, sequence_id: int, reason: str = "") -> None:
        """Shed a request, in one write with the others of this read; reason: its counter, if any."""
        if reason:
            self.counters.add(reason)
        self.rejections.append(thrift.encode_shed(sequence_id, {}))

    def _is_rejected_early(self, sequence_id: int, fields: dict[bytes, bytes], received_at_us: int) -> bool:
        """Shed a request that the admission queue is known to reject; return whether it was shed."""
        queue = self.core.admission_queue
        if not queue or not queue.known_rejections:
            return False
        shed_arguments = self.reader.known_rejection(
            fields, self.client.peer, queue.known_rejections, received_at_us
        )
        if not shed_arguments:
            return False
        self.counters.add("rejected_admission_early")
        self.rejections.append(thrift.encode_shed(sequence_id, *shed_arguments))
        return True

    def _read_request(self, sequence_id: int, fields: dict[bytes, bytes], statement: bytes) -> Request | None:
        """Validate and convert a request; answer an unusable one with a Fault and return None."""
        try:
            return self.reader.read_request(fields, statement, *self.client.peer)
        except RequestError as error:
            self.counters.add("invalid_requests")
            self.client.put(thrift.encode_fault(sequence_id, str(error)))
            # Slows down clients that repeat an unusable request immediately.
            self.backpressure.pause_for(self.core.agreement.connect_timeout_us / 1e6)
            return None

    def _read_long_request(
        self, call: ReceivedCall, fields: dict[bytes, bytes], statement: bytes
    ) -> Request | None:
        """Read a request as _read_request() does, while other readers have their turns; shed it if many wait.

        Meanwhile its bytes are in memory twice, as the frame and as the statement.
        """
        memory = self.core.statement_memory
        waiting_bytes = 2 * call.size
        if not memory.reserve(waiting_bytes):
            self._reject(call.sequence_id, "rejected_statement_memory")
            return None
        try:
            with self.core.reading_turns.beside_others(
                self.client, self.core.overload.longest_wait_s()
            ) as may_read:
                if may_read:
                    return self._read_request(call.sequence_id, fields, statement)
        finally:
            memory.release(waiting_bytes)
        self._reject(call.sequence_id, "rejected_overload")
        return None

    def _post_to_core(self, sequence_id: int, request: Request, received_at_us: int) -> None:
        if not self.core.overload.admits(request.timeout_us):
            self._reject(sequence_id, "rejected_overload")
            return
        if not self.core.statement_memory.reserve(request.kept_bytes):
            self._reject(sequence_id, "rejected_statement_memory")
            return
        self.client.posted_count += 1
        self.client.undelivered[sequence_id] = True
        self.core.post(self.core.execute, self.client, sequence_id, request, received_at_us)
