"""When a scheduled command is due: calendar expressions by a library, with time zones and daylight saving.

Times are Unix time in whole microseconds. A time of day that a change of the clocks skips is due when the
clocks have moved on; one that comes twice is due the first time.
"""

from datetime import datetime
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from cronsim import CronSim, CronSimError

from gullhold.fleet.lease import MILLION

BEHIND_MOST = 10_000  # missed occurrences that are counted one by one; older ones are "at least so many"


class Bad(Exception):
    """A calendar that can't be used; the text is one plain line."""


class Calendar:
    """Due times of one command: `at` an expression of five or six fields in a zone, or `every` so often."""

    def __init__(self, at, zone, every_us):
        self.at, self.every_us = at, every_us
        if bool(at) == bool(every_us):
            raise Bad("one of `at` and `every` is needed, not both")
        try:
            self.zone = ZoneInfo(zone)
            if at:
                next(CronSim(at, datetime.now(self.zone)))
        except (ZoneInfoNotFoundError, ValueError) as fault:
            raise Bad(f"no such time zone: {fault}") from None
        except CronSimError as fault:
            raise Bad(f"{at!r} is no calendar expression: {fault}") from None
        except StopIteration:
            raise Bad(f"{at!r} is never due") from None

    def after(self, at_us):
        """The first due time after this one."""
        if self.every_us:
            return (at_us // self.every_us + 1) * self.every_us
        moment = datetime.fromtimestamp(at_us // MILLION, self.zone)
        return int(next(CronSim(self.at, moment)).timestamp()) * MILLION

    def between(self, after_us, upto_us):
        """(how many are due after one time and up to another, the last of them or after_us)."""
        if upto_us <= after_us:
            return 0, after_us
        if self.every_us:
            last = upto_us // self.every_us * self.every_us
            return (last - after_us // self.every_us * self.every_us) // self.every_us, max(last, after_us)
        count, last = 0, after_us
        while count < BEHIND_MOST and (due := self.after(last)) <= upto_us:
            count, last = count + 1, due
        return count, (last if count < BEHIND_MOST else upto_us)
