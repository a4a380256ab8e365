"""Names of a fleet's keys in the store, and the JSON of their values.

Names and values for members, roles, heartbeats and scheduled commands are translated here; the rest of the
package uses the terms of the glossary. Released versions write these names, so they must not change. Budgets
and policies have schemas of their own.
"""

import json
from typing import Any, NamedTuple

from gullhold.fleet.occurrence import Occurrence, OccurrenceState

GULLHOLD_PREFIX = "/gullhold/"  # other programs may share the store

MEMBERS_PREFIX = "members/"  # + member: the key of a member, attached to its lease
ROLES_PREFIX = "duties/"  # + role: the key of a role's leader, attached to the leader's lease
HEARTBEATS_PREFIX = "beats/"  # + role: what the leader of a heartbeat role writes
SCHEDULED_COMMANDS_PREFIX = "plan/"  # + command: the keys of a scheduled command

# Names of roles, by their kind.
SCHEDULED_COMMAND_ROLE_PREFIX = "schedule/"  # + command
HEARTBEAT_ROLE_PREFIX = "beat/"  # + number

# Under the prefix of a scheduled command.
HANDLED_UNTIL_KEY = "upto"  # the time up to which its due times have been handled
OCCURRENCES_PREFIX = "run/"  # + due time, with leading zeros: one occurrence
DUE_DIGITS = 20  # of a due time in a key, so that keys sort by time


def fleet_prefix(fleet_name: str) -> str:
    """The prefix of all keys of one fleet."""
    return f"{GULLHOLD_PREFIX}{fleet_name}/"


def _decode_object(text: str) -> dict[str, Any]:
    """Decode a JSON object; {} for an unreadable value, as an unknown version may have written it."""
    try:
        value = json.loads(text)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


class MemberRecord(NamedTuple):
    """The value of a member's key.

    nonce: distinguishes processes of the same name. incarnation: revision at which the process first joined;
    0 in the value that it joins with.
    """

    nonce: str | None
    is_ready: bool
    incarnation: int

    def encode(self) -> str:
        """The stored text."""
        return json.dumps({"nonce": self.nonce, "ready": self.is_ready, "since": self.incarnation})

    @classmethod
    def decode(cls, text: str, revision: int) -> "MemberRecord":
        """Decode a stored text. revision: of the key; used if the incarnation is missing."""
        fields = _decode_object(text)
        return cls(fields.get("nonce"), bool(fields.get("ready")), fields.get("since") or revision)


class LeaderRecord(NamedTuple):
    """The value of a role's key: who leads it."""

    member: str | None
    nonce: str | None
    incarnation: int | None

    def encode(self) -> str:
        """The stored text."""
        return json.dumps({"owner": self.member, "nonce": self.nonce, "incarnation": self.incarnation})

    @classmethod
    def decode(cls, text: str) -> "LeaderRecord":
        """Decode a stored text."""
        fields = _decode_object(text)
        return cls(fields.get("owner"), fields.get("nonce"), fields.get("incarnation"))


def encode_heartbeat(role: str, token: int, member: str) -> str:
    """The stored text of a heartbeat."""
    return f'{{"duty": "{role}", "token": {token}, "by": "{member}"}}'


def scheduled_command_prefix(name: str) -> str:
    """The prefix of all keys of one scheduled command."""
    return f"{SCHEDULED_COMMANDS_PREFIX}{name}/"


def occurrence_key(prefix: str, due_us: int) -> str:
    """The key of an occurrence; prefix: of the command's keys."""
    return f"{prefix}{OCCURRENCES_PREFIX}{due_us:0{DUE_DIGITS}d}"


def is_occurrence_key(key: str) -> bool:
    """Whether a key, with the prefix of its command, is that of an occurrence."""
    return f"/{OCCURRENCES_PREFIX}" in key


def encode_occurrence(occurrence: Occurrence) -> str:
    """The stored text of an occurrence."""
    return json.dumps(
        {
            "due_us": occurrence.due_us,
            "state": occurrence.state,
            "token": occurrence.token,
            "tries": occurrence.attempts,
            "began_us": occurrence.started_us,
            "by": occurrence.member,
            "why": occurrence.reason,
            "count": occurrence.count,
        }
    )


def decode_occurrence(text: str) -> Occurrence | None:
    """Decode the stored text of an occurrence; None if it can't be read."""
    try:
        return _occurrence(**json.loads(text))
    except (ValueError, TypeError):
        return None


def _occurrence(
    due_us: int,
    state: str,
    token: int,
    tries: int = 0,
    began_us: int = 0,
    by: str = "",
    why: str = "",
    count: int = 1,
) -> Occurrence:
    """Create an occurrence from its stored fields; a state of another version stays as it is."""
    try:
        known_state: OccurrenceState | str = OccurrenceState(state)
    except ValueError:
        known_state = state
    return Occurrence(due_us, known_state, token, tries, began_us, by, why, count)
