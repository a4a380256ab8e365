"""The calls of etcd's published v3 interface on a store: JSON in, JSON out."""

from typing import NamedTuple

from gullhold.testing.register.faults import Faults
from gullhold.testing.register.journal import Journal
from gullhold.testing.register.store import Store
from gullhold.testing.register.store_types import ReadKeys, StoredKey
from gullhold.testing.register.wire import (
    Json,
    decode,
    decode_operation,
    decode_range,
    encode,
    encode_key,
    is_comparison_met,
)

NOT_FOUND_CODE = 5  # the interface's error code for a missing lease or path


class Answer(NamedTuple):
    """The answer to a call. is_write: whether the call may have changed the store."""

    body: Json
    is_write: bool


class Calls:
    """Carries out calls. Raises KeyError for a lease or a path that does not exist."""

    def __init__(self, store: Store, journal: Journal, faults: Faults) -> None:
        """The arguments are shared by all connections."""
        self.store = store
        self.journal = journal
        self.faults = faults
        self._by_path = {
            "lease/grant": self._grant_lease,
            "lease/keepalive": self._renew_lease,
            "lease/revoke": self._revoke_lease,
            "lease/timetolive": self._lease_status,
            "kv/range": self._read_range,
            "kv/txn": self._transact,
        }

    def carry_out(self, path: str, request: Json) -> Answer:
        """Carry out the call at this path. Raises KeyError for an unknown path or lease."""
        return self._by_path[path](request)

    def header(self, revision: int | None = None) -> Json:
        """Return the header of an answer; revision: by default the store's."""
        return {"revision": str(revision or self.store.revision)}

    def _grant_lease(self, request: Json) -> Answer:
        ttl_s = int(request["TTL"])
        lease_id = self.store.grant_lease(ttl_s)
        self.journal.write("lease granted", lease=lease_id, ttl_s=ttl_s)
        return Answer({"header": self.header(), "ID": str(lease_id), "TTL": str(request["TTL"])}, True)

    def _renew_lease(self, request: Json) -> Answer:
        lease_id = int(request["ID"])
        ttl_s = self.store.renew_lease(lease_id)
        self.journal.write("lease kept" if ttl_s else "lease not kept", lease=lease_id)
        result = {"header": self.header(), "ID": str(request["ID"])}
        if ttl_s:
            result["TTL"] = str(int(ttl_s))
        return Answer({"result": result}, True)

    def _revoke_lease(self, request: Json) -> Answer:
        lease_id = int(request["ID"])
        if not self.store.revoke_lease(lease_id):
            raise KeyError("requested lease not found")
        self.journal.write("lease revoked", lease=lease_id, revision=self.store.revision)
        return Answer({"header": self.header()}, True)

    def _lease_status(self, request: Json) -> Answer:
        status = self.store.lease_status(int(request["ID"]))
        answer = {"header": self.header(), "ID": str(request["ID"])}
        if status is None:
            return Answer(answer | {"TTL": "-1"}, False)
        keys = [encode(key) for key in status.keys]
        return Answer(answer | {"TTL": str(int(status.left_s)), "keys": keys}, False)

    def _read_range(self, request: Json) -> Answer:
        stale_by = self.faults.next_read_stale_by()
        with self.store.lock:
            found = self.store.read(*decode_range(request), stale_by)
            answer = {
                "header": self.header(max(1, self.store.revision - stale_by)),
                "count": str(len(found)),
                "kvs": [encode_key(key, item) for key, item in found],
            }
        return Answer(answer, False)

    def _transact(self, request: Json) -> Answer:
        comparisons = request.get("compare", ())
        operations = [decode_operation(operation) for operation in request.get("success", ())]
        failure_operations = [decode_operation(operation) for operation in request.get("failure", ())]

        def are_met(keys: dict[bytes, StoredKey]) -> bool:
            return all(is_comparison_met(comparison, keys) for comparison in comparisons)

        with self.store.lock:
            is_met, read = self.store.transact(are_met, operations, failure_operations)
            answer = {"header": self.header(), "responses": [_response(items) for items in read]}
            conditions = [
                (decode(comparison["key"]), int(comparison.get("mod_revision", 0)))
                for comparison in comparisons
            ]
            self.journal.write_transaction(is_met, self.store.revision, conditions, operations)
        if is_met:
            answer["succeeded"] = True
        has_writes = any(not isinstance(operation, ReadKeys) for operation in operations)
        return Answer(answer, has_writes)


def _response(items: list[tuple[bytes, StoredKey]] | None) -> Json:
    """Encode the result of one operation of a transaction; items: None if it was a write."""
    if items is None:
        return {"response_put": {}}
    return {"response_range": {"kvs": [encode_key(key, item) for key, item in items]}}
