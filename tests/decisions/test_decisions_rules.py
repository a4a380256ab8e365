"""The driver's rules under random calls, and input of any value."""

import pytest
from agreements import AGREEMENTS
from driver import MS, Driver, make_agreement, profile
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from scenarios import ARBITRARY_ESTIMATES, FOUR_READY_ENGINES

from gullhold.interface import EngineState, Fail, Outcome, Tenant

STEP = st.tuples(st.integers(0, 12), st.integers(0, 9999))


def make_calls(agreement, steps):
    """Make the calls of these steps, and check that nothing is left at the end; return all results."""
    driver = Driver(agreement)
    for action, number in steps:
        running = driver.running_ids()
        if action <= 4:
            driver.submit(
                number % len(agreement.profiles),
                tenant=number % 3,
                key=number % 4,
                timeout_us=(200 + number % 3800) * MS,
                need_mb=ARBITRARY_ESTIMATES[number % 6],
                estimate=ARBITRARY_ESTIMATES[number // 7 % 6] if number % 5 == 0 else None,
            )
        elif action <= 7 and running:
            driver.end_attempt(
                running[number % len(running)],
                number % 8,
                cost=100 * MS,
                report=(ARBITRARY_ESTIMATES[number % 6], number % 9 / 8)[: number % 3],
            )
        elif action == 8:
            started_us = driver.now if number % 3 == 0 else 0
            driver.update_engines(
                (number % 5, number % 2, number // 7 % 2, number // 10 % 3, number // 30 % 3, started_us),
                full=number % 11 == 0,
            )
        elif action == 9 and running:
            driver.client_left(running[number % len(running)])
        elif action == 10:
            unanswered = [
                command_id for command_id, command in driver.commands.items() if not command.is_over
            ]
            if unanswered:
                driver.abandon(unanswered[number % len(unanswered)])
        else:
            driver.wait(number % 700 * MS)
    driver.wait(5000 * MS)
    for command_id in driver.running_ids():
        driver.end_attempt(command_id, Outcome.RESET)
    assert not driver.gateway.commands
    assert not driver.gateway.components.key_order.by_key
    driver.now += 20_000 * MS  # by now no timed-out attempt is assumed to run on
    driver.update_engines()
    assert not driver.gateway.components.thread_use.timed_out
    assert not driver.gateway.components.thread_use.total
    assert not any(engine.threads or engine.attempts for engine in driver.gateway.components.engines.by_slot)
    return [(type(result), result) for result in driver.log]


@pytest.mark.parametrize("agreement", list(AGREEMENTS.values()))
@settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)
@given(steps=st.lists(STEP, min_size=20, max_size=70))
def test_rules_hold_and_results_repeat_under_random_calls(agreement, steps):
    initial_list = [(8, 0), (8, 21), (8, 12), (8, 33)]
    # The same calls give the same results.
    assert make_calls(agreement, initial_list + steps) == make_calls(agreement, initial_list + steps)


def test_invalid_input_is_ignored():
    driver = Driver(make_agreement(tenants=(Tenant(1.0),), cores_by_kind=(), memory_mb_by_kind=()))
    driver.update_engines(*FOUR_READY_ENGINES)
    assert driver.gateway.attempt_ended(driver.now, 77, 0, Outcome.ANSWERED, True, 5, 0, 0, ()) == []
    assert driver.gateway.client_left(driver.now, 77) == []
    unknown = driver.gateway.submit(driver.now, 900, 5, 0, 0, driver.now + MS, 0, 0.0, 0, False)
    assert unknown == [Fail(900)]
    assert type(unknown[0]) is Fail
    driver.submit(0, tenant=9, work=0)
    assert len(driver.running_ids()) == 1


@pytest.mark.parametrize("estimate", ARBITRARY_ESTIMATES)
def test_every_command_gets_a_final_answer_whatever_the_estimates(estimate):
    driver = Driver(make_agreement(profile(), profile(threads=3)))
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0))
    for need_mb in ARBITRARY_ESTIMATES:
        command_id = driver.submit(estimate=estimate, need_mb=need_mb)
        if driver.commands[command_id].open_attempt:
            driver.end_attempt(command_id, Outcome.ANSWERED)
    driver.wait(8000 * MS)
    assert driver.gateway.components.estimates.by_profile[0].work_bias > 0
    assert all(command.is_over or command.final for command in driver.commands.values())
