"""Engines that come and go."""

from driver import MS, Driver, make_agreement, profile

from gullhold.interface import DeduplicationScope, EngineState, Idempotency, Outcome


def test_engines_that_are_gone_leave_nothing_behind():
    world = Driver(
        make_agreement(profile(idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.ZONE))
    )
    world.now += 20_000 * MS  # no engine is cold any more
    for ident in range(0, 900, 3):
        world.engines(*[(ident + i, 0, 0, EngineState.READY, 0, 0) for i in range(3)], full=True)
        one, other = world.command(), world.command()
        world.end(one, Outcome.ANSWERED)
        world.end(other, Outcome.RESET)  # what may have run holds its engine's location
        while world.commands[other]["out"]:
            world.end(other, Outcome.ANSWERED)
    engines = world.gateway.parts.engines
    assert len(engines.by_slot) <= 12 and len(engines.by_id) <= 6
    assert [engine.slot for engine in engines.by_slot] == list(range(len(engines.by_slot)))
