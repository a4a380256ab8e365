"""Graceful shutdown: for a planned restart, serves open and new requests for a while, then stops the process.

The protocol fixes the times of a planned restart: new requests arrive for 0.6 s, and the process is killed
0.7 s after the longest client timeout, which counts as 3 s at most.
"""

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from gullhold.net.core import Core

NEW_REQUESTS_US = 600_000  # time in which new requests still arrive
MAX_COUNTED_TIMEOUT_US = 3_000_000  # upper limit for the longest client timeout
QUIET_US = 350_000  # time without a new answer after which an early end may begin
REJECTING_US = 600_000  # longest time before the forced end in which all new requests are rejected
RECHECK_US = QUIET_US // 4  # time between checks whether all requests are answered
KILL_US = 700_000  # time from the end of the longest client timeout, which counts from the start, to the kill
EXIT_US = 200_000  # time kept before the kill for the exit of the process
CLOSING_CHECK_US = 10_000  # time between checks whether all client connections have ended


class GracefulShutdown:
    """Answers all requests and stops the core before the process is killed. On the core's thread only."""

    def __init__(self, core: "Core") -> None:
        self.core = core
        self._stop_at_us = 0  # when the core stops, even if connections are left
        self._is_closing = False  # client connections are being ended

    def start(self) -> None:
        """Begin the shutdown; a second call does nothing."""
        core = self.core
        if core.shutdown_began_at:
            return
        core.shutdown_began_at = core.now
        logger.info("graceful shutdown started open_requests={}", len(core.requests.by_number))
        timeouts_us = (profile.timeout_us for profile in core.agreement.profiles)
        longest_us = min(max(timeouts_us, default=0), MAX_COUNTED_TIMEOUT_US)
        # With short client timeouts new requests arrive almost until the kill; the last of them must still be
        # read and answered.
        self._stop_at_us = core.now + longest_us + KILL_US - EXIT_US
        force_end_at_us = core.now + max(longest_us, min(NEW_REQUESTS_US, longest_us + QUIET_US))
        no_more_new_at_us = core.now + NEW_REQUESTS_US
        # For a while before the forced end new requests are rejected, but not in the time in which they are
        # still to arrive.
        reject_at_us = min(max(no_more_new_at_us, force_end_at_us - REJECTING_US), force_end_at_us)
        core.call_later(no_more_new_at_us, self._end_if_quiet)
        core.call_later(reject_at_us, self._stop_accepting)
        core.call_later(force_end_at_us, self._end_now)

    def _end_if_quiet(self) -> None:
        """End early if all requests are answered, the last one some time ago; else check again later."""
        core = self.core
        is_quiet = core.now >= core.requests.settled_at_us + QUIET_US
        if is_quiet and not core.requests.unanswered():
            self._stop_accepting()
            self._close_clients()
        else:
            core.call_later(core.now + RECHECK_US, self._end_if_quiet)

    def _end_now(self) -> None:
        """Answer all open requests at once, and close the client connections, as the kill is near."""
        core = self.core
        core.call_later(self._stop_at_us, self._stop)  # first: a fault below must not prevent the stop
        for pending in core.requests.unanswered():
            core.requests.force_answer(pending)
        self._close_clients()

    def _close_clients(self) -> None:
        """End all client connections, and stop once they are closed: by then all requests are answered."""
        if not self._is_closing:
            self._is_closing = True
            self._stop_if_closed()

    def _stop_if_closed(self) -> None:
        """End the connections that are left, also new ones; stop once there are none and the queue is empty.

        An earlier stop would leave requests without an answer that were read, but not processed by the core.
        """
        core = self.core
        core.close_clients()
        is_closed = not core.has_clients() and not len(core.queue)
        if is_closed or core.now >= self._stop_at_us:
            self._stop()
        else:
            core.call_later(core.now + CLOSING_CHECK_US, self._stop_if_closed)

    def _stop_accepting(self) -> None:
        """Reject queued and new requests from now on; none is submitted to the decision module any more.

        Without this, clients that keep sending requests would keep the gateway from ending.
        """
        self.core.is_rejecting = True
        self.core.admission.reject_queued()

    def _stop(self) -> None:
        self.core.stopped = True
