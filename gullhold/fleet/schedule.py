"""Scheduled commands: what the owner of one does about each time that it is due. Decisions only.

Engines know no tokens. So each occurrence has a record in the register: the intent is written under the
owner's token before the send, the outcome after it. Who owns the command next reads the records and goes by
the profile: a replayable one runs again, a uniqued one again only with the same mark and while every engine
still knows it, a non-replayable one never where an intent stands without an outcome.
"""

import json
from hashlib import blake2s
from typing import NamedTuple

from gullhold.fleet.store_calls import Delete, Proof, Put
from gullhold.interface import Idempotency

# States of an occurrence. INTENT: it may have been sent. SHED, UNDONE: the last try provably had no effect,
# and another may follow. The rest are final.
INTENT, SHED, UNDONE, ANSWERED, FAILED, SKIPPED = "intent", "shed", "undone", "answered", "failed", "skipped"
OPEN = (INTENT, SHED, UNDONE)
PLAN = "plan/"
READ, WRITE, SEND, BUSY, TELL = range(5)  # what a Plan hands out
KEPT = 20  # settled records that stay, for staff and for who owns the command next
LEAST_PART = 0.1  # of the client timeout: with less time left a try is not begun
AGAIN_US = 500_000  # us until the next try after one without effect, as a client would wait
STEP_US = 20_000  # us between steps at least: calendars are in seconds


class Kind(NamedTuple):
    """What the agreement says of a command's profile; times in us. everywhere: all engines drop a repeat."""

    idempotency: Idempotency
    timeout_us: int
    dedup_window_us: int
    everywhere: bool


class Rule(NamedTuple):
    """What the operator says of one scheduled command.

    window_us: how late it may begin. tries: the most sends of one occurrence that the fleet asks for. wait:
    one that is due while the last still runs waits for it (within its window), else it is skipped. skew_us:
    the most that two hosts' Unix clocks differ.
    """

    name: str
    window_us: int
    tries: int
    wait: bool
    skew_us: int


class Record(NamedTuple):
    """One occurrence, as it stands in the register. began_us: its first intent; count: of those skipped."""

    due_us: int
    state: str
    token: int
    tries: int = 0
    began_us: int = 0
    by: str = ""
    why: str = ""
    count: int = 1


def text_of(record):
    """A record as the register holds it."""
    return json.dumps(record._asdict())


def record_of(text):
    """A record from the register; None where it can't be read."""
    try:
        return Record(**json.loads(text))
    except (ValueError, TypeError):
        return None


def mark_of(name, due_us):
    """The mark by which engines know a repeat: the same for all tries, whoever makes them."""
    return blake2s(f"{name} {due_us}".encode(), digest_size=16).hexdigest()


def recover(rule, kind, record, now):
    """What becomes of an open record that nobody works on: (how long a next try may take in us, ""), or
    (0, why it has failed). now: Unix us."""
    late = now > record.due_us + rule.window_us
    if record.tries >= rule.tries:
        return 0, f"{record.tries} tries"
    if record.state != INTENT:  # it provably had no effect: trying again is harmless
        return (0, "its window is over") if late else (kind.timeout_us, "")
    if kind.idempotency == Idempotency.NON_IDEMPOTENT:
        return 0, "it may have run: its owner vanished or was told a failure; check its effect by hand"
    if late:
        return 0, "it may have run, and its window is over"
    if kind.idempotency == Idempotency.IDEMPOTENT:
        return kind.timeout_us, ""
    if not kind.everywhere:  # the engines that know the mark are known to the vanished owner alone
        return 0, "it may have run, and not all engines would drop a repeat"
    # Never past the time for which engines remember the mark, counted from before it can have run.
    left = min(kind.timeout_us, record.began_us + kind.dedup_window_us - rule.skew_us - now)
    if left < LEAST_PART * kind.timeout_us:
        return 0, "it may have run, and engines may have forgotten its mark"
    return left, ""


