"""The one buffer of a connection: grows as it needs, is compacted in place, gives room back when empty."""

from gullhold.net.connection_ends import ProtocolError

FIRST = 4096  # bytes: a page of memory, enough for most messages


class Buffer:
    """Bytes that came and were not yet used: data[start:end]."""

    def __init__(self, most):
        self.data, self.start, self.end, self.most = bytearray(FIRST), 0, 0, most

    def __len__(self):
        return self.end - self.start

    def receive(self, sock):
        """Read once from a socket into the free tail; how many bytes came."""
        self._make_room(1)
        with memoryview(self.data) as view, view[self.end :] as tail:
            count = sock.recv_into(tail)
        self.end += count
        return count

    def put(self, data):
        """Take bytes that are at hand."""
        self._make_room(len(data))
        self.data[self.end : self.end + len(data)] = data
        self.end += len(data)

    def peek(self, size, at=0):
        """The next bytes, if all are there."""
        first = self.start + at
        return bytes(self.data[first : first + size]) if first + size <= self.end else None

    def find(self, mark, at=0):
        """How far on a mark stands, or -1."""
        found = self.data.find(mark, self.start + at, self.end)
        return found - self.start if found >= 0 else -1

    def drop(self, size):
        """These bytes are used."""
        self.start += size
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > FIRST:
                self.data = bytearray(FIRST)

    def _make_room(self, size):
        if self.end + size <= len(self.data):
            return
        held = len(self)
        if held + size > self.most:
            raise ProtocolError(f"a message of over {self.most} bytes")
        if self.start:
            self.data[:held] = self.data[self.start : self.end]
            self.start, self.end = 0, held
        if held + max(size, FIRST) > len(self.data):
            more = max(len(self.data), size)
            self.data.extend(bytes(min(more, max(self.most - len(self.data), size))))
