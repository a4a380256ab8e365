"""What explorers of decisions share: calls of a small register under way, the search, and walks by chance.

An explorer's world has act(what, i), which raises Broken, actions(), and mark(), which tells states apart.
"""

import copy
import random

from gullhold.fleet.calls import MAYBE, NOT_DONE, Reply

OF_CALLS = ("lose the reply", "hold back", "refuse")   # faults of calls


class Broken(Exception):
    """A promise that was not kept; the text says which."""


class Calls:
    """Calls under way, as part of a world with `model`, a register, and `now`.

    calls: (who, request, tag); replies: (who, tag, reply), not heard yet; ghosts: requests that were given up
    and may still be carried out.
    """

    def _do_carry_out(self, i):
        who, request, tag = self.calls.pop(i)
        self.replies.append((who, tag, self.model.call(request, self.now)))

    def _do_lose_the_reply(self, i):
        who, request, tag = self.calls.pop(i)
        self.model.call(request, self.now)
        self.replies.append((who, tag, Reply(MAYBE)))

    def _do_hold_back(self, i):
        who, request, tag = self.calls.pop(i)
        self.ghosts.append(request)
        self.replies.append((who, tag, Reply(MAYBE)))

    def _do_refuse(self, i):
        who, _, tag = self.calls.pop(i)
        self.replies.append((who, tag, Reply(NOT_DONE)))

    def _do_late(self, i):
        self.model.call(self.ghosts.pop(i), self.now)

    def of_calls(self):
        """The actions that these allow now."""
        found = []
        for i in range(len(self.calls)):
            found.append(("carry out", i))
            found += [(fault, i) for fault in OF_CALLS] if self.faults else []
        found += [("reply", i) for i in range(len(self.replies))]
        return found + [("late", i) for i in range(len(self.ghosts))]


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
        except Exception as fault:   # it fell over its own state: found too
            return seed, repr(fault)
    return None