class Plan:
    """One scheduled command while we own it. Everything it wants done is in take(); due() is when to step().

    Handed out: (READ, prefix), answered by read(); (WRITE, serial, token, acts, when), answered by written();
    (SEND, due, tries, mark, at, limit in us), answered by ended(); (BUSY, whether in the middle of work);
    (TELL, level, text, facts). All times are Unix us.
    """

    def __init__(self, rule, kind, calendar, by):
        self.rule, self.kind, self.calendar, self.by = rule, kind, calendar, by
        self.prefix = f"{PLAN}{rule.name}/"
        self.token, self.serial, self.out, self.leaving = 0, 0, [], False
        self.loaded, self.reading, self.writing = False, False, None  # writing: (serial, purpose, record)
        self.upto, self.records, self.revisions = 0, {}, {}
        self.flight, self.result, self.unsent = None, None, None  # records: out; over; written, not sent
        self.again_at, self.pause_until = {}, 0
        self.off = False  # a policy says that it does not run

    def take_actions(self):
        """What is to be done now, in order."""
        out, self.out = self.out, []
        return out

    def won(self, token, now):
        """The duty is ours, under this token: what is known is read anew."""
        self.token, self.loaded, self.reading, self.writing = token, False, False, None
        self.step(now)

    def gone(self):
        """The duty is not surely ours: nothing is begun. What is out goes on; what came of it is kept."""
        self.token, self.writing = 0, None
        self.out.append((BUSY, False))
        if self.flight:
            self._tell("warning", "the duty went while a send was out", due=self.flight.due_us)

    def leave(self):
        """Begin nothing any more; what is open is ended."""
        self.leaving = True

    def due(self, now):
        """When to step at the latest."""
        if not self.token or self.reading or self.writing:
            return now + AGAIN_US
        times = [self.calendar.after(self.upto)] if self.loaded else [now]
        times += [at for at in self.again_at.values() if at > now]
        return max(now + STEP_US, self.pause_until, min(times))

    # Steps

    def step(self, now):
        """Do what is next, if nothing is under way."""
        if not self.token or self.reading or self.writing or now < self.pause_until:
            return
        if not self.loaded:
            self.reading = True
            self.out.append((READ, self.prefix))
        elif not self.upto:  # a new command begins with what is due from now on
            self._write("start", None, now)
        elif self.result:
            record, self.result = self.result, None
            old = self.records.get(record.due_us)
            if old and (old.token, old.tries, old.state) == (record.token, record.tries, INTENT):
                self._write("settle", record, self.upto)  # else somebody else went on with it
            else:
                self.step(now)
        elif self.leaving:
            return
        elif not self.flight and (record := self._open(now)):
            self._recover(record, now)
        else:
            self._next(now)

    def _open(self, now):
        for record in self.records.values():
            if record.state in OPEN and self.again_at.get(record.due_us, 0) <= now:
                return record
        return None

    def _recover(self, record, now):
        if self.unsent == record:  # our own intent, written after all, and never sent
            self._intend(record, now)
            return
        limit, why = recover(self.rule, self.kind, record, now)
        if limit:
            self._intend(record._replace(tries=record.tries + 1), now)
        else:
            self._write("settle", record._replace(state=FAILED, why=why), self.upto)

    def _next(self, now):
        due = self.calendar.after(self.upto)
        if due > now:
            return
        if self.off:
            count, last = self.calendar.between(self.upto, now)
            self._skip(last, count, "off by the fleet's policy", now)
            return
        count, last = self.calendar.between(self.upto, now - self.rule.window_us - 1)
        if count:
            self._skip(last, count, "missed: nobody owned it, or the fleet was away", now)
        elif self.flight or any(record.state in OPEN for record in self.records.values()):
            if not self.rule.wait:
                count, last = self.calendar.between(self.upto, now)
                self._skip(last, count, "the last one still runs", now)
        else:
            self._intend(Record(due, INTENT, self.token, 1, 0, self.by), now)

    def _skip(self, due, count, why, now):
        self._write("skip", Record(due, SKIPPED, self.token, 0, now, self.by, why, count), due)

    def _intend(self, record, now):
        record = record._replace(
            state=INTENT, token=self.token, by=self.by, began_us=record.began_us or now, why=""
        )
        self.out.append((BUSY, True))
        self.again_at.pop(record.due_us, None)
        self._write("intent", record, max(self.upto, record.due_us))

    def _write(self, purpose, record, upto):
        """Records change only under our token, and only as we know them."""
        self.serial += 1
        self.writing = (self.serial, purpose, record)
        acts, when = [Delete(self._key(due)) for due in self._old()], ()
        if record:
            key = self._key(record.due_us)
            acts.append(Put(key, text_of(record)))
            when = ((key, self.revisions.get(record.due_us, 0)),)
        if upto > self.upto:
            acts.append(Put(self.prefix + "upto", str(upto)))
        self.out.append((WRITE, self.serial, self.token, tuple(acts), when))

    def _old(self):
        """Settled records beyond those that are kept."""
        return sorted(due for due, record in self.records.items() if record.state not in OPEN)[:-KEPT]

    def _key(self, due_us):
        return f"{self.prefix}run/{due_us:020d}"

    # What came of it

    def read(self, now, reply):
        """The reply to READ."""
        if not self.reading:
            return
        self.reading = False
        if reply.proof != Proof.DONE:
            self.pause_until = now + AGAIN_US
            return
        self.loaded, self.upto, self.records, self.revisions = True, 0, {}, {}
        for item in reply.items:
            tail = item.key.removeprefix(self.prefix)
            record = record_of(item.value) if tail.startswith("run/") else None
            if tail == "upto":
                self.upto = int(item.value)
            elif record:
                self.records[record.due_us], self.revisions[record.due_us] = record, item.revision
        self.step(now)

    def written(self, now, serial, reply, may_act):
        """The reply to a WRITE; may_act: whether the token still surely holds, now that it is known."""
        if self.writing is None or self.writing[0] != serial:
            return
        _, purpose, record = self.writing
        self.writing = None
        if reply.proof != Proof.DONE or not reply.succeeded:
            if purpose == "intent":  # whether or not it stands: nothing went out for it
                self.unsent = record
                self.out.append((BUSY, False))
            elif purpose == "settle" and record.due_us in self.records:
                self.result = record  # tried again, unless a read shows that it stands or is another's now
            self.loaded, self.pause_until = False, now + AGAIN_US // 2
            return
        for due in self._old():
            self.records.pop(due), self.revisions.pop(due)
        if purpose == "start":
            self.upto = now
        else:
            self.records[record.due_us], self.revisions[record.due_us] = record, reply.revision
            self.upto = max(self.upto, record.due_us)
        if purpose == "intent" and may_act:
            self._send(record, now)
        elif purpose == "intent":  # it may be ours again soon, or another's: nothing went out
            self.unsent, self.pause_until = record, now + AGAIN_US // 2
        elif purpose in ("settle", "skip"):
            if purpose == "settle":
                self.out.append((BUSY, record.state in OPEN))
            level = {FAILED: "error", SKIPPED: "warning"}.get(record.state, "info")
            self._tell(
                level, record.state, due=record.due_us, tries=record.tries, why=record.why, count=record.count
            )
        self.step(now)

    def _send(self, record, now):
        """It goes out. `at` is the moment at which the token surely held: what a sleep delays beyond the
        limit from then on is never sent. A uniqued one has to be over while its mark is known."""
        limit = self.kind.timeout_us
        if self.kind.idempotency == Idempotency.KEYED:
            limit = min(limit, record.began_us + self.kind.dedup_window_us - self.rule.skew_us - now)
        self.unsent, self.flight = None, record
        if limit <= 0:
            self.ended(now, UNDONE, "no time was left")
            return
        mark = mark_of(self.rule.name, record.due_us)
        self.out.append((SEND, record.due_us, record.tries, mark, now, limit))

    def ended(self, now, state, why):
        """A send is over: ANSWERED, SHED (no effect), UNDONE (never taken) or FAILED (it may have run)."""
        record, self.flight = self.flight, None
        if record is None:
            return
        if state in (SHED, UNDONE, FAILED):
            self.again_at[record.due_us] = now + AGAIN_US
        if (
            state == FAILED
            and self.kind.idempotency != Idempotency.NON_IDEMPOTENT
            and record.tries < self.rule.tries
        ):
            self.step(now)  # the intent stands; recover() says what may follow
            return
        self.result = record._replace(state=state, why=why)
        self.step(now)

    def _tell(self, level, text, **facts):
        self.out.append((TELL, level, text, facts | {"command": self.rule.name, "token": self.token}))
