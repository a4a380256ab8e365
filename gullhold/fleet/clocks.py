"""The two clocks of a fleet's member, in integer microseconds."""

import time

US_PER_SECOND = 1_000_000
NS_PER_US = 1000


def monotonic_us() -> int:
    """Time of a clock that is never set; for leases and delays."""
    return int(time.monotonic() * US_PER_SECOND)


def unix_us() -> int:
    """Unix time, which may jump; for the due times of scheduled commands, which all members must agree on."""
    return time.time_ns() // NS_PER_US
