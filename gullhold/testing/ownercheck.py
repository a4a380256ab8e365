"""Explores the decisions of members alone: orders of calls, losses, pauses, lease ends and restarts.

A world has a register of a few lines, members on clocks of their own within the stated drift, and calls
under way. From a fleet that has settled every action that can be next is tried, to a stated depth, and
states that were met before are recognised. Random walks go far deeper, and end with the faults taken away:
then every duty has to be owned again. The register here shares no code with the one of the stand-in.
"""

import random

from gullhold.fleet import membership
from gullhold.fleet.store_calls import (
    Delete,
    Get,
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    Proof,
    Put,
    ReadLeaseKeys,
    ReadPrefix,
    Reply,
    RevokeLease,
)
from gullhold.testing import walking
from gullhold.testing.walking import QUANTUM_US, TERMS, Broken

RATES = (0.87, 1.0, 1.1)  # of members' clocks against the register's: within the drift of 0.15
# Of these a owns the first alone, and c the second until b comes.
DUTIES, NAMES, COMES = ("d0", "d5"), ("a", "c"), "b"
HALF = 0.5  # what chance says: pauses are the same in every run
OF_CALLS = ("lose the reply", "hold back", "refuse", "answer late")
SETTLED = 60  # moments in which a fleet without faults has to own everything


class Model:
    """The register: keys with revisions, leases, the history of keys with a prefix."""

    def __init__(self, prefix=membership.MEMBERS):
        self.prefix = prefix
        self.revision, self.serial, self.keys, self.leases, self.past = 1, 0, {}, {}, []
        self.accepted = {}  # effects: the highest token of each duty

    def put(self, key, value, lease):
        self.keys[key] = KeyValue(key, value, self.revision, lease)
        self._past(key, value)

    def drop(self, key):
        if self.keys.pop(key, None):
            self._past(key, None)

    def _past(self, key, value):
        if key.startswith(self.prefix):
            self.past.append((self.revision, key, value))

    def end(self, lease):
        """A lease ends, with its keys in one revision."""
        self.leases.pop(lease, None)
        gone = [key for key, item in self.keys.items() if item.lease == lease]
        self.revision += bool(gone)
        for key in gone:
            self.drop(key)

    def expire(self, now):
        for lease in [lease for lease, end in self.leases.items() if end <= now]:
            self.end(lease)

    def call(self, request, now):
        """Carry a request out; its reply."""
        if isinstance(request, GrantLease):
            self.serial += 1
            self.leases[self.serial] = now + request.ttl_s * 1_000_000
            return Reply(Proof.DONE, self.revision, lease=self.serial, ttl_s=request.ttl_s)
        if isinstance(request, KeepLeaseAlive):
            if request.lease not in self.leases:
                return Reply(Proof.DONE, self.revision)
            self.leases[request.lease] = now + TERMS.ttl_s * 1_000_000
            return Reply(Proof.DONE, self.revision, ttl_s=TERMS.ttl_s)
        if isinstance(request, RevokeLease):
            self.end(request.lease)
            return Reply(Proof.DONE, self.revision)
        if isinstance(request, ReadLeaseKeys):
            return Reply(
                Proof.DONE,
                self.revision,
                keys=tuple(key for key, item in self.keys.items() if item.lease == request.lease),
            )
        if isinstance(request, ReadPrefix):
            return Reply(
                Proof.DONE,
                self.revision,
                items=tuple(
                    item for key, item in sorted(self.keys.items()) if key.startswith(request.prefix)
                ),
            )
        return self._txn(request)

    def _txn(self, request):
        met = all(
            (self.keys[key].revision if key in self.keys else 0) == revision
            for key, revision in request.conditions
        )
        acts = request.operations if met else request.otherwise
        if any(isinstance(act, Put) and act.lease and act.lease not in self.leases for act in acts):
            return Reply(Proof.NOT_DONE)
        items = tuple(self.keys[act.key] for act in acts if isinstance(act, Get) and act.key in self.keys)
        self.revision += any(isinstance(act, Put | Delete) for act in acts)
        for act in acts:
            if isinstance(act, Put):
                self.put(act.key, act.value, act.lease)
            elif isinstance(act, Delete):
                self.drop(act.key)
        return Reply(Proof.DONE, self.revision, succeeded=met, items=items)


