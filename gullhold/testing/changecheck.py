"""Explores the decisions of a change alone: who carries it, another that takes over, members that send.

What a member's core really goes by, and when it sends, is kept by the world; what members say of themselves
is not believed. Walks by chance end with the faults taken away: then all have to go by what is in force.
"""

import random

from gullhold.fleet.lease import Lease
from gullhold.fleet.store_calls import GrantLease, Transaction
from gullhold.rollout import change, member
from gullhold.rollout.record import Record
from gullhold.testing import walking
from gullhold.testing.store_model import Model
from gullhold.testing.walking import OF_CALLS, QUANTUM_US, RATES, TERMS, Broken, Pair

NAMES = ("a", "b", "c")
FAULTS = (*OF_CALLS, "die", "cut", "elect", "miss", "deaf")
BAD, SOUR, SETTLED = "bad", "sour", 40  # refused by one member; of which commands fail; moments to settle
PATIENCE_US = 4 * QUANTUM_US


class Process:
    """One gateway: clock, lease, decisions, and the number that its core goes by."""

    def __init__(self, world, name, rate):
        self.world, self.name, self.rate, self.cut = world, name, rate, False
        self.lease, self.number, self.todo, self.seen = Lease(TERMS), 0, [], None
        self.text, self.told, self.failed = "", 0, 0
        self.gate = world.make["gate"](self.lease, self, TERMS.guaranteed_us(), world.make["cut"])
        self.member = world.make["member"](
            name, self.gate, lambda record: world.fits(record, name), self.figures
        )

    def __call__(self):
        return int(self.world.now * self.rate)

    def figures(self):
        """Thirty commands more at each look, which fail under what is sour."""
        if self.text == SOUR:
            self.failed += 30
        else:
            self.told += 30
        return self.told, self.failed, self.told


