"""The Thrift binary protocol, strict and framed: bytes to messages and back, without a socket.

Specified in thrift-binary-protocol.md and thrift-rpc.md (https://github.com/apache/thrift, doc/specs). All
numbers are big-endian. A frame is an int32 length and one message; a message is a header (version, type,
method name, sequence id) and a struct of its arguments or its result.
"""

import struct
from collections.abc import Collection, Iterator, Mapping
from enum import IntEnum
from typing import Any, NamedTuple

from gullhold.net.buffer import Buffer
from gullhold.net.connection_ends import ProtocolError


class MessageType(IntEnum):
    """Types of a message."""

    CALL = 1
    REPLY = 2
    EXCEPTION = 3
    ONEWAY = 4


class FieldType(IntEnum):
    """Types of a value, as the binary protocol numbers them."""

    STOP = 0  # ends a struct
    BOOL = 2
    I8 = 3
    DOUBLE = 4
    I16 = 6
    I32 = 8
    I64 = 10
    STRING = 11  # also bytes
    STRUCT = 12
    MAP = 13
    SET = 14
    LIST = 15


class ApplicationErrorType(IntEnum):
    """Types of an application exception that we send."""

    UNKNOWN_METHOD = 1
    PROTOCOL_ERROR = 7


# Short names, for this module and others.
CALL = MessageType.CALL
REPLY = MessageType.REPLY
EXCEPTION = MessageType.EXCEPTION
ONEWAY = MessageType.ONEWAY
BOOL = FieldType.BOOL
I32 = FieldType.I32
STRING = FieldType.STRING
STRUCT = FieldType.STRUCT
MAP = FieldType.MAP
UNKNOWN_METHOD = ApplicationErrorType.UNKNOWN_METHOD
PROTOCOL_ERROR = ApplicationErrorType.PROTOCOL_ERROR

SIZE_BY_FIXED_TYPE: dict[int, int] = {
    FieldType.BOOL: 1,
    FieldType.I8: 1,
    FieldType.DOUBLE: 8,
    FieldType.I16: 2,
    FieldType.I32: 4,
    FieldType.I64: 8,
}
SEQUENCE_TYPES = frozenset((FieldType.SET, FieldType.LIST))
VALUE_TYPES = frozenset(FieldType) - {FieldType.STOP}

VERSION_1 = 0x8001  # of the strict encoding
MAX_NESTING = 16  # levels of containers; no message of ours has more than three
LENGTH_SIZE = 4  # bytes of a length
MESSAGE_HEADER = struct.Struct(">HBB")  # version, an unused byte, message type
FIELD_HEADER = struct.Struct(">Bh")  # type, field id
MAP_HEADER = struct.Struct(">BBi")  # types of keys and values, number of pairs
I16_FORMAT = struct.Struct(">h")
I32_FORMAT = struct.Struct(">i")
END_OF_STRUCT = bytes((FieldType.STOP,))

# Field ids of the service's messages.
RESULT_SUCCESS = 0  # in every result: what the method returns
RESULT_SHED = 1  # in the result of execute: the exceptions that it throws
RESULT_FAULT = 2
ANSWER_BODY = 1
ANSWER_FIELDS = 2
ANSWER_GOOD = 3
EXCEPTION_FIELDS = 1
APPLICATION_ERROR_MESSAGE = 1
APPLICATION_ERROR_TYPE = 2
CHECK_UNUSED = 1  # the one argument of check

MAX_CHECK_REPLY_BYTES = 4096  # a reply to check has no body: far more than it needs

Fields = dict[tuple[int, int], Any]
"""The values of a struct by field id and type."""


class MessageHeader(NamedTuple):
    """The header of one message."""

    method: str
    message_type: int  # a MessageType
    sequence_id: int


class Message(NamedTuple):
    """One message: a call, or a reply to one. fields: the struct of its arguments or of its result."""

    method: str
    message_type: int  # a MessageType
    sequence_id: int
    fields: Fields


