"""The rules under random calls, and input of any value."""

import pytest
from agreements import AGREEMENTS
from driver import MS, Driver, make_agreement, profile
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from scenarios import ARBITRARY_ESTIMATES, FOUR_READY_ENGINES

from gullhold.interface import EngineState, Fail, Outcome, Tenant

STEP = st.tuples(st.integers(0, 12), st.integers(0, 9999))


def play(agreement, steps):
    """Play one random run; returns all results of the gateway."""
    driver = Driver(agreement)
    for kind, number in steps:
        out = driver.running_ids()
        if kind <= 4:
            driver.submit(
                number % len(agreement.profiles),
                tenant=number % 3,
                key=number % 4,
                timeout_us=(200 + number % 3800) * MS,
                need_mb=ARBITRARY_ESTIMATES[number % 6],
                estimate=ARBITRARY_ESTIMATES[number // 7 % 6] if number % 5 == 0 else None,
            )
        elif kind <= 7 and out:
            driver.end_attempt(
                out[number % len(out)],
                number % 8,
                cost=100 * MS,
                report=(ARBITRARY_ESTIMATES[number % 6], number % 9 / 8)[: number % 3],
            )
        elif kind == 8:
            born = driver.now if number % 3 == 0 else 0
            driver.update_engines(
                (number % 5, number % 2, number // 7 % 2, number // 10 % 3, number // 30 % 3, born),
                full=number % 11 == 0,
            )
        elif kind == 9 and out:
            driver.client_left(out[number % len(out)])
        elif kind == 10:
            owed = [command_id for command_id, cmd in driver.commands.items() if not cmd.is_over]
            if owed:
                driver.abandon(owed[number % len(owed)])
        else:
            driver.wait(number % 700 * MS)
    driver.wait(5000 * MS)
    for command_id in driver.running_ids():
        driver.end_attempt(command_id, Outcome.RESET)
    assert not driver.gateway.commands
    assert not driver.gateway.components.key_order.by_key
    driver.now += 20_000 * MS  # what timed out where nothing can be cancelled is over by now, and forgotten
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
def test_rules_hold_at_every_step(agreement, steps):
    first = [(8, 0), (8, 21), (8, 12), (8, 33)]
    assert play(agreement, first + steps) == play(agreement, first + steps)  # and same calls, same decisions


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


@pytest.mark.parametrize("told", ARBITRARY_ESTIMATES)
def test_an_unusable_estimate_loses_no_command(told):
    driver = Driver(make_agreement(profile(), profile(threads=3)))
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0))
    for need_mb in ARBITRARY_ESTIMATES:
        command_id = driver.submit(estimate=told, need_mb=need_mb)
        if driver.commands[command_id].open_attempt:
            driver.end_attempt(command_id, Outcome.ANSWERED)
    driver.wait(8000 * MS)
    assert driver.gateway.components.estimates.by_profile[0].work_bias > 0
    assert all(cmd.is_over or cmd.final for cmd in driver.commands.values())
