"""Checks the decisions on scheduled commands alone: owners that vanish and wake, lost replies, every outcome.

A play has one owner's plan over a register of a few lines; a walk has several owners over one register, of
which only the last has the token. Mutants are deliberate faults that the walks have to find.
"""

import random

from gullhold.fleet import schedule
from gullhold.fleet.calendar import Calendar
from gullhold.fleet.schedule import Kind, Plan, Rule, record_of
from gullhold.fleet.store_calls import KeyValue, Proof, Put, Reply
from gullhold.interface import Idempotency
from gullhold.testing.walking import Broken

S = 1_000_000
KINDS = tuple(Kind(effect, 3 * S, 2 * S, True) for effect in range(3))
RULE = Rule("a", 60 * S, 3, False, 100_000)
NO_EFFECT = (schedule.SHED, schedule.UNDONE)


class Store:
    """A register of a few lines, for one command; `lose` is what becomes of the next write's reply."""

    def __init__(self):
        self.items, self.revision, self.token, self.lose = {}, 1, 4, None

    def read(self, prefix):
        """All keys with a prefix."""
        found = [KeyValue(key, *told) for key, told in sorted(self.items.items()) if key.startswith(prefix)]
        return Reply(Proof.DONE, self.revision, items=tuple(found))

    def write(self, token, acts, when):
        """A transaction under a token; a record that is final may not change."""
        met = token == self.token and all(self.items.get(key, ("", 0))[1] == at for key, at in when)
        lose, self.lose = self.lose, None
        if lose == Proof.NOT_DONE:
            return Reply(Proof.NOT_DONE)
        if met:
            self.revision += 1
            for act in acts:
                if not isinstance(act, Put):
                    self.items.pop(act.key, None)
                    continue
                old = record_of(self.items.get(act.key, ("", 0))[0]) if "/run/" in act.key else None
                if old and old.state not in schedule.OPEN and act.value != self.items[act.key][0]:
                    raise Broken(f"{old.state} became {record_of(act.value).state}")
                self.items[act.key] = (act.value, self.revision)
        return Reply(Proof.UNKNOWN) if lose else Reply(Proof.DONE, self.revision, succeeded=met)

    def records(self):
        """All occurrences that are kept."""
        return [record_of(value) for key, (value, _) in sorted(self.items.items()) if "/run/" in key]


