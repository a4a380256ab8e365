"""Engines that fail, stall or become slow."""

import pytest
from driver import MS, START, WORK, Driver, make_agreement, profile
from scenarios import FOUR_READY_ENGINES, answer_commands

from gullhold.interface import EngineState, Outcome


def test_a_failing_engine_gets_only_trial_attempts():
    driver = Driver(make_agreement())
    driver.update_engines(*FOUR_READY_ENGINES)
    sent = [0, 0]
    for i in range(300):
        command_id = driver.submit()
        engine = driver.commands[command_id].open_attempt.engine
        sent[i // 150] += engine == 0
        driver.now += 20 * MS
        driver.end_attempt(command_id, Outcome.ERROR if engine == 0 else Outcome.ANSWERED)
        while driver.commands[command_id].open_attempt:
            driver.end_attempt(command_id, Outcome.ANSWERED)
    assert sent[1] <= 10


def test_the_slowness_of_an_engine_decays_while_it_gets_no_attempts():
    driver = Driver(make_agreement())
    driver.update_engines(*FOUR_READY_ENGINES)
    engine = driver.gateway.components.engines.by_id[2]
    driver.gateway.components.estimates.smallest_usual_work = WORK
    engine.completed_at = START
    engine.completed_work = 10 * WORK
    engine.completed_slow_work = 90 * WORK
    assert driver.gateway.components.health.slowness(engine, driver.now) > 5
    assert driver.gateway.components.health.slowness(engine, driver.now + 90_000 * MS) < 1.5


def test_one_failed_connection_diverts_attempts_until_the_failure_rate_decays():
    driver = Driver(make_agreement())
    driver.update_engines(*FOUR_READY_ENGINES)
    command_id = driver.submit()
    engine = driver.commands[command_id].open_attempt.engine
    driver.end_attempt(command_id, Outcome.CONNECT_FAILED)
    after = [driver.submit() for _ in range(6)]
    assert all(driver.commands[one].open_attempt.engine != engine for one in [command_id, *after])
    known = driver.gateway.components.engines.by_id[engine]
    assert driver.gateway.components.health.failure_rate(known, driver.now + 30_000 * MS) < 0.05


def test_one_reset_ejects_no_engine_but_several_do():
    driver = Driver(make_agreement(profile(timeout_us=20_000 * MS)))
    driver.update_engines(*FOUR_READY_ENGINES)

    def end_on_first_engine(outcome, max_commands):
        """Submit commands until one is sent to the first engine, and end it so; return whether one was."""
        for _ in range(max_commands):
            command_id = driver.submit()
            is_first = driver.commands[command_id].open_attempt.engine == 0
            driver.end_attempt(command_id, outcome if is_first else Outcome.ANSWERED)
            for out in driver.running_ids():
                driver.end_attempt(out, Outcome.ANSWERED)
            if is_first:
                return True
        return False

    assert end_on_first_engine(Outcome.RESET, 100)
    assert end_on_first_engine(Outcome.ANSWERED, 100)
    first_engine = driver.gateway.components.engines.by_id[0]
    first_engine.failure_rate = 0.0
    while end_on_first_engine(Outcome.RESET, 100):
        driver.now += MS
    assert 0.15 < first_engine.failure_rate < 0.5
    assert not end_on_first_engine(Outcome.ANSWERED, 100)


def test_a_stalled_engine_gets_no_new_attempts_when_attempts_cannot_be_cancelled():
    agreement = make_agreement(profile(objective_us=3000 * MS, timeout_us=6000 * MS), supports_cancel=False)
    driver = Driver(agreement)  # it also checks that no command has two open attempts and none is cancelled
    driver.update_engines(
        (1, 0, 0, EngineState.READY, 0, 0),
        (2, 0, 0, EngineState.READY, 0, 0),
        (3, 0, 0, EngineState.READY, 0, 0),
    )
    answer_commands(driver, 20, 0.5)
    stalled = driver.submit()
    engine = driver.commands[stalled].open_attempt.engine
    driver.wait(4 * WORK)
    for _ in range(15):  # far more than the limits of the other engines
        driver.submit()
    assert [driver.commands[command_id].open_attempt.engine for command_id in driver.running_ids()].count(
        engine
    ) == 1
    assert len(driver.running_ids()) > 8  # the other engines get attempts up to their limits
    for command_id in driver.running_ids():
        if command_id != stalled:
            driver.end_attempt(command_id, Outcome.ANSWERED)
    driver.end_attempt(stalled, Outcome.ANSWERED)  # its end is known, so its engine gets attempts again
    for _ in range(15):
        driver.submit()
    assert engine in [driver.commands[command_id].open_attempt.engine for command_id in driver.running_ids()]


def test_no_engine_is_ejected_when_most_engines_are_stalled():
    driver = Driver(
        make_agreement(profile(objective_us=3000 * MS, timeout_us=6000 * MS), supports_cancel=False)
    )
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    answer_commands(driver, 20, 0.5)
    for _ in range(2):
        driver.submit()
    driver.wait(4 * WORK)
    for _ in range(6):
        driver.submit()
    assert len(driver.running_ids()) > 4


@pytest.mark.parametrize("supports_cancel", [False, True])
def test_a_timeout_counts_against_its_engine_when_attempts_cannot_be_cancelled(supports_cancel):
    driver = Driver(
        make_agreement(
            profile(objective_us=60_000 * MS, timeout_us=90_000 * MS), supports_cancel=supports_cancel
        )
    )
    driver.update_engines(*((ident, 0, 0, EngineState.READY, 0, 0) for ident in (1, 2, 3)))
    for _ in range(4):
        for _ in range(6):
            driver.submit()
        driver.now += WORK
        while driver.running_ids():
            ident = driver.running_ids()[0]
            driver.end_attempt(
                ident,
                Outcome.TIMED_OUT if driver.commands[ident].open_attempt.engine == 1 else Outcome.ANSWERED,
            )
    # More commands than the concurrency limits of engines 2 and 3 admit, so that engine 1 is used unless it
    # is avoided.
    for _ in range(30):
        driver.submit()
    used_engines = [driver.commands[ident].open_attempt.engine for ident in driver.running_ids()]
    assert len(used_engines) > 4
    assert (1 in used_engines) == supports_cancel
