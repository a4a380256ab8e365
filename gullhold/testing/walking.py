"""What explorers of worlds share: the search through all actions, and random walks.

A world has act(kind, ...), which raises InvariantError, actions(), fingerprint(), which tells states apart,
and, for random walks, settle() and check_settled(). An action is a tuple of its kind and the other arguments
of act().
"""

import copy
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

FAULT_CHANCE = 0.15  # of an action of a kind that is to come seldom
TIME_CHANCE = 0.12  # of letting time pass: otherwise no lease ever ends

Action = Sequence[Any]
Draw = Callable[[], float]  # a random fraction, from [0, 1)


class InvariantError(Exception):
    """A rule that does not hold; the text says which."""


class Explored(NamedTuple):
    """How far a search came: states met, and the depth up to which all actions were tried."""

    states: int
    depth: int


def explore(world: Any, depth: int, max_states: int, seed: int = 0) -> Explored:
    """Try every action that can be next, breadth first; raises InvariantError with its story.

    max_states: after which it stops. Which actions come first at one depth is drawn from the seed.
    """
    draw = random.Random(seed)
    layer: list[tuple[Any, tuple[Action, ...]]] = [(world, ())]  # worlds with their stories
    met: set[int] = set()
    for level in range(depth):
        following = []
        for state, story in layer:
            actions = state.actions()
            draw.shuffle(actions)
            for action in actions:
                successor = _after(state, action, story)
                fingerprint = hash(successor.fingerprint())
                if fingerprint not in met:
                    met.add(fingerprint)
                    following.append((successor, (*story, action)))
                if len(met) >= max_states:
                    return Explored(len(met), level)
        layer = following
    return Explored(len(met), depth)


def _after(world: Any, action: Action, story: tuple[Action, ...]) -> Any:
    """Return a copy of a world, after an action."""
    successor = copy.deepcopy(world)
    try:
        successor.act(*action)
    except InvariantError as violation:
        raise InvariantError(f"{violation}; after {[*story, action]}") from None
    return successor


def random_actions(world: Any, draw: Draw, faults: Sequence[str]) -> Iterator[Action]:
    """Yield random actions without end; faults: kinds that come seldom."""
    while True:
        actions = world.actions()
        chosen = [action for action in actions if action[0] not in faults or draw() < FAULT_CHANCE]
        yield actions[0] if draw() < TIME_CHANCE else _pick(chosen, draw)


def occasional_action(
    world: Any, draw: Draw, kinds: Iterable[tuple[str, float]], rare_kinds: Sequence[str], rare_chance: float
) -> Iterator[Action]:
    """Yield at most one action: of the first of these (kind, chance) that is drawn, else perhaps a rare one.

    rare_chance: of an action of a rare kind.
    """
    actions = world.actions()
    for kind, chance in kinds:
        found = [action for action in actions if action[0] == kind]
        if found and draw() < chance:
            yield _pick(found, draw)
            return
    found = [action for action in actions if action[0] in rare_kinds]
    if found and draw() < rare_chance:
        yield _pick(found, draw)


def _pick(actions: list[Action], draw: Draw) -> Action:
    return actions[int(draw() * len(actions))]


def run_walk(
    world: Any, actions: Iterator[Action], steps: int, seed: int, with_fingerprints: bool
) -> set[int]:
    """Take so many actions, then end the faults and check that the world settles.

    with_fingerprints: whether to return the fingerprints of the states that were met. Raises InvariantError
    with its story.
    """
    story: list[Action] = []
    met: set[int] = set()
    try:
        for _ in range(steps):
            action = next(actions)
            story.append(action)
            world.act(*action)
            if with_fingerprints:
                met.add(hash(world.fingerprint()))
        world.settle()
        world.check_settled()
    except InvariantError as violation:
        raise InvariantError(f"seed {seed}: {violation}; after {story}") from None
    return met


class FindingKind(StrEnum):
    """How a walk showed that something is wrong."""

    VIOLATION = "violation"  # a rule did not hold
    CRASH = "crash"  # the code under test raised an exception of its own: no rule was judged


class Finding(NamedTuple):
    """The first walk that showed something: its seed, the rule that broke or the exception, and which."""

    seed: int
    text: str
    kind: FindingKind


def find_failing_walk(walk: Callable[[int], Any], walks: int, first: int = 0) -> Finding | None:
    """Take walks of consecutive seeds up to the first that finds something; None: none of them did."""
    for seed in range(first, first + walks):
        try:
            walk(seed)
        except InvariantError as violation:
            rule = str(violation).partition("; after")[0]
            return Finding(seed, rule, FindingKind.VIOLATION)
        except Exception as error:  # noqa: BLE001  a mutant may raise anything; reported as a crash
            return Finding(seed, repr(error), FindingKind.CRASH)
    return None
