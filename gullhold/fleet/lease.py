"""How long a lease surely holds, by this process's own clock. Decisions only.

The register counts a lease from when it heard of it, which is no sooner than we sent the call. Its clock may
run faster than ours, by a share that the operator states.
"""

from typing import NamedTuple

MILLION = 1_000_000  # us in a second, and parts in a whole


class LeaseTerms(NamedTuple):
    """What the operator says of leases; times in us of a monotonic clock.

    ttl_s: whole seconds that a lease is granted for. drift: the most that two clocks' rates differ, as a
    share. margin_us: how much sooner than promised a register may forget a lease, at most.
    """

    ttl_s: int
    drift: float
    margin_us: int

    def guaranteed_us(self):
        """How long after a granting or keeping call was sent the lease surely holds."""
        return int(self.ttl_s * MILLION * (1 - self.drift)) - self.margin_us


class Lease:
    """One lease, from its grant to its end. is_valid() may be asked at any time, also after a long sleep."""

    __slots__ = ("id", "terms", "valid_until")

    def __init__(self, terms):
        self.terms, self.id, self.valid_until = terms, 0, 0

    def renew(self, ident, sent_at):
        """The register granted or kept it, asked at sent_at: what counts is when we asked, not the answer."""
        if ident != self.id:
            self.id, self.valid_until = ident, 0
        self.valid_until = max(self.valid_until, sent_at + self.terms.guaranteed_us())

    def clear(self):
        """The register has it no more."""
        self.id = self.valid_until = 0

    def is_valid(self, now):
        """Whether it surely holds now."""
        return self.id != 0 and now < self.valid_until

    def renew_at(self):
        """When to keep it: two tries fit into what is left after a lost one."""
        return self.valid_until - self.terms.guaranteed_us() * 2 // 3
