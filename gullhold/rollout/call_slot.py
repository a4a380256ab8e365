"""The single call to the store that a member of the rollout may have in flight. Performs no I/O."""

from gullhold.rollout.member_state import CallInFlight, CallPurpose


class CallSlot:
    """The call in flight, if any. Times are us of a monotonic clock.

    sent_at: when the last call was sent. retry_at: the earliest time of the next call.
    """

    def __init__(self) -> None:
        self.in_flight: CallInFlight | None = None
        self.sent_at = 0
        self.retry_at = 0
        self._last_serial = 0

    def reset(self) -> None:
        """Ignore the reply to a call in flight, and allow the next call at once."""
        self.in_flight = None
        self.retry_at = 0

    def is_free(self, now: int) -> bool:
        """Whether a call may be sent now."""
        return self.in_flight is None and now >= self.retry_at

    def start(self, now: int, purpose: CallPurpose) -> int:
        """Record that a call is sent now; return the serial that its reply will carry."""
        self._last_serial += 1
        self.in_flight = CallInFlight(purpose, self._last_serial)
        self.sent_at = now
        return self._last_serial

    def take_reply(self, serial: int) -> CallPurpose | None:
        """Free the slot; return the purpose of the call, None if the reply is not to the call in flight."""
        call = self.in_flight
        if call is None or call.serial != serial:
            return None
        self.in_flight = None
        return call.purpose
