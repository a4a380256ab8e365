"""Search through all action sequences and random walks, for explorers of simulated worlds.

A world is a simulated fleet whose next event is chosen by the explorer. It has actions(), which lists the
actions that are possible now, act(kind, ...), which carries one out and raises InvariantError if an invariant
breaks, and fingerprint(), which is equal for equivalent states. For random walks it also has settle(), which
ends the faults and lets the world reach a steady state, and check_settled(), which raises InvariantError if
that state is not as it should be. An action is a tuple of its kind and the other arguments of act().
"""

import copy
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

FAULT_CHANCE = 0.15  # probability that a fault stays among the actions to draw from
TIME_CHANCE = 0.12  # probability that time advances, without which no lease expires

Action = Sequence[Any]
Draw = Callable[[], float]  # a random fraction, from [0, 1)


class InvariantError(Exception):
    """An invariant does not hold; the text says which. Explorers add the trace of actions before it."""


class Explored(NamedTuple):
    """Result of a search: the number of distinct states, and the depth up to which all actions were tried."""

    states: int
    depth: int


def explore(world: Any, depth: int, max_states: int, seed: int = 0) -> Explored:
    """Try every possible action, breadth first; raises InvariantError with the trace of actions.

    max_states: number of distinct states after which the search stops. The seed decides in which order the
    actions of one depth are tried.
    """
    draw = random.Random(seed)
    frontier: list[tuple[Any, tuple[Action, ...]]] = [(world, ())]  # worlds with their traces
    seen: set[int] = set()
    for level in range(depth):
        next_frontier = []
        for state, trace in frontier:
            actions = state.actions()
            draw.shuffle(actions)
            for action in actions:
                successor = _after(state, action, trace)
                fingerprint = hash(successor.fingerprint())
                if fingerprint not in seen:
                    seen.add(fingerprint)
                    next_frontier.append((successor, (*trace, action)))
                if len(seen) >= max_states:
                    return Explored(len(seen), level)
        frontier = next_frontier
    return Explored(len(seen), depth)


def _after(world: Any, action: Action, trace: tuple[Action, ...]) -> Any:
    """Return a copy of a world in which an action was carried out; the world itself stays as it is."""
    successor = copy.deepcopy(world)
    try:
        successor.act(*action)
    except InvariantError as violation:
        raise InvariantError(f"{violation}; after {[*trace, action]}") from None
    return successor


def random_actions(world: Any, draw: Draw, faults: Sequence[str]) -> Iterator[Action]:
    """Yield random actions without end; faults: kinds of action that are drawn only seldom.

    The first one of a world's actions() lets time advance.
    """
    while True:
        actions = world.actions()
        chosen = [action for action in actions if action[0] not in faults or draw() < FAULT_CHANCE]
        yield actions[0] if draw() < TIME_CHANCE else _pick(chosen, draw)


def occasional_action(
    world: Any, draw: Draw, kinds: Iterable[tuple[str, float]], rare_kinds: Sequence[str], rare_chance: float
) -> Iterator[Action]:
    """Yield at most one action.

    kinds: (kind, probability), tried in this order; the first one that is possible and drawn is yielded.
    Where none is, an action of a rare kind is yielded with probability rare_chance.
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
    """Take a number of actions, then end the faults and check that the world settles.

    with_fingerprints: whether to return the fingerprints of the states that were seen; else the set is empty.
    Raises InvariantError with the seed and the trace of actions.
    """
    trace: list[Action] = []
    seen: set[int] = set()
    try:
        for _ in range(steps):
            action = next(actions)
            trace.append(action)
            world.act(*action)
            if with_fingerprints:
                seen.add(hash(world.fingerprint()))
        world.settle()
        world.check_settled()
    except InvariantError as violation:
        raise InvariantError(f"seed {seed}: {violation}; after {trace}") from None
    return seen


class FindingKind(StrEnum):
    """How a walk failed."""

    VIOLATION = "violation"  # an invariant did not hold
    CRASH = "crash"  # the code under test raised another exception, so that no invariant was checked


class Finding(NamedTuple):
    """The first walk that failed: its seed, the broken invariant or the exception, and which of the two."""

    seed: int
    text: str
    kind: FindingKind


def find_failing_walk(walk: Callable[[int], Any], walks: int, first: int = 0) -> Finding | None:
    """Run walks with consecutive seeds up to the first that fails; None: none of them failed.

    first: the first seed. The text of a finding leaves out the trace of actions.
    """
    for seed in range(first, first + walks):
        try:
            walk(seed)
        except InvariantError as violation:
            invariant = str(violation).partition("; after")[0]
            return Finding(seed, invariant, FindingKind.VIOLATION)
        except Exception as error:  # noqa: BLE001  a mutant may raise anything; reported as a crash
            return Finding(seed, repr(error), FindingKind.CRASH)
    return None
