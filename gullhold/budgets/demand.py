"""How much of a budget a member requests, and how much of the request the allocator credits."""

HEADROOM_DIVISOR = 4  # a member requests a quarter more than its peak, to get it before it runs out
# Time until a request above a mostly idle allocation is cut, in which several reports arrive.
IDLE_TIMEOUT_US = 2_000_000
IDLE_RATIO = 2  # an allocation of more than this times the peak use is mostly idle


def requested_amount(peak: int, unmet: int, total: int) -> int:
    """Return the amount that a member requests: its peak use, headroom, and unmet demand."""
    headroom = -(-peak // HEADROOM_DIVISOR)
    return min(total, peak + headroom + unmet)


def is_mostly_idle(peak: int, allocated: int) -> bool:
    """Whether more of an allocation is idle than was in use at the peak."""
    return peak * IDLE_RATIO < allocated


class MemberDemand:
    """One member's demand for one budget, as the allocator knows it. Times are us of the allocator's clock.

    requested, peak: as in the last report; idle_since: since when a request above a mostly idle allocation
    lasts, None if it does not.
    """

    __slots__ = ("idle_since", "requested", "peak")

    def __init__(self) -> None:
        self.requested = 0
        self.peak = 0
        self.idle_since: int | None = None

    def report(self, peak: int, requested: int, allocated: int, now: int) -> None:
        """Take the member's report. allocated: its current allocation."""
        self.peak = peak
        self.requested = requested
        self.update_idle(allocated, now)

    def update_idle(self, allocated: int, now: int) -> None:
        """Set idle_since; to be called when the allocation or the report has changed."""
        if not is_mostly_idle(self.peak, allocated) or self.requested <= allocated:
            self.idle_since = None
        elif self.idle_since is None:
            self.idle_since = now

    def credited(self, now: int) -> int:
        """Return how much of the request is considered in the allocation.

        Guards against a member that requests everything and spends nothing: after IDLE_TIMEOUT_US only
        IDLE_RATIO times its peak use is credited.
        """
        if self.idle_since is None or now < self.idle_since + IDLE_TIMEOUT_US:
            return self.requested
        return min(self.requested, IDLE_RATIO * self.peak)

    def due(self) -> int | None:
        """Return when the credited demand may fall without a new report; None: it will not."""
        return None if self.idle_since is None else self.idle_since + IDLE_TIMEOUT_US
