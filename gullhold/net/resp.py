"""RESP arrays of bulk strings: decodes the replies of engines and encodes commands to them."""

from collections.abc import Iterable, Iterator

from gullhold.net.buffer import Buffer
from gullhold.net.connection_ends import ProtocolError

MAX_HEADER_BYTES = 16  # of a length line: more digits than any length that fits a buffer
MAX_STRINGS_PER_ARRAY = 64  # several times what the protocol has
LINE_END = b"\r\n"
ARRAY_MARK = b"*"
STRING_MARK = b"$"


class Decoder:
    """Splits the bytes of one connection into arrays of byte strings. max_bytes: of the largest array."""

    def __init__(self, max_bytes: int) -> None:
        self.buffer = Buffer(max_bytes)
        self.strings: list[bytes] = []  # of the array that is being read
        self.missing_count = 0  # strings of it that have not arrived

    @property
    def is_mid_array(self) -> bool:
        """Whether an array has begun and is not complete."""
        return bool(self.missing_count or len(self.buffer))

    def arrays(self) -> Iterator[list[bytes]]:
        """Iterate over the complete arrays. Raises ProtocolError at malformed bytes behind them."""
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
        """Read the header of an array; return False if it is not complete."""
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
        """Read the next string; return None if it is not complete."""
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
        """Return the number after a mark and the size of its line, not consumed; None: not complete."""
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
    """Encode one array."""
    return b"*%d\r\n" % len(strings) + b"".join(
        b"$%d\r\n%s\r\n" % (len(string), string) for string in strings
    )


def decode_fields(encoded: bytes) -> dict[bytes, bytes]:
    """Decode a list name=value,name=value; `-` is the empty list."""
    if encoded in (b"-", b""):
        return {}
    return dict(pair.partition(b"=")[::2] for pair in encoded.split(b","))


def encode_fields(pairs: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode pairs as a list name=value,name=value."""
    return b",".join(b"%s=%s" % pair for pair in pairs) or b"-"
