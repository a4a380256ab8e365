"""What explorers of decisions share: calls of a small register under way, the search, and walks by chance.

An explorer's world has act(what, i), which raises Broken, actions(), and mark(), which tells states apart.
"""

import copy
import random
from bisect import bisect_left

from gullhold.fleet.lease import LeaseTerms
from gullhold.fleet.role_state import ReadKeys, WatchKeys, WriteKeys
from gullhold.fleet.store_calls import KeepLeaseAlive, Proof, ReadPrefix, Reply, Transaction

OF_CALLS = ("lose the reply", "hold back", "refuse")  # faults of calls
QUANTUM_US = 250_000  # between moments: a lease is four of them
TERMS = LeaseTerms(1, 0.15, 0)
RATES = (0.87, 1.1, 1.0)  # of clocks against the register's: within the drift


class Broken(Exception):
    """A promise that was not kept; the text says which."""


class Pair:
    """A world in which two processes may own one duty, and members on clocks of their own hold leases.

    duty: its key; told: the prefix of keys of which an owner is told; holders: the two; seen: from which
    revision each is told. calls: (who, request, tag) under way; replies: (who, tag, reply), not heard yet;
    ghosts: requests that were given up and may still be carried out. A kind of world has members, with
    lease, cut and a clock to call, and _grant(member).
    """

    def __init__(self, model, duty, told, holders, faults):
        self.model, self.duty, self.told, self.holders, self.faults = model, duty, told, holders, faults
        self.now, self.seen, self.owner = 10_000_000, [None, None], 0
        self.members, self.calls, self.replies, self.ghosts = [], [], [], []

    def clock(self, k):
        """What the clock of holder k says."""
        return int(self.now * RATES[k + 1])

    def of_calls(self):
        """The actions that calls under way allow now."""
        found = []
        for i in range(len(self.calls)):
            found.append(("carry out", i))
            found += [(fault, i) for fault in OF_CALLS] if self.faults else []
        found += [("reply", i) for i in range(len(self.replies))]
        return found + [("late", i) for i in range(len(self.ghosts))]

    def of_holders(self):
        """The actions that concern the two holders."""
        found = [("tell", k) for k in range(2) if self.news(self.seen[k], self.told)]
        found += [("elect", 0), ("miss", self.owner)] if self.faults else []
        return found + ([("lost", 1 - self.owner)] if self.holders[1 - self.owner].token else [])

    def fair(self):
        """What happens next where nothing is wrong; None: nothing is under way."""
        if self.calls:
            return "carry out", 0
        if self.replies:
            return "reply", 0
        return next((("tell", k) for k in range(2) if self.news(self.seen[k], self.told)), None)

    def news(self, since, prefix):
        """What changed of these keys from a revision on; nothing for one that follows nothing (None)."""
        if since is None:
            return []
        past = self.model.past
        return [
            row
            for row in past[bisect_left(past, since, key=lambda row: row[0]) :]
            if row[1].startswith(prefix)
        ]

    def quiet(self, most):
        """All that is under way is carried out in turn, so many steps at most."""
        for _ in range(most):
            todo = self.fair()
            if not todo:
                break
            self.act(*todo)

    def _collect(self, k):
        for action in self.holders[k].take_actions():
            match action:
                case ReadKeys(serial, prefix):
                    self.calls.append((k, ReadPrefix(prefix), ("read", serial)))
                case WriteKeys(serial, token, operations, conditions):
                    request = Transaction(((self.duty, token), *conditions), operations)
                    self.calls.append((k, request, ("written", serial)))
                case WatchKeys(revision):
                    self.seen[k] = max(self.seen[k] or 0, revision)

    def _keep(self, one):
        """A moment has passed for a member's lease."""
        if not one.cut and one.lease.is_valid(one()):
            reply = self.model.call(KeepLeaseAlive(one.lease.id), self.now)
            if reply.ttl_s:
                one.lease.renew(one.lease.id, one())
        if one.lease.id and not one.lease.is_valid(one()):
            one.lease.clear()
        if not one.lease.id and not one.cut:
            self._grant(one)

    def _step_holders(self):
        self.model.expire(self.now)
        for k in range(2):
            self.holders[k].step(self.clock(k))
            self._collect(k)

    def _held(self, who, what, *told):
        getattr(self.holders[who], what)(self.clock(who), *told)
        self._collect(who)

    def _do_carry_out(self, i):
        who, request, tag = self.calls.pop(i)
        self.replies.append((who, tag, self.model.call(request, self.now)))

    def _do_lose_the_reply(self, i):
        who, request, tag = self.calls.pop(i)
        self.model.call(request, self.now)
        self.replies.append((who, tag, Reply(Proof.UNKNOWN)))

    def _do_hold_back(self, i):
        who, request, tag = self.calls.pop(i)
        self.ghosts.append(request)
        self.replies.append((who, tag, Reply(Proof.UNKNOWN)))

    def _do_refuse(self, i):
        who, _, tag = self.calls.pop(i)
        self.replies.append((who, tag, Reply(Proof.NOT_DONE)))

    def _do_late(self, i):
        self.model.call(self.ghosts.pop(i), self.now)

    def _do_tell(self, k):
        news = self.news(self.seen[k], self.told)
        self.seen[k] = news[0][0] + 1
        for revision, key, value in [row for row in news if row[0] == news[0][0]]:
            self._held(k, "changed", key, value, revision)

    def _do_miss(self, k):
        self._held(k, "missed")

    def _do_elect(self, _):
        """The other one owns the duty now; who owned it does not know yet."""
        self.model.revision += 1
        self.model.put(self.duty, "", 0)
        self.owner = 1 - self.owner
        self.holders[self.owner].won(self.model.revision, self.clock(self.owner))
        self._collect(self.owner)

    def _do_lost(self, k):
        self.holders[k].lost()

    def _do_cut(self, i):
        self.members[i].cut = True

    def _do_heal(self, i):
        self.members[i].cut = False


