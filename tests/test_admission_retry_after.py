"""Retry-After of the admission queue: clients that wait for it and clients that retry at once."""

import random
from typing import NamedTuple

import pytest
from admission_world import MS, SECOND, CommandEnd, World, keep_open


class DueRetry(NamedTuple):
    """A retry that a client will send; attempts: how often the command was sent before."""

    due_at: int
    client: bytes
    attempts: int


class Overload(NamedTuple):
    """What became of the retries of a run: the part that was answered, and how many there were."""

    answered_part: float
    retry_count: int
    world: World


def overload(waits_for_retry_after: bool, seed: int) -> Overload:
    """Twenty seconds of twice the load that the slots can do; rejected commands are retried up to twice."""
    world = World("door: patience: 0.9", weights=(1.0,), seed=seed, checked=False)
    draw, next_at = random.Random(seed), world.now
    due_retries: list[DueRetry] = []
    retry_ids: list[int] = []
    attempts_by_id: dict[int, int] = {}
    until = world.now + 20 * SECOND
    while world.now < until:
        while next_at <= world.now:  # 160 commands a second, from twenty clients, at four slots of 50 ms
            next_at += int(draw.expovariate(160 / SECOND))
            attempts_by_id[world.submit(b"c:%d" % draw.randrange(20), timeout_us=2 * SECOND)] = 1
        for retry in [retry for retry in due_retries if retry.due_at <= world.now]:
            due_retries.remove(retry)
            retry_ids.append(world.submit(retry.client, timeout_us=2 * SECOND, is_retry=True))
            attempts_by_id[retry_ids[-1]] = retry.attempts + 1
        for ident in [ident for ident in attempts_by_id if ident in world.ends]:
            attempts = attempts_by_id.pop(ident)
            wait_us = world.retry_after_us.get(ident, 0) if waits_for_retry_after else 1
            if world.ends[ident] == CommandEnd.REJECTED and attempts < 3 and wait_us:
                due_retries.append(DueRetry(world.now + wait_us, world.clients[ident], attempts))
        world.wait(5 * MS)
    world.wait(4 * SECOND)
    answered = sum(world.ends[ident] == CommandEnd.ANSWERED for ident in retry_ids)
    return Overload(answered / len(retry_ids), len(retry_ids), world)


@pytest.mark.parametrize("seed", [1, 2])
def test_those_who_come_back_when_told_mostly_succeed_those_at_once_do_not(seed):
    told, many, world = overload(True, seed)
    assert many > 50, (told, many)
    assert told >= 0.9, (told, many)
    assert world.queue.retry_scheduler.window_count <= world.rule.come_back.all
    at_once, others, _ = overload(False, seed)
    assert others > many
    assert at_once < told


def test_one_who_comes_back_too_early_gains_nothing_and_pushes_nobody_back():
    world = World("door: patience: 0.5", weights=(1.0,), slots=1)
    keep_open(world, 3 * SECOND, a=60)
    refused = [
        ident
        for ident, how in world.ends.items()
        if how == CommandEnd.REJECTED and world.retry_after_us[ident]
    ]
    assert refused
    book = next(iter(world.queue.flow_table.tenants.values())).flows[b"a"].retries
    while world.queue.retry_scheduler.use_window(book, world.now):  # those that are due by now
        pass
    before = list(book.windows), book.next_begin_us
    early = world.last_id
    for _ in range(20):
        world.submit(b"a", is_retry=True)
        assert (list(book.windows), book.next_begin_us) == before
    assert CommandEnd.REJECTED in [how for ident, how in world.ends.items() if ident > early]
