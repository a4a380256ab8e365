"""Ends of simulated connections: they write, and hand on to their owners what arrives."""

from bisect import bisect_right
from collections.abc import Callable
from typing import Protocol

from gullhold.simulation.clock import Clock
from gullhold.simulation.streams import DuplexStream, Stream, StreamConditions, StreamEnd


class Owner(Protocol):
    """Who reads what arrives at an end."""

    def hears(self, end: "End", data: bytes) -> None:
        """Bytes of the other side."""
        ...

    def is_left(self, end: "End", how: StreamEnd) -> None:
        """The other side has ended."""
        ...


class End:
    """One end of a connection. Buffers what the stream has no room for."""

    def __init__(self, clock: Clock, owner: Owner | None) -> None:
        """owner: None where it is set before the first event."""
        self.clock = clock
        self.owner = owner
        self.out: Stream | None = None  # set by join()
        self.buffered = bytearray()
        self.finishing = False  # nothing more is written here
        self.over = False  # the other side has ended, or nobody reads here any more
        self.size = 0  # bytes of all that was written
        self.starts: list[int] = []  # the offset of each write ...
        self.times: list[int] = []  # ... and when it was made

    def write(self, data: bytes) -> None:
        """Queue these bytes; BrokenPipeError where this side has ended."""
        if self.finishing or self.out.over:
            raise BrokenPipeError
        self.starts.append(self.size)
        self.times.append(self.clock.now)
        self.size += len(data)
        self.buffered += data
        self.room()

    def written_at(self, offset: int) -> int:
        """When the byte at this offset was written."""
        return self.times[bisect_right(self.starts, offset) - 1]

    def finish(self, how: StreamEnd = StreamEnd.CLOSED) -> None:
        """Nothing more is written; closed: after what is buffered, reset: at once and all is lost."""
        self.finishing = True
        if how == StreamEnd.RESET:
            self.buffered.clear()
            self.out.finish(StreamEnd.RESET)
        else:
            self.room()

    def room(self) -> None:
        """The stream takes more."""
        while self.buffered and not self.out.over:
            taken = self.out.write(bytes(self.buffered))
            if not taken:
                return
            del self.buffered[:taken]
        if self.finishing and not self.buffered:
            self.out.finish(StreamEnd.CLOSED)

    def came(self, data: bytes) -> None:
        """Bytes of the other side."""
        if not self.over:
            self.owner.hears(self, data)

    def ended(self, how: StreamEnd) -> None:
        """The other side has ended."""
        if not self.over:
            self.over = True
            self.owner.is_left(self, how)


def join(
    clock: Clock,
    chance: Callable[[], float],
    near: End,
    far: End,
    there: StreamConditions,
    back: StreamConditions,
) -> DuplexStream:
    """The connection between two ends; there, back: the conditions of its directions."""
    connection = DuplexStream(clock, chance, near, far, there, back)
    near.out = connection.there
    far.out = connection.back
    return connection
