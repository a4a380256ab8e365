"""Retry-After times of the admission queue: clients that wait for them, and clients that retry at once."""

import random
from typing import NamedTuple

import pytest
from admission_simulation import MS, SECOND, AdmissionSimulation, CommandEnd, keep_open


class DueRetry(NamedTuple):
    """A retry that a client will send; attempts: how often the command was sent before."""

    due_at: int
    client: bytes
    attempts: int


class Overload(NamedTuple):
    """Results of a run: the fraction of its retries that was answered, and their number."""

    answered_fraction: float
    retry_count: int
    simulation: AdmissionSimulation


def overload(waits_for_retry_after: bool, seed: int) -> Overload:
    """Run 20 s at twice the load that the slots can serve; rejected commands are retried up to twice.

    Retries wait for the Retry-After time, or else follow the rejection at once.
    """
    simulation = AdmissionSimulation("door: patience: 0.9", weights=(1.0,), seed=seed, checked=False)
    draw, next_at = random.Random(seed), simulation.now
    due_retries: list[DueRetry] = []
    retry_ids: list[int] = []
    attempts_by_id: dict[int, int] = {}
    until = simulation.now + 20 * SECOND
    while simulation.now < until:
        while next_at <= simulation.now:  # 160 commands a second from 20 clients; four slots serve 80
            next_at += int(draw.expovariate(160 / SECOND))
            attempts_by_id[simulation.submit(b"c:%d" % draw.randrange(20), timeout_us=2 * SECOND)] = 1
        for retry in [retry for retry in due_retries if retry.due_at <= simulation.now]:
            due_retries.remove(retry)
            retry_ids.append(simulation.submit(retry.client, timeout_us=2 * SECOND, is_retry=True))
            attempts_by_id[retry_ids[-1]] = retry.attempts + 1
        for command_id in [command_id for command_id in attempts_by_id if command_id in simulation.ends]:
            attempts = attempts_by_id.pop(command_id)
            # 1 us: the client retries at once; 0 us: it was given no Retry-After time and doesn't retry.
            wait_us = simulation.retry_after_us.get(command_id, 0) if waits_for_retry_after else 1
            if simulation.ends[command_id] == CommandEnd.REJECTED and attempts < 3 and wait_us:
                due_retries.append(
                    DueRetry(simulation.now + wait_us, simulation.clients[command_id], attempts)
                )
        simulation.wait(5 * MS)
    simulation.wait(4 * SECOND)
    answered = sum(simulation.ends[command_id] == CommandEnd.ANSWERED for command_id in retry_ids)
    return Overload(answered / len(retry_ids), len(retry_ids), simulation)


@pytest.mark.parametrize("seed", [1, 2])
def test_retries_mostly_succeed_after_the_retry_after_time_but_less_often_at_once(seed):
    answered_fraction, count, simulation = overload(True, seed)
    assert count > 50, f"{count} retries are too few for a check, 51 needed ({answered_fraction} answered)"
    assert answered_fraction >= 0.9, f"{answered_fraction} of {count} retries were answered, not 0.9 of them"
    assert simulation.queue.retry_scheduler.window_count <= simulation.record.come_back.all
    answered_fraction_at_once, count_at_once, _ = overload(False, seed)
    assert count_at_once > count
    assert answered_fraction_at_once < answered_fraction


def test_early_retries_get_rejected_and_leave_the_retry_windows_unchanged():
    simulation = AdmissionSimulation("door: patience: 0.5", weights=(1.0,), slots=1)
    keep_open(simulation, 3 * SECOND, a=60)
    rejected = [
        command_id
        for command_id, end in simulation.ends.items()
        if end == CommandEnd.REJECTED and simulation.retry_after_us[command_id]
    ]
    assert rejected
    retries = next(iter(simulation.queue.flow_table.tenants.values())).flows[b"a"].retries
    while simulation.queue.retry_scheduler.use_window(retries, simulation.now):  # the windows that have begun
        pass
    before = list(retries.windows), retries.next_begin_us
    last_id_before = simulation.last_id
    for _ in range(20):
        simulation.submit(b"a", is_retry=True)
        assert (list(retries.windows), retries.next_begin_us) == before
    assert CommandEnd.REJECTED in [
        end for command_id, end in simulation.ends.items() if command_id > last_id_before
    ]
