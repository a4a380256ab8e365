"""The one call to the store that a member of the rollout may have under way. Decisions only."""

from gullhold.rollout.member_state import CallInFlight, CallPurpose


class CallSlot:
    """The call under way, if any. Times are us of a monotonic clock.

    sent_at: when the newest call was sent. retry_at: no call is sent before.
    """

    def __init__(self) -> None:
        self.in_flight: CallInFlight | None = None
        self.sent_at = 0
        self.retry_at = 0
        self._last_serial = 0

    def reset(self) -> None:
        """Ignore the reply to a call under way, and allow the next one at once."""
        self.in_flight = None
        self.retry_at = 0

    def is_free(self, now: int) -> bool:
        """Whether a call may be sent now."""
        return self.in_flight is None and now >= self.retry_at

    def start(self, now: int, purpose: CallPurpose) -> int:
        """Record that a call is sent; return its serial."""
        self._last_serial += 1
        self.in_flight = CallInFlight(purpose, self._last_serial)
        self.sent_at = now
        return self._last_serial

    def take_reply(self, serial: int) -> CallPurpose | None:
        """Record the reply to a call; return the call's purpose, None if the reply is to be ignored."""
        call = self.in_flight
        if call is None or call.serial != serial:
            return None
        self.in_flight = None
        return call.purpose
