"""The lists of engines and their ranks: after any changes they are as if made anew."""

from random import Random

import pytest

from gullhold.ranking import RANKINGS_MOST, EngineList, Ranking, mix


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
            ranking = kept.ranked(dataset)
            want = sorted((mix(ident, dataset), engine) for engine, (_, ident) in truth.items())
            assert ranking.keys == want and ranking.engines == [engine for _, engine in want]
            for at, (_, one) in enumerate(want):
                assert ranking.stands_in(range(at, at + 1), truth[one][1], one)
                assert not ranking.stands_in(range(at), truth[one][1], one)


def test_work_after_a_change_does_not_grow_with_the_fleet(monkeypatch):
    """A rank of thousands was sorted anew for each change of the list of one."""
    kept, built = EngineList(), []
    for engine in range(3200):
        kept.set(engine, engine, engine * 7919, True)
    build = Ranking.build
    monkeypatch.setattr(Ranking, "build", lambda self, members: (built.append(len(members)),
                                                                build(self, members)))
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
