"""Thrift, framed, strict binary: the calls of clients from bytes, and the bytes of answers. No socket."""

import struct
from typing import NamedTuple

from gullhold.net.buffer import Buffer
from gullhold.net.connection_ends import ProtocolError

CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
STOP, BOOL, I32, STRING, STRUCT, MAP, SET, LIST = 0, 2, 8, 11, 12, 13, 14, 15
FIXED = {BOOL: 1, 3: 1, 4: 8, 6: 2, I32: 4, 10: 8}  # type: bytes
STRICT = 0x8001
NESTED = 16  # structs within structs that are followed
UNKNOWN_METHOD, PROTOCOL_ERROR = 1, 7  # of application exceptions
HEAD = struct.Struct(">HBB")
I16, I32S = struct.Struct(">h"), struct.Struct(">i")
FIELD = struct.Struct(">Bh")


class Call(NamedTuple):
    """One message of a client; its arguments by (field id, type)."""

    method: str
    kind: int
    seq: int
    args: dict


class Scan:
    """A walk over the bytes of one frame."""

    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, size):
        """The next bytes."""
        if size < 0 or self.at + size > len(self.data):
            raise ProtocolError("a value runs past its frame")
        self.at += size
        return self.data[self.at - size : self.at]

    def number(self, form):
        """The next number."""
        return form.unpack(self.take(form.size))[0]

    def string(self):
        """The next string."""
        return self.take(self.number(I32S))

    def value(self, kind, depth=0):
        """The next value of a type, read or stepped over."""
        if depth > NESTED:
            raise ProtocolError("structs too deep")
        if kind in FIXED:
            raw = self.take(FIXED[kind])
            return I32S.unpack(raw)[0] if kind == I32 else raw != b"\0" if kind == BOOL else raw
        if kind == STRING:
            return self.string()
        if kind == STRUCT:
            return self.fields(depth + 1)
        if kind == MAP:
            key, val = self.take(2)
            if key == val == STRING:
                return self.strings()
            return {self._key(key, depth): self.value(val, depth + 1) for _ in range(self._size(key, val))}
        if kind in (SET, LIST):
            item = self.take(1)[0]
            return [self.value(item, depth + 1) for _ in range(self._size(item, item))]
        raise ProtocolError(f"unknown type {kind}")

    def fields(self, depth=0):
        """A struct: values by (field id, type)."""
        found = {}
        while kind := self.take(1)[0]:
            ident = self.number(I16)
            found[ident, kind] = self.value(kind, depth)
        return found

    def strings(self):
        """A map of strings to strings: what nearly every call is made of, in as few steps as can be."""
        found, data, at, end = {}, self.data, self.at + 4, len(self.data)
        for _ in range(self._size(STRING, STRING)):
            pair = []
            for _ in (0, 1):
                if at + 4 > end:
                    raise ProtocolError("a value runs past its frame")
                size = I32S.unpack_from(data, at)[0]
                at += 4 + size
                if size < 0 or at > end:
                    raise ProtocolError("a value runs past its frame")
                pair.append(data[at - size : at])
            found[pair[0]] = pair[1]
        self.at = at
        return found

    def _key(self, kind, depth):
        key = self.value(kind, depth + 1)
        return str(key) if isinstance(key, dict | list) else key

    def _size(self, *kinds):
        size = self.number(I32S)
        if size < 0 or size > len(self.data) - self.at:  # no value is shorter than a byte
            raise ProtocolError(f"a container of {size}")
        if size and not all(kind in FIXED or kind in (STRING, STRUCT, MAP, SET, LIST) for kind in kinds):
            raise ProtocolError("unknown type in a container")
        return size


class Decoder:
    """Bytes of one connection in, frames or calls out."""

    def __init__(self, most):
        self.buffer = Buffer(most)

    def calls(self):
        """The calls that are whole."""
        return map(decode, self.frames())

    def frames(self):
        """The frames that are whole, without their lengths."""
        while (head := self.buffer.peek(4)) is not None:
            size = I32S.unpack(head)[0]
            if not HEAD.size <= size <= self.buffer.most - 4:
                raise ProtocolError(f"a frame of {size} bytes")
            frame = self.buffer.peek(size, 4)
            if frame is None:
                return
            self.buffer.drop(4 + size)
            yield frame


def read(frame, *kinds):
    """The message in one frame, which must be of one of these kinds."""
    scan = Scan(frame)
    version, _, kind = HEAD.unpack(scan.take(HEAD.size))
    if version != STRICT or kind not in kinds:
        raise ProtocolError("not a strict binary message of its kind")
    try:
        method = scan.string().decode()
    except UnicodeDecodeError:
        raise ProtocolError("a method name that is no text") from None
    seq = scan.number(I32S)
    return Call(method, kind, seq, scan.fields())


def decode(frame):
    """The call in one frame."""
    return read(frame, CALL, ONEWAY)


def _string(data):
    return I32S.pack(len(data)) + data


def _map(fields):
    pairs = b"".join(_string(key) + _string(value) for key, value in fields.items())
    return struct.pack(">BBi", STRING, STRING, len(fields)) + pairs


def _message(kind, method, seq, body):
    body = HEAD.pack(STRICT, 0, kind) + _string(method.encode()) + I32S.pack(seq) + body
    return I32S.pack(len(body)) + body


def answer(method, seq, body=b"", good=True):
    """An Answer."""
    return _message(
        REPLY,
        method,
        seq,
        FIELD.pack(STRUCT, 0)
        + FIELD.pack(STRING, 1)
        + _string(body)
        + FIELD.pack(MAP, 2)
        + _map({})
        + FIELD.pack(BOOL, 3)
        + bytes((good, STOP, STOP)),
    )


def thrown(seq, place, fields):
    """What execute throws: the exception at this place of its result (1 Shed, 2 Fault)."""
    return _message(
        REPLY,
        "execute",
        seq,
        FIELD.pack(STRUCT, place) + FIELD.pack(MAP, 1) + _map(fields) + bytes((STOP, STOP)),
    )


def shed(seq, fields):
    """A Shed."""
    return thrown(seq, 1, fields)


def fault(seq, reason):
    """A Fault."""
    return thrown(seq, 2, {b"reason": reason.encode()})


def exception(method, seq, kind, text):
    """An application exception."""
    return _message(
        EXCEPTION,
        method,
        seq,
        FIELD.pack(STRING, 1)
        + _string(text.encode())
        + FIELD.pack(I32, 2)
        + I32S.pack(kind)
        + bytes((STOP,)),
    )


def check_call(seq):
    """What a client sends to ask whether we serve."""
    return _message(CALL, "check", seq, FIELD.pack(BOOL, 1) + bytes((1, STOP)))


CHECK_MOST = 4096  # bytes of an answer to check, which has no body: far more than it needs


def is_good(frame):
    """Whether a frame holds an Answer whose `good` is true."""
    return read(frame, REPLY, EXCEPTION).args.get((0, STRUCT), {}).get((3, BOOL), False)
