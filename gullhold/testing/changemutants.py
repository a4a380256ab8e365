"""Deliberate faults in the decisions of a change: the explorer finds each one, or it has a gap."""

from gullhold.fleet.store_calls import Proof, Transaction
from gullhold.rollout import change
from gullhold.rollout.change import CHANGE, CHECKED, DECIDED, PREPARED, READY, ROLL, STILL, Carrier
from gullhold.rollout.member import ENROLLING, LEARNING, ON, Gate, Member
from gullhold.testing import changecheck, walking


class LeaseNotLooked(Gate):
    """Sends on whatever the time."""

    def may_dispatch(self):
        return not self.still and self.under != 0


class LooksForgotten(Gate):
    """Takes a watch that says nothing for a proof that nothing changed."""

    def may_dispatch(self):
        self.known_until = max(self.known_until, self.clock() + self.guaranteed_us)
        return super().may_dispatch()


class NotStill(Gate):
    """Says that it is still, and sends."""

    def may_dispatch(self):
        self.still = False
        return super().may_dispatch()


class EnrolsBlind(Member):
    """Goes on the roll without looking whether what it learned still holds."""

    def step(self, now, lease):
        super().step(now, lease)
        if self.out and self.under_way and self.under_way[0] == "enrolled":
            what, serial, request = self.out[-1]
            self.out[-1] = (what, serial, Transaction((), request.operations))


class SendsAtOnce(Member):
    """Opens its gate when it has a lease, before it has learned anything."""

    def step(self, now, lease):
        super().step(now, lease)
        if self.state in (LEARNING, ENROLLING):
            self.gate.under, self.gate.still, self.gate.known_until = (
                lease,
                False,
                now + self.gate.guaranteed_us,
            )


class SaysYes(Member):
    """Says ready to what does not fit, and runs it."""

    def __init__(self, name, gate, fits):
        super().__init__(name, gate, lambda record: "")


class DeafToDropping(Member):
    """Stays still though the change was dropped."""

    def _heard_change(self, now):
        if self.change is None or self.change.state != change.DROPPED:
            super()._heard_change(now)


class StillTooSoon(Member):
    """Says that it is still before its core is."""

    def _heard_change(self, now):
        super()._heard_change(now)
        if self.change and self.change.state == PREPARED and self.word.word == READY:
            self._say(self.word._replace(word=STILL))
            self.gate.still = False


class OldWord(Member):
    """Takes a word whose reply was lost for said."""

    def _told(self, now, reply, word):
        if reply.proof != Proof.DONE:
            self.said = word
        super()._told(now, reply, word)


class AdoptsOnReady(Member):
    """Goes by a change as soon as it has said ready."""

    def _heard_change(self, now):
        super()._heard_change(now)
        if self.state == ON and self.change and self.change.state == CHECKED and self.word.word == READY:
            self._adopt(now, self.change.record)


class NotAll(Carrier):
    """Decides when most have said their word."""

    def _all(self, word):
        number = self.change.record.number
        said = sum(one.about == number and one.word in (word, STILL) for one in self.words.values())
        return said * 2 > len(self.words)


class RollForgotten(Carrier):
    """Decides whoever joined meanwhile."""

    def take_actions(self):
        return [
            (*row[:4], tuple(pair for pair in row[4] if pair[0] != ROLL)) if len(row) == 5 else row
            for row in super().take_actions()
        ]


class RefusalsForgotten(Carrier):
    """Counts a refusal as a word like any other."""

    def _refused(self, now):
        return False

    def _all(self, word):
        return all(one.about == self.change.record.number for one in self.words.values()) and bool(self.words)


class NotPrepared(Carrier):
    """Decides a strict change without anybody being still."""

    def _to(self, now, state, why=""):
        super()._to(now, DECIDED if state == PREPARED else state, why)


class ClosesEarly(Carrier):
    """Forgets a change as soon as it is decided, whoever goes by what."""

    def _close(self, _now):
        self._write((change.Drop(CHANGE),))


class NotCompared(Carrier):
    """Writes whatever stands: a write that was given up may come after another change."""

    def take_actions(self):
        return [(*row[:4], ()) if len(row) == 5 else row for row in super().take_actions()]


class GoneForgotten(Carrier):
    """Waits for the words of those who have gone."""

    def changed(self, now, key, value, revision):
        if value is not None or not key.startswith(change.WORDS):
            super().changed(now, key, value, revision)


MUTANTS = {kind.__name__: {"gate": kind} for kind in (LeaseNotLooked, LooksForgotten, NotStill)}
MUTANTS |= {
    kind.__name__: {"member": kind}
    for kind in (EnrolsBlind, SendsAtOnce, SaysYes, DeafToDropping, StillTooSoon, OldWord, AdoptsOnReady)
}
MUTANTS |= {
    kind.__name__: {"carrier": kind}
    for kind in (
        NotAll,
        RollForgotten,
        RefusalsForgotten,
        NotPrepared,
        ClosesEarly,
        NotCompared,
        GoneForgotten,
    )
}


def find(name, walks, steps, first=0):
    """(seed, what broke) of the first walk that finds it, or None."""
    return walking.find(lambda seed: changecheck.walk(seed, steps, **MUTANTS[name]), walks, first)
