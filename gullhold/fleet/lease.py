"""How long a lease surely holds, by this process's own clock. Decisions only.

The store counts a lease from when it received the call, which is no sooner than we sent it. Its clock may run
faster than ours, by a share that the operator states.
"""

from typing import NamedTuple

from gullhold.fleet.clocks import US_PER_SECOND


class LeaseTerms(NamedTuple):
    """What the operator says of leases; times in us of a monotonic clock.

    ttl_s: whole seconds that a lease is granted for. drift: the most that two clocks' rates differ, as a
    share. margin_us: how much sooner than granted a store may end a lease, at most.
    """

    ttl_s: int
    drift: float
    margin_us: int

    def guaranteed_us(self) -> int:
        """How long after a granting or renewing call was sent the lease surely holds."""
        return int(self.ttl_s * US_PER_SECOND * (1 - self.drift)) - self.margin_us


class Lease:
    """One lease, from its grant to its end. is_valid() may be asked at any time, also after a long sleep."""

    __slots__ = ("id", "terms", "valid_until")

    def __init__(self, terms: LeaseTerms) -> None:
        """There is no lease yet."""
        self.terms = terms
        self.id = 0
        self.valid_until = 0

    def renew(self, lease_id: int, sent_at: int) -> None:
        """The store granted or renewed it, by a call that was sent at this time.

        What counts is when we sent the call, not when we received the reply.
        """
        if lease_id != self.id:
            self.id = lease_id
            self.valid_until = 0
        self.valid_until = max(self.valid_until, sent_at + self.terms.guaranteed_us())

    def clear(self) -> None:
        """The store does not have it any more."""
        self.id = 0
        self.valid_until = 0

    def is_valid(self, now: int) -> bool:
        """Whether it surely holds now."""
        return self.id != 0 and now < self.valid_until

    def renew_at(self) -> int:
        """When to renew it: two attempts fit into what is left after a lost one."""
        return self.valid_until - self.terms.guaranteed_us() * 2 // 3
