"""Log of request and connection events with their reasons, rate-limited to a few lines a second.

Every closed connection, retry, error answer and abandoned attempt is an event. The newest ones are kept in
memory and logged on SIGUSR1. Each is logged as it happens if the rate limit allows, otherwise only counted.
"""

from collections import deque
from enum import StrEnum
from typing import NamedTuple

from loguru import logger

MAX_RECENT_EVENTS = 400  # kept in memory: about 100 KB
MAX_BURST_LINES = 20  # lines of one kind that may be logged at once
MAX_LINES_PER_S = 2.0  # lines of one kind that may be logged after a burst


class EventKind(StrEnum):
    """The kind of an event; the value is how it is logged."""

    CONNECTION_CLOSED = "connection_closed"
    RETRY = "retry"
    ERROR_ANSWER = "error_answer"
    ATTEMPT_ABANDONED = "attempt_abandoned"


class LoggedEvent(NamedTuple):
    """One event; fields that do not apply are empty."""

    at_us: int  # Unix time, us
    kind: EventKind
    reason: str
    request: bytes = b""  # transaction id
    connection: str = ""  # "client" or "engine" with the address of the peer
    old_state: str = ""  # state of the request, attempt or connection before the event
    new_state: str = ""  # its state after the event
    open: int = 0  # requests or attempts that were open on the closed connection
    detail: str = ""  # message of the system or protocol error, if any

    def line(self) -> str:
        """Return the event as it is logged: key=value pairs in a fixed order."""
        pairs = {
            "event": self.kind.value,
            "request": self.request.decode("ascii", "replace"),
            "connection": self.connection,
            "from": self.old_state,
            "to": self.new_state,
            "open": self.open or "",
            "reason": self.reason,
            "detail": self.detail,
        }
        present = {key: str(value) for key, value in pairs.items() if value != ""}
        return " ".join(f"{key}={value.replace(' ', '_')}" for key, value in present.items())


class EventLog:
    """Keeps the recent events and logs them. On the core's thread only, except for lines()."""

    def __init__(self) -> None:
        self.recent: deque[LoggedEvent] = deque(maxlen=MAX_RECENT_EVENTS)
        self.suppressed_count = 0  # events that were not logged since the last line
        self.lines_allowed: dict[EventKind, float] = {}  # lines of a kind that may be logged at once
        self.counted_at_us: dict[EventKind, int] = {}  # when lines_allowed of a kind was last updated

    def add(self, event: LoggedEvent, is_unusual: bool = False) -> None:
        """Keep an event, and log it if the rate limit of its kind allows; an unusual one as a warning."""
        self.recent.append(event)
        if not self._may_log(event):
            self.suppressed_count += 1
            return
        suppressed = f" suppressed={self.suppressed_count}" if self.suppressed_count else ""
        self.suppressed_count = 0
        if is_unusual:
            logger.warning("{}{}", event.line(), suppressed)
        else:
            logger.info("{}{}", event.line(), suppressed)

    def lines(self) -> list[str]:
        """Return the lines of the recent events, the oldest first."""
        return [f"at_us={event.at_us} {event.line()}" for event in list(self.recent)]

    def _may_log(self, event: LoggedEvent) -> bool:
        elapsed_s = (event.at_us - self.counted_at_us.get(event.kind, event.at_us)) / 1e6
        allowed = min(
            MAX_BURST_LINES, self.lines_allowed.get(event.kind, MAX_BURST_LINES) + elapsed_s * MAX_LINES_PER_S
        )
        self.counted_at_us[event.kind] = event.at_us
        may_log = allowed >= 1
        self.lines_allowed[event.kind] = allowed - 1 if may_log else allowed
        return may_log
