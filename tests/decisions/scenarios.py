"""Worlds that the tests of the decisions share."""

from driver import MS, START, WORK, Driver, make_agreement, profile

from gullhold.decisions.command import Command
from gullhold.interface import EngineState, Outcome, Profile, Tenant

READY4 = [(ident, ident % 2, ident % 2, EngineState.READY, ident % 3, 0) for ident in range(4)]


FLEET = [(ident, 0, 0, EngineState.READY, ident % 5, 0) for ident in range(40)]


CROWD = (Tenant(1.0, 1000.0),)


ODD = (0, -5, float("nan"), float("inf"), 1e300, 64.0)  # estimates as they may come


def answered(world, times, util, latency=WORK):
    """So many commands, one by one, each answered with this load told."""
    for _ in range(times):
        ident = world.submit()
        world.now += latency
        world.end_attempt(ident, Outcome.ANSWERED, report=(3.0, util))


def reporting(**other):
    """A gateway of four on one engine of four cores that tells its load with answers."""
    world = Driver(
        make_agreement(
            profile(target_us=60_000 * MS, timeout_us=90_000 * MS),
            gateways=4,
            report_fields=("inflight", "util"),
            **other,
        )
    )
    world.update_engines((1, 0, 0, EngineState.READY, 0, 0))
    return world


def out_of(world, asked=12):
    """How many of so many commands at once are out."""
    for _ in range(asked):
        world.submit()
    return len(world.running_ids())


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
        target_at=START + kind.target_us,
        is_short=True,
        last_start_at=START + kind.timeout_us,
        worthwhile_until=START + kind.timeout_us,
        threads=kind.threads,
    )
