"""Work that is given to warming engines."""

from random import Random

import pytest
from driver import MS, START, WORK, Driver, make_agreement, profile

from gullhold.decisions.engine import Engine
from gullhold.decisions.slow_start import SlowStart
from gullhold.interface import Dispatch, EngineState, Outcome


def test_a_restarted_engine_warms_up_again():
    driver = Driver(make_agreement(gateways=1))
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0))
    driver.update_engines((1, 0, 0, EngineState.READY, 0, START))
    for _ in range(200):
        if not driver.running_ids():
            driver.submit()
        driver.end_attempt(
            driver.running_ids()[0], Outcome.ANSWERED
        ) if driver.running_ids() else driver.wait(20 * MS)
    assert driver.warmup_work[1]


def test_a_heavy_command_is_sent_to_a_warming_engine_once_its_budget_allows():
    driver = Driver(make_agreement(profile(timeout_us=60_000 * MS, objective_us=60_000 * MS), gateways=3))
    driver.update_engines((1, 0, 0, EngineState.READY, 0, START))
    command_id = driver.submit(work=2500 * MS)
    assert not driver.running_ids()
    driver.wait(9900 * MS)
    assert driver.commands[command_id].open_attempt


def count_attempts(driver, commands, wait_us):
    """Submit commands and answer every attempt; return the number of attempts so far."""
    for _ in range(commands):
        driver.submit(work=400 * MS)
        for command_id in driver.running_ids():
            driver.end_attempt(command_id, Outcome.ANSWERED)
        driver.wait(wait_us)
    return sum(isinstance(result, Dispatch) for result in driver.log)


@pytest.mark.parametrize("gateways", [3, 300])
def test_all_gateways_together_stay_inside_the_warmup_budget(gateways):
    agreement = make_agreement(profile(objective_us=60_000 * MS, timeout_us=90_000 * MS), gateways=gateways)
    budget = (
        agreement.overload_multiple
        * agreement.warmup_initial_share
        * agreement.cores_by_kind[0]
        * agreement.overload_window_us
    )
    sent = 0
    for seed in range(gateways):
        driver = Driver(agreement, seed)
        driver.update_engines((1, 0, 0, EngineState.READY, 0, START))
        sent += 400 * MS * count_attempts(driver, 10, 190 * MS)
    assert 0.2 * budget < sent < budget


@pytest.mark.parametrize("gateways", [3, 30, 200])
def test_gateways_that_restart_repeatedly_stay_inside_the_warmup_budget(gateways):
    """Guards against a gateway that, after a restart, does not know what it sent before.

    Gateways that started four times in a window sent three times the warming budget.
    """
    agreement = make_agreement(profile(objective_us=60_000 * MS, timeout_us=90_000 * MS), gateways=gateways)
    sent = 0
    for seed in range(gateways):
        for start in range(4):
            driver = Driver(agreement, 4 * seed + start)
            # The engine has started before the gateway.
            driver.gateway.components.slow_start.gateway_started_at = driver.now = (
                START + (1 + 500 * start) * MS
            )
            driver.update_engines((1, 0, 0, EngineState.READY, 0, START))
            sent += count_attempts(driver, 3, 160 * MS)
    budget = (
        agreement.overload_multiple
        * agreement.warmup_initial_share
        * agreement.cores_by_kind[0]
        * agreement.overload_window_us
        / (400 * MS)
    )
    assert sent <= budget + 2 * budget**0.5 + 2
    driver.wait(agreement.overload_window_us)
    driver.submit(work=400 * MS)
    driver.wait(3 * agreement.overload_window_us)
    assert gateways > 3 or driver.running_ids()  # its share may be used again after a window


def test_restarted_engines_stay_inside_the_warmup_budget_when_half_of_all_restart_at_once():
    agreement = make_agreement(profile(timeout_us=4000 * MS), gateways=10, cores_by_kind=(8.0,))
    drivers = [Driver(agreement, seed) for seed in range(10)]
    work = {}
    for driver in drivers:  # each has a list in which half of the engines have restarted
        driver.update_engines(
            *(
                (ident, 0, 0, EngineState.READY, 0, 0 if ident < 4 else START - 1000 * MS)
                for ident in range(8)
            )
        )
    for _ in range(40):
        for driver in drivers:
            for _ in range(3):
                ident = driver.submit()
                attempt = driver.commands[ident].open_attempt
                if attempt and attempt.engine >= 4:
                    work[attempt.engine] = work.get(attempt.engine, 0) + WORK
            driver.wait(50 * MS)
            for ident in driver.running_ids():
                driver.end_attempt(ident, Outcome.ANSWERED)
    budget = (
        agreement.overload_multiple
        * (agreement.warmup_initial_share + 0.7 * 0.1)
        * 8
        * agreement.overload_window_us
    )
    assert all(work_given < budget for work_given in work.values())  # sum of all gateways, over one window


def test_a_warming_engine_takes_a_gateways_share_of_its_capacity_in_a_window():
    agreement = make_agreement(gateways=2)
    slow_start, engine = SlowStart(agreement, 0, Random(1).random), Engine(1, 0, 1)
    engine.started_us, engine.cores = START, 4.0
    budget = slow_start.warming_budget(engine, START)
    assert budget == pytest.approx(3.0 * 0.3 * 4.0 * 2000 * MS)
    assert slow_start.warming_budget(engine, START + 5000 * MS) > budget
    commands_given = 0
    while slow_start.may_take(engine, 100 * MS, False, START) and commands_given < 100:
        slow_start.record_dispatch(engine, 100 * MS, START)
        commands_given += 1
    assert abs(commands_given * 100 * MS - budget / 4) <= 100 * MS
    assert slow_start.may_take(engine, 100 * MS, True, START)  # a budget of the fleet limits the sum instead
    assert not slow_start.may_take(engine, budget / 3, True, START)  # too much for one command
    assert not slow_start.is_warming(engine, START + 10_000 * MS)


def test_a_gateway_sends_nothing_for_a_window_to_warming_engines_that_started_before_it():
    slow_start, engine = SlowStart(make_agreement(), START + MS, Random(1).random), Engine(1, 0, 1)
    engine.started_us = START
    assert not slow_start.may_take(engine, 1, False, START + 2000 * MS)
    assert slow_start.may_take(engine, 1, False, START + 2001 * MS)
