"""A descriptor's number is another connection's once it is closed: no thread may still be about to use it."""

import pytest

from faults.plan import Plan
from faults.traffic import FaultyGateway

LATE_US = 1500  # us between reading a descriptor's number and the system call: a thread that lost its turn
PART = 2000  # bytes that the system takes of one write: less than a statement, as with full buffers


@pytest.mark.parametrize("seed", [1, 2])
def test_bytes_of_a_connection_that_ended_reach_no_other(tmp_path, seed):
    """Incident 1: engines reset connections in the middle of large statements, and new ones come up."""
    plan = Plan(tmp_path, seed)
    with FaultyGateway(tmp_path, plan, engines=4, reset_probability=0.4, attempts_cap=0) as gateway:
        plan.set("send", 400, most=PART, delay_us=LATE_US)
        gateway.start_clients(16, burst=2, size=10 * PART)
        gateway.start_clients(8, leaves=0.5, pages=2)
        breaks = gateway.run_for(2.5)
        assert plan.hits("send") > 100
        assert gateway.record.counts["answered"] > 50
        assert not breaks
        assert gateway.process.poll() is None
        assert "Traceback" not in gateway.log_text()
