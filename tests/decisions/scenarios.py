"""Engines, tenants, commands and drivers that the tests of the decisions share."""

from typing import Any

from driver import MS, START, WORK, Driver, make_agreement, profile

from gullhold.decisions.command import Command
from gullhold.interface import EngineState, Outcome, Profile, Tenant

FOUR_READY_ENGINES = [
    (engine_id, engine_id % 2, engine_id % 2, EngineState.READY, engine_id % 3, 0) for engine_id in range(4)
]


FORTY_READY_ENGINES = [(engine_id, 0, 0, EngineState.READY, engine_id % 5, 0) for engine_id in range(40)]


BUSY_TENANT = (Tenant(1.0, 1000.0),)


ARBITRARY_ESTIMATES = (0, -5, float("nan"), float("inf"), 1e300, 64.0)  # values that a client may send


def answer_commands(driver: Driver, count: int, utilization: float, latency: int = WORK) -> None:
    """Submit commands one after another, and answer each with a load report of this utilisation."""
    for _ in range(count):
        command_id = driver.submit()
        driver.now += latency
        driver.end_attempt(command_id, Outcome.ANSWERED, report=(3.0, utilization))


def driver_with_load_reports(**other: Any) -> Driver:
    """Return the driver of one of four gateways, with one engine of four cores that reports its load."""
    driver = Driver(
        make_agreement(
            profile(objective_us=60_000 * MS, timeout_us=90_000 * MS),
            gateways=4,
            report_fields=("inflight", "util"),
            **other,
        )
    )
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0))
    return driver


def count_dispatched(driver: Driver, submitted_count: int = 12) -> int:
    """Submit commands at the same time; return how many commands have an open attempt then."""
    for _ in range(submitted_count):
        driver.submit()
    return len(driver.running_ids())


def make_command(
    number: int = 1, command_profile: Profile | None = None, key: int = 0, tenant: int = 0
) -> Command:
    """Return a command with 100 ms of work that has just arrived."""
    command_profile = command_profile or profile()
    return Command(
        id=number,
        profile_index=0,
        profile=command_profile,
        tenant=tenant,
        key=key,
        need_mb=64.0,
        dataset=0,
        order=number,
        work=100 * MS,
        admitted_at=START,
        objective_at=START + command_profile.objective_us,
        is_short=True,
        last_start_at=START + command_profile.timeout_us,
        worthwhile_until=START + command_profile.timeout_us,
        threads=command_profile.threads,
    )
