"""Explores the decisions of budgets alone: one that divides, another that takes over, members that spend.

A world has a register of a few lines, two processes that may own the duty, members on clocks of their own
within the stated drift, and calls under way. What is really begun is counted in the world's own time; it may
never pass the whole. Walks by chance end with the faults taken away: then nothing of the whole may be lost.
"""

import random

from gullhold.budgets import duty
from gullhold.budgets.divider import Budget, Divider
from gullhold.budgets.ledger import HELD, WINDOWED
from gullhold.budgets.purse import Purses, Rule
from gullhold.fleet.lease import Lease
from gullhold.fleet.store_calls import GrantLease, Proof, Put, Transaction
from gullhold.testing import walking
from gullhold.testing.store_model import Model
from gullhold.testing.walking import OF_CALLS, QUANTUM_US, RATES, TERMS, Broken, Pair

WINDOW_US, LINGER_US = 1_600_000, 1_100_000  # of real time: no whole number of moments
WHOLE, ALONE, NAMES = 10, 1, ("a", "b", "c")
FAULTS = (*OF_CALLS, "die", "cut", "elect", "miss", "leave")
SETTLED = 30  # moments in which a fleet without faults has to have divided all


class Member:
    """One process: its clock, lease and purse, and what it knows of its own report."""

    def __init__(self, world, name, rate):
        self.name, self.rate, self.world = name, rate, world
        self.lease, self.cut, self.asked_revision, self.heard = Lease(TERMS), False, 0, 0
        self.rule = world.rule
        self.purses = world.make["purses"]({(0, 0): self.rule}, lambda _, of: f"b/{of}", self.lease, self)
        self.purse, self.want, self.running = self.purses(0, 0), 0, []  # running: when each was begun

    def __call__(self):
        return int(self.world.now * self.rate)

    def key(self):
        """What tells it apart."""
        return f"{self.name}/{self.lease.id:x}"


