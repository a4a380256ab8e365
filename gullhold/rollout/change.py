"""A change of policy, carried by whoever owns that duty. Decisions only: fed times, replies and changed keys.

All states stand in the register, so that the next owner goes on where the last one fell. One write decides;
it compares the owner's token, the change as we know it, and the roll of members, which every joining writes:
so whoever joined has said its word on this change, or the decision is not made. Who is down has no key; it
learns what is in force before it sends anything.
"""

import json
from collections import Counter
from hashlib import blake2s
from typing import NamedTuple

from gullhold.fleet.role_state import LogEvent, RoleState
from gullhold.fleet.store_calls import Delete, Put
from gullhold.rollout import record as records
from gullhold.rollout.record import FIRST, Record, Unfit

ROOT = "policy/"
NOW = ROOT + "now/"
CURRENT, CHANGE = NOW + "current", NOW + "change"  # the record in force; the one change that is open
ROLL, WORDS, PAST = ROOT + "roll", ROOT + "words/", ROOT + "past/"
DUTY = "policy"
# States of a change; DECIDED and DROPPED are what one write made of it.
PROPOSED, CHECKED, PREPARED, DECIDED, DROPPED = "proposed", "checked", "prepared", "decided", "dropped"
CANARY = "canary"  # some members go by it for a stated time, and all tell what became of their commands
MOVES = {
    PROPOSED: (CHECKED, DROPPED),
    CHECKED: (CANARY, PREPARED, DECIDED, DROPPED),
    CANARY: (DECIDED, DROPPED),
    PREPARED: (DECIDED, DROPPED),
    DECIDED: (None,),
    DROPPED: (None,),
}
# Words of members, about a change or about what is in force. TRIAL: ready, and going by it meanwhile.
READY, TRIAL, REFUSED, STILL, UNDER = "ready", "trial", "refused", "still", "under"
ENOUGH = {READY: (READY, TRIAL, STILL), STILL: (STILL,)}  # words that say as much
LEAST_TOLD = 20  # commands of a canary from which its share of failures tells something
LOOSE, STRICT = "loose", "strict"
WAIT, DROP = "wait", "drop"
KEPT = 50  # records that stay, for staff


class Canary(NamedTuple):
    """A trial before all go by it: so great a part of the members, for so long; it is dropped where a greater
    share of their commands fails, or their answers take so many times as long as the others'."""

    part: float
    time_us: int
    failed_most: float = 0.05
    slower_most: float = 1.5


class Open(NamedTuple):
    """The open change as it stands. overlap: LOOSE or STRICT; silence: what is made of members that say
    nothing for patience_us: WAIT or DROP; drop: staff want it dropped; canary, and trial: its members."""

    record: Record
    state: str = PROPOSED
    overlap: str = LOOSE
    silence: str = DROP
    patience_us: int = 10_000_000
    why: str = ""
    drop: bool = False
    canary: Canary | None = None
    trial: tuple = ()

    def pack(self):
        """As the register holds it."""
        return json.dumps(self._asdict() | {"record": self.record._asdict()})


def change_of(text):
    """The Open that stands there; its record is not checked for its digest. Unfit: it can't be read."""
    try:
        told = json.loads(text)
        canary = told.get("canary")
        return Open(
            **told
            | {
                "record": Record(**told["record"]),
                "canary": canary and Canary(*canary),
                "trial": tuple(told.get("trial", ())),
            }
        )
    except (ValueError, TypeError, KeyError):
        raise Unfit("a change that can't be read") from None


class Word(NamedTuple):
    """What one member says. under: the number by which it decides; about: the change, 0: none; figures, while
    a canary runs: commands answered, failed, and us that the answers took."""

    under: int
    about: int = 0
    word: str = UNDER
    why: str = ""
    figures: tuple = ()

    def pack(self):
        """As the register holds it."""
        return json.dumps(self._asdict())


def word_of(text):
    """A Word; one that can't be read stands for a member that says nothing."""
    try:
        told = json.loads(text)
        return Word(**told | {"figures": tuple(told.get("figures", ()))})
    except (ValueError, TypeError, AttributeError):
        return Word(-1, 0, "?")


