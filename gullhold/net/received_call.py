"""A call of a client as it was read. Its arguments are decoded when they are needed, and not kept."""

from functools import cached_property

from gullhold.net import thrift
from gullhold.net.request_reader import NUMBER_PATTERN

FIELDS_ARGUMENT = (1, thrift.MAP)  # field id and type of the first argument of execute, the request's fields
MS_PER_S = 1000


class ReceivedCall:
    """One call, and when it was read (Unix us, core's clock). Raises ProtocolError for a malformed header."""

    def __init__(self, frame: bytes, received_at_us: int) -> None:
        reader = thrift.FrameReader(frame)
        self.received_at_us = received_at_us
        self.method, self.message_type, self.sequence_id = thrift.read_call_header(reader)
        self._frame = frame
        self._arguments_position = reader.position

    @property
    def size(self) -> int:
        """Size of the frame in bytes, without its length prefix."""
        return len(self._frame)

    def decode_arguments(self) -> thrift.Fields:
        """Decode the arguments, by field id and type. Raises ProtocolError if they are malformed."""
        return thrift.FrameReader(self._frame, self._arguments_position).read_struct()

    @cached_property
    def timeout_s(self) -> float:
        """The client timeout of a request; 0 if it is missing or not a number. Raises ProtocolError.

        All that is kept of the arguments while a call is deferred: decoded they can take far more memory.
        """
        request_fields = self.decode_arguments().get(FIELDS_ARGUMENT)
        timeout_ms = request_fields.get(b"limit", b"") if isinstance(request_fields, dict) else b""
        return float(timeout_ms) / MS_PER_S if NUMBER_PATTERN.match(timeout_ms) else 0.0
