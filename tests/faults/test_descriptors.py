"""A closed descriptor's number may be reused for another connection, so no thread may still write to it."""

import pytest

from faults.plan import Plan
from faults.traffic import FaultyGateway

# Delay between the reading of a call's arguments and the call, as if its thread had lost the CPU.
SEND_DELAY_US = 1500
MAX_WRITE_BYTES = 2000  # bytes that one system call accepts: less than a statement, as with full buffers


@pytest.mark.parametrize("seed", [1, 2])
def test_bytes_reach_no_other_connection_when_theirs_ends_during_a_write(tmp_path, seed):
    """Guards against writes to the connection that took over the descriptor number of a closed one.

    Engines reset connections in the middle of large statements, and new connections are made.
    """
    plan = Plan(tmp_path, seed)
    with FaultyGateway(tmp_path, plan, engines=4, reset_probability=0.4, attempts_cap=0) as gateway:
        plan.set("send", 400, max_bytes=MAX_WRITE_BYTES, delay_us=SEND_DELAY_US)
        gateway.start_clients(16, burst=2, size=10 * MAX_WRITE_BYTES)
        gateway.start_clients(8, leave_probability=0.5, pages=2)
        violations = gateway.run_for(2.5)
        assert plan.hits("send") > 100
        assert gateway.record.counts["answered"] > 50
        assert not violations
        assert gateway.process.poll() is None
        assert "Traceback" not in gateway.log_text()
