"""Estimates of pace and work of a profile."""

from driver import MS, Driver, make_agreement, profile
from scenarios import FOUR_READY_ENGINES

from gullhold.decisions.estimators import Estimates
from gullhold.interface import EngineState, Outcome


def test_commands_whose_clients_leave_do_not_change_the_pace():
    driver = Driver(make_agreement())
    driver.update_engines(*FOUR_READY_ENGINES)
    for _ in range(30):
        command_id = driver.submit()
        driver.now += 150 * MS
        driver.end_attempt(command_id, Outcome.ANSWERED)
    pace = driver.gateway.components.estimates.by_profile[0].pace
    for _ in range(100):
        command_id = driver.submit()
        driver.client_left(command_id)
        driver.end_attempt(command_id, Outcome.CANCELLED)
    assert driver.gateway.components.estimates.by_profile[0].pace == pace
    assert driver.gateway.components.limits.overall_slowness < 2


def test_an_attempt_cut_off_before_the_usual_run_time_does_not_count_against_its_engine():
    """Guards against overloaded engines that look fast to every gateway, as many clients give up early."""
    driver = Driver(make_agreement(profile(), max_attempts=1))
    driver.update_engines((0, 0, 0, EngineState.READY, 0, 0), full=True)
    for _ in range(20):
        command_id = driver.submit()
        driver.wait(300 * MS)
        driver.end_attempt(command_id, Outcome.ANSWERED)
    gateway = driver.gateway
    engine, estimate = gateway.components.engines.by_id[0], gateway.components.estimates.by_profile[0]
    before = gateway.components.limits.overall_slowness, estimate.pace
    for _ in range(10):
        command_id = driver.submit(timeout_us=160 * MS)
        driver.wait(20 * MS)
        driver.end_attempt(command_id, Outcome.TIMED_OUT)
    assert estimate.pace == before[1]
    assert gateway.components.limits.overall_slowness == before[0]
    command_id = driver.submit(timeout_us=3000 * MS)
    driver.wait(900 * MS)
    driver.end_attempt(command_id, Outcome.TIMED_OUT)  # a slow attempt counts even without an answer
    assert estimate.pace > before[1]
    assert gateway.components.health.slowness(engine, driver.now) > 1


def test_a_command_without_an_estimate_gets_the_usual_work_of_its_profile():
    estimates = Estimates(make_agreement())
    assert estimates.command_work(0, 0) == 0.5 * 500 * MS  # half the latency objective: no command yet
    estimates = Estimates(make_agreement())
    assert estimates.command_work(0, 80 * MS) == 80 * MS
    assert estimates.command_work(0, float("nan")) == 80 * MS
    assert estimates.command_work(0, float("inf")) == 100 * 4000 * MS  # a hundred client timeouts
