"""Parser of the discovery service's event stream: bytes in, events out; it does no I/O."""

import json
import socket
from collections.abc import Iterator
from typing import Any

from gullhold.net.buffer import Buffer
from gullhold.net.connection_ends import ProtocolError

LINE_END = b"\n"
MAX_ENGINES = 3_200  # the largest fleet; one event may concern all of its engines
MAX_ENTRY_BYTES = 320  # of one engine in an event: twice that of the protocol's example
MAX_EVENT_BYTES = MAX_ENGINES * MAX_ENTRY_BYTES


class EventStream:
    """Splits the stream's bytes into lines and returns the new events in order.

    A line is a JSON object with an index, or a bare index: that of the last event. Bytes are put into
    `buffer`; last_index is the index of the last event that was returned.

    is_lenient: lines that can't be read are left out, and events in between may be missing; otherwise both
    raise ProtocolError. unreadable: what was left out, a reason for each line. has_caught_up: whether a bare
    index has arrived, before which all events up to it come.
    """

    def __init__(self, last_index: int, max_line_bytes: int, is_lenient: bool = False) -> None:
        self.last_index = last_index
        self.buffer = Buffer(max_line_bytes)
        self.is_lenient = is_lenient
        self.unreadable: list[str] = []
        self.has_caught_up = False
        self._is_mid_skipped_line = False

    def receive(self, sock: socket.socket) -> int:
        """Read from a socket once; return the number of bytes read, 0 at the end of the stream."""
        if self.is_lenient and len(self.buffer) >= self.buffer.max_bytes:
            self._skip_long_line()
        return self.buffer.receive(sock)

    def events(self) -> Iterator[dict[str, Any]]:
        """Iterate over the new events. Raises ProtocolError if an event is missing or a line is malformed.

        A complete list replaces whatever is missing before it.
        """
        while (end := self.buffer.find(LINE_END)) >= 0:
            line = self.buffer.peek(end) or b""  # never None, as its end was found
            self.buffer.consume(end + len(LINE_END))
            if self._is_mid_skipped_line:
                self._is_mid_skipped_line = False
            elif line.strip():
                event = self._read(line)
                if event is not None:
                    yield event
                    self.last_index = event["index"]

    def _read(self, line: bytes) -> dict[str, Any] | None:
        """Return the event of a line, None if there is no new one in it."""
        try:
            event, index = _parse_line(line)
        except ProtocolError as error:
            if not self.is_lenient:
                raise
            self.unreadable.append(str(error))
            return None
        if event is None:
            self.has_caught_up = True
        if index <= self.last_index:
            return None
        if event is not None and (index == self.last_index + 1 or self.is_lenient or _is_complete(event)):
            return event
        if not self.is_lenient:
            raise ProtocolError(f"event {index} after {self.last_index}: events in between are missing")
        self.last_index = index
        return None

    def _skip_long_line(self) -> None:
        """Discard what has arrived of a line that is too long, and have the rest of it left out."""
        if not self._is_mid_skipped_line:
            self.unreadable.append(f"line of more than {self.buffer.max_bytes} bytes")
        self._is_mid_skipped_line = True
        self.buffer.clear()


def _is_complete(event: dict[str, Any]) -> bool:
    """Whether an event, which may be malformed, states that it is a complete list."""
    change = event.get("endpoints")
    return isinstance(change, dict) and bool(change.get("complete"))


def _parse_line(line: bytes) -> tuple[dict[str, Any] | None, int]:
    """Return the event of a line (None if it is a bare index) and its index."""
    try:
        content = json.loads(line)
        if isinstance(content, int):
            return None, content
        index = content["index"]
        if not isinstance(index, int):
            raise ValueError(f"index {index!r} is not an integer")
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise ProtocolError(f"malformed line in the event stream: {error!r}") from None
    return content, index
