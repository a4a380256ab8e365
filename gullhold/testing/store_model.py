"""A small model of a fleet's store, for explorers.

It shares no code with the store server (gullhold.testing.register).
"""

from gullhold.fleet.clocks import US_PER_SECOND
from gullhold.fleet.store_calls import (
    Delete,
    Get,
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    Operation,
    Proof,
    Put,
    ReadLeaseKeys,
    ReadPrefix,
    Reply,
    Request,
    RevokeLease,
    Transaction,
)
from gullhold.testing.role_pair_world import TERMS
from gullhold.testing.walking import InvariantError

Change = tuple[int, str, str | None]  # revision, key, value or None if it was deleted


class StoreModel:
    """Keys with revisions, leases, and the changes of the keys that have a given prefix."""

    def __init__(self, prefix: str, ttl_s: int = TERMS.ttl_s) -> None:
        """prefix: of the keys whose changes are recorded; ttl_s: time to live of a renewed lease."""
        self.prefix = prefix
        self.ttl_s = ttl_s
        self.revision = 1
        self.last_lease_id = 0
        self.keys: dict[str, KeyValue] = {}
        self.leases: dict[int, int] = {}  # expiry by lease id, us
        self.changes: list[Change] = []
        self.accepted_tokens: dict[str, int] = {}  # highest token of an executed effect, by role

    def put(self, key: str, value: str, lease: int) -> None:
        """Write a key in the current revision."""
        self.keys[key] = KeyValue(key, value, self.revision, lease)
        self._record(key, value)

    def delete(self, key: str) -> None:
        """Delete a key in the current revision; nothing happens if it does not exist."""
        if self.keys.pop(key, None):
            self._record(key, None)

    def _record(self, key: str, value: str | None) -> None:
        if key.startswith(self.prefix):
            self.changes.append((self.revision, key, value))

    def end_lease(self, lease: int) -> None:
        """Remove a lease, and delete its keys in one revision."""
        self.leases.pop(lease, None)
        attached = [key for key, item in self.keys.items() if item.lease == lease]
        if attached:
            self.revision += 1
        for key in attached:
            self.delete(key)

    def expire_leases(self, now: int) -> None:
        """Remove the leases that have expired."""
        for lease in [lease for lease, end in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def call(self, request: Request, now: int) -> Reply:
        """Execute a request, and return its reply."""
        match request:
            case GrantLease(ttl_s):
                self.last_lease_id += 1
                self.leases[self.last_lease_id] = now + ttl_s * US_PER_SECOND
                return Reply(Proof.DONE, self.revision, lease=self.last_lease_id, ttl_s=ttl_s)
            case KeepLeaseAlive(lease):
                if lease not in self.leases:
                    return Reply(Proof.DONE, self.revision)
                self.leases[lease] = now + self.ttl_s * US_PER_SECOND
                return Reply(Proof.DONE, self.revision, ttl_s=self.ttl_s)
            case RevokeLease(lease):
                self.end_lease(lease)
                return Reply(Proof.DONE, self.revision)
            case ReadLeaseKeys(lease):
                attached = tuple(key for key, item in self.keys.items() if item.lease == lease)
                return Reply(Proof.DONE, self.revision, keys=attached)
            case ReadPrefix(prefix):
                items = tuple(item for key, item in sorted(self.keys.items()) if key.startswith(prefix))
                return Reply(Proof.DONE, self.revision, items=items)
            case Transaction():
                return self._execute_transaction(request)

    def _execute_transaction(self, request: Transaction) -> Reply:
        succeeded = all(self._revision_of(key) == revision for key, revision in request.conditions)
        operations: tuple[Operation, ...] = request.operations if succeeded else request.otherwise
        written = [operation.key for operation in operations if isinstance(operation, Put | Delete)]
        if len(set(written)) < len(written):  # etcd rejects the whole transaction: "duplicate key"
            raise InvariantError(f"a key is written twice in one transaction: {sorted(written)}")
        puts = [operation for operation in operations if isinstance(operation, Put)]
        if any(put.lease and put.lease not in self.leases for put in puts):
            return Reply(Proof.NOT_DONE)
        gets = [operation for operation in operations if isinstance(operation, Get)]
        items = tuple(self.keys[get.key] for get in gets if get.key in self.keys)
        if len(gets) < len(operations):
            self.revision += 1
        for operation in operations:
            match operation:
                case Put(key, value, lease):
                    self.put(key, value, lease)
                case Delete(key):
                    self.delete(key)
        return Reply(Proof.DONE, self.revision, succeeded=succeeded, items=items)

    def _revision_of(self, key: str) -> int:
        return self.keys[key].revision if key in self.keys else 0