def explore(world, depth, most, seed=0):
    """(states met, the depth that was gone through whole) from a world on; raises Broken with its story.

    most: states after which it stops. Which actions come first at one depth is drawn from the seed.
    """
    draw = random.Random(seed)
    layer, met, whole = [(world, ())], set(), 0
    for level in range(depth):
        following = []
        for one, story in layer:
            actions = one.actions()
            draw.shuffle(actions)
            for action in actions:
                other = copy.deepcopy(one)
                try:
                    other.act(*action)
                except Broken as fault:
                    raise Broken(f"{fault}; after {[*story, action]}") from None
                mark = hash(other.mark())
                if mark not in met:
                    met.add(mark)
                    following.append((other, (*story, action)))
                if len(met) >= most:
                    return len(met), whole
        layer, whole = following, level + 1
    return len(met), whole


def wild(world, draw, faults):
    """Actions by chance, for ever; faults: kinds that come seldom."""
    while True:
        actions = world.actions()
        few = [action for action in actions if action[0] not in faults or draw() < 0.15]
        yield actions[0] if draw() < 0.12 else few[int(draw() * len(few))]


def now_and_then(world, draw, kinds, odd, likely):
    """At most one action: of the first of these (kind, chance) that comes up, else, seldom, an odd one."""
    actions = world.actions()
    for kind, chance in kinds:
        some = [action for action in actions if action[0] == kind]
        if some and draw() < chance:
            yield some[int(draw() * len(some))]
            return
    some = [action for action in actions if action[0] in odd]
    if some and draw() < likely:
        yield some[int(draw() * len(some))]


def follow(world, actions, steps, seed, marks):
    """Take so many actions, then calm down and be settled; raises Broken with its story. Marks of the states
    that were met, where asked for."""
    story, met = [], set()
    try:
        for _ in range(steps):
            action = next(actions)
            story.append(action)
            world.act(*action)
            if marks:
                met.add(hash(world.mark()))
        world.calm()
        world.settled()
    except Broken as fault:
        raise Broken(f"seed {seed}: {fault}; after {story}") from None
    return met


def find(walk, walks, first=0):
    """(seed, what broke) of the first of so many walks that finds something, or None."""
    for seed in range(first, first + walks):
        try:
            walk(seed)
        except Broken as fault:
            return seed, str(fault).partition("; after")[0]
        except Exception as fault:  # it fell over its own state: found too
            return seed, repr(fault)
    return None
