"""Keys of the rollout in the fleet's store, and the JSON of their values.

Every value but that of the enrollment key is a JSON object. The names and the order of the stored fields are
kept for compatibility with earlier versions of the program.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple, TypeVar

from gullhold.rollout.policy_change import Canary, ChangeState, OnSilence, Overlap, PolicyChange
from gullhold.rollout.policy_version import PolicyError, PolicyVersion
from gullhold.rollout.vote import CommandFigures, Vote, VoteKind

ROLE = "policy"  # name of the role whose leader coordinates changes
ROLLOUT_PREFIX = "policy/"  # prefix of all keys of the rollout
WATCHED_PREFIX = ROLLOUT_PREFIX + "now/"  # prefix of the keys that every member watches
CURRENT_KEY = WATCHED_PREFIX + "current"  # the version in force; absent: INITIAL_VERSION
CHANGE_KEY = WATCHED_PREFIX + "change"  # the open change; absent: none is open
ENROLLMENT_KEY = ROLLOUT_PREFIX + "roll"  # written by each member that enrolls, so that no decision misses it
VOTES_PREFIX = ROLLOUT_PREFIX + "words/"  # + MEMBER/LEASE, the lease in hexadecimal: the member's vote
HISTORY_PREFIX = ROLLOUT_PREFIX + "past/"  # + number of a version whose change has ended: its history entry

# Names of attributes by the names of the stored fields that hold them. The stored names must not change, as
# the stores of fleets hold them.
VERSION_FIELDS = {
    "number": "number",
    "parent": "parent",
    "author": "author",
    "why": "reason",
    "at_us": "created_at_us",
    "text": "text",
    "digest": "digest",
}
CHANGE_FIELDS = {
    "record": "version",
    "state": "state",
    "overlap": "overlap",
    "silence": "on_silence",
    "patience_us": "patience_us",
    "why": "reason",
    "drop": "drop_requested",
    "canary": "canary",
    "trial": "canary_members",
}
VOTE_FIELDS = {
    "under": "version",
    "about": "change",
    "word": "kind",
    "why": "reason",
    "figures": "figures",
}

UNREADABLE_VOTE = Vote(-1, 0, VoteKind.UNREADABLE)
Kind = TypeVar("Kind", bound=StrEnum)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The final state of a change. reason: why it was dropped."""

    state: ChangeState
    reason: str


class HistoryEntry(NamedTuple):
    """A version whose change has ended, and the outcome of that change."""

    version: PolicyVersion
    outcome: Outcome


def history_key(number: int) -> str:
    """The key of a version's history entry; the keys sort by the version's number."""
    return f"{HISTORY_PREFIX}{number:010d}"


def vote_key(member: str, lease: int) -> str:
    """The key of a member's vote. A member with a new lease counts as another member."""
    return f"{VOTES_PREFIX}{member}/{lease:x}"


def version_to_stored(version: PolicyVersion) -> dict[str, Any]:
    """Convert a version to the fields that are stored."""
    return _stored_fields(version, VERSION_FIELDS)


def version_from_stored(fields: Any) -> PolicyVersion:
    """Convert stored fields to a version and verify its digest. Raises PolicyError."""
    try:
        version = _version_from_fields(fields)
    except (ValueError, TypeError):
        raise PolicyError(
            "a stored version of the policy can't be read: its fields are not as expected"
        ) from None
    version.verify()
    return version


def encode_version(version: PolicyVersion) -> str:
    """Encode a version for the store."""
    return json.dumps(version_to_stored(version))


def decode_version(text: str) -> PolicyVersion:
    """Decode a stored version and verify its digest. Raises PolicyError."""
    try:
        fields = json.loads(text)
    except (ValueError, TypeError):
        raise PolicyError("a stored version of the policy can't be read: it is not JSON") from None
    return version_from_stored(fields)


def encode_change(change: PolicyChange) -> str:
    """Encode a change for the store."""
    return json.dumps(_stored_fields(change, CHANGE_FIELDS) | {"record": version_to_stored(change.version)})


def decode_change(text: str) -> PolicyChange:
    """Decode a stored change; the digest of its version is not verified. Raises PolicyError."""
    try:
        fields = json.loads(text)
        canary = fields.get("canary")
        attributes = _attributes(fields, CHANGE_FIELDS)
        attributes["version"] = _version_from_fields(fields["record"])
        attributes["canary"] = Canary(*canary) if canary else None
        attributes["canary_members"] = tuple(fields.get("trial", ()))
        _convert_to_enum(attributes, "state", ChangeState)
        _convert_to_enum(attributes, "overlap", Overlap)
        _convert_to_enum(attributes, "on_silence", OnSilence)
        return PolicyChange(**attributes)
    except (ValueError, TypeError, KeyError):
        raise PolicyError("the stored change of the policy can't be read") from None


def encode_vote(vote: Vote) -> str:
    """Encode a vote for the store."""
    return json.dumps(_stored_fields(vote, VOTE_FIELDS) | {"figures": vote.figures or ()})


def decode_vote(text: str) -> Vote:
    """Decode a stored vote; UNREADABLE_VOTE, which supports no change, if it can't be read."""
    try:
        fields = json.loads(text)
        figures = fields.get("figures", ())
        attributes = _attributes(fields, VOTE_FIELDS)
        attributes["figures"] = CommandFigures(*figures) if figures else None
        _convert_to_enum(attributes, "kind", VoteKind)
        return Vote(**attributes)
    except (ValueError, TypeError, AttributeError):
        return UNREADABLE_VOTE


def encode_history_entry(entry: HistoryEntry) -> str:
    """Encode a history entry for the store."""
    fields = {
        "record": version_to_stored(entry.version),
        "outcome": entry.outcome.state,
        "why": entry.outcome.reason,
    }
    return json.dumps(fields)


def decode_outcome(text: str) -> Outcome:
    """Decode the outcome in a stored history entry."""
    fields = json.loads(text)
    return Outcome(_enum_member(fields["outcome"], ChangeState), fields["why"])


def decode_history_entry(text: str) -> HistoryEntry:
    """Decode a stored history entry; the digest of its version is not verified."""
    return HistoryEntry(_version_from_fields(json.loads(text)["record"]), decode_outcome(text))


def _version_from_fields(fields: Any) -> PolicyVersion:
    return PolicyVersion(**_attributes(fields, VERSION_FIELDS))


def _stored_fields(item: object, names: Mapping[str, str]) -> dict[str, Any]:
    return {stored: getattr(item, attribute) for stored, attribute in names.items()}


def _attributes(fields: Any, names: Mapping[str, str]) -> dict[str, Any]:
    """Convert stored fields to attributes. Raises TypeError for anything but an object of known fields."""
    if not isinstance(fields, dict) or not fields.keys() <= names.keys():
        raise TypeError("not an object with the fields that this version knows")
    return {names[stored]: value for stored, value in fields.items()}


def _convert_to_enum(attributes: dict[str, Any], name: str, kind: type[Kind]) -> None:
    if name in attributes:
        attributes[name] = _enum_member(attributes[name], kind)


def _enum_member(value: Any, kind: type[Kind]) -> Any:
    """The enum's member, or the value itself if it is unknown: a later version may have written it."""
    try:
        return kind(value)
    except ValueError:
        return value
