"""Parser of the discovery service's event stream: bytes in, events out; it does no I/O."""

import json
from collections.abc import Iterator
from typing import Any

from gullhold.net.buffer import Buffer
from gullhold.net.connection_ends import ProtocolError

LINE_END = b"\n"


class EventStream:
    """Splits the stream's bytes into lines and returns the new events in order.

    A line is a JSON object with an index, or a bare index: that of the last event. Bytes are put into
    `buffer`; last_index is the index of the last event that was returned.
    """

    def __init__(self, last_index: int, max_line_bytes: int) -> None:
        self.last_index = last_index
        self.buffer = Buffer(max_line_bytes)

    def events(self) -> Iterator[dict[str, Any]]:
        """Iterate over the new events. Raises ProtocolError if an event is missing or a line is malformed."""
        while (end := self.buffer.find(LINE_END)) >= 0:
            line = self.buffer.peek(end) or b""  # never None, as its end was found
            self.buffer.consume(end + len(LINE_END))
            if not line.strip():
                continue
            event, index = _parse_line(line)
            if index <= self.last_index:
                continue
            if event is None or index != self.last_index + 1:
                raise ProtocolError(f"event {index} after {self.last_index}: events in between are missing")
            yield event
            self.last_index = index


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
