"""Endpoints of simulated connections: they buffer what is written and pass what arrives to a reader."""

from bisect import bisect_right
from collections.abc import Callable
from typing import Protocol

from gullhold.simulation.clock import Clock
from gullhold.simulation.streams import DuplexStream, Stream, StreamConditions, StreamEnd


class EndpointReader(Protocol):
    """Handles what arrives at an endpoint."""

    def data_received(self, endpoint: "Endpoint", data: bytes) -> None:
        """Bytes of the other side arrived."""
        ...

    def peer_closed(self, endpoint: "Endpoint", how: StreamEnd) -> None:
        """The other side has ended."""
        ...


class Endpoint:
    """One side of a connection; buffers what the stream's window does not take yet."""

    def __init__(self, clock: Clock, reader: EndpointReader | None) -> None:
        """reader: None if it is set later, before the first event."""
        self.clock = clock
        self.reader = reader
        self.outgoing: Stream | None = None  # set by connect()
        self.buffered = bytearray()
        self.is_finishing = False  # nothing more is written on this side
        self.is_closed = False  # the other side has ended, or arriving bytes are dropped
        self.written_bytes = 0  # bytes of all that was written
        self.write_offsets: list[int] = []  # the offset of each write ...
        self.write_times: list[int] = []  # ... and when it was made

    def write(self, data: bytes) -> None:
        """Queue these bytes; BrokenPipeError where this side has ended."""
        if self.is_finishing or self.outgoing.over:
            raise BrokenPipeError
        self.write_offsets.append(self.written_bytes)
        self.write_times.append(self.clock.now)
        self.written_bytes += len(data)
        self.buffered += data
        self.resume_writing()

    def written_at(self, offset: int) -> int:
        """When the byte at this offset was written."""
        return self.write_times[bisect_right(self.write_offsets, offset) - 1]

    def finish(self, how: StreamEnd = StreamEnd.CLOSED) -> None:
        """Write nothing more. CLOSED: after what is buffered; RESET: at once, dropping what is buffered."""
        self.is_finishing = True
        if how == StreamEnd.RESET:
            self.buffered.clear()
            self.outgoing.finish(StreamEnd.RESET)
        else:
            self.resume_writing()

    def resume_writing(self) -> None:
        """Write what is buffered, as far as the stream takes it."""
        while self.buffered and not self.outgoing.over:
            taken = self.outgoing.write(bytes(self.buffered))
            if not taken:
                return
            del self.buffered[:taken]
        if self.is_finishing and not self.buffered:
            self.outgoing.finish(StreamEnd.CLOSED)

    def data_arrived(self, data: bytes) -> None:
        """Bytes of the other side arrived."""
        if not self.is_closed:
            self.reader.data_received(self, data)

    def end_arrived(self, how: StreamEnd) -> None:
        """The other side has ended."""
        if not self.is_closed:
            self.is_closed = True
            self.reader.peer_closed(self, how)


def connect(
    clock: Clock,
    chance: Callable[[], float],
    near: Endpoint,
    far: Endpoint,
    there: StreamConditions,
    back: StreamConditions,
) -> DuplexStream:
    """Connect two endpoints; there, back: the conditions from near to far and from far to near."""
    connection = DuplexStream(clock, chance, near, far, there, back)
    near.outgoing = connection.there
    far.outgoing = connection.back
    return connection
