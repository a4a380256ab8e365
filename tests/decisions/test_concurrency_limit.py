"""Limits on threads: on an engine, over all engines, and under pressure."""

from driver import MS, Driver, make_agreement, profile
from scenarios import BUSY_TENANT, FORTY_READY_ENGINES, FOUR_READY_ENGINES, answer_commands

from gullhold.interface import EngineState, Outcome, Tenant


def test_open_attempts_stay_under_the_concurrency_limit_but_one_is_always_allowed():
    driver = Driver(make_agreement(profile(threads=3), gateways=4))
    # Two cores: a limit of one thread for this gateway, less than the three of a command.
    driver.update_engines((1, 0, 1, EngineState.READY, 0, 0))
    for _ in range(5):
        driver.submit()
    assert len(driver.running_ids()) == 1
    driver.end_attempt(driver.running_ids()[0], Outcome.ANSWERED)
    assert len(driver.running_ids()) == 1


def test_a_slowdown_of_all_engines_at_most_halves_the_share():
    driver = Driver(make_agreement(gateways=2))
    driver.update_engines(*FOUR_READY_ENGINES)
    for i in range(400):
        command_id = driver.submit()
        driver.now += (100 if i < 50 else 900) * MS
        while driver.commands[command_id].open_attempt:
            driver.end_attempt(command_id, Outcome.ANSWERED)
    assert driver.gateway.components.limits.share(driver.now) >= 0.25


def test_one_of_hundreds_of_gateways_uses_only_its_share_of_all_engines():
    driver = Driver(
        make_agreement(profile(threads=3, late_benefit_share=0.0), gateways=300, tenants=BUSY_TENANT)
    )
    driver.update_engines(*FORTY_READY_ENGINES)
    for _ in range(60):
        driver.submit()
    assert 1 <= len(driver.running_ids()) <= 10  # not one on each of the forty engines


def test_a_busy_gateway_gets_a_larger_share_and_loses_it_when_its_traffic_ends():
    driver = Driver(make_agreement(gateways=300, tenants=BUSY_TENANT))
    driver.update_engines(*FORTY_READY_ENGINES)
    first = driver.gateway.components.limits.share(driver.now)
    for _ in range(1000):
        driver.end_attempt(driver.submit(), Outcome.ANSWERED)
        driver.now += 10 * MS
    assert driver.gateway.components.limits.share(driver.now) > 10 * first
    assert driver.gateway.components.limits.share(driver.now + 120_000 * MS) < first


def test_the_share_of_a_gateway_stays_near_its_part_of_the_traffic_when_commands_wait_long():
    """Guards against a share of the traffic that grows while a few commands wait.

    The share once grew fourfold: all engines got more threads than at their best throughput, and were
    overloaded.
    """
    agreement = make_agreement(
        profile(objective_us=9000 * MS, timeout_us=20_000 * MS), gateways=3, tenants=(Tenant(1.0, 30.0),)
    )
    driver = Driver(agreement)
    driver.update_engines(*FOUR_READY_ENGINES)
    highest = 0.0
    for _ in range(100):
        for _ in range(4):
            driver.submit()
        driver.now += 20 * MS
        for command_id in driver.running_ids()[:3]:
            driver.end_attempt(command_id, Outcome.ANSWERED, cost=1000 * MS)
        highest = max(highest, driver.gateway.components.limits.share_factor)
    assert driver.gateway.components.queue.by_tenant
    assert 1.0 < highest <= 1.5


def test_timeouts_lower_the_long_share_of_the_limit_until_answers_restore_it():
    agreement = make_agreement(
        profile(),
        profile(threads=3, objective_us=20_000 * MS, timeout_us=4000 * MS),
        supports_cancel=False,
        cores_by_kind=(40.0,),
    )
    driver = Driver(agreement)
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0))

    def long_to_short_ratio():
        """Return the ratio of the threads that 120 long commands get to those that 120 short ones get."""
        threads_used = []
        for profile_index, threads in ((1, 3), (0, 1)):
            submitted = [driver.submit(profile_index) for _ in range(120)]
            threads_used.append(
                threads
                * sum(driver.commands[command_id].open_attempt is not None for command_id in submitted)
            )
            for command_id in submitted:
                if not driver.commands[command_id].is_over:
                    driver.client_left(command_id)
            for command_id in driver.running_ids():
                driver.end_attempt(command_id, Outcome.CANCELLED)
        return threads_used[0] / threads_used[1]

    answer_commands(driver, 20, 1.0)
    before = long_to_short_ratio()
    for _ in range(3):
        lost = driver.submit()
        driver.now = driver.commands[lost].timeout_at - 30 * MS
        driver.end_attempt(lost, Outcome.TIMED_OUT)
    driver.now += 30_000 * MS
    driver.update_engines()
    after = long_to_short_ratio()
    answer_commands(driver, 400, 1.0)
    assert after < 0.6 * before
    assert long_to_short_ratio() > 0.9 * before
