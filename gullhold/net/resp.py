"""RESP arrays of bulk strings: decodes replies of engines and encodes commands to them."""

from collections.abc import Iterable, Iterator

from gullhold.net.buffer import Buffer
from gullhold.net.connection_ends import ProtocolError

MAX_HEADER_BYTES = 16  # length line without its end: room for more digits than any length that fits a buffer
MAX_STRINGS_PER_ARRAY = 64  # several times as many as any array of the protocol has
ARRAY_OBJECT_BYTES = 100  # memory of a decoded array beside its bytes
STRING_OBJECT_BYTES = 50  # memory of each of its strings beside its bytes
LINE_END = b"\r\n"
ARRAY_PREFIX = b"*"
STRING_PREFIX = b"$"


class Decoder:
    """Splits the bytes of a connection into arrays of byte strings; the caller puts the bytes into `buffer`.

    max_bytes: upper limit of the bytes that are buffered at once. max_array_bytes: upper limit of one array
    with all its strings, which are kept until the array is complete; by default max_bytes. max_strings: upper
    limit of its strings. decoded_bytes: total memory of the arrays that were yielded.
    """

    def __init__(
        self, max_bytes: int, max_array_bytes: int | None = None, max_strings: int = MAX_STRINGS_PER_ARRAY
    ) -> None:
        self.buffer = Buffer(max_bytes)
        self.max_array_bytes = max_bytes if max_array_bytes is None else max_array_bytes
        self.max_strings = max_strings
        self.decoded_bytes = 0
        self.array_bytes = 0  # bytes of the current array that are consumed, with the lengths of its strings
        self.strings: list[bytes] = []  # read strings of the current array
        self.missing_count = 0  # number of strings of the current array that are not read yet

    @property
    def is_mid_array(self) -> bool:
        """Whether an array has begun to arrive and is not complete."""
        return bool(self.missing_count or len(self.buffer))

    def arrays(self) -> Iterator[list[bytes]]:
        """Consume and yield the arrays that have arrived completely.

        Raises ProtocolError at malformed bytes, after it has yielded the arrays before them.
        """
        while True:
            if not self.missing_count and not self._begin_array():
                return
            while self.missing_count:
                string = self._read_string()
                if string is None:
                    return
                self.strings.append(string)
                self.missing_count -= 1
            objects_bytes = ARRAY_OBJECT_BYTES + len(self.strings) * STRING_OBJECT_BYTES
            self.decoded_bytes += self.array_bytes + objects_bytes
            yield self.strings

    def _begin_array(self) -> bool:
        """Consume the header of an array; return False if it is not complete."""
        header = self._peek_header(ARRAY_PREFIX)
        if header is None:
            return False
        size, header_size = header
        self.buffer.consume(header_size)
        if not 0 < size <= self.max_strings:
            raise ProtocolError(f"array of {size} strings: not between 1 and {self.max_strings}")
        self.strings = []
        self.missing_count = size
        self.array_bytes = header_size
        return True

    def _read_string(self) -> bytes | None:
        """Consume and return the next string, or None if it is not complete."""
        header = self._peek_header(STRING_PREFIX)
        if header is None:
            return None
        size, header_size = header
        if not 0 <= size <= self.buffer.max_bytes - MAX_HEADER_BYTES:
            raise ProtocolError(
                f"string of {size} bytes does not fit the buffer of {self.buffer.max_bytes} bytes"
            )
        string_bytes = header_size + size + len(LINE_END)
        if self.array_bytes + string_bytes > self.max_array_bytes:
            raise ProtocolError(
                f"array exceeds the limit of {self.max_array_bytes} bytes with a string of {size} bytes"
            )
        body = self.buffer.peek(size + len(LINE_END), header_size)
        if body is None:
            return None
        if body[size:] != LINE_END:
            raise ProtocolError(f"no line end after a string of the announced length of {size} bytes")
        self.buffer.consume(string_bytes)
        self.array_bytes += string_bytes
        return body[:size]

    def _peek_header(self, prefix: bytes) -> tuple[int, int] | None:
        """Return the length in a header line and the size of the line, without consuming it.

        Returns None if the line is not complete. prefix: the character with which it must begin.
        """
        end = self.buffer.find(LINE_END)
        if end < 0 or end > MAX_HEADER_BYTES:
            if len(self.buffer) > MAX_HEADER_BYTES or end >= 0:
                raise ProtocolError(f"length line is longer than {MAX_HEADER_BYTES} bytes")
            if len(self.buffer) and self.buffer.peek(1) != prefix:
                raise ProtocolError(
                    f"expected a length line that begins with {prefix!r}, got {self.buffer.peek(1)!r}"
                )
            return None
        line = self.buffer.peek(end) or b""  # never None, as the line is complete
        if line[:1] != prefix or not line[1:].isdigit():
            raise ProtocolError(f"expected a length line that begins with {prefix!r}, got {line!r}")
        return int(line[1:]), end + len(LINE_END)


def encode(*strings: bytes) -> bytes:
    """Encode one array of bulk strings."""
    return b"*%d\r\n" % len(strings) + b"".join(
        b"$%d\r\n%s\r\n" % (len(string), string) for string in strings
    )


def decode_fields(encoded: bytes) -> dict[bytes, bytes]:
    """Decode a field list (name=value,name=value); `-` or nothing is the empty list. Raises ProtocolError."""
    if encoded in (b"-", b""):
        return {}
    return decode_pairs(encoded.split(b","), b"=")


def decode_pairs(pairs: Iterable[bytes], separator: bytes) -> dict[bytes, bytes]:
    """Return names with their values. Raises ProtocolError for a pair without separator, or a name twice."""
    decoded: dict[bytes, bytes] = {}
    for pair in pairs:
        name, found, value = pair.partition(separator)
        if not found or name in decoded:
            raise ProtocolError(f"not a name and a value, or the name occurs twice: {pair[:40]!r}")
        decoded[name] = value
    return decoded


def encode_fields(pairs: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode a field list (name=value,name=value); `-` if it is empty."""
    return b",".join(b"%s=%s" % pair for pair in pairs) or b"-"
