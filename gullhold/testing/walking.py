"""What explorers of decisions share: calls to a model of the store under way, the search, and random walks.

A world has act(kind, ...), which raises InvariantError, actions(), and mark(), which tells states apart.
An action is a tuple of its kind and what else act() takes.
"""

import copy
import random
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from enum import StrEnum
from typing import Any, ClassVar, NamedTuple, Protocol

from gullhold.fleet.lease import LeaseTerms
from gullhold.fleet.role_state import CallSerial, ReadKeys, RoleState, WatchKeys, WriteKeys
from gullhold.fleet.store_calls import KeepLeaseAlive, Proof, ReadPrefix, Reply, Request, Transaction
from gullhold.testing.action_kind import CALL_FAULTS, ActionKind

QUANTUM_US = 250_000  # between moments: a lease is four of them
TERMS = LeaseTerms(1, 0.15, 0)
RATES = (0.87, 1.1, 1.0)  # of clocks against the store's: within the drift
START_US = 10_000_000
FAULT_CHANCE = 0.15  # of an action of a kind that is to come seldom
TIME_CHANCE = 0.12  # of letting time pass: otherwise no lease ever ends

Action = Sequence[Any]
Draw = Callable[[], float]  # a random fraction, from [0, 1)
Change = tuple[int, str, str | None]  # revision, key, value or None where it was deleted
Tag = tuple[str, CallSerial]  # the method of a role state that takes the reply, the serial of the call


class InvariantError(Exception):
    """A rule that does not hold; the text says which."""


class StoreModel(Protocol):
    """A model of the store, as a RolePairWorld needs it."""

    revision: int
    past: list[Change]

    def call(self, request: Request, now: int) -> Reply:
        """Carry a request out."""
        ...

    def expire(self, now: int) -> None:
        """End the leases that have run out."""
        ...

    def put(self, key: str, value: str, lease: int) -> None:
        """Write a key in the current revision."""
        ...


class SentCall(NamedTuple):
    """A call under way, of one of the two holders."""

    holder: int
    request: Request
    tag: Tag


class SentReply(NamedTuple):
    """A reply under way, to one of the two holders."""

    holder: int
    tag: Tag
    reply: Reply


