"""Threads, descriptors and buffers that the system refuses for a moment are requested again at no cost."""

import signal

import pytest
from serving import WAIT_TIMEOUT_S, until

from faults.plan import Plan
from faults.traffic import FaultyGateway


def test_requests_are_answered_where_threads_are_refused_and_writes_are_short(tmp_path):
    """A connection whose writer thread was refused was never written to again, and the event failed."""
    plan = Plan(tmp_path)
    with FaultyGateway(tmp_path, plan) as gateway:
        plan.set("thread", 300, "EAGAIN")
        plan.set("send", 1000, most=39)
        gateway.start_clients(6, limit_ms=4000)
        until(lambda: plan.hits("thread") > 10 and gateway.record.counts.get("answered", 0) > 100)
        breaks = gateway.run_for(0.5)
        assert not breaks
        assert "Traceback" not in gateway.log_text()


@pytest.mark.parametrize(
    ("call", "error"),
    [
        ("thread", "EAGAIN"),
        ("socket", "ENFILE"),
        ("socket", "ENOBUFS"),
        pytest.param("poll", "ENOMEM", marks=pytest.mark.causes_faults),  # the flusher logs it
    ],
)
def test_a_process_starts_where_the_system_refuses_for_a_moment(tmp_path, call, error):
    """Its first threads and its listener were requested once: it ended, or ran without a part of itself."""
    plan = Plan(tmp_path)
    plan.set(call, 1000, error)
    gateway = FaultyGateway(tmp_path, plan)
    with gateway.started():
        until(lambda: plan.hits(call) or gateway.process.poll() is not None)
        plan.clear()
        until(gateway.is_serving)
        gateway.start_clients(2)
        assert not gateway.run_for(0.5)
        assert gateway.record.counts["answered"] > 4
        gateway.process.send_signal(signal.SIGTERM)
        assert gateway.process.wait(WAIT_TIMEOUT_S) == 0
