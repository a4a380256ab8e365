"""Virtual time: events in order, nothing but them moves it. The same calls give the same run, anywhere."""

from heapq import heappop, heappush


class Stuck(Exception):
    """More events than allowed happened at one instant: something goes round without time passing."""


class Clock:
    """Virtual microseconds since a start.

    choose(count): which of so many events that are due at one instant comes next, by default the one that
    was asked for first; a search gives another. wall_us(): Unix time as processes see it, which may jump; now
    never goes back.
    """

    MOST_AT_ONCE = 200_000  # events at one instant

    def __init__(self, start_us=1_700_000_000_000_000, choose=lambda count: 0):
        self.now, self.start_us, self.choose, self.off_us = 0, start_us, choose, 0
        self.events, self.serial, self.played = [], 0, 0

    def wall_us(self):
        """Unix us."""
        return self.start_us + self.now + self.off_us

    def jump(self, by_us):
        """The wall clock is set forward or back; what waits for a span of time is not moved."""
        self.off_us += by_us

    def at(self, when, call, *args):
        """Make this call then, at the earliest now; what cancel() takes."""
        self.serial += 1
        event = [max(when, self.now), self.serial, call, args]
        heappush(self.events, event)
        return event

    def after(self, span_us, call, *args):
        """Make this call so much later."""
        return self.at(self.now + span_us, call, *args)

    @staticmethod
    def cancel(event):
        """It is not made any more."""
        event[2] = None

    def due(self):
        """When the next event comes; None: there is none."""
        while self.events and self.events[0][2] is None:
            heappop(self.events)
        return self.events[0][0] if self.events else None

    def step(self):
        """Play one event; whether there was one."""
        when = self.due()
        if when is None:
            return False
        together, self.now = [], when
        while self.due() == when:
            together.append(heappop(self.events))
        at = self.choose(len(together)) if len(together) > 1 else 0
        _, _, call, args = together.pop(at)
        for event in together:  # in the order in which they were asked for
            heappush(self.events, event)
        self.played += 1
        call(*args)
        return True

    def run(self, until):
        """Play all that is due until then; raises Stuck."""
        count, last = 0, self.now
        while (when := self.due()) is not None and when <= until:
            count, last = (count + 1 if when == last else 1), when
            if count > self.MOST_AT_ONCE:
                raise Stuck(f"{count} events at {when} us")
            self.step()
        self.now = max(self.now, until)
