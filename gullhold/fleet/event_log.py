"""Log lines of a fleet's member. Each has facts: in its text as key=value, and as fields for scripts."""

import json
from typing import Any

from loguru import logger

from gullhold.fleet.clocks import US_PER_SECOND
from gullhold.fleet.events import Invoke
from gullhold.fleet.store_calls import Proof, Reply

ABSENT = ("", None)  # facts with these values are fields, but not in the text


class EventLog:
    """Writes the log lines of one member."""

    def __init__(self, fleet_name: str, member: str) -> None:
        """The names of the fleet and of this member are fields of each line."""
        self._fleet_name = fleet_name
        self._member = member

    def add_file(self, path: str) -> None:
        """Write the lines to a file too, each as a JSON object."""
        logger.add(path, serialize=True, filter=lambda line: "fleet" in line["extra"])

    def log(self, level: str, text: str, **facts: Any) -> None:
        """Write one line. level: the name of a loguru level, in upper or lower case."""
        fields = {"fleet": self._fleet_name, "member": self._member, "event": text, **facts}
        details = "".join(f" {name}={_quoted(value)}" for name, value in facts.items() if value not in ABSENT)
        logger.bind(**fields).log(level.upper(), "fleet: {}{}", text, details)

    def log_if_refused(self, role: str, token: int, reply: Reply) -> None:
        """Write a line if a reply shows that a write was refused, as its fencing token is outdated."""
        if reply.proof == Proof.DONE and not reply.succeeded:
            self.log("warning", "write under a stale token refused", role=role, token=token)

    def log_fault(self, call: Any) -> None:
        """Write the exception that is being handled, with its traceback. call: the call that raised it."""
        function = call.call if isinstance(call, Invoke) else call
        logger.exception("fleet: call failed function={}", getattr(function, "__name__", function))


def _quoted(value: Any) -> str:
    """The value as text, as a JSON string if it has spaces."""
    text = str(value)
    return json.dumps(text, ensure_ascii=False) if " " in text else text


class AvailabilityLog:
    """Writes a log line when the store stops answering, and when it answers again."""

    def __init__(self, event_log: EventLog) -> None:
        """event_log: writes the lines."""
        self._event_log = event_log
        self._unreachable_since: int | None = None

    def record(self, reply: Reply, now: int) -> None:
        """Take the reply to any call to the store. now: us of a monotonic clock."""
        if reply.proof == Proof.DONE and self._unreachable_since is not None:
            outage_s = round((now - self._unreachable_since) / US_PER_SECOND, 1)
            self._event_log.log("warning", "register reachable again", outage_s=outage_s)
            self._unreachable_since = None
        elif reply.proof != Proof.DONE and self._unreachable_since is None:
            self._unreachable_since = now
            self._event_log.log("warning", "register unreachable, serving standalone", proof=reply.proof)
