"""A call of a client as it was read. Its arguments are decoded only when they are needed."""

from functools import cached_property

from gullhold.net import thrift
from gullhold.net.request_reader import NUMBER_PATTERN

FIELDS_ARGUMENT = (1, thrift.MAP)  # field id and type of the first argument of execute, the request's fields
MS_PER_S = 1000


class ReceivedCall:
    """One call, and when it was read (Unix us, core's clock). Raises ProtocolError for a malformed header."""

    def __init__(self, frame: bytes, received_at_us: int) -> None:
        self._reader = thrift.FrameReader(frame)
        self.received_at_us = received_at_us
        self.method, self.message_type, self.sequence_id = thrift.read_call_header(self._reader)

    @property
    def size(self) -> int:
        """Size of the frame in bytes, without its length prefix."""
        return len(self._reader.data)

    @cached_property
    def fields(self) -> thrift.Fields:
        """The arguments by field id and type. Raises ProtocolError if they are malformed."""
        return self._reader.read_struct()

    @cached_property
    def timeout_s(self) -> float:
        """The client timeout of a request; 0 if it is missing or not a number. Raises ProtocolError."""
        request_fields = self.fields.get(FIELDS_ARGUMENT)
        timeout_ms = request_fields.get(b"limit", b"") if isinstance(request_fields, dict) else b""
        return float(timeout_ms) / MS_PER_S if NUMBER_PATTERN.match(timeout_ms) else 0.0
