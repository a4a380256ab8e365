"""The due times of scheduled commands."""

from datetime import datetime
from zoneinfo import ZoneInfo

import pytest

from gullhold.fleet.calendar import Calendar, InvalidCalendarError

S = 1_000_000  # us in a second


def test_daylight_saving_time_skips_and_repeats_no_day():
    calendar = Calendar("30 2 * * *", "Europe/Brussels", 0)
    zone = ZoneInfo("Europe/Brussels")

    def after(*when):
        at = calendar.next_after(int(datetime(*when, tzinfo=zone).timestamp()) * S)
        return datetime.fromtimestamp(at // S, zone).strftime("%d %H:%M")

    assert after(2026, 3, 28, 12) == "29 03:00"  # clocks skip 02:30 that day
    assert after(2026, 10, 24, 12) == "25 02:30"  # clocks show 02:30 twice that day; it is due once
    assert after(2026, 10, 25, 4) == "26 02:30"


def test_a_calendar_counts_due_times_and_rejects_settings_that_it_cannot_use():
    calendar = Calendar("*/2 * * * * *", "UTC", 0)
    assert calendar.count_between(1000 * S, 1009 * S) == (4, 1008 * S)
    assert Calendar("", "UTC", 300_000).count_between(1000 * S, 1001 * S) == (3, 1000_800_000)
    assert calendar.count_between(1000 * S, 999 * S) == (0, 1000 * S)
    for settings in (
        ("61 * * * *", "UTC", 0),
        ("* * * * *", "Mars/Base", 0),
        ("", "UTC", 0),
        ("* * * * *", "UTC", 5),
    ):
        with pytest.raises(InvalidCalendarError):
            Calendar(*settings)
