"""Base of simulated worlds in which two processes are candidates for the leadership of one role.

Explorers carry out one action at a time in it. An action is a tuple of its kind and the other arguments of
act().
"""

from bisect import bisect_left
from collections.abc import Callable, Mapping, Sequence
from typing import Any, ClassVar, NamedTuple, Protocol

from gullhold.fleet.lease import LeaseTerms
from gullhold.fleet.role_state import CallSerial, ReadKeys, RoleState, WatchKeys, WriteKeys
from gullhold.fleet.store_calls import KeepLeaseAlive, Proof, ReadPrefix, Reply, Request, Transaction
from gullhold.testing.action_kind import CALL_FAULTS, ActionKind
from gullhold.testing.walking import Action

QUANTUM_US = 250_000  # duration of one step of time: a lease lasts four of them
TERMS = LeaseTerms(1, 0.15, 0)
RATES = (0.87, 1.1, 1.0)  # rates of clocks relative to the store's, within the drift of TERMS
START_US = 10_000_000

Change = tuple[int, str, str | None]  # revision, key, value or None if it was deleted
Tag = tuple[str, CallSerial]  # name of the role state's method that takes the reply, serial of the call


class StoreInterface(Protocol):
    """What a RolePairWorld needs of the model of the store."""

    revision: int
    changes: list[Change]

    def call(self, request: Request, now: int) -> Reply:
        """Execute a request, and return its reply."""
        ...

    def expire_leases(self, now: int) -> None:
        """Remove the leases that have expired."""
        ...

    def put(self, key: str, value: str, lease: int) -> None:
        """Write a key in the current revision."""
        ...


class SentCall(NamedTuple):
    """A call of a candidate that the store has not executed yet."""

    candidate: int
    request: Request
    tag: Tag


class SentReply(NamedTuple):
    """A reply that has not reached its candidate yet."""

    candidate: int
    tag: Tag
    reply: Reply


