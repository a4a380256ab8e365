"""A wall clock that is off, or stepped, moves no deadline, no window and no warming of engines."""

import signal
import time

import pytest
from serving import WAIT_TIMEOUT_S, until

from faults.plan import Plan
from faults.traffic import FaultyGateway
from gullhold.testing.deployment import endpoint_list_event
from gullhold.testing.discovery_service import DiscoveryService

HOUR_S = 3600
WARM_S = 30.0  # s that engines take to warm up here: they stay cold while these tests look


@pytest.mark.parametrize("off_s", [-HOUR_S, HOUR_S])
def test_an_engine_that_starts_is_cold_for_its_time_whatever_the_wall_clock_says(tmp_path, off_s):
    """With a clock ahead it was flooded at once, with one behind it got nothing for an hour."""
    plan, feed = Plan(tmp_path), DiscoveryService()
    plan.step_wall_clock(off_s)
    gateway = FaultyGateway(tmp_path, plan, engines=2)
    first, second = gateway.engines
    began = gateway.configuration["known"]["updates"][0]
    began["endpoints"]["members"] = began["endpoints"]["members"][:1]
    gateway.configuration["settings"]["rules"] |= {"warm_after": WARM_S, "cold_from": 0.002, "tip_after": 1.0}
    gateway.configuration["coordinator"] = feed.address
    with gateway:
        feed.send(
            endpoint_list_event(2, ("s-1", second.address, "ready"), started_ms=int(time.time() * 1000))
        )
        gateway.start_clients(6, burst=1)
        until(lambda: first.fetches >= 60)  # within a second or so, in which it stands next to nothing
        cold, share = second.fetches, second.fetches / first.fetches
        until(lambda: second.fetches >= cold + 30)  # what it stands grows from the first second on
        assert share <= 0.35
        assert not gateway.run_for(0.1)


@pytest.mark.parametrize("step_s", [-HOUR_S, 5, HOUR_S])
def test_a_step_of_the_wall_clock_costs_no_request_and_ends_none_early(tmp_path, step_s):
    plan = Plan(tmp_path)
    with FaultyGateway(tmp_path, plan) as gateway:
        gateway.start_clients(4)
        time.sleep(0.4)
        plan.step_wall_clock(step_s)
        assert not gateway.run_for(0.8)
        assert gateway.record.counts["answered"] > 100
        assert set(gateway.record.counts) == {"answered"}
        began = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        assert gateway.process.wait(WAIT_TIMEOUT_S) == 0
        assert time.monotonic() - began < 4
