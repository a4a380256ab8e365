"""Start times of engines when the local wall clock is off: no engine may be taken for warmer than it is."""

import pytest

from gullhold.interface import EngineEntry, EngineState
from gullhold.net.start_times import MAX_EVENT_DELAY_US, StartTimes

S = 1_000_000  # a second, in us
NOW = 1_790_000_000 * S  # us of Unix time, by our clock


def entry_of(engine_id, started_us):
    """Return an entry of the endpoint list; only its id and its start time matter here."""
    return EngineEntry(engine_id, 0, 1.0, 0, EngineState.READY, 0, started_us)


def corrected_start(starts, now, engine_id, started_us, is_watch_event=True):
    """Apply an entry with this start time; return the corrected start time of its engine."""
    return {
        entry.id: entry.started_us
        for entry in starts.correct(now, [entry_of(engine_id, started_us)], is_watch_event)
    }[engine_id]


@pytest.mark.parametrize("off_s", [-3600, -5, -1, 0, 1, 5, 3600])
def test_age_is_never_overestimated_when_a_watch_event_reports_the_start(off_s):
    """A clock an hour ahead made cold engines look warm for an hour, one behind made warm ones look cold."""
    starts, off = StartTimes(), off_s * S
    for n, delay in enumerate((2 * S, S // 10, 3 * S, S // 100)):
        real_now = NOW + 20 * S * n
        start_us = corrected_start(starts, real_now + off, n, real_now - delay)
        age = real_now + off - start_us
        assert 0 <= age <= delay
        assert age >= delay - 2 * S  # too low by at most the shortest delay of an event so far


def test_start_time_only_becomes_earlier_when_the_same_start_is_reported_again():
    starts = StartTimes()
    first = corrected_start(starts, NOW, 1, NOW - 2 * S)
    assert first == NOW
    # A watch event with a shorter delay: the local clock is not ahead after all.
    corrected_start(starts, NOW + S, 2, NOW + S - 1000)
    assert corrected_start(starts, NOW + 2 * S, 1, NOW - 2 * S) == NOW - 2 * S + 1000


def test_zero_start_time_is_kept_and_a_removed_engine_is_forgotten():
    starts = StartTimes()
    assert corrected_start(starts, NOW, 1, 0) == 0
    corrected_start(starts, NOW, 2, NOW - S)
    starts.forget(2)
    assert not starts.start_times
    assert not starts.unconfirmed


@pytest.mark.parametrize("off_s", [-3600, 3600])
def test_configured_start_times_are_corrected_when_a_watch_event_shows_that_the_clock_is_off(off_s):
    starts, off = StartTimes(), off_s * S
    corrected_start(starts, NOW + off, 1, NOW - 3 * S, is_watch_event=False)
    entries = starts.correct(NOW + S + off, [entry_of(2, NOW + S - 1000)], is_watch_event=True)
    start_times = {entry.id: entry.started_us for entry in entries}
    assert 0 <= NOW + S + off - start_times[1] <= 4 * S
    assert start_times[1] == NOW + off - 3 * S + 1000


def test_configured_start_times_are_kept_when_the_clock_is_right():
    starts = StartTimes()
    assert corrected_start(starts, NOW, 1, NOW - 3 * S, is_watch_event=False) == NOW - 3 * S
    assert (
        len(starts.correct(NOW + S, [entry_of(2, NOW + S - MAX_EVENT_DELAY_US // 2)], is_watch_event=True))
        == 1
    )
