"""Order of commands that share an ordered key."""

from driver import MS, START, profile
from scenarios import make_command

from gullhold.decisions.command import CommandState
from gullhold.decisions.key_order import KeyOrder
from gullhold.interface import Outcome


def test_commands_of_an_ordered_key_run_one_after_another():
    order, ordered_profile = KeyOrder(300 * MS), profile(ordered=True)
    first, second, other = (
        make_command(1, ordered_profile, 5),
        make_command(2, ordered_profile, 5),
        make_command(3, ordered_profile),
    )
    assert [order.add(command) for command in (first, second, other)] == [True, False, True]
    assert order.remove(other) is None
    assert order.remove(first) is second
    second.state = CommandState.QUEUED
    assert order.remove(second) is None
    assert not order.by_key


def test_a_key_settles_after_an_attempt_with_an_unknown_outcome():
    order, command = KeyOrder(300 * MS), make_command(1, profile(ordered=True), 5)
    order.record_outcome(command, Outcome.ERROR, START)
    assert not order.is_settling(command, START)
    order.record_outcome(command, Outcome.RESET, START)
    assert order.is_settling(command, START + 299 * MS)
    assert not order.is_settling(command, START + 300 * MS)
