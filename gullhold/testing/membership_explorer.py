"""Explores the decisions of members alone: orders of calls, losses, sleeps, lease ends and restarts.

From a fleet that has settled every action that can be next is tried, to a stated depth; states that were met
before are recognised. Random walks go far deeper, and end with the faults taken away: then every role has to
be led again.
"""

import random
from collections.abc import Callable, Iterator
from typing import Protocol

from gullhold.fleet.membership import Membership
from gullhold.fleet.membership_types import CallPurpose
from gullhold.testing import walking
from gullhold.testing.membership_actions import CALL_FAULTS, Action, ActionKind
from gullhold.testing.membership_world import NAMES, ROLES, MakeMember, World

Draw = Callable[[], float]  # a random fraction, from [0, 1)

# What happens at once where nothing is wrong.
ORDERLY = (
    ActionKind.EXECUTE_CALL,
    ActionKind.DELIVER_REPLY,
    ActionKind.NOTIFY_MEMBER,
    ActionKind.EXECUTE_EFFECT,
)
FREQUENT_CALLS = (
    CallPurpose.RENEW_LEASE,
    CallPurpose.AUDIT_LEASE,
    CallPurpose.GRANT_LEASE,
    CallPurpose.READ_MEMBERS,
)
MAX_PLAN_STEPS = 6  # of a targeted strategy: no more calls are waited for


def settled_world(
    make: MakeMember = Membership,
    names: tuple[str, ...] = NAMES,
    roles: tuple[str, ...] = ROLES,
    faults: int = 3,
) -> World:
    """A world whose members have settled."""
    world = World(names, roles, make, faults=0)
    world.settle()
    world.check_settled()
    world.faults = faults
    return world


def explore(
    depth: int, max_states: int, make: MakeMember = Membership, faults: int = 2, seed: int = 0
) -> walking.Explored:
    """(states met, the depth up to which all were tried) from a settled fleet.

    Raises InvariantError with its story.
    max_states: states after which it stops. Which actions come first at one depth is drawn from the seed.
    """
    return walking.explore(settled_world(make, faults=faults), depth, max_states, seed)


def walk(seed: int, steps: int, make: MakeMember = Membership, faults: int = 6) -> set[int]:
    """One walk, by a strategy that its seed says, then settle; raises InvariantError with its story.

    The fingerprints of the states that it met.
    """
    draw = random.Random(seed).random
    world = settled_world(make, faults=faults)
    strategy = STRATEGIES[seed % len(STRATEGIES)](draw)
    return walking.run_walk(world, _chosen(strategy, world), steps, seed, with_fingerprints=True)


class Strategy(Protocol):
    """How a walk chooses its actions."""

    def choose(self, world: World) -> Action:
        """The next action."""
        ...


def _chosen(strategy: Strategy, world: World) -> Iterator[Action]:
    while True:
        yield strategy.choose(world)


def _pick(actions: list[Action], draw: Draw) -> Action:
    return actions[int(draw() * len(actions))]


def _faults_of_rare_calls(world: World, actions: list[Action]) -> list[Action]:
    """Faults of the calls that are made seldom."""
    return [
        action
        for action in actions
        if action.kind in CALL_FAULTS and world.calls[action.index].call.purpose not in FREQUENT_CALLS
    ]


class RandomStrategy:
    """Everything late, out of turn, and under faults."""

    TIME_CHANCE = 0.12  # time has to pass, or no lease ever ends
    RARE_CALL_CHANCE = 0.4  # faults have to meet the calls that are made seldom
    NO_CALL_FAULT_CHANCE = 0.8

    def __init__(self, draw: Draw) -> None:
        """draw: decides."""
        self.draw = draw

    def choose(self, world: World) -> Action:
        """The next action."""
        actions = world.actions()
        if self.draw() < self.TIME_CHANCE:
            return actions[0]
        rare = _faults_of_rare_calls(world, actions)
        if rare and self.draw() < self.RARE_CALL_CHANCE:
            return _pick(rare, self.draw)
        without_call_faults = [action for action in actions if action.kind not in CALL_FAULTS]
        if self.draw() < self.NO_CALL_FAULT_CHANCE:
            return _pick(without_call_faults, self.draw)
        return _pick(actions, self.draw)


