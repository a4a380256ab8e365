"""Attempts that are held until the reader has handled what their client had sent by then.

An interrupt or the end of the connection that has arrived counts before the first byte of an attempt is sent,
whatever has kept the reader from it.
"""

from functools import partial
from typing import TYPE_CHECKING

from gullhold.interface import Outcome
from gullhold.net.client_input import InputState
from gullhold.net.event_loop import STALL_US

if TYPE_CHECKING:
    from gullhold.net.core import Core
    from gullhold.net.engine_connection import Attempt

# Longest wait for the reader: far more than it takes for all that fits the buffers of a socket.
MAX_INPUT_WAIT_US = 250_000
# For so long after such a wait nothing is held for the same client. It writes without end, and its attempts
# would hold slots of the engines that others need.
NO_HOLD_US = 1_000_000


def client_waits(attempt: "Attempt", now_us: int) -> bool:
    """Whether the client still waits for the answer, by all that has arrived from it. From any thread."""
    pending = attempt.pending
    client = pending.client
    if client is None:
        return False
    state = client.input.state()
    may_be_unread = now_us < client.input.may_be_unread_until_us
    if state == InputState.CLOSED or (state == InputState.UNREAD and not may_be_unread):
        return False
    # Only now: the reader may have handled an interrupt or the end just before the state was taken.
    return not (client.has_left or pending.sequence_id in client.interrupted)


class HeldAttempts:
    """Holds attempts, and sends them once the reader has caught up. On the core's thread only."""

    def __init__(self, core: "Core") -> None:
        self.core = core

    def hold(self, attempt: "Attempt") -> None:
        """Hold an attempt that is in no write buffer, until its client's input is handled or for a limit."""
        core = self.core
        client = attempt.pending.client
        assert client is not None, "an attempt of a settled request is not held"
        core.counters.add("attempts_held")
        attempt.is_held = True
        if not attempt.held_until_us:
            self._set_limit(attempt)
        attempt.input_mark = client.input.mark(partial(core.post_first, self._resume, attempt))
        core.reading_turns.let_first(client)
        is_event_due = client.has_left or attempt.pending.sequence_id in client.interrupted
        if attempt.input_mark is None and not is_event_due:
            core.defer(self._resume, attempt)

    def _set_limit(self, attempt: "Attempt") -> None:
        attempt.held_until_us = min(self.core.now + MAX_INPUT_WAIT_US, attempt.send_until_us)
        self.core.attempts.call_later(attempt, attempt.held_until_us, self._limit_reached, attempt)

    def _limit_reached(self, attempt: "Attempt") -> None:
        """Send an attempt that is still held, and hold none of its client for a while.

        If this call is late, the process has stood still, and so has the reader: it gets the time anew.
        """
        if attempt.held_until_us + STALL_US < self.core.now < attempt.send_until_us:
            self._set_limit(attempt)
            return
        attempt.held_until_us = 0
        client = attempt.pending.client
        if client and attempt.is_held:
            client.input.may_be_unread_until_us = self.core.now + NO_HOLD_US
            self.core.counters.add("attempts_held_too_long")
        self._resume(attempt)

    def _resume(self, attempt: "Attempt") -> None:
        """Send an attempt that is held, or end it if its client no longer waits."""
        if attempt.pending.attempt is not attempt or not attempt.is_held:
            return
        attempt.is_held = False
        if attempt.input_mark:
            attempt.input_mark.cancel()
            attempt.input_mark = None
        if attempt.pending.client is None:
            self.core.attempts.end(attempt, Outcome.NOT_STARTED)
        else:
            self.core.attempts.send(attempt)
