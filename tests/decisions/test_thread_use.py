"""Threads in use by attempts that timed out and may still run."""

from driver import MS, START, Driver, make_agreement, profile

from gullhold.decisions.engine import Engine
from gullhold.decisions.thread_use import ThreadUse
from gullhold.interface import EngineState, Outcome


def submit_to_overloaded_engines(supports_cancel=False, threads=2):
    """Submit commands for 40 s to two engines of four cores on which every attempt times out.

    Returns the driver and the number of attempts.
    """
    driver = Driver(
        make_agreement(
            profile(threads=threads, objective_us=3000 * MS, timeout_us=4000 * MS),
            supports_cancel=supports_cancel,
            max_attempts=1,
        )
    )
    driver.update_engines(*((engine_id, 0, 0, EngineState.READY, 0, 0) for engine_id in (1, 2)))
    for _ in range(400):
        driver.submit()
        driver.wait(100 * MS)
    return driver, sum(len(command.attempts_sent_at) for command in driver.commands.values())


def test_a_timed_out_attempt_keeps_its_threads_for_a_while_when_attempts_cannot_be_cancelled():
    (_, attempts), (_, attempts_with_cancel) = (
        submit_to_overloaded_engines(),
        submit_to_overloaded_engines(supports_cancel=True),
    )
    # A timed-out attempt holds its threads for twice its age more, so a third as many attempts are possible.
    assert 0 < attempts < 0.5 * attempts_with_cancel


def test_timed_out_attempts_are_forgotten_when_their_engine_restarts():
    driver, _ = submit_to_overloaded_engines()
    assert driver.gateway.components.thread_use.total >= 4
    assert driver.gateway.components.thread_use.timed_out
    for command_id in driver.running_ids():
        driver.end_attempt(command_id, Outcome.RESET)
    started_us = driver.now - 20_000 * MS  # restarted, and warm by now
    driver.update_engines(
        (1, 0, 0, EngineState.READY, 0, started_us), (2, 0, 0, EngineState.READY, 0, started_us)
    )
    threads_in_use = sum(driver.commands[command_id].profile.threads for command_id in driver.running_ids())
    assert driver.gateway.components.thread_use.total == threads_in_use
    assert not driver.gateway.components.thread_use.timed_out


def test_threads_of_a_timed_out_attempt_are_held_for_two_ages():
    use, engine = ThreadUse(), Engine(1, 0, 1)
    use.hold_timed_out(engine, 3, START, START + 100 * MS)
    use.release_timed_out(START + 299 * MS)
    assert (use.total, engine.threads, engine.attempts) == (3, 3, 1)
    use.release_timed_out(START + 300 * MS)
    assert (use.total, engine.threads, engine.attempts) == (0, 0, 0)
    assert not use.timed_out


def test_threads_of_timed_out_attempts_are_released_when_their_engine_restarts():
    use, engine = ThreadUse(), Engine(1, 0, 1)
    use.hold_timed_out(engine, 3, START, START + 100 * MS)
    engine.started_us = START + 150 * MS
    use.release_timed_out(START + 160 * MS)
    assert use.total == 0 == engine.threads
