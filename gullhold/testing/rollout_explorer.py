"""Explores the rollout logic without I/O: two coordinators that take over from each other, and members.

explore() tries all orders of actions up to a given depth. walk() takes one random walk, and ends with the
faults taken away: then every member has to use the version in force.
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


def random_steps(world: World, draw: Callable[[], float]) -> Iterator[Action]:
    """Yield the actions of one step of time after another, without end.

    In each step a change may be proposed, calls and other events under way are handled, some of the calls
    with a fault, and at most one rarer action such as a crash happens. Delayed calls are executed some steps
    later.
    """
    while True:
        yield (ActionKind.ADVANCE_TIME,)
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
            (
                (ActionKind.JOIN, 0.5),
                (ActionKind.RECONNECT, 0.2),
                (ActionKind.EXECUTE_DELAYED_CALL, 0.2),
                (ActionKind.LOSE_ROLE, 0.1),
            ),
            (
                ActionKind.CRASH,
                ActionKind.DISCONNECT,
                ActionKind.ELECT,
                ActionKind.MISS_CHANGES,
                ActionKind.LOSE_WATCH,
            ),
            0.25,
        )


def walk(
    seed: int, steps: int, faults: int = 10, with_fingerprints: bool = False, **variant: Any
) -> set[int]:
    """Take one random walk, then let the world settle; raises InvariantError with the trace of actions.

    Returns the fingerprints of the states that were seen, if asked for. The seed also chooses the overlap and
    the rule of members that are cut off. variant: fields of RolloutVariant.
    """
    draw = random.Random(seed).random
    overlap = (Overlap.STRICT, Overlap.LOOSE)[seed % 2]
    cut_off_rule = (CutOffRule.UNTIL_LEASE_END, CutOffRule.BEFORE_LEASE_END)[seed // 2 % 2]
    world = World(overlap, faults, **{"cut_off_rule": cut_off_rule} | variant)
    actions = random_steps(world, draw) if seed // 4 % 4 else walking.random_actions(world, draw, FAULTS)
    return walking.run_walk(world, actions, steps, seed, with_fingerprints)


def explore(
    overlap: Overlap, depth: int, max_states: int, faults: int = 1, seed: int = 0, **variant: Any
) -> walking.Explored:
    """Try all actions after a change was proposed to a settled fleet; max_states: after which it stops."""
    world = World(overlap, 0, **variant)
    world.settle()
    world.act(ActionKind.PROPOSE, GOOD_TEXT)
    world.faults = faults
    return walking.explore(world, depth, max_states, seed)
