"""Reviews of commands that run out of time."""

from driver import MS, START, WORK, Driver, make_agreement, profile
from scenarios import make_command

from gullhold.decisions.command import CommandState
from gullhold.decisions.review_schedule import TICK_US, ReviewSchedule
from gullhold.interface import EngineState, Idempotency, Outcome, Shed


def test_commands_are_shed_in_time_when_there_is_no_engine():
    driver = Driver(
        make_agreement(profile(late_benefit_share=0.0), profile(idempotency=Idempotency.NON_IDEMPOTENT))
    )
    idempotent, non_idempotent = driver.submit(0), driver.submit(1)
    driver.wait(4100 * MS)
    assert driver.commands[idempotent].final == driver.commands[non_idempotent].final == Shed


def test_a_command_that_cannot_end_in_time_at_the_best_pace_is_shed_undispatched():
    driver = Driver(make_agreement(profile()))
    driver.update_engines((0, 0, 0, EngineState.READY, 0, 0), full=True)
    driver.submit(timeout_us=WORK // 2)
    assert not driver.running_ids()
    assert not driver.gateway.commands
    command_id = driver.submit(timeout_us=WORK + 100 * MS)
    assert driver.running_ids() == [command_id]


def test_a_gateway_runs_due_reviews_before_it_dispatches_after_a_pause():
    driver = Driver(make_agreement(profile(late_benefit_share=0.0), supports_cancel=False))
    driver.update_engines((1, 0, 1, EngineState.READY, 0, 0))  # two cores
    submitted = [driver.submit() for _ in range(12)]
    dispatched = set(driver.running_ids())
    assert 0 < len(dispatched) < 12
    driver.now += 2000 * MS  # the process is paused: no timer fires, and answers arrive only now
    for command_id in dispatched:
        driver.end_attempt(command_id, Outcome.ANSWERED)
    driver.wait(100 * MS)
    queued = [driver.commands[command_id] for command_id in submitted if command_id not in dispatched]
    # An answer to one of these would have no benefit any more.
    assert all(not command.attempts_sent_at and command.final == Shed for command in queued)


def test_reviews_are_due_in_order_and_one_timer_runs_for_the_next():
    reviews, first, second = ReviewSchedule(), make_command(1), make_command(2)
    reviews.add(START + 3000 * MS, first)
    reviews.add(START + 2000 * MS, second)
    assert reviews.pop_due(START) is None
    assert reviews.next_timer(START, False) == START + 2000 * MS
    assert reviews.next_timer(START, False) is None
    assert reviews.next_timer(START, True) == START + TICK_US  # commands are queued
    reviews.timer_fired(START + TICK_US)
    assert reviews.next_timer(START + TICK_US, False) == START + 2000 * MS
    assert reviews.pop_due(START + 5000 * MS) == (second, 0)
    first.state = CommandState.ENDED
    assert reviews.next_timer(START + 5000 * MS, False) is None  # a command that has ended needs no timer
