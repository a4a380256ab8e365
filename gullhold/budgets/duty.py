"""Dividing the fleet's budgets as a duty: reads, divides, writes; one write at a time. Decisions only.

Keys: asks/MEMBER, a member's report, hangs on its lease: while it is there, the member is. parts/MEMBER, its
row. `fence` is written and compared with every write, so that a call that was given up can't be carried out
between two later ones; what was written before it stays in force, booked. After a reply that proves nothing,
or a fence that is not as we left it, all is read anew.
"""

import json

from gullhold.budgets.divider import Divider
from gullhold.fleet.role_state import LogEvent, RoleState
from gullhold.fleet.store_calls import MAX_TRANSACTION_OPERATIONS, Delete, Put

ROOT = "budget/"
ASKS, PARTS, FENCE = ROOT + "asks/", ROOT + "parts/", ROOT + "fence"
DUTY = "budgets"
ROWS_MOST = (
    MAX_TRANSACTION_OPERATIONS - 2
) // 2  # rows in one write: each may come with a report to take away
SERIALS = 1 << 20  # writes under one token: numbers grow over tokens too
LEAST_US = 20_000  # us between writes: several reports are answered by one


def report_text(seen, told, left=False):
    """A report as the register holds it."""
    return json.dumps({"seen": seen, "told": told, "left": left}, separators=(",", ":"))


def report_of(text):
    """(seen, {budget: (out, used, want)}, whether it has left) of a report; None: it can't be read."""
    try:
        told = json.loads(text)
        rows = {name: (int(out), int(used), int(want)) for name, (out, used, want) in told["told"].items()}
        return int(told["seen"]), rows, bool(told.get("left"))
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


def row_text(write, row):
    """A row as the register holds it."""
    return json.dumps({"write": write, "row": row}, separators=(",", ":"))


def row_of(text):
    """(write, row) of a row; (0, {}): it can't be read."""
    try:
        told = json.loads(text)
        return int(told["write"]), dict(told["row"])
    except (ValueError, TypeError, KeyError):
        return 0, {}


def fence_text(write, budgets):
    """The fence as the register holds it: also what the divider goes by, for staff."""
    wholes = {name: (budget.whole, budget.alone * budget.members_most) for name, budget in budgets.items()}
    return json.dumps({"write": write, "wholes": wholes}, separators=(",", ":"))


def fence_of(text):
    """{budget or word: (whole, kept back)} of a fence; {}: it can't be read."""
    try:
        return {name: (int(whole), int(back)) for name, (whole, back) in json.loads(text)["wholes"].items()}
    except (ValueError, TypeError, KeyError):
        return {}


def part_in(packed):
    """The part that a row's packed entry holds."""
    return packed if isinstance(packed, int) else packed[0]


class Dividing(RoleState):
    """The duty of dividing, while we own it."""

    def __init__(self, budgets, weights=None, make=Divider):
        super().__init__(ROOT)
        self.budgets, self.weights, self.make = budgets, weights, make
        self.divider, self.fence, self.revision, self.last_at = None, 0, 0, 0
        self.dirty, self.gone = {}, {}  # members to write; whose keys to take away

    def resize(self, wholes):
        """{name or word: whole} from now on, for this divider and the books that it reads."""
        self.budgets = {
            name: budget._replace(whole=wholes.get(name, budget.whole))
            for name, budget in self.budgets.items()
        }
        if self.divider:
            self.divider.resize(wholes)

    def lost(self):
        """The duty is not surely ours: the books are another's."""
        super().lost()
        self.divider = None

    def _next_write_at(self, _now):
        at = 0 if self.dirty or self.gone or self.divider.over else self.divider.due()
        return None if at is None else max(at, self.last_at + LEAST_US)

    def _write_next(self, now):
        if now >= self.last_at + LEAST_US:
            self._divide(now)

    def _divide(self, now):
        number = self.token * SERIALS + next(self.serials)
        found = self.divider.divide(number, now)
        for member in found:
            self.dirty[member] = None
        self.gone |= dict.fromkeys(self.divider.over)
        for member in self.divider.over:
            self.dirty.pop(member, None)  # its keys go
        self.divider.over = set()
        if not self.dirty and not self.gone:
            return
        members = list(self.dirty)[:ROWS_MOST]
        gone = list(self.gone)[: ROWS_MOST - len(members)]
        acts = [Put(FENCE, fence_text(number, self.budgets))]
        for member in members:
            row = self.divider.row(member)
            acts.append(Put(PARTS + member, row_text(number, row)) if row else Delete(PARTS + member))
            del self.dirty[member]
        for member in gone:
            acts += [Delete(PARTS + member), Delete(ASKS + member)]
            del self.gone[member]
        self.last_at = now
        self._write(acts, ((FENCE, self.fence),))

    def _write_confirmed(self, reply):
        if reply.succeeded:
            self.fence = reply.revision
        return reply.succeeded

    def _on_loaded(self, now, reply):
        """Rows first, then who reports; who stands in a row and does not has left."""
        self.divider, self.fence = self.make(self.budgets, self.weights), 0
        self.dirty, self.gone = {}, {}
        rows, asks = {}, {}
        for item in reply.items:
            if item.key == FENCE:
                self.fence = item.revision
            elif item.key.startswith(PARTS):
                rows[item.key.removeprefix(PARTS)] = row_of(item.value)[1]
            elif item.key.startswith(ASKS):
                asks[item.key.removeprefix(ASKS)] = item.value
        self.divider.load(rows, now)
        for member, value in asks.items():
            self._heard(member, value, now)
        for member in rows:
            if member not in asks:
                self.divider.left(member, now)
        self.revision = reply.revision
        self.out.append(LogEvent("info", "divides", {"members": len(asks), "rows": len(rows)}))

    def _on_key_changed(self, now, key, value, revision):
        """A report changed; value None: its lease has ended."""
        if revision <= self.revision and value is not None:
            return False  # that of an older one was read; an end that was read already changes nothing
        self.revision = max(self.revision, revision)
        member = key.removeprefix(ASKS)
        if value is not None:
            self._heard(member, value, now)
        elif member in self.divider.there:
            self.divider.left(member, now)
            if member not in self.divider.rows:
                self.gone[member] = None
        return True

    def _heard(self, member, value, now):
        report = report_of(value)
        if report is None:
            self.out.append(LogEvent("warning", "a report that can't be read", {"of": member}))
            return
        seen, told, left = report
        if left:  # in good order
            self.divider.left(member, now, told)
            if member not in self.divider.rows:
                self.gone[member] = None
        else:
            self.divider.report(member, seen, told, now)
