"""How much of a member's demand the allocator credits, and how much a member asks for. Decisions only."""

HEADROOM_DIVISOR = 4  # a member asks for a quarter more than it uses: before it runs out
IDLE_TIMEOUT_US = 2_000_000  # for so long an allocation may be mostly idle while more is asked: some reports
IDLE_RATIO = 2  # an allocation is mostly idle where, divided by this, it is more than what is used


def requested_amount(used: int, unmet: int, total: int) -> int:
    """Return what a member asks for: what it uses, headroom for more, and what it lacks now."""
    headroom = -(-used // HEADROOM_DIVISOR)
    return min(total, used + headroom + unmet)


def is_mostly_idle(used: int, allocated: int) -> bool:
    """Whether more of an allocation lies idle than is used."""
    return used * IDLE_RATIO < allocated


class MemberDemand:
    """One member's demand for one budget, as the allocator keeps it. Times: us of the allocator's clock."""

    __slots__ = ("idle_since", "requested", "used")

    def __init__(self) -> None:
        self.requested = 0
        self.used = 0
        self.idle_since: int | None = None

    def report(self, used: int, requested: int, allocated: int, now: int) -> None:
        """Take in a report."""
        self.used = used
        self.requested = requested
        self.update_idle(allocated, now)

    def update_idle(self, allocated: int, now: int) -> None:
        """Note since when the allocation lies mostly idle; called when it or the report has changed."""
        if not is_mostly_idle(self.used, allocated) or self.requested <= allocated:
            self.idle_since = None
        elif self.idle_since is None:
            self.idle_since = now

    def credited(self, now: int) -> int:
        """Return how much of the request counts.

        Guards against a member that asks for everything and spends nothing: after the idle timeout it is
        credited only as far as it spends.
        """
        if self.idle_since is None or now < self.idle_since + IDLE_TIMEOUT_US:
            return self.requested
        return min(self.requested, IDLE_RATIO * self.used)

    def due(self) -> int | None:
        """Return when the credited demand may fall by itself; None: not before another report."""
        return None if self.idle_since is None else self.idle_since + IDLE_TIMEOUT_US
