"""Virtual time: events in order, nothing but them moves it. The same calls give the same run, anywhere."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

Event = list[Any]  # due time, serial, call (None: cancelled), arguments: a list, as the heap compares it fast


class StuckError(Exception):
    """More events than allowed happened at one instant: something goes round without time passing."""


def first_asked_for(_count: int) -> int:
    """Of events that are due at one instant, the one that was asked for first."""
    return 0


class Clock:
    """Virtual microseconds since a start.

    choose(count): which of so many events that are due at one instant comes next; a search gives another than
    the first. wall_us(): Unix time as processes see it, which may jump; now never goes back.
    """

    MOST_AT_ONCE = 200_000  # events at one instant

    def __init__(
        self, start_us: int = 1_700_000_000_000_000, choose: Callable[[int], int] = first_asked_for
    ) -> None:
        """start_us: Unix time in us at virtual time 0."""
        self.now = 0
        self.start_us = start_us
        self.choose = choose
        self.wall_offset_us = 0
        self.events: list[Event] = []
        self.serial = 0
        self.played = 0

    def wall_us(self) -> int:
        """Unix us."""
        return self.start_us + self.now + self.wall_offset_us

    def jump(self, by_us: int) -> None:
        """The wall clock is set forward or back; what waits for a span of time is not moved."""
        self.wall_offset_us += by_us

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> Event:
        """Make this call then, at the earliest now. Returns what cancel() takes."""
        self.serial += 1
        event = [max(when, self.now), self.serial, call, args]
        heappush(self.events, event)
        return event

    def after(self, span_us: int, call: Callable[..., Any], *args: Any) -> Event:
        """Make this call so much later. Returns what cancel() takes."""
        return self.at(self.now + span_us, call, *args)

    @staticmethod
    def cancel(event: Event) -> None:
        """The call is not made any more."""
        event[2] = None

    def due(self) -> int | None:
        """When the next event comes; None: there is none."""
        while self.events and self.events[0][2] is None:
            heappop(self.events)
        return self.events[0][0] if self.events else None

    def step(self) -> bool:
        """Play one event; whether there was one."""
        when = self.due()
        if when is None:
            return False
        self.now = when
        together = []
        while self.due() == when:
            together.append(heappop(self.events))
        chosen = self.choose(len(together)) if len(together) > 1 else 0
        _, _, call, args = together.pop(chosen)
        for event in together:  # in the order in which they were asked for
            heappush(self.events, event)
        self.played += 1
        call(*args)
        return True

    def run(self, until: int) -> None:
        """Play all that is due until then. Raises StuckError."""
        count = 0
        last = self.now
        while True:
            when = self.due()
            if when is None or when > until:
                break
            count = count + 1 if when == last else 1
            last = when
            if count > self.MOST_AT_ONCE:
                raise StuckError(f"{count} events at {when} us")
            self.step()
        self.now = max(self.now, until)
