"""Dividing the fleet's budgets as a duty: reads, divides, writes; one write at a time. Decisions only.

Keys: asks/MEMBER, a member's report, hangs on its lease: while it is there, the member is. parts/MEMBER, its
row. `fence` is written and compared with every write, so that a call that was given up can't be carried out
between two later ones; what was written before it stays in force, booked. After a reply that proves nothing,
or a fence that is not as we left it, all is read anew.
"""

import json
from itertools import count

from gullhold.budgets.divider import Divider
from gullhold.fleet.calls import DONE, TXN_MOST, Drop, Put

ROOT = "budget/"
ASKS, PARTS, FENCE = ROOT + "asks/", ROOT + "parts/", ROOT + "fence"
DUTY = "budgets"
READ, WRITE, FOLLOW, TELL = range(4)   # what it hands out
ROWS_MOST = (TXN_MOST - 2) // 2        # rows in one write: each may come with a report to take away
SERIALS = 1 << 20                      # writes under one token: numbers grow over tokens too
LEAST_US = 20_000                      # us between writes: several reports are answered by one
IDLE_US = 2_000_000                    # us between steps while nothing is told: all that comes makes a step
AGAIN_US = 200_000                     # us until the next try after a reply that proves nothing


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


class Dividing:
    """The duty while we own it. Everything it wants done is in take(); due() is when to step(). Times are us
    of a monotonic clock.

    Handed out: (READ, serial, prefix), answered by read(); (WRITE, serial, token, acts, when), answered by
    written(); (FOLLOW, revision): changes of reports from there on, to changed(); (TELL, level, text, facts).
    """

    def __init__(self, budgets, weights=None, make=Divider):
        self.budgets, self.weights, self.make = budgets, weights, make
        self.token, self.out, self.serials = 0, [], count(1)
        self.reading, self.writing = None, None   # serials of the calls under way
        self.again_at, self.loaded = 0, False
        self.newest = self.known = 0   # revision that we were told of: now, and when a read was asked for
        self.early = []   # changes that came before the reply to READ: it may not show them
        self.divider, self.fence, self.revision = None, 0, 0
        self.dirty, self.gone, self.write_number = {}, {}, 0   # members to write; whose keys to take away
        self.last_at, self.moves, self.writes = 0, 0, 0

    def take(self):
        """What is to be done now, in order."""
        out, self.out = self.out, []
        return out

    def resize(self, wholes):
        """{name or word: whole} from now on, for this divider and the books that it reads."""
        self.budgets = {name: budget._replace(whole=wholes.get(name, budget.whole))
                        for name, budget in self.budgets.items()}
        if self.divider:
            self.divider.resize(wholes)

    def won(self, token, now):
        """The duty is ours, under this token."""
        self.token, self.serials, self.writing, self.reading = token, count(1), None, None
        self.loaded, self.again_at = False, 0
        self.step(now)

    def lost(self):
        """The duty is not surely ours: nothing is written."""
        self.token, self.divider, self.loaded, self.writing = 0, None, False, None

    def due(self, now):
        """When to step at the latest."""
        if not self.token or self.reading or self.writing:
            return now + IDLE_US
        if not self.loaded:
            return max(now, self.again_at)
        at = 0 if self.dirty or self.gone or self.divider.over else self.divider.due()
        return now + IDLE_US if at is None else max(now, at, self.last_at + LEAST_US, self.again_at)

    def step(self, now):
        """Do what is next, if nothing is under way."""
        if not self.token or self.reading or self.writing or now < self.again_at:
            return
        if not self.loaded:
            self.reading, self.early, self.known = (self.token, next(self.serials)), [], self.newest
            self.out.append((READ, self.reading, ROOT))
        elif now >= self.last_at + LEAST_US:
            self._divide(now)

    def _divide(self, now):
        number = self.token * SERIALS + next(self.serials)
        found = self.divider.divide(number, now)
        for member in found:
            self.dirty[member] = None
        self.gone |= dict.fromkeys(self.divider.over)
        for member in self.divider.over:
            self.dirty.pop(member, None)   # its keys go
        self.divider.over = set()
        if not self.dirty and not self.gone:
            return
        members = list(self.dirty)[:ROWS_MOST]
        gone = list(self.gone)[:ROWS_MOST - len(members)]
        acts = [Put(FENCE, fence_text(number, self.budgets))]
        for member in members:
            row = self.divider.row(member)
            acts.append(Put(PARTS + member, row_text(number, row)) if row else Drop(PARTS + member))
            del self.dirty[member]
        for member in gone:
            acts += [Drop(PARTS + member), Drop(ASKS + member)]
            del self.gone[member]
        self.writes += 1
        self.moves += sum(map(len, found.values()))
        self.writing, self.last_at = (self.token, next(self.serials)), now
        self.out.append((WRITE, self.writing, self.token, tuple(acts), ((FENCE, self.fence),)))

    def written(self, now, serial, reply):
        """The reply to a WRITE."""
        if self.writing != serial:
            return
        self.writing = None
        if reply.proof == DONE and reply.met:
            self.fence = reply.revision
            self.newest = max(self.newest, reply.revision)
            self.step(now)
            return
        if reply.proof != DONE:
            self.again_at = now + AGAIN_US
        self.loaded = False   # what stands is not known: read it
        self.step(now)

    def read(self, now, serial, reply):
        """The reply to READ: rows first, then who reports; who stands in a row and does not has left."""
        if not self.token or self.reading != serial:
            return
        self.reading = None
        # Guards against a read from the past: what it does not show is not told again.
        if reply.proof != DONE or reply.revision < self.known:
            self.again_at = now + AGAIN_US
            return
        self.newest = max(self.newest, reply.revision)
        self.divider, self.fence = self.make(self.budgets, self.weights), 0
        self.dirty, self.gone, self.loaded = {}, {}, True
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
        self.out.append((FOLLOW, reply.revision + 1))
        self.out.append((TELL, "info", "divides", {"members": len(asks), "rows": len(rows)}))
        for key, value, revision in self.early:
            self.changed(now, key, value, revision)
        self.step(now)

    def changed(self, now, key, value, revision):
        """A report changed; value None: its lease has ended."""
        self.newest = max(self.newest, revision)
        if self.reading:
            self.early.append((key, value, revision))
        if not self.loaded or revision <= self.revision and value is not None:
            return   # that of an older one was read; an end that was read already changes nothing
        self.revision = max(self.revision, revision)
        member = key.removeprefix(ASKS)
        if value is not None:
            self._heard(member, value, now)
        elif member in self.divider.there:
            self.divider.left(member, now)
            if member not in self.divider.rows:
                self.gone[member] = None
        self.step(now)

    def _heard(self, member, value, now):
        report = report_of(value)
        if report is None:
            self.out.append((TELL, "warning", "a report that can't be read", {"of": member}))
            return
        seen, told, left = report
        if left:   # in good order
            self.divider.left(member, now, told)
            if member not in self.divider.rows:
                self.gone[member] = None
        else:
            self.divider.report(member, seen, told, now)

    def missed(self, now):
        """Changes were missed: all is read anew."""
        self.loaded = False
        self.step(now)
