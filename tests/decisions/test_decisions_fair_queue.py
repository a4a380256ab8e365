"""The fair queue: tenants are served in turn, by weight."""

from driver import MS, Driver, make_agreement, profile
from scenarios import make_command

from gullhold.decisions.command import CommandState
from gullhold.decisions.fair_queue import FairQueue
from gullhold.interface import EngineState, Outcome, Tenant


def dispatched_of_two_tenants(shares, submitted_count, answered_count):
    """Return how many commands of each of two tenants are dispatched while commands are answered in turn."""
    driver = Driver(
        make_agreement(
            profile(objective_us=60_000 * MS, timeout_us=90_000 * MS),
            tenants=tuple(Tenant(share) for share in shares),
        )
    )
    driver.update_engines((1, 0, 1, EngineState.READY, 0, 0))
    for i in range(submitted_count):
        driver.submit(tenant=i % 2)
    dispatched = [0, 0]
    for _ in range(answered_count):
        command_id = driver.running_ids()[0]
        dispatched[(command_id - 1) % 2] += 1
        driver.now += 100 * MS
        driver.end_attempt(command_id, Outcome.ANSWERED)
    return dispatched


def test_tenants_are_served_by_weight_under_pressure():
    dispatched = dispatched_of_two_tenants((0.75, 0.25), submitted_count=400, answered_count=150)
    assert 0.6 < dispatched[0] / sum(dispatched) < 0.85


def test_tenants_that_all_have_no_weight_are_served_in_turn():
    """Guards against an exception at the end of a round, which made the dispatched command fail."""
    assert min(dispatched_of_two_tenants((0.0, 0.0), submitted_count=60, answered_count=40)) >= 10


def test_tenants_without_queued_commands_cost_no_time():
    agreement = make_agreement(tenants=tuple(Tenant(1e-5) for _ in range(100_000)))
    driver = Driver(agreement)
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0), full=True)
    for tenant in (7, 70_000, 99_999):
        for _ in range(30):
            driver.submit(tenant=tenant)
    queue = driver.gateway.components.queue
    assert set(queue.by_tenant) == {7, 70_000, 99_999}
    while driver.running_ids():
        driver.end_attempt(driver.running_ids()[0], Outcome.ANSWERED)
    assert not queue.by_tenant
    assert set(queue.pace_averages) | set(queue.dispatched) | set(queue.quotas) <= {
        7,
        70_000,
        99_999,
    }
    for tenant in range(2000):  # each submits a single command: their counts decay
        driver.submit(tenant=tenant)
        driver.end_attempt(driver.running_ids()[0], Outcome.ANSWERED)
    assert len(queue.dispatched) < 100


def test_a_queue_returns_the_command_with_the_most_benefit_and_skips_invalid_entries():
    queue = FairQueue(make_agreement(tenants=(Tenant(0.75), Tenant(0.25))))
    assert list(queue.weights) == [3.0, 1.0]
    low, high = make_command(1), make_command(2)
    for command in (low, high):
        command.state = CommandState.QUEUED
    queue.push(low, 1.0)
    queue.push(high, 5.0)
    (heap, _) = queue.queues_of(0)
    assert queue.first(heap) is high
    queue.push(high, 0.5)  # its benefit is lower now: its earlier entry is invalid
    assert queue.first(heap) is low
    low.state = high.state = CommandState.ENDED
    assert queue.first(heap) is None
    assert not heap
    queue.drop_if_empty(0)
    assert not queue.by_tenant
