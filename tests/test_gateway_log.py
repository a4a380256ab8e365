"""Detection of faults of the program in the logs of gateways."""

import pytest

from gullhold.testing import gateway_log


@pytest.mark.parametrize(
    "line",
    [
        "12:00:00.000 INFO counters: answered=3 internal_faults=1",
        "12:00:00.000 INFO counters continued: decision_faults=2",
        "12:00:00.000 ERROR request was not answered in time number=7",
        "Traceback (most recent call last):",
    ],
)
def test_fault_line_is_returned_once_for_each_kind_of_fault(line):
    assert gateway_log.fault_lines(f"12:00:00.000 INFO serving\n{line}\n") == [line]


def test_no_fault_line_is_returned_when_the_log_has_none():
    assert not gateway_log.fault_lines("12:00:00.000 INFO counters: answered=3\n")


def test_recorded_logs_are_returned_in_order_only_once():
    gateway_log.record("one")
    gateway_log.record("two")
    assert gateway_log.take_recorded()[-2:] == ["one", "two"]
    assert not gateway_log.take_recorded()
