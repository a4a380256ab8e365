"""The client of the gateway that sends scheduled commands: they take the path of any client's command."""

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING, Any

from gullhold.fleet.occurrence import OccurrenceState
from gullhold.net import US_PER_MS, thrift
from gullhold.net.pending_requests import PeerAddress
from gullhold.net.request_reader import RequestError, RequestReader

if TYPE_CHECKING:
    from gullhold.net.core import Core
    from gullhold.operator.records import Scheduled

TRANSACTION_ID_BITS = 64
CLIENT_NAME = "fleet"  # the client and the host that a scheduled command seems to come from

# Of a reply's result struct: the field of each kind of final answer, and the fields inside it.
RESULT = (0, thrift.STRUCT)
RESULT_DONE = (3, thrift.BOOL)
SHED = (1, thrift.STRUCT)
FAULT = (2, thrift.STRUCT)
FAULT_DETAILS = (1, thrift.MAP)

OnEnded = Callable[[int, OccurrenceState, str], Any]  # number, what became of it, the reason


class RejectedError(Exception):
    """The gateway can't take a scheduled command; the text says why."""


class _WriteBuffer:
    """What the core asks of a connection's write buffer: this one never dies and holds nothing back."""

    is_dead = is_finishing = False

    def finish(self, now: bool = False) -> None:
        """Nothing to close."""


class ScheduledCommandClient:
    """The one client that is the fleet itself. The core sees it as a connection.

    The attributes without a leading underscore, put() among them, are those that the core uses of a
    connection; answers come on the core's thread.
    """

    peer = PeerAddress("", CLIENT_NAME)  # where it connects from, as other clients have it

    def __init__(
        self, core: "Core", reader: RequestReader, on_ended: OnEnded, random_bits: Callable[[int], int]
    ) -> None:
        """on_ended is called once for each command that was sent, on the core's thread."""
        self._core = core
        self._reader = reader
        self.open: dict[int, Any] = {}
        self.undelivered: dict[int, bool] = {}
        self.interrupted: set[int] = set()
        self.settled_count = 0
        self.has_left = False
        self.write_buffer = _WriteBuffer()
        self._on_ended = on_ended
        self._random_bits = random_bits
        self._numbers = count(1)

    def send(
        self,
        command: "Scheduled",
        time_limit_us: int,
        counted_from: int,
        idempotency_key: str,
        is_repeat: bool,
    ) -> int:
        """Hand a command to the core; its number. Raises RejectedError.

        counted_from: Unix us from which the time limit counts; once that is over it is not sent any more.
        idempotency_key: 32 hex digits by which engines know a repeat.
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
            request = self._reader.request(fields, command.statement.encode(), CLIENT_NAME, CLIENT_NAME)
        except RequestError as error:
            raise RejectedError(str(error)) from None
        if not self._core.statement_memory.reserve(len(request.statement)):
            raise RejectedError("no memory for its statement")
        self.undelivered[number] = True
        self._core.counters.add("scheduled_commands_sent")
        self._core.post(self._core.execute, self, number, request, counted_from)
        return number

    def put(self, message: bytes) -> None:
        """Take whole frames, an answer each. Called on the core's thread."""
        while message:
            size = thrift.I32S.unpack(message[:4])[0] + 4
            answer = thrift.decode_message(message[4:size], thrift.REPLY, thrift.EXCEPTION)
            message = message[size:]
            self._on_ended(answer.sequence_id, *_outcome(answer.fields))


def _outcome(args: dict[tuple[int, int], Any]) -> tuple[OccurrenceState, str]:
    """What became of a command, and the reason, by the arguments of its answer."""
    if args.get(RESULT, {}).get(RESULT_DONE):
        return OccurrenceState.ANSWERED, ""
    if SHED in args:
        return OccurrenceState.SHED, "shed"
    details = args.get(FAULT, {}).get(FAULT_DETAILS, {})
    reason = details.get(b"reason", b"failed") if isinstance(details, dict) else b"failed"
    return OccurrenceState.FAILED, reason.decode("utf-8", "replace")
