"""The admission queue alone: order, deadlines, bounds and known rejections."""

from admission_world import MS, SECOND, CommandEnd, Stage, World, keep_open
from hypothesis import given, settings
from hypothesis import strategies as st

from gullhold.admission_interface import Forward, Reject

STEP = st.tuples(st.integers(0, 9), st.integers(0, 7), st.integers(0, 1), st.integers(0, 3))


@settings(max_examples=80, derandomize=True, deadline=None)
@given(st.lists(STEP, min_size=20, max_size=150), st.integers(1, 3), st.integers(0, 99))
def test_nothing_is_lost_or_decided_twice_and_all_stays_bounded_at_every_step(steps, slots, seed):
    world = World(
        "door: {waiting: 24, exact: 8, shared: 4, redeal: 1s, window: 2, held: 6}",
        slots=slots,
        ordered=(False, True),
        seed=seed,
    )
    for act, client, kind, key in steps:
        if act < 6:
            world.submit(
                b"c:%d" % client,
                client % 2,
                kind,
                key,
                timeout_us=(act + 1) * 100 * MS,
                is_retry=act == 5,
                estimate_factor=(0.1, 1.0, 10.0)[key % 3],
            )
        elif act < 8:
            world.wait(act * 10 * MS)
        elif act == 8 and world.open_commands:
            world.client_left(sorted(world.open_commands)[client % len(world.open_commands)])
        else:
            world.queue.set_weights((0.1 + key, 0.5), {str(client): 1.0 + key})
    world.wait(10 * SECOND)
    assert not world.open_commands
    assert len(world.ends) == world.last_id


def test_thousands_of_tenants_that_send_once_leave_nothing_behind():
    world = World(weights=[1.0] * 5000, slots=8)
    for tenant in range(5000):
        world.queue.submit(
            world.now, tenant, tenant, b"c:%d" % tenant, 0, 0, 100, 10, world.now + SECOND, False
        )
        for decision in world.queue.take_ready(world.now):
            assert isinstance(decision, Forward)
            ident = decision.command
            world.queue.attempt_sent(ident)
            world.queue.attempt_ended(world.now, ident, 100, True)
            world.queue.command_ended(world.now, ident)
        world.now += 100
        assert len(world.queue.flow_table.tenants) < 600
        assert len(world.queue.forwarded_by_tenant_profile) <= world.rule.held
    assert world.queue.flow_table.exact_flow_count <= 2, "one-off clients took queues of their own"


def test_what_is_due_here_is_answered_in_time_by_a_shed():
    world = World(weights=(1.0,), slots=1)
    first = [world.submit(work=SECOND, timeout_us=3 * SECOND) for _ in range(8)]
    world.wait(8 * SECOND)
    assert set(first) <= set(world.ends)
    assert CommandEnd.REJECTED in world.ends.values()
    at = [at for at, decision in world.results if isinstance(decision, Reject)]
    assert all(SECOND + 2900 * MS <= when <= 4 * SECOND for when in at)


def test_a_client_that_leaves_takes_its_commands_along():
    world = World(weights=(1.0,), slots=1)
    many = [world.submit(b"c:%d" % (i % 3)) for i in range(30)]
    for ident in reversed(many):
        if ident in world.open_commands:
            world.client_left(ident)
    assert not world.queue.commands
    assert not world.queue.queued_count
    assert not world.queue.forwarded_count
    assert world.queue.flow_table.fair_queue.backlogged_count == 0


def test_one_profile_that_can_not_go_does_not_hold_up_another():
    """The decisions had no use for more loads: the client's lookups behind them are still forwarded."""
    world = World(weights=(1.0,), slots=0)
    for _ in range(10):
        world.submit(profile_index=0)
    ident = world.submit(profile_index=1)
    assert world.open_commands[ident].stage is Stage.FORWARDED


def test_keyed_commands_of_several_clients_keep_their_order():
    world = World(weights=(1.0,), ordered=(True, False), slots=1)
    for i in range(12):  # checked where they are handed on
        world.submit(b"c:%d" % (i % 4), ordering_key=7)
        world.submit(b"c:%d" % (i % 4), ordering_key=0)
    world.wait(10 * SECOND)
    assert not world.open_commands


def test_what_is_shut_is_only_what_would_be_turned_away_with_no_word_and_only_shortly():
    world = World("door: come_back: each: 1", weights=(1.0,), slots=1)
    keep_open(world, 3 * SECOND, **{"c:a": 60})
    assert set(world.queue.known_rejections) == {(0, b"c:a", 0)}
    until, first = world.queue.known_rejections[0, b"c:a", 0]
    assert until <= world.now + 50 * MS
    assert first is None or first > 0
    for i in range(3000):  # bounded whatever the names
        command = next(iter(world.queue.commands.values()))
        command.client = b"%d" % i
        world.queue.rejections.record(command, world.now, 1000)
    assert len(world.queue.known_rejections) <= 2 * world.rule.exact


def test_light_traffic_is_no_slow_drain_and_loads_before_it_hold_up_no_lookup():
    """The drain was measured over all time and profiles counted as one line: lookups were turned away."""
    world = World(weights=(1.0,), slots=8, checked=False)
    for i in range(200):  # ten a second where 160 can be done, now and then four together
        for _ in range(4 if i % 5 == 0 else 1):
            world.submit(work=50 * MS)
        if i % 4 == 0:
            world.submit(profile_index=1, work=900 * MS, timeout_us=20 * SECOND)
        world.wait(100 * MS)
    world.wait(5 * SECOND)
    assert set(world.ends.values()) == {CommandEnd.ANSWERED}