class FrameReader:
    """A reader of the values in one frame. All methods raise ProtocolError for malformed bytes."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0  # position of the next byte

    def read(self, size: int) -> bytes:
        """Read the next bytes."""
        if size < 0 or self.position + size > len(self.data):
            raise ProtocolError("a value runs past its frame")
        self.position += size
        return self.data[self.position - size : self.position]

    def read_number(self, form: struct.Struct) -> int:
        """Read the next number, of the given form."""
        return form.unpack(self.read(form.size))[0]

    def read_string(self) -> bytes:
        """Read the next string."""
        return self.read(self.read_number(I32_FORMAT))

    def read_value(self, value_type: int, depth: int = 0) -> Any:
        """Read the next value of a type.

        Numbers that no message of ours holds (I8, I16, I64, DOUBLE) are returned as their bytes.
        """
        if depth > MAX_NESTING:
            raise ProtocolError("structs too deep")
        if value_type in SIZE_BY_FIXED_TYPE:
            return self._read_fixed(value_type)
        if value_type == STRING:
            return self.read_string()
        if value_type == STRUCT:
            return self.read_struct(depth + 1)
        if value_type == MAP:
            return self._read_map(depth)
        if value_type in SEQUENCE_TYPES:
            item_type = self.read(1)[0]
            size = self._read_container_size(item_type)
            return [self.read_value(item_type, depth + 1) for _ in range(size)]
        raise ProtocolError(f"unknown type {value_type}")

    def read_struct(self, depth: int = 0) -> Fields:
        """Read a struct."""
        fields: Fields = {}
        while value_type := self.read(1)[0]:
            field_id = self.read_number(I16_FORMAT)
            fields[field_id, value_type] = self.read_value(value_type, depth)
        return fields

    def _read_fixed(self, value_type: int) -> int | bool | bytes:
        data = self.read(SIZE_BY_FIXED_TYPE[value_type])
        if value_type == I32:
            return I32_FORMAT.unpack(data)[0]
        if value_type == BOOL:
            return data != b"\0"
        return data

    def _read_map(self, depth: int) -> dict[Any, Any]:
        key_type, value_type = self.read(2)
        if key_type == STRING and value_type == STRING:
            return self._read_string_map()
        size = self._read_container_size(key_type, value_type)
        return {
            self._read_map_key(key_type, depth): self.read_value(value_type, depth + 1) for _ in range(size)
        }

    def _read_map_key(self, key_type: int, depth: int) -> Any:
        key = self.read_value(key_type, depth + 1)
        return str(key) if isinstance(key, dict | list) else key

    def _read_string_map(self) -> dict[bytes, bytes]:
        """Read a map of strings to strings. Nearly every call consists of one, hence few calls inside."""
        strings: dict[bytes, bytes] = {}
        data = self.data
        end = len(data)
        at = self.position + LENGTH_SIZE
        for _ in range(self._read_container_size(STRING, STRING)):
            pair = []
            for _ in (0, 1):
                if at + LENGTH_SIZE > end:
                    raise ProtocolError("a value runs past its frame")
                size = I32_FORMAT.unpack_from(data, at)[0]
                at += LENGTH_SIZE + size
                if size < 0 or at > end:
                    raise ProtocolError("a value runs past its frame")
                pair.append(data[at - size : at])
            strings[pair[0]] = pair[1]
        self.position = at
        return strings

    def _read_container_size(self, *item_types: int) -> int:
        size = self.read_number(I32_FORMAT)
        if size < 0 or size > len(self.data) - self.position:  # no value is shorter than a byte
            raise ProtocolError(f"a container of {size}")
        if size and not VALUE_TYPES.issuperset(item_types):
            raise ProtocolError("unknown type in a container")
        return size


class Decoder:
    """Splits the bytes of one connection, put into `buffer`, into frames or calls."""

    def __init__(self, max_bytes: int) -> None:
        self.buffer = Buffer(max_bytes)

    def calls(self) -> Iterator[Message]:
        """Iterate over the calls that are complete. Raises ProtocolError."""
        return map(decode_call, self.frames())

    def frames(self) -> Iterator[bytes]:
        """Iterate over the frames that are complete, without their lengths. Raises ProtocolError."""
        while (length := self.buffer.peek(LENGTH_SIZE)) is not None:
            size = I32_FORMAT.unpack(length)[0]
            if not MESSAGE_HEADER.size <= size <= self.buffer.max_bytes - LENGTH_SIZE:
                raise ProtocolError(f"a frame of {size} bytes")
            frame = self.buffer.peek(size, LENGTH_SIZE)
            if frame is None:
                return
            self.buffer.consume(LENGTH_SIZE + size)
            yield frame


def decode_message(frame: bytes, *message_types: int) -> Message:
    """Decode the message in one frame. Raises ProtocolError, also where its type is none of these."""
    reader = FrameReader(frame)
    header = _read_header(reader, message_types)
    return Message(*header, reader.read_struct())


def read_call_header(reader: FrameReader) -> MessageHeader:
    """Read the header of the call in one frame; its arguments, a struct, are next. Raises ProtocolError."""
    return _read_header(reader, (CALL, ONEWAY))


def _read_header(reader: FrameReader, message_types: Collection[int]) -> MessageHeader:
    version, _, message_type = MESSAGE_HEADER.unpack(reader.read(MESSAGE_HEADER.size))
    if version != VERSION_1 or message_type not in message_types:
        raise ProtocolError("not a strict binary message of its kind")
    try:
        method = reader.read_string().decode()
    except UnicodeDecodeError:
        raise ProtocolError("a method name that is no text") from None
    return MessageHeader(method, message_type, reader.read_number(I32_FORMAT))


def decode_call(frame: bytes) -> Message:
    """Decode the call in one frame. Raises ProtocolError."""
    return decode_message(frame, CALL, ONEWAY)


def encode_string(data: bytes) -> bytes:
    """Encode a string."""
    return I32_FORMAT.pack(len(data)) + data


def encode_string_map(strings: Mapping[bytes, bytes]) -> bytes:
    """Encode a map of strings to strings."""
    pairs = b"".join(encode_string(key) + encode_string(value) for key, value in strings.items())
    return MAP_HEADER.pack(STRING, STRING, len(strings)) + pairs


def encode_message(message_type: int, method: str, sequence_id: int, body: bytes) -> bytes:
    """Encode a frame with one message, whose arguments or result, a whole struct, is the body."""
    header = MESSAGE_HEADER.pack(VERSION_1, 0, message_type)
    message = header + encode_string(method.encode()) + I32_FORMAT.pack(sequence_id) + body
    return I32_FORMAT.pack(len(message)) + message


def encode_answer(method: str, sequence_id: int, body: bytes = b"", good: bool = True) -> bytes:
    """Encode a reply with an Answer: its body, no fields, and whether all is well."""
    return encode_message(
        REPLY,
        method,
        sequence_id,
        FIELD_HEADER.pack(STRUCT, RESULT_SUCCESS)
        + FIELD_HEADER.pack(STRING, ANSWER_BODY)
        + encode_string(body)
        + FIELD_HEADER.pack(MAP, ANSWER_FIELDS)
        + encode_string_map({})
        + FIELD_HEADER.pack(BOOL, ANSWER_GOOD)
        + bytes((good,))
        + END_OF_STRUCT  # of the Answer
        + END_OF_STRUCT,  # of the result
    )


def encode_shed(sequence_id: int, fields: Mapping[bytes, bytes]) -> bytes:
    """Encode a reply to execute that throws a Shed with these fields."""
    if not fields:  # under overload most answers are these
        return PLAIN_SHED_START + I32_FORMAT.pack(sequence_id) + PLAIN_SHED_END
    return _encode_exception(sequence_id, RESULT_SHED, fields)


def encode_fault(sequence_id: int, reason: str) -> bytes:
    """Encode a reply to execute that throws a Fault."""
    return _encode_exception(sequence_id, RESULT_FAULT, {b"reason": reason.encode()})


def _encode_exception(sequence_id: int, result_field: int, fields: Mapping[bytes, bytes]) -> bytes:
    return encode_message(
        REPLY,
        "execute",
        sequence_id,
        FIELD_HEADER.pack(STRUCT, result_field)
        + FIELD_HEADER.pack(MAP, EXCEPTION_FIELDS)
        + encode_string_map(fields)
        + END_OF_STRUCT  # of the exception
        + END_OF_STRUCT,  # of the result
    )


def _split_at_sequence_id(frame: bytes, sequence_id: int) -> tuple[bytes, bytes]:
    """Return what stands before and after the sequence id in a frame that has it once."""
    start, _, end = frame.partition(I32_FORMAT.pack(sequence_id))
    return start, end


PLACEHOLDER_ID = 0x5EC1D5EC  # a sequence id whose bytes stand nowhere else in a plain shed
PLAIN_SHED_START, PLAIN_SHED_END = _split_at_sequence_id(
    _encode_exception(PLACEHOLDER_ID, RESULT_SHED, {}), PLACEHOLDER_ID
)


def encode_application_exception(method: str, sequence_id: int, error_type: int, text: str) -> bytes:
    """Encode an application exception."""
    return encode_message(
        EXCEPTION,
        method,
        sequence_id,
        FIELD_HEADER.pack(STRING, APPLICATION_ERROR_MESSAGE)
        + encode_string(text.encode())
        + FIELD_HEADER.pack(I32, APPLICATION_ERROR_TYPE)
        + I32_FORMAT.pack(error_type)
        + END_OF_STRUCT,
    )


def encode_check_call(sequence_id: int) -> bytes:
    """Encode a call of check, with which a client asks whether we serve."""
    return encode_message(
        CALL, "check", sequence_id, FIELD_HEADER.pack(BOOL, CHECK_UNUSED) + bytes((1,)) + END_OF_STRUCT
    )


def is_good_answer(frame: bytes) -> bool:
    """Whether a frame holds an Answer whose `good` is true. Raises ProtocolError."""
    answer_fields = decode_message(frame, REPLY, EXCEPTION).fields.get((RESULT_SUCCESS, STRUCT), {})
    return answer_fields.get((ANSWER_GOOD, BOOL), False)
