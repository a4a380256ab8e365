"""Reviews of open attempts that take far longer than usual."""

from driver import MS, Driver, make_agreement, profile
from scenarios import FOUR_READY_ENGINES

from gullhold.interface import CancelAttempt, Outcome, StatusKind


def test_an_attempt_with_a_bad_plan_is_cancelled_and_retried_on_another_engine():
    driver = Driver(make_agreement(profile(timeout_us=20_000 * MS)))
    driver.update_engines(*FOUR_READY_ENGINES)
    for _ in range(20):
        command_id = driver.submit()
        driver.now += 100 * MS
        driver.end_attempt(command_id, Outcome.ANSWERED)
    command_id = driver.submit()
    driver.wait(400 * MS)
    assert CancelAttempt(command_id, 0) in driver.results_of(CancelAttempt)
    driver.end_attempt(command_id, Outcome.CANCELLED)
    assert len(driver.commands[command_id].attempts_sent_at) == 2


def test_an_attempt_is_not_cancelled_when_a_status_note_reports_it_nearly_done():
    driver = Driver(make_agreement(profile(timeout_us=20_000 * MS)))
    driver.update_engines(*FOUR_READY_ENGINES)
    command_id = driver.submit()
    driver.gateway.attempt_status(driver.now, command_id, 0, StatusKind.PROGRESS, 0.9)
    driver.wait(900 * MS)
    assert not any(isinstance(result, CancelAttempt) for result in driver.log)


def test_a_status_note_of_little_progress_gets_an_attempt_cancelled_before_its_age_would():
    driver = Driver(make_agreement(profile(timeout_us=20_000 * MS, objective_us=9000 * MS)))
    driver.update_engines(*FOUR_READY_ENGINES)
    command_id = driver.submit(work=1000 * MS)
    driver.wait(500 * MS)
    driver.gateway.attempt_status(driver.now, command_id, 0, StatusKind.PROGRESS, 0.02)
    driver.wait(600 * MS)
    assert CancelAttempt(command_id, 0) in driver.results_of(CancelAttempt)
