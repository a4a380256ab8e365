"""Which engine a command goes to."""

from driver import MS, START, WORK, Driver, make_agreement, profile
from scenarios import BUSY_TENANT, FORTY_READY_ENGINES, FOUR_READY_ENGINES, answer_commands

from gullhold.decisions.placement import Placement
from gullhold.interface import EngineState, Outcome, StatusKind


def test_in_a_large_fleet_commands_return_to_recently_used_engines_while_those_are_idle():
    """Each command went to another engine: a connection for each, and as many descriptors."""
    world, used = Driver(make_agreement()), set()
    world.update_engines(*[(ident, 0, 0, EngineState.READY, 0, 0) for ident in range(600)])
    for _ in range(200):
        ident = world.submit()
        used.add(world.commands[ident].open_attempt.engine)
        world.now += 50 * MS
        world.end_attempt(ident, Outcome.ANSWERED)
    assert len(used) <= 5 * 6  # of five data sets, four each, and few more
    busy = [world.submit() for _ in range(60)]  # all at once: no engine is given two while others are idle
    engines = [world.commands[ident].open_attempt.engine for ident in busy]
    assert len(set(engines)) >= 55


def test_a_large_warming_fleet_is_not_scanned_for_each_command(monkeypatch):
    looked, may_take = [], Placement.may_take
    monkeypatch.setattr(
        Placement,
        "may_take",
        lambda self, command, engine, now: looked.append(engine) or may_take(self, command, engine, now),
    )
    world = Driver(make_agreement())
    world.update_engines(*[(ident, 0, 0, EngineState.READY, 0, START - 1) for ident in range(2000)])
    world.submit(work=2_000_000)  # too much for any of them while it is cold
    assert not world.running_ids()
    assert 0 < len(looked) < 1000


def test_a_status_report_of_waiting_for_a_load_diverts_its_data_set():
    world = Driver(make_agreement(profile(waits_for_loads=True), cores_by_kind=(40.0, 40.0)))
    world.update_engines(*FOUR_READY_ENGINES)
    first = world.submit()
    engine = world.commands[first].open_attempt.engine
    world.gateway.attempt_status(world.now, first, 0, StatusKind.WAITING, 2.0)
    same = [ident for ident in (world.submit() for _ in range(40)) if ident % 5 == first % 5]
    assert all(world.commands[ident].open_attempt.engine != engine for ident in same)


def test_a_late_status_report_of_an_earlier_attempt_locks_nothing_at_the_next_engine():
    """Guards against a data set that is avoided at an engine where nothing loads it."""
    world = Driver(make_agreement(profile(waits_for_loads=True), cores_by_kind=(40.0, 40.0)))
    world.update_engines(*FOUR_READY_ENGINES)
    ident = world.submit()
    world.end_attempt(ident, Outcome.CONNECT_FAILED)
    command = world.gateway.commands[ident]
    assert command.attempts == 2
    world.gateway.attempt_status(world.now, ident, 0, StatusKind.WAITING, 2.0)
    locks = world.gateway.components.placement.locks
    assert not locks.is_locked(command.engine, command.dataset, world.now)
    world.gateway.attempt_status(world.now, ident, 1, StatusKind.WAITING, 2.0)
    assert locks.is_locked(command.engine, command.dataset, world.now)


def test_an_engine_in_a_reused_slot_does_not_inherit_the_locks_of_the_one_before():
    """Guards against a data set that is avoided at an engine that has just come."""
    world = Driver(make_agreement(profile(waits_for_loads=True)))
    world.now += 20_000 * MS
    world.update_engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    removed = world.gateway.components.engines.by_id[1]
    locks = world.gateway.components.placement.locks
    locks.lock(removed, 7, world.now + 60_000 * MS)
    world.update_engines((2, 0, 0, EngineState.READY, 0, 0), full=True)
    world.update_engines((3, 0, 0, EngineState.READY, 0, 0))
    successor = world.gateway.components.engines.by_id[3]
    assert successor.slot == removed.slot
    assert not locks.is_locked(successor, 7, world.now)


def test_the_cost_of_a_command_hardly_grows_with_the_fleet():
    looks = []
    for size in (10, 200):
        world = Driver(make_agreement(gateways=300, tenants=BUSY_TENANT))
        world.update_engines(*[(ident, 0, 0, EngineState.READY, 0, 0) for ident in range(size)])
        may_take, count = world.gateway.components.placement.may_take, [0]
        world.gateway.components.placement.may_take = lambda *args, may_take=may_take, count=count: (
            count.append(0),
            may_take(*args),
        )[1]
        for _ in range(100):
            world.end_attempt(world.submit(), Outcome.ANSWERED)
            world.now += 50 * MS
        looks.append(len(count))
    assert looks[1] < 1.2 * looks[0]


def test_gateways_agree_on_the_preferred_engines_of_a_data_set():
    used = set()
    for seed in range(20):
        world = Driver(make_agreement(gateways=300, tenants=BUSY_TENANT), seed)
        world.update_engines(*FORTY_READY_ENGINES)
        for _ in range(5):
            ident = world.submit()
            if ident % 5 == 0:
                used.add(world.commands[ident].open_attempt.engine)
            world.end_attempt(ident, Outcome.ANSWERED)
    assert len(used) <= 16  # of twenty sends by twenty gateways over forty engines


def test_loads_avoid_the_engines_that_read_their_data_set():
    agreement = make_agreement(
        profile(waits_for_loads=True), profile(loads_dataset=True, objective_us=9000 * MS)
    )
    world = Driver(agreement)
    world.update_engines(*FORTY_READY_ENGINES)
    spots = ({}, {})
    for i in range(400):
        ident = world.submit(i % 2)
        spots[i % 2].setdefault(ident % 5, set()).add(world.commands[ident].open_attempt.engine)
        world.end_attempt(ident, Outcome.ANSWERED)
    assert all(not spots[0][dataset] & spots[1][dataset] for dataset in spots[0])


def test_under_pressure_engines_of_all_zones_are_drawn():
    went = []
    for latency in (WORK, 4 * WORK):
        world = Driver(
            make_agreement(profile(objective_us=60_000 * MS, timeout_us=90_000 * MS), cross_zone_costs=True)
        )
        world.update_engines(*((ident, ident % 2, 0, EngineState.READY, 0, 0) for ident in range(2, 8)))
        answer_commands(world, 5, 0.5)
        answer_commands(world, 20, 0.5, latency)
        for _ in range(6):
            world.submit()
        went.append(
            {world.fleet[world.commands[ident].open_attempt.engine].zone for ident in world.running_ids()}
        )
    assert went == [{0}, {0, 1}]
