"""Engines that are listed, removed, restarted and forgotten."""

from driver import MS, START, Driver, make_agreement, profile

from gullhold.decisions.engine_registry import EngineRegistry
from gullhold.interface import DeduplicationScope, EngineEntry, EngineState, Idempotency, Outcome


def test_removed_engines_leave_no_state_behind():
    driver = Driver(
        make_agreement(profile(idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.ZONE))
    )
    driver.now += 20_000 * MS  # no engine is warming any more
    for engine_id in range(0, 900, 3):
        driver.update_engines(*[(engine_id + i, 0, 0, EngineState.READY, 0, 0) for i in range(3)], full=True)
        answered, reset = driver.submit(), driver.submit()
        driver.end_attempt(answered, Outcome.ANSWERED)
        driver.end_attempt(reset, Outcome.RESET)  # its scope for retries refers to its engine
        while driver.commands[reset].open_attempt:
            driver.end_attempt(reset, Outcome.ANSWERED)
    engines = driver.gateway.components.engines
    assert len(engines.by_slot) <= 12
    assert len(engines.by_id) <= 6
    assert [engine.slot for engine in engines.by_slot] == list(range(len(engines.by_slot)))


def test_a_slot_is_reused_once_nothing_refers_to_the_removed_engine():
    engines = EngineRegistry(make_agreement())
    first = engines.update(EngineEntry(7, 0, 1.0, 0, EngineState.READY, 0, 0))
    other = engines.update(EngineEntry(8, 1, 1.0, 1, EngineState.READY, 0, 0))
    assert engines.ready_cores == 6.0
    assert list(engines.local) == [first]
    engines.remove_all_but({other})
    assert engines.ready_cores == 2.0
    assert engines.has_removed()
    now = START + 10_001 * MS
    assert engines.forget_removed(now, {first}) == []
    assert 7 in engines.by_id
    assert engines.forget_removed(now, set()) == [first]
    assert 7 not in engines.by_id
    new = engines.update(EngineEntry(9, 0, 1.0, 0, EngineState.READY, 0, 0))
    assert new is not first
    assert new.slot == first.slot
    assert new.sequence > other.sequence


def test_a_restart_discards_the_observations_of_an_engine():
    engines = EngineRegistry(make_agreement())
    engine = engines.update(EngineEntry(7, 0, 1.0, 0, EngineState.READY, 0, 0))
    engine.failure_rate, engine.completed_work, engine.utilization = 0.5, 10.0, 0.2
    engines.update(EngineEntry(7, 0, 1.0, 0, EngineState.READY, 0, 0))
    assert engine.failure_rate == 0.5
    engines.update(EngineEntry(7, 0, 1.0, 0, EngineState.READY, 0, START))
    assert (engine.failure_rate, engine.completed_work, engine.utilization) == (0.0, 0.0, 1.0)
