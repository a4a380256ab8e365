"""The lists of engines and their ranks: after any changes they are as if made anew."""

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


class Listed(NamedTuple):
    """What a list needs of an engine."""

    id: int
    slot: int
    sequence: int


@pytest.mark.parametrize("changes", [5, 40, 2000])
def test_lists_and_ranks_after_any_changes_are_as_if_made_anew(changes):
    random, kept, truth = Random(changes), EngineList(), {}
    for step in range(changes):
        slot = random.randrange(60)
        present = random.random() < 0.6
        # A slot given up is taken by another id, as engines come and go.
        engine = truth.get(slot, Listed(step * 7919, slot, step))
        kept.set_present(engine, present)
        if present:
            truth[slot] = engine
        else:
            truth.pop(slot, None)
        assert list(kept) == sorted(truth.values(), key=lambda one: one.sequence)
        assert len(kept) == len(truth)
        if random.random() < 0.4:
            dataset = random.randrange(MAX_CACHED_RANKINGS + 20) if step % 3 else 5
            found = kept.ranked(dataset)
            want = sorted((hash_pair(one.id, dataset), one.slot) for one in truth.values())
            assert found.keys == want
            assert found.engines == [truth[slot] for _, slot in want]
            for at, (_, slot) in enumerate(want):
                assert found.is_within(range(at, at + 1), truth[slot])
                assert not found.is_within(range(at), truth[slot])


def test_work_after_a_change_does_not_grow_with_the_fleet(monkeypatch):
    """A ranking of thousands of engines was sorted anew for each change of one entry."""
    kept, built = EngineList(), []
    engines = [Listed(slot * 7919, slot, slot) for slot in range(3200)]
    for engine in engines:
        kept.set_present(engine, True)
    monkeypatch.setattr(ranking, "MAX_RANKED_ENGINES", 10_000)
    build = Ranking.build
    monkeypatch.setattr(
        Ranking, "build", lambda self, members: (built.append(len(members)), build(self, members))
    )
    for slot in range(200):
        kept.set_present(engines[slot], False)
        kept.set_present(Listed(slot * 104729 + 1, slot, 4000 + slot), True)
        kept.ranked(17)
    assert built == [3200]


def test_engines_that_nothing_hangs_on_are_forgotten_and_their_places_taken():
    kept, places, present = EngineList(), 80, {}
    for step in range(5000):
        engine = present.setdefault(step % places, Listed(step, step % places, step))
        kept.set_present(engine, True)
        oldest = present.pop((step + 1) % places, None)
        if oldest:
            kept.set_present(oldest, False)
    assert len(kept.changes) <= len(kept) + MAX_CACHED_RANKINGS + 1
    assert len(kept) < places


def test_in_a_large_list_each_data_set_has_its_own_stretch_of_one_order():
    kept, size = EngineList(), 2 * MAX_RANKED_ENGINES
    engines = [Listed(slot * 7919, slot, slot) for slot in range(size)]
    for engine in engines:
        kept.set_present(engine, True)
    order = sorted(engines, key=lambda one: (hash_pair(one.id, RING_SALT), one.slot))
    for dataset in range(20):
        found, homes = kept.ranked(dataset), range(30)
        start = sum(hash_pair(one.id, RING_SALT) < hash_pair(dataset, RING_START_SALT) for one in engines)
        assert [found.at(place) for place in range(size)] == order[start:] + order[:start]
        for place in range(size):
            one = found.at(place)
            assert found.is_within(homes, one) == (place in homes)
    assert list(kept.rankings) == [RING_SALT]  # no order is kept for a data set alone
    kept.set_present(engines[7], False)
    assert not kept.ranked(3).is_within(range(size), engines[7])