class RolePairWorld:
    """A world in which two processes may lead one role, and members on clocks of their own hold leases.

    role_key: the role's key in the store; watched_prefix: of the keys of which a leader is notified;
    holders: the two role states; watched_from: the revision from which each is notified; leader: the index
    of the holder that leads; calls, replies: under way; delayed_requests: given up by their callers, and may
    still be carried out. A subclass has members, with lease, cut and a clock to call, _grant(member), act(),
    and HANDLERS: this table with the methods of its own kinds of action.
    """

    def __init__(
        self, model: StoreModel, role_key: str, watched_prefix: str, holders: Sequence[RoleState], faults: int
    ) -> None:
        """faults: how many may happen."""
        self.model = model
        self.role_key = role_key
        self.watched_prefix = watched_prefix
        self.holders = holders
        self.faults = faults
        self.now = START_US
        self.watched_from: list[int | None] = [None, None]
        self.leader = 0
        self.members: list[Any] = []
        self.calls: list[SentCall] = []
        self.replies: list[SentReply] = []
        self.delayed_requests: list[Request] = []

    def clock(self, k: int) -> int:
        """What the clock of holder k shows."""
        return int(self.now * RATES[k + 1])

    # What can be next

    def call_actions(self) -> list[Action]:
        """The actions that calls under way allow now."""
        found: list[Action] = []
        for number in range(len(self.calls)):
            found.append((ActionKind.CARRY_OUT, number))
            if self.faults:
                found += [(fault, number) for fault in CALL_FAULTS]
        found += [(ActionKind.REPLY, number) for number in range(len(self.replies))]
        found += [(ActionKind.LATE, number) for number in range(len(self.delayed_requests))]
        return found

    def holder_actions(self) -> list[Action]:
        """The actions that concern the two holders."""
        found = self._notifications()
        if self.faults:
            found += [(ActionKind.ELECT, 0), (ActionKind.MISS, self.leader)]
        other = 1 - self.leader
        if self.holders[other].token:
            found.append((ActionKind.LOST, other))
        return found

    def _notifications(self) -> list[Action]:
        return [
            (ActionKind.TELL, k)
            for k in range(2)
            if self.changes_since(self.watched_from[k], self.watched_prefix)
        ]

    def next_orderly_action(self) -> Action | None:
        """What happens next where nothing is wrong; None: nothing is under way."""
        if self.calls:
            return ActionKind.CARRY_OUT, 0
        if self.replies:
            return ActionKind.REPLY, 0
        return next(iter(self._notifications()), None)

    def changes_since(self, since: int | None, prefix: str) -> list[Change]:
        """What changed of these keys from a revision on; None: nothing is followed."""
        if since is None:
            return []
        past = self.model.past
        first = bisect_left(past, since, key=lambda change: change[0])
        return [change for change in past[first:] if change[1].startswith(prefix)]

    def finish_calls(self, most: int) -> None:
        """Carry out in turn all that is under way, in so many steps at most."""
        for _ in range(most):
            action = self.next_orderly_action()
            if not action:
                break
            self.act(*action)

    # What happens

    def _collect(self, k: int) -> None:
        for action in self.holders[k].take_actions():
            match action:
                case ReadKeys(serial, prefix):
                    self.calls.append(SentCall(k, ReadPrefix(prefix), ("read", serial)))
                case WriteKeys(serial, token, operations, conditions):
                    request = Transaction(((self.role_key, token), *conditions), operations)
                    self.calls.append(SentCall(k, request, ("written", serial)))
                case WatchKeys(revision):
                    self.watched_from[k] = max(self.watched_from[k] or 0, revision)

    def _renew_lease(self, one: Any) -> None:
        """A moment has passed for a member's lease."""
        if not one.cut and one.lease.is_valid(one()):
            reply = self.model.call(KeepLeaseAlive(one.lease.id), self.now)
            if reply.ttl_s:
                one.lease.renew(one.lease.id, one())
        if one.lease.id and not one.lease.is_valid(one()):
            one.lease.clear()
        if not one.lease.id and not one.cut:
            self._grant(one)

    def _step_holders(self) -> None:
        self.model.expire(self.now)
        for k in range(2):
            self.holders[k].step(self.clock(k))
            self._collect(k)

    def _call_holder(self, who: int, method: str, *arguments: Any) -> None:
        """Call a method of a holder, and collect what it asks for."""
        getattr(self.holders[who], method)(self.clock(who), *arguments)
        self._collect(who)

    def _do_carry_out(self, i: int) -> None:
        holder, request, tag = self.calls.pop(i)
        self.replies.append(SentReply(holder, tag, self.model.call(request, self.now)))

    def _do_lose_the_reply(self, i: int) -> None:
        holder, request, tag = self.calls.pop(i)
        self.model.call(request, self.now)
        self.replies.append(SentReply(holder, tag, Reply(Proof.UNKNOWN)))

    def _do_hold_back(self, i: int) -> None:
        holder, request, tag = self.calls.pop(i)
        self.delayed_requests.append(request)
        self.replies.append(SentReply(holder, tag, Reply(Proof.UNKNOWN)))

    def _do_refuse(self, i: int) -> None:
        holder, _, tag = self.calls.pop(i)
        self.replies.append(SentReply(holder, tag, Reply(Proof.NOT_DONE)))

    def _do_late(self, i: int) -> None:
        self.model.call(self.delayed_requests.pop(i), self.now)

    def _do_tell(self, k: int) -> None:
        """Notify a holder of the changes of one revision."""
        news = self.changes_since(self.watched_from[k], self.watched_prefix)
        first_revision = news[0][0]
        self.watched_from[k] = first_revision + 1
        for revision, key, value in news:
            if revision == first_revision:
                self._call_holder(k, "changed", key, value, revision)

    def _do_miss(self, k: int) -> None:
        self._call_holder(k, "watch_gap")

    def _do_elect(self, _: int) -> None:
        """The other one leads the role now; the one that led before does not know yet."""
        self.model.revision += 1
        self.model.put(self.role_key, "", 0)
        self.leader = 1 - self.leader
        self.holders[self.leader].won(self.model.revision, self.clock(self.leader))
        self._collect(self.leader)

    def _do_lost(self, k: int) -> None:
        self.holders[k].lost()

    def _do_cut(self, i: int) -> None:
        self.members[i].cut = True

    def _do_heal(self, i: int) -> None:
        self.members[i].cut = False

    HANDLERS: ClassVar[Mapping[ActionKind, Callable[..., None]]] = {
        ActionKind.CARRY_OUT: _do_carry_out,
        ActionKind.LOSE_THE_REPLY: _do_lose_the_reply,
        ActionKind.HOLD_BACK: _do_hold_back,
        ActionKind.REFUSE: _do_refuse,
        ActionKind.LATE: _do_late,
        ActionKind.TELL: _do_tell,
        ActionKind.MISS: _do_miss,
        ActionKind.ELECT: _do_elect,
        ActionKind.LOST: _do_lost,
        ActionKind.CUT: _do_cut,
        ActionKind.HEAL: _do_heal,
    }