def past_key(number):
    """Where a record stays."""
    return f"{PAST}{number:010d}"


def propose(record, items, revisions, **how):
    """(acts, when) of the transaction that proposes a record on what was read: {key: text}, {key: revision};
    Unfit where it can't be: another is open, or what is in force is not its parent."""
    if CHANGE in items:
        raise Unfit(f"change {change_of(items[CHANGE]).record.number} is open")
    current = records.unpack(items[CURRENT]) if CURRENT in items else FIRST
    if record.parent != current.number:
        raise Unfit(f"{current.number} is in force, not {record.parent}")
    if how.get("canary") and how.get("overlap") == STRICT:
        raise Unfit("a canary lets old and new run side by side: it can't be strict")
    acts = (Put(CHANGE, Open(record, **how).pack()),)
    return acts, ((CHANGE, 0), (CURRENT, revisions.get(CURRENT, 0)), (past_key(record.number), 0))


class Carrier(RoleState):
    """The duty of carrying a change through, while we own it."""

    def __init__(self):
        super().__init__(ROOT)
        self.revision, self.roll = 0, 0
        self.change, self.change_at, self.current, self.current_at = None, 0, FIRST, 0
        self.words, self.past, self.since = {}, [], 0  # by member; numbers; since when it stands so
        self.said = Counter()  # words less their reasons: not all members are looked through for each

    def _next_write_at(self, now):
        """What waits longer than its time waits for words: they come by themselves."""
        if self.change is None:
            return None
        spans = [self.change.patience_us]
        spans += [self.change.canary.time_us] if self.change.state == CANARY else []
        return min((self.since + span for span in spans if self.since + span > now), default=None)

    def _write_next(self, now):
        if self.change:
            getattr(self, "_" + self.change.state)(now)

    # States

    def _proposed(self, now):
        change, why = self.change, ""
        try:
            records.unpack(change.record._asdict())
        except Unfit as fault:
            why = str(fault)
        if change.record.parent != self.current.number:
            why = why or f"{self.current.number} is in force, not {change.record.parent}"
        self._to(now, *((DROPPED, why) if why else (CHECKED, "")))

    def _checked(self, now):
        if self._refused(now):
            return
        if not self._all(READY):
            self._silent(now, READY)
        elif self.change.canary:
            number = self.change.record.number
            ranked = sorted(self.words, key=lambda name: blake2s(f"{number} {name}".encode()).digest())
            some = ranked[: max(1, round(self.change.canary.part * len(ranked)))]
            self._to(now, CANARY, trial=tuple(some))
        else:
            self._to(now, PREPARED if self.change.overlap == STRICT else DECIDED)

    def _canary(self, now):
        """Out of its bounds it is dropped, by whoever carries it; else it goes on when its time is over."""
        if self._refused(now):
            return
        why = self._bad(over := now >= self.since + self.change.canary.time_us)
        if why:
            self._to(now, DROPPED, "canary: " + why)
        elif (
            over
            and self._all(READY)
            and all(word.figures for member, word in self.words.items() if member in self.change.trial)
        ):
            self._to(now, DECIDED)
        elif over:
            self._silent(now, READY)

    def _bad(self, over):
        """What is wrong with the canary, "": nothing. over: its time is over."""
        number, canary = self.change.record.number, self.change.canary
        sums = {True: [0, 0, 0], False: [0, 0, 0]}
        for member, word in self.words.items():
            if word.about == number and word.figures:
                tried = member in self.change.trial
                sums[tried] = [a + b for a, b in zip(sums[tried], word.figures, strict=True)]
        there = [word for member, word in self.words.items() if member in self.change.trial]
        if not there:
            return "none of its members is left"
        (answered, failed, us), (others, _, others_us) = sums[True], sums[False]
        if answered + failed >= LEAST_TOLD and failed > canary.failed_most * (answered + failed):
            return f"{failed} of {answered + failed} commands failed"
        if over and answered and others and us / answered > canary.slower_most * others_us / others:
            return f"answers took {us // answered} us, the others' {others_us // others}"
        return ""

    def _prepared(self, now):
        if self._refused(now):
            return
        if self._all(STILL):
            self._to(now, DECIDED)
        else:
            self._silent(now, STILL)

    def _decided(self, now):
        self._close(now)

    def _dropped(self, now):
        self._close(now)

    def _close(self, _now):
        """Everybody goes by what is in force: the next change may come."""
        if all(under == self.current.number and word == UNDER for under, _, word in self.said):
            self._put((Delete(CHANGE),))

    def _all(self, word):
        number = self.change.record.number
        return bool(self.said) and all(about == number and one in ENOUGH[word] for _, about, one in self.said)

    def _refused(self, now):
        number = self.change.record.number
        found = any(about == number and word == REFUSED for _, about, word in self.said) and next(
            (member, one.why)
            for member, one in self.words.items()
            if one.about == number and one.word == REFUSED
        )
        if self.change.drop or found:
            self._to(now, DROPPED, "dropped by staff" if self.change.drop else f"{found[0]}: {found[1]}")
        return bool(self.change.drop or found)

    def _silent(self, now, word):
        """Some have not said their word: the change waits, or is dropped, as the operator chose."""
        if self.change.silence == DROP and now >= self.since + self.change.patience_us:
            silent = [
                member
                for member, one in self.words.items()
                if one.about != self.change.record.number or one.word not in ENOUGH[word]
            ]
            names = ", ".join(sorted(silent)[:5]) or "nobody is there"
            self._to(now, DROPPED, f"not {word} in time: {names}")

    def _to(self, now, state, why="", trial=()):
        """The one place where a change's state is written."""
        assert state in MOVES[self.change.state], f"{self.change.state} to {state}"
        change = self.change._replace(state=state, why=why, trial=trial)
        acts = [Put(CHANGE, change.pack())]
        if state in (DECIDED, DROPPED):
            number = change.record.number
            acts.append(
                Put(
                    past_key(number),
                    json.dumps({"record": change.record._asdict(), "outcome": state, "why": why}),
                )
            )
            acts += [Delete(past_key(old)) for old in self.past[:-KEPT]]
        if state == DECIDED:
            acts.append(Put(CURRENT, change.record.pack()))
        self._put(acts)

    def _put(self, acts):
        self._write(acts, ((CHANGE, self.change_at), (CURRENT, self.current_at), (ROLL, self.roll)))

    # What comes

    def _write_confirmed(self, _reply):
        """What a write did is read, with all else."""
        return False

    def _on_loaded(self, now, reply):
        before = (self.change and self.change.record.number, self.change and self.change.state)
        self.change, self.change_at, self.current, self.current_at, self.roll = None, 0, FIRST, 0, 0
        self.words, self.past, self.said, self.revision = {}, [], Counter(), reply.revision
        for item in reply.items:
            self._item(item.key, item.value, item.revision)
        if before != (self.change and self.change.record.number, self.change and self.change.state):
            self.since = now
            if self.change:
                self.out.append(
                    LogEvent(
                        "info",
                        "policy: change " + self.change.state,
                        {"number": self.change.record.number, "why": self.change.why},
                    )
                )

    def _on_key_changed(self, _now, key, value, revision):
        if revision < self.revision:
            return False
        self.revision = revision
        if key.startswith(WORDS):
            self._hear(key.removeprefix(WORDS), value)
        elif key == ROLL:
            self.roll = revision
        elif key.startswith(NOW) and not self.writing:  # what we wrote is read when its reply has come
            self.loaded = False
        return True

    def _hear(self, member, value):
        """A member's word; None: it has gone."""
        old = self.words.pop(member, None)
        if old:
            self.said[old[:3]] -= 1
            if not self.said[old[:3]]:
                del self.said[old[:3]]
        if value is not None:
            self.words[member] = word = word_of(value)
            self.said[word[:3]] += 1

    def _item(self, key, value, revision):
        if key == CURRENT:
            self.current, self.current_at = records.unpack(value), revision
        elif key == CHANGE:
            self.change, self.change_at = change_of(value), revision
        elif key == ROLL:
            self.roll = revision
        elif key.startswith(WORDS):
            self._hear(key.removeprefix(WORDS), value)
        elif key.startswith(PAST):
            self.past.append(int(key.removeprefix(PAST)))
