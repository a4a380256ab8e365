"""One member of the fleet and the duties that it owns. Decisions only: fed times, replies and changes.

It hands out calls for the register, one at a time in each of two lanes (the lease's, and all others), and is
told each one's reply. A duty is owned through a key that hangs on the member's lease; the revision of that
key's last change is the owner's token, so tokens only grow. fencing_token() is true only while the lease
surely holds by our own clock; every effect is a transaction that compares the key with the token, so one that
comes late is refused.
"""

import json

from gullhold.fleet import store_calls
from gullhold.fleet.lease import Lease
from gullhold.fleet.pace import Moves, Pauses
from gullhold.fleet.spread import Spread
from gullhold.fleet.store_calls import (
    Delete,
    Get,
    GrantLease,
    KeepLeaseAlive,
    PendingCall,
    Proof,
    Put,
    ReadLeaseKeys,
    ReadPrefix,
    RevokeLease,
    Transaction,
)

# ALONE: no lease. READING: has one, asks who is there. JOINING: writes its own key. IN: owns what it should.
# LEAVING: gives back. OUT: has left for good, or a later process has its name.
ALONE, READING, JOINING, IN, LEAVING, OUT = "alone", "reading", "joining", "in", "leaving", "out"
MEMBERS, DUTIES = "members/", "duties/"
CALL, WON, GONE, WATCH, EVENT = range(
    5
)  # what it hands out, with: a PendingCall; a duty, a token; a duty, why;
# the revision to watch members from; a name, and facts about it
LEASE, STATE = "lease", "state"  # the lanes
BATCH = store_calls.MAX_TRANSACTION_OPERATIONS - 1  # duties in one transaction, beside our own key
AUDIT_LEASES = 5  # lease times between looks at what hangs on our lease: a call that was given up may have
# been carried out after all


def lane_of(request):
    """The lane of a request: a lease must not wait behind anything else."""
    return LEASE if isinstance(request, GrantLease | KeepLeaseAlive | RevokeLease) else STATE


def written(value):
    """A value of the register as a dict; {} for one that can't be read: a member's that we do not know."""
    try:
        told = json.loads(value)
    except ValueError:
        return {}
    return told if isinstance(told, dict) else {}


def since(told, revision):
    """The incarnation of the process that wrote a member's key: the revision of its first joining."""
    return told.get("since") or revision


class Rule:
    """The operator's figures; times in us.

    terms: of leases. settle_us: how long a member that comes among others waits until duties move to it.
    moves: the most duties a second that one member lets go for another. pause_least, pause_most: between
    tries. leave_us: how long leaving waits for work that is under way.
    """

    __slots__ = ("leave_us", "moves", "pause_least", "pause_most", "settle_us", "terms")

    def __init__(self, terms, settle_us, moves, pause_least, pause_most, leave_us):
        self.terms, self.settle_us, self.moves, self.leave_us = terms, settle_us, moves, leave_us
        self.pause_least, self.pause_most = pause_least, pause_most