class Explored(NamedTuple):
    """How far a search came: states met, and the depth up to which all actions were tried."""

    states: int
    depth: int


def explore(world: Any, depth: int, most: int, seed: int = 0) -> Explored:
    """Try every action that can be next, breadth first; raises InvariantError with its story.

    most: states after which it stops. Which actions come first at one depth is drawn from the seed.
    """
    draw = random.Random(seed)
    layer: list[tuple[Any, tuple[Action, ...]]] = [(world, ())]  # worlds with their stories
    met: set[int] = set()
    for level in range(depth):
        following = []
        for one, story in layer:
            actions = one.actions()
            draw.shuffle(actions)
            for action in actions:
                other = _after(one, action, story)
                mark = hash(other.mark())
                if mark not in met:
                    met.add(mark)
                    following.append((other, (*story, action)))
                if len(met) >= most:
                    return Explored(len(met), level)
        layer = following
    return Explored(len(met), depth)


def _after(world: Any, action: Action, story: tuple[Action, ...]) -> Any:
    """A copy of a world, after an action."""
    other = copy.deepcopy(world)
    try:
        other.act(*action)
    except InvariantError as violation:
        raise InvariantError(f"{violation}; after {[*story, action]}") from None
    return other


def random_actions(world: Any, draw: Draw, faults: Sequence[str]) -> Iterator[Action]:
    """Random actions, for ever; faults: kinds that come seldom."""
    while True:
        actions = world.actions()
        chosen = [action for action in actions if action[0] not in faults or draw() < FAULT_CHANCE]
        yield actions[0] if draw() < TIME_CHANCE else _pick(chosen, draw)


def occasional_action(
    world: Any, draw: Draw, kinds: Iterable[tuple[str, float]], odd: Sequence[str], likely: float
) -> Iterator[Action]:
    """At most one action: of the first of these (kind, chance) that comes up, else, seldom, an odd one."""
    actions = world.actions()
    for kind, chance in kinds:
        found = [action for action in actions if action[0] == kind]
        if found and draw() < chance:
            yield _pick(found, draw)
            return
    found = [action for action in actions if action[0] in odd]
    if found and draw() < likely:
        yield _pick(found, draw)


def _pick(actions: list[Action], draw: Draw) -> Action:
    return actions[int(draw() * len(actions))]


def follow(world: Any, actions: Iterator[Action], steps: int, seed: int, marks: bool) -> set[int]:
    """Take so many actions, then calm down and be settled; raises InvariantError with its story.

    marks: whether to return those of the states that were met.
    """
    story: list[Action] = []
    met: set[int] = set()
    try:
        for _ in range(steps):
            action = next(actions)
            story.append(action)
            world.act(*action)
            if marks:
                met.add(hash(world.mark()))
        world.calm()
        world.settled()
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


def find(walk: Callable[[int], Any], walks: int, first: int = 0) -> Finding | None:
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
