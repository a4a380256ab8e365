"""Explores the decisions of a rollout alone: two coordinators that take over from each other, and members.

Random walks end with the faults taken away: then every member has to go by what is in force.
"""

import random
from collections.abc import Callable, Iterator
from typing import Any

from gullhold.rollout.policy_change import Overlap
from gullhold.rollout.policy_gate import CutOffRule
from gullhold.testing import walking
from gullhold.testing.action_kind import CALL_FAULTS, ActionKind
from gullhold.testing.rollout_history import REFUSED_TEXT
from gullhold.testing.rollout_world import FAULTS, GOOD_TEXT, Action, World


def rounds(world: World, draw: Callable[[], float]) -> Iterator[Action]:
    """Step after step of time, for ever.

    Changes are proposed, most of what is under way is carried out, and now and then something breaks. What
    was held back comes some steps later.
    """
    while True:
        yield (ActionKind.TIME,)
        if world.may_propose() and draw() < 0.6:
            yield (ActionKind.PROPOSE, REFUSED_TEXT if draw() < 0.2 else GOOD_TEXT)
        for _ in range(int(draw() * 40)):
            action = world.next_orderly_action()
            if not action:
                break
            if world.calls and world.faults and draw() < 0.05:
                action = (CALL_FAULTS[int(draw() * 3)], int(draw() * len(world.calls)))
            yield action
        yield from walking.occasional_action(
            world,
            draw,
            ((ActionKind.COME, 0.5), (ActionKind.HEAL, 0.2), (ActionKind.LATE, 0.2), (ActionKind.LOST, 0.1)),
            (ActionKind.DIE, ActionKind.CUT, ActionKind.ELECT, ActionKind.MISS, ActionKind.DEAF),
            0.25,
        )


def walk(seed: int, steps: int, faults: int = 10, marks: bool = False, **variant: Any) -> set[int]:
    """Walk once, then calm down; raises InvariantError with its story.

    Returns the marks of the states that it met, where asked for. variant: fields of RolloutVariant.
    """
    draw = random.Random(seed).random
    overlap = (Overlap.STRICT, Overlap.LOOSE)[seed % 2]
    cut_off_rule = (CutOffRule.UNTIL_LEASE_END, CutOffRule.BEFORE_LEASE_END)[seed // 2 % 2]
    world = World(overlap, faults, **{"cut_off_rule": cut_off_rule} | variant)
    actions = rounds(world, draw) if seed // 4 % 4 else walking.random_actions(world, draw, FAULTS)
    return walking.run_walk(world, actions, steps, seed, marks)


def explore(
    overlap: Overlap, depth: int, most: int, faults: int = 1, seed: int = 0, **variant: Any
) -> walking.Explored:
    """Explore from a fleet with one change just proposed; most: states after which it stops."""
    world = World(overlap, 0, **variant)
    world.calm()
    world.act(ActionKind.PROPOSE, GOOD_TEXT)
    world.faults = faults
    return walking.explore(world, depth, most, seed)