class Play:
    """A plan over a store, step by step; what it sends and tells is kept. now: Unix us."""

    def __init__(self, kind, rule=RULE, store=None, by="n0", every=S, make=Plan):
        self.store, self.now, self.sent, self.told = store or Store(), 1000 * S + 1, [], []
        self.plan = make(rule, kind, Calendar("", "UTC", every), by)
        self.may_act = True

    def own(self):
        """It has the duty, under the store's token."""
        self.plan.won(self.store.token, self.now)
        return self.go()

    def go(self, us=0):
        """Time passes, and all that is asked for is done."""
        self.now += us
        self.plan.step(self.now)
        while out := self.plan.take_actions():
            for what, *told in out:
                if what == schedule.READ:
                    self.plan.read(self.now, self.store.read(told[0]))
                elif what == schedule.WRITE:
                    serial, token, acts, when = told
                    self.plan.written(self.now, serial, self.store.write(token, acts, when), self.may_act)
                elif what == schedule.SEND:
                    self.sent.append(told)
                elif what == schedule.TELL:
                    self.told.append(told)
        return self

    def end(self, state, why=""):
        """The send that is out is over."""
        self.plan.ended(self.now, state, why)
        return self.go()

    def states(self):
        """(due in s, state) of each occurrence."""
        return [(item.due_us // S, item.state) for item in self.store.records()]


class Watched(Play):
    """Checks each send when it is made, beside all that others made before it."""

    def __init__(self, kind, sends, **other):
        super().__init__(kind, **other)
        self.kind, self.sends = kind, sends  # sends: due: [[mark, at, limit, what came of it]]

    def go(self, us=0):
        """As a Play, then look."""
        known = len(self.sent)
        super().go(us)
        for due, tries, mark, at, limit in self.sent[known:]:
            self._look(due, tries, mark, at, limit)
        return self

    def _look(self, due, tries, mark, at, limit):
        records = {item.due_us: item for item in self.store.records()}
        record = records.get(due)
        if record is None or record.tries < tries:
            raise Broken("a send without its intent")
        earlier = self.sends.setdefault(due, [])
        open_ones = [row for row in earlier if row[3] not in NO_EFFECT]
        if self.kind.idempotency == Idempotency.NON_IDEMPOTENT and open_ones:
            raise Broken("a non-replayable one is sent again though it may have run")
        if self.kind.idempotency == Idempotency.KEYED and open_ones:
            if any(row[0] != mark for row in open_ones):
                raise Broken("a uniqued one is sent again under another mark")
            if at + limit > open_ones[0][1] + self.kind.dedup_window_us:
                raise Broken("a uniqued one may run when its mark is forgotten")
        if len(earlier) >= RULE.tries:
            raise Broken(f"{len(earlier) + 1} sends of one occurrence")
        earlier.append([mark, at, limit, None])

    def end(self, state, why=""):
        """What came of it is kept."""
        flight = self.plan.flight
        self.sends[flight.due_us][-1][3] = state
        return super().end(state, why)


def walk(seed, steps=60, make=Plan):
    """One random walk; raises Broken."""
    draw = random.Random(seed)
    kind, store, sends = KINDS[seed % 3], Store(), {}
    plays = [Watched(kind, sends, store=store, make=make).own()]
    ends = (schedule.ANSWERED, schedule.FAILED, schedule.SHED)
    for _ in range(steps):
        what, last = draw.random(), plays[-1]
        if what < 0.12:  # another takes over; who had it sleeps, and may wake
            plays.append(Watched(kind, sends, store=store, by=f"n{len(plays)}", make=make))
            store.token += 1
            plays[-1].now = last.now
            plays[-1].own()
        elif what < 0.3:
            store.lose = draw.choice((Proof.UNKNOWN, Proof.NOT_DONE))
        elif what < 0.6:
            us = draw.randrange(900_000)
            for one in plays:
                one.may_act = one is plays[-1]
                one.go(us)
        elif last.plan.flight:
            last.end(draw.choice(ends))
        elif plays[0].plan.flight and plays[0] is not last:
            plays[0].end(schedule.ANSWERED)


class SendsFirst(Plan):
    """Writes the intent after the send."""

    def _write(self, purpose, record, upto):
        super()._write(purpose, record, upto)
        if purpose == "intent" and not self.flight:
            write = self.out.pop()
            self._send(record, record.began_us)
            self.out.append(write)


class RunsAgain(Plan):
    """Sends again whatever its profile."""

    def _recover(self, record, now):
        self._intend(record._replace(tries=record.tries + 1), now)


class ForgetsWindow(Plan):
    """Gives a uniqued one its whole client timeout, however old its mark is."""

    def _send(self, record, now):
        super()._send(record._replace(began_us=now), now)


class NewMark(Plan):
    """Draws a mark for each try."""

    def _send(self, record, now):
        super()._send(record, now)
        if self.out and self.out[-1][0] == schedule.SEND:
            self.out[-1] = (*self.out[-1][:3], schedule.mark_of(self.by, now), *self.out[-1][4:])


class AnyRecord(Plan):
    """Writes records without comparing them with what it knows."""

    def _write(self, purpose, record, upto):
        super()._write(purpose, record, upto)
        self.out[-1] = (*self.out[-1][:4], ())

    def read(self, now, reply):
        """Keeps what it has in mind, whatever the register says."""
        kept = dict(self.records)
        super().read(now, reply)
        self.records.update(kept)


class FailureIsShed(Plan):
    """Takes a failure for proof that nothing ran."""

    def ended(self, now, state, why):
        """As if it had been turned away."""
        super().ended(now, schedule.SHED if state == schedule.FAILED else state, why)


MUTANTS = (SendsFirst, RunsAgain, ForgetsWindow, NewMark, AnyRecord, FailureIsShed)


def find(mutant, walks):
    """(seed, what broke) of the first walk that finds it, or None."""
    for seed in range(walks):
        try:
            walk(seed, make=mutant)
        except Exception as fault:
            return seed, f"{fault!r}"
    return None
