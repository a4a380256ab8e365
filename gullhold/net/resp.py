"""RESP arrays of bulk strings: what engines say from bytes, and the bytes of what they are told."""

from collections.abc import Iterable, Iterator

from gullhold.net.buffer import Buffer
from gullhold.net.connection_ends import ProtocolError

MAX_HEADER_BYTES = 16  # bytes of a length line: more digits than any length that fits a buffer
MAX_STRINGS_PER_ARRAY = 64  # strings in one array: several times what the protocol has
LINE_END = b"\r\n"
ARRAY_MARK = b"*"
STRING_MARK = b"$"


class Decoder:
    """Bytes of one connection in, arrays of byte strings out. max_bytes: bytes of the largest array."""

    def __init__(self, max_bytes: int) -> None:
        self.buffer = Buffer(max_bytes)
        self.strings: list[bytes] = []  # of the array that has begun
        self.missing_count = 0  # strings that it still lacks

    @property
    def is_cut(self) -> bool:
        """Whether an array has begun and is not complete."""
        return bool(self.missing_count or len(self.buffer))

    def arrays(self) -> Iterator[list[bytes]]:
        """The arrays that are complete; ProtocolError behind them for bytes that make no sense."""
        while True:
            if not self.missing_count and not self._begin_array():
                return
            while self.missing_count:
                string = self._read_string()
                if string is None:
                    return
                self.strings.append(string)
                self.missing_count -= 1
            yield self.strings

    def _begin_array(self) -> bool:
        """Read the head of an array; False if it is not there yet."""
        header = self._peek_header(ARRAY_MARK)
        if header is None:
            return False
        size, used = header
        self.buffer.consume(used)
        if not 0 < size <= MAX_STRINGS_PER_ARRAY:
            raise ProtocolError(f"an array of {size}")
        self.strings = []
        self.missing_count = size
        return True

    def _read_string(self) -> bytes | None:
        """The next string, if all of it is there."""
        header = self._peek_header(STRING_MARK)
        if header is None:
            return None
        size, used = header
        if not 0 <= size <= self.buffer.max_bytes - MAX_HEADER_BYTES:
            raise ProtocolError(f"a string of {size}")
        body = self.buffer.peek(size + len(LINE_END), used)
        if body is None:
            return None
        if body[size:] != LINE_END:
            raise ProtocolError("a string longer than its length")
        self.buffer.consume(used + len(body))
        return body[:size]

    def _peek_header(self, mark: bytes) -> tuple[int, int] | None:
        """The number after a mark, and how many bytes its line takes, which is left in place."""
        end = self.buffer.find(LINE_END)
        if end < 0 or end > MAX_HEADER_BYTES:
            if len(self.buffer) > MAX_HEADER_BYTES or end >= 0:
                raise ProtocolError("a length without its line end")
            if len(self.buffer) and self.buffer.peek(1) != mark:
                raise ProtocolError("not an array of bulk strings")
            return None
        line = self.buffer.peek(end) or b""  # complete: its end was found
        if line[:1] != mark or not line[1:].isdigit():
            raise ProtocolError("not an array of bulk strings")
        return int(line[1:]), end + len(LINE_END)


def encode(*strings: bytes) -> bytes:
    """One array."""
    return b"*%d\r\n" % len(strings) + b"".join(
        b"$%d\r\n%s\r\n" % (len(string), string) for string in strings
    )


def decode_fields(encoded: bytes) -> dict[bytes, bytes]:
    """A list name=value,name=value as a dict; `-` is none."""
    if encoded in (b"-", b""):
        return {}
    return dict(pair.partition(b"=")[::2] for pair in encoded.split(b","))


def encode_fields(pairs: Iterable[tuple[bytes, bytes]]) -> bytes:
    """The list of these pairs."""
    return b",".join(b"%s=%s" % pair for pair in pairs) or b"-"
