"""What became of requests and connections, and why: an event a line, at a bounded rate; the last are kept.

Every close, further attempt, refusal and given-up attempt is an event. The newest are kept in memory and are
written out on SIGUSR1; as they happen they are logged as far as their rate allows, others are counted.
"""

from collections import deque
from typing import NamedTuple

from loguru import logger

KEPT = 400  # events kept in memory: some 100 KB
BURST = 20  # lines of one kind that may be logged at once ...
RATE_PER_S = 2.0  # ... and those a second that are allowed from then on

CLOSE, RETRY, REFUSAL, GIVEN_UP = "close", "retry", "refusal", "given up"


class Happened(NamedTuple):
    """One event; what does not apply is empty."""

    at_us: int  # Unix time, us
    kind: str  # CLOSE, RETRY, REFUSAL or GIVEN_UP
    reason: str
    request: bytes = b""  # the client's id of the request
    connection: str = ""  # of a client, or to an engine: its address
    before: str = ""  # the state that it was in
    after: str = ""  # the state that it is in now
    open: int = 0  # requests or attempts that were open on a connection that closed

    def line(self):
        """As it is logged: key=value pairs, in an order that does not change."""
        told = {
            "event": self.kind.replace(" ", "-"),
            "request": self.request.decode("ascii", "replace"),
            "connection": self.connection,
            "from": self.before,
            "to": self.after,
            "open": self.open or "",
            "reason": self.reason,
        }
        return " ".join(f"{key}={str(value).replace(' ', '_')}" for key, value in told.items() if value != "")


class EventLog:
    """Takes events from the core's thread."""

    def __init__(self):
        self.kept, self.left_out = deque(maxlen=KEPT), 0
        self.allowed, self.filled_at = {}, {}  # by kind: lines that may be logged now; since when

    def add(self, event, unusual=False):
        """Keep an event, and log it if its kind's rate allows. unusual: as a warning."""
        self.kept.append(event)
        if not self._may(event):
            self.left_out += 1
            return
        out, self.left_out = self.left_out, 0
        (logger.warning if unusual else logger.info)("{}{}", event.line(), f" left_out={out}" if out else "")

    def lines(self):
        """All that are kept, the oldest first."""
        return [f"at_us={event.at_us} {event.line()}" for event in list(self.kept)]

    def _may(self, event):
        gone_s = (event.at_us - self.filled_at.get(event.kind, event.at_us)) / 1e6
        allowed = min(BURST, self.allowed.get(event.kind, BURST) + gone_s * RATE_PER_S)
        self.filled_at[event.kind] = event.at_us
        self.allowed[event.kind] = allowed - 1 if allowed >= 1 else allowed
        return allowed >= 1
