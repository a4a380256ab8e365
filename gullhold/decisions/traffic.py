"""This gateway's traffic: a count of arrived commands that decays exponentially."""

from math import exp

from gullhold.interface import US_PER_SECOND, Agreement

TRAFFIC_DECAY_US = 15_000_000  # us, time constant of the count of arrivals: longer than a burst
MIN_EVEN_SHARE_FRACTION = 0.1  # fraction of an even share that a gateway has even without arrivals


class TrafficMeter:
    """A decaying count of arrivals, and this gateway's share of the fleet's traffic."""

    def __init__(self, agreement: Agreement, now: int) -> None:
        self._gateways = agreement.gateways
        # Commands/s that all tenants together may submit to all gateways.
        self._allowance = sum(tenant.allowance for tenant in agreement.tenants)
        self.count = self._allowance / agreement.gateways * TRAFFIC_DECAY_US / US_PER_SECOND
        self._counted_at = now

    def record_arrival(self, now: int) -> None:
        """Count a command that arrived."""
        self.count = self.count * exp((self._counted_at - now) / TRAFFIC_DECAY_US) + 1
        self._counted_at = now

    def withdraw_arrival(self) -> None:
        """Subtract a command whose client has left."""
        self.count = max(0.0, self.count - 1)

    def scaled_share(self, scale: float, now: int) -> float:
        """Return our share of the traffic, times scale: measured if tenants state allowances, else even."""
        if not self._allowance:
            return scale / self._gateways
        rate = (
            self.count * exp((self._counted_at - now) / TRAFFIC_DECAY_US) * US_PER_SECOND / TRAFFIC_DECAY_US
        )
        return scale * min(1.0, max(MIN_EVEN_SHARE_FRACTION / self._gateways, rate / self._allowance))
