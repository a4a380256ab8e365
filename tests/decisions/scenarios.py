"""Engines, tenants and commands that the tests of the decisions share."""

from typing import Any

from driver import MS, START, WORK, Driver, make_agreement, profile

from gullhold.decisions.command import Command
from gullhold.interface import EngineState, Outcome, Profile, Tenant

FOUR_READY_ENGINES = [
    (engine_id, engine_id % 2, engine_id % 2, EngineState.READY, engine_id % 3, 0) for engine_id in range(4)
]


FORTY_READY_ENGINES = [(engine_id, 0, 0, EngineState.READY, engine_id % 5, 0) for engine_id in range(40)]


BUSY_TENANT = (Tenant(1.0, 1000.0),)


ARBITRARY_ESTIMATES = (0, -5, float("nan"), float("inf"), 1e300, 64.0)  # estimates as they may come


def answer_commands(driver: Driver, count: int, utilization: float, latency: int = WORK) -> None:
    """Submit commands one after another; each is answered with a load report of this utilization."""
    for _ in range(count):
        command_id = driver.submit()
        driver.now += latency
        driver.end_attempt(command_id, Outcome.ANSWERED, report=(3.0, utilization))


def driver_with_load_reports(**other: Any) -> Driver:
    """One of four gateways, with one engine of four cores that reports its load with answers."""
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


def count_dispatched(driver: Driver, submitted: int = 12) -> int:
    """Submit commands at once; how many commands have an open attempt then."""
    for _ in range(submitted):
        driver.submit()
    return len(driver.running_ids())


def make_command(number: int = 1, kind: Profile | None = None, key: int = 0, tenant: int = 0) -> Command:
    """A command of 100 ms of work that has just arrived."""
    kind = kind or profile()
    return Command(
        id=number,
        profile_index=0,
        profile=kind,
        tenant=tenant,
        key=key,
        need_mb=64.0,
        dataset=0,
        order=number,
        work=100 * MS,
        admitted_at=START,
        objective_at=START + kind.objective_us,
        is_short=True,
        last_start_at=START + kind.timeout_us,
        worthwhile_until=START + kind.timeout_us,
        threads=kind.threads,
    )
