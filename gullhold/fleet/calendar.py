"""When a scheduled command is due: cron expressions, with time zones and daylight saving time, by a library.

Times are Unix time in integer microseconds. A time of day that is skipped as clocks go forward is due right
after the skip; one that comes twice as clocks go back is due the first time.
"""

from datetime import datetime
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from cronsim import CronSim, CronSimError

from gullhold.fleet.clocks import US_PER_SECOND

MAX_COUNTED = 10_000  # highest number of due times that is counted; a higher one is reported as this


class InvalidCalendarError(Exception):
    """A calendar that can't be used; the text is one line for the operator."""


class Calendar:
    """The due times of one command: a cron expression in a time zone, or the multiples of an interval."""

    def __init__(self, expression: str, zone_name: str, interval_us: int) -> None:
        """Exactly one of expression and interval_us is set.

        expression: of five fields, or of six with the seconds first. Raises InvalidCalendarError.
        """
        self.expression = expression
        self.interval_us = interval_us
        if bool(expression) == bool(interval_us):
            raise InvalidCalendarError("one of `at` and `every` is needed, not both")
        try:
            self.zone = ZoneInfo(zone_name)
            if expression:
                next(CronSim(expression, datetime.now(self.zone)))
        except (ZoneInfoNotFoundError, ValueError) as error:
            raise InvalidCalendarError(f"no such time zone: {error}") from None
        except CronSimError as error:
            raise InvalidCalendarError(f"{expression!r} is no calendar expression: {error}") from None
        except StopIteration:
            raise InvalidCalendarError(f"{expression!r} is never due") from None

    def next_after(self, at_us: int) -> int:
        """The first due time after at_us."""
        if self.interval_us:
            return (at_us // self.interval_us + 1) * self.interval_us
        moment = datetime.fromtimestamp(at_us // US_PER_SECOND, self.zone)
        return int(next(CronSim(self.expression, moment)).timestamp()) * US_PER_SECOND

    def count_between(self, after_us: int, until_us: int) -> tuple[int, int]:
        """The number of due times after after_us and up to until_us, and the last of them (after_us if none).

        Beyond MAX_COUNTED due times these are MAX_COUNTED and until_us.
        """
        if until_us <= after_us:
            return 0, after_us
        if self.interval_us:
            last_number = until_us // self.interval_us
            count = last_number - after_us // self.interval_us
            return count, max(last_number * self.interval_us, after_us)
        count = 0
        last_us = after_us
        while count < MAX_COUNTED:
            due_us = self.next_after(last_us)
            if due_us > until_us:
                return count, last_us
            count += 1
            last_us = due_us
        return count, until_us
