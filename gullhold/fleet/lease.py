"""How long a lease certainly holds, by this process's own clock. Decisions only.

The store counts a lease's time from when it received the call, which is not before we sent it. Its clock may
run faster than ours, by a share that the operator file states.
"""

from typing import NamedTuple

from gullhold.fleet.clocks import US_PER_SECOND


class LeaseTerms(NamedTuple):
    """Settings of leases, from the operator file.

    ttl_s: time to live in integer seconds. max_drift: largest relative difference of two clocks' rates.
    margin_us: how much too early a store may end a lease at most.
    """

    ttl_s: int
    max_drift: float
    margin_us: int

    def guaranteed_us(self) -> int:
        """How long a lease certainly holds after the call that granted or renewed it was sent."""
        return int(self.ttl_s * US_PER_SECOND * (1 - self.max_drift)) - self.margin_us


class Lease:
    """One lease, from its grant to its end. is_valid() is correct at any time, also after a long sleep."""

    __slots__ = ("id", "terms", "valid_until")

    def __init__(self, terms: LeaseTerms) -> None:
        """Without a lease at first."""
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
        """Forget the lease: the store may not have it any more."""
        self.id = 0
        self.valid_until = 0

    def is_valid(self, now: int) -> bool:
        """Whether it certainly holds now."""
        return self.id != 0 and now < self.valid_until

    def renew_at(self) -> int:
        """When to renew it: early enough for two more attempts after a lost one."""
        return self.valid_until - self.terms.guaranteed_us() * 2 // 3
