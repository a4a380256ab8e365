"""Fair shares of clients and tenants in the admission queue, however many commands each has open."""

from collections import Counter

import pytest
from admission_simulation import MS, SECOND, AdmissionSimulation, CommandEnd, keep_open, queue_record

from gullhold.admission.client_identity import ClientIdentifier


def test_a_client_gets_its_share_however_many_a_crowding_one_has_open():
    for open_count in (40, 400):
        simulation = AdmissionSimulation(weights=(1.0,), checked=open_count == 40)
        keep_open(simulation, 6 * SECOND, polite=12, crowding=open_count)
        assert abs(simulation.work_done[b"polite"] / simulation.work_done.total() - 0.5) <= 0.05


def test_weights_of_clients_hold_also_when_they_change_under_load():
    simulation = AdmissionSimulation("door: weights: {one: 3}", weights=(1.0,), checked=False)
    keep_open(simulation, 6 * SECOND, **{"c:one": 20, "c:two": 20})
    assert abs(simulation.work_done[b"c:one"] / simulation.work_done.total() - 0.75) <= 0.05
    simulation.queue.set_weights((1.0,), {"two": 9})
    keep_open(simulation, 6 * SECOND, **{"c:one": 20, "c:two": 20})
    assert abs(simulation.work_done[b"c:two"] / simulation.work_done.total() - 0.9) <= 0.05


def test_shares_stay_even_when_estimates_are_wrong_by_a_factor_of_ten():
    simulation = AdmissionSimulation(weights=(1.0,), slots=8, checked=False)
    estimate_factors = {b"low": 0.1, b"true": 1.0, b"high": 10.0}
    until = simulation.now + 12 * SECOND
    while simulation.now < until:
        open_counts = Counter(command.client for command in simulation.open_commands.values())
        for name, factor in estimate_factors.items():
            for _ in range(20 - open_counts[name]):
                simulation.submit(name, estimate_factor=factor)
        simulation.wait(10 * MS)
        if simulation.now < until - 8 * SECOND:
            simulation.work_done.clear()
    shares = [simulation.work_done[name] / simulation.work_done.total() for name in estimate_factors]
    assert max(shares) - min(shares) <= 0.07, f"shares of work differ by more than 0.07: {shares}"


def test_tables_stay_bounded_and_a_steady_client_is_served_when_others_make_up_names():
    simulation = AdmissionSimulation("door: {exact: 16, shared: 8}", weights=(1.0,))
    until, made_up_count = simulation.now + 8 * SECOND, 0
    while simulation.now < until:
        open_count = sum(command.client == b"c:desk" for command in simulation.open_commands.values())
        for _ in range(4 - open_count):
            simulation.submit(b"c:desk", timeout_us=2 * SECOND)
        for _ in range(5):  # 500 new names a second, where 80 commands a second can run
            made_up_count += 1
            simulation.submit(b"c:made up %d" % made_up_count, timeout_us=2 * SECOND)
        simulation.wait(10 * MS)
        (queues,) = simulation.queue.flow_table.tenants.values()
        assert len(queues.flows) <= 16 + 2 * 8 + 16
        rows = queues.fair_queue.ahead + queues.fair_queue.eligible
        children = [row.child for row in rows] + [flow.child for flow in queues.flows.values()]
        assert len({id(child) for child in children}) <= 64, (
            f"{len({id(child) for child in children})} children, more than 64, are referenced: by stale rows?"
        )
    assert simulation.queue.flow_table.exact_flow_count <= 2
    assert simulation.work_done[b"c:desk"] >= 0.08 * simulation.work_done.total(), (
        f"the steady client, beside eight shared flows, got {simulation.work_done[b'c:desk']} of "
        f"{simulation.work_done.total()} us of work, which is less than 8 %"
    )


def test_a_client_gets_only_its_share_when_it_returns_with_a_burst_after_idling():
    simulation = AdmissionSimulation(weights=(1.0,), checked=False)
    keep_open(simulation, 2 * SECOND, away=10, steady=10)
    keep_open(simulation, 20 * SECOND, steady=10)
    simulation.work_done.clear()
    keep_open(simulation, 4 * SECOND, away=200, steady=10)
    assert abs(simulation.work_done[b"away"] / simulation.work_done.total() - 0.5) <= 0.06


