"""The calls of one client: each is deferred, rejected, answered with an error, or handed to the core."""

from typing import TYPE_CHECKING, cast
from weakref import ref

from gullhold.net import thrift
from gullhold.net.client_limits import MAX_OPEN_REQUESTS
from gullhold.net.connection_ends import ProtocolError
from gullhold.net.received_call import FIRST_MAP, ReceivedCall
from gullhold.net.request_reader import Request, RequestError, RequestReader

if TYPE_CHECKING:
    from gullhold.net.client_connection import ClientConnection

FIRST_NUMBER = (1, thrift.I32)
SECOND_STRING = (2, thrift.STRING)


class ClientCalls:
    """Handles the calls of one connection, in its reader thread."""

    __slots__ = ("_client", "backpressure", "core", "counters", "last_sequence_id", "reader", "rejections")

    def __init__(self, client: "ClientConnection", reader: RequestReader) -> None:
        # Weak: a cycle of references would keep each ended connection, and its buffers, until the garbage
        # collector runs.
        self._client = ref(client)
        self.core = client.core
        self.counters = client.core.counters
        self.backpressure = client.backpressure
        self.reader = reader
        self.last_sequence_id = 0
        self.rejections: list[bytes] = []  # frames for requests of the last read that are rejected at once

    @property
    def client(self) -> "ClientConnection":
        """The connection. It owns this object, and lives while one of its calls is handled."""
        return cast("ClientConnection", self._client())

    def handle(self, frame: bytes, received_at_us: int) -> None:
        """Handle a call that was read, or defer it until the pause is over; interrupts are never deferred."""
        call = ReceivedCall(frame, received_at_us)
        if call.method == "interrupt":
            sequence_id = call.fields.get(FIRST_NUMBER)
            if sequence_id is not None:
                self._interrupt(sequence_id)
        elif not self.backpressure.must_defer():
            self._take(call)
        elif call.method == "execute" and self.backpressure.is_full():
            self.counters.add("requests_received")
            self._reject(call.sequence_id, "rejected_backpressure")
        else:
            self.backpressure.defer(call)

    def take_deferred(self) -> None:
        """Handle the deferred calls that are due."""
        while self.backpressure.calls:
            deferred = self.backpressure.take_due(self.core.clock())
            if deferred is None:
                return
            self._take(deferred)

    def take_rejections(self) -> list[bytes]:
        """Remove and return the frames of rejections since the last call."""
        rejections = self.rejections
        self.rejections = []
        return rejections

    def reject_deferred(self) -> None:
        """Shed each deferred request: the connection is not read any more."""
        for deferred in self.backpressure.calls:
            if deferred.method == "execute":
                self.rejections.append(thrift.encode_shed(deferred.sequence_id, {}))

    def _interrupt(self, sequence_id: int) -> None:
        client = self.client
        if self.backpressure.remove_request(sequence_id):
            self.counters.add("requests_received")
            self.counters.add("interrupted")
            return
        if client.undelivered.pop(sequence_id, None) is not None:
            return  # the core ignores it when it gets to it
        client.interrupted.add(sequence_id)  # no longer open, though the core has yet to settle it
        if sequence_id in client.open_requests:
            self.core.post_urgent(self.core.interrupt, client, sequence_id)
        else:  # answered before, or never received
            client.interrupted.discard(sequence_id)

    def _take(self, call: ReceivedCall) -> None:
        if call.message_type != thrift.CALL:
            return
        if call.method == "execute":
            self._execute(call)
        elif call.method == "check":
            self.core.post(self.core.check, self.client, call.sequence_id)
        else:
            self.counters.add("unknown_calls")
            text = "unknown method"
            self.client.put(
                thrift.encode_application_exception(
                    call.method, call.sequence_id, thrift.UNKNOWN_METHOD, text
                )
            )

    def _execute(self, call: ReceivedCall) -> None:
        """Hand a request to the core; an unusable or rejected one is answered here."""
        sequence_id = call.sequence_id
        if sequence_id <= self.last_sequence_id:
            raise ProtocolError(f"request {sequence_id} after {self.last_sequence_id}")
        self.last_sequence_id = sequence_id
        self.counters.add("requests_received")
        if self.core.is_rejecting:  # late in the shutdown: costs the core nothing
            self._reject(sequence_id)
            return
        if self.core.overload.is_overloaded():  # decided by the header: what is shed costs little
            self._reject(sequence_id, "rejected_overload")
            return
        if self.core.requests.is_over_open_limit():
            self._reject(sequence_id, "rejected_open_limit")
            return
        if self.client.open_count() >= MAX_OPEN_REQUESTS:
            self.counters.add("rejected_connection_limit")
            self.client.put(thrift.encode_shed(sequence_id, {}))
            return
        fields = call.fields.get(FIRST_MAP)
        statement = call.fields.get(SECOND_STRING)
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
        request = self._read(sequence_id, fields, statement)
        if request:
            self._post_to_core(sequence_id, request, call.received_at_us)

    def _reject(self, sequence_id: int, reason: str = "") -> None:
        """Shed a request here, with the others of this read; reason: the name of its counter, if any."""
        if reason:
            self.counters.add(reason)
        self.rejections.append(thrift.encode_shed(sequence_id, {}))

    def _is_rejected_early(self, sequence_id: int, fields: dict[bytes, bytes], received_at_us: int) -> bool:
        """Reject a request that the admission queue is known to reject; return whether it was rejected."""
        queue = self.core.admission_queue
        if not queue or not queue.known_rejections:
            return False
        shed_fields = self.reader.known_rejection(
            fields, self.client.peer, queue.known_rejections, received_at_us
        )
        if not shed_fields:
            return False
        self.counters.add("rejected_admission_early")
        self.rejections.append(thrift.encode_shed(sequence_id, *shed_fields))
        return True

    def _read(self, sequence_id: int, fields: dict[bytes, bytes], statement: bytes) -> Request | None:
        """Read a request; an unusable one is answered with a Fault, and None is returned."""
        try:
            return self.reader.read_request(fields, statement, *self.client.peer)
        except RequestError as error:
            self.counters.add("invalid_requests")
            self.client.put(thrift.encode_fault(sequence_id, str(error)))
            # Guards against clients that repeat an unusable request at once.
            self.backpressure.pause_for(self.core.agreement.connect_timeout_us / 1e6)
            return None

    def _post_to_core(self, sequence_id: int, request: Request, received_at_us: int) -> None:
        if not self.core.overload.admits(request.timeout_us):
            self._reject(sequence_id, "rejected_overload")
            return
        if not self.core.statement_memory.reserve(len(request.statement)):
            self._reject(sequence_id, "rejected_statement_memory")
            return
        self.client.posted_count += 1
        self.client.undelivered[sequence_id] = True
        self.core.post(self.core.execute, self.client, sequence_id, request, received_at_us)
