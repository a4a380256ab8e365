"""Retry-After of the admission queue: clients that wait for it and clients that retry at once."""

import random

import pytest
from admission_world import MS, SECOND, World, crowd


def overload(manner, seed):
    """Twice what the slots can do for twenty seconds; of those who came back: (part answered, how many)."""
    world = World("door: patience: 0.9", weights=(1.0,), seed=seed, checked=False)
    draw, later, back, tries, at = random.Random(seed), [], [], {}, world.now
    until = world.now + 20 * SECOND
    while world.now < until:
        while at <= world.now:  # 160 commands a second, from twenty clients, at four slots of 50 ms
            at += int(draw.expovariate(160 / SECOND))
            tries[world.ask(b"c:%d" % draw.randrange(20), limit=2 * SECOND)] = 1
        for row in [row for row in later if row[0] <= world.now]:
            later.remove(row)
            back.append(world.ask(row[1], limit=2 * SECOND, repeat=True))
            tries[back[-1]] = row[2] + 1
        for ident in [ident for ident in tries if ident in world.ended]:
            count = tries.pop(ident)
            wait = world.told.get(ident, 0) if manner == "told" else 1
            if world.ended[ident] == "refused" and count < 3 and wait:
                later.append((world.now + wait, world.names[ident], count))
        world.wait(5 * MS)
    world.wait(4 * SECOND)
    return sum(world.ended[ident] == "answered" for ident in back) / len(back), len(back), world


@pytest.mark.parametrize("seed", [1, 2])
def test_those_who_come_back_when_told_mostly_succeed_those_at_once_do_not(seed):
    told, many, world = overload("told", seed)
    assert many > 50, (told, many)
    assert told >= 0.9, (told, many)
    assert world.queue.retry_scheduler.window_count <= world.rule.come_back.all
    at_once, others, _ = overload("at once", seed)
    assert others > many
    assert at_once < told


def test_one_who_comes_back_too_early_gains_nothing_and_pushes_nobody_back():
    world = World("door: patience: 0.5", weights=(1.0,), slots=1)
    crowd(world, 3 * SECOND, a=60)
    refused = [ident for ident, how in world.ended.items() if how == "refused" and world.told[ident]]
    assert refused
    book = next(iter(world.queue.flow_table.tenants.values())).flows[b"a"].retries
    while world.queue.retry_scheduler.use_window(book, world.now):  # those that are due by now
        pass
    before = list(book.windows), book.next_begin_us
    early = world.serial
    for _ in range(20):
        world.ask(b"a", repeat=True)
        assert (list(book.windows), book.next_begin_us) == before
    assert "refused" in [how for ident, how in world.ended.items() if ident > early]
