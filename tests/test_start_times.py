"""Starts of engines where this machine's wall clock is off: no engine is held warmer than it is."""

import pytest

from gullhold.interface import EngineEntry, EngineState
from gullhold.net.start_times import MAX_EVENT_DELAY_US, StartTimes

S = 1_000_000
NOW = 1_790_000_000 * S  # us of Unix time, by our clock


def row(ident, born):
    """An entry of the endpoint list; only its id and its start time matter here."""
    return EngineEntry(ident, 0, 1.0, 0, EngineState.READY, 0, born)


def started(starts, now, ident, born, news=True):
    """The corrected start time of one engine, after an entry with this start time."""
    return {entry.id: entry.started_us for entry in starts.correct(now, [row(ident, born)], news)}[ident]


@pytest.mark.parametrize("off_s", [-3600, -5, -1, 0, 1, 5, 3600])
def test_age_is_never_overestimated_when_a_watch_event_reports_the_start(off_s):
    """A clock ahead by an hour took a cold engine for warm, one behind a warm one for cold, for the hour."""
    starts, off = StartTimes(), off_s * S
    for n, delay in enumerate((2 * S, S // 10, 3 * S, S // 100)):
        real_now = NOW + 20 * S * n
        found = started(starts, real_now + off, n, real_now - delay)
        age = real_now + off - found
        assert 0 <= age <= delay
        assert age >= delay - 2 * S  # off by no more than the shortest delay seen


def test_start_time_only_becomes_earlier_when_the_same_start_is_reported_again():
    starts = StartTimes()
    first = started(starts, NOW, 1, NOW - 2 * S)
    assert first == NOW
    started(starts, NOW + S, 2, NOW + S - 1000)  # news came faster: our clock is right after all
    assert started(starts, NOW + 2 * S, 1, NOW - 2 * S) == NOW - 2 * S + 1000


def test_zero_start_time_is_kept_and_a_removed_engine_is_forgotten():
    starts = StartTimes()
    assert started(starts, NOW, 1, 0) == 0
    started(starts, NOW, 2, NOW - S)
    starts.forget(2)
    assert not starts.start_times
    assert not starts.unconfirmed


@pytest.mark.parametrize("off_s", [-3600, 3600])
def test_configured_start_times_are_corrected_when_a_watch_event_shows_that_the_clock_is_off(off_s):
    starts, off = StartTimes(), off_s * S
    started(starts, NOW + off, 1, NOW - 3 * S, news=False)
    news = starts.correct(NOW + S + off, [row(2, NOW + S - 1000)], is_watch_event=True)
    found = {entry.id: entry.started_us for entry in news}
    assert 0 <= NOW + S + off - found[1] <= 4 * S
    assert found[1] == NOW + off - 3 * S + 1000


def test_configured_start_times_are_kept_when_the_clock_is_right():
    starts = StartTimes()
    assert started(starts, NOW, 1, NOW - 3 * S, news=False) == NOW - 3 * S
    assert len(starts.correct(NOW + S, [row(2, NOW + S - MAX_EVENT_DELAY_US // 2)], is_watch_event=True)) == 1
