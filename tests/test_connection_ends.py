"""How a connection ended, and which outcome that is for an attempt."""

from gullhold.interface import NEVER_RAN, Outcome
from gullhold.net.connection_ends import ConnectionEnd, attempt_outcome, classify_os_error


def test_attempt_may_have_run_only_when_its_fetch_was_written():
    assert attempt_outcome(True) == Outcome.RESET
    assert attempt_outcome(False) == Outcome.CONNECT_FAILED
    assert attempt_outcome(False) in NEVER_RAN
    assert attempt_outcome(True) not in NEVER_RAN
    assert classify_os_error(ConnectionRefusedError(), True) == ConnectionEnd.REFUSED
    assert classify_os_error(TimeoutError(), True) == ConnectionEnd.CONNECT_TIMEOUT
    assert classify_os_error(ConnectionResetError()) == ConnectionEnd.RESET
