"""The two sides of a simulated connection: they buffer written bytes, and pass arriving bytes to a reader."""

from bisect import bisect_right
from collections.abc import Callable
from typing import Protocol

from gullhold.simulation.clock import Clock
from gullhold.simulation.streams import DuplexStream, Stream, StreamConditions, StreamEnd


class EndpointReader(Protocol):
    """Handles what arrives at an endpoint, such as a gateway's connection or a simulated engine."""

    def data_received(self, endpoint: "Endpoint", data: bytes) -> None:
        """Handle bytes that arrived from the other side."""
        ...

    def peer_closed(self, endpoint: "Endpoint", end_kind: StreamEnd) -> None:
        """Handle the end of the other side."""
        ...


class Endpoint:
    """One side of a connection; buffers written bytes until the stream's window takes them."""

    def __init__(self, clock: Clock, reader: EndpointReader | None) -> None:
        """reader: None if it is set later, before the first event."""
        self.clock = clock
        self.reader = reader
        self.outgoing: Stream | None = None  # set by connect()
        self.buffered = bytearray()
        self.is_finishing = False  # this side makes no further writes
        self.is_closed = False  # arriving bytes are dropped: the other side ended, or this process did
        self.written_bytes = 0  # total of all writes
        self.write_offsets: list[int] = []  # offset of the first byte of each write
        self.write_times: list[int] = []  # virtual time of each write, in us

    def write(self, data: bytes) -> None:
        """Queue bytes. Raises BrokenPipeError if this side has ended."""
        if self.is_finishing or self.outgoing.is_finished:
            raise BrokenPipeError
        self.write_offsets.append(self.written_bytes)
        self.write_times.append(self.clock.now)
        self.written_bytes += len(data)
        self.buffered += data
        self.resume_writing()

    def written_at(self, offset: int) -> int:
        """Return the time of the write with the byte at this offset, in us."""
        return self.write_times[bisect_right(self.write_offsets, offset) - 1]

    def finish(self, end_kind: StreamEnd = StreamEnd.CLOSED) -> None:
        """End this side. CLOSED: after the buffered bytes; RESET: at once, the buffered bytes are dropped."""
        self.is_finishing = True
        if end_kind == StreamEnd.RESET:
            self.buffered.clear()
            self.outgoing.finish(StreamEnd.RESET)
        else:
            self.resume_writing()

    def resume_writing(self) -> None:
        """Pass buffered bytes on while the stream takes them; after finish(), end it when none are left."""
        while self.buffered and not self.outgoing.is_finished:
            taken = self.outgoing.write(bytes(self.buffered))
            if not taken:
                return
            del self.buffered[:taken]
        if self.is_finishing and not self.buffered:
            self.outgoing.finish(StreamEnd.CLOSED)

    def data_arrived(self, data: bytes) -> None:
        """Pass arrived bytes to the reader."""
        if not self.is_closed:
            self.reader.data_received(self, data)

    def end_arrived(self, end_kind: StreamEnd) -> None:
        """Notify the reader that the other side has ended, once."""
        if not self.is_closed:
            self.is_closed = True
            self.reader.peer_closed(self, end_kind)


def connect(
    clock: Clock,
    random_fraction: Callable[[], float],
    near: Endpoint,
    far: Endpoint,
    near_to_far: StreamConditions,
    far_to_near: StreamConditions,
) -> DuplexStream:
    """Connect two endpoints; near_to_far, far_to_near: the conditions of each direction."""
    connection = DuplexStream(clock, random_fraction, near, far, near_to_far, far_to_near)
    near.outgoing = connection.near_to_far
    far.outgoing = connection.far_to_near
    return connection
