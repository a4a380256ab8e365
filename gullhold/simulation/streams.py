"""Byte streams on virtual time, with delay, jitter, segmentation, flow control, resets and silence.

A Stream is one direction of a connection, a DuplexStream is a connection between two peers.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from gullhold.simulation.clock import Clock


class StreamEnd(StrEnum):
    """How one side of a connection ends its direction."""

    CLOSED = "closed"  # after all written bytes, as by a TCP FIN
    RESET = "reset"  # at once; bytes in flight are lost


class StreamPeer(Protocol):
    """What a stream calls at the two ends of a connection."""

    def data_arrived(self, data: bytes) -> None:
        """Handle bytes that arrived from the other side."""
        ...

    def end_arrived(self, end_kind: StreamEnd) -> None:
        """Handle the end of the other side's direction."""
        ...

    def resume_writing(self) -> None:
        """Continue writing, after a write that was not taken completely."""
        ...


@dataclass(slots=True)
class StreamConditions:
    """How one direction of a connection behaves; all fields may be changed while it is in use."""

    delay_us: int = 100  # delay of each segment
    jitter_us: int = 0  # largest random addition to the delay
    max_segment_bytes: int = 0  # a write is split into segments of at most this size; 0: one segment
    window_bytes: int = 65_536  # bytes in flight from which on the writer is blocked
    is_silent: bool = False  # all but resets is held back, and neither side is notified


class Stream:
    """One direction of a connection. Segments arrive in the order of their writing, whatever the jitter."""

    def __init__(
        self,
        clock: Clock,
        random_fraction: Callable[[], float],
        conditions: StreamConditions,
        source: StreamPeer,
        destination: StreamPeer,
    ) -> None:
        """random_fraction: returns a random number from [0, 1)."""
        self.clock = clock
        self.random_fraction = random_fraction
        self.conditions = conditions
        self.source = source
        self.destination = destination
        self.bytes_in_flight = 0
        self.last_arrival_us = 0
        self.held_items: deque[bytes | StreamEnd] = deque()  # arrive when the silence ends
        self.is_writer_blocked = False
        self.is_finished = False  # no further writes
        self.is_reset = False  # bytes in flight do not arrive

    def write(self, data: bytes) -> int:
        """Write as much as the window allows, as a non-blocking socket does; return how many bytes that was.

        If it was not all, resume_writing() is called on the source when the window has capacity again. Raises
        BrokenPipeError after finish().
        """
        if self.is_finished:
            raise BrokenPipeError
        taken = data[: max(0, self.conditions.window_bytes - self.bytes_in_flight)]
        self.is_writer_blocked = len(taken) < len(data)
        size = self.conditions.max_segment_bytes or len(taken) or 1
        for start in range(0, len(taken), size):
            self._send(taken[start : start + size])
        return len(taken)

    def finish(self, end_kind: StreamEnd = StreamEnd.CLOSED) -> None:
        """End the direction. CLOSED: after the bytes in flight; RESET: the bytes in flight are lost."""
        if self.is_finished:
            return
        self.is_finished = True
        self.is_reset = end_kind == StreamEnd.RESET
        self._post(end_kind)

    def heal(self) -> None:
        """End the silence: items that were held back are sent."""
        self.conditions.is_silent = False
        while self.held_items:
            self._schedule(self.held_items.popleft())

    def _send(self, segment: bytes) -> None:
        self.bytes_in_flight += len(segment)
        self._post(segment)

    def _is_held_back(self, item: bytes | StreamEnd) -> bool:
        return self.conditions.is_silent and item != StreamEnd.RESET

    def _post(self, item: bytes | StreamEnd) -> None:
        if self._is_held_back(item):
            self.held_items.append(item)
        else:
            self._schedule(item)

    def _schedule(self, item: bytes | StreamEnd) -> None:
        jitter_us = int(self.conditions.jitter_us * self.random_fraction())
        arrival_us = self.clock.now + self.conditions.delay_us + jitter_us
        self.last_arrival_us = max(self.last_arrival_us, arrival_us)
        self.clock.at(self.last_arrival_us, self._arrive, item)

    def _arrive(self, item: bytes | StreamEnd) -> None:
        if self._is_held_back(item):
            self.held_items.append(item)
            return
        if isinstance(item, StreamEnd):
            self.destination.end_arrived(item)
            return
        if self.is_reset:
            return
        self.bytes_in_flight -= len(item)
        self.destination.data_arrived(item)
        if self.is_writer_blocked and self.bytes_in_flight < self.conditions.window_bytes:
            self.is_writer_blocked = False
            self.source.resume_writing()


class DuplexStream:
    """A connection between two peers: a stream in each direction."""

    def __init__(
        self,
        clock: Clock,
        random_fraction: Callable[[], float],
        near: StreamPeer,
        far: StreamPeer,
        near_to_far: StreamConditions | None = None,
        far_to_near: StreamConditions | None = None,
    ) -> None:
        """near_to_far, far_to_near: conditions of each direction, None: the defaults."""
        self.near_to_far = Stream(clock, random_fraction, near_to_far or StreamConditions(), near, far)
        self.far_to_near = Stream(clock, random_fraction, far_to_near or StreamConditions(), far, near)

    def reset(self) -> None:
        """Reset both directions: both peers are notified, and bytes in flight are lost."""
        for stream in (self.near_to_far, self.far_to_near):
            stream.finish(StreamEnd.RESET)

    def silence(self) -> None:
        """Hold back all but resets in both directions, as if the host or the network path had failed."""
        self.near_to_far.conditions.is_silent = True
        self.far_to_near.conditions.is_silent = True

    def heal(self) -> None:
        """End the silence in both directions."""
        self.near_to_far.heal()
        self.far_to_near.heal()
