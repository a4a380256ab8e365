"""A command's states and attempts."""

import pytest
from driver import MS, START
from scenarios import make_command

from gullhold.decisions.command import TRANSITIONS, CommandState, InvalidTransitionError
from gullhold.decisions.engine import Engine


@pytest.mark.parametrize("state", CommandState)
def test_a_command_enters_only_states_that_transitions_allow(state):
    for next_state in CommandState:
        command = make_command()
        command.state = state
        if next_state in TRANSITIONS[state]:
            command.change_state(next_state)
            assert command.state == next_state
        else:
            with pytest.raises(InvalidTransitionError, match=next_state.name):
                command.change_state(next_state)
            assert command.state == state


def test_the_first_attempt_that_may_have_run_is_remembered():
    command, first, second = make_command(), Engine(1, 0, 1), Engine(2, 1, 2)
    assert not command.may_have_run
    for engine, now in ((first, START), (second, START + MS)):
        command.begin_attempt(engine, now)
        command.mark_may_have_run()
    assert command.attempts == 2
    assert command.engine is second
    assert command.first_run_engine is first
    assert command.first_run_at == START
    assert command.deduplication_until == START + 1500 * MS
