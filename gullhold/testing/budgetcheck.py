"""The checker of a fleet's budgets: counts what engines saw, and reads the register's journal.

It shares nothing with what it checks but how things are written: budget/parts/MEMBER holds a row of parts,
budget/asks/MEMBER a report.
"""

import json
from collections import defaultdict


def most_at_once(flights, of=2, now=None):
    """(the most that was in an engine at one instant, when); of: the column that is summed. What came and
    went at one instant is taken to have gone first."""
    steps = []
    for row in flights:
        steps.append((row[0], 1, row[of]))
        steps.append((row[1] if row[1] is not None else now or float("inf"), 0, -row[of]))
    total, most, when = 0, 0, 0.0
    for at, _, step in sorted(steps):
        total += step
        if total > most:
            most, when = total, at
    return most, when


def most_in_window(rows, window_s):
    """(the most that fell into any window, when it ended); rows: (time, amount)."""
    rows, first, total, most, when = sorted(rows), 0, 0, 0, 0.0
    for at, amount in rows:
        total += amount
        while rows[first][0] <= at - window_s:
            total -= rows[first][1]
            first += 1
        if total > most:
            most, when = total, at
    return most, when


def further_sends(engines):
    """[(time, 1)] of all sends of a command but its first, over all engines."""
    seen, found = set(), []
    for at, txn in sorted((row[0], row[3]) for engine in engines for row in engine.flights):
        if txn in seen:
            found.append((at, 1))
        seen.add(txn)
    return found


def first_sends(engines):
    """[(time, 1)] of the first send of each command."""
    first = {}
    for at, txn in sorted((row[0], row[3]) for engine in engines for row in engine.flights):
        first.setdefault(txn, at)
    return [(at, 1) for at in first.values()]


class Parts:
    """Goes through a journal once: parts as written, their sums, their moves.

    most: {budget: the most that parts summed to at any revision}; moves: raises after the first of a member;
    history: [(time, {budget: {member: part}})] at each write; asks: [(time, member, told)].
    """

    def __init__(self, lines):
        self.rows, self.most, self.moves = {}, defaultdict(int), 0
        self.history, self.asks, self.writes, self.bytes = [], [], 0, 0
        for line in lines:
            if line["what"] == "began":
                self.rows = {
                    _tail(key).removeprefix("budget/parts/"): _row(value)
                    for key, value, *_ in line["keys"]
                    if _tail(key).startswith("budget/parts/")
                }
            if line["what"] == "txn" and line["met"]:
                self._txn(line)

    def _txn(self, line):
        touched = False
        for kind, key, value, _ in line["acts"]:
            tail = _tail(key)
            if tail.startswith("budget/asks/") and kind == "put":
                self.asks.append((line["at"], tail.removeprefix("budget/asks/"), json.loads(value)["told"]))
                self.bytes += len(value)
            if not tail.startswith("budget/parts/"):
                continue
            member, touched = tail.removeprefix("budget/parts/"), True
            old = self.rows.get(member, {})
            self.rows[member] = _row(value) if kind == "put" else {}
            self.bytes += len(value or "")
            self.moves += sum(part > old.get(name, 0) for name, part in self.rows[member].items())
        if touched:
            self.writes += 1
            sums = defaultdict(int)
            for row in self.rows.values():
                for name, part in row.items():
                    sums[name] += part
            for name, total in sums.items():
                self.most[name] = max(self.most[name], total)
            self.history.append(
                (
                    line["at"],
                    {
                        name: {member: row[name] for member, row in self.rows.items() if row.get(name)}
                        for name in sums
                    },
                )
            )

    def now(self, budget):
        """{member's name: its parts of a budget, all its processes together} as last written."""
        found = defaultdict(int)
        for member, row in self.rows.items():
            found[member.partition("/")[0]] += row.get(budget, 0)
        return {name: part for name, part in found.items() if part}


def _row(value):
    return {
        name: part if isinstance(part, int) else part[0] for name, part in json.loads(value)["row"].items()
    }


def _tail(key):
    return key.split("/", 3)[3]