class World(Pair):
    """Members, carriers, register, and what is under way. act() takes one of actions(); raises Broken.

    make: what to make of "member", "gate", "carrier": the product's, or a mutant's; cut: members' rule.
    """

    def __init__(self, overlap, faults=6, **make):
        self.make = {
            "member": member.Member,
            "gate": member.Gate,
            "carrier": change.Carrier,
            "cut": member.KEEP,
        } | make
        super().__init__(
            Model(change.ROOT),
            "duties/" + change.DUTY,
            change.ROOT,
            [self.make["carrier"]() for _ in range(2)],
            faults,
        )
        self.overlap, self.proposed = overlap, 0
        self.decided_at, self.decided, self.order, self.opened = {0: self.now}, 0, [0], False
        self.tried = {}  # by number: when a canary was last under way, its members
        for name in NAMES:
            self._do_come(name)
        self._do_elect(0)

    @staticmethod
    def fits(record, name):
        """What is bad is refused by one member alone."""
        return "no such tenant" if record.text == BAD and name == NAMES[1] else ""

    def _gather(self, one):
        for what, *told in one.member.take_actions():
            if what == member.CALL:
                self.calls.append((one, told[1], ("replied", told[0])))
            elif what == member.ADOPT:
                one.todo.append(("adopted", told[0], told[1]))
            elif what == member.STOP:
                one.todo.append(("stopped", told[0], None))
            elif what == member.FOLLOW:
                one.seen = told[0]

    def _step(self, one):
        one.member.step(one(), one.lease.id if one.lease.is_valid(one()) else 0)
        self._gather(one)

    def actions(self):
        """All that may be next."""
        found = [("time",)]
        found += self.of_calls() + self.of_holders()
        found += [("propose", bad) for bad in ("good", BAD)] if self.may_propose() else []
        for i, one in enumerate(self.members):
            found += [("send", i)] if one.gate.may_dispatch() else []
            found += [("core", i)] if one.todo else []
            found += [("hear", i)] if not one.cut and self.news(one.seen, change.NOW) else []
            if self.faults:
                found += [("die", i), ("heal" if one.cut else "cut", i), ("deaf", i)]
            elif one.cut:
                found.append(("heal", i))
        found += [("come", name) for name in NAMES if name not in [one.name for one in self.members]]
        return found

    def fair(self):
        """What happens next where nothing is wrong; None: nothing is under way."""
        if todo := super().fair():
            return todo
        for i, one in enumerate(self.members):
            if one.todo:
                return "core", i
            if not one.cut and self.news(one.seen, change.NOW):
                return "hear", i
        return None

    def may_propose(self):
        """One change is open at a time."""
        return change.CHANGE not in self.model.keys

    def act(self, what, i=0):
        """Do one thing; raises Broken."""
        self.faults -= what in FAULTS
        getattr(self, "_do_" + what.replace(" ", "_"))(i)
        self._decided()
        self.check()

    def _decided(self):
        item = self.model.keys.get(change.CURRENT)
        number = change.records.unpack(item.value).number if item else 0
        opened, self.opened = self.opened, change.CHANGE in self.model.keys
        if self.opened:
            now = change.change_of(self.model.keys[change.CHANGE].value)
            if now.state == change.CANARY:
                self.tried[now.record.number] = (self.now, now.trial)
        if opened and not self.opened:  # staff hear: in force everywhere
            late = [one.name for one in self.members if one.gate.may_dispatch() and one.number != number]
            if late:
                raise Broken(f"{late} go by another than {number}, which is said to be in force everywhere")
        if number != self.decided:
            if change.records.unpack(item.value).text == BAD and any(
                one.name == NAMES[1] and one.gate.may_dispatch() for one in self.members
            ):
                raise Broken(f"{number} is in force though {NAMES[1]} turned it down")
            self.decided, self.decided_at[number] = number, self.now
            self.order.append(number)

    def _do_time(self, _):
        self.now += QUANTUM_US
        for one in self.members:
            self._keep(one)
            self._step(one)
        self._step_holders()

    def _grant(self, one):
        one.lease.renew(self.model.call(GrantLease(TERMS.ttl_s), self.now).lease, one())
        one.seen = None

    def _do_reply(self, i):
        who, (what, *told), reply = self.replies.pop(i)
        if what == "replied":
            if who in self.members:
                who.member.replied(who(), *told, reply)
                self._gather(who)
        else:
            self._held(who, what, *told, reply)

    def _do_hear(self, i):
        one = self.members[i]
        news = self.news(one.seen, change.NOW)
        one.seen = news[0][0] + 1
        for revision, key, value in [row for row in news if row[0] == news[0][0]]:
            one.member.changed(one(), key, value, revision)
            self._gather(one)

    def _do_core(self, i):
        """The core's thread comes to it."""
        one = self.members[i]
        what, number, record = one.todo.pop(0)
        if what == "adopted":
            one.number, one.text = record.number, record.text
        getattr(one.member, what)(one(), number)
        self._gather(one)

    def _do_deaf(self, i):
        """Its watch lost what changed."""
        one = self.members[i]
        one.seen = None
        one.member.missed(one())
        self._gather(one)

    def _do_propose(self, text):
        items = {key: item.value for key, item in self.model.keys.items()}
        revisions = {key: item.revision for key, item in self.model.keys.items()}
        self.proposed += 1
        record = Record(self.proposed, self.decided, "", "", 0, text).sealed()
        canary = (
            change.Canary(0.4, 2 * PATIENCE_US)
            if (self.overlap == change.LOOSE and self.proposed % 2)
            else None
        )
        acts, when = change.propose(
            record,
            items,
            revisions,
            overlap=self.overlap,
            patience_us=PATIENCE_US,
            silence=change.DROP,
            canary=canary,
        )
        self.model.call(Transaction(when, acts), self.now)

    def _do_send(self, i):
        """What goes out goes by what the core has."""
        one = self.members[i]
        tried_at, trial = self.tried.get(one.number, (0, ()))
        if (
            one.member.key().removeprefix(change.WORDS) in trial
            and (self.now <= tried_at + TERMS.ttl_s * 1_000_000)
            and one.number not in self.order
        ):
            return
        if one.number not in self.order:
            raise Broken(f"{one.name} sends under {one.number}, which was never decided")
        if self.overlap == change.STRICT and one.number != self.order[-1]:
            raise Broken(f"{one.name} sends under {one.number} when {self.order[-1]} is in force")
        late = (
            self.now - self.decided_at[self.order[self.order.index(one.number) + 1]]
            if (one.number != self.order[-1])
            else 0
        )
        if late > TERMS.ttl_s * 1_000_000:  # the stated overlap
            raise Broken(f"{one.name} sends under {one.number} {late} us after it was over")

    def _do_come(self, name):
        one = Process(self, name, RATES[NAMES.index(name)])
        self.members.append(one)
        self._grant(one)
        self._step(one)

    def _do_die(self, i):
        one = self.members.pop(i)
        self.calls = [row for row in self.calls if row[0] is not one]

    def check(self):
        """All that could send now would go by what may be gone by."""
        for i, one in enumerate(self.members):
            if one.gate.may_dispatch():
                self._do_send(i)

    def mark(self):
        """What makes two states the same: all but absolute time."""
        return (
            tuple(
                (
                    one.name,
                    one.cut,
                    one.number,
                    one.member.state,
                    one.gate.still,
                    one.gate.may_dispatch(),
                    one.seen,
                    str(one.member.word),
                    tuple(map(str, one.todo)),
                    max(0, one.lease.valid_until - one()),
                )
                for one in self.members
            ),
            tuple((key, item.value, item.revision) for key, item in sorted(self.model.keys.items())),
            tuple((tag[0], str(request)) for _, request, tag in self.calls),
            tuple((tag[0], reply.proof, reply.succeeded) for _, tag, reply in self.replies),
            tuple(map(str, self.ghosts)),
            tuple(self.seen),
            self.owner,
            self.faults,
            tuple(
                (k.token, k.loaded, bool(k.reading), bool(k.writing), k.roll, k.change_at, len(k.words))
                for k in self.holders
            ),
        )

    def calm(self):
        """No more faults: all is carried out in turn, who is missing comes, one carries."""
        self.faults, self.ghosts = 0, []
        self.holders[1 - self.owner].lost()
        for one in self.members:
            one.cut = False
        for name in NAMES:
            if name not in [one.name for one in self.members]:
                self.act("come", name)
        for _ in range(SETTLED):
            self.act("time")
            self.quiet(80)

    def settled(self):
        """Raises Broken unless everybody goes by what is in force, and no change is left open."""
        if change.CHANGE in self.model.keys:
            raise Broken(f"a change stays {self.model.keys[change.CHANGE].value[-120:]}")
        bad = (
            change.CURRENT in self.model.keys
            and change.records.unpack(self.model.keys[change.CURRENT].value).text == BAD
        )  # decided while the one that refuses was down
        for one in self.members:
            if bad and one.name == NAMES[1]:
                if one.gate.may_dispatch():
                    raise Broken(f"{one.name} sends though it can't run what is in force")
            elif not one.gate.may_dispatch() or one.number != self.decided:
                raise Broken(f"{one.name} is {one.member.state} under {one.number}, {self.decided} in force")


