"""Measures how long a client connection has been idle."""

import time


class IdleTimer:
    """When a connection was opened and last active, by the monotonic clock.

    On the connection's reader thread only; other threads may read last_active_at.
    """

    __slots__ = ("connected_at", "is_mid_message", "last_active_at")

    def __init__(self) -> None:
        self.connected_at = time.monotonic()
        self.last_active_at = self.connected_at  # when a message last began or ended, or a request was open
        self.is_mid_message = False  # at the last check, part of a message had arrived

    def call_received(self) -> None:
        """Restart the idle time, as a complete call was read."""
        self.last_active_at = time.monotonic()

    def idle_s(self, is_mid_message: bool, is_busy: bool, was_answered: bool) -> float:
        """Return how long the connection has been idle, or in the middle of the same message.

        While nothing was answered on it, the time since it was opened counts. is_mid_message: a message has
        begun to arrive and is not complete. is_busy: a request has yet to be answered.
        """
        now = time.monotonic()
        if is_mid_message != self.is_mid_message or is_busy:
            self.is_mid_message = is_mid_message
            self.last_active_at = now
        return now - (self.last_active_at if was_answered or is_busy else self.connected_at)
