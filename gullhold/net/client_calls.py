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

    __slots__ = ("_client", "backpressure", "core", "counters", "last_seq", "reader", "rejections")

    def __init__(self, client: "ClientConnection", reader: RequestReader) -> None:
        # Weak: guards against a cycle of references, which kept each connection that had ended, and its
        # buffers, until the garbage collector came round.
        self._client = ref(client)
        self.core = client.core
        self.counters = client.core.counters
        self.backpressure = client.backpressure
        self.reader = reader
        self.last_seq = 0
        self.rejections: list[bytes] = []  # answers to what was read just now and is rejected at once

    @property
    def client(self) -> "ClientConnection":
        """The connection: it owns this object, and lives while one of its calls is taken."""
        return cast("ClientConnection", self._client())

    def received(self, call: thrift.Message, received_at_us: int) -> None:
        """A call was read: taken now, or after the pause; what takes another back is never put off."""
        if call.method == "interrupt":
            self._interrupt(call.args.get(FIRST_NUMBER))
        elif not self.backpressure.must_defer():
            self._take(call, received_at_us)
        elif call.method == "execute" and self.backpressure.is_full():
            self.counters.add("requests_received")
            self.counters.add("rejected_backpressure")
            self.rejections.append(thrift.encode_shed(call.seq, {}))
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
                self.rejections.append(thrift.encode_shed(deferred.call.seq, {}))

    def _interrupt(self, seq: int) -> None:
        client = self.client
        if self.backpressure.take_back(seq):
            self.counters.add("requests_received")
            self.counters.add("interrupted")
            return
        if client.unseen.pop(seq, None) is not None:
            return  # the core passes it over when it comes to it
        client.interrupted.add(seq)  # no longer open, though the core has yet to settle it
        if seq in client.open:
            self.core.post_urgent(self.core.interrupt, client, seq)
        else:  # answered before, or never asked
            client.interrupted.discard(seq)

    def _take(self, call: thrift.Message, received_at_us: int) -> None:
        if call.kind != thrift.CALL:
            return
        if call.method == "execute":
            self._execute(call, received_at_us)
        elif call.method == "check":
            self.core.post(self.core.check, self.client, call.seq)
        else:
            self.counters.add("unknown_calls")
            text = "unknown method"
            self.client.put(
                thrift.encode_application_exception(call.method, call.seq, thrift.UNKNOWN_METHOD, text)
            )

    def _execute(self, call: thrift.Message, received_at_us: int) -> None:
        """What can't be used is answered here and never reaches the core."""
        seq = call.seq
        if seq <= self.last_seq:
            raise ProtocolError(f"request {seq} after {self.last_seq}")
        self.last_seq = seq
        self.counters.add("requests_received")
        if self.core.is_rejecting:  # at the end: nothing goes on from here, so this costs the core nothing
            self.rejections.append(thrift.encode_shed(seq, {}))
            return
        if self.client.open_count() >= MAX_OPEN_REQUESTS:
            self.counters.add("rejected_connection_limit")
            self.client.put(thrift.encode_shed(seq, {}))
            return
        fields = call.args.get(FIRST_MAP)
        body = call.args.get(SECOND_STRING)
        if fields is None or body is None:
            self.counters.add("invalid_requests")
            self.client.put(
                thrift.encode_application_exception("execute", seq, thrift.PROTOCOL_ERROR, "missing argument")
            )
            return
        if self._is_rejected_early(seq, fields, received_at_us):
            return
        request = self._read(seq, fields, body)
        if request:
            self._hand_to_core(seq, request, received_at_us)

    def _is_rejected_early(self, seq: int, fields: dict, received_at_us: int) -> bool:
        """Whether the admission queue would reject it with no more than is known here."""
        queue = self.core.admission_queue
        if not queue or not queue.known_rejections:
            return False
        shed_fields = self.reader.known_rejection(
            fields, self.client.peer, queue.known_rejections, received_at_us
        )
        if not shed_fields:
            return False
        self.counters.add("rejected_admission_early")
        self.rejections.append(thrift.encode_shed(seq, *shed_fields))
        return True

    def _read(self, seq: int, fields: dict, body: bytes) -> Request | None:
        """The request; None where it can't be used, which its client hears."""
        try:
            return self.reader.request(fields, body, *self.client.peer)
        except RequestError as error:
            self.counters.add("invalid_requests")
            self.client.put(thrift.encode_fault(seq, str(error)))
            # Guards against those who ask the same again at once.
            self.backpressure.hold_off(self.core.agreement.connect_timeout_us / 1e6)
            return None

    def _hand_to_core(self, seq: int, request: Request, received_at_us: int) -> None:
        if not self.core.statement_memory.reserve(len(request.body)):
            self.counters.add("rejected_statement_memory")
            self.rejections.append(thrift.encode_shed(seq, {}))
            return
        self.client.handed_over_count += 1
        self.client.unseen[seq] = True
        self.core.post(self.core.execute, self.client, seq, request, received_at_us)
