"""Encodes and decodes messages of the Thrift binary protocol, strict and framed, without a socket.

Specified in thrift-binary-protocol.md and thrift-rpc.md (https://github.com/apache/thrift, doc/specs). All
numbers are big-endian. A frame is an int32 length and one message; a message is a header (version, type,
method name, sequence id) and a struct of its arguments or its result.
"""

import struct
from collections.abc import Collection, Iterator, Mapping
from enum import IntEnum
from typing import TYPE_CHECKING, Any, NamedTuple

from gullhold.net.buffer import Buffer
from gullhold.net.connection_ends import ProtocolError

if TYPE_CHECKING:
    from gullhold.net.connection import Connection
    from gullhold.net.receive_memory import ReceiveMemory


class MessageType(IntEnum):
    """Types of a message, as the protocol numbers them."""

    CALL = 1
    REPLY = 2
    EXCEPTION = 3
    ONEWAY = 4


class FieldType(IntEnum):
    """Types of a field or container item, as the protocol numbers them."""

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
    """The types of application exceptions that the gateway sends, as the protocol numbers them."""

    UNKNOWN_METHOD = 1
    PROTOCOL_ERROR = 7


# Short aliases, for this module and others.
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

VERSION_1 = 0x8001  # first bytes of a message in the strict encoding
MAX_VALUES = 1024  # values of a message, at any level; a call has about twenty
MAX_NESTING = 16  # levels of structs and containers; the service's messages have three at most
LENGTH_SIZE = 4  # bytes of the length of a frame or string
MESSAGE_HEADER = struct.Struct(">HBB")  # start of a message header: version, unused byte, message type
FIELD_HEADER = struct.Struct(">Bh")  # type, field id
MAP_HEADER = struct.Struct(">BBi")  # types of keys and values, number of pairs
I16_FORMAT = struct.Struct(">h")
I32_FORMAT = struct.Struct(">i")
END_OF_STRUCT = bytes((FieldType.STOP,))

# Field ids of the service's messages.
RESULT_SUCCESS = 0  # in every result: the value that the method returns
RESULT_SHED = 1  # in the result of execute: the Shed that it throws
RESULT_FAULT = 2  # in the result of execute: the Fault that it throws
ANSWER_BODY = 1  # in an Answer, the struct that a method returns
ANSWER_FIELDS = 2  # in an Answer
ANSWER_GOOD = 3  # in an Answer
EXCEPTION_FIELDS = 1  # in a Shed or Fault: its map of strings
APPLICATION_ERROR_MESSAGE = 1  # in an application exception
APPLICATION_ERROR_TYPE = 2  # in an application exception
CHECK_UNUSED = 1  # the only argument of check, which has no meaning

MAX_CHECK_REPLY_BYTES = 4096  # far more than a reply to check takes, as it has no body

Fields = dict[tuple[int, int], Any]
"""The values of a struct, by (field id, field type)."""


class MessageHeader(NamedTuple):
    """The header of a message."""

    method: str
    message_type: int  # a MessageType
    sequence_id: int


class Message(NamedTuple):
    """A call or a reply; fields: the struct of the call's arguments, or of its result or exception."""

    method: str
    message_type: int  # a MessageType
    sequence_id: int
    fields: Fields


class FrameReader:
    """Reads the values of one frame in order. All methods raise ProtocolError for malformed bytes."""

    def __init__(self, data: bytes, position: int = 0) -> None:
        self.data = data
        self.position = position  # index of the next byte to read
        self.value_count = 0  # values that were read or announced

    def read(self, size: int) -> bytes:
        """Read the next size bytes."""
        if size < 0 or self.position + size > len(self.data):
            raise ProtocolError(
                f"{size} bytes at position {self.position} do not fit a frame of {len(self.data)} bytes"
            )
        self.position += size
        return self.data[self.position - size : self.position]

    def read_number(self, number_format: struct.Struct) -> int:
        """Read the next integer, encoded in this format."""
        return number_format.unpack(self.read(number_format.size))[0]

    def read_string(self) -> bytes:
        """Read the next string as bytes; it need not be valid UTF-8."""
        return self.read(self.read_number(I32_FORMAT))

    def read_value(self, value_type: int, depth: int = 0) -> Any:
        """Read the next value, of this type.

        Numbers of types that the service's messages do not use (I8, I16, I64, DOUBLE) are returned as bytes.
        """
        if depth > MAX_NESTING:
            raise ProtocolError(f"structs or containers are nested more than {MAX_NESTING} levels deep")
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
        raise ProtocolError(f"unknown field type {value_type}")

    def read_struct(self, depth: int = 0) -> Fields:
        """Read the fields of a struct, up to and including its end."""
        fields: Fields = {}
        while value_type := self.read(1)[0]:
            self._count_values(1)
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
        """Read a map of strings to strings: the bulk of most calls, hence written with few function calls."""
        strings: dict[bytes, bytes] = {}
        data = self.data
        end = len(data)
        at = self.position + LENGTH_SIZE
        for _ in range(self._read_container_size(STRING, STRING)):
            pair = []
            for _ in (0, 1):
                if at + LENGTH_SIZE > end:
                    raise ProtocolError(f"a length at position {at} does not fit a frame of {end} bytes")
                size = I32_FORMAT.unpack_from(data, at)[0]
                at += LENGTH_SIZE + size
                if size < 0 or at > end:
                    raise ProtocolError(
                        f"a string of {size} bytes up to {at} does not fit a frame of {end} bytes"
                    )
                pair.append(data[at - size : at])
            strings[pair[0]] = pair[1]
        self.position = at
        return strings

    def _read_container_size(self, *item_types: int) -> int:
        size = self.read_number(I32_FORMAT)
        if size < 0 or size > len(self.data) - self.position:  # no value is shorter than a byte
            raise ProtocolError(f"{size} items of a container do not fit a frame of {len(self.data)} bytes")
        if size and not VALUE_TYPES.issuperset(item_types):
            raise ProtocolError(f"unknown type among the item types of a container: {item_types}")
        self._count_values(size * len(item_types))
        return size

    def _count_values(self, count: int) -> None:
        """Limit what one message costs: an empty struct is a byte in it, but takes a hundred in memory."""
        self.value_count += count
        if self.value_count > MAX_VALUES:
            raise ProtocolError(f"a message of more than {MAX_VALUES} values")


