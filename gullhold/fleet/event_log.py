"""Log lines of a fleet's member, with their facts as fields for scripts."""

import json
from typing import Any

from loguru import logger

from gullhold.fleet.clocks import US_PER_SECOND
from gullhold.fleet.events import Invoke
from gullhold.fleet.store_calls import Proof, Reply

ABSENT = ("", None)  # facts with these values are left out of the text of a line


class EventLog:
    """Writes the events of one member."""

    def __init__(self, fleet_name: str, member: str) -> None:
        """Both names are fields of each line."""
        self._fleet_name = fleet_name
        self._member = member

    def add_file(self, path: str) -> None:
        """Write all events to a file too, a JSON object a line."""
        logger.add(path, serialize=True, filter=lambda line: "fleet" in line["extra"])

    def log(self, level: str, text: str, **facts: Any) -> None:
        """Write one event. level: the name of a loguru level, upper or lower case."""
        fields = {"fleet": self._fleet_name, "member": self._member, "event": text, **facts}
        details = "".join(f" {name}={_quoted(value)}" for name, value in facts.items() if value not in ABSENT)
        logger.bind(**fields).log(level.upper(), "fleet: {}{}", text, details)

    def log_refused_effect(self, role: str, token: int, reply: Reply) -> None:
        """Write an event if the store refused a write under an outdated fencing token."""
        if reply.proof == Proof.DONE and not reply.succeeded:
            self.log("warning", "write under a stale token refused", role=role, token=token)

    def log_fault(self, call: Any) -> None:
        """Write the exception being handled, with its traceback. call: what raised it."""
        function = call.call if isinstance(call, Invoke) else call
        logger.exception("fleet: call failed function={}", getattr(function, "__name__", function))


def _quoted(value: Any) -> str:
    """The value as text, in quotes if it has spaces."""
    text = str(value)
    return json.dumps(text, ensure_ascii=False) if " " in text else text


class AvailabilityLog:
    """Writes an event when the store stops answering, and when it answers again."""

    def __init__(self, event_log: EventLog) -> None:
        """event_log: where the events go."""
        self._event_log = event_log
        self._away_since: int | None = None

    def record(self, reply: Reply, now: int) -> None:
        """Take the reply to a call. now: us of a monotonic clock."""
        if reply.proof == Proof.DONE and self._away_since is not None:
            away_s = round((now - self._away_since) / US_PER_SECOND, 1)
            self._event_log.log("warning", "register reachable again", outage_s=away_s)
            self._away_since = None
        elif reply.proof != Proof.DONE and self._away_since is None:
            self._away_since = now
            self._event_log.log("warning", "register unreachable, serving standalone", proof=reply.proof)
