"""The internal client that submits scheduled commands, which the core handles like those of any client."""

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING, Any

from gullhold.fleet.occurrence import OccurrenceState
from gullhold.net import US_PER_MS, thrift
from gullhold.net.client_input import HandledInput
from gullhold.net.pending_requests import PeerAddress
from gullhold.net.request_reader import RequestError, RequestReader

if TYPE_CHECKING:
    from gullhold.net.core import Core
    from gullhold.operator.records import ScheduledCommandRecord

TRANSACTION_ID_BITS = 64
FRAME_LENGTH_BYTES = 4  # size of the length field in front of each frame
CLIENT_NAME = "fleet"  # client and peer host of all scheduled commands

# Keys (field number, type) of the fields of a decoded answer: one struct for each kind of final answer, and
# the fields inside these structs.
RESULT = (0, thrift.STRUCT)
RESULT_DONE = (3, thrift.BOOL)
SHED = (1, thrift.STRUCT)
FAULT = (2, thrift.STRUCT)
FAULT_DETAILS = (1, thrift.MAP)

OnEnded = Callable[[int, OccurrenceState, str], Any]  # (number of the attempt, its end, the reason)


class RejectedError(Exception):
    """The gateway can't take the attempt, which is not sent; the text is the reason."""


class _WriteBuffer:
    """Stands in for a connection's write buffer, as this client has no connection."""

    is_closed = is_finishing = False

    def finish(self, now: bool = False) -> None:
        """Do nothing: there is nothing to flush or close."""


class ScheduledCommandClient:
    """The client that submits attempts of scheduled commands.

    Its attributes without a leading underscore, and put(), are the interface of a client that the core uses
    (gullhold.net.pending_requests.Client); put() is called on the core's thread, send() on the fleet's.
    """

    peer = PeerAddress("", CLIENT_NAME)

    def __init__(
        self, core: "Core", reader: RequestReader, on_ended: OnEnded, random_bits: Callable[[int], int]
    ) -> None:
        """on_ended: called once for each attempt that was sent, on the core's thread."""
        self._core = core
        self._reader = reader
        self.open_requests: dict[int, Any] = {}
        self.undelivered: dict[int, bool] = {}
        self.interrupted: set[int] = set()
        self.settled_count = 0
        self.completed_count = 0
        self.has_left = False
        self.write_buffer = _WriteBuffer()
        self.input = HandledInput()
        self._on_ended = on_ended
        self._random_bits = random_bits
        self._numbers = count(1)

    def send(
        self,
        command: "ScheduledCommandRecord",
        time_limit_us: int,
        counted_from: int,
        idempotency_key: str,
        is_repeat: bool,
    ) -> int:
        """Submit an attempt of a command to the core; return its number. Raises RejectedError.

        counted_from: Unix us from which the time limit counts; once it is over, the attempt is not
        dispatched. idempotency_key: 32 hex digits. is_repeat: the attempt is not the first of its occurrence.
        """
        number = next(self._numbers)
        fields = {
            b"verb": command.profile.encode(),
            b"team": command.tenant.encode(),
            b"txn": b"%016x" % self._random_bits(TRANSACTION_ID_BITS),
            b"limit": b"%d" % max(1, time_limit_us // US_PER_MS),
            b"unique": idempotency_key.encode(),
            b"cpu": b"%d" % (command.work // US_PER_MS),
            b"memory": b"%d" % command.memory,
        }
        if is_repeat:
            fields[b"second"] = b"1"
        try:
            request = self._reader.read_request(fields, command.statement.encode(), CLIENT_NAME, CLIENT_NAME)
        except RequestError as error:
            raise RejectedError(str(error)) from None
        if not self._core.statement_memory.reserve(request.kept_bytes):
            raise RejectedError("no memory for its statement")
        self.undelivered[number] = True
        self._core.counters.add("scheduled_commands_sent")
        self._core.post(self._core.execute, self, number, request, counted_from)
        return number

    def put(self, message: bytes) -> None:
        """Take whole frames, each with the final answer to one attempt. Called on the core's thread."""
        while message:
            size = FRAME_LENGTH_BYTES + thrift.I32_FORMAT.unpack(message[:FRAME_LENGTH_BYTES])[0]
            answer = thrift.decode_message(message[FRAME_LENGTH_BYTES:size], thrift.REPLY, thrift.EXCEPTION)
            message = message[size:]
            self._on_ended(answer.sequence_id, *_outcome(answer.fields))


def _outcome(fields: dict[tuple[int, int], Any]) -> tuple[OccurrenceState, str]:
    """How an attempt ended and the reason, from the fields of its answer."""
    if fields.get(RESULT, {}).get(RESULT_DONE):
        return OccurrenceState.ANSWERED, ""
    if SHED in fields:
        return OccurrenceState.SHED, "shed"
    details = fields.get(FAULT, {}).get(FAULT_DETAILS, {})
    reason = details.get(b"reason", b"failed") if isinstance(details, dict) else b"failed"
    return OccurrenceState.FAILED, reason.decode("utf-8", "replace")
