"""Lists of engines and their rankings, which must equal newly made ones after any changes."""

from random import Random
from typing import NamedTuple

import pytest

from gullhold.decisions import ranking
from gullhold.decisions.ranking import (
    MAX_CACHED_RANKINGS,
    MAX_RANKED_ENGINES,
    RING_SALT,
    RING_START_SALT,
    EngineList,
    Ranking,
    hash_pair,
)


class ListedEngine(NamedTuple):
    """The attributes of an engine that a list uses."""

    id: int
    slot: int
    sequence: int


@pytest.mark.parametrize("changes", [5, 40, 2000])
def test_lists_and_rankings_equal_new_ones_after_any_changes(changes):
    random, engine_list, expected = Random(changes), EngineList(), {}
    for step in range(changes):
        slot = random.randrange(60)
        present = random.random() < 0.6
        # The slot of a removed engine is taken by an engine with another id.
        engine = expected.get(slot, ListedEngine(step * 7919, slot, step))
        engine_list.set_present(engine, present)
        if present:
            expected[slot] = engine
        else:
            expected.pop(slot, None)
        assert list(engine_list) == sorted(expected.values(), key=lambda each: each.sequence)
        assert len(engine_list) == len(expected)
        if random.random() < 0.4:
            dataset = random.randrange(MAX_CACHED_RANKINGS + 20) if step % 3 else 5
            ranked = engine_list.ranked(dataset)
            expected_keys = sorted((hash_pair(each.id, dataset), each.slot) for each in expected.values())
            assert ranked.keys == expected_keys
            assert ranked.engines == [expected[slot] for _, slot in expected_keys]
            for at, (_, slot) in enumerate(expected_keys):
                assert ranked.is_within(range(at, at + 1), expected[slot])
                assert not ranked.is_within(range(at), expected[slot])


def test_a_change_of_one_engine_does_not_rank_all_engines_anew(monkeypatch):
    """Guards against sorting thousands of engines for each change of one entry."""
    engine_list, built = EngineList(), []
    engines = [ListedEngine(slot * 7919, slot, slot) for slot in range(3200)]
    for engine in engines:
        engine_list.set_present(engine, True)
    monkeypatch.setattr(ranking, "MAX_RANKED_ENGINES", 10_000)
    build = Ranking.build
    monkeypatch.setattr(
        Ranking, "build", lambda self, members: (built.append(len(members)), build(self, members))
    )
    for slot in range(200):
        engine_list.set_present(engines[slot], False)
        engine_list.set_present(ListedEngine(slot * 104729 + 1, slot, 4000 + slot), True)
        engine_list.ranked(17)
    assert built == [3200]


def test_the_log_of_changes_stays_bounded_while_engines_come_and_go():
    engine_list, slots, present = EngineList(), 80, {}
    for step in range(5000):
        engine = present.setdefault(step % slots, ListedEngine(step, step % slots, step))
        engine_list.set_present(engine, True)
        oldest = present.pop((step + 1) % slots, None)
        if oldest:
            engine_list.set_present(oldest, False)
    assert len(engine_list.changes) <= len(engine_list) + MAX_CACHED_RANKINGS + 1
    assert len(engine_list) < slots


def test_each_data_set_starts_at_its_own_position_of_the_shared_ring_in_a_long_list():
    engine_list, size = EngineList(), 2 * MAX_RANKED_ENGINES
    engines = [ListedEngine(slot * 7919, slot, slot) for slot in range(size)]
    for engine in engines:
        engine_list.set_present(engine, True)
    order = sorted(engines, key=lambda each: (hash_pair(each.id, RING_SALT), each.slot))
    for dataset in range(20):
        ranked, preferred = engine_list.ranked(dataset), range(30)
        start = sum(hash_pair(each.id, RING_SALT) < hash_pair(dataset, RING_START_SALT) for each in engines)
        assert [ranked.at(position) for position in range(size)] == order[start:] + order[:start]
        for position in range(size):
            each = ranked.at(position)
            assert ranked.is_within(preferred, each) == (position in preferred)
    assert list(engine_list.rankings) == [RING_SALT]  # no ranking is kept for a single data set
    engine_list.set_present(engines[7], False)
    assert not engine_list.ranked(3).is_within(range(size), engines[7])