class RolePairWorld:
    """A world in which two candidates may lead one role, and members with clocks of their own hold leases.

    role_key: the role's key in the store; watched_prefix: prefix of the keys of whose changes a leader is
    notified; candidates: the role states of the two processes; watched_from: the revision from which each
    candidate is notified; leader: the index of the candidate that leads; calls, replies: under way;
    delayed_requests: given up by their callers, and may still be executed.

    A subclass adds the members, the methods _grant(member) and act(), and in its HANDLERS the methods for its
    own kinds of action. Calling a member returns the time on its clock; a member has the attributes lease and
    is_disconnected.
    """

    def __init__(
        self,
        store: StoreInterface,
        role_key: str,
        watched_prefix: str,
        candidates: Sequence[RoleState],
        faults: int,
    ) -> None:
        """faults: number of faults that may still happen."""
        self.store = store
        self.role_key = role_key
        self.watched_prefix = watched_prefix
        self.candidates = candidates
        self.faults = faults
        self.now = START_US
        self.watched_from: list[int | None] = [None, None]
        self.leader = 0
        self.members: list[Any] = []
        self.calls: list[SentCall] = []
        self.replies: list[SentReply] = []
        self.delayed_requests: list[Request] = []

    def clock(self, candidate: int) -> int:
        """Return the time on a candidate's clock, in us."""
        return int(self.now * RATES[candidate + 1])

    # Possible actions

    def call_actions(self) -> list[Action]:
        """Return the actions that are possible for the calls and replies under way."""
        found: list[Action] = []
        for number in range(len(self.calls)):
            found.append((ActionKind.EXECUTE_CALL, number))
            if self.faults:
                found += [(fault, number) for fault in CALL_FAULTS]
        found += [(ActionKind.DELIVER_REPLY, number) for number in range(len(self.replies))]
        found += [(ActionKind.EXECUTE_DELAYED_CALL, number) for number in range(len(self.delayed_requests))]
        return found

    def candidate_actions(self) -> list[Action]:
        """Return the actions that concern the two candidates."""
        found = self._notifications()
        if self.faults:
            found += [(ActionKind.ELECT, 0), (ActionKind.MISS_CHANGES, self.leader)]
        other = 1 - self.leader
        if self.candidates[other].token:
            found.append((ActionKind.LOSE_ROLE, other))
        return found

    def _notifications(self) -> list[Action]:
        return [
            (ActionKind.NOTIFY_LEADER, candidate)
            for candidate in range(2)
            if self.changes_since(self.watched_from[candidate], self.watched_prefix)
        ]

    def next_orderly_action(self) -> Action | None:
        """Return the next action in the order of a world without faults; None: nothing is under way."""
        if self.calls:
            return ActionKind.EXECUTE_CALL, 0
        if self.replies:
            return ActionKind.DELIVER_REPLY, 0
        return next(iter(self._notifications()), None)

    def changes_since(self, revision: int | None, prefix: str) -> list[Change]:
        """Return the changes, from this revision on, of keys with this prefix; none for revision None."""
        if revision is None:
            return []
        changes = self.store.changes
        first = bisect_left(changes, revision, key=lambda change: change[0])
        return [change for change in changes[first:] if change[1].startswith(prefix)]

    def finish_calls(self, max_actions: int) -> None:
        """Carry out in order what is under way; max_actions: limit for a world that never becomes idle."""
        for _ in range(max_actions):
            action = self.next_orderly_action()
            if not action:
                break
            self.act(*action)

    # Carrying out actions

    def _collect(self, candidate: int) -> None:
        """Take over a candidate's actions: its calls are under way from now on."""
        for action in self.candidates[candidate].take_actions():
            match action:
                case ReadKeys(serial, prefix):
                    self.calls.append(SentCall(candidate, ReadPrefix(prefix), ("read", serial)))
                case WriteKeys(serial, token, operations, conditions):
                    request = Transaction(((self.role_key, token), *conditions), operations)
                    self.calls.append(SentCall(candidate, request, ("written", serial)))
                case WatchKeys(revision):
                    self.watched_from[candidate] = max(self.watched_from[candidate] or 0, revision)

    def _renew_lease(self, member: Any) -> None:
        """Renew, clear or acquire a member's lease, as a member does in each step of time."""
        if not member.is_disconnected and member.lease.is_valid(member()):
            reply = self.store.call(KeepLeaseAlive(member.lease.id), self.now)
            if reply.ttl_s:
                member.lease.renew(member.lease.id, member())
        if member.lease.id and not member.lease.is_valid(member()):
            member.lease.clear()
        if not member.lease.id and not member.is_disconnected:
            self._grant(member)

    def _step_candidates(self) -> None:
        self.store.expire_leases(self.now)
        for candidate in range(2):
            self.candidates[candidate].step(self.clock(candidate))
            self._collect(candidate)

    def _call_candidate(self, candidate: int, method: str, *arguments: Any) -> None:
        """Call a method of a candidate with its time, and take over its actions."""
        getattr(self.candidates[candidate], method)(self.clock(candidate), *arguments)
        self._collect(candidate)

    def _do_execute_call(self, index: int) -> None:
        candidate, request, tag = self.calls.pop(index)
        self.replies.append(SentReply(candidate, tag, self.store.call(request, self.now)))

    def _do_lose_reply(self, index: int) -> None:
        candidate, request, tag = self.calls.pop(index)
        self.store.call(request, self.now)
        self.replies.append(SentReply(candidate, tag, Reply(Proof.UNKNOWN)))

    def _do_delay_call(self, index: int) -> None:
        candidate, request, tag = self.calls.pop(index)
        self.delayed_requests.append(request)
        self.replies.append(SentReply(candidate, tag, Reply(Proof.UNKNOWN)))

    def _do_reject_call(self, index: int) -> None:
        candidate, _, tag = self.calls.pop(index)
        self.replies.append(SentReply(candidate, tag, Reply(Proof.NOT_DONE)))

    def _do_execute_delayed_call(self, index: int) -> None:
        self.store.call(self.delayed_requests.pop(index), self.now)

    def _do_notify_leader(self, candidate: int) -> None:
        """Notify a candidate of the changes of one revision."""
        changes = self.changes_since(self.watched_from[candidate], self.watched_prefix)
        first_revision = changes[0][0]
        self.watched_from[candidate] = first_revision + 1
        for revision, key, value in changes:
            if revision == first_revision:
                self._call_candidate(candidate, "changed", key, value, revision)

    def _do_miss_changes(self, candidate: int) -> None:
        self._call_candidate(candidate, "watch_gap")

    def _do_elect(self, _: int) -> None:
        """Make the other candidate the leader; the former leader does not know yet."""
        self.store.revision += 1
        self.store.put(self.role_key, "", 0)
        self.leader = 1 - self.leader
        self.candidates[self.leader].won(self.store.revision, self.clock(self.leader))
        self._collect(self.leader)

    def _do_lose_role(self, candidate: int) -> None:
        self.candidates[candidate].lost()

    def _do_disconnect(self, index: int) -> None:
        self.members[index].is_disconnected = True

    def _do_reconnect(self, index: int) -> None:
        self.members[index].is_disconnected = False

    HANDLERS: ClassVar[Mapping[ActionKind, Callable[..., None]]] = {
        ActionKind.EXECUTE_CALL: _do_execute_call,
        ActionKind.LOSE_REPLY: _do_lose_reply,
        ActionKind.DELAY_CALL: _do_delay_call,
        ActionKind.REJECT_CALL: _do_reject_call,
        ActionKind.EXECUTE_DELAYED_CALL: _do_execute_delayed_call,
        ActionKind.NOTIFY_LEADER: _do_notify_leader,
        ActionKind.MISS_CHANGES: _do_miss_changes,
        ActionKind.ELECT: _do_elect,
        ActionKind.LOSE_ROLE: _do_lose_role,
        ActionKind.DISCONNECT: _do_disconnect,
        ActionKind.RECONNECT: _do_reconnect,
    }
