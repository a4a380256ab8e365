"""Finds faults of the program itself in the logs of gateways.

Code that starts a gateway for a test passes its log to record() when the gateway has ended. A fixture of all
tests then checks the recorded logs.
"""

import re

# Parts of log lines that report a fault of the program. Counters are logged only if they are not 0.
FAULT_LINES = ("internal_faults", "decision_faults", "was not answered in time", "Traceback")

_ended_logs: list[str] = []


def record(text: str) -> None:
    """Record the log or the counters of a gateway that has ended."""
    _ended_logs.append(text)


def take_recorded() -> list[str]:
    """Remove and return the logs that were recorded since the last call."""
    taken = list(_ended_logs)
    _ended_logs.clear()
    return taken


def counter(text: str, name: str) -> int:
    """Return the last value of a counter in a log; 0 if it was not logged."""
    values = re.findall(rf"\b{name}=(\d+)", text)
    return int(values[-1]) if values else 0


def fault_lines(text: str) -> list[str]:
    """Return the lines of a log that report a fault of the program."""
    return [line for line in text.splitlines() if any(part in line for part in FAULT_LINES)]
