"""Threads, descriptors and buffers that the system refuses for a moment are requested again, without loss."""

import signal

import pytest
from serving import WAIT_TIMEOUT_S, until

from faults.plan import Plan
from faults.traffic import FaultyGateway


def test_requests_are_answered_when_threads_are_refused_and_writes_are_short(tmp_path):
    """Guards against a connection that is never written to again after its writer thread was refused.

    The event whose handling started the thread must not fail either.
    """
    plan = Plan(tmp_path)
    with FaultyGateway(tmp_path, plan) as gateway:
        plan.set("thread", 300, "EAGAIN")
        plan.set("send", 1000, max_bytes=39)
        gateway.start_clients(6, limit_ms=4000)
        until(lambda: plan.hits("thread") > 10 and gateway.record.counts.get("answered", 0) > 100)
        violations = gateway.run_for(0.5)
        assert not violations
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
def test_process_starts_when_the_system_refuses_a_resource_for_a_moment(tmp_path, call, error):
    """Guards against a start that requests its threads and its listener only once.

    The process ended, or ran without the thread that was refused.
    """
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
