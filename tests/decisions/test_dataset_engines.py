"""Engines that data sets prefer, recent engines of data sets, and locks by loads."""

from driver import START

from gullhold.decisions.dataset_engines import MAX_COUNTED_COMMANDS, DatasetPopularity, RecentEngines
from gullhold.decisions.dataset_locks import DatasetLocks
from gullhold.decisions.engine import Engine


def test_popular_data_sets_prefer_more_engines_and_counts_are_halved_at_the_maximum():
    popularity = DatasetPopularity()
    assert popularity.preferred_engine_count(1, 100) == 3
    assert popularity.preferred_engine_count(1, 2) == 2
    for _ in range(MAX_COUNTED_COMMANDS):
        popularity.record(1)
    assert popularity.preferred_engine_count(1, 50) == 50
    popularity.record(2)
    assert popularity.preferred_engine_count(2, 100) == 3  # its count of one command is too low to show
    assert popularity.preferred_engine_count(1, 1000) > 900


def test_the_last_four_engines_of_a_data_set_are_remembered():
    recent = RecentEngines()
    for slot in (1, 2, 2, 3, 4, 5):
        recent.record_answer(9, Engine(slot, slot, slot))
    assert list(recent.slots(9)) == [2, 3, 4, 5]
    assert recent.slots(8) is None


def test_a_data_set_is_locked_until_its_load_ends():
    locks, engine = DatasetLocks(), Engine(1, 0, 1)
    locks.lock(engine, 5, START)
    assert locks.is_locked(engine, 5, START - 1)
    assert not locks.is_locked(engine, 6, START - 1)
    assert not locks.is_locked(engine, 5, START)
