"""How long a lease certainly holds, by this process's own clock. Performs no I/O.

The store counts a lease's time to live from when it received the call that granted or renewed the lease,
which is not before the call was sent. Its clock may run faster than this process's, by a share that the
operator file bounds.
"""

from typing import NamedTuple

from gullhold.fleet.clocks import US_PER_SECOND


class LeaseTerms(NamedTuple):
    """Settings of leases, from the operator file.

    ttl_s: time to live in integer seconds. max_drift: largest relative difference between the rates of this
    process's clock and the store's. margin_us: how much too early the store may end a lease at most.
    """

    ttl_s: int
    max_drift: float
    margin_us: int

    def guaranteed_us(self) -> int:
        """How long a lease certainly holds, from when the call that granted or renewed it was sent."""
        return int(self.ttl_s * US_PER_SECOND * (1 - self.max_drift)) - self.margin_us


class Lease:
    """The lease of a member, if it has one. Times are us of a monotonic clock.

    is_valid() depends on the clock alone, so it is correct even right after the process was suspended. id: 0
    if there is no lease.
    """

    __slots__ = ("id", "terms", "valid_until")

    def __init__(self, terms: LeaseTerms) -> None:
        """There is no lease at first."""
        self.terms = terms
        self.id = 0
        self.valid_until = 0

    def renew(self, lease_id: int, sent_at: int) -> None:
        """Record that the store granted or renewed the lease. sent_at: when the call was sent."""
        if lease_id != self.id:
            self.id = lease_id
            self.valid_until = 0
        self.valid_until = max(self.valid_until, sent_at + self.terms.guaranteed_us())

    def clear(self) -> None:
        """Forget the lease, as the store may have ended it."""
        self.id = 0
        self.valid_until = 0

    def is_valid(self, now: int) -> bool:
        """Whether there is a lease that certainly holds now."""
        return self.id != 0 and now < self.valid_until

    def renew_at(self) -> int:
        """When to renew it: a third into its guaranteed time, which leaves time for two more attempts."""
        return self.valid_until - self.terms.guaranteed_us() * 2 // 3
