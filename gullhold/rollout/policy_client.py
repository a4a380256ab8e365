"""Client for staff: reads, proposes and drops policies of a fleet, through one session with the store."""

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

TIMEOUT_S = 3.0  # of one call to the store
POLL_INTERVAL_S = 0.1  # between reads while waiting for a change
MAX_NAMES = 8  # members named for one kind of vote, to keep it on one line


class ExitStatus(IntEnum):
    """Exit statuses of `gullhold policy`: the state of a change, or the failure of the command itself."""

    IN_FORCE = 0  # also of commands that are not about one change
    INVALID = 2
    DROPPED = 3
    UNKNOWN = 4


class StoreUnavailableError(Exception):
    """The store does not answer."""


class Progress(NamedTuple):
    """The state of a change, as an exit status and as a line of text."""

    status: ExitStatus
    line: str


def _ignore(_line: str) -> None:
    pass


class PolicyClient:
    """Reads and proposes policies. report(line): called with lines on the progress of a change."""

    def __init__(self, address: str, name: str, report: Callable[[str], None] = _ignore) -> None:
        """address: of the store; name: of the fleet."""
        self.session = StoreClient(address, fleet_prefix(name), TIMEOUT_S)
        self.report = report

    def read(self) -> dict[str, KeyValue]:
        """Read all keys of the rollout. Raises StoreUnavailableError."""
        reply = self.session.call(ReadPrefix(ROLLOUT_PREFIX))
        if reply.proof != Proof.DONE:
            raise StoreUnavailableError
        return {item.key: item for item in reply.items}

    def current(self) -> PolicyVersion:
        """The version in force."""
        return current_version(self.read())

    def history(self) -> list[HistoryEntry]:
        """The decided versions, oldest first."""
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
        """Propose a text as a new version, and return it.

        parent: the version that has to be in force; None: any. Raises PolicyError if the text can't be
        proposed, StoreUnavailableError if the store does not answer. If only the reply was lost the version
        is returned too; status() shows whether it was proposed.
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
            raise PolicyError("somebody else proposed at the same moment")
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
        """The present state of a change."""
        keys = self.read()
        if history_key(number) in keys:
            return _progress_decided(number, keys)
        if CHANGE_KEY in keys:
            change = decode_change(keys[CHANGE_KEY].value)
            if change.version.number == number:
                line = f"{number} is {change.state}; {_votes_line(number, keys)}"
                return Progress(ExitStatus.UNKNOWN, line)
        return Progress(ExitStatus.UNKNOWN, f"nothing is known of {number}")

    def wait(self, number: int, seconds: float) -> Progress:
        """Wait until a change is decided, at most for this time; return its state."""
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


def _progress_decided(number: int, keys: Mapping[str, KeyValue]) -> Progress:
    outcome = decode_outcome(keys[history_key(number)].value)
    if outcome.state == ChangeState.DROPPED:
        return Progress(ExitStatus.DROPPED, f"{number} is dropped: {outcome.reason}")
    change = decode_change(keys[CHANGE_KEY].value) if CHANGE_KEY in keys else None
    if change is None or change.version.number != number:
        return Progress(ExitStatus.IN_FORCE, f"{number} is in force everywhere")
    return Progress(ExitStatus.UNKNOWN, f"{number} is decided; {_votes_line(number, keys)}")


def _votes_line(number: int, keys: Mapping[str, KeyValue]) -> str:
    """The members, by their votes on a change."""
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
    return "; ".join(lines) or "nobody is there"
