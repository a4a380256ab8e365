"""Commands whose time is up."""

from driver import MS, START, WORK, Driver, make_agreement, profile
from scenarios import make_command

from gullhold.decisions.command import CommandState
from gullhold.decisions.review_schedule import TICK_US, ReviewSchedule
from gullhold.interface import EngineState, Idempotency, Outcome, Shed


def test_without_any_engine_no_command_is_queued_past_its_deadline():
    driver = Driver(
        make_agreement(profile(late_benefit_share=0.0), profile(idempotency=Idempotency.NON_IDEMPOTENT))
    )
    never, late = driver.submit(0), driver.submit(1)
    driver.wait(4100 * MS)
    assert driver.commands[never].final == driver.commands[late].final == Shed


def test_a_command_that_cannot_end_in_time_at_the_best_speed_is_shed_and_not_sent():
    driver = Driver(make_agreement(profile()))
    driver.update_engines((0, 0, 0, EngineState.READY, 0, 0), full=True)
    driver.submit(timeout_us=WORK // 2)
    assert not driver.running_ids()
    assert not driver.gateway.commands
    command_id = driver.submit(timeout_us=WORK + 100 * MS)
    assert driver.running_ids() == [command_id]


def test_a_gateway_that_was_paused_checks_deadlines_before_it_dispatches():
    driver = Driver(make_agreement(profile(late_benefit_share=0.0), supports_cancel=False))
    driver.update_engines((1, 0, 1, EngineState.READY, 0, 0))  # two cores
    asked = [driver.submit() for _ in range(12)]
    went = set(driver.running_ids())
    assert 0 < len(went) < 12
    driver.now += 2000 * MS  # no turn: no timer fires, and the answers wait for it too
    for command_id in went:
        driver.end_attempt(command_id, Outcome.ANSWERED)
    driver.wait(100 * MS)
    held = [driver.commands[command_id] for command_id in asked if command_id not in went]
    assert all(not cmd.attempts_sent_at and cmd.final == Shed for cmd in held)  # none could earn anything


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
    assert reviews.next_timer(START + 5000 * MS, False) is None  # what has ended needs no timer
