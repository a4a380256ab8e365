"""Counts of what a gateway holds, for tests and simulations."""

from typing import NamedTuple

from gullhold.decisions.command_lifecycle import CommandLifecycle
from gullhold.decisions.components import Components


class Census(NamedTuple):
    """Counts of commands, attempts and threads; all are 0 once every command and every attempt is over."""

    commands: int  # commands that wait or have an open attempt
    ordered_keys: int  # ordered keys with a command that waits or has an open attempt
    queued_tenants: int  # tenants with queued commands
    engine_threads: int  # threads in use by our attempts, summed over the engines
    engine_attempts: int  # our attempts, summed over the engines
    threads: int  # equal to engine_threads, but counted separately, for the limit over all engines
    timed_out_attempts: int  # timed-out attempts that may still run


def take_census(components: Components, lifecycle: CommandLifecycle) -> Census:
    """Count the present state of the components."""
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
