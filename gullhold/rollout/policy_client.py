"""Client for operators: reads, proposes and drops policies of a fleet through one session with its store."""

import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from enum import IntEnum
from typing import NamedTuple

from gullhold.fleet.clocks import unix_us
from gullhold.fleet.store_calls import KeyValue, Proof, Put, ReadPrefix, Transaction
from gullhold.fleet.store_client import StoreClient
from gullhold.fleet.store_schema import fleet_prefix
from gullhold.rollout.policy import parse_policy
from gullhold.rollout.policy_change import (
    DEFAULT_PATIENCE_US,
    FINAL_STATES,
    Canary,
    ChangeState,
    OnSilence,
    Overlap,
    PolicyChange,
)
from gullhold.rollout.policy_version import PolicyError, PolicyVersion
from gullhold.rollout.proposal import current_version, proposal_transaction
from gullhold.rollout.store_schema import (
    CHANGE_KEY,
    HISTORY_PREFIX,
    ROLLOUT_PREFIX,
    VOTES_PREFIX,
    HistoryEntry,
    decode_change,
    decode_history_entry,
    decode_outcome,
    decode_vote,
    encode_change,
    history_key,
)

TIMEOUT_S = 3.0  # timeout of one call to the store
POLL_INTERVAL_S = 0.1  # time between reads of the store while waiting for a change
MAX_NAMES = 8  # members named for each kind of vote, to keep the output on one line


class ExitStatus(IntEnum):
    """Exit status of `gullhold policy`: the state of a change, or the failure of the command itself."""

    IN_FORCE = 0  # also: a command that is not about one change has succeeded
    INVALID = 2  # the arguments, the file or the proposal can't be used
    DROPPED = 3
    UNKNOWN = 4  # neither in force everywhere nor dropped yet, or the store does not answer


class StoreUnavailableError(Exception):
    """The store does not answer."""


class Progress(NamedTuple):
    """The state of a change, as an exit status and as a line for the operator."""

    status: ExitStatus
    line: str


def _ignore(_line: str) -> None:
    pass


