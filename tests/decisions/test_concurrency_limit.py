"""Limits on threads: of an engine, over the fleet, under pressure."""

from driver import MS, Driver, make_agreement, profile
from scenarios import BUSY_TENANT, FORTY_READY_ENGINES, FOUR_READY_ENGINES, answer_commands

from gullhold.interface import EngineState, Outcome, Tenant


def test_commands_in_flight_stay_under_the_concurrency_limit_and_one_may_always_be_sent():
    driver = Driver(make_agreement(profile(threads=3), gateways=4))
    driver.update_engines(
        (1, 0, 1, EngineState.READY, 0, 0)
    )  # two cores: a cap of one thread for this gateway
    for _ in range(5):
        driver.submit()
    assert len(driver.running_ids()) == 1
    driver.end_attempt(driver.running_ids()[0], Outcome.ANSWERED)
    assert len(driver.running_ids()) == 1


def test_a_slowdown_of_all_engines_halves_the_initial_share():
    driver = Driver(make_agreement(gateways=2))
    driver.update_engines(*FOUR_READY_ENGINES)
    for i in range(400):
        command_id = driver.submit()
        driver.now += (100 if i < 50 else 900) * MS
        while driver.commands[command_id].open_attempt:
            driver.end_attempt(command_id, Outcome.ANSWERED)
    assert driver.gateway.components.limits.share(driver.now) >= 0.25


def test_one_of_hundreds_of_gateways_uses_its_share_of_the_fleet():
    driver = Driver(
        make_agreement(profile(threads=3, late_benefit_share=0.0), gateways=300, tenants=BUSY_TENANT)
    )
    driver.update_engines(*FORTY_READY_ENGINES)
    for _ in range(60):
        driver.submit()
    assert 1 <= len(driver.running_ids()) <= 10  # not one at each of forty engines


def test_a_busy_gateway_gets_a_larger_share_and_loses_it_again():
    driver = Driver(make_agreement(gateways=300, tenants=BUSY_TENANT))
    driver.update_engines(*FORTY_READY_ENGINES)
    first = driver.gateway.components.limits.share(driver.now)
    for _ in range(1000):
        driver.end_attempt(driver.submit(), Outcome.ANSWERED)
        driver.now += 10 * MS
    assert driver.gateway.components.limits.share(driver.now) > 10 * first
    assert driver.gateway.components.limits.share(driver.now + 120_000 * MS) < first


def test_the_share_of_a_gateway_stays_near_its_part_of_the_traffic_however_long_commands_wait():
    """It once grew fourfold while a few waited: all engines were filled past their knee, and jammed."""
    agreement = make_agreement(
        profile(objective_us=9000 * MS, timeout_us=20_000 * MS), gateways=3, tenants=(Tenant(1.0, 30.0),)
    )
    driver = Driver(agreement)
    driver.update_engines(*FOUR_READY_ENGINES)
    most = 0.0
    for _ in range(100):
        for _ in range(4):
            driver.submit()
        driver.now += 20 * MS
        for command_id in driver.running_ids()[:3]:
            driver.end_attempt(command_id, Outcome.ANSWERED, cost=1000 * MS)
        most = max(most, driver.gateway.components.limits.share_factor)
    assert driver.gateway.components.queue.by_tenant
    assert 1.0 < most <= 1.5


def test_timeouts_lower_the_long_share_of_the_limit_until_answers_restore_it():
    agreement = make_agreement(
        profile(),
        profile(threads=3, objective_us=20_000 * MS, timeout_us=4000 * MS),
        supports_cancel=False,
        cores_by_kind=(40.0,),
    )
    driver = Driver(agreement)
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0))

    def part():
        """Threads that so many long commands get, against those that as many short ones get."""
        found = []
        for number, threads in ((1, 3), (0, 1)):
            asked = [driver.submit(number) for _ in range(120)]
            found.append(
                threads * sum(driver.commands[command_id].open_attempt is not None for command_id in asked)
            )
            for command_id in asked:
                if not driver.commands[command_id].is_over:
                    driver.client_left(command_id)
            for command_id in driver.running_ids():
                driver.end_attempt(command_id, Outcome.CANCELLED)
        return found[0] / found[1]

    answer_commands(driver, 20, 1.0)
    before = part()
    for _ in range(3):
        lost = driver.submit()
        driver.now = driver.commands[lost].timeout_at - 30 * MS
        driver.end_attempt(lost, Outcome.TIMED_OUT)
    driver.now += 30_000 * MS
    driver.update_engines()
    after = part()
    answer_commands(driver, 400, 1.0)
    assert after < 0.6 * before
    assert part() > 0.9 * before
