"""Attempts that are held until the reader has handled what their client had sent by then.

An interrupt or the end of the connection that has arrived counts before the first byte of an attempt is sent,
whatever has kept the reader from it.
"""

from functools import partial
from typing import TYPE_CHECKING

from gullhold.interface import Outcome
from gullhold.net.client_input import InputState

if TYPE_CHECKING:
    from gullhold.net.core import Core
    from gullhold.net.engine_connection import Attempt

# Longest wait for the reader: far more than it takes for all that fits the buffer of a socket. A client that
# writes without end delays its own requests, and the engine's slots that they hold, by no more.
MAX_INPUT_WAIT_US = 250_000


def client_waits(attempt: "Attempt", now_us: int) -> bool:
    """Whether the client still waits for the answer, by all that has arrived from it. From any thread."""
    pending = attempt.pending
    client = pending.client
    if client is None:
        return False
    state = client.input.state()
    is_limit_reached = state == InputState.UNREAD and 0 < attempt.held_until_us <= now_us
    if state != InputState.HANDLED and not is_limit_reached:
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
        attempt.held_until_us = core.now + MAX_INPUT_WAIT_US
        core.attempts.call_later(attempt, attempt.held_until_us, self._resume, attempt)
        attempt.input_mark = client.input.mark(partial(core.post_first, self._resume, attempt))
        core.reading_turns.let_first(client)
        is_event_due = client.has_left or attempt.pending.sequence_id in client.interrupted
        if attempt.input_mark is None and not is_event_due:
            core.defer(self._resume, attempt)

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
