"""Byte streams on virtual time, with delay, jitter, segmentation, flow control, resets and silence.

A Stream is one direction; a DuplexStream is two, between two peers.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from gullhold.simulation.clock import Clock


class StreamEnd(StrEnum):
    """How one side of a connection ended it."""

    CLOSED = "closed"  # after all that was written
    RESET = "reset"  # at once; what is under way is lost


class StreamPeer(Protocol):
    """One end of a duplex stream."""

    def data_arrived(self, data: bytes) -> None:
        """Bytes of the other side arrived."""
        ...

    def end_arrived(self, how: StreamEnd) -> None:
        """The other side has ended."""
        ...

    def resume_writing(self) -> None:
        """The stream takes more bytes."""
        ...


@dataclass(slots=True)
class StreamConditions:
    """How one direction behaves; all may be changed while it is in use. Times in us, sizes in bytes."""

    delay_us: int = 100  # of each segment
    jitter_us: int = 0  # the most that is added to it, by chance
    max_segment_bytes: int = 0  # the most that arrives at once; 0: all
    window_bytes: int = 65_536  # bytes under way beyond which a writer is blocked
    is_silent: bool = False  # nothing arrives, and neither side is notified


class Stream:
    """One direction. write() takes what the window allows, as a socket does; order is kept at any jitter."""

    def __init__(
        self,
        clock: Clock,
        chance: Callable[[], float],
        conditions: StreamConditions,
        source: StreamPeer,
        destination: StreamPeer,
    ) -> None:
        """chance: draws a random fraction, from [0, 1)."""
        self.clock = clock
        self.chance = chance
        self.conditions = conditions
        self.source = source
        self.destination = destination
        self.bytes_under_way = 0
        self.last_arrival_us = 0
        self.held_back: deque[bytes | StreamEnd] = deque()  # arrives when the stream is healed
        self.is_writer_blocked = False
        self.over = False  # nothing more is written
        self.is_lost = False  # what is under way does not arrive

    def write(self, data: bytes) -> int:
        """Write as much as the window allows; returns how many bytes were taken.

        Where that is not all, resume_writing() is called on the source once there is capacity again. Raises
        BrokenPipeError after finish().
        """
        if self.over:
            raise BrokenPipeError
        taken = data[: max(0, self.conditions.window_bytes - self.bytes_under_way)]
        self.is_writer_blocked = len(taken) < len(data)
        size = self.conditions.max_segment_bytes or len(taken) or 1
        for start in range(0, len(taken), size):
            self._send(taken[start : start + size])
        return len(taken)

    def finish(self, how: StreamEnd = StreamEnd.CLOSED) -> None:
        """Nothing more is written. Closed: after what is under way; reset: what is under way is lost."""
        if self.over:
            return
        self.over = True
        self.is_lost = how == StreamEnd.RESET
        self._post(how)

    def heal(self) -> None:
        """No longer silent: what was held back arrives."""
        self.conditions.is_silent = False
        while self.held_back:
            self._schedule(self.held_back.popleft())

    def _send(self, segment: bytes) -> None:
        self.bytes_under_way += len(segment)
        self._post(segment)

    def _is_held_back(self, item: bytes | StreamEnd) -> bool:
        return self.conditions.is_silent and item != StreamEnd.RESET

    def _post(self, item: bytes | StreamEnd) -> None:
        if self._is_held_back(item):
            self.held_back.append(item)
        else:
            self._schedule(item)

    def _schedule(self, item: bytes | StreamEnd) -> None:
        jitter_us = int(self.conditions.jitter_us * self.chance())
        arrival_us = self.clock.now + self.conditions.delay_us + jitter_us
        self.last_arrival_us = max(self.last_arrival_us, arrival_us)
        self.clock.at(self.last_arrival_us, self._arrive, item)

    def _arrive(self, item: bytes | StreamEnd) -> None:
        if self._is_held_back(item):
            self.held_back.append(item)
            return
        if isinstance(item, StreamEnd):
            self.destination.end_arrived(item)
            return
        if self.is_lost:
            return
        self.bytes_under_way -= len(item)
        self.destination.data_arrived(item)
        if self.is_writer_blocked and self.bytes_under_way < self.conditions.window_bytes:
            self.is_writer_blocked = False
            self.source.resume_writing()


class DuplexStream:
    """A connection: two directions between two ends."""

    def __init__(
        self,
        clock: Clock,
        chance: Callable[[], float],
        near: StreamPeer,
        far: StreamPeer,
        there: StreamConditions | None = None,
        back: StreamConditions | None = None,
    ) -> None:
        """there: conditions from near to far; back: from far to near."""
        self.there = Stream(clock, chance, there or StreamConditions(), near, far)
        self.back = Stream(clock, chance, back or StreamConditions(), far, near)

    def reset(self) -> None:
        """Both ends are notified, what is under way is lost."""
        for stream in (self.there, self.back):
            stream.finish(StreamEnd.RESET)

    def silence(self) -> None:
        """The machine at the other end has vanished, or the path: nothing arrives, no end is notified."""
        self.there.conditions.is_silent = True
        self.back.conditions.is_silent = True

    def heal(self) -> None:
        """All passes again."""
        self.there.heal()
        self.back.heal()
