"""Events of requests and connections with their reasons, a line each, at a bounded rate.

Every close, retry, error answer and abandoned attempt is an event. The newest are kept in memory and are
logged on SIGUSR1; as they happen they are logged as far as their rate allows, and the others are counted.
"""

from collections import deque
from enum import StrEnum
from typing import NamedTuple

from loguru import logger

MAX_RECENT_EVENTS = 400  # events kept in memory: some 100 KB
BURST = 20  # lines of one kind that may be logged at once
RATE_PER_S = 2.0  # lines of one kind that may be logged after that


class EventKind(StrEnum):
    """The kinds of event, as they are logged."""

    CONNECTION_CLOSED = "connection_closed"
    RETRY = "retry"
    ERROR_ANSWER = "error_answer"
    ATTEMPT_ABANDONED = "attempt_abandoned"


class LoggedEvent(NamedTuple):
    """One event; what does not apply is empty."""

    at_us: int  # Unix time, us
    kind: EventKind
    reason: str
    request: bytes = b""  # the client's id of the request
    connection: str = ""  # of a client, or to an engine: its address
    old_state: str = ""  # the state that it was in
    new_state: str = ""  # the state that it is in now
    open: int = 0  # requests or attempts that were open on a connection that closed
    detail: str = ""  # what the system or the protocol said beside the reason

    def line(self) -> str:
        """Return the line as it is logged: key=value pairs in a fixed order."""
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
    """The recent events. Used by the core's thread; lines() by any thread."""

    def __init__(self) -> None:
        self.recent: deque[LoggedEvent] = deque(maxlen=MAX_RECENT_EVENTS)
        self.suppressed_count = 0  # events since the last line that was logged
        self.lines_allowed: dict[EventKind, float] = {}  # that may be logged now
        self.counted_at_us: dict[EventKind, int] = {}  # when the above was true

    def add(self, event: LoggedEvent, is_unusual: bool = False) -> None:
        """Keep an event, and log it if its kind's rate allows; an unusual one as a warning."""
        self.recent.append(event)
        if not self._may_log(event):
            self.suppressed_count += 1
            return
        left_out = f" suppressed={self.suppressed_count}" if self.suppressed_count else ""
        self.suppressed_count = 0
        if is_unusual:
            logger.warning("{}{}", event.line(), left_out)
        else:
            logger.info("{}{}", event.line(), left_out)

    def lines(self) -> list[str]:
        """Return the lines of the kept events, the oldest first."""
        return [f"at_us={event.at_us} {event.line()}" for event in list(self.recent)]

    def _may_log(self, event: LoggedEvent) -> bool:
        passed_s = (event.at_us - self.counted_at_us.get(event.kind, event.at_us)) / 1e6
        allowed = min(BURST, self.lines_allowed.get(event.kind, BURST) + passed_s * RATE_PER_S)
        self.counted_at_us[event.kind] = event.at_us
        may_log = allowed >= 1
        self.lines_allowed[event.kind] = allowed - 1 if may_log else allowed
        return may_log