class OrderlyStrategy:
    """Everything at once and in turn, but for a few deviations: at these, whatever is possible.

    What was held back, and who sleeps, waits for a further deviation.
    """

    DEVIATION_CHANCE = 0.08
    RARE_CALL_CHANCE = 0.5

    def __init__(self, draw: Draw) -> None:
        """draw: decides."""
        self.draw = draw

    def choose(self, world: World) -> Action:
        """The next action: a deviation about once in twelve."""
        actions = world.actions()
        if self.draw() < self.DEVIATION_CHANCE:
            deviations = self._deviations(world, actions)
            if deviations:
                return _pick(deviations, self.draw)
        return self._orderly(actions)

    def _deviations(self, world: World, actions: list[Action]) -> list[Action]:
        if self.draw() < self.RARE_CALL_CHANCE:
            rare = _faults_of_rare_calls(world, actions)
            if rare:
                return rare
        return [action for action in actions if action.kind not in (*ORDERLY, ActionKind.ADVANCE_TIME)]

    def _orderly(self, actions: list[Action]) -> Action:
        return next((action for action in actions if action.kind in ORDERLY), actions[0])


class TargetedStrategy(OrderlyStrategy):
    """Holds a call or its reply back, disturbs its member, and lets what was held back arrive later."""

    WAKE_CHANCE = 0.04
    MAX_WAIT_STEPS = 25  # between two steps of the plan

    def __init__(self, draw: Draw) -> None:
        """draw: decides."""
        super().__init__(draw)
        self.plan = [self._hold_back, self._disturb, self._release]
        self.wait = 0
        self.target: int | None = None  # a member

    def choose(self, world: World) -> Action:
        """The next action: an orderly one, or the next step of the plan when its time has come."""
        actions = world.actions()
        self.wait -= 1
        if self.wait <= 0 and self.plan:
            action = self.plan[0](world, actions)
            if action:
                self.plan.pop(0)
                self.wait = int(self.draw() * self.MAX_WAIT_STEPS)
                return action
        is_target_paused = self.target is not None and world.is_paused[self.target]
        if is_target_paused and self.draw() < self.WAKE_CHANCE:
            return Action(ActionKind.RESUME, self.target)
        return self._orderly(actions)

    def _hold_back(self, world: World, actions: list[Action]) -> Action | None:
        kinds = (ActionKind.DELAY_CALL, ActionKind.DELAY_REPLY)
        found = [action for action in _faults_of_rare_calls(world, actions) if action.kind in kinds]
        if not found:
            return self._add_member(actions)
        action = _pick(found, self.draw)
        self.target = world.calls[action.index].member
        return action

    def _add_member(self, actions: list[Action]) -> Action | None:
        """No rare call is under way: a process that joins makes some."""
        if len(self.plan) < MAX_PLAN_STEPS:
            self.plan.insert(0, self._hold_back)
        joins = [action for action in actions if action.kind in (ActionKind.JOIN, ActionKind.RESTART)]
        return _pick(joins, self.draw) if joins else None

    def _disturb(self, _world: World, actions: list[Action]) -> Action | None:
        kinds = (ActionKind.PAUSE, ActionKind.RESTART)
        found = [action for action in actions if action.kind in kinds and action.index == self.target]
        return _pick(found, self.draw) if found else None

    def _release(self, _world: World, actions: list[Action]) -> Action | None:
        kinds = (ActionKind.EXECUTE_DELAYED_CALL, ActionKind.RELEASE_REPLY)
        return next((action for action in actions if action.kind in kinds), None)


STRATEGIES = (RandomStrategy, OrderlyStrategy, TargetedStrategy)
