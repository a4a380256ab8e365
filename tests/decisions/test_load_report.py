"""Load reports of engines, and what they change."""

import pytest
from driver import MS, WORK, Driver, make_agreement, profile
from scenarios import answer_commands, count_dispatched, driver_with_load_reports

from gullhold.decisions.load_report import FULL_UTILIZATION, raise_factor
from gullhold.interface import EngineState, Outcome


def test_slow_answers_are_no_pressure_when_load_reports_show_idle_cores():
    dispatched_counts = []
    for utilization in (0.1, 0.95):  # the same paces in both runs: fast at first, then three times as slow
        driver = driver_with_load_reports()
        answer_commands(driver, 5, utilization)
        answer_commands(driver, 30, utilization, latency=3 * WORK)
        dispatched_counts.append(count_dispatched(driver))
    assert dispatched_counts[0] >= 2 * dispatched_counts[1] > 0


def test_a_rejection_or_timeout_without_a_load_report_counts_as_full_utilization():
    driver = driver_with_load_reports()
    answer_commands(driver, 40, 0.1)
    assert driver.gateway.components.loads.mean_utilization < 0.2
    for outcome in [Outcome.OVERLOADED, Outcome.TIMED_OUT] * 15:
        command_id = driver.submit()
        if command_id in driver.running_ids():
            driver.end_attempt(command_id, outcome)
        driver.wait(3000 * MS)
        for other in driver.running_ids():
            driver.end_attempt(other, Outcome.ANSWERED)
    assert driver.gateway.components.loads.mean_utilization > 0.7


@pytest.mark.parametrize("utilization", [float("nan"), -0.5, float("inf"), float("-inf"), 1e30])
def test_the_effect_of_an_invalid_load_report_is_bounded(utilization):
    driver = driver_with_load_reports()
    answer_commands(driver, 20, 0.2)
    answer_commands(driver, 5, utilization)
    assert 0.0 <= driver.gateway.components.loads.mean_utilization <= 1.0
    assert 0.0 <= driver.gateway.components.engines.by_slot[0].utilization <= 1.0
    command_id = driver.submit()
    driver.end_attempt(command_id, Outcome.ANSWERED, report=(1.0,))  # a report with too few values
    assert count_dispatched(driver) > 0


@pytest.mark.parametrize("loaded_engine", [1, 2])
def test_among_engines_with_equal_attempts_the_one_that_reports_less_load_is_chosen(loaded_engine):
    driver = Driver(
        make_agreement(profile(objective_us=60_000 * MS, timeout_us=90_000 * MS), report_fields=("util",))
    )
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    for command_id in [driver.submit(), driver.submit()]:  # one on each engine: both report their load
        driver.end_attempt(
            command_id,
            Outcome.ANSWERED,
            report=(0.9 if driver.commands[command_id].open_attempt.engine == loaded_engine else 0.1,),
        )
    for _ in range(12):
        command_id = driver.submit()
        assert driver.commands[command_id].open_attempt.engine != loaded_engine
        driver.end_attempt(command_id, Outcome.ANSWERED, report=(0.1,))


def test_low_load_reported_by_a_slow_engine_is_not_taken_for_free_capacity():
    driver = Driver(
        make_agreement(profile(objective_us=60_000 * MS, timeout_us=90_000 * MS), report_fields=("util",))
    )
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    for _ in range(10):  # one on each engine: the first is slow, and reports idle cores
        pair = [driver.submit(), driver.submit()]
        for is_slow in (False, True):
            driver.now += 5 * WORK if is_slow else WORK
            for command_id in pair:
                if (
                    driver.commands[command_id].open_attempt
                    and (driver.commands[command_id].open_attempt.engine == 1) == is_slow
                ):
                    driver.end_attempt(command_id, Outcome.ANSWERED, report=(0.05 if is_slow else 0.6,))
        for command_id in driver.running_ids():
            driver.end_attempt(command_id, Outcome.ANSWERED, report=(0.6,))
    command_id = driver.submit()
    assert driver.commands[command_id].open_attempt.engine == 2


def test_free_capacity_raises_a_limit_only_below_full_utilization():
    assert raise_factor(FULL_UTILIZATION, 4.0) == raise_factor(1.0, 4.0) == 1.0
    assert raise_factor(FULL_UTILIZATION / 2, 4.0) == 2.0
    assert raise_factor(0.0, 4.0) == 4.0
