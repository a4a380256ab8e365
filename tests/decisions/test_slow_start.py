"""What warming engines are given."""

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


def test_a_heavy_command_may_be_sent_to_a_warming_engine():
    driver = Driver(make_agreement(profile(timeout_us=60_000 * MS, objective_us=60_000 * MS), gateways=3))
    driver.update_engines((1, 0, 0, EngineState.READY, 0, START))
    command_id = driver.submit(work=2500 * MS)
    assert not driver.running_ids()
    driver.wait(9900 * MS)
    assert driver.commands[command_id].open_attempt


def count_attempts(driver, times, wait_us):
    """Submit so many commands, answer every attempt; returns how many attempts were sent in all."""
    for _ in range(times):
        driver.submit(work=400 * MS)
        for command_id in driver.running_ids():
            driver.end_attempt(command_id, Outcome.ANSWERED)
        driver.wait(wait_us)
    return sum(isinstance(result, Dispatch) for result in driver.log)


@pytest.mark.parametrize("managers", [3, 300])
def test_all_gateways_together_stay_inside_the_warmup_budget(managers):
    agreement = make_agreement(profile(objective_us=60_000 * MS, timeout_us=90_000 * MS), gateways=managers)
    stands = (
        agreement.overload_multiple
        * agreement.warmup_initial_share
        * agreement.cores_by_kind[0]
        * agreement.overload_window_us
    )
    sent = 0
    for seed in range(managers):
        driver = Driver(agreement, seed)
        driver.update_engines((1, 0, 0, EngineState.READY, 0, START))
        sent += 400 * MS * count_attempts(driver, 10, 190 * MS)
    assert 0.2 * stands < sent < stands


@pytest.mark.parametrize("managers", [3, 30, 200])
def test_gateways_that_restart_repeatedly_stay_inside_the_warmup_budget(managers):
    """Each start had forgotten what the one before had sent: four in a window sent three times the budget."""
    agreement = make_agreement(profile(objective_us=60_000 * MS, timeout_us=90_000 * MS), gateways=managers)
    sent = 0
    for seed in range(managers):
        for start in range(4):
            driver = Driver(agreement, 4 * seed + start)
            driver.gateway.components.slow_start.gateway_started_at = driver.now = (
                START + (1 + 500 * start) * MS
            )  # the engine is there before
            driver.update_engines((1, 0, 0, EngineState.READY, 0, START))
            sent += count_attempts(driver, 3, 160 * MS)
    stands = (
        agreement.overload_multiple
        * agreement.warmup_initial_share
        * agreement.cores_by_kind[0]
        * agreement.overload_window_us
        / (400 * MS)
    )
    assert sent <= stands + 2 * stands**0.5 + 2
    driver.wait(agreement.overload_window_us)
    driver.submit(work=400 * MS)
    driver.wait(3 * agreement.overload_window_us)
    assert managers > 3 or driver.running_ids()  # the part is ours again


def test_half_a_fleet_that_restarts_at_once_gets_its_warmup_share_from_gateways_with_an_old_list():
    agreement = make_agreement(profile(timeout_us=4000 * MS), gateways=10, cores_by_kind=(8.0,))
    fleet = [Driver(agreement, seed) for seed in range(10)]
    work = {}
    for driver in fleet:  # all that each knows is a list of a moment ago; half of its engines began anew
        driver.update_engines(
            *(
                (ident, 0, 0, EngineState.READY, 0, 0 if ident < 4 else START - 1000 * MS)
                for ident in range(8)
            )
        )
    for _ in range(40):
        for driver in fleet:
            for _ in range(3):
                ident = driver.submit()
                attempt = driver.commands[ident].open_attempt
                if attempt and attempt.engine >= 4:
                    work[attempt.engine] = work.get(attempt.engine, 0) + WORK
            driver.wait(50 * MS)
            for ident in driver.running_ids():
                driver.end_attempt(ident, Outcome.ANSWERED)
    stands = (
        agreement.overload_multiple
        * (agreement.warmup_initial_share + 0.7 * 0.1)
        * 8
        * agreement.overload_window_us
    )
    assert all(given < stands for given in work.values())  # the sum of all gateways, over one window


def test_a_warming_engine_takes_a_gateways_share_of_its_capacity_in_a_window():
    agreement = make_agreement(gateways=2)
    slow_start, engine = SlowStart(agreement, 0, Random(1).random), Engine(1, 0, 1)
    engine.started_us, engine.cores = START, 4.0
    capacity = slow_start.capacity(engine, START)
    assert capacity == pytest.approx(3.0 * 0.3 * 4.0 * 2000 * MS)
    assert slow_start.capacity(engine, START + 5000 * MS) > capacity
    given = 0
    while slow_start.may_take(engine, 100 * MS, False, START) and given < 100:
        slow_start.record_dispatch(engine, 100 * MS, START)
        given += 1
    assert abs(given * 100 * MS - capacity / 4) <= 100 * MS
    assert slow_start.may_take(engine, 100 * MS, True, START)  # a budget of the fleet holds the sum
    assert not slow_start.may_take(engine, capacity / 3, True, START)  # one command is too much
    assert not slow_start.is_warming(engine, START + 10_000 * MS)


def test_a_gateway_sends_nothing_for_a_window_to_warming_engines_that_started_before_it():
    slow_start, engine = SlowStart(make_agreement(), START + MS, Random(1).random), Engine(1, 0, 1)
    engine.started_us = START
    assert not slow_start.may_take(engine, 1, False, START + 2000 * MS)
    assert slow_start.may_take(engine, 1, False, START + 2001 * MS)
