"""Retries, final answers and the retry budget."""

from driver import MS, Driver, make_agreement, profile
from scenarios import FOUR_READY_ENGINES

from gullhold.interface import Dispatch, Fail, Idempotency, Outcome, Shed


def test_abandoning_an_attempt_that_may_have_run_fails_a_non_idempotent_command():
    """A gateway that shuts down abandons open attempts; a command is shed only if a retry does no harm."""
    for idempotency, final_type in (
        (Idempotency.NON_IDEMPOTENT, Fail),
        (Idempotency.IDEMPOTENT, Shed),
        (Idempotency.KEYED, Shed),
    ):
        driver = Driver(make_agreement(profile(idempotency=idempotency)))
        driver.update_engines(*FOUR_READY_ENGINES[:1])
        command_id = driver.submit()
        assert driver.running_ids() == [command_id]
        driver.abandon(command_id)
        final = next(result for result in driver.log if isinstance(result, Shed | Fail))
        assert (type(final), final.command) == (final_type, command_id)
        assert not driver.gateway.commands
        assert not driver.gateway.components.thread_use.total


def test_a_non_idempotent_attempt_that_was_rejected_before_it_ran_is_retried():
    """Guards against shedding it at once because of its ended attempt, though that attempt never ran."""
    driver = Driver(make_agreement(profile(idempotency=Idempotency.NON_IDEMPOTENT)))
    driver.update_engines(*FOUR_READY_ENGINES)
    command_id = driver.submit()
    driver.end_attempt(command_id, Outcome.OVERLOADED)
    assert driver.running_ids() == [command_id]
    assert not any(isinstance(result, Shed) for result in driver.log)
    driver.end_attempt(command_id, Outcome.ERROR)
    assert Fail(command_id) in driver.results_of(Fail)


def test_commands_of_misbehaving_clients_raise_neither_the_retry_budget_nor_the_traffic_count():
    driver = Driver(
        make_agreement(
            profile(), retry_budget_base=3.0, retry_budget_share=0.5, retry_budget_window_us=5000 * MS
        )
    )
    driver.update_engines(*FOUR_READY_ENGINES)
    for i in range(60):  # the client leaves at once, or every engine answers with an error
        command_id = driver.submit()
        if i % 2:
            driver.client_left(command_id)
        while driver.commands[command_id].open_attempt:
            driver.end_attempt(command_id, Outcome.CANCELLED if i % 2 else Outcome.ERROR)
    assert len(driver.retried_at) == 3
    assert driver.gateway.components.traffic.count < 40
    driver.wait(40_000 * MS)
    for _ in range(8):
        driver.end_attempt(driver.submit(), Outcome.ANSWERED)
    for _ in range(9):
        command_id = driver.submit()
        driver.end_attempt(command_id, Outcome.OVERLOADED) if driver.commands[
            command_id
        ].open_attempt else None
        for engine in driver.gateway.components.engines.by_slot:
            engine.overloaded_until = 0
    assert len(driver.retried_at) == 3 + 7  # three, and half of the commands that were answered


def test_an_error_on_a_second_engine_ends_the_command():
    driver = Driver(make_agreement(max_attempts=99))
    driver.update_engines(*FOUR_READY_ENGINES)
    for _ in range(10):
        command_id, used = driver.submit(), []
        while driver.commands[command_id].open_attempt:
            used.append(driver.commands[command_id].open_attempt.engine)
            driver.end_attempt(command_id, Outcome.ERROR)
        assert driver.commands[command_id].final == Shed
        assert len(set(used)) == 2
        assert used[-1] not in used[:-1]
        driver.wait(60_000 * MS)  # the failure rates decay


def test_retry_must_be_sent_before_its_deduplication_window_ends():
    """Guards against a retry that waits for its connection until engines do not recognize it any more."""
    window_us = 1000 * MS
    driver = Driver(make_agreement(profile(idempotency=Idempotency.KEYED, dedup_window_us=window_us)))
    driver.update_engines(*FOUR_READY_ENGINES)
    first_sent_at = driver.now
    command_id = driver.submit(timeout_us=3000 * MS)
    driver.wait(500 * MS)
    driver.end_attempt(command_id, Outcome.OVERLOADED)  # it never ran, so there is no window yet
    second_sent_at = driver.now
    driver.wait(300 * MS)
    driver.end_attempt(command_id, Outcome.RESET)
    first, second, third = driver.results_of(Dispatch)
    assert first.send_until_us == first.deadline_us
    assert second.send_until_us == second.deadline_us > first_sent_at + window_us
    assert second_sent_at + 300 * MS < third.send_until_us < second_sent_at + window_us
    assert third.deadline_us == first.deadline_us
