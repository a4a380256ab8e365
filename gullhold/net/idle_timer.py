"""Measures how long a client connection has been idle."""

import time


class IdleTimer:
    """Times of one connection, by the monotonic clock.

    Used by the connection's reader thread; other threads read last_active_at.
    """

    __slots__ = ("connected_at", "is_mid_message", "last_active_at")

    def __init__(self) -> None:
        self.connected_at = time.monotonic()
        self.last_active_at = self.connected_at  # when something last arrived or was open
        self.is_mid_message = False  # in the middle of a message

    def call_received(self) -> None:
        """Note that a call was read."""
        self.last_active_at = time.monotonic()

    def idle_s(self, is_mid_message: bool, is_busy: bool, was_answered: bool) -> float:
        """Return how long the connection has been idle; one that was never answered: since it connected.

        is_mid_message: a message has begun and is not complete. is_busy: something is still to be answered.
        """
        now = time.monotonic()
        if is_mid_message != self.is_mid_message or is_busy:
            self.is_mid_message = is_mid_message
            self.last_active_at = now
        return now - (self.last_active_at if was_answered or is_busy else self.connected_at)
