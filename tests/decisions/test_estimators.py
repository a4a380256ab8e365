"""What attempts tell of the pace of their profile."""

from driver import MS, Driver, make_agreement, profile
from scenarios import FOUR_READY_ENGINES

from gullhold.decisions.estimators import Estimates
from gullhold.interface import EngineState, Outcome


def test_commands_that_clients_cancel_do_not_count_as_measurements_of_speed():
    world = Driver(make_agreement())
    world.update_engines(*FOUR_READY_ENGINES)
    for _ in range(30):
        ident = world.submit()
        world.now += 150 * MS
        world.end_attempt(ident, Outcome.ANSWERED)
    pace = world.gateway.components.estimates.by_profile[0].pace
    for _ in range(100):
        ident = world.submit()
        world.client_left(ident)
        world.end_attempt(ident, Outcome.CANCELLED)
    assert world.gateway.components.estimates.by_profile[0].pace == pace
    assert world.gateway.components.limits.overall_slowness < 2


def test_an_attempt_cut_off_before_the_usual_run_time_does_not_count_against_its_engine():
    """Clients that gave up early had made jammed engines look fast to every gateway."""
    world = Driver(make_agreement(profile(), max_attempts=1))
    world.update_engines((0, 0, 0, EngineState.READY, 0, 0), full=True)
    for _ in range(20):
        ident = world.submit()
        world.wait(300 * MS)
        world.end_attempt(ident, Outcome.ANSWERED)
    gateway = world.gateway
    engine, estimate = gateway.components.engines.by_id[0], gateway.components.estimates.by_profile[0]
    before = gateway.components.limits.overall_slowness, estimate.pace
    for _ in range(10):
        ident = world.submit(timeout_us=160 * MS)
        world.wait(20 * MS)
        world.end_attempt(ident, Outcome.TIMED_OUT)
    assert estimate.pace == before[1]
    assert gateway.components.limits.overall_slowness == before[0]
    ident = world.submit(timeout_us=3000 * MS)
    world.wait(900 * MS)
    world.end_attempt(ident, Outcome.TIMED_OUT)  # a jam is not hidden
    assert estimate.pace > before[1]
    assert gateway.components.health.slowness(engine, world.now) > 1


def test_a_command_without_an_estimate_gets_the_usual_work_of_its_profile():
    estimates = Estimates(make_agreement())
    assert estimates.command_work(0, 0) == 0.5 * 500 * MS  # half the latency objective, before any other
    estimates = Estimates(make_agreement())
    assert estimates.command_work(0, 80 * MS) == 80 * MS
    assert estimates.command_work(0, float("nan")) == 80 * MS
    assert estimates.command_work(0, float("inf")) == 100 * 4000 * MS  # a hundred client timeouts
