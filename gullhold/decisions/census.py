"""Counts of what a gateway holds, for tests and simulations."""

from typing import NamedTuple

from gullhold.decisions.command_lifecycle import CommandLifecycle
from gullhold.decisions.parts import Parts


class Census(NamedTuple):
    """The counts; all are 0 once nothing is open and nothing runs on."""

    commands: int  # that wait or have an open attempt
    ordered_keys: int
    queued_tenants: int
    engine_threads: int  # sum over the engines
    engine_attempts: int
    threads: int  # the same as engine_threads, as the limit over the fleet counts them
    attempts_running_on: int  # that timed out and may still run


def take_census(parts: Parts, lifecycle: CommandLifecycle) -> Census:
    """The counts of now."""
    engines = parts.engines.by_slot
    return Census(
        commands=len(lifecycle.commands),
        ordered_keys=len(parts.key_order.by_key),
        queued_tenants=len(parts.queue.by_tenant),
        engine_threads=sum(engine.threads for engine in engines),
        engine_attempts=sum(engine.attempts for engine in engines),
        threads=parts.thread_use.total,
        attempts_running_on=len(parts.thread_use.running_on),
    )
