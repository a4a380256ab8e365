"""The coordinator's side of one strict change, by its decisions alone: calls to the store, and time."""

import time

from gullhold.fleet.role_state import ReadKeys, WriteKeys
from gullhold.fleet.store_calls import KeyValue, Proof, Put, Reply
from gullhold.rollout.policy_change import Overlap, PolicyChange
from gullhold.rollout.policy_version import PolicyVersion
from gullhold.rollout.rollout_coordinator import RolloutCoordinator
from gullhold.rollout.store_schema import CHANGE_KEY, CURRENT_KEY, VOTES, encode_change, encode_vote
from gullhold.rollout.vote import Vote, VoteKind


class StoreOfOne:
    """A store that only a coordinator uses: its keys, and the calls that the coordinator makes."""

    def __init__(self):
        self.keys, self.revision, self.calls = {}, 10, 0

    def put(self, key, value):
        """Write a key; the revision."""
        self.revision += 1
        self.keys[key] = value
        return self.revision

    def serve(self, coordinator):
        """Carry out what the coordinator wants, until it wants nothing."""
        while actions := coordinator.take_actions():
            for action in actions:
                if isinstance(action, ReadKeys):
                    self.calls += 1
                    items = tuple(KeyValue(key, value, self.revision) for key, value in self.keys.items())
                    coordinator.read(0, action.serial, Reply(Proof.DONE, self.revision, items=items))
                elif isinstance(action, WriteKeys):
                    self.calls += 1
                    self.revision += 1
                    self.apply(action.operations)
                    coordinator.written(0, action.serial, Reply(Proof.DONE, self.revision))

    def apply(self, operations):
        """Carry out the operations of one write."""
        for operation in operations:
            if isinstance(operation, Put):
                self.keys[operation.key] = operation.value
            else:
                self.keys.pop(operation.key)


def calls_alone(members):
    """By the decisions alone: (calls of the coordinator for one strict change, s that it takes to decide)."""
    coordinator, store = RolloutCoordinator(), StoreOfOne()
    version = PolicyVersion(1, 0, "", "", 0, "policy: {}").sealed()
    store.keys[CHANGE_KEY] = encode_change(PolicyChange(version, overlap=Overlap.STRICT))
    vote_keys = [f"{VOTES}m{i}/1" for i in range(members)]
    for key in vote_keys:
        store.keys[key] = encode_vote(Vote(0))
    coordinator.won(1, 0)
    began = time.perf_counter()
    store.serve(coordinator)
    for vote in (Vote(0, 1, VoteKind.READY), Vote(0, 1, VoteKind.STILL), Vote(1)):
        for key in vote_keys:
            value = encode_vote(vote)
            coordinator.changed(0, key, value, store.put(key, value))
        store.serve(coordinator)
    if CHANGE_KEY in store.keys or CURRENT_KEY not in store.keys:
        raise SystemExit(f"among {members} the change did not come through")
    return store.calls, round(time.perf_counter() - began, 2)
