"""How long a lease surely holds, by this process's own clock. Decisions only.

The register counts a lease from when it heard of it, which is no sooner than we sent the call. Its clock may
run faster than ours, by a share that the operator states.
"""

from typing import NamedTuple

MILLION = 1_000_000  # us in a second, and parts in a whole


class Terms(NamedTuple):
    """What the operator says of leases; times in us of a monotonic clock.

    ttl_s: whole seconds that a lease is granted for. drift: the most that two clocks' rates differ, as a
    share. margin_us: how much sooner than promised a register may forget a lease, at most.
    """

    ttl_s: int
    drift: float
    margin_us: int

    def surely_us(self):
        """How long after a granting or keeping call was sent the lease surely holds."""
        return int(self.ttl_s * MILLION * (1 - self.drift)) - self.margin_us


class Lease:
    """One lease, from its grant to its end. held(now) may be asked at any time, also after a long sleep."""

    __slots__ = ("id", "terms", "until")

    def __init__(self, terms):
        self.terms, self.id, self.until = terms, 0, 0

    def kept(self, ident, sent_at):
        """The register granted or kept it, asked at sent_at: what counts is when we asked, not the answer."""
        if ident != self.id:
            self.id, self.until = ident, 0
        self.until = max(self.until, sent_at + self.terms.surely_us())

    def lost(self):
        """The register has it no more."""
        self.id = self.until = 0

    def held(self, now):
        """Whether it surely holds now."""
        return self.id != 0 and now < self.until

    def keep_at(self):
        """When to keep it: two tries fit into what is left after a lost one."""
        return self.until - self.terms.surely_us() * 2 // 3
