"""The event loop of the thread that owns the gateway's state: runs posted events, deferred calls and timers.

Other threads post events; nothing that runs here waits for a socket.
"""

import time
from collections import deque
from collections.abc import Callable

from loguru import logger

from gullhold.net.counters import Counters
from gullhold.net.event_queue import EventQueue, PostedEvent
from gullhold.net.timer_queue import Timer, TimerQueue

# Lateness of a step that counts as a stall: far more than a step takes, a fifth of the usual drain grace.
STALL_US = 100_000
MAX_CATCH_UP_US = 500_000  # longest wait for the discovery thread after a stall
CATCH_UP_POLL_INTERVAL_S = 0.001  # time between checks whether the discovery thread has caught up
FAILURE_DELAY_S = 0.001  # time between a failed step and the next
CLOCK_OFFSET_NS = time.time_ns() - time.monotonic_ns()  # wall clock minus monotonic clock at the start

BoundCall = tuple[Callable[..., None], tuple[object, ...]]
"""A function and the arguments to call it with."""


class EventLoop:
    """Runs events, deferred calls and timers, one at a time.

    post(), post_first(), post_urgent() and clock() may be called from any thread; all else belongs to the
    loop's thread. To drive a loop without threads, override clock() and call turn().
    """

    def __init__(self, counters: Counters) -> None:
        self.counters = counters
        self.queue = EventQueue()
        self.urgent: deque[BoundCall] = deque()
        self.deferred: deque[BoundCall] = deque()
        self.timers = TimerQueue()
        self.now = self.clock()
        self.stopped = False
        # Whether the discovery thread has received watch events that it has not posted yet.
        self.discovery_lags: Callable[[], bool] = lambda: False

    @staticmethod
    def clock() -> int:
        """Return Unix time in us: the wall-clock time at the start, advanced by the monotonic clock.

        Guards against a wall clock that is set back while commands wait, which would delay their timeouts.
        Drawback: once the wall clock is set, the start times of engines are off by the difference.
        """
        return (CLOCK_OFFSET_NS + time.monotonic_ns()) // 1000

    def post(self, call: Callable[..., None], *args: object) -> None:
        """From any thread: have the loop make this call."""
        self.queue.put(PostedEvent(self.clock(), call, args))

    def post_first(self, call: Callable[..., None], *args: object) -> None:
        """From any thread: have the loop make this call before those of post().

        For calls that complete earlier work: queued behind a flood of new work they would keep its resources
        in use.
        """
        self.queue.put(PostedEvent(self.clock(), call, args), goes_first=True)

    def post_urgent(self, call: Callable[..., None], *args: object) -> None:
        """From any thread: have the loop make this call before all posted events."""
        self.urgent.append((call, args))
        self.post(self._wake)

    def defer(self, call: Callable[..., None], *args: object) -> None:
        """Make this call after the current event and before the next one."""
        self.deferred.append((call, args))

    def call_later(self, due_at_us: int, call: Callable[..., None], *args: object) -> Timer:
        """Make this call at a time, in us of the loop's clock; return its timer, for cancel_timer()."""
        timer = self.timers.add(due_at_us, call, args)
        self.counters.peak("pending_timers", len(self.timers))
        return timer

    def cancel_timer(self, timer: Timer | None) -> None:
        """Prevent a call of call_later() that was not made yet; None or one that was made: does nothing."""
        if timer is not None:
            self.timers.cancel(timer)

    def run_until_stopped(self) -> None:
        """Run until `stopped` is set. At least one timer must be set at any time."""
        while not self.stopped:
            try:
                self._step()
            # Without its loop the process would stay up but serve nothing.
            except Exception:  # noqa: BLE001  the outermost loop of the thread
                self.counters.add("internal_faults")
                logger.exception("event loop step failed")
                time.sleep(FAILURE_DELAY_S)

    def turn(self, event: PostedEvent | None) -> None:
        """Run one turn of the loop: urgent calls, this event if there is one, and the timers that are due."""
        while self.urgent:
            call, args = self.urgent.popleft()
            self.run_guarded(call, *args)
        if event:
            self.counters.peak("events_queued", len(self.queue))
            self.counters.peak("event_delay_us", self.now - event.posted_at_us)
            self.run_guarded(event.call, *event.args)
        while due := self.timers.pop_due(self.now):
            self.counters.peak("timer_delay_us", self.now - due.due_at_us)
            self.run_guarded(due.call, *due.args)

    def next_event(self, wait_us: int = 0) -> PostedEvent | None:
        """Return the next posted event; None if none arrives within this time."""
        return self.queue.take(wait_us)

    def next_timer_at_us(self) -> int:
        """Return when the next timer is due."""
        return self.timers.next_due_at_us()

    def tick(self) -> None:
        """Update `now`, which never decreases."""
        self.now = max(self.now, self.clock())

    def run_guarded(self, call: Callable[..., None], *args: object) -> None:
        """Handle one event; an exception is logged and counted, and the loop goes on."""
        try:
            call(*args)
            self.run_deferred()
            self.after_event()
        except Exception:  # noqa: BLE001  one faulty event must not stop the loop
            self.counters.add("internal_faults")
            logger.exception("event handler failed")

    def after_event(self) -> None:
        """Called after an event and its deferred calls; subclasses override it."""

    def record_interval(self, interval_us: int) -> None:
        """Called with the time from one event to the next, if that one waited; subclasses override it."""

    def run_deferred(self) -> None:
        """Make the deferred calls, also those that they defer."""
        while self.deferred:
            call, args = self.deferred.popleft()
            call(*args)

    def _step(self) -> None:
        previous_us = self.now
        was_busy = len(self.queue) > 0
        wait_us = self.next_timer_at_us() - self.clock()
        event = self.next_event(wait_us)
        self.tick()
        if was_busy:
            self.record_interval(self.now - previous_us)
        if self.now - previous_us > max(wait_us, 0) + STALL_US:
            self._catch_up()
        self.turn(event)

    def _catch_up(self) -> None:
        """After a stall, wait until the discovery thread has read what arrived meanwhile.

        After a suspension of the process or a long step, everything that arrived meanwhile is read at once.
        Without the wait requests could be sent to removed engines before the list change is applied.
        """
        self.counters.add("stalls")
        deadline_us = self.now + MAX_CATCH_UP_US
        while self.discovery_lags() and self.clock() < deadline_us:
            time.sleep(CATCH_UP_POLL_INTERVAL_S)
        self.tick()

    def _wake(self) -> None:
        """Does nothing: posted with an urgent call so that a waiting loop wakes."""
