"""Names of a fleet's keys in the store, and the JSON of their values.

Members, roles, heartbeats and scheduled commands are stored under names that differ from those in the code
("duties" for roles, "owner" for a leader); this module translates them. Released versions write the stored
names, so they must not change. Budgets and policies have schemas of their own.
"""

import json
from typing import Any, NamedTuple

from gullhold.fleet.occurrence import Occurrence, OccurrenceState

GULLHOLD_PREFIX = "/gullhold/"  # prefix of all keys of this program; other programs may share the store

MEMBERS_PREFIX = "members/"  # + name of a member: its key, attached to its lease
ROLES_PREFIX = "duties/"  # + name of a role: its key, attached to the lease of its leader
HEARTBEATS_PREFIX = "beats/"  # + name of a heartbeat role: what its leader writes periodically
SCHEDULED_COMMANDS_PREFIX = "plan/"  # + name of a scheduled command + "/": its keys

# Names of roles begin with their kind.
SCHEDULED_COMMAND_ROLE_PREFIX = "schedule/"  # + name of the scheduled command
HEARTBEAT_ROLE_PREFIX = "beat/"  # + number, from 0

# Keys under the prefix of a scheduled command.
HANDLED_UNTIL_KEY = "upto"  # Unix us up to which all due times have been handled
OCCURRENCES_PREFIX = "run/"  # + due time in Unix us: one occurrence
DUE_DIGITS = 20  # digits of a due time in a key, with leading zeros, so that keys sort by time


def fleet_prefix(fleet_name: str) -> str:
    """The prefix of all keys of one fleet."""
    return f"{GULLHOLD_PREFIX}{fleet_name}/"


def _decode_object(text: str) -> dict[str, Any]:
    """Decode a JSON object; return {} if the value is none, as another version may have written it."""
    try:
        value = json.loads(text)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


class MemberRecord(NamedTuple):
    """The value of a member's key.

    nonce: random; distinguishes processes of the same name. incarnation: revision of the store at which the
    process first joined; 0 in the value that it joins with, as the revision is not known yet.
    """

    nonce: str | None
    is_ready: bool
    incarnation: int

    def encode(self) -> str:
        """The stored text."""
        return json.dumps({"nonce": self.nonce, "ready": self.is_ready, "since": self.incarnation})

    @classmethod
    def decode(cls, text: str, revision: int) -> "MemberRecord":
        """Decode a stored text. revision: the key's; it is the incarnation if the text has 0 or none."""
        fields = _decode_object(text)
        return cls(fields.get("nonce"), bool(fields.get("ready")), fields.get("since") or revision)


class LeaderRecord(NamedTuple):
    """The value of a role's key: the member that leads it, with the nonce and incarnation of its process."""

    member: str | None
    nonce: str | None
    incarnation: int | None

    def encode(self) -> str:
        """The stored text."""
        return json.dumps({"owner": self.member, "nonce": self.nonce, "incarnation": self.incarnation})

    @classmethod
    def decode(cls, text: str) -> "LeaderRecord":
        """Decode a stored text; fields that are missing are None."""
        fields = _decode_object(text)
        return cls(fields.get("owner"), fields.get("nonce"), fields.get("incarnation"))


def encode_heartbeat(role: str, token: int, member: str) -> str:
    """The stored text of a heartbeat. token: fencing token under which it is written."""
    return f'{{"duty": "{role}", "token": {token}, "by": "{member}"}}'


def scheduled_command_prefix(name: str) -> str:
    """The prefix of all keys of one scheduled command."""
    return f"{SCHEDULED_COMMANDS_PREFIX}{name}/"


def occurrence_key(prefix: str, due_us: int) -> str:
    """The key of an occurrence. prefix: scheduled_command_prefix() of its command."""
    return f"{prefix}{OCCURRENCES_PREFIX}{due_us:0{DUE_DIGITS}d}"


def is_occurrence_key(key: str) -> bool:
    """Whether a key of a scheduled command, with the command's prefix, is that of an occurrence."""
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
    """Decode the stored text of an occurrence; return None if it is not valid."""
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
    """Create an occurrence from its stored fields; a state that only another version knows stays a string."""
    try:
        known_state: OccurrenceState | str = OccurrenceState(state)
    except ValueError:
        known_state = state
    return Occurrence(due_us, known_state, token, tries, began_us, by, why, count)
