"""Explores the budget logic without I/O: one leader that allocates, another that takes over, and members.

explore() tries all orders of actions up to a given depth. walk() takes one random walk, and ends with the
faults taken away: then all of the budget's total has to be in use again.
"""

import random
from collections.abc import Callable, Iterator
from typing import Any

from gullhold.budgets.ledger import LedgerKind
from gullhold.testing import walking
from gullhold.testing.action_kind import CALL_FAULTS, ActionKind
from gullhold.testing.budget_world import FAULTS, Action, World

MAX_ORDERLY_ACTIONS = 14  # calls, replies and notifications handled in one step of time, at most
# Probabilities within one step of time.
REPORT_CHANCE = 0.5  # probability that a member reports
STOP_CHANCE = 0.05  # before each call or reply: probability that all that are left wait for the next step
CALL_FAULT_CHANCE = 0.06  # probability that a call is hit by a fault
# For each pass over the members: probability that a member acquires all it may, and probability that one more
# call, reply or notification is handled after the pass.
ACQUIRE_CHANCES = (0.7, 0.5)
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
RARE_CHANCE = 0.2  # probability that a rare action is taken if no frequent one is


def random_steps(world: World, draw: Callable[[], float]) -> Iterator[Action]:
    """Yield the actions of one step of time after another, without end.

    In each step some members report, most calls under way are handled, most members acquire, and at most one
    fault or other rare action happens. Delayed calls are executed some steps later.
    """
    while True:
        yield (ActionKind.ADVANCE_TIME,)
        for index, member in enumerate(world.members):
            if draw() < REPORT_CHANCE and world.may_report(member):
                yield (ActionKind.REPORT, index)
        yield from _handled_calls(world, draw)
        for chance in ACQUIRE_CHANCES:
            for index, member in enumerate(world.members):
                if draw() < chance and member.allocation.allows(1):
                    yield (ActionKind.ACQUIRE, index)
            action = world.next_orderly_action()
            if action and draw() < chance:
                yield action
        yield from walking.occasional_action(world, draw, FREQUENT_CHANCES, RARE_ACTIONS, RARE_CHANCE)


def _handled_calls(world: World, draw: Callable[[], float]) -> Iterator[Action]:
    for _ in range(MAX_ORDERLY_ACTIONS):
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
    """Take one random walk, then let the world settle; raises InvariantError with the trace of actions.

    Returns the fingerprints of the states that were seen, if asked for. The seed also chooses the kind of
    ledger. variant: fields of Variant.
    """
    draw = random.Random(seed).random
    world = World((LedgerKind.HELD, LedgerKind.WINDOWED)[seed % 2], faults, **variant)
    is_mostly_orderly = seed // 2 % 4 != 0  # three walks of four; the others take any action
    actions = random_steps(world, draw) if is_mostly_orderly else walking.random_actions(world, draw, FAULTS)
    return walking.run_walk(world, actions, steps, seed, with_fingerprints)


def explore(
    kind: LedgerKind, depth: int, max_states: int, faults: int = 2, seed: int = 0, **variant: Any
) -> walking.Explored:
    """Try all actions from a fleet that has allocated its budget; max_states: after which it stops."""
    world = World(kind, 0, **variant)
    world.settle()
    world.faults = faults
    return walking.explore(world, depth, max_states, seed)