class Decoder:
    """Splits the bytes of a connection into frames or calls; the caller puts the bytes into `buffer`.

    memory, connection: as of a Buffer.
    """

    def __init__(
        self,
        max_bytes: int,
        memory: "ReceiveMemory | None" = None,
        connection: "Connection | None" = None,
    ) -> None:
        self.buffer = Buffer(max_bytes, memory, connection)

    def calls(self) -> Iterator[Message]:
        """Consume and decode the calls that have arrived completely. Raises ProtocolError."""
        return map(decode_call, self.frames())

    def frames(self) -> Iterator[bytes]:
        """Consume the frames that have arrived completely; yield each without its length.

        Raises ProtocolError for an invalid length.
        """
        while (length := self.buffer.peek(LENGTH_SIZE)) is not None:
            size = I32_FORMAT.unpack(length)[0]
            if not MESSAGE_HEADER.size <= size <= self.buffer.max_bytes - LENGTH_SIZE:
                raise ProtocolError(
                    f"frame of {size} bytes: not between {MESSAGE_HEADER.size}"
                    f" and {self.buffer.max_bytes - LENGTH_SIZE} bytes"
                )
            frame = self.buffer.peek(size, LENGTH_SIZE)
            if frame is None:
                return
            self.buffer.consume(LENGTH_SIZE + size)
            yield frame


def decode_message(frame: bytes, *message_types: int) -> Message:
    """Decode the message in a frame. Raises ProtocolError, also if its type is not one of message_types."""
    reader = FrameReader(frame)
    header = _read_header(reader, message_types)
    return Message(*header, reader.read_struct())


def read_call_header(reader: FrameReader) -> MessageHeader:
    """Read the header of a call; the struct of its arguments is next. Raises ProtocolError."""
    return _read_header(reader, (CALL, ONEWAY))


def _read_header(reader: FrameReader, message_types: Collection[int]) -> MessageHeader:
    version, _, message_type = MESSAGE_HEADER.unpack(reader.read(MESSAGE_HEADER.size))
    if version != VERSION_1 or message_type not in message_types:
        raise ProtocolError(
            f"not a strict binary message of an expected type: version {version:#x}, type {message_type}"
        )
    try:
        method = reader.read_string().decode()
    except UnicodeDecodeError as error:
        raise ProtocolError(f"method name is not valid UTF-8: {error.object[:40]!r}") from None
    return MessageHeader(method, message_type, reader.read_number(I32_FORMAT))


def decode_call(frame: bytes) -> Message:
    """Decode the call in a frame. Raises ProtocolError."""
    return decode_message(frame, CALL, ONEWAY)


def encode_string(data: bytes) -> bytes:
    """Encode a string: its length, then its bytes."""
    return I32_FORMAT.pack(len(data)) + data


def encode_string_map(strings: Mapping[bytes, bytes]) -> bytes:
    """Encode a map of strings to strings."""
    pairs = b"".join(encode_string(key) + encode_string(value) for key, value in strings.items())
    return MAP_HEADER.pack(STRING, STRING, len(strings)) + pairs


def encode_message(message_type: int, method: str, sequence_id: int, body: bytes) -> bytes:
    """Encode a frame with one message; body: the encoded struct of its arguments, result or exception."""
    header = MESSAGE_HEADER.pack(VERSION_1, 0, message_type)
    message = header + encode_string(method.encode()) + I32_FORMAT.pack(sequence_id) + body
    return I32_FORMAT.pack(len(message)) + message


def encode_answer(method: str, sequence_id: int, body: bytes = b"", good: bool = True) -> bytes:
    """Encode a reply with an Answer that has this body, no fields, and this value of `good`."""
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
    if not fields:  # fast path: most answers under overload
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
    """Return the bytes before and after the sequence id of a frame that contains them only once."""
    start, _, end = frame.partition(I32_FORMAT.pack(sequence_id))
    return start, end


PLACEHOLDER_ID = 0x5EC1D5EC  # a sequence id whose bytes occur nowhere else in a Shed without fields
# The frame of a Shed without fields, before and after its sequence id.
PLAIN_SHED_START, PLAIN_SHED_END = _split_at_sequence_id(
    _encode_exception(PLACEHOLDER_ID, RESULT_SHED, {}), PLACEHOLDER_ID
)


def encode_application_exception(method: str, sequence_id: int, error_type: int, text: str) -> bytes:
    """Encode an application exception, which reports that a call itself is invalid."""
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
    """Encode a call of check, with which a client asks whether the gateway serves."""
    return encode_message(
        CALL, "check", sequence_id, FIELD_HEADER.pack(BOOL, CHECK_UNUSED) + bytes((1,)) + END_OF_STRUCT
    )


def is_good_answer(frame: bytes) -> bool:
    """Whether a frame is a reply with an Answer whose `good` is true. Raises ProtocolError."""
    answer_fields = decode_message(frame, REPLY, EXCEPTION).fields.get((RESULT_SUCCESS, STRUCT), {})
    return answer_fields.get((ANSWER_GOOD, BOOL), False)
