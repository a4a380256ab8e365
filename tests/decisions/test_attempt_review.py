"""Open attempts that take far longer than usual."""

from driver import MS, Driver, make_agreement, profile
from scenarios import FOUR_READY_ENGINES

from gullhold.interface import CancelAttempt, Outcome, StatusKind


def test_an_attempt_with_a_bad_plan_is_cancelled_and_retried_on_another_engine():
    world = Driver(make_agreement(profile(timeout_us=20_000 * MS)))
    world.update_engines(*FOUR_READY_ENGINES)
    for _ in range(20):
        ident = world.submit()
        world.now += 100 * MS
        world.end_attempt(ident, Outcome.ANSWERED)
    ident = world.submit()
    world.wait(400 * MS)
    assert CancelAttempt(ident, 0) in world.results_of(CancelAttempt)
    world.end_attempt(ident, Outcome.CANCELLED)
    assert len(world.commands[ident].attempts_sent_at) == 2


def test_an_attempt_that_status_reports_call_nearly_done_is_not_cancelled():
    world = Driver(make_agreement(profile(timeout_us=20_000 * MS)))
    world.update_engines(*FOUR_READY_ENGINES)
    ident = world.submit()
    world.gateway.attempt_status(world.now, ident, 0, StatusKind.PROGRESS, 0.9)
    world.wait(900 * MS)
    assert not any(isinstance(result, CancelAttempt) for result in world.log)


def test_status_reports_reveal_a_bad_plan_long_before_its_age_does():
    world = Driver(make_agreement(profile(timeout_us=20_000 * MS, objective_us=9000 * MS)))
    world.update_engines(*FOUR_READY_ENGINES)
    ident = world.submit(work=1000 * MS)
    world.wait(500 * MS)
    world.gateway.attempt_status(world.now, ident, 0, StatusKind.PROGRESS, 0.02)
    world.wait(600 * MS)
    assert CancelAttempt(ident, 0) in world.results_of(CancelAttempt)