def rounds(world, draw):
    """Moment after moment, for ever: changes are proposed, most of what is under way is carried out, and now
    and then something breaks. What was held back comes some moments later."""
    while True:
        yield ("time",)
        if world.may_propose() and draw() < 0.6:
            yield ("propose", BAD if draw() < 0.2 else "good")
        for _ in range(int(draw() * 40)):
            todo = world.fair()
            if not todo:
                break
            broken = world.calls and world.faults and draw() < 0.05
            yield (OF_CALLS[int(draw() * 3)], int(draw() * len(world.calls))) if broken else todo
        yield from walking.now_and_then(
            world,
            draw,
            (("come", 0.5), ("heal", 0.2), ("late", 0.2), ("lost", 0.1)),
            ("die", "cut", "elect", "miss", "deaf"),
            0.25,
        )


def walk(seed, steps, faults=10, marks=False, **make):
    """One walk, then calm; raises Broken with its story. Marks of the states that it met, where asked for."""
    draw = random.Random(seed).random
    world = World(
        (change.STRICT, change.LOOSE)[seed % 2],
        faults,
        **{"cut": (member.KEEP, member.STAND)[seed // 2 % 2]} | make,
    )
    actions = rounds(world, draw) if seed // 4 % 4 else walking.wild(world, draw, FAULTS)
    return walking.follow(world, actions, steps, seed, marks)


def explore(overlap, depth, most, faults=1, seed=0, **make):
    """(states met, the depth that was gone through whole) from a fleet with one change just proposed."""
    world = World(overlap, 0, **make)
    world.calm()
    world.act("propose", "good")
    world.faults = faults
    return walking.explore(world, depth, most, seed)
