"""Graceful shutdown: for a planned restart, serves open and new requests for a while, then ends.

The times are the protocol's for planned restarts: new requests arrive for 0.6 s; the process is killed 0.7 s
after the longest client timeout, of which 3 s at most count.
"""

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from gullhold.net.core import Core

NEW_REQUESTS_US = 600_000  # in which new requests still arrive
MAX_COUNTED_TIMEOUT_US = 3_000_000  # of the longest client timeout
FLUSH_US = 350_000  # without a new answer, after which an early end may begin
CLOSING_US = 600_000  # before the last answers, in which all new requests are rejected
RECHECK_US = FLUSH_US // 4  # between checks whether all is answered
KILL_US = 700_000  # from the longest client timeout to the kill
EXIT_US = 200_000  # before the kill, for the exit of the process
CLOSING_CHECK_US = 10_000  # between checks whether all clients' connections have ended


class GracefulShutdown:
    """Stops the core in time. On the core's thread only."""

    def __init__(self, core: "Core") -> None:
        self.core = core
        self._stop_at_us = 0  # when the core stops, whatever is left
        self._is_closing = False  # clients' connections are being ended

    def start(self) -> None:
        """Begin the shutdown; a second call does nothing."""
        core = self.core
        if core.shutdown_began_at:
            return
        core.shutdown_began_at = core.now
        logger.info("graceful shutdown started open_requests={}", len(core.requests.by_number))
        timeouts_us = (profile.timeout_us for profile in core.agreement.profiles)
        longest_us = min(max(timeouts_us, default=0), MAX_COUNTED_TIMEOUT_US)
        # With short client timeouts the kill comes soon, and requests arrive until then: do not end before
        # the last of them is read and answered.
        self._stop_at_us = core.now + longest_us + KILL_US - EXIT_US
        last_at_us = core.now + max(longest_us, min(NEW_REQUESTS_US, longest_us + FLUSH_US))
        no_more_new_at_us = core.now + NEW_REQUESTS_US
        close_at_us = min(max(no_more_new_at_us, last_at_us - CLOSING_US), last_at_us)
        core.call_later(no_more_new_at_us, self._end_if_done)
        core.call_later(close_at_us, self._stop_accepting)
        core.call_later(last_at_us, self._end_now)

    def _end_if_done(self) -> None:
        core = self.core
        is_settled = core.now >= core.requests.settled_at_us + FLUSH_US
        if is_settled and not core.requests.unanswered():
            self._stop_accepting()
            self._close_clients()
        else:
            core.call_later(core.now + RECHECK_US, self._end_if_done)

    def _end_now(self) -> None:
        """Answer all open requests before the kill."""
        core = self.core
        core.call_later(self._stop_at_us, self._stop)  # first: a fault below must not prevent the end
        for pending in core.requests.unanswered():
            core.requests.force_answer(pending)
        self._close_clients()

    def _close_clients(self) -> None:
        """End all clients' connections, and stop once that is done: what was read is answered by then."""
        if not self._is_closing:
            self._is_closing = True
            self._stop_if_closed()

    def _stop_if_closed(self) -> None:
        """End the connections that are left, also new ones; stop once there are none and no event waits.

        Guards against requests that were read when the process ended: they got no answer.
        """
        core = self.core
        core.close_clients()
        is_closed = not core.has_clients() and not len(core.queue)
        if is_closed or core.now >= self._stop_at_us:
            self._stop()
        else:
            core.call_later(core.now + CLOSING_CHECK_US, self._stop_if_closed)

    def _stop_accepting(self) -> None:
        """Reject queued and new requests; nothing is passed on to the decision module any more.

        Guards against clients that go on sending requests, which would keep the gateway from ending.
        """
        self.core.is_rejecting = True
        self.core.admission.reject_queued()

    def _stop(self) -> None:
        self.core.stopped = True
