"""How much a member requests, and how much of that the allocator credits. Decisions only."""

HEADROOM_DIVISOR = 4  # a member requests a quarter more than it uses, before its allocation runs out
IDLE_TIMEOUT_US = (
    2_000_000  # us for which a mostly idle allocation may go with a larger request: some reports
)
IDLE_RATIO = 2  # an allocation of more than this times the used amount is mostly idle


def requested_amount(peak: int, unmet: int, total: int) -> int:
    """Return the amount that a member requests: what it uses, headroom, and what it lacks now."""
    headroom = -(-peak // HEADROOM_DIVISOR)
    return min(total, peak + headroom + unmet)


def is_mostly_idle(peak: int, allocated: int) -> bool:
    """Whether more of an allocation is idle than used."""
    return peak * IDLE_RATIO < allocated


class MemberDemand:
    """One member's demand for one budget, at the allocator. Times are us of the allocator's clock."""

    __slots__ = ("idle_since", "requested", "peak")

    def __init__(self) -> None:
        self.requested = 0
        self.peak = 0
        self.idle_since: int | None = None

    def report(self, peak: int, requested: int, allocated: int, now: int) -> None:
        """Take a report."""
        self.peak = peak
        self.requested = requested
        self.update_idle(allocated, now)

    def update_idle(self, allocated: int, now: int) -> None:
        """Record since when the allocation is mostly idle; called when it or the report has changed."""
        if not is_mostly_idle(self.peak, allocated) or self.requested <= allocated:
            self.idle_since = None
        elif self.idle_since is None:
            self.idle_since = now

    def credited(self, now: int) -> int:
        """Return how much of the request counts.

        Guards against a member that requests everything and spends nothing: after the idle timeout only
        IDLE_RATIO times what it uses is credited.
        """
        if self.idle_since is None or now < self.idle_since + IDLE_TIMEOUT_US:
            return self.requested
        return min(self.requested, IDLE_RATIO * self.peak)

    def due(self) -> int | None:
        """Return when the credited demand may fall without a report; None: it does not."""
        return None if self.idle_since is None else self.idle_since + IDLE_TIMEOUT_US
