"""Utilisation that engines report."""

import pytest
from driver import MS, WORK, Driver, make_agreement, profile
from scenarios import answer_commands, count_dispatched, driver_with_load_reports

from gullhold.decisions.load_report import FULL_UTILIZATION, widening_factor
from gullhold.interface import EngineState, Outcome


def test_slow_answers_are_no_pressure_where_load_reports_show_idle_cores():
    found = []
    for util in (0.1, 0.95):  # the same paces: two fast ones, then three times as slow
        world = driver_with_load_reports()
        answer_commands(world, 5, util)
        answer_commands(world, 30, util, latency=3 * WORK)
        found.append(count_dispatched(world))
    assert found[0] >= 2 * found[1] > 0


def test_an_engine_that_rejects_attempts_or_reports_no_load_counts_as_full():
    world = driver_with_load_reports()
    answer_commands(world, 40, 0.1)
    assert world.gateway.components.loads.mean_utilization < 0.2
    for outcome in [Outcome.OVERLOADED, Outcome.TIMED_OUT] * 15:
        ident = world.submit()
        if ident in world.running_ids():
            world.end_attempt(ident, outcome)
        world.wait(3000 * MS)
        for other in world.running_ids():
            world.end_attempt(other, Outcome.ANSWERED)
    assert world.gateway.components.loads.mean_utilization > 0.7


@pytest.mark.parametrize("told", [float("nan"), -0.5, float("inf"), float("-inf"), 1e30])
def test_the_effect_of_an_invented_load_report_is_bounded(told):
    world = driver_with_load_reports()
    answer_commands(world, 20, 0.2)
    answer_commands(world, 5, told)
    assert 0.0 <= world.gateway.components.loads.mean_utilization <= 1.0
    assert 0.0 <= world.gateway.components.engines.by_slot[0].load <= 1.0
    ident = world.submit()
    world.end_attempt(ident, Outcome.ANSWERED, report=(1.0,))  # a report cut short
    assert count_dispatched(world) > 0


@pytest.mark.parametrize("full", [1, 2])
def test_among_engines_with_equal_attempts_the_one_that_reports_less_load_is_chosen(full):
    world = Driver(
        make_agreement(profile(objective_us=60_000 * MS, timeout_us=90_000 * MS), report_fields=("util",))
    )
    world.update_engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    for ident in [world.submit(), world.submit()]:  # one on each: both tell
        world.end_attempt(
            ident,
            Outcome.ANSWERED,
            report=(0.9 if world.commands[ident].open_attempt.engine == full else 0.1,),
        )
    for _ in range(12):
        ident = world.submit()
        assert world.commands[ident].open_attempt.engine != full
        world.end_attempt(ident, Outcome.ANSWERED, report=(0.1,))


def test_low_load_reported_by_a_slow_engine_is_not_capacity():
    world = Driver(
        make_agreement(profile(objective_us=60_000 * MS, timeout_us=90_000 * MS), report_fields=("util",))
    )
    world.update_engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    for _ in range(10):  # one on each: the first crawls, and tells of idle cores
        pair = [world.submit(), world.submit()]
        for crawls in (False, True):
            world.now += 5 * WORK if crawls else WORK
            for ident in pair:
                if (
                    world.commands[ident].open_attempt
                    and (world.commands[ident].open_attempt.engine == 1) == crawls
                ):
                    world.end_attempt(ident, Outcome.ANSWERED, report=(0.05 if crawls else 0.6,))
        for ident in world.running_ids():
            world.end_attempt(ident, Outcome.ANSWERED, report=(0.6,))
    ident = world.submit()
    assert world.commands[ident].open_attempt.engine == 2


def test_spare_capacity_raises_a_limit_only_below_full_utilization():
    assert widening_factor(FULL_UTILIZATION, 4.0) == widening_factor(1.0, 4.0) == 1.0
    assert widening_factor(FULL_UTILIZATION / 2, 4.0) == 2.0
    assert widening_factor(0.0, 4.0) == 4.0
