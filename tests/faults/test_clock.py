"""Deadlines and the warm-up of engines do not depend on the wall clock, whether it is off or stepped."""

import signal
import time

import pytest
from serving import WAIT_TIMEOUT_S, until

from faults.plan import Plan
from faults.traffic import FaultyGateway
from gullhold.testing.deployment import endpoint_list_event
from gullhold.testing.discovery_service import DiscoveryService

HOUR_S = 3600
WARM_UP_S = 30.0  # warm-up of engines in these tests: they stay cold for longer than a test runs


@pytest.mark.parametrize("off_s", [-HOUR_S, HOUR_S])
def test_new_engine_gets_few_attempts_while_it_is_cold_when_the_wall_clock_is_off(tmp_path, off_s):
    """Guards against computing the age of engines from the wall clock.

    With a clock that was ahead, a new engine got full load at once; with one behind, nothing for an hour.
    """
    plan, discovery = Plan(tmp_path), DiscoveryService()
    plan.step_wall_clock(off_s)
    gateway = FaultyGateway(tmp_path, plan, engines=2)
    first, second = gateway.engines
    first_event = gateway.configuration["known"]["updates"][0]
    first_event["endpoints"]["members"] = first_event["endpoints"]["members"][:1]
    gateway.configuration["settings"]["rules"] |= {
        "warm_after": WARM_UP_S,
        "cold_from": 0.002,
        "tip_after": 1.0,
    }
    gateway.configuration["coordinator"] = discovery.address
    with gateway:
        discovery.send(
            endpoint_list_event(2, ("s-1", second.address, "ready"), started_ms=int(time.time() * 1000))
        )
        gateway.start_clients(6, burst=1)
        # Within about a second, in which the capacity of the second engine is next to nothing.
        until(lambda: first.fetches >= 60)
        cold_fetches, share = second.fetches, second.fetches / first.fetches
        until(lambda: second.fetches >= cold_fetches + 30)  # its capacity grows from the first second on
        assert share <= 0.35
        assert not gateway.run_for(0.1)


@pytest.mark.parametrize("step_s", [-HOUR_S, 5, HOUR_S])
def test_every_request_is_answered_and_the_process_ends_in_time_when_the_wall_clock_is_stepped(
    tmp_path, step_s
):
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
