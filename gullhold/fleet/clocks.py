"""The two clocks of a fleet's member, in whole microseconds."""

import time

US_PER_SECOND = 1_000_000
NS_PER_US = 1000


def monotonic_us() -> int:
    """Time of a clock that is never set, by which leases are counted."""
    return int(time.monotonic() * US_PER_SECOND)


def unix_us() -> int:
    """Unix time, by which the due times of scheduled commands are counted."""
    return time.time_ns() // NS_PER_US