class PolicyClient:
    """Reads, proposes and drops policies. report(line): called as the state of a change progresses."""

    def __init__(self, address: str, name: str, report: Callable[[str], None] = _ignore) -> None:
        """address: HOST:PORT of the store; name: the fleet's name."""
        self.session = StoreClient(address, fleet_prefix(name), TIMEOUT_S)
        self.report = report

    def read(self) -> dict[str, KeyValue]:
        """Read all keys of the rollout. Raises StoreUnavailableError if the store does not answer."""
        reply = self.session.call(ReadPrefix(ROLLOUT_PREFIX))
        if reply.proof != Proof.DONE:
            raise StoreUnavailableError
        return {item.key: item for item in reply.items}

    def current(self) -> PolicyVersion:
        """Return the version in force."""
        return current_version(self.read())

    def history(self) -> list[HistoryEntry]:
        """Return the versions whose changes have ended, decided or dropped, oldest first."""
        keys = self.read()
        return [
            decode_history_entry(keys[key].value) for key in sorted(keys) if key.startswith(HISTORY_PREFIX)
        ]

    def propose(
        self,
        text: str,
        author: str,
        reason: str,
        *,
        parent: int | None = None,
        overlap: Overlap = Overlap.LOOSE,
        on_silence: OnSilence = OnSilence.DROP,
        patience_us: int = DEFAULT_PATIENCE_US,
        canary: Canary | None = None,
    ) -> PolicyVersion:
        """Propose a policy's text as a new version, and return that version.

        parent: number of the version that must be in force; None: any. Raises PolicyError if the text can't
        be proposed, StoreUnavailableError if the proposal was certainly not stored. If only the reply was
        lost, the version is returned too; status() then shows whether it was proposed.
        """
        parse_policy(text)
        keys = self.read()
        current = current_version(keys)
        numbers = [int(key.removeprefix(HISTORY_PREFIX)) for key in keys if key.startswith(HISTORY_PREFIX)]
        version = PolicyVersion(
            max([current.number, *numbers]) + 1,
            current.number if parent is None else parent,
            author,
            reason,
            unix_us(),
            text,
        ).sealed()
        change = PolicyChange(
            version, overlap=overlap, on_silence=on_silence, patience_us=patience_us, canary=canary
        )
        reply = self.session.call(proposal_transaction(change, keys))
        if reply.proof == Proof.NOT_DONE:
            raise StoreUnavailableError
        if reply.proof == Proof.DONE and not reply.succeeded:
            raise PolicyError(
                "another change was proposed at the same time; look at it before proposing again"
            )
        return version

    def drop(self) -> int:
        """Request that the open change be dropped; return its number. Raises PolicyError if none can be."""
        keys = self.read()
        if CHANGE_KEY not in keys:
            raise PolicyError("no change is open")
        change = decode_change(keys[CHANGE_KEY].value)
        if change.state in FINAL_STATES:
            raise PolicyError(f"change {change.version.number} is {change.state} already")
        conditions = ((CHANGE_KEY, keys[CHANGE_KEY].revision),)
        operations = (Put(CHANGE_KEY, encode_change(replace(change, drop_requested=True))),)
        reply = self.session.call(Transaction(conditions, operations))
        if reply.proof != Proof.DONE or not reply.succeeded:
            raise StoreUnavailableError
        return change.version.number

    def status(self, number: int) -> Progress:
        """Return the current state of the change to the version of this number."""
        keys = self.read()
        if history_key(number) in keys:
            return _progress_of_ended(number, keys)
        if CHANGE_KEY in keys:
            change = decode_change(keys[CHANGE_KEY].value)
            if change.version.number == number:
                line = f"{number} is {change.state}; {_votes_line(number, keys)}"
                return Progress(ExitStatus.UNKNOWN, line)
        return Progress(ExitStatus.UNKNOWN, f"nothing is known of {number}")

    def wait(self, number: int, seconds: float) -> Progress:
        """Wait until a change is in force or dropped, at most for this time; return its state."""
        end = time.monotonic() + seconds
        last_line = ""
        while True:
            try:
                progress = self.status(number)
            except StoreUnavailableError:
                progress = Progress(ExitStatus.UNKNOWN, "the register does not answer")
            if progress.line != last_line:
                self.report(progress.line)
                last_line = progress.line
            if progress.status != ExitStatus.UNKNOWN or time.monotonic() > end:
                return progress
            time.sleep(POLL_INTERVAL_S)


def _progress_of_ended(number: int, keys: Mapping[str, KeyValue]) -> Progress:
    outcome = decode_outcome(keys[history_key(number)].value)
    if outcome.state == ChangeState.DROPPED:
        return Progress(ExitStatus.DROPPED, f"{number} is dropped: {outcome.reason}")
    change = decode_change(keys[CHANGE_KEY].value) if CHANGE_KEY in keys else None
    if change is None or change.version.number != number:
        return Progress(ExitStatus.IN_FORCE, f"{number} is in force everywhere")
    return Progress(ExitStatus.UNKNOWN, f"{number} is decided; {_votes_line(number, keys)}")


def _votes_line(number: int, keys: Mapping[str, KeyValue]) -> str:
    """One line that lists the members by their votes on a change."""
    members: dict[str, list[str]] = {}
    for key, item in keys.items():
        if not key.startswith(VOTES_PREFIX):
            continue
        vote = decode_vote(item.value)
        kind = vote.kind if number in (vote.change, vote.version) else "says nothing"
        reason = f": {vote.reason}" if vote.reason else ""
        member, _, _ = key.removeprefix(VOTES_PREFIX).partition("/")
        members.setdefault(f"{kind}{reason}", []).append(member)
    lines = [
        f"{vote}: {', '.join(sorted(names)[:MAX_NAMES])} ({len(names)})"
        for vote, names in sorted(members.items())
    ]
    return "; ".join(lines) or "no member has a vote"
