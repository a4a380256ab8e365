"""How a connection ended, and what that is to the decision module."""

from gullhold.interface import NEVER_RAN, Outcome
from gullhold.net.connection_ends import Ending, of_error, outcome


def test_how_a_connection_ended_says_whether_a_send_may_have_run():
    assert outcome(True) == Outcome.RESET and outcome(False) == Outcome.CONNECT_FAILED
    assert outcome(False) in NEVER_RAN and outcome(True) not in NEVER_RAN
    assert of_error(ConnectionRefusedError(), True) == Ending.REFUSED
    assert (
        of_error(TimeoutError(), True) == Ending.NOT_UP and of_error(ConnectionResetError()) == Ending.RESET
    )
