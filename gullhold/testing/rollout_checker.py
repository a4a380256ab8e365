"""Checks rollouts by the attempts that engines recorded and by the store's journal.

The policy of an attempt is recognised by the memory that it grants. The checker shares no code with what it
checks. It knows only the engines' protocol, and the keys and values of the store.
"""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from gullhold.testing.attempt_record import AttemptRecord

CHANGE_KEY = "policy/now/change"
VOTES_PREFIX = "policy/words/"
SUFFICIENT_VOTES = {"strict": ("still",), "loose": ("ready", "trial", "still")}  # stored kinds, by overlap
FINAL_STATES = ("decided", "dropped")

Journal = Iterable[Mapping[str, Any]]


class AttemptRecorder(Protocol):
    """An engine that keeps a record of each attempt that it was sent."""

    attempts: Sequence[AttemptRecord]


class PolicyAttempt(NamedTuple):
    """An attempt: its time in s, and the index of its policy from 1; 0: no change applied to it yet."""

    at: float
    policy_index: int


class PolicyOverlap(NamedTuple):
    """How long policies overlapped.

    stale_attempts: number of attempts under an older policy after the first one under a newer; overlap_ms:
    longest time from the first attempt under a policy to the last one under an older policy.
    """

    stale_attempts: int
    overlap_ms: float


def attempts_with_policy(engines: Iterable[AttemptRecorder], grants: Sequence[int]) -> list[PolicyAttempt]:
    """Return all attempts in order of time, each with its policy.

    grants: MB that each policy grants, in the order in which the policies came into force, from index 1 on.
    """
    indexes = {float(mb): index for index, mb in enumerate(grants, 1)}
    attempts = [
        PolicyAttempt(attempt.started_at, indexes.get(attempt.memory_mb, 0))
        for engine in engines
        for attempt in engine.attempts
    ]
    return sorted(attempts)


def measure_overlap(attempts: Iterable[tuple[float, int]]) -> PolicyOverlap:
    """Measure how long policies overlapped; attempts: (time in s, index of the policy), in order of time."""
    first_at: dict[int, float] = {}
    last_at: dict[int, float] = {}
    count = 0
    newest = 0
    for at, index in attempts:
        first_at.setdefault(index, at)
        last_at[index] = at
        count += index < newest
        newest = max(newest, index)
    longest_s = 0.0
    for new, began_at in first_at.items():
        for old, ended_at in last_at.items():
            if old < new:
                longest_s = max(longest_s, ended_at - began_at)
    return PolicyOverlap(count, round(longest_s * 1000, 1))


class RolloutChecker:
    """Goes through a store's journal once: which changes were decided, and how members had voted by then.

    decided_without_all: decisions made while an enrolled member had not voted ready, or for a strict change
    stopped (stored as "still"); decided_though_refused: decisions on a version that a member had refused;
    divergent_changes: ended changes after which the members had not all adopted one version; stop_times_s:
    for each member and strict change, the time from its preparation to its adoption by the member; outcomes:
    {number: "decided" or "dropped"}.
    """

    def __init__(self, lines: Journal) -> None:
        self.decided_without_all = 0
        self.decided_though_refused = 0
        self.divergent_changes = 0
        self.stop_times_s: list[float] = []
        self.outcomes: dict[int, str] = {}
        self._votes: dict[str, dict[str, Any]] = {}  # stored values by member (name and lease)
        self._members: dict[int, set[str]] = {}  # by lease
        self._prepared_at = 0.0
        for line in lines:
            self._apply(line, line.get("at", 0.0))

    def _apply(self, line: Mapping[str, Any], at: float) -> None:
        match line["what"]:
            case "lease ended" | "lease revoked":
                for member in self._members.pop(line["lease"], ()):
                    self._votes.pop(member, None)
            case "began":
                self._votes = {}
                self._members = {}
                for key, value, _, lease in line["keys"]:
                    self._put(_fleet_key(key), value, lease, at)
            case "txn" if line["met"]:
                for kind, key, value, lease in line["acts"]:
                    self._apply_write(kind, _fleet_key(key), value, lease, at)

    def _apply_write(self, kind: str, key: str, value: str, lease: int, at: float) -> None:
        if kind == "put":
            self._put(key, value, lease, at)
            if key == CHANGE_KEY:
                self._change_written(json.loads(value), at)
        elif kind == "delete" and key == CHANGE_KEY:
            versions = {vote["under"] for vote in self._votes.values()}
            self.divergent_changes += len(versions) > 1

    def _put(self, key: str, value: str, lease: int, at: float) -> None:
        if not key.startswith(VOTES_PREFIX):
            return
        member = key.removeprefix(VOTES_PREFIX)
        vote = json.loads(value)
        was_stopped = self._votes.get(member, {}).get("word") == "still"
        if was_stopped and vote["word"] == "under":
            self.stop_times_s.append(at - self._prepared_at)
        self._votes[member] = vote
        self._members.setdefault(lease, set()).add(member)

    def _change_written(self, change: Mapping[str, Any], at: float) -> None:
        number = change["record"]["number"]
        state = change["state"]
        if state == "prepared":
            self._prepared_at = at
        if state in FINAL_STATES:
            self.outcomes[number] = state
        if state == "decided":
            self._decided(number, SUFFICIENT_VOTES[change["overlap"]])

    def _decided(self, number: int, sufficient: Sequence[str]) -> None:
        votes = self._votes.values()
        self.decided_without_all += any(
            vote["about"] != number or vote["word"] not in sufficient for vote in votes
        )
        self.decided_though_refused += any(
            vote["about"] == number and vote["word"] == "refused" for vote in votes
        )

    def adopted_versions(self) -> dict[str, int]:
        """Return the number of the version that each member last reported as adopted, by its name."""
        return {member.partition("/")[0]: vote["under"] for member, vote in self._votes.items()}


def _fleet_key(key: str) -> str:
    """Return a key without the prefix of its fleet, /gullhold/FLEET/."""
    return key.split("/", 3)[3]
