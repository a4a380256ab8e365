"""The lists of engines and their ranks: after any changes they are as if made anew."""

from random import Random

import pytest

from gullhold.decisions import ranking
from gullhold.decisions.ranking import ARC, RANKED_MOST, RANKINGS_MOST, RING, EngineList, Ranking, mix


@pytest.mark.parametrize("changes", [5, 40, 2000])
def test_lists_and_ranks_after_any_changes_are_as_if_made_anew(changes):
    random, kept, truth = Random(changes), EngineList(), {}
    for step in range(changes):
        engine = random.randrange(60)
        present = random.random() < 0.6
        # A place given up is taken by another id, as engines come and go.
        sequence, ident = truth.get(engine, (step, step * 7919))
        kept.set(engine, sequence, ident, present)
        if present:
            truth[engine] = sequence, ident
        else:
            truth.pop(engine, None)
        assert list(kept) == sorted(truth, key=lambda one: truth[one][0]) and len(kept) == len(truth)
        if random.random() < 0.4:
            dataset = random.randrange(RANKINGS_MOST + 20) if step % 3 else 5
            found = kept.ranked(dataset)
            want = sorted((mix(ident, dataset), engine) for engine, (_, ident) in truth.items())
            assert found.keys == want and found.engines == [engine for _, engine in want]
            for at, (_, one) in enumerate(want):
                assert found.stands_in(range(at, at + 1), truth[one][1], one)
                assert not found.stands_in(range(at), truth[one][1], one)


def test_work_after_a_change_does_not_grow_with_the_fleet(monkeypatch):
    """A rank of thousands was sorted anew for each change of the list of one."""
    kept, built = EngineList(), []
    for engine in range(3200):
        kept.set(engine, engine, engine * 7919, True)
    monkeypatch.setattr(ranking, "RANKED_MOST", 10_000)
    build = Ranking.build
    monkeypatch.setattr(
        Ranking, "build", lambda self, members: (built.append(len(members)), build(self, members))
    )
    for engine in range(200):
        kept.set(engine, 0, 0, False)
        kept.set(engine, 4000 + engine, engine * 104729 + 1, True)
        kept.ranked(17)
    assert built == [3200]


def test_engines_that_nothing_hangs_on_are_forgotten_and_their_places_taken():
    kept, places = EngineList(), 80
    for step in range(5000):
        kept.set(step % places, step, step, True)
        kept.set((step + 1) % places, 0, 0, False)
    assert len(kept.changes) <= len(kept) + RANKINGS_MOST + 1 and len(kept) < places


def test_in_a_large_list_each_data_set_has_its_own_stretch_of_one_order():
    kept, size = EngineList(), 2 * RANKED_MOST
    for engine in range(size):
        kept.set(engine, engine, engine * 7919, True)
    order = [engine for _, engine in sorted((mix(engine * 7919, RING), engine) for engine in range(size))]
    for dataset in range(20):
        found, homes = kept.ranked(dataset), range(30)
        start = sum(mix(engine * 7919, RING) < mix(dataset, ARC) for engine in range(size))
        assert [found.at(place) for place in range(size)] == order[start:] + order[:start]
        for place in range(size):
            one = found.at(place)
            assert found.stands_in(homes, one * 7919, one) == (place in homes)
    assert list(kept.rankings) == [RING]  # no order is kept for a data set alone
    kept.set(7, 0, 0, False)
    assert not kept.ranked(3).stands_in(range(size), 7 * 7919, 7)
