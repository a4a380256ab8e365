"""Deliberate faults in the decisions of members: the explorer finds each one, or it has a gap.

A mutant is the product's class with one method changed.
"""

from gullhold.fleet import membership
from gullhold.fleet.membership import DUTIES, MEMBERS, Membership
from gullhold.fleet.store_calls import Proof, Put, Transaction
from gullhold.testing import ownercheck, walking


class NoDriftMargin(Membership):
    """Counts a lease by its own clock for as long as it was granted."""

    def __init__(self, name, nonce, rule, duties, chance, now):
        terms = rule.terms._replace(drift=0.0)
        rule = membership.Rule(
            terms, rule.settle_us, rule.moves, rule.pause_least, rule.pause_most, rule.leave_us
        )
        super().__init__(name, nonce, rule, duties, chance, now)


class LeaseFromReply(Membership):
    """Counts a lease from when it heard of it."""

    def _replied_keep(self, now, call, reply):
        super()._replied_keep(now, call._replace(sent_at=now), reply)


class TokenNotCompared(Membership):
    """Effects carry no token."""

    def fenced_transaction(self, duty, token, acts, when=()):
        return Transaction(tuple(when), tuple(acts))


class OldToken(Membership):
    """Acts after its lease was lost, under the tokens that it had, once it has another lease."""

    def _drop_all(self, why):
        kept = dict(self.tokens)
        super()._drop_all(why)
        self.tokens = kept


class LeaseNotLooked(Membership):
    """Goes by what it last knew, whatever the time."""

    def fencing_token(self, duty, now):
        return self.tokens.get(duty, 0) if self.state == membership.IN else 0


class ActsWhileReleasing(Membership):
    """Goes on acting until it hears that a duty was let go."""

    def _gone(self, duty, why):
        if why != "let go":
            super()._gone(duty, why)

    def _replied_release(self, now, call, reply):
        for duty in call.about:
            self.tokens.pop(duty, None)
        super()._replied_release(now, call, reply)


class MaybeIsDone(Membership):
    """Takes a lost reply to a claim for a yes."""

    def _replied_claim(self, now, call, reply):
        if reply.proof == Proof.UNKNOWN:
            reply = reply._replace(proof=Proof.DONE, revision=self.seen + 1)
        super()._replied_claim(now, call, reply)


class MaybeIsNot(Membership):
    """Takes a lost reply to a release for a no, and goes on under the old token."""

    def _replied_release(self, now, call, reply):
        if reply.proof == Proof.UNKNOWN:
            for key, token in call.request.conditions:
                self._won(key.removeprefix(DUTIES), token)
        else:
            super()._replied_release(now, call, reply)


class TokenReused(Membership):
    """Finds its own key after a lost reply and goes on under that token: an older call may still undo it."""

    def _saw(self, now, duty, item):
        super()._saw(now, duty, item)
        if duty in self.known:
            self.wanted.pop(duty)
            self._won(duty, self.known.pop(duty))


class ClaimsHeld(Membership):
    """Takes a duty whatever the register has of it."""

    def _claim(self, about):
        asked = super()._claim(about)
        return asked and (asked[0], asked[1]._replace(conditions=asked[1].conditions[:1]), asked[2])


class NameNotWatched(Membership):
    """Does not see that a later process has its name."""

    def _superseded(self, now):
        pass


class DeafToGoing(Membership):
    """Does not hear that a member has gone."""

    def changed(self, now, key, value, revision):
        if value is not None or key == MEMBERS + self.name:
            super().changed(now, key, value, revision)


class OldReplies(Membership):
    """Believes replies that were asked for under a lease that is no more."""

    def reply(self, now, call, reply):
        self.void = 0
        super().reply(now, call, reply)


class JoinsOver(Membership):
    """Writes its own key whatever stands there: an older process may push out a later one."""

    def _state_call(self, now):
        asked = super()._state_call(now)
        if asked and asked[0] in ("join", "ready"):
            return asked[0], asked[1]._replace(conditions=()), asked[2]
        return asked


class NothingLetGo(Membership):
    """Keeps what others should have."""

    def _loose(self):
        return []


class NoLease(Membership):
    """Claims with keys that hang on no lease."""

    def _claim(self, about):
        asked = super()._claim(about)
        return asked and (
            asked[0],
            asked[1]._replace(operations=tuple(Put(act.key, act.value) for act in asked[1].operations)),
            asked[2],
        )


MUTANTS = (
    NoDriftMargin,
    LeaseFromReply,
    TokenNotCompared,
    OldToken,
    LeaseNotLooked,
    ActsWhileReleasing,
    MaybeIsDone,
    MaybeIsNot,
    TokenReused,
    ClaimsHeld,
    NameNotWatched,
    DeafToGoing,
    OldReplies,
    JoinsOver,
    NothingLetGo,
    NoLease,
)


def find(mutant, walks, steps):
    """(seed, what broke) of the first walk that finds it, or None."""
    return walking.find(lambda seed: ownercheck.walk(seed, steps, mutant), walks)
