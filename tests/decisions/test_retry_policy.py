"""Retries, final answers and the retry budget."""

from driver import MS, Driver, make_agreement, profile
from scenarios import FOUR_READY_ENGINES

from gullhold.interface import Fail, Idempotency, Outcome, Shed


def test_abandoning_an_attempt_that_may_have_run_fails_a_non_idempotent_command():
    """A gateway that shuts down ends open attempts: shed only where a retry does no harm."""
    for effect, verb in (
        (Idempotency.NON_IDEMPOTENT, Fail),
        (Idempotency.IDEMPOTENT, Shed),
        (Idempotency.KEYED, Shed),
    ):
        world = Driver(make_agreement(profile(idempotency=effect)))
        world.update_engines(*FOUR_READY_ENGINES[:1])
        ident = world.submit()
        assert world.running_ids() == [ident]
        world.abandon(ident)
        final = next(result for result in world.log if isinstance(result, Shed | Fail))
        assert (type(final), final.command) == (verb, ident)
        assert not world.gateway.commands
        assert not world.gateway.components.thread_use.total


def test_a_non_idempotent_attempt_that_was_rejected_before_it_ran_is_retried():
    """It was shed at once, though it provably never ran: the state of the ended send stood in the way."""
    world = Driver(make_agreement(profile(idempotency=Idempotency.NON_IDEMPOTENT)))
    world.update_engines(*FOUR_READY_ENGINES)
    ident = world.submit()
    world.end_attempt(ident, Outcome.OVERLOADED)
    assert world.running_ids() == [ident]
    assert not any(isinstance(result, Shed) for result in world.log)
    world.end_attempt(ident, Outcome.ERROR)
    assert Fail(ident) in world.results_of(Fail)


def test_requests_of_bad_clients_raise_no_retry_budget_and_no_share_of_the_fleet():
    world = Driver(
        make_agreement(
            profile(), retry_budget_base=3.0, retry_budget_share=0.5, retry_budget_window_us=5000 * MS
        )
    )
    world.update_engines(*FOUR_READY_ENGINES)
    for i in range(60):  # taken back at once, or of no use to any engine
        ident = world.submit()
        if i % 2:
            world.client_left(ident)
        while world.commands[ident].open_attempt:
            world.end_attempt(ident, Outcome.CANCELLED if i % 2 else Outcome.ERROR)
    assert len(world.retried_at) == 3
    assert world.gateway.components.traffic.count < 40
    world.wait(40_000 * MS)
    for _ in range(8):
        world.end_attempt(world.submit(), Outcome.ANSWERED)
    for _ in range(9):
        ident = world.submit()
        world.end_attempt(ident, Outcome.OVERLOADED) if world.commands[ident].open_attempt else None
        for engine in world.gateway.components.engines.by_slot:
            engine.overloaded_until = 0
    assert len(world.retried_at) == 3 + 7  # three, and half of those answered


def test_an_error_on_a_second_engine_ends_the_command():
    world = Driver(make_agreement(max_attempts=99))
    world.update_engines(*FOUR_READY_ENGINES)
    for _ in range(10):
        ident, used = world.submit(), []
        while world.commands[ident].open_attempt:
            used.append(world.commands[ident].open_attempt.engine)
            world.end_attempt(ident, Outcome.ERROR)
        assert world.commands[ident].final == Shed
        assert len(set(used)) == 2
        assert used[-1] not in used[:-1]
        world.wait(60_000 * MS)  # its marks fade
