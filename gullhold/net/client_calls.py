"""The calls of one client: deferred, rejected at once, answered with an error, or handed to the core."""

from typing import TYPE_CHECKING, cast
from weakref import ref

from gullhold.net import thrift
from gullhold.net.client_limits import MAX_OPEN_REQUESTS
from gullhold.net.connection_ends import ProtocolError
from gullhold.net.request_reader import Request, RequestError, RequestReader

if TYPE_CHECKING:
    from gullhold.net.client_connection import ClientConnection

FIRST_MAP = (1, thrift.MAP)
FIRST_NUMBER = (1, thrift.I32)
SECOND_STRING = (2, thrift.STRING)


class ClientCalls:
    """Takes the calls of one connection, in its reader's thread."""

    __slots__ = ("_client", "backpressure", "core", "counters", "last_sequence_id", "reader", "rejections")

    def __init__(self, client: "ClientConnection", reader: RequestReader) -> None:
        # Weak: guards against a cycle of references, which kept each connection that had ended, and its
        # buffers, until the garbage collector came round.
        self._client = ref(client)
        self.core = client.core
        self.counters = client.core.counters
        self.backpressure = client.backpressure
        self.reader = reader
        self.last_sequence_id = 0
        self.rejections: list[bytes] = []  # answers to what was read just now and is rejected at once

    @property
    def client(self) -> "ClientConnection":
        """The connection: it owns this object, and lives while one of its calls is taken."""
        return cast("ClientConnection", self._client())

    def handle(self, call: thrift.Message, received_at_us: int) -> None:
        """A call was read: taken now, or after the pause; what takes another back is never put off."""
        if call.method == "interrupt":
            sequence_id = call.fields.get(FIRST_NUMBER)
            if sequence_id is not None:
                self._interrupt(sequence_id)
        elif not self.backpressure.must_defer():
            self._take(call, received_at_us)
        elif call.method == "execute" and self.backpressure.is_full():
            self.counters.add("taken")
            self.counters.add("turned away in a pause")
            self.rejections.append(thrift.encode_shed(call.sequence_id, {}))
        else:
            self.backpressure.defer(call, received_at_us)

    def take_deferred(self) -> None:
        """Take what was deferred and is due."""
        while self.backpressure.calls:
            deferred = self.backpressure.take_due(self.core.clock())
            if deferred is None:
                return
            self._take(deferred.call, deferred.received_at_us)

    def take_rejections(self) -> list[bytes]:
        """The answers to what was rejected at once since the last call."""
        rejections = self.rejections
        self.rejections = []
        return rejections

    def reject_deferred(self) -> None:
        """The connection is read no more: each request that is deferred is shed."""
        for deferred in self.backpressure.calls:
            if deferred.call.method == "execute":
                self.rejections.append(thrift.encode_shed(deferred.call.sequence_id, {}))

    def _interrupt(self, sequence_id: int) -> None:
        client = self.client
        if self.backpressure.remove_request(sequence_id):
            self.counters.add("taken")
            self.counters.add("interrupted")
            return
        if client.undelivered.pop(sequence_id, None) is not None:
            return  # the core passes it over when it comes to it
        client.interrupted.add(sequence_id)  # no longer open, though the core has yet to settle it
        if sequence_id in client.open:
            self.core.post_urgent(self.core.interrupt, client, sequence_id)
        else:  # answered before, or never asked
            client.interrupted.discard(sequence_id)

    def _take(self, call: thrift.Message, received_at_us: int) -> None:
        if call.message_type != thrift.CALL:
            return
        if call.method == "execute":
            self._execute(call, received_at_us)
        elif call.method == "check":
            self.core.post(self.core.check, self.client, call.sequence_id)
        else:
            self.counters.add("calls unknown")
            text = "unknown method"
            self.client.put(
                thrift.encode_application_exception(
                    call.method, call.sequence_id, thrift.UNKNOWN_METHOD, text
                )
            )

    def _execute(self, call: thrift.Message, received_at_us: int) -> None:
        """What can't be used is answered here and never reaches the core."""
        sequence_id = call.sequence_id
        if sequence_id <= self.last_sequence_id:
            raise ProtocolError(f"request {sequence_id} after {self.last_sequence_id}")
        self.last_sequence_id = sequence_id
        self.counters.add("taken")
        if self.core.is_rejecting:  # at the end: nothing goes on from here, so this costs the core nothing
            self.rejections.append(thrift.encode_shed(sequence_id, {}))
            return
        if self.client.open_count() >= MAX_OPEN_REQUESTS:
            self.counters.add("over 32 open on a connection")
            self.client.put(thrift.encode_shed(sequence_id, {}))
            return
        fields = call.fields.get(FIRST_MAP)
        statement = call.fields.get(SECOND_STRING)
        if fields is None or statement is None:
            self.counters.add("unusable")
            self.client.put(
                thrift.encode_application_exception(
                    "execute", sequence_id, thrift.PROTOCOL_ERROR, "missing argument"
                )
            )
            return
        if self._is_rejected_early(sequence_id, fields, received_at_us):
            return
        request = self._read(sequence_id, fields, statement)
        if request:
            self._hand_to_core(sequence_id, request, received_at_us)

    def _is_rejected_early(self, sequence_id: int, fields: dict[bytes, bytes], received_at_us: int) -> bool:
        """Whether the admission queue would reject it with no more than is known here."""
        queue = self.core.admission_queue
        if not queue or not queue.known_rejections:
            return False
        shed_fields = self.reader.known_rejection(
            fields, self.client.peer, queue.known_rejections, received_at_us
        )
        if not shed_fields:
            return False
        self.counters.add("turned away at the door, unasked")
        self.rejections.append(thrift.encode_shed(sequence_id, *shed_fields))
        return True

    def _read(self, sequence_id: int, fields: dict[bytes, bytes], statement: bytes) -> Request | None:
        """The request; None where it can't be used, which its client hears."""
        try:
            return self.reader.request(fields, statement, *self.client.peer)
        except RequestError as error:
            self.counters.add("unusable")
            self.client.put(thrift.encode_fault(sequence_id, str(error)))
            # Guards against those who ask the same again at once.
            self.backpressure.pause_for(self.core.agreement.connect_timeout_us / 1e6)
            return None

    def _hand_to_core(self, sequence_id: int, request: Request, received_at_us: int) -> None:
        if not self.core.statement_memory.reserve(len(request.statement)):
            self.counters.add("no memory for a statement")
            self.rejections.append(thrift.encode_shed(sequence_id, {}))
            return
        self.client.handed_over_count += 1
        self.client.undelivered[sequence_id] = True
        self.core.post(self.core.execute, self.client, sequence_id, request, received_at_us)