class World(Pair):
    """Members, dividers, register, and what is under way. act() takes one of actions(); raises Broken.

    make: what to make of "purses", "dividing", "divider": the product's, or a mutant's.
    """

    def __init__(self, kind, faults=4, **make):
        self.make = {
            "purses": Purses,
            "dividing": duty.Dividing,
            "divider": Divider,
            "compared": True,
            "alone_after": LINGER_US,
            "lengthen": 1 + TERMS.drift,
        } | make
        longer = self.make["lengthen"]
        self.kind = kind
        self.rule = Rule(
            kind,
            WHOLE,
            int(WINDOW_US * longer),
            0,
            ALONE,
            int(max(self.make["alone_after"], WINDOW_US * (kind == WINDOWED)) * longer)
            if self.make["alone_after"]
            else 0,
        )
        budget = Budget(kind, WHOLE, int(WINDOW_US * longer), int(LINGER_US * longer), ALONE, len(NAMES))
        super().__init__(
            Model(duty.ROOT),
            "duties/" + duty.DUTY,
            duty.ASKS,
            [self.make["dividing"]({"b": budget}, make=self.make["divider"]) for _ in range(2)],
            faults,
        )
        self.spent, self.lingering, self.still = [], [], False  # still: demand changes no more
        for name in NAMES:
            self._do_come(name)
        self._do_elect(0)

    def _do_come(self, name):
        """A process begins, and has a lease."""
        member = Member(self, name, RATES[len(self.members) % 3])
        self.members.append(member)
        self._grant(member)

    def _grant(self, member):
        member.lease.renew(self.model.call(GrantLease(TERMS.ttl_s), self.now).lease, member())
        member.asked_revision, member.heard = 0, 0
        member.purses.fresh(member.lease.id)
        self._report(member)

    def _report(self, member, left=False):
        told = member.purses.report(((0, 0, member.want),))
        key = duty.ASKS + member.key()
        when = ((key, member.asked_revision),) if self.make["compared"] else ()
        text = duty.report_text(member.purses.seen, told, left)
        self.calls.append(
            (member, Transaction(when, (Put(key, text, 0 if left else member.lease.id),)), ("reported", key))
        )

    def actions(self):
        """All that may be next."""
        found = [("time",)]
        found += self.of_calls() + self.of_holders()
        for i, member in enumerate(self.members):
            found += [("spend", i)] if member.purse.allows(1) else []
            found += [("end", i)] if member.running else []
            found += [("hear", i)] if not member.cut and self._rows(member) else []
            found += [("report", i)] if self.may_report(member) else []
            if self.faults:
                found += [("die", i), ("leave", i), ("heal" if member.cut else "cut", i)]
            elif member.cut:
                found.append(("heal", i))
        found += [("come", name) for name in NAMES if name not in [one.name for one in self.members]]
        return found

    def fair(self):
        """What happens next where nothing is wrong; None: nothing is under way."""
        return super().fair() or next(
            (("hear", i) for i, one in enumerate(self.members) if not one.cut and self._rows(one)), None
        )

    def may_report(self, member):
        """One report of a member is under way at a time."""
        return member.lease.is_valid(member()) and not any(who is member for who, *_ in self.calls)

    def _rows(self, member):
        key = duty.PARTS + member.key()
        return [row for row in self.news(member.heard + 1, key) if row[1] == key]

    def act(self, what, i=0):
        """Do one thing; raises Broken."""
        self.faults -= what in FAULTS
        getattr(self, "_do_" + what.replace(" ", "_"))(i)
        self.check()

    def _do_time(self, _):
        self.now += QUANTUM_US
        for member in self.members:
            self._keep(member)
            while member.running and member.running[0] <= self.now - LINGER_US:  # nothing runs longer
                member.running.pop(0)
                member.purse.release(1)
        self._step_holders()

    def _do_reply(self, i):
        who, (what, *told), reply = self.replies.pop(i)
        if what == "reported":
            if who in self.members and told[0] == duty.ASKS + who.key():
                self._reported(who, reply)
        else:
            self._held(who, what, *told, reply)

    def _reported(self, member, reply):
        if reply.proof == Proof.DONE and reply.succeeded:
            member.asked_revision = reply.revision
        else:  # as the driver does: what stands is looked at, and told anew
            item = self.model.keys.get(duty.ASKS + member.key())
            member.asked_revision = item.revision if item else 0
            self._report(member)

    def _do_spend(self, i):
        purse = self.members[i].purse
        while purse.allows(1):
            purse.acquire(1)
            self.spent.append(self.now)
            self.members[i].running += [self.now] * (self.kind == HELD)

    def _do_end(self, i):
        member = self.members[i]
        for _ in range(-(-len(member.running) // 2)):  # the older half
            member.running.pop(0)
            member.purse.release(1)

    def _do_hear(self, i):
        member = self.members[i]
        member.heard, _, value = self._rows(member)[0]
        if value is not None:
            write, row = duty.row_of(value)
            member.purses.told(
                member.lease.id, write, {name: duty.part_in(packed) for name, packed in row.items()}
            )

    def _do_report(self, i):
        member = self.members[i]
        member.want = 3 if self.still else (0, 4, WHOLE)[(self.now // QUANTUM_US + i) % 3]
        self._report(member)

    def _do_die(self, i):
        """What it began goes on for as long as it may."""
        member = self.members.pop(i)
        self.calls = [row for row in self.calls if row[0] is not member]
        if member.running:
            self.lingering.append((self.now + LINGER_US, len(member.running)))

    def _do_leave(self, i):
        """In good order: nothing is begun any more, the last word is written, the lease goes."""
        member = self.members[i]
        if member.lease.is_valid(member()) and not member.cut:
            self.calls = [row for row in self.calls if row[0] is not member]
            self._report(member, left=True)
            _, request, _ = self.calls.pop()
            self.model.call(request, self.now)
            self.model.end(member.lease.id)
        self._do_die(self.members.index(member))

    def check(self):
        """Never more than the whole is in use, nor within any window."""
        self.lingering = [row for row in self.lingering if row[0] > self.now]
        if self.kind == HELD:
            used = sum(len(one.running) for one in self.members) + sum(out for _, out in self.lingering)
        else:
            self.spent = [at for at in self.spent if at > self.now - WINDOW_US]
            used = len(self.spent)
        if used > WHOLE:
            raise Broken(f"{used} of {WHOLE} are in use")

    def mark(self):
        """What makes two states the same: all but absolute time and numbers of writes."""
        return (
            tuple(
                (
                    one.name,
                    one.cut,
                    one.purse.part,
                    one.purse.out,
                    one.want,
                    one.heard,
                    max(0, one.lease.valid_until - one()),
                    len(one.purse.spent),
                )
                for one in self.members
            ),
            tuple((key, item.value) for key, item in sorted(self.model.keys.items())),
            tuple((tag, str(request)) for _, request, tag in self.calls),
            tuple((tag, reply.proof, reply.succeeded) for _, tag, reply in self.replies),
            tuple(map(str, self.ghosts)),
            tuple(self.seen),
            self.owner,
            self.faults,
            tuple((k.token, k.loaded, k.fence, k.reading, k.writing) for k in self.holders),
            tuple(at - self.now for at in self.spent),
            tuple((at - self.now, n) for at, n in self.lingering),
        )

    def calm(self):
        """No more faults: all is carried out in turn, everybody reports, and one owner divides."""
        self.faults, self.ghosts, self.still = 0, [], True
        self.holders[1 - self.owner].lost()
        for one in self.members:
            one.cut = False
        for _ in range(SETTLED):
            self.act("time")
            for i in range(len(self.members)):
                if self.kind == HELD:
                    self.act("end", i)
                if self.may_report(self.members[i]):
                    self.act("report", i)
            for name in NAMES:
                if name not in [one.name for one in self.members]:
                    self.act("come", name)
            self.quiet(60)

    def settled(self):
        """Raises Broken unless all that may be divided is divided among those who live."""
        parts = sum(one.purse.part for one in self.members)
        if parts < WHOLE - ALONE * len(NAMES) - 1:  # one of it may be on its way
            raise Broken(f"{parts} are divided though nothing is wrong any more")


def rounds(world, draw):
    """Moment after moment, for ever: some report, most of what is under way is carried out, most spend, and
    now and then something breaks. What was held back comes some moments later."""
    while True:
        yield ("time",)
        for i, member in enumerate(world.members):
            if draw() < 0.5 and world.may_report(member):
                yield ("report", i)
        for _ in range(14):
            todo = world.fair()
            if not todo or draw() < 0.05:
                break
            broken = world.calls and world.faults and draw() < 0.06
            yield (OF_CALLS[int(draw() * 3)], int(draw() * len(world.calls))) if broken else todo
        for chance in (0.7, 0.5):
            for i, member in enumerate(world.members):
                if draw() < chance and member.purse.allows(1):
                    yield ("spend", i)
            todo = world.fair()
            if todo and draw() < chance:
                yield todo
        yield from walking.now_and_then(
            world,
            draw,
            (("end", 0.4), ("come", 0.4), ("heal", 0.1), ("late", 0.15), ("lost", 0.1)),
            ("die", "cut", "elect", "miss", "leave"),
            0.2,
        )


def walk(seed, steps, faults=10, marks=False, **make):
    """One walk, then calm; raises Broken with its story. Marks of the states that it met, where asked for."""
    draw = random.Random(seed).random
    world = World((HELD, WINDOWED)[seed % 2], faults, **make)
    actions = rounds(world, draw) if seed // 2 % 4 else walking.wild(world, draw, FAULTS)
    return walking.follow(world, actions, steps, seed, marks)


def explore(kind, depth, most, faults=2, seed=0, **make):
    """(states met, the depth that was gone through whole) from a fleet that has divided."""
    world = World(kind, 0, **make)
    world.calm()
    world.faults = faults
    return walking.explore(world, depth, most, seed)
