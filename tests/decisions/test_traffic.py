"""The count of arrivals at a gateway, and its share of the traffic."""

import pytest
from driver import MS, START, make_agreement

from gullhold.decisions.traffic import TrafficMeter
from gullhold.interface import Tenant


def test_traffic_decays_and_a_gateway_without_any_keeps_a_tenth_of_an_even_share():
    meter = TrafficMeter(make_agreement(gateways=10, tenants=(Tenant(1.0, 100.0),)), START)
    assert meter.scaled_share(1.0, START) == pytest.approx(0.1)
    assert meter.scaled_share(1.0, START + 600_000 * MS) == pytest.approx(0.01)
    before = meter.count
    meter.record_arrival(START)
    assert meter.count == before + 1
    meter.withdraw_arrival()
    assert meter.count == before
