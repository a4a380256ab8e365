"""One gateway's side of a policy and its changes. Decisions only: fed times, replies and changed keys.

It sends only while its gate is open: it has learned what is in force, is on the roll under a lease that
surely holds, and is not asked to be still. So one that is cut off stops by its own clock before the others
can decide without it, and one that starts learns before it sends.
"""

from gullhold.fleet.role_state import IDLE_STEP_US, RETRY_US
from gullhold.fleet.store_calls import Get, Proof, Put, Transaction
from gullhold.rollout import record as records
from gullhold.rollout.change import (
    CANARY,
    CHANGE,
    CHECKED,
    CURRENT,
    DECIDED,
    DROPPED,
    PREPARED,
    READY,
    REFUSED,
    ROLL,
    STILL,
    STRICT,
    TRIAL,
    WORDS,
    Word,
    change_of,
)
from gullhold.rollout.record import FIRST, Unfit

# AWAY: no lease. LEARNING: asks what is in force. ADOPTING: the core takes it over. ENROLLING: writes its
# first word. ON: decides by it, and hears of changes.
AWAY, LEARNING, ADOPTING, ENROLLING, ON = "away", "learning", "adopting", "enrolling", "on"
CALL, ADOPT, STOP, FOLLOW, TELL = range(5)  # what it hands out
KEEP, STAND = "keep", "stand"  # cut off with a change open: until its lease ends, or sooner
LOOKS = 3  # looks at what stands in the time that one counts
FIGURES_US = 500_000  # between figures told while a canary runs
STAND_PART = 3  # of a lease's time, one over this is not used by one that stands: a keeping call was missed


class Gate:
    """Whether to send now: asked on the core's thread at each send. lease: with id and until, which another
    thread changes; clock: monotonic us; guaranteed_us: how long a lease surely holds."""

    def __init__(self, lease, clock, guaranteed_us, cut):
        self.lease, self.clock, self.guaranteed_us, self.cut = lease, clock, guaranteed_us, cut
        self.under, self.asked, self.still = 0, 0, False  # lease on the roll; change open; told to be still
        self.stops = 0  # how often it was told so
        self.known_until = 0  # what is in force was read so lately: a watch that hears nothing is no proof
        self.spare_until = 0  # by a snapshot, where the register was away at the start

    def may_dispatch(self):
        """The end of the lease is read before its id: another may begin in between."""
        now, until = self.clock(), self.lease.valid_until
        if now < self.spare_until:
            return True
        early = self.guaranteed_us // STAND_PART if self.cut == STAND and self.asked else 0
        return (
            not self.still
            and now < until - early
            and self.lease.id == self.under != 0
            and now < self.known_until - early
        )

    def stop(self):
        """Be still. What was decided until now does not go out later either."""
        self.still, self.stops = True, self.stops + 1

    def fencing_token(self):
        """What sends are decided under now."""
        return self.under, self.stops

    def token_valid(self, stamp):
        """Whether what was decided under a stamp may still go out."""
        return self.may_dispatch() and stamp == self.fencing_token()

    def rejects_new(self):
        """Whether what comes is turned away: it is not known by what to decide. Being still is a moment."""
        now = self.clock()
        return now >= self.spare_until and not (
            self.under and now < self.lease.valid_until and now < self.known_until
        )


