"""Backpressure on one client connection: pauses during which its calls are deferred."""

import time
from collections import deque

from gullhold.net.client_limits import MAX_OPEN_REQUESTS
from gullhold.net.received_call import ReceivedCall
from gullhold.net.statement_memory import StatementMemory

MAX_DEFERRED_BYTES = 32_768  # most bytes of deferred calls at once: 32 calls of 1 KB
MAX_DEFERRED_FRACTION = 0.4  # longest deferral of a call, as a fraction of its client timeout
# Shortest and longest pause after a rejection by the reader thread.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.4


class Backpressure:
    """The pauses and deferred calls of one connection. On its reader thread only, except for stop().

    Interrupts and the end of the connection are handled in a pause too. memory: in which the deferred calls
    are reserved.
    """

    __slots__ = ("deferred_bytes", "deferred_calls", "is_stopped", "memory", "pause_s", "resume_at_s")

    def __init__(self, memory: StatementMemory) -> None:
        self.memory = memory
        self.deferred_calls: deque[ReceivedCall] = deque()
        self.deferred_bytes = 0  # total size of deferred_calls
        self.pause_s = 0.0  # length of the last pause after a rejection; 0: the next one is the shortest
        self.resume_at_s = 0.0  # monotonic time at which the pause is over
        self.is_stopped = False

    def stop(self) -> None:
        """End the pause and prevent further ones, as the connection is to end. From any thread."""
        self.is_stopped = True

    def pause_for(self, seconds: float) -> None:
        """Begin a pause of this length; it replaces the current one."""
        self.resume_at_s = time.monotonic() + seconds

    def remaining_pause_s(self) -> float:
        """Return the time until the pause is over; 0 or less if there is none."""
        return 0.0 if self.is_stopped else self.resume_at_s - time.monotonic()

    def record_rejected(self) -> None:
        """Begin a pause after a rejection by the reader thread, twice as long as the last one.

        Protects other clients from one that retries immediately.
        """
        if time.monotonic() >= self.resume_at_s:  # extending a pause would keep its calls deferred
            self.pause_s = min(max(2 * self.pause_s, MIN_PAUSE_S), MAX_PAUSE_S)
            self.pause_for(self.pause_s)

    def record_accepted(self) -> None:
        """Halve the next pause, as nothing of the last read was rejected."""
        if self.pause_s and time.monotonic() >= self.resume_at_s:
            self.pause_s = self.pause_s / 2 if self.pause_s > MIN_PAUSE_S else 0.0

    def must_defer(self) -> bool:
        """Whether a call that is read now must be deferred: in a pause, or behind other deferred calls."""
        return len(self.deferred_calls) > 0 or self.remaining_pause_s() > 0

    def is_full(self) -> bool:
        """Whether no more requests can be deferred: a usual client has no more than this open."""
        return len(self.deferred_calls) >= MAX_OPEN_REQUESTS or self.deferred_bytes > MAX_DEFERRED_BYTES

    def defer(self, call: ReceivedCall) -> bool:
        """Add a call to the deferred ones; return False if there are too many, or no memory for it."""
        if self.is_full() or not self.memory.reserve(call.size):
            return False
        self.deferred_calls.append(call)
        self.deferred_bytes += call.size
        return True

    def take_due(self, now_us: int) -> ReceivedCall | None:
        """Remove and return the oldest deferred call, or None if it is not due. There must be one."""
        if self.remaining_pause_s() <= 0 or self.oldest_remaining_s(now_us) <= 0:
            call = self.deferred_calls.popleft()
            self._release(call)
            return call
        return None

    def remove_request(self, sequence_id: int) -> bool:
        """Remove the deferred request with this sequence id; return whether there was one."""
        for position, call in enumerate(self.deferred_calls):
            if call.sequence_id == sequence_id and call.method == "execute":
                del self.deferred_calls[position]
                self._release(call)
                return True
        return False

    def take_all(self) -> list[ReceivedCall]:
        """Remove and return all deferred calls, as the connection has ended."""
        calls = list(self.deferred_calls)
        self.deferred_calls.clear()
        for call in calls:
            self._release(call)
        return calls

    def oldest_remaining_s(self, now_us: int) -> float:
        """Return for how long the oldest deferred call may still be deferred; 0 or less: it is due.

        Limits deferral to a part of the client timeout, which several pauses in a row could outlast.
        """
        call = self.deferred_calls[0]
        return MAX_DEFERRED_FRACTION * call.timeout_s - (now_us - call.received_at_us) / 1e6

    def _release(self, call: ReceivedCall) -> None:
        self.deferred_bytes -= call.size
        self.memory.release(call.size)
