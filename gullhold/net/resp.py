"""RESP arrays of bulk strings: what engines say from bytes, and the bytes of what they are told."""

from gullhold.net.buffer import Buffer
from gullhold.net.connection_ends import ProtocolError

HEAD_MOST = 16  # bytes of a length line: more digits than any length that fits a buffer
WORDS_MOST = 64  # strings in one array: several times what the protocol has


class Decoder:
    """Bytes of one link in, arrays of byte strings out."""

    def __init__(self, most):
        self.buffer, self.words, self.missing = Buffer(most), [], 0

    @property
    def cut(self):
        """Whether an array has begun and is not whole."""
        return bool(self.missing or len(self.buffer))

    def arrays(self):
        """The arrays that are whole."""
        while True:
            if not self.missing:
                size = self._head(b"*")
                if size is None:
                    return
                if not 0 < size <= WORDS_MOST:
                    raise ProtocolError(f"an array of {size}")
                self.words, self.missing = [], size
            while self.missing:
                head = self._head(b"$", use=False)
                if head is None:
                    return
                size, used = head
                if not 0 <= size <= self.buffer.most - HEAD_MOST:
                    raise ProtocolError(f"a string of {size}")
                body = self.buffer.peek(size + 2, used)
                if body is None:
                    return
                if body[-2:] != b"\r\n":
                    raise ProtocolError("a string longer than its length")
                self.buffer.drop(used + size + 2)
                self.words.append(body[:-2])
                self.missing -= 1
            yield self.words

    def _head(self, mark, use=True):
        """The number after a mark; with use=False also how long its line is, the line left in place."""
        end = self.buffer.find(b"\r\n")
        if end < 0 or end > HEAD_MOST:
            if len(self.buffer) > HEAD_MOST or end >= 0:
                raise ProtocolError("a length without its line end")
            if len(self.buffer) and self.buffer.peek(1) != mark:
                raise ProtocolError("not an array of bulk strings")
            return None
        line = self.buffer.peek(end)
        if line[:1] != mark or not line[1:].isdigit():
            raise ProtocolError("not an array of bulk strings")
        if use:
            self.buffer.drop(end + 2)
            return int(line[1:])
        return int(line[1:]), end + 2


def encode(*words):
    """One array."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def fields(word):
    """A list name=value,name=value as a dict; `-` is none."""
    if word in (b"-", b""):
        return {}
    return dict(pair.partition(b"=")[::2] for pair in word.split(b","))


def field_list(pairs):
    """The list of these pairs."""
    return b",".join(b"%s=%s" % pair for pair in pairs) or b"-"
