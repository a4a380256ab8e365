"""What one strict change costs the coordinator in calls and time, without real processes or a store."""

import time
from collections.abc import Iterable
from typing import NamedTuple

from gullhold.fleet.role_state import ReadKeys, WriteKeys
from gullhold.fleet.store_calls import Delete, KeyValue, Operation, Proof, Put, Reply
from gullhold.rollout.policy_change import Overlap, PolicyChange
from gullhold.rollout.policy_version import PolicyVersion
from gullhold.rollout.rollout_coordinator import RolloutCoordinator
from gullhold.rollout.store_schema import CHANGE_KEY, CURRENT_KEY, VOTES_PREFIX, encode_change, encode_vote
from gullhold.rollout.vote import Vote, VoteKind

FIRST_REVISION = 10
# The votes that each member writes, in this order.
MEMBER_VOTES = (Vote(0, 1, VoteKind.READY), Vote(0, 1, VoteKind.STOPPED), Vote(1))


class CoordinatorCost(NamedTuple):
    """What one strict change costs its coordinator: calls to the store, and the time of all steps in s."""

    calls: int
    seconds: float


class CoordinatorStore:
    """A store in memory for a coordinator; calls: the number of calls that the coordinator made."""

    def __init__(self) -> None:
        self.keys: dict[str, str] = {}
        self.revision = FIRST_REVISION
        self.calls = 0

    def put(self, key: str, value: str) -> int:
        """Write a key and return the new revision."""
        self.revision += 1
        self.keys[key] = value
        return self.revision

    def serve(self, coordinator: RolloutCoordinator) -> None:
        """Carry out the coordinator's actions until it has no more."""
        while actions := coordinator.take_actions():
            for action in actions:
                match action:
                    case ReadKeys():
                        self._read(coordinator, action)
                    case WriteKeys():
                        self._write(coordinator, action)

    def _read(self, coordinator: RolloutCoordinator, action: ReadKeys) -> None:
        self.calls += 1
        items = tuple(KeyValue(key, value, self.revision) for key, value in self.keys.items())
        coordinator.read(0, action.serial, Reply(Proof.DONE, self.revision, items=items))

    def _write(self, coordinator: RolloutCoordinator, action: WriteKeys) -> None:
        self.calls += 1
        self.revision += 1
        self._apply(action.operations)
        coordinator.written(0, action.serial, Reply(Proof.DONE, self.revision))

    def _apply(self, operations: Iterable[Operation]) -> None:
        for operation in operations:
            match operation:
                case Put():
                    self.keys[operation.key] = operation.value
                case Delete():
                    self.keys.pop(operation.key)


def coordinator_cost(members: int) -> CoordinatorCost:
    """Carry out one strict change among so many members; ends the program if it does not come into force."""
    coordinator = RolloutCoordinator()
    store = CoordinatorStore()
    version = PolicyVersion(1, 0, "", "", 0, "policy: {}").sealed()
    store.keys[CHANGE_KEY] = encode_change(PolicyChange(version, overlap=Overlap.STRICT))
    vote_keys = [f"{VOTES_PREFIX}m{number}/1" for number in range(members)]
    for key in vote_keys:
        store.keys[key] = encode_vote(Vote(0))
    coordinator.won(1, 0)
    began = time.perf_counter()
    store.serve(coordinator)
    for vote in MEMBER_VOTES:
        value = encode_vote(vote)
        for key in vote_keys:
            coordinator.changed(0, key, value, store.put(key, value))
        store.serve(coordinator)
    if CHANGE_KEY in store.keys or CURRENT_KEY not in store.keys:
        raise SystemExit(f"the change among {members} members did not come into force")
    return CoordinatorCost(store.calls, round(time.perf_counter() - began, 2))
