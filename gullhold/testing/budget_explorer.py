"""Explores the decisions of budgets alone: one leader that allocates, another that takes over, members.

The search goes through all orders of actions to some depth. Random walks end with the faults taken away: then
nothing of the total may be lost.
"""

import random
from collections.abc import Callable, Iterator
from typing import Any

from gullhold.budgets.ledger import LedgerKind
from gullhold.testing import walking
from gullhold.testing.action_kind import CALL_FAULTS, ActionKind
from gullhold.testing.budget_world import FAULTS, Action, World

MAX_STEPS_PER_MOMENT = 14  # calls carried out within a moment of a walk
# Chances within a moment of a walk.
REPORT_CHANCE = 0.5  # that a member reports
STOP_CHANCE = 0.05  # that what is under way waits for the next moment
CALL_FAULT_CHANCE = 0.06  # that a call fails
SPEND_CHANCES = (0.7, 0.5)  # that a member spends all that it may: twice in a moment
FREQUENT_CHANCES = (
    (ActionKind.RELEASE, 0.4),
    (ActionKind.JOIN, 0.4),
    (ActionKind.RECONNECT, 0.1),
    (ActionKind.EXECUTE_DELAYED_CALL, 0.15),
    (ActionKind.LOSE_ROLE, 0.1),
)
RARE_ACTIONS = (
    ActionKind.CRASH,
    ActionKind.DISCONNECT,
    ActionKind.ELECT,
    ActionKind.MISS_CHANGES,
    ActionKind.LEAVE,
)
RARE_CHANCE = 0.2


def rounds(world: World, draw: Callable[[], float]) -> Iterator[Action]:
    """Yield actions moment after moment, for ever.

    Some members report, most of what is under way is carried out, most members spend, and now and then
    something breaks. What was held back comes some moments later.
    """
    while True:
        yield (ActionKind.ADVANCE_TIME,)
        for index, member in enumerate(world.members):
            if draw() < REPORT_CHANCE and world.may_report(member):
                yield (ActionKind.REPORT, index)
        yield from _calls_carried_out(world, draw)
        for chance in SPEND_CHANCES:
            for index, member in enumerate(world.members):
                if draw() < chance and member.allocation.allows(1):
                    yield (ActionKind.ACQUIRE, index)
            action = world.next_orderly_action()
            if action and draw() < chance:
                yield action
        yield from walking.occasional_action(world, draw, FREQUENT_CHANCES, RARE_ACTIONS, RARE_CHANCE)


def _calls_carried_out(world: World, draw: Callable[[], float]) -> Iterator[Action]:
    for _ in range(MAX_STEPS_PER_MOMENT):
        action = world.next_orderly_action()
        if not action or draw() < STOP_CHANCE:
            return
        if world.calls and world.faults and draw() < CALL_FAULT_CHANCE:
            fault = CALL_FAULTS[int(draw() * len(CALL_FAULTS))]
            yield fault, int(draw() * len(world.calls))
        else:
            yield action


def walk(
    seed: int, steps: int, faults: int = 10, with_fingerprints: bool = False, **variant: Any
) -> set[int]:
    """Walk once, then settle; raises InvariantError with its story.

    Returns fingerprints of the states that were met, where asked for. variant: fields of Variant.
    """
    draw = random.Random(seed).random
    world = World((LedgerKind.HELD, LedgerKind.WINDOWED)[seed % 2], faults, **variant)
    is_in_rounds = seed // 2 % 4 != 0  # three walks of four; the others take any action
    actions = rounds(world, draw) if is_in_rounds else walking.random_actions(world, draw, FAULTS)
    return walking.run_walk(world, actions, steps, seed, with_fingerprints)


def explore(
    kind: LedgerKind, depth: int, max_states: int, faults: int = 2, seed: int = 0, **variant: Any
) -> walking.Explored:
    """Return (states met, the depth that was fully searched) from a fleet that has allocated."""
    world = World(kind, 0, **variant)
    world.settle()
    world.faults = faults
    return walking.explore(world, depth, max_states, seed)