class Member:
    """Everything it wants done is in take(). Times are monotonic us.

    Handed out: (CALL, serial, request), answered by replied(); (ADOPT, serial, record), answered by adopted()
    when the core goes by it; (STOP, number), by stopped() when the core has stopped sending; (FOLLOW,
    revision): of what is now, to changed(); (TELL, level, text, facts).
    fits(record): what is wrong with it, by our agreement and files; "": nothing. figures(): commands
    answered, failed, and us that answers took, since the start.
    """

    def __init__(self, name, gate, fits, figures=lambda: (0, 0, 0)):
        self.name, self.gate, self.fits, self.figures = name, gate, fits, figures
        self.trial, self.began, self.tell_at = 0, (), 0  # going by a canary; its figures count from; next
        self.state, self.out, self.lease, self.record = AWAY, [], 0, FIRST
        self.under_way, self.again_at, self.serial = None, 0, 0
        self.seen, self.roll, self.change_at, self.current_at = 0, 0, 0, 0
        self.change, self.adopting = None, 0
        self.word, self.word_at, self.said = None, 0, None  # to say; as it stands, and its revision
        self.look_at, self.sent_at, self.heard = 0, 0, {}  # heard: the newest revision of each key

    def take_actions(self):
        """What is to be done now, in order."""
        out, self.out = self.out, []
        return out

    def key(self):
        """Where its word stands: a member is a lease."""
        return f"{WORDS}{self.name}/{self.lease:x}"

    def step(self, now, lease):
        """lease: the id of ours, 0: none."""
        if lease != self.lease:
            self.lease, self.under_way, self.again_at = lease, None, 0
            self.gate.under, self.gate.still, self.gate.asked = 0, False, 0
            self.word, self.word_at, self.said, self.change, self.trial = None, 0, None, None, 0
            self._become(LEARNING if lease else AWAY)
        if not lease or self.under_way or now < self.again_at:
            return
        if self.state == ON:
            self._tell_figures(now)
        if self.state == LEARNING:
            self._call("looked", Transaction((), (Get(CURRENT), Get(CHANGE), Get(ROLL))))
        elif self.state == ENROLLING:
            when = ((CURRENT, self.current_at), (CHANGE, self.change_at), (ROLL, self.roll))
            self._call(
                "enrolled",
                Transaction(
                    when, (Put(self.key(), Word(self.record.number).pack(), self.lease), Put(ROLL, self.name))
                ),
            )
        elif self.state == ON and self.word != self.said:
            self._call(
                "told",
                Transaction(
                    ((self.key(), self.word_at),),
                    (Put(self.key(), self.word.pack(), self.lease),),
                    (Get(self.key()),),
                ),
            )
            self.said = None  # until its reply is here, it is not known what stands
        elif self.state == ON and now >= self.look_at:
            self._call("seen_again", Transaction((), (Get(CURRENT), Get(CHANGE))))
        if self.under_way:
            self.sent_at = now

    def due(self, now):
        """When to step() at the latest."""
        if not self.lease or self.under_way or self.state == ADOPTING:
            return now + IDLE_STEP_US  # what is waited for comes by itself
        at = now
        if self.state == ON and self.word == self.said:
            at = min(self.look_at, self.tell_at) if self._tells() else self.look_at
        return max(now, at, self.again_at)

    def _tells(self):
        """Whether a canary runs, in which all tell how their commands fare."""
        change = self.change
        return bool(change) and change.state == CANARY and self.word.about == change.record.number

    def _tell_figures(self, now):
        if self._tells() and now >= self.tell_at:
            self.tell_at = now + FIGURES_US
            told = self.figures()
            self.began = self.began or told
            self._say(
                self.word._replace(
                    figures=tuple(new - old for new, old in zip(told, self.began, strict=True))
                )
            )

    def _call(self, purpose, request):
        self.serial += 1
        self.under_way = (purpose, self.serial, self.word)
        self.out.append((CALL, self.serial, request))

    def _become(self, state):
        """The one place where the state changes."""
        self.state = state

    # What comes

    def replied(self, now, serial, reply):
        """A call's reply."""
        if self.under_way is None or self.under_way[1] != serial:
            return
        purpose, _, word = self.under_way
        self.under_way = None
        if reply.proof != Proof.DONE:
            self.again_at = now + RETRY_US
            if purpose == "enrolled" and reply.proof == Proof.UNKNOWN:
                self._become(LEARNING)  # we may be on the roll: a look at what is in force, and once more
        getattr(self, "_" + purpose)(now, reply, word)
        self.step(now, self.lease)

    def _looked(self, now, reply, _word):
        if reply.proof != Proof.DONE:
            return
        found = {item.key: item for item in reply.items}
        self.seen, self.heard = reply.revision, {}
        self.roll = found[ROLL].revision if ROLL in found else 0
        self.current_at = found[CURRENT].revision if CURRENT in found else 0
        self.change_at = found[CHANGE].revision if CHANGE in found else 0
        try:
            self.change = change_of(found[CHANGE].value) if CHANGE in found else None
            current = records.unpack(found[CURRENT].value) if CURRENT in found else FIRST
        except Unfit as fault:
            self._unfit(now, str(fault))
            return
        self._adopt(now, current)

    def _adopt(self, now, record):
        why = self.fits(record) if record.number else ""
        if why:
            self._unfit(now, why)
            return
        self.record, self.trial = record, 0
        if self.state == LEARNING:
            self._become(ADOPTING)
        self._take_over(record)

    def _take_over(self, record):
        """Nothing is sent until the core goes by it."""
        self.gate.stop()
        self.adopting += 1
        self.out.append((ADOPT, self.adopting, record))

    def _unfit(self, now, why):
        """What is in force can't be run here: nothing is sent."""
        self.gate.under, self.again_at = 0, now + RETRY_US * 5
        self.out.append((TELL, "error", "what is in force can't be run here", {"why": why}))
        self._become(LEARNING)

    def adopted(self, now, serial):
        """The core decides by the record from here on."""
        if serial != self.adopting:
            return
        if self.state == ADOPTING:
            self._become(ENROLLING)
        elif self.state == ON and self.trial:
            self.gate.still = False
            self._say(self.word._replace(word=TRIAL))
            self.out.append((TELL, "info", "tries", {"number": self.trial}))
        elif self.state == ON:
            self._say(Word(self.record.number))
            self.gate.still, self.gate.asked = False, 0
            self.out.append((TELL, "info", "decides by", {"number": self.record.number}))
        self.step(now, self.lease)

    def _surely(self):
        """What was read by the call that has come back counts from when it was sent."""
        self.gate.known_until = self.sent_at + self.gate.guaranteed_us
        self.look_at = self.sent_at + self.gate.guaranteed_us // LOOKS

    def _seen_again(self, now, reply, _word):
        """A look at what stands, besides the watch: guards against a watch that has fallen silent while the
        lease is kept."""
        if reply.proof != Proof.DONE or reply.revision < max(self.seen, *self.heard.values(), 0):
            return  # or an answer from the past
        found = {item.key: item for item in reply.items}
        for key in (CURRENT, CHANGE):
            item = found.get(key)
            if item or key == CHANGE and self.change:
                self.changed(now, key, item and item.value, item.revision if item else reply.revision)
        if self.state == ON and not self.gate.still:
            self._surely()
        elif self.state == ON:
            self.look_at = now + RETRY_US

    def _enrolled(self, now, reply, _word):
        if reply.proof != Proof.DONE or not reply.succeeded:
            self._become(LEARNING)  # something changed since we looked
            return
        self.word = self.said = Word(self.record.number)
        self.word_at = reply.revision
        self._become(ON)
        self.gate.under, self.gate.still, self.gate.spare_until = self.lease, False, 0
        self._surely()
        self.out.append((FOLLOW, self.seen + 1))
        self.out.append((TELL, "info", "decides by", {"number": self.record.number}))
        self._heard_change(now)

    def _told(self, now, reply, word):
        if reply.proof == Proof.DONE and reply.succeeded:
            self.said, self.word_at = word, reply.revision
        elif (
            reply.proof == Proof.DONE
        ):  # a call that was given up was carried out: what stands is compared with
            self.word_at = reply.items[0].revision if reply.items else 0

    def changed(self, now, key, value, revision):
        """What is now changed; value None: no change is open any more."""
        if self.state != ON or revision <= self.heard.get(key, self.seen):
            return  # a look may have shown more than the watch has told yet
        self.heard[key] = revision
        if key == CURRENT and value is not None:
            try:
                record = records.unpack(value)
            except Unfit as fault:
                self._unfit(now, str(fault))
                return
            if record.number != self.record.number:
                self._adopt(now, record)
        elif key == CHANGE:
            try:
                self.change = change_of(value) if value is not None else None
            except Unfit as fault:
                self.out.append((TELL, "error", "a change", {"why": str(fault)}))
                return
            self._heard_change(now)
        self.step(now, self.lease)

    def _heard_change(self, now):
        change = self.change
        number = change.record.number if change else 0
        if change is None or change.state == DECIDED:
            return
        if change.state == DROPPED and self.trial:  # back on the parent
            self.trial = 0
            self._take_over(self.record)
        elif change.state == DROPPED:
            if self.gate.still or self.gate.asked:
                self.gate.still, self.gate.asked = False, 0
                self.out.append((TELL, "info", "change dropped", {"number": number, "why": change.why}))
            self._say(Word(self.record.number))
        elif change.state in (CHECKED, CANARY, PREPARED) and self.word.about != number:
            try:
                why = self.fits(records.unpack(change.record._asdict()))
            except Unfit as fault:
                why = str(fault)
            if why:
                self.out.append((TELL, "warning", "change refused", {"number": number, "why": why}))
            self.gate.asked = 0 if why else number
            self._say(Word(self.record.number, number, REFUSED if why else READY, why))
            self.began = ()
        tried = self.key().removeprefix(WORDS) in change.trial
        if change.state == CANARY and tried and not self.trial and self.word.word == READY:
            self.trial = number
            self._take_over(change.record)
        if change.state == PREPARED and change.overlap == STRICT and self.word.word == READY:
            self.gate.stop()
            self.out.append((STOP, number))

    def stopped(self, now, number):
        """The core has stopped sending for this change."""
        change = self.change
        if (
            self.state == ON
            and change
            and change.record.number == number
            and change.state == PREPARED
            and self.gate.still
        ):
            self._say(Word(self.record.number, number, STILL))
            self.step(now, self.lease)

    def missed(self, now):
        """Changes were missed: learn anew. The lease and its key stay."""
        if self.state == ON:
            self.gate.under = 0
            self._become(LEARNING)
            self.step(now, self.lease)

    def _say(self, word):
        self.word = word
