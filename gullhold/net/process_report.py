"""Lines of a report about this process: times, memory, threads, descriptors and counters."""

import os
import time
from collections.abc import Iterable, Iterator

from gullhold.net.counters import Counters

MAX_LINE_LENGTH = 240  # characters; log readers may cut lines at 300
SEPARATOR = " "
STATUS_FILE = "/proc/self/status"
DESCRIPTORS_DIRECTORY = "/proc/self/fd"
LABELS_BY_STATUS_KEY = {"VmHWM": "peak_resident_kb", "VmRSS": "resident_kb", "Threads": "threads"}


def report_lines(uptime_s: float, counters: Counters) -> Iterator[str]:
    """Iterate over the lines of a report."""
    parts = [
        f"uptime_s={uptime_s:.1f}",
        f"cpu_s={time.process_time():.2f}",
        *resource_usage(),
        *counters.lines(),
    ]
    return join_parts(parts, MAX_LINE_LENGTH)


def join_parts(parts: Iterable[str], max_length: int) -> Iterator[str]:
    """Join parts in order into as few lines as possible, each of at most max_length characters.

    No part is split; one that is too long gets a line of its own. Guards against log readers that cut long
    lines: in an incident two thirds of the counters were lost that way.
    """
    line = ""
    for part in parts:
        if line and len(line) + len(SEPARATOR) + len(part) > max_length:
            yield line
            line = ""
        line = f"{line}{SEPARATOR}{part}" if line else part
    if line:
        yield line


def resource_usage() -> list[str]:
    """Return memory, threads and descriptors of this process; empty if /proc can't be read."""
    try:
        with open(STATUS_FILE, encoding="ascii") as file:
            rows = dict(line.split(":", 1) for line in file)
        descriptors = len(os.listdir(DESCRIPTORS_DIRECTORY))
    except OSError:
        return []
    usage = [f"{label}={rows[key].split()[0]}" for key, label in LABELS_BY_STATUS_KEY.items() if key in rows]
    usage.append(f"descriptors={descriptors}")
    return usage
