"""Explores the membership logic without I/O: orders of calls, losses, pauses, lease expiries and restarts.

explore() tries all actions that are possible from a settled fleet, up to a given depth; states that were seen
before are recognised by their fingerprints. walk() takes one random walk, which goes far deeper, and ends
with the faults taken away: then every role has to get a leader again.
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

# Actions that happen at once and in order while there are no faults.
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
MAX_PLAN_STEPS = 6  # length at which the plan of a targeted strategy gets no further step


def settled_world(
    make: MakeMember = Membership,
    names: tuple[str, ...] = NAMES,
    roles: tuple[str, ...] = ROLES,
    faults: int = 3,
) -> World:
    """Return a world whose members have joined and whose roles all have leaders."""
    world = World(names, roles, make, faults=0)
    world.settle()
    world.check_settled()
    world.faults = faults
    return world


def explore(
    depth: int, max_states: int, make: MakeMember = Membership, faults: int = 2, seed: int = 0
) -> walking.Explored:
    """Try all actions from a settled fleet; raises InvariantError with the trace of actions.

    max_states: number of distinct states after which the search stops. The seed decides in which order the
    actions of one depth are tried.
    """
    return walking.explore(settled_world(make, faults=faults), depth, max_states, seed)


def walk(seed: int, steps: int, make: MakeMember = Membership, faults: int = 6) -> set[int]:
    """Take one random walk, let the world settle, and return the fingerprints of the states that were seen.

    The seed also chooses the strategy. Raises InvariantError with the trace of actions.
    """
    draw = random.Random(seed).random
    world = settled_world(make, faults=faults)
    strategy = STRATEGIES[seed % len(STRATEGIES)](draw)
    return walking.run_walk(world, _chosen(strategy, world), steps, seed, with_fingerprints=True)


class Strategy(Protocol):
    """Chooses the actions of a walk."""

    def choose(self, world: World) -> Action:
        """Return the next action."""
        ...


def _chosen(strategy: Strategy, world: World) -> Iterator[Action]:
    while True:
        yield strategy.choose(world)


def _pick(actions: list[Action], draw: Draw) -> Action:
    return actions[int(draw() * len(actions))]


def _faults_of_rare_calls(world: World, actions: list[Action]) -> list[Action]:
    """Return the possible faults of calls that members make seldom, such as claims of roles."""
    return [
        action
        for action in actions
        if action.kind in CALL_FAULTS and world.calls[action.index].call.purpose not in FREQUENT_CALLS
    ]


class RandomStrategy:
    """Chooses any action: calls and replies are late, out of order and lost."""

    TIME_CHANCE = 0.12  # probability that time advances, without which no lease expires
    RARE_CALL_CHANCE = 0.4  # probability that a fault hits a rare call, if one is under way
    NO_CALL_FAULT_CHANCE = 0.8  # probability that the action is drawn from those other than faults of calls

    def __init__(self, draw: Draw) -> None:
        """draw: source of random fractions, from [0, 1)."""
        self.draw = draw

    def choose(self, world: World) -> Action:
        """Return the next action."""
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
    """Handles everything at once and in order, but for a few deviations, which are any other possible action.

    Delayed calls and replies and paused processes go on only by a further deviation.
    """

    DEVIATION_CHANCE = 0.08
    # Probability that a deviation is a fault of a call not in FREQUENT_CALLS, if one is under way.
    RARE_CALL_CHANCE = 0.5

    def __init__(self, draw: Draw) -> None:
        """draw: source of random fractions, from [0, 1)."""
        self.draw = draw

    def choose(self, world: World) -> Action:
        """Return the next action: a deviation with probability DEVIATION_CHANCE."""
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
    """Delays a rare call or its reply, pauses or restarts the caller, then releases what was delayed."""

    RESUME_CHANCE = 0.04  # probability that a paused target resumes, at each action
    MAX_WAIT_STEPS = 25  # actions between two steps of the plan

    def __init__(self, draw: Draw) -> None:
        """draw: source of random fractions, from [0, 1)."""
        super().__init__(draw)
        self.plan = [self._delay, self._disturb, self._release]
        self.wait = 0
        self.target: int | None = None  # index of the member whose call was delayed

    def choose(self, world: World) -> Action:
        """Return the next step of the plan when it is due and possible, or else an orderly action."""
        actions = world.actions()
        self.wait -= 1
        if self.wait <= 0 and self.plan:
            action = self.plan[0](world, actions)
            if action:
                self.plan.pop(0)
                self.wait = int(self.draw() * self.MAX_WAIT_STEPS)
                return action
        is_target_paused = self.target is not None and world.is_paused[self.target]
        if is_target_paused and self.draw() < self.RESUME_CHANCE:
            return Action(ActionKind.RESUME, self.target)
        return self._orderly(actions)

    def _delay(self, world: World, actions: list[Action]) -> Action | None:
        kinds = (ActionKind.DELAY_CALL, ActionKind.DELAY_REPLY)
        found = [action for action in _faults_of_rare_calls(world, actions) if action.kind in kinds]
        if not found:
            return self._add_member(actions)
        action = _pick(found, self.draw)
        self.target = world.calls[action.index].member
        return action

    def _add_member(self, actions: list[Action]) -> Action | None:
        """Start a process: no rare call is under way to be delayed, and a process that joins makes some."""
        if len(self.plan) < MAX_PLAN_STEPS:
            self.plan.insert(0, self._delay)
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
