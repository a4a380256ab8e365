"""Choice of the engine for a command."""

from driver import MS, START, WORK, Driver, make_agreement, profile
from scenarios import BUSY_TENANT, FORTY_READY_ENGINES, FOUR_READY_ENGINES, answer_commands

from gullhold.decisions.placement import Placement
from gullhold.interface import EngineState, Outcome, StatusKind


def test_commands_return_to_recently_used_idle_engines_when_there_are_many_engines():
    """Guards against a connection and a descriptor for every command, as each goes to another engine."""
    driver, used = Driver(make_agreement()), set()
    driver.update_engines(*[(ident, 0, 0, EngineState.READY, 0, 0) for ident in range(600)])
    for _ in range(200):
        ident = driver.submit()
        used.add(driver.commands[ident].open_attempt.engine)
        driver.now += 50 * MS
        driver.end_attempt(ident, Outcome.ANSWERED)
    # The driver's commands use five data sets, each with four recent engines; up to six are allowed, as at
    # times a less busy engine is chosen instead.
    assert len(used) <= 5 * 6
    busy = [driver.submit() for _ in range(60)]  # at once: hardly any engine gets two while others are idle
    engines = [driver.commands[ident].open_attempt.engine for ident in busy]
    assert len(set(engines)) >= 55


def test_a_command_does_not_scan_all_engines_when_thousands_are_warming(monkeypatch):
    considered, may_take = [], Placement.may_take
    monkeypatch.setattr(
        Placement,
        "may_take",
        lambda self, command, engine, now: considered.append(engine) or may_take(self, command, engine, now),
    )
    driver = Driver(make_agreement())
    driver.update_engines(*[(engine_id, 0, 0, EngineState.READY, 0, START - 1) for engine_id in range(2000)])
    driver.submit(work=2_000_000)  # too much for any engine that has just started
    assert not driver.running_ids()
    assert 0 < len(considered) < 1000


def test_a_status_note_of_waiting_for_a_load_diverts_its_data_set():
    driver = Driver(make_agreement(profile(waits_for_loads=True), cores_by_kind=(40.0, 40.0)))
    driver.update_engines(*FOUR_READY_ENGINES)
    first = driver.submit()
    engine = driver.commands[first].open_attempt.engine
    driver.gateway.attempt_status(driver.now, first, 0, StatusKind.WAITING, 2.0)
    same = [command_id for command_id in (driver.submit() for _ in range(40)) if command_id % 5 == first % 5]
    assert all(driver.commands[command_id].open_attempt.engine != engine for command_id in same)


def test_a_late_status_note_of_an_earlier_attempt_locks_nothing_on_the_next_engine():
    """Guards against avoiding an engine for a data set that nothing loads there."""
    driver = Driver(make_agreement(profile(waits_for_loads=True), cores_by_kind=(40.0, 40.0)))
    driver.update_engines(*FOUR_READY_ENGINES)
    command_id = driver.submit()
    driver.end_attempt(command_id, Outcome.CONNECT_FAILED)
    command = driver.gateway.commands[command_id]
    assert command.attempts == 2
    driver.gateway.attempt_status(driver.now, command_id, 0, StatusKind.WAITING, 2.0)
    locks = driver.gateway.components.placement.locks
    assert not locks.is_locked(command.engine, command.dataset, driver.now)
    driver.gateway.attempt_status(driver.now, command_id, 1, StatusKind.WAITING, 2.0)
    assert locks.is_locked(command.engine, command.dataset, driver.now)


def test_an_engine_in_a_reused_slot_does_not_inherit_the_locks_of_the_one_before():
    """Guards against avoiding a newly listed engine for a data set that was locked on another one."""
    driver = Driver(make_agreement(profile(waits_for_loads=True)))
    driver.now += 20_000 * MS
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    removed = driver.gateway.components.engines.by_id[1]
    locks = driver.gateway.components.placement.locks
    locks.lock(removed, 7, driver.now + 60_000 * MS)
    driver.update_engines((2, 0, 0, EngineState.READY, 0, 0), full=True)
    driver.update_engines((3, 0, 0, EngineState.READY, 0, 0))
    successor = driver.gateway.components.engines.by_id[3]
    assert successor.slot == removed.slot
    assert not locks.is_locked(successor, 7, driver.now)


def test_the_engines_considered_for_a_command_hardly_grow_with_their_number():
    considered_counts = []
    for size in (10, 200):
        driver = Driver(make_agreement(gateways=300, tenants=BUSY_TENANT))
        driver.update_engines(*[(engine_id, 0, 0, EngineState.READY, 0, 0) for engine_id in range(size)])
        may_take, calls = driver.gateway.components.placement.may_take, [0]
        driver.gateway.components.placement.may_take = lambda *args, may_take=may_take, calls=calls: (
            calls.append(0),
            may_take(*args),
        )[1]
        for _ in range(100):
            driver.end_attempt(driver.submit(), Outcome.ANSWERED)
            driver.now += 50 * MS
        considered_counts.append(len(calls))
    assert considered_counts[1] < 1.2 * considered_counts[0]


def test_gateways_agree_on_the_preferred_engines_of_a_data_set():
    used = set()
    for seed in range(20):
        driver = Driver(make_agreement(gateways=300, tenants=BUSY_TENANT), seed)
        driver.update_engines(*FORTY_READY_ENGINES)
        for _ in range(5):
            command_id = driver.submit()
            if command_id % 5 == 0:
                used.add(driver.commands[command_id].open_attempt.engine)
            driver.end_attempt(command_id, Outcome.ANSWERED)
    assert len(used) <= 16  # twenty attempts, one by each gateway, with forty engines


def test_loads_avoid_the_engines_that_read_their_data_set():
    agreement = make_agreement(
        profile(waits_for_loads=True), profile(loads_dataset=True, objective_us=9000 * MS)
    )
    driver = Driver(agreement)
    driver.update_engines(*FORTY_READY_ENGINES)
    engines_used = ({}, {})
    for i in range(400):
        command_id = driver.submit(i % 2)
        engines_used[i % 2].setdefault(command_id % 5, set()).add(
            driver.commands[command_id].open_attempt.engine
        )
        driver.end_attempt(command_id, Outcome.ANSWERED)
    assert all(not engines_used[0][dataset] & engines_used[1][dataset] for dataset in engines_used[0])


def test_engines_of_all_zones_are_drawn_under_pressure():
    used_zones = []
    for latency in (WORK, 4 * WORK):
        driver = Driver(
            make_agreement(profile(objective_us=60_000 * MS, timeout_us=90_000 * MS), cross_zone_costs=True)
        )
        driver.update_engines(*((ident, ident % 2, 0, EngineState.READY, 0, 0) for ident in range(2, 8)))
        answer_commands(driver, 5, 0.5)
        answer_commands(driver, 20, 0.5, latency)
        for _ in range(6):
            driver.submit()
        used_zones.append(
            {
                driver.engines[driver.commands[ident].open_attempt.engine].zone
                for ident in driver.running_ids()
            }
        )
    assert used_zones == [{0}, {0, 1}]
