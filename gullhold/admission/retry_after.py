"""When clients whose commands were rejected may retry (Retry-After), and who retried in time; bounded."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from gullhold.admission.settings import RetryAfterSettings


class RetryWindow(NamedTuple):
    """The time in which one client may retry (us)."""

    begin_us: int
    end_us: int


class FlowRetries:
    """The retry windows that were given out in one flow, in order; each is used once."""

    __slots__ = ("next_begin_us", "windows")

    def __init__(self) -> None:
        self.windows: deque[RetryWindow] = deque()
        self.next_begin_us = 0  # no window of this flow begins earlier from now on

    def expire(self, now_us: int) -> int:
        """Forget the windows that are over; return how many."""
        count = 0
        while self.windows and self.windows[0].end_us < now_us:
            self.windows.popleft()
            count += 1
        return count

    def use(self, now_us: int) -> bool:
        """Whether a window is open now; it is then used up."""
        if self.windows and self.windows[0].begin_us <= now_us:
            self.windows.popleft()
            return True
        return False

    def count_within(self, now_us: int, span_us: float) -> int:
        """Count the windows that begin within a span from now; an open one may never be used."""
        return sum(now_us < window.begin_us <= now_us + span_us for window in self.windows)

    def first_begin_us(self) -> int | None:
        """Return when the first window begins; None: there is none."""
        return self.windows[0].begin_us if self.windows else None


class RetryScheduler:
    """Gives out retry windows, as many as the share of service reserved for retries allows.

    draw_fraction: returns a random number from 0 to 1.
    """

    def __init__(self, settings: RetryAfterSettings, draw_fraction: Callable[[], float]) -> None:
        self._settings = settings
        self._draw_fraction = draw_fraction
        self.window_count = 0  # over all flows

    def expire(self, retries: FlowRetries, now_us: int) -> None:
        """Forget the windows of a flow that are over."""
        self.window_count -= retries.expire(now_us)

    def use_window(self, retries: FlowRetries, now_us: int) -> bool:
        """Whether a client that retries now does so inside a window, which is then used up."""
        self.expire(retries, now_us)
        if not retries.use(now_us):
            return False
        self.window_count -= 1
        return True

    def schedule(self, retries: FlowRetries, now_us: int, wait_us: float, gap_us: float) -> int:
        """Return the Retry-After time in us, or 0 where none can be given.

        wait_us: until what is queued has been forwarded; gap_us: what one more command takes of the service
        reserved for retries. Each window stands behind the one before it, so clients don't return together.
        """
        settings = self._settings
        self.expire(retries, now_us)
        begin_us = max(now_us + max(settings.min_us, int(wait_us)), retries.next_begin_us)
        longest_us = int((begin_us - now_us) * (1 + settings.spread))
        if (
            longest_us > settings.max_us
            or len(retries.windows) >= settings.max_windows_per_flow
            or self.window_count >= settings.max_windows
        ):
            return 0
        retries.next_begin_us = begin_us + int(gap_us)
        retry_after_us = int((begin_us - now_us) * (1 + settings.spread * self._draw_fraction()))
        retries.windows.append(RetryWindow(begin_us, now_us + longest_us + settings.grace_us))
        self.window_count += 1
        return retry_after_us

    def repeat(self, retries: FlowRetries, now_us: int) -> int:
        """Return a time inside the windows given out, for a client that retried too early."""
        first_us = retries.windows[0].begin_us
        last_us = retries.windows[-1].begin_us
        return max(1, int(first_us - now_us + (last_us - first_us) * self._draw_fraction()))
