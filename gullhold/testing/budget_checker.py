"""Checks the budgets of a fleet by what its engines recorded and by the store's journal.

It shares no code with what it checks. It knows only the stored form: budget/parts/MEMBER holds a member's row
of allocations, budget/asks/MEMBER its report.
"""

import json
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from gullhold.testing.attempt_record import AttemptRecord

ALLOCATIONS = "budget/parts/"
REPORTS = "budget/asks/"
FLEET_KEY_PARTS = 3  # parts of /gullhold/FLEET/, which comes before a key of the fleet


class AttemptRecorder(Protocol):
    """An engine that keeps a record of each attempt that it was sent."""

    attempts: Sequence[AttemptRecord]


class Peak(NamedTuple):
    """The highest sum, and the time in s at which it was reached."""

    amount: float
    at: float


class TimedAmount(NamedTuple):
    """An amount and its time in s."""

    at: float
    amount: float


class AllocationsAt(NamedTuple):
    """All allocations after a write, with its time in s: {budget: {member: amount}}."""

    at: float
    by_budget: Mapping[str, Mapping[str, int]]


class ReportAt(NamedTuple):
    """A member's report, with its time in s: {budget: [in use, peak, requested]}."""

    at: float
    member: str
    usage: Mapping[str, Sequence[int]]


def peak_threads(attempts: Iterable[AttemptRecord]) -> Peak:
    """Return the peak of the threads that attempts used at one instant.

    An attempt that ends at the instant at which another starts is taken to have ended first.
    """
    steps = []
    for attempt in attempts:
        ended_at = float("inf") if attempt.ended_at is None else attempt.ended_at
        steps.append((attempt.started_at, 1, attempt.threads))
        steps.append((ended_at, 0, -attempt.threads))
    total = 0
    peak = Peak(0, 0.0)
    for at, _, step in sorted(steps):
        total += step
        if total > peak.amount:
            peak = Peak(total, at)
    return peak


def peak_in_window(rows: Iterable[tuple[float, float]], window_s: float) -> Peak:
    """Return the peak of the amounts within any window, and the window's end; rows: (time in s, amount)."""
    rows = sorted(rows)
    first = 0
    total: float = 0
    peak = Peak(0, 0.0)
    for at, amount in rows:
        total += amount
        while rows[first][0] <= at - window_s:
            total -= rows[first][1]
            first += 1
        if total > peak.amount:
            peak = Peak(total, at)
    return peak


def _starts(engines: Iterable[AttemptRecorder]) -> list[tuple[float, bytes]]:
    """Return (start in s, txn id of the command) of all attempts at all engines, in order of time."""
    return sorted((attempt.started_at, attempt.txn) for engine in engines for attempt in engine.attempts)


def retries(engines: Iterable[AttemptRecorder]) -> list[TimedAmount]:
    """Return all attempts but the first of each command, over all engines."""
    seen: set[bytes] = set()
    found = []
    for at, txn in _starts(engines):
        if txn in seen:
            found.append(TimedAmount(at, 1))
        seen.add(txn)
    return found


def first_attempts(engines: Iterable[AttemptRecorder]) -> list[TimedAmount]:
    """Return the first attempt of each command, over all engines."""
    first: dict[bytes, float] = {}
    for at, txn in _starts(engines):
        first.setdefault(txn, at)
    return [TimedAmount(at, 1) for at in first.values()]


class AllocationHistory:
    """Goes through a journal once, and keeps the allocations after each write and their sums.

    rows: the last row of allocations, by member. max_sums: the highest sum of allocations at any revision, by
    budget. increases: how often an allocation was raised. history: the allocations after each write. reports:
    all reports of members. writes: transactions that wrote allocations. bytes_written: size of all rows and
    reports.
    """

    def __init__(self, lines: Iterable[Mapping[str, Any]]) -> None:
        """lines: of the store's journal, in their order."""
        self.rows: dict[str, dict[str, int]] = {}
        self.max_sums: dict[str, int] = defaultdict(int)
        self.increases = 0
        self.history: list[AllocationsAt] = []
        self.reports: list[ReportAt] = []
        self.writes = 0
        self.bytes_written = 0
        for line in lines:
            if line["what"] == "began":
                self._begin(line["keys"])
            if line["what"] == "txn" and line["met"]:
                self._transaction(line)

    def _begin(self, keys: Iterable[Sequence[Any]]) -> None:
        """The store started with these keys: take the rows from them."""
        self.rows = {}
        for key, value, *_ in keys:
            fleet_key = _fleet_key(key)
            if fleet_key.startswith(ALLOCATIONS):
                self.rows[fleet_key.removeprefix(ALLOCATIONS)] = _decode_row(value)

    def _transaction(self, line: Mapping[str, Any]) -> None:
        has_rows = False
        for kind, key, value, _ in line["acts"]:
            fleet_key = _fleet_key(key)
            if fleet_key.startswith(REPORTS) and kind == "put":
                member = fleet_key.removeprefix(REPORTS)
                self.reports.append(ReportAt(line["at"], member, json.loads(value)["told"]))
                self.bytes_written += len(value)
            if fleet_key.startswith(ALLOCATIONS):
                has_rows = True
                row = _decode_row(value) if kind == "put" else {}
                self._write_row(fleet_key.removeprefix(ALLOCATIONS), row)
                self.bytes_written += len(value or "")
        if has_rows:
            self.writes += 1
            self._record_sums(line["at"])

    def _write_row(self, member: str, row: dict[str, int]) -> None:
        previous = self.rows.get(member, {})
        self.rows[member] = row
        self.increases += sum(amount > previous.get(name, 0) for name, amount in row.items())

    def _record_sums(self, at: float) -> None:
        by_budget: dict[str, dict[str, int]] = {}
        for member, row in self.rows.items():
            for name, amount in row.items():
                amounts = by_budget.setdefault(name, {})
                if amount:
                    amounts[member] = amount
        for name, amounts in by_budget.items():
            self.max_sums[name] = max(self.max_sums[name], sum(amounts.values()))
        self.history.append(AllocationsAt(at, by_budget))

    def allocated_by_name(self, budget: str) -> dict[str, int]:
        """Return the allocation of each member name, over all its processes, as last written."""
        found: dict[str, int] = defaultdict(int)
        for member, row in self.rows.items():
            found[member.partition("/")[0]] += row.get(budget, 0)
        return {name: amount for name, amount in found.items() if amount}


def _decode_row(value: str) -> dict[str, int]:
    row = json.loads(value)["row"]
    return {name: packed if isinstance(packed, int) else packed[0] for name, packed in row.items()}


def _fleet_key(key: str) -> str:
    """Return a key without the prefix of its fleet, /gullhold/FLEET/."""
    return key.split("/", FLEET_KEY_PARTS)[FLEET_KEY_PARTS]
