"""Counts of what a gateway holds, for tests and simulations."""

from typing import NamedTuple

from gullhold.decisions.command_lifecycle import CommandLifecycle
from gullhold.decisions.components import Components


class Census(NamedTuple):
    """The counts; all are 0 once no attempt is open and none runs on."""

    commands: int  # waiting, or with an open attempt
    ordered_keys: int
    queued_tenants: int
    engine_threads: int  # sum over the engines
    engine_attempts: int
    threads: int  # equal to engine_threads; counted separately, for the limit over the fleet
    timed_out_attempts: int  # timed out, and may still run


def take_census(components: Components, lifecycle: CommandLifecycle) -> Census:
    """Return the present counts."""
    engines = components.engines.by_slot
    return Census(
        commands=len(lifecycle.commands),
        ordered_keys=len(components.key_order.by_key),
        queued_tenants=len(components.queue.by_tenant),
        engine_threads=sum(engine.threads for engine in engines),
        engine_attempts=sum(engine.attempts for engine in engines),
        threads=components.thread_use.total,
        timed_out_attempts=len(components.thread_use.timed_out),
    )
