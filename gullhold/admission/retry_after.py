"""Retry windows (Retry-After) for clients whose commands were rejected, in bounded number."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from gullhold.admission.settings import RetryAfterSettings


class RetryWindow(NamedTuple):
    """The time span in which one client may retry."""

    begin_us: int
    end_us: int


class FlowRetries:
    """The retry windows given to clients of one flow, in order; each is used once.

    A window is not bound to a client: any retry in the flow that comes inside it uses it up.
    """

    __slots__ = ("next_begin_us", "windows")

    def __init__(self) -> None:
        self.windows: deque[RetryWindow] = deque()
        self.next_begin_us = 0  # the flow's next window begins at this time or later

    def expire(self, now_us: int) -> int:
        """Forget the windows that have ended; return their number."""
        count = 0
        while self.windows and self.windows[0].end_us < now_us:
            self.windows.popleft()
            count += 1
        return count

    def use(self, now_us: int) -> bool:
        """Whether the first window has begun; it is then used up."""
        if self.windows and self.windows[0].begin_us <= now_us:
            self.windows.popleft()
            return True
        return False

    def count_within(self, now_us: int, span_us: float) -> int:
        """Count the windows that begin within a span from now; one that has begun may never be used."""
        return sum(now_us < window.begin_us <= now_us + span_us for window in self.windows)

    def first_begin_us(self) -> int | None:
        """Return the time when the first window begins; None: there is none."""
        return self.windows[0].begin_us if self.windows else None


class RetryScheduler:
    """Gives out retry windows, as many as the share of service reserved for retries can serve.

    draw_fraction: returns a random number from 0 to 1.
    """

    def __init__(self, settings: RetryAfterSettings, draw_fraction: Callable[[], float]) -> None:
        self._settings = settings
        self._draw_fraction = draw_fraction
        self.window_count = 0  # number of open windows in all flows

    def expire(self, retries: FlowRetries, now_us: int) -> None:
        """Forget the windows of a flow that have ended."""
        self.window_count -= retries.expire(now_us)

    def use_window(self, retries: FlowRetries, now_us: int) -> bool:
        """Whether a retry that arrives now is inside a window of the flow, which is then used up."""
        self.expire(retries, now_us)
        if not retries.use(now_us):
            return False
        self.window_count -= 1
        return True

    def schedule(self, retries: FlowRetries, now_us: int, wait_us: float, gap_us: float) -> int:
        """Give out a window and return its Retry-After time (us); 0: the limits allow none.

        wait_us: until the queued commands of the flow have been forwarded; gap_us: the time for which one
        retry uses the service reserved for retries. Windows begin at least that far apart, so that clients do
        not return all at once.
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
        """Return a Retry-After time within the windows given out, for a client that retried too early.

        Such a client gets no new window, so that early retries do not delay the other clients.
        """
        first_us = retries.windows[0].begin_us
        last_us = retries.windows[-1].begin_us
        return max(1, int(first_us - now_us + (last_us - first_us) * self._draw_fraction()))
