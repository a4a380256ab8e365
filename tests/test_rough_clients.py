"""Rough clients cost neither the usual client its answers nor the process its memory (pictures a and b)."""

import threading
import time

import pytest

from gullhold.testing.rough_clients import CROWDS, TIMEOUT_MS, Rough, RoughLoad
from gullhold.testing.running import RunningDeployment

PLAY_S = 3.0  # the long runs are those of benchmarks.rough_clients


@pytest.mark.parametrize("rough", list(Rough), ids=lambda each: each.value)
def test_the_usual_client_is_answered_in_time_and_memory_stays_below_the_limit(rough):
    """Guards against a process that is killed, and against answers that come late or never."""
    memory_mb, sockets = (64, 256) if rough in CROWDS else (64, 1024)
    with RunningDeployment(memory_mb=memory_mb, sockets=sockets, slots=16, timeout_s=4.0) as deployment:
        load = RoughLoad(deployment.address, rough, connections=sockets // 3)
        thread = threading.Thread(target=load.run, args=(PLAY_S,))
        thread.start()
        peak_mb = 0.0
        while thread.is_alive():
            peak_mb = max(peak_mb, deployment.resident_mb())
            time.sleep(0.05)
    assert len(load.latencies_s) > 10
    assert not load.unanswered
    assert max(load.latencies_s) < TIMEOUT_MS / 1000
    assert peak_mb < memory_mb
