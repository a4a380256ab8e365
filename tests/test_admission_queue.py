"""The admission queue with simulated time: order, expiry, bounds and known rejections."""

from admission_simulation import MS, SECOND, AdmissionSimulation, CommandEnd, Stage, keep_open
from hypothesis import given, settings
from hypothesis import strategies as st

from gullhold.admission_interface import Forward, Reject

STEP = st.tuples(st.integers(0, 9), st.integers(0, 7), st.integers(0, 1), st.integers(0, 3))


@settings(max_examples=80, derandomize=True, deadline=None)
@given(st.lists(STEP, min_size=20, max_size=150), st.integers(1, 3), st.integers(0, 99))
def test_nothing_is_lost_or_decided_twice_and_all_stays_bounded_at_every_step(steps, slots, seed):
    simulation = AdmissionSimulation(
        "door: {waiting: 24, exact: 8, shared: 4, redeal: 1s, window: 2, held: 6}",
        slots=slots,
        ordered=(False, True),
        seed=seed,
    )
    for act, client, profile_index, key in steps:
        if act < 6:
            simulation.submit(
                b"c:%d" % client,
                client % 2,
                profile_index,
                key,
                timeout_us=(act + 1) * 100 * MS,
                is_retry=act == 5,
                estimate_factor=(0.1, 1.0, 10.0)[key % 3],
            )
        elif act < 8:
            simulation.wait(act * 10 * MS)
        elif act == 8 and simulation.open_commands:
            simulation.client_left(sorted(simulation.open_commands)[client % len(simulation.open_commands)])
        else:
            simulation.queue.set_weights((0.1 + key, 0.5), {str(client): 1.0 + key})
    simulation.wait(10 * SECOND)
    assert not simulation.open_commands
    assert len(simulation.ends) == simulation.last_id


def test_tables_stay_small_when_thousands_of_tenants_send_one_command_each():
    simulation = AdmissionSimulation(weights=[1.0] * 5000, slots=8)
    for tenant in range(5000):
        simulation.queue.submit(
            simulation.now, tenant, tenant, b"c:%d" % tenant, 0, 0, 100, 10, simulation.now + SECOND, False
        )
        for decision in simulation.queue.take_ready(simulation.now):
            assert isinstance(decision, Forward)
            command_id = decision.command
            simulation.queue.attempt_sent(command_id)
            simulation.queue.attempt_ended(simulation.now, command_id, 100, True)
            simulation.queue.command_ended(simulation.now, command_id)
        simulation.now += 100
        assert len(simulation.queue.flow_table.tenants) < 600
        assert len(simulation.queue.forwarded_by_tenant_profile) <= simulation.record.held
    assert simulation.queue.flow_table.exact_flow_count <= 2, (
        f"{simulation.queue.flow_table.exact_flow_count} exact flows, although each client sent one command;"
        " at most 2 expected"
    )


def test_waiting_commands_are_shed_shortly_before_their_client_timeout():
    simulation = AdmissionSimulation(weights=(1.0,), slots=1)
    submitted = [simulation.submit(work=SECOND, timeout_us=3 * SECOND) for _ in range(8)]
    simulation.wait(8 * SECOND)
    assert set(submitted) <= set(simulation.ends)
    assert CommandEnd.REJECTED in simulation.ends.values()
    at = [at for at, decision in simulation.results if isinstance(decision, Reject)]
    assert all(SECOND + 2900 * MS <= rejected_at <= 4 * SECOND for rejected_at in at)


def test_the_queue_is_empty_when_all_clients_have_left():
    simulation = AdmissionSimulation(weights=(1.0,), slots=1)
    submitted = [simulation.submit(b"c:%d" % (i % 3)) for i in range(30)]
    for command_id in reversed(submitted):
        if command_id in simulation.open_commands:
            simulation.client_left(command_id)
    assert not simulation.queue.commands
    assert not simulation.queue.queued_count
    assert not simulation.queue.forwarded_count
    assert simulation.queue.flow_table.fair_queue.backlogged_count == 0


def test_a_profile_at_its_forwarding_limit_does_not_block_another():
    """A command of profile 1 is forwarded although those of profile 0, queued before it, are at the limit."""
    simulation = AdmissionSimulation(weights=(1.0,), slots=0)
    for _ in range(10):
        simulation.submit(profile_index=0)
    command_id = simulation.submit(profile_index=1)
    assert simulation.open_commands[command_id].stage is Stage.FORWARDED


def test_commands_with_one_ordering_key_keep_their_order_across_clients():
    simulation = AdmissionSimulation(weights=(1.0,), ordered=(True, False), slots=1)
    for i in range(12):  # AdmissionSimulation checks the order when they are forwarded
        simulation.submit(b"c:%d" % (i % 4), ordering_key=7)
        simulation.submit(b"c:%d" % (i % 4), ordering_key=0)
    simulation.wait(10 * SECOND)
    assert not simulation.open_commands


def test_known_rejections_are_short_and_bounded_and_only_for_flows_without_a_retry_after_time():
    simulation = AdmissionSimulation("door: come_back: each: 1", weights=(1.0,), slots=1)
    keep_open(simulation, 3 * SECOND, **{"c:a": 60})
    assert set(simulation.queue.known_rejections) == {(0, b"c:a", 0)}
    until, first_retry_at = simulation.queue.known_rejections[0, b"c:a", 0]
    assert until <= simulation.now + 50 * MS
    assert first_retry_at is None or first_retry_at > 0
    for i in range(3000):  # more names than fit
        command = next(iter(simulation.queue.commands.values()))
        command.client = b"%d" % i
        simulation.queue.rejections.record(command, simulation.now, 1000)
    assert len(simulation.queue.known_rejections) <= 2 * simulation.record.exact


def test_no_command_is_rejected_under_light_load_of_two_profiles():
    """Guards against a drain rate that is also measured while nothing waits, or over all profiles together.

    With such a rate, lookups (commands of profile 0) were rejected here.
    """
    simulation = AdmissionSimulation(weights=(1.0,), slots=8, checked=False)
    for i in range(200):  # 10 to 40 lookups a second, where 160 can run
        for _ in range(4 if i % 5 == 0 else 1):
            simulation.submit(work=50 * MS)
        if i % 4 == 0:
            simulation.submit(profile_index=1, work=900 * MS, timeout_us=20 * SECOND)
        simulation.wait(100 * MS)
    simulation.wait(5 * SECOND)
    assert set(simulation.ends.values()) == {CommandEnd.ANSWERED}
