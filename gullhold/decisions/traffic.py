"""This gateway's traffic: commands that arrived, counted with exponential fading."""

from math import exp

from gullhold.interface import Agreement

TRAFFIC_US = 15_000_000  # us over which traffic is counted for our share: longer than a burst
LEAST_SHARE = 0.1  # of an even share of the fleet, which a gateway without traffic keeps


class TrafficMeter:
    """A fading count of arrivals, and what share of the whole traffic it is."""

    def __init__(self, agreement: Agreement, now: int) -> None:
        self._gateways = agreement.gateways
        self._allowance = sum(tenant.allowance for tenant in agreement.tenants)  # commands/s of the fleet
        self.count = self._allowance / agreement.gateways * TRAFFIC_US / 1e6
        self._counted_at = now

    def record_arrival(self, now: int) -> None:
        """A command arrived."""
        self.count = self.count * exp((self._counted_at - now) / TRAFFIC_US) + 1
        self._counted_at = now

    def withdraw_arrival(self) -> None:
        """A client took its command back: it was no traffic."""
        self.count = max(0.0, self.count - 1)

    def share_of(self, scale: float, now: int) -> float:
        """Our share of the fleet times scale: by traffic where all of it is stated, else an even one."""
        if not self._allowance:
            return scale / self._gateways
        rate = self.count * exp((self._counted_at - now) / TRAFFIC_US) * 1e6 / TRAFFIC_US
        return scale * min(1.0, max(LEAST_SHARE / self._gateways, rate / self._allowance))