class Membership:
    """A member and its duties. Everything it wants done is in take(); due() is when to tick() again."""

    def __init__(self, name, nonce, rule, duties, chance, now):
        self.name, self.nonce, self.rule = name, nonce, rule
        self.lease, self.spread = Lease(rule.terms), Spread(duties)
        self.pauses = {lane: Pauses(rule.pause_least, rule.pause_most, chance) for lane in (LEASE, STATE)}
        self.claim_pauses = Pauses(rule.pause_least, rule.pause_most, chance)
        self.moves = Moves(rule.moves, now)
        self.state, self.out, self.under_way, self.retry_at = ALONE, [], {}, {LEASE: 0, STATE: 0}
        self.serial, self.void = 0, 0  # calls up to `void` were for a lease that is no more
        self.seen = 0  # the newest revision that we were told of
        self.key_revision, self.ready, self.ready_at, self.incarnation = 0, False, 0, 0
        self.members, self.look_again = {}, False  # name: ready; whether to read them anew
        self.tokens = {}  # duties whose key is ours
        self.wanted, self.excess = {}, {}  # duties to claim: when; to let go: the token
        self.known = {}  # of those to claim: the revision of a key that is ours already
        self.unsure, self.busy = {}, set()  # to look at again; not to be let go in the middle of work
        self.audit_at, self.leave_at = 0, 0

    # What the driver calls

    def take_actions(self):
        """What is to be done now, in order."""
        out, self.out = self.out, []
        return out

    def fencing_token(self, duty, now):
        """The token under which to act on a duty now, 0: not ours, or not surely."""
        if self.state not in (IN, LEAVING) or duty in self.excess or not self.lease.is_valid(now):
            return 0
        return self.tokens.get(duty, 0)

    def fenced_transaction(self, duty, token, acts, when=()):
        """The transaction that carries acts out only while the duty is owned under this token."""
        return Transaction(((DUTIES + duty, token), *when), tuple(acts))

    def set_busy(self, duty, busy):
        """Work on a duty began, or ended: in its middle it is not let go in good order."""
        (self.busy.add if busy else self.busy.discard)(duty)

    def tick(self, now):
        """Time has passed."""
        if self.state == OUT:
            return
        self._surety(now)
        for lane, choose in ((LEASE, self._lease_call), (STATE, self._state_call)):
            if lane not in self.under_way and now >= self.retry_at[lane] and self.state != OUT:
                asked = choose(now)
                if asked:
                    self.serial += 1
                    self.under_way[lane] = call = PendingCall(self.serial, asked[0], asked[1], now, asked[2])
                    self.out.append((CALL, call))

    def due(self, now):
        """When to tick again, at the latest."""
        times = [self.lease.valid_until] if self.lease.is_valid(now) else []
        times += [self.leave_at] if self.state == LEAVING else []
        if LEASE not in self.under_way:
            times.append(max(self.retry_at[LEASE], self.lease.renew_at() if self.lease.id else 0))
        if STATE not in self.under_way and self.lease.is_valid(now):
            wants = [self.audit_at] if self.state == IN else [0]
            if self.state == IN:
                wants += [] if self.ready else [self.ready_at]
                wants += [min(self.wanted.values())] if self.wanted else []
                wants += [self.moves.ready_at(now)] if self._loose() else []
                wants += [0] if self.look_again or self.unsure else []
            times.append(max(self.retry_at[STATE], min(wants)))
        return max(now, min(times)) if times else now + self.rule.pause_most

    def reply(self, now, call, reply):
        """A call's one reply."""
        lane = lane_of(call.request)
        self.under_way.pop(lane, None)
        # Guards against a read from the past: it would show keys that are no more.
        if (
            reply.proof == Proof.DONE
            and reply.revision < self.seen
            and isinstance(call.request, ReadPrefix | Transaction | ReadLeaseKeys)
        ):
            reply = reply._replace(proof=Proof.UNKNOWN)
        if reply.proof == Proof.DONE:
            self.pauses[lane].reset()
            self.seen = max(self.seen, reply.revision)
        else:
            self.retry_at[lane] = now + self.pauses[lane].draw()
        if call.number > self.void and self.state != OUT:
            getattr(self, "_replied_" + call.purpose)(now, call, reply)
        self.tick(now)

    def changed(self, now, key, value, revision):
        """A member's key changed; value None: it was deleted."""
        if revision <= self.seen and self.state not in (IN, LEAVING):
            return  # older than what a read told
        self.seen = max(self.seen, revision)
        name = key.removeprefix(MEMBERS)
        told = written(value) if value is not None else None
        if name == self.name and self.state == IN and revision > self.key_revision:
            if told is None:
                self._lose(now, "its key ended")
            elif told.get("nonce") != self.nonce:
                if since(told, revision) > self.incarnation:
                    self._superseded(now)
                else:  # an earlier process found our key gone: we write over it
                    self._lose(now, "its key ended")
            else:
                self.key_revision, self.ready = revision, bool(told.get("ready"))
        if told is None:
            self.members.pop(name, None)
            for duty in self.wanted:  # what it owned is free now
                self.wanted[duty] = now
        else:
            self.members[name] = bool(told.get("ready"))
        if self.state == IN:
            self._desire(now)
        self.tick(now)

    def watch_lost(self, now):
        """Changes may have been missed: read who is there."""
        self.look_again = True
        self.tick(now)

    def leave(self, now):
        """Give back in good order and go."""
        if self.state in (LEAVING, OUT):
            return
        self.leave_at = now + self.rule.leave_us
        if not self.lease.id:
            self._become(OUT, "left")
            return
        self._become(LEAVING, "told to leave")
        self.retry_at = {LEASE: 0, STATE: 0}
        self.tick(now)

    # States

    def _become(self, state, why):
        """The one place where the state changes."""
        self.out.append((EVENT, "member " + state, {"why": why, "incarnation": self.incarnation}))
        self.state = state

    def _surety(self, now):
        """A lease that is not sure any more is given up, and never kept again.

        Guards against a member whose calls arrive and whose replies are lost: it would keep for good what it
        can't act on, and nobody else could take it.
        """
        if self.lease.id and not self.lease.is_valid(now):
            self._lose(now, "its lease is not sure")
        if self.state == LEAVING and now >= self.leave_at:
            self._end("left without the register's word")

    def _won(self, duty, token):
        self.tokens[duty] = token
        self.out.append((WON, duty, token))

    def _gone(self, duty, why):
        if self.tokens.pop(duty, 0):
            self.out.append((GONE, duty, why))

    def _drop_all(self, why):
        for duty in list(self.tokens):
            self._gone(duty, why)
        self.wanted, self.excess, self.known, self.unsure = {}, {}, {}, {}
        self.key_revision, self.ready, self.void = 0, False, self.serial

    def _lose(self, now, why):
        """The register has our lease no more: begin again."""
        self._drop_all(why)
        self.lease.clear()
        if self.state == LEAVING:
            self._become(OUT, why)
        else:
            self.retry_at[LEASE] = now + self.pauses[LEASE].draw()
            self._become(ALONE, why)

    def _superseded(self, now):
        """A later process has our name: it is right, we stop, for good. What we held is freed at once."""
        self._drop_all("a later process has this name")
        self.busy, self.leave_at = set(), now + self.rule.terms.guaranteed_us()
        self._become(LEAVING, "a later process has this name")

    def _end(self, why):
        self._drop_all(why)
        self.lease.clear()
        self._become(OUT, why)

    def _desire(self, now):
        """Who is there has changed: what to claim and what to let go."""
        for duty in self.spread.change([name for name, ready in self.members.items() if ready]):
            self._sort(now, duty)

    def _sort(self, now, duty):
        ours = self.spread.owner.get(duty) == self.name
        if duty in self.tokens:
            if ours:
                self.excess.pop(duty, None)
            else:
                self.excess[duty] = self.tokens[duty]
        elif ours:
            self.wanted.setdefault(duty, now)
        else:
            self.wanted.pop(duty, None)

    def _saw(self, now, duty, item):
        """What the register has of a duty that we do not surely own."""
        ours = item is not None and written(item.value).get("nonce") == self.nonce
        wanted = self.spread.owner.get(duty) == self.name
        self.known.pop(duty, None)
        if ours and wanted:  # a call whose reply was lost: written anew, so that no older call can undo it
            self.known[duty], self.wanted[duty] = item.revision, now
        elif ours:
            self.excess[duty] = item.revision
        elif wanted:
            self.wanted[duty] = now if item is None else now + self.claim_pauses.draw()

    # Calls, and what their replies mean

    def _lease_call(self, now):
        if self.state == LEAVING and not self.busy:
            return "revoke", RevokeLease(self.lease.id), ()
        if not self.lease.id:
            return "grant", GrantLease(self.rule.terms.ttl_s), ()
        return ("keep", KeepLeaseAlive(self.lease.id), ()) if now >= self.lease.renew_at() else None

    def _replied_grant(self, now, call, reply):
        if (
            reply.proof == Proof.DONE
        ):  # else the register may have one that nothing hangs on: it ends by itself
            self.lease.renew(reply.lease, call.sent_at)
            if self.state == ALONE:
                self._become(READING, "has a lease")

    def _replied_keep(self, now, call, reply):
        if reply.proof != Proof.DONE:
            return
        if reply.ttl_s > 0:
            self.lease.renew(call.request.lease, call.sent_at)
        else:
            self._lose(now, "its lease ended")

    def _replied_revoke(self, now, call, reply):
        if reply.proof == Proof.DONE:
            self._end("left")

    def _state_call(self, now):
        if not self.lease.is_valid(now):
            return None
        own = MEMBERS + self.name
        if self.state == READING or self.look_again and self.state == IN:
            return "read", ReadPrefix(MEMBERS), ()
        if self.state == JOINING:
            first = not any(self.members.values())  # nobody to move duties from: no reason to wait
            return "join", Transaction(((own, self.key_revision),), (self._own(first),)), (first,)
        if self.state == LEAVING:
            idle = [(duty, token) for duty, token in self.tokens.items() if duty not in self.busy][:BATCH]
            return self._release(idle) if idle and self.busy else None  # else one call frees them all
        if self.state != IN:
            return None
        if not self.ready and now >= self.ready_at:
            return "ready", Transaction(((own, self.key_revision),), (self._own(True),)), ()
        if self.unsure:
            about = tuple(self.unsure)[:BATCH]
            return "look", Transaction((), tuple(Get(DUTIES + duty) for duty in about)), about
        if now >= self.audit_at:
            return "audit", ReadLeaseKeys(self.lease.id), ()
        loose = self._loose()
        count = self.moves.take(now, min(len(loose), BATCH)) if loose else 0
        if count:
            return self._release(loose[:count])
        return self._claim([duty for duty, at in self.wanted.items() if at <= now][:BATCH])

    def _own(self, ready):
        value = {"nonce": self.nonce, "ready": ready, "since": self.incarnation}
        return Put(MEMBERS + self.name, json.dumps(value), self.lease.id)

    def _loose(self):
        return [(duty, token) for duty, token in self.excess.items() if duty not in self.busy]

    def _release(self, about):
        """We stop acting before the call goes out: what it has done may be known to others before us."""
        for duty, _ in about:
            self._gone(duty, "let go")
            self.excess.pop(duty, None)
        keys = tuple((DUTIES + duty, token) for duty, token in about)
        return (
            "release",
            Transaction(keys, tuple(Delete(key) for key, _ in keys)),
            tuple(duty for duty, _ in about),
        )

    def _claim(self, about):
        if not about:
            return None
        keys = tuple((DUTIES + duty, self.known.get(duty, 0)) for duty in about)
        value = json.dumps({"owner": self.name, "nonce": self.nonce, "incarnation": self.incarnation})
        return (
            "claim",
            Transaction(
                ((MEMBERS + self.name, self.key_revision), *keys),
                tuple(Put(key, value, self.lease.id) for key, _ in keys),
                tuple(Get(key) for key, _ in keys),
            ),
            tuple(about),
        )

    def _replied_read(self, now, call, reply):
        if reply.proof != Proof.DONE:
            return
        self.members = {
            item.key.removeprefix(MEMBERS): bool(written(item.value).get("ready")) for item in reply.items
        }
        own = next((item for item in reply.items if item.key == MEMBERS + self.name), None)
        ours = own is not None and written(own.value).get("nonce") == self.nonce
        self.look_again = False
        later = own is not None and not ours and since(written(own.value), own.revision) > self.incarnation
        if self.incarnation and later:
            self._superseded(now)
            return
        self.out.append((WATCH, reply.revision + 1))
        if ours and own.lease == self.lease.id:  # also where the reply to our joining was lost
            self._joined(now, own.revision, bool(written(own.value).get("ready")))
        elif self.state == IN:
            self._lose(now, "its key ended")
        else:
            self.key_revision = own.revision if own else 0
            self._become(JOINING, "knows who is there")

    def _replied_join(self, now, call, reply):
        if reply.proof == Proof.DONE and reply.succeeded:
            self.members[self.name] = call.about[0]
            self._joined(now, reply.revision, call.about[0])
        else:  # somebody else wrote it, or we may have: a read tells
            self.key_revision = 0
            self._become(READING, "does not know whether it joined")

    def _joined(self, now, revision, ready):
        fresh, self.key_revision, self.ready = self.state != IN, revision, ready
        if fresh:
            self.incarnation = self.incarnation or revision  # of its first joining: the later process wins
            self.ready_at, self.audit_at = now + self.rule.settle_us, now + self._audit_us()
            self._become(IN, "joined")
        self._desire(now)
        for duty in self.spread.duties if fresh else ():
            self._sort(now, duty)

    def _replied_ready(self, now, call, reply):
        if reply.proof == Proof.DONE and reply.succeeded:
            self.key_revision, self.ready = reply.revision, True
            self.members[self.name] = True
            self._desire(now)
        else:
            self.look_again = True

    def _replied_look(self, now, call, reply):
        if reply.proof == Proof.DONE:
            self._items(now, call, reply)

    def _items(self, now, call, reply):
        found = {item.key.removeprefix(DUTIES): item for item in reply.items}
        for duty in call.about:
            self.unsure.pop(duty, None)
            self._saw(now, duty, found.get(duty))

    def _replied_claim(self, now, call, reply):
        if reply.proof == Proof.DONE and reply.succeeded:
            self.claim_pauses.reset()
            for duty in call.about:
                self.wanted.pop(duty, None)
                self.known.pop(duty, None)
                self._won(duty, reply.revision)
                self._sort(now, duty)  # it may be another's by now
        elif reply.proof == Proof.DONE:
            self.look_again = self.look_again or not reply.items  # our own key is not what we thought
            self._items(now, call, reply)
        elif reply.proof == Proof.UNKNOWN:
            self._unsure(call.about)

    def _replied_release(self, now, call, reply):
        if reply.proof == Proof.DONE and reply.succeeded:
            for duty in call.about:
                self._sort(now, duty)
        else:
            self._unsure(call.about)

    def _unsure(self, duties):
        """What the register has of these has to be looked at; until then we do not act on them."""
        for duty in duties:
            self.wanted.pop(duty, None)
            self.unsure[duty] = True

    def _replied_audit(self, now, call, reply):
        if reply.proof != Proof.DONE:
            return
        self.audit_at = now + self._audit_us()
        held = {key.removeprefix(DUTIES) for key in reply.keys if key.startswith(DUTIES)}
        for duty in held - set(self.tokens) - set(self.unsure):
            self._unsure((duty,))  # a call that was given up was carried out after all
        for duty in set(self.tokens) - held:  # nobody but us deletes it while the lease holds
            self._gone(duty, "its key ended")
            self.excess.pop(duty, None)
            self._sort(now, duty)

    def _audit_us(self):
        return AUDIT_LEASES * self.rule.terms.guaranteed_us()