class World:
    """Members, register, and what is under way. act() takes one of actions(); raises Broken."""

    def __init__(self, names, duties, make=membership.Membership, faults=3):
        self.now, self.model, self.make, self.duties, self.faults = 10_000_000, Model(), make, duties, faults
        self.members, self.rates, self.calls, self.replies, self.ghosts = [], [], [], [], []
        self.effects, self.slow = [], []
        self.seen, self.asleep, self.dead, self.nonce, self.comes = [], [], set(), 0, COMES
        for name in names:
            self.add(name)

    def add(self, name):
        """A process begins."""
        self.nonce += 1
        self.rates.append(RATES[len(self.members) % len(RATES)])
        rule = membership.Rule(TERMS, 0, 100, 50_000, 100_000, 500_000)
        member = self.make(
            name, f"x{self.nonce}", rule, self.duties, lambda: HALF, self.clock(len(self.members))
        )
        self.members.append(member)
        self.seen.append(None)
        self.asleep.append(False)
        self._tick(len(self.members) - 1)

    def clock(self, i):
        """What member i's clock says."""
        return int(self.now * self.rates[i])

    def _tick(self, i):
        self.members[i].tick(self.clock(i))
        self._collect(i)

    def _collect(self, i):
        for what, *told in self.members[i].take_actions():
            if what == membership.CALL:
                self.calls.append((i, told[0]))
            elif what == membership.WATCH:
                self.seen[i] = told[0]

    def actions(self):
        """All that may be next."""
        found = [("time",)]
        for k in range(len(self.calls)):
            found.append(("carry out", k))
            if self.faults:
                found += [(fault, k) for fault in OF_CALLS]
        found += [("arrive", k) for k, (i, _, _) in enumerate(self.slow) if not self.asleep[i]]
        found += [("reply", k) for k, (i, _, _) in enumerate(self.replies) if not self.asleep[i]]
        found += [("late", k) for k in range(len(self.ghosts))]
        found += [("land", k) for k in range(len(self.effects))]
        if self.comes:
            found.append(("come",))
        for i, member in enumerate(self.members):
            if self.asleep[i]:
                found += [] if i in self.dead else [("wake", i)]
                continue
            if self.faults and member.state == membership.IN:
                found += [("sleep", i), ("die", i)]
            if self.faults and member.state != membership.OUT:
                found.append(("restart", i))
            if self._news(i):
                found.append(("tell", i))
            if len(self.effects) < 2:
                found += [
                    ("effect", i, duty) for duty in self.duties if member.fencing_token(duty, self.clock(i))
                ]
        return found

    def _news(self, i):
        return [row for row in self.model.past if self.seen[i] is not None and row[0] >= self.seen[i]]

    def act(self, what, k=0, duty=""):
        """Do one thing; raises Broken."""
        if what in FAULTS:
            self.faults -= 1
        if what == "time":
            self.now += QUANTUM_US
            self.model.expire(self.now)
            for i, asleep in enumerate(self.asleep):
                if not asleep:
                    self._tick(i)
        elif what == "carry out":
            i, call = self.calls.pop(k)
            self.replies.append((i, call, self.model.call(call.request, self.now)))
        elif what in OF_CALLS:
            self._of_call(what, *self.calls.pop(k))
        elif what == "arrive":
            self.replies.append(self.slow.pop(k))
        elif what == "reply":
            i, call, reply = self.replies.pop(k)
            self.members[i].reply(self.clock(i), call, reply)
            self._collect(i)
        elif what == "late":
            self.model.call(self.ghosts.pop(k), self.now)
        elif what == "effect":
            token = self.members[k].fencing_token(duty, self.clock(k))
            request = self.members[k].fenced_transaction(duty, token, (Put("beats/" + duty, str(token)),))
            self.effects.append((duty, token, request))
        elif what == "land":
            self._land(*self.effects.pop(k))
        elif what == "sleep":
            self.asleep[k] = True
        elif what == "die":
            self.asleep[k] = True
            self.dead.add(k)
        elif what == "wake":
            self.asleep[k] = False
            self._tick(k)
        elif what == "tell":
            for revision, key, value in self._news(k):
                self.seen[k] = revision + 1
                self.members[k].changed(self.clock(k), key, value, revision)
                self._collect(k)
        elif what == "come":
            self.add(self.comes)
            self.comes = ""
        else:  # restart: a new process of the same name, while the old one goes on
            self.add(self.members[k].name)
        self.check()

    def _of_call(self, what, i, call):
        if what == "hold back":
            self.ghosts.append(call.request)
        reply = Reply(Proof.NOT_DONE) if what == "refuse" else Reply(Proof.UNKNOWN)
        if what in ("lose the reply", "answer late"):
            told = self.model.call(call.request, self.now)
            reply = told if what == "answer late" else reply
        (self.slow if what == "answer late" else self.replies).append((i, call, reply))

    def _land(self, duty, token, request):
        reply = self.model.call(request, self.now)
        if reply.proof == Proof.DONE and reply.succeeded:
            if token < self.model.accepted.get(duty, 0):
                raise Broken(f"an effect on {duty} under {token} after {self.model.accepted[duty]}")
            held = self.model.keys.get(membership.DUTIES + duty)
            if held is None or held.revision != token:
                raise Broken(f"an effect on {duty} under {token}, which is nobody's")
            self.model.accepted[duty] = token

    def check(self):
        """What holds at every moment."""
        for duty in self.duties:
            held = self.model.keys.get(membership.DUTIES + duty)
            acting = [
                (i, token)
                for i, member in enumerate(self.members)
                if (token := member.fencing_token(duty, self.clock(i)))
            ]
            if len(acting) > 1:
                raise Broken(f"{duty} has {len(acting)} owners at once: {acting}")
            for i, token in acting:
                if held is None or held.revision != token:
                    raise Broken(f"{self.members[i].name} acts on {duty} under {token}, which is not its own")
                known = self.model.keys.get(membership.MEMBERS + self.members[i].name)
                if (
                    known
                    and known.revision < (self.seen[i] or 0)
                    and membership.written(known.value).get("nonce") != self.members[i].nonce
                ):
                    raise Broken(f"{self.members[i].name} acts though it knows a later process of its name")

    def mark(self):
        """What makes two states the same: all but absolute time."""
        return (
            tuple(self._mark(i) for i in range(len(self.members))),
            tuple(
                (item.key, item.value, item.revision, item.lease)
                for _, item in sorted(self.model.keys.items())
            ),
            tuple((lease, end - self.now) for lease, end in sorted(self.model.leases.items())),
            tuple((i, call.purpose, call.request) for i, call in self.calls),
            tuple((i, call.purpose, reply) for i, call, reply in self.replies),
            tuple((i, call.purpose, reply) for i, call, reply in self.slow),
            tuple(self.ghosts),
            tuple((duty, token) for duty, token, _ in self.effects),
            tuple(self.seen),
            tuple(self.asleep),
            tuple(sorted(self.dead)),
            self.faults,
            self.comes,
        )

    def _mark(self, i):
        member, now = self.members[i], self.clock(i)
        return (
            member.state,
            member.lease.id,
            max(0, member.lease.valid_until - now),
            member.key_revision,
            member.ready,
            tuple(sorted(member.tokens.items())),
            tuple(sorted(member.excess.items())),
            tuple(sorted((duty, max(0, at - now)) for duty, at in member.wanted.items())),
            tuple(sorted(member.known.items())),
            tuple(member.unsure),
            tuple(sorted(member.members)),
            max(0, member.retry_at["lease"] - now),
            max(0, member.retry_at["state"] - now),
            member.look_again,
            member.void == member.serial,
        )

    def calm(self):
        """No more faults: what was held back is lost, who sleeps wakes, everything is carried out in turn."""
        self.faults, self.effects, self.replies, self.slow = 0, [], self.replies + self.slow, []
        self.asleep = [i in self.dead for i in range(len(self.members))]
        for _ in range(SETTLED):
            self.act("time")
            for _ in range(40):
                todo = [action for action in self.actions() if action[0] in ("carry out", "reply", "tell")]
                if not todo:
                    break
                self.act(*todo[0])

    def settled(self):
        """Raises Broken unless each duty has an owner that may act, and each name a process that lives."""
        for i, member in enumerate(self.members):
            later = any(
                other.name == member.name and other.incarnation > member.incarnation for other in self.members
            )
            if (not later or not member.incarnation) and i not in self.dead and member.state != membership.IN:
                raise Broken(f"the process of {member.name} that joined last is {member.state}")
        for duty in self.duties:
            alive = [
                i
                for i in range(len(self.members))
                if i not in self.dead and self.members[i].state != membership.OUT
            ]
            if alive and not any(self.members[i].fencing_token(duty, self.clock(i)) for i in alive):
                raise Broken(f"{duty} has no owner though nothing is wrong any more")