def test_a_flow_that_is_parked_repeatedly_does_not_delay_one_that_sends_rarely():
    """A flow is parked while the profiles of its commands are at their forwarding limits, and unparked later.

    Guards against heap rows left from an earlier parking of a flow that unpark it again: the flow with many
    commands then went before all others, and the client that sends rarely had a median wait of 1.6 s.
    """
    simulation = AdmissionSimulation("door: window: 1", weights=(1.0,), slots=8, checked=False)
    waits, until = [], simulation.now + 6 * SECOND
    sent_at, next_at = {}, simulation.now + SECOND
    while simulation.now < until:
        open_count = sum(command.client == b"c:crowd" for command in simulation.open_commands.values())
        for _ in range(160 - open_count):
            simulation.submit(b"c:crowd")
        if next_at <= simulation.now:
            next_at += 125 * MS
            sent_at[simulation.submit(b"c:polite")] = simulation.now
        simulation.wait(2 * MS)
        waits += [
            simulation.now - sent_at.pop(command_id)
            for command_id in list(sent_at)
            if command_id in simulation.ends
        ]
    assert len(waits) > 30
    assert sorted(waits)[int(0.95 * len(waits))] <= 110 * MS


def test_a_client_gets_one_share_when_it_uses_a_thousand_connections():
    client_rule = queue_record('door: client: field: "desk"').client
    identifier = ClientIdentifier(client_rule, ["a"])
    names = {
        identifier.client_name({b"desk": b"many"}, None, "10.0.0.1", f"10.0.0.1:{port}")
        for port in range(1000)
    }
    assert len(names) == 1
    simulation = AdmissionSimulation(weights=(1.0,), checked=False)
    keep_open(simulation, 5 * SECOND, **{names.pop().decode(): 1000, "c:one": 12})
    assert abs(simulation.work_done[b"c:one"] / simulation.work_done.total() - 0.5) <= 0.05


@pytest.mark.parametrize("each, client_count", [("address", 1), ("connection", 1000)])
def test_clients_behind_one_address_are_told_apart_only_when_the_rule_is_by_connection(each, client_count):
    record = queue_record(f'door: client: networks: [{{net: "10.0.0.0/8", name: "nat", each: "{each}"}}]')
    identifier = ClientIdentifier(record.client, ["a"])
    names = [identifier.client_name({}, None, "10.0.0.1", f"10.0.0.1:{port}") for port in range(1000)]
    assert len(set(names)) == client_count
    simulation = AdmissionSimulation("door: {exact: 64, shared: 16}", weights=(1.0,), slots=16, checked=False)
    for i in range(4000):
        simulation.submit(names[i % 1000], work=20 * MS)
        if i % 3 == 0:
            simulation.wait(2 * MS)
        assert simulation.queue.flow_table.exact_flow_count <= 64
    (queues,) = simulation.queue.flow_table.tenants.values()
    assert len(queues.flows) <= 64 + 2 * 16
    simulation.wait(6 * SECOND)
    assert not simulation.open_commands


def test_a_tenant_whose_clients_retry_at_once_twice_takes_nothing_from_another():
    """Two tenants of equal share; rejected commands of one are retried at once, up to twice."""
    simulation = AdmissionSimulation(weights=(0.5, 0.5), slots=4, checked=False)
    until, retry_counts = simulation.now + 8 * SECOND, {}
    while simulation.now < until:
        for tenant, target in ((0, 12), (1, 60)):
            open_count = sum(command.tenant == tenant for command in simulation.open_commands.values())
            for _ in range(target - open_count):
                retry_counts[simulation.submit(b"c:%d" % tenant, tenant)] = 0
        for command_id in [
            command_id
            for command_id in retry_counts
            if simulation.ends.get(command_id) == CommandEnd.REJECTED
        ]:
            count = retry_counts.pop(command_id)
            if simulation.clients[command_id] == b"c:1" and count < 2:
                retry_counts[simulation.submit(b"c:1", 1, is_retry=True)] = count + 1
        simulation.wait(10 * MS)
    assert abs(simulation.work_done[b"c:0"] / simulation.work_done.total() - 0.5) <= 0.05
