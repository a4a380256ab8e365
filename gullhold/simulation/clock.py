"""Virtual time: a clock that advances only from event to event. The same calls give the same run anywhere."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple

START_US = 1_700_000_000_000_000  # Unix time at virtual time 0
MAX_EVENTS_AT_ONE_INSTANT = 200_000  # more are taken for a livelock


class Event:
    """A scheduled call; call is None after it was cancelled."""

    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.call: Callable[..., Any] | None = call
        self.args = args


class ScheduledEvent(NamedTuple):
    """An entry of the heap, ordered by time, then by the order of scheduling; serial numbers are unique."""

    due_at: int
    serial: int
    event: Event


class LivelockError(Exception):
    """Too many events were due at one instant: calls schedule each other again without time passing."""


def first_scheduled(_count: int) -> int:
    """Return the index of the event that was scheduled first, of those that are due at one instant."""
    return 0


class Clock:
    """A clock and its scheduled events. now: virtual time in us since the start; it never goes back.

    choose(count): returns the index of the event to run next, of `count` events that are due at one instant,
    in the order of their scheduling; a search over possible orders chooses others than the first.
    max_events_at_one_instant: above it run() raises LivelockError.
    """

    def __init__(
        self,
        start_us: int = START_US,
        choose: Callable[[int], int] = first_scheduled,
        max_events_at_one_instant: int = MAX_EVENTS_AT_ONE_INSTANT,
    ) -> None:
        """start_us: Unix time in us at virtual time 0."""
        self.now = 0
        self.start_us = start_us
        self.choose = choose
        self.max_events_at_one_instant = max_events_at_one_instant
        self.wall_offset_us = 0
        self.heap: list[ScheduledEvent] = []
        self.last_serial = 0

    def wall_us(self) -> int:
        """Return the Unix time in us that a process reads, which shift_wall_clock() changes."""
        return self.start_us + self.now + self.wall_offset_us

    def shift_wall_clock(self, by_us: int) -> None:
        """Set the wall clock forward, or back if negative; scheduled events keep their times."""
        self.wall_offset_us += by_us

    def at(self, due_at: int, call: Callable[..., Any], *args: Any) -> Event:
        """Schedule a call at a virtual time, not before now. Returns the event, for cancel()."""
        self.last_serial += 1
        event = Event(call, args)
        heappush(self.heap, ScheduledEvent(max(due_at, self.now), self.last_serial, event))
        return event

    def after(self, delay_us: int, call: Callable[..., Any], *args: Any) -> Event:
        """Schedule a call after a delay. Returns the event, for cancel()."""
        return self.at(self.now + delay_us, call, *args)

    @staticmethod
    def cancel(event: Event) -> None:
        """Cancel a scheduled call; it has no effect after the call was made."""
        event.call = None

    def next_due_at(self) -> int | None:
        """Return when the next event is due, None if there is none; drops cancelled events."""
        while self.heap and self.heap[0].event.call is None:
            heappop(self.heap)
        return self.heap[0].due_at if self.heap else None

    def step(self) -> bool:
        """Advance to the next event and run it; returns False if there is none."""
        due_at = self.next_due_at()
        if due_at is None:
            return False
        self.now = due_at
        event = self._pop_next(due_at)
        if event.call is not None:
            event.call(*event.args)
        return True

    def _pop_next(self, due_at: int) -> Event:
        """Remove the event that choose() selects, of those due at this instant, from the heap."""
        candidates = []
        while self.next_due_at() == due_at:
            candidates.append(heappop(self.heap))
        chosen = self.choose(len(candidates)) if len(candidates) > 1 else 0
        event = candidates.pop(chosen).event
        for other in candidates:
            heappush(self.heap, other)
        return event

    def run(self, until: int) -> None:
        """Run all events that are due up to and at a time, and advance to it. Raises LivelockError."""
        count_at_instant = 0
        instant = self.now
        while True:
            due_at = self.next_due_at()
            if due_at is None or due_at > until:
                break
            count_at_instant = count_at_instant + 1 if due_at == instant else 1
            instant = due_at
            if count_at_instant > self.max_events_at_one_instant:
                raise LivelockError(
                    f"more than {self.max_events_at_one_instant} events at the instant {due_at} us"
                )
            self.step()
        self.now = max(self.now, until)
