"""Checks the roles and effects of a fleet by the store's journal and the engines' records.

It shares no code with what it checks. It knows only the stored form: duties/ROLE holds the leader of a role,
and the revision of its last change is the fencing token; keys under beats/ and plan/ are effects, whose
transactions are conditional on the token.
"""

import json
from collections import defaultdict
from collections.abc import Iterable
from itertools import pairwise
from typing import Any, NamedTuple

ROLES_PREFIX = "duties/"
EFFECT_PREFIXES = ("beats/", "plan/")
SCHEDULED_COMMANDS_PREFIX = "plan/"
OCCURRENCE_PART = "/run/"  # part of an occurrence's key plan/COMMAND/run/DUE

Line = dict[str, Any]  # a line of the journal
OccurrenceKey = tuple[str, int]  # command, due time


class Leader(NamedTuple):
    """The leader of a role, its fencing token and its lease."""

    member: str
    token: int
    lease: int


class Acquisition(NamedTuple):
    """A member became the leader of a role."""

    at: float  # Unix s
    token: int
    member: str


class Handover(NamedTuple):
    """A role passed to another member; times in Unix s. first_effect_at None: no effect so far."""

    role: str
    first_effect_at: float | None
    acquired_at: float


class FleetChecker:
    """Goes through a journal once, and lists everything that is wrong in `violations`, a line each.

    effects: number of effects carried out; rejected_effects: number refused because their token was no longer
    valid; leader_changes: how often a role's new leader was another member than the one before.
    """

    def __init__(self, lines: Iterable[Line]) -> None:
        """lines: of the store's journal, in their order."""
        self.violations: list[str] = []
        self.rejected_effects = 0
        self.effects = 0
        self.leader_changes = 0
        self._leaders: dict[str, Leader] = {}
        self._highest_tokens: dict[str, int] = defaultdict(int)
        self._roles_by_lease: dict[int, set[str]] = defaultdict(set)
        self._acquisitions: dict[str, list[Acquisition]] = defaultdict(list)
        # Unix time in s of the first effect, by role and token.
        self._first_effects: dict[tuple[str, int], float] = {}
        # Stored records by revision.
        self._occurrences: dict[OccurrenceKey, dict[int, Any]] = defaultdict(dict)
        revision = 0
        for line in lines:
            line_revision = line.get("revision", revision)
            if line_revision < revision:
                self.violations.append(
                    f"the store's revision went back from {revision} to {line_revision}: {line}"
                )
            revision = line_revision
            self._check_line(line)

    def leaders(self) -> dict[str, tuple[str, int]]:
        """Return (member, token) of the leader of each role at the end of the journal."""
        return {role: (leader.member, leader.token) for role, leader in self._leaders.items()}

    def occurrences(self) -> dict[OccurrenceKey, Any]:
        """Return the last stored record of each occurrence."""
        return {key: records[max(records)] for key, records in self._occurrences.items()}

    def handovers(self) -> list[Handover]:
        """Return the changes of each role's leader from one member to another."""
        return [
            Handover(role, self._first_effects.get((role, new.token)), new.at)
            for role, acquisitions in self._acquisitions.items()
            for old, new in pairwise(acquisitions)
            if new.member != old.member
        ]

    def _check_line(self, line: Line) -> None:
        match line["what"]:
            case "lease ended" | "lease revoked":
                for role in self._roles_by_lease.pop(line["lease"], ()):
                    self._leaders.pop(role, None)
            case "txn":
                self._check_transaction(line)
            case "began":
                self._check_start(line["keys"])

    def _check_start(self, keys: list[list]) -> None:
        """Take the leaders from the keys with which the store started.

        A store that was killed may have committed changes that it had not yet written to the journal.
        """
        self._leaders = {}
        self._roles_by_lease = defaultdict(set)
        for key, value, revision, lease in keys:
            name = _fleet_key(key)
            if not name.startswith(ROLES_PREFIX):
                continue
            role = name.removeprefix(ROLES_PREFIX)
            self._leaders[role] = Leader(json.loads(value)["owner"], revision, lease)
            self._roles_by_lease[lease].add(role)
            self._highest_tokens[role] = max(self._highest_tokens[role], revision)

    def _check_transaction(self, line: Line) -> None:
        conditions = {_fleet_key(key): revision for key, revision in line["when"]}
        writes = [(kind, _fleet_key(key), value, lease) for kind, key, value, lease in line["acts"]]
        effects = [key for kind, key, _, _ in writes if kind == "put" and key.startswith(EFFECT_PREFIXES)]
        if effects:
            tokens = {
                key.removeprefix(ROLES_PREFIX): revision
                for key, revision in conditions.items()
                if key.startswith(ROLES_PREFIX)
            }
            self._check_effect(line, tokens, effects)
        if not line["met"]:
            return
        for kind, key, value, lease in writes:
            if kind == "put":
                self._check_put(line, key, value, lease)
        for kind, key, _, _ in writes:
            if kind == "delete":
                self._check_delete(key)

    def _check_put(self, line: Line, key: str, value: str, lease: int) -> None:
        if key.startswith(ROLES_PREFIX):
            leader = Leader(json.loads(value)["owner"], line["revision"], lease)
            self._check_acquisition(line["at"], key.removeprefix(ROLES_PREFIX), leader)
        elif key.startswith(SCHEDULED_COMMANDS_PREFIX) and OCCURRENCE_PART in key:
            _, command, _, due = key.split("/")
            self._occurrences[command, int(due)][line["revision"]] = json.loads(value)

    def _check_delete(self, key: str) -> None:
        if not key.startswith(ROLES_PREFIX):
            return
        role = key.removeprefix(ROLES_PREFIX)
        old = self._leaders.pop(role, None)
        if old:
            self._roles_by_lease[old.lease].discard(role)

    def _check_acquisition(self, at: float, role: str, leader: Leader) -> None:
        old = self._leaders.get(role)
        if old and old.member != leader.member:
            self.violations.append(
                f"{role} was taken from {tuple(old)} by {leader.member} at revision {leader.token}"
            )
        if leader.token <= self._highest_tokens[role]:
            self.violations.append(
                f"the token of {role} did not increase: {leader.token} after {self._highest_tokens[role]}"
            )
        if old:
            self._roles_by_lease[old.lease].discard(role)
        acquisitions = self._acquisitions[role]
        if acquisitions and acquisitions[-1].member != leader.member:
            self.leader_changes += 1
        self._highest_tokens[role] = leader.token
        self._leaders[role] = leader
        self._roles_by_lease[leader.lease].add(role)
        acquisitions.append(Acquisition(at, leader.token, leader.member))

    def _check_effect(self, line: Line, tokens: dict[str, int], effects: list[str]) -> None:
        if len(tokens) != 1:
            self.violations.append(
                f"an effect must depend on 1 token, but depends on {len(tokens)}: {effects}"
            )
            return
        ((role, token),) = tokens.items()
        leader = self._leaders.get(role)
        current = leader.token if leader else 0
        if line["met"]:
            self.effects += 1
            self._first_effects.setdefault((role, token), line["at"])
            if token != current:
                self.violations.append(f"{role}: an effect under token {token}, now {current or 'nobody'}'s")
        elif token != current:
            self.rejected_effects += 1


def attempts_by_key(engines: Iterable[Any]) -> dict[str, list[tuple[float, str]]]:
    """Return (time in s, profile) of the attempts that engines received, by idempotency key."""
    found = defaultdict(list)
    for engine in engines:
        for command in engine.received:
            if command.idempotency_key:
                found[command.idempotency_key].append((command.at, command.profile))
    return found


def attempts_by_statement(engines: Iterable[Any]) -> dict[str, list[tuple[float, str]]]:
    """Return (time in s, profile) of the attempts that engines received, by statement."""
    found = defaultdict(list)
    for engine in engines:
        for command in engine.received:
            found[command.statement].append((command.at, command.profile))
    return found


def _fleet_key(key: str) -> str:
    """Return a key without the prefix of its fleet, /gullhold/FLEET/."""
    return key.split("/", 3)[3]
