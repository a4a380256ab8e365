"""Commands whose time is up."""

from driver import MS, WORK, Driver, make_agreement, profile

from gullhold.interface import EngineState, Idempotency, Outcome, Shed


def test_nothing_is_held_past_its_time_with_no_engine_at_all():
    world = Driver(make_agreement(profile(late_benefit=0.0), profile(idempotency=Idempotency.NON_IDEMPOTENT)))
    never, late = world.command(0), world.command(1)
    world.wait(4100 * MS)
    assert world.commands[never]["final"] == world.commands[late]["final"] == Shed


def test_what_cannot_end_in_time_at_the_best_pace_is_turned_away_and_not_sent():
    world = Driver(make_agreement(profile()))
    world.engines((0, 0, 0, EngineState.READY, 0, 0), full=True)
    world.command(timeout_us=WORK // 2)
    assert not world.out() and not world.gateway.commands
    ident = world.command(timeout_us=WORK + 100 * MS)
    assert world.out() == [ident]


def test_a_gateway_that_stood_still_looks_at_the_time_before_it_sends():
    world = Driver(make_agreement(profile(late_benefit=0.0), supports_cancel=False))
    world.engines((1, 0, 1, EngineState.READY, 0, 0))  # two cores
    asked = [world.command() for _ in range(12)]
    went = set(world.out())
    assert 0 < len(went) < 12
    world.now += 2000 * MS  # no turn: no timer fires, and the answers wait for it too
    for ident in went:
        world.end(ident, Outcome.ANSWERED)
    world.wait(100 * MS)
    held = [world.commands[ident] for ident in asked if ident not in went]
    assert all(not cmd["sends"] and cmd["final"] == Shed for cmd in held)  # none could earn anything
