"""Bookkeeping of a member's calls to the store: one under way in each lane, with a backoff after failures.

Performs no I/O. Times are us of a monotonic clock.
"""

from collections.abc import Callable

from gullhold.fleet.membership_types import CallLane, CallPlan, MembershipRules
from gullhold.fleet.store_calls import PendingCall


class CallLanes:
    """The calls under way, and the times from which further calls may be made, by lane.

    last_number: number of the newest call, from 1. void_until: replies to calls with a number up to this are
    ignored, as those calls were made under a lease that has been lost.
    """

    def __init__(self, rules: MembershipRules, random_fraction: Callable[[], float]) -> None:
        """random_fraction: draws from [0, 1), for the jitter of delays."""
        self.under_way: dict[CallLane, PendingCall] = {}
        self.retry_at = dict.fromkeys(CallLane, 0)
        self.last_number = 0
        self.void_until = 0
        self._backoffs = {lane: rules.backoff(random_fraction) for lane in CallLane}

    def may_start(self, lane: CallLane, now: int) -> bool:
        """Whether a call may be made in the lane now."""
        return lane not in self.under_way and now >= self.retry_at[lane]

    def start(self, lane: CallLane, plan: CallPlan, now: int) -> PendingCall:
        """Record that a planned call is made now; return it with its number."""
        self.last_number += 1
        call = PendingCall(self.last_number, plan.purpose, plan.request, now, plan.context)
        self.under_way[lane] = call
        return call

    def replied(self, lane: CallLane, is_done: bool, now: int) -> None:
        """Record that the lane's call has its reply. is_done: the request was certainly carried out."""
        self.under_way.pop(lane, None)
        if is_done:
            self._backoffs[lane].reset()
        else:
            self.delay(lane, now)

    def delay(self, lane: CallLane, now: int) -> None:
        """Allow the lane's next call only after the next delay of its backoff."""
        self.retry_at[lane] = now + self._backoffs[lane].next_delay_us()

    def end_delays(self) -> None:
        """Allow calls in all lanes now, whatever their backoffs."""
        self.retry_at = dict.fromkeys(CallLane, 0)

    def void_all(self) -> None:
        """Ignore the replies to all calls made so far; their lanes stay occupied until these arrive."""
        self.void_until = self.last_number

    def is_void(self, call: PendingCall) -> bool:
        """Whether the reply to a call is to be ignored."""
        return call.number <= self.void_until