def fleet(make=membership.Membership, names=NAMES, duties=DUTIES, faults=3):
    """A world whose members have settled."""
    world = World(names, duties, make, faults=0)
    world.calm()
    world.settled()
    world.faults = faults
    return world


def explore(depth, most, make=membership.Membership, faults=2, seed=0):
    """(states met, the depth that was gone through whole) from a settled fleet; raises Broken with its story.

    most: states after which it stops. Which actions come first at one depth is drawn from the seed.
    """
    return walking.explore(fleet(make, faults=faults), depth, most, seed)


FAIR = ("carry out", "reply", "tell", "land")  # what happens at once where nothing is wrong
FAULTS = (*OF_CALLS, "sleep", "restart", "die")


class Wild:
    """Chooses by chance: everything late, out of turn, and under faults."""

    def __init__(self, draw):
        self.draw = draw

    def choose(self, world):
        """Time has to pass, or no lease ever ends; and faults have to meet the calls that come seldom."""
        actions = world.actions()
        if self.draw() < 0.12:
            return actions[0]
        hits = _hits(world, actions)
        if hits and self.draw() < 0.4:
            return hits[int(self.draw() * len(hits))]
        few = [action for action in actions if action[0] not in OF_CALLS]
        actions = few if self.draw() < 0.8 else actions
        return actions[int(self.draw() * len(actions))]


