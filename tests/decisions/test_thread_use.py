"""Threads that timed-out attempts hold."""

from driver import MS, START, Driver, make_agreement, profile

from gullhold.decisions.engine import Engine
from gullhold.decisions.thread_use import ThreadUse
from gullhold.interface import EngineState, Outcome


def jammed(supports_cancel=False, threads=2):
    """(driver, how many went out in 40 s): two engines of four cores on which nothing ends in time."""
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
    return driver, sum(len(cmd.attempts_sent_at) for cmd in driver.commands.values())


def test_a_timed_out_attempt_keeps_its_threads_while_it_may_run_on_where_attempts_cannot_be_cancelled():
    (_, fed), (_, stopped) = jammed(), jammed(supports_cancel=True)
    assert 0 < fed < 0.5 * stopped  # two ages run on behind each: a third of the sends


def test_attempts_that_may_run_on_are_over_once_their_engine_has_restarted():
    driver, _ = jammed()
    assert driver.gateway.components.thread_use.total >= 4
    assert driver.gateway.components.thread_use.timed_out
    for command_id in driver.running_ids():
        driver.end_attempt(command_id, Outcome.RESET)
    born = driver.now - 20_000 * MS  # seen anew and warm
    driver.update_engines((1, 0, 0, EngineState.READY, 0, born), (2, 0, 0, EngineState.READY, 0, born))
    out = sum(driver.commands[command_id].profile.threads for command_id in driver.running_ids())
    assert driver.gateway.components.thread_use.total == out
    assert not driver.gateway.components.thread_use.timed_out


def test_threads_of_a_timed_out_attempt_are_held_for_two_ages():
    use, engine = ThreadUse(), Engine(1, 0, 1)
    use.hold_timed_out(engine, 3, START, START + 100 * MS)
    use.release_ended(START + 299 * MS)
    assert (use.total, engine.threads, engine.attempts) == (3, 3, 1)
    use.release_ended(START + 300 * MS)
    assert (use.total, engine.threads, engine.attempts) == (0, 0, 0)
    assert not use.timed_out


def test_threads_that_ran_on_are_free_once_their_engine_has_restarted():
    use, engine = ThreadUse(), Engine(1, 0, 1)
    use.hold_timed_out(engine, 3, START, START + 100 * MS)
    engine.started_us = START + 150 * MS
    use.release_ended(START + 160 * MS)
    assert use.total == 0 == engine.threads
