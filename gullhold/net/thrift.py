"""The Thrift binary protocol, strict and framed: bytes to messages and back, without a socket.

Specified in thrift-binary-protocol.md and thrift-rpc.md (https://github.com/apache/thrift, doc/specs). All
numbers are big-endian. A frame is an int32 length and one message; a message is a header (version, type,
method name, sequence id) and a struct of its arguments or its result.
"""

import struct
from collections.abc import Iterator, Mapping
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

SIZE_BY_FIXED_TYPE = {
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
MAX_NESTING = 16  # levels of containers that are followed; no message of ours has more than three
LENGTH_SIZE = 4  # bytes of a length
MESSAGE_HEADER = struct.Struct(">HBB")  # version, an unused byte, message type
FIELD_HEADER = struct.Struct(">Bh")  # type, field id
MAP_HEADER = struct.Struct(">BBi")  # types of keys and values, number of pairs
I16S = struct.Struct(">h")
I32S = struct.Struct(">i")
END_OF_STRUCT = bytes((FieldType.STOP,))

# Field ids of the service's messages.
RESULT_SUCCESS = 0  # in every result: what the method returns
RESULT_SHED = 1  # in the result of execute: the exceptions that it throws
RESULT_FAULT = 2
ANSWER_BODY = 1
ANSWER_FIELDS = 2
ANSWER_GOOD = 3
THROWN_FIELDS = 1
APPLICATION_ERROR_MESSAGE = 1
APPLICATION_ERROR_TYPE = 2
CHECK_UNUSED = 1  # the one argument of check

MAX_CHECK_REPLY_BYTES = 4096  # a reply to check has no body: far more than it needs

Fields = dict[tuple[int, int], Any]
"""The values of a struct by field id and type."""


class Message(NamedTuple):
    """One message: a call, or a reply to one. args: the struct of its arguments or of its result."""

    method: str
    kind: int  # a MessageType
    seq: int
    args: Fields


class Scan:
    """A reader of the values in one frame. All methods raise ProtocolError for bytes that make no sense."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0  # position of the next byte

    def take(self, size: int) -> bytes:
        """Read the next bytes."""
        if size < 0 or self.at + size > len(self.data):
            raise ProtocolError("a value runs past its frame")
        self.at += size
        return self.data[self.at - size : self.at]

    def number(self, form: struct.Struct) -> int:
        """Read the next number, of the given form."""
        return form.unpack(self.take(form.size))[0]

    def string(self) -> bytes:
        """Read the next string."""
        return self.take(self.number(I32S))

    def value(self, kind: int, depth: int = 0) -> Any:
        """Read the next value of a type.

        Numbers that no message of ours holds (I8, I16, I64, DOUBLE) are returned as their bytes.
        """
        if depth > MAX_NESTING:
            raise ProtocolError("structs too deep")
        if kind in SIZE_BY_FIXED_TYPE:
            return self._fixed_value(kind)
        if kind == STRING:
            return self.string()
        if kind == STRUCT:
            return self.fields(depth + 1)
        if kind == MAP:
            return self._map(depth)
        if kind in SEQUENCE_TYPES:
            item_type = self.take(1)[0]
            size = self._container_size(item_type)
            return [self.value(item_type, depth + 1) for _ in range(size)]
        raise ProtocolError(f"unknown type {kind}")

    def fields(self, depth: int = 0) -> Fields:
        """Read a struct."""
        fields: Fields = {}
        while kind := self.take(1)[0]:
            field_id = self.number(I16S)
            fields[field_id, kind] = self.value(kind, depth)
        return fields

    def _fixed_value(self, kind: int) -> int | bool | bytes:
        data = self.take(SIZE_BY_FIXED_TYPE[kind])
        if kind == I32:
            return I32S.unpack(data)[0]
        if kind == BOOL:
            return data != b"\0"
        return data

    def _map(self, depth: int) -> dict[Any, Any]:
        key_type, value_type = self.take(2)
        if key_type == STRING and value_type == STRING:
            return self._string_map()
        size = self._container_size(key_type, value_type)
        return {self._map_key(key_type, depth): self.value(value_type, depth + 1) for _ in range(size)}

    def _map_key(self, kind: int, depth: int) -> Any:
        key = self.value(kind, depth + 1)
        return str(key) if isinstance(key, dict | list) else key

    def _string_map(self) -> dict[bytes, bytes]:
        """Read a map of strings to strings. Nearly every call consists of one, hence few calls inside."""
        strings: dict[bytes, bytes] = {}
        data = self.data
        end = len(data)
        at = self.at + LENGTH_SIZE
        for _ in range(self._container_size(STRING, STRING)):
            pair = []
            for _ in (0, 1):
                if at + LENGTH_SIZE > end:
                    raise ProtocolError("a value runs past its frame")
                size = I32S.unpack_from(data, at)[0]
                at += LENGTH_SIZE + size
                if size < 0 or at > end:
                    raise ProtocolError("a value runs past its frame")
                pair.append(data[at - size : at])
            strings[pair[0]] = pair[1]
        self.at = at
        return strings

    def _container_size(self, *item_types: int) -> int:
        size = self.number(I32S)
        if size < 0 or size > len(self.data) - self.at:  # no value is shorter than a byte
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
            size = I32S.unpack(length)[0]
            if not MESSAGE_HEADER.size <= size <= self.buffer.most - LENGTH_SIZE:
                raise ProtocolError(f"a frame of {size} bytes")
            frame = self.buffer.peek(size, LENGTH_SIZE)
            if frame is None:
                return
            self.buffer.drop(LENGTH_SIZE + size)
            yield frame


def decode_message(frame: bytes, *kinds: int) -> Message:
    """Decode the message in one frame. Raises ProtocolError, also where its type is none of these."""
    scan = Scan(frame)
    version, _, kind = MESSAGE_HEADER.unpack(scan.take(MESSAGE_HEADER.size))
    if version != VERSION_1 or kind not in kinds:
        raise ProtocolError("not a strict binary message of its kind")
    try:
        method = scan.string().decode()
    except UnicodeDecodeError:
        raise ProtocolError("a method name that is no text") from None
    seq = scan.number(I32S)
    return Message(method, kind, seq, scan.fields())


def decode_call(frame: bytes) -> Message:
    """Decode the call in one frame. Raises ProtocolError."""
    return decode_message(frame, CALL, ONEWAY)


def encode_string(data: bytes) -> bytes:
    """Encode a string."""
    return I32S.pack(len(data)) + data


def encode_string_map(strings: Mapping[bytes, bytes]) -> bytes:
    """Encode a map of strings to strings."""
    pairs = b"".join(encode_string(key) + encode_string(value) for key, value in strings.items())
    return MAP_HEADER.pack(STRING, STRING, len(strings)) + pairs


def encode_message(kind: int, method: str, seq: int, body: bytes) -> bytes:
    """Encode a frame with one message, whose arguments or result, a whole struct, is the body."""
    header = MESSAGE_HEADER.pack(VERSION_1, 0, kind)
    message = header + encode_string(method.encode()) + I32S.pack(seq) + body
    return I32S.pack(len(message)) + message


def encode_answer(method: str, seq: int, body: bytes = b"", good: bool = True) -> bytes:
    """Encode a reply with an Answer: its body, no fields, and whether all is well."""
    return encode_message(
        REPLY,
        method,
        seq,
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


def encode_shed(seq: int, fields: Mapping[bytes, bytes]) -> bytes:
    """Encode a reply to execute that throws a Shed with these fields."""
    return _thrown(seq, RESULT_SHED, fields)


def encode_fault(seq: int, reason: str) -> bytes:
    """Encode a reply to execute that throws a Fault."""
    return _thrown(seq, RESULT_FAULT, {b"reason": reason.encode()})


def _thrown(seq: int, result_field: int, fields: Mapping[bytes, bytes]) -> bytes:
    return encode_message(
        REPLY,
        "execute",
        seq,
        FIELD_HEADER.pack(STRUCT, result_field)
        + FIELD_HEADER.pack(MAP, THROWN_FIELDS)
        + encode_string_map(fields)
        + END_OF_STRUCT  # of the exception
        + END_OF_STRUCT,  # of the result
    )


def encode_application_exception(method: str, seq: int, kind: int, text: str) -> bytes:
    """Encode an application exception."""
    return encode_message(
        EXCEPTION,
        method,
        seq,
        FIELD_HEADER.pack(STRING, APPLICATION_ERROR_MESSAGE)
        + encode_string(text.encode())
        + FIELD_HEADER.pack(I32, APPLICATION_ERROR_TYPE)
        + I32S.pack(kind)
        + END_OF_STRUCT,
    )


def encode_check_call(seq: int) -> bytes:
    """Encode a call of check, with which a client asks whether we serve."""
    return encode_message(
        CALL, "check", seq, FIELD_HEADER.pack(BOOL, CHECK_UNUSED) + bytes((1,)) + END_OF_STRUCT
    )


def is_good_answer(frame: bytes) -> bool:
    """Whether a frame holds an Answer whose `good` is true. Raises ProtocolError."""
    answer_fields = decode_message(frame, REPLY, EXCEPTION).args.get((RESULT_SUCCESS, STRUCT), {})
    return answer_fields.get((ANSWER_GOOD, BOOL), False)