class Fair:
    """Everything at once and in turn, but for a few deviations: at these, whatever is possible.

    What was held back, and who sleeps, waits for a further deviation.
    """

    def __init__(self, draw):
        self.draw = draw

    def choose(self, world):
        """A deviation on about one step of twelve."""
        actions = world.actions()
        if self.draw() < 0.08:
            odd = [action for action in actions if action[0] not in FAIR and action[0] != "time"]
            odd = (_hits(world, actions) if self.draw() < 0.5 else []) or odd
            if odd:
                return odd[int(self.draw() * len(odd))]
        return next((action for action in actions if action[0] in FAIR), actions[0])


class Scheme(Fair):
    """Holds a call or its reply back, disturbs its member, and lets what was held come a while later."""

    def __init__(self, draw):
        super().__init__(draw)
        self.plan, self.wait, self.victim = ["hold", "disturb", "release"], 0, None

    def choose(self, world):
        """Fair, but for the next part of the plan when its time has come."""
        actions = world.actions()
        self.wait -= 1
        if self.wait <= 0 and self.plan:
            found = getattr(self, "_" + self.plan[0])(world, actions)
            if found:
                self.plan.pop(0)
                self.wait = int(self.draw() * 25)
                return found
        if self.victim in [i for i, asleep in enumerate(world.asleep) if asleep] and self.draw() < 0.04:
            return ("wake", self.victim)
        return next((action for action in actions if action[0] in FAIR), actions[0])

    def _hold(self, world, actions):
        found = [action for action in _hits(world, actions) if action[0] in ("hold back", "answer late")]
        if not found:  # nothing is under way: somebody comes
            came = [action for action in actions if action[0] in ("come", "restart")]
            self.plan = ["hold", *self.plan] if len(self.plan) < 6 else self.plan
            return came[int(self.draw() * len(came))] if came else None
        action = found[int(self.draw() * len(found))]
        self.victim = world.calls[action[1]][0]
        return action

    def _disturb(self, world, actions):
        found = [action for action in actions if action in (("sleep", self.victim), ("restart", self.victim))]
        return found[int(self.draw() * len(found))] if found else None

    def _release(self, world, actions):
        return next((action for action in actions if action[0] in ("late", "arrive")), None)


def _hits(world, actions):
    """Faults of calls that come seldom."""
    return [
        action
        for action in actions
        if action[0] in OF_CALLS
        and world.calls[action[1]][1].purpose not in ("keep", "audit", "grant", "read")
    ]


MANNERS = (Wild, Fair, Scheme)


def walk(seed, steps, make=membership.Membership, faults=6):
    """One walk, in a manner by its seed, then calm; raises Broken with its story.

    What it met is returned: marks of states.
    """
    draw = random.Random(seed).random
    world = fleet(make, faults=faults)
    manner = MANNERS[seed % len(MANNERS)](draw)
    return walking.follow(world, iter(lambda: manner.choose(world), None), steps, seed, marks=True)
