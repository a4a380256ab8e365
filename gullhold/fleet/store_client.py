"""Client of the store: etcd's v3 key-value API as JSON over HTTP, by a client library.

Each reply states a Proof (see store_calls): whether the request was carried out. If no connection was
established, or the store answered that something the request needs does not exist, nothing was done; after
any other error a write may have been carried out already, or may be carried out later.
"""

import json
from base64 import b64decode, b64encode
from typing import Any

import requests
from etcd3gw.client import Etcd3Client
from etcd3gw.exceptions import Etcd3Exception
from urllib3.exceptions import MaxRetryError, NewConnectionError

from gullhold.fleet.store_calls import (
    Delete,
    Get,
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    OnChange,
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
from gullhold.net import split_host_port

API_PATH = "/v3/"  # given, so that the library does not ask the store for its version first
NOT_FOUND_CODE = 5  # gRPC status code for something that does not exist, as in etcd's JSON errors

Json = dict[str, Any]


class StoreClient:
    """One session with the store, for one thread."""

    def __init__(self, address: str, prefix: str, timeout_s: float) -> None:
        """address: HOST:PORT. prefix: added to all keys of requests, and removed from keys in replies."""
        host, port = split_host_port(address)
        self.prefix = prefix
        self.timeout_s = timeout_s
        self._client = Etcd3Client(host=host, port=port, timeout=timeout_s, api_path=API_PATH)
        self._client.session.trust_env = False  # ignore proxies that environment variables set

    def call(self, request: Request) -> Reply:
        """Send one request and wait for its reply. Raises nothing, whatever the store or the network does."""
        is_read = isinstance(request, ReadPrefix | ReadLeaseKeys)
        try:
            return self._carry_out(request)
        except Etcd3Exception as error:
            is_not_found = _is_not_found(error)
            if isinstance(request, RevokeLease) and is_not_found:
                return Reply(Proof.DONE)  # the lease has ended already
            if is_read or is_not_found or _is_connect_failure(error):
                return Reply(Proof.NOT_DONE)
            return Reply(Proof.UNKNOWN)
        except (OSError, ValueError, KeyError, TypeError, requests.RequestException):
            return Reply(Proof.NOT_DONE if is_read else Proof.UNKNOWN)  # an unreadable answer

    def watch(self, prefix: str, revision: int, max_silence_s: float, on_change: OnChange) -> bool:
        """Watch the keys with this prefix, from a revision on, until the stream ends.

        on_change(key, value or None if it was deleted, revision) is called for each change. Returns False if
        the store has discarded its history back to the revision, so that changes are missed. Raises errors of
        the requests library, also after max_silence_s without data.
        """
        create_request = self._key_range(prefix) | {"start_revision": revision}
        response = self._client.session.post(
            self._client.get_url("watch"),
            json={"create_request": create_request},
            stream=True,
            timeout=(self.timeout_s, max_silence_s),
        )
        with response:
            response.raise_for_status()
            # None passes data on as it arrives; the annotations of the requests library allow only integers.
            for line in response.iter_lines(chunk_size=None):  # type: ignore[call-overload]
                if not line.strip():
                    continue
                result = json.loads(line)["result"]
                if int(result.get("compact_revision", 0)):
                    return False
                if result.get("canceled"):
                    return True
                for event in result.get("events", ()):
                    self._report_change(event, on_change)
        return True

    def _report_change(self, event: Json, on_change: OnChange) -> None:
        item = event["kv"]
        key = _decode(item["key"]).removeprefix(self.prefix)
        value = None if event.get("type") == "DELETE" else _decode(item.get("value", ""))
        on_change(key, value, int(item["mod_revision"]))

    def close(self) -> None:
        """Close the session's connections; a watch on another thread ends with an error."""
        self._client.session.close()

    def _carry_out(self, request: Request) -> Reply:
        match request:
            case GrantLease(ttl_s):
                answer = self._post("lease/grant", {"TTL": ttl_s})
                return Reply(Proof.DONE, _revision(answer), lease=int(answer["ID"]), ttl_s=int(answer["TTL"]))
            case KeepLeaseAlive(lease):
                answer = self._post("lease/keepalive", {"ID": lease})["result"]
                return Reply(Proof.DONE, _revision(answer), ttl_s=int(answer.get("TTL", 0)))
            case RevokeLease(lease):
                return Reply(Proof.DONE, _revision(self._post("lease/revoke", {"ID": lease})))
            case ReadLeaseKeys(lease):
                answer = self._post("lease/timetolive", {"ID": lease, "keys": True})
                keys = [_decode(key).removeprefix(self.prefix) for key in answer.get("keys", ())]
                return Reply(Proof.DONE, _revision(answer), keys=tuple(keys))
            case ReadPrefix(prefix):
                answer = self._post("kv/range", self._key_range(prefix))
                return Reply(Proof.DONE, _revision(answer), items=tuple(self._items(answer)))
            case Transaction():
                return self._carry_out_transaction(request)

    def _carry_out_transaction(self, request: Transaction) -> Reply:
        answer = self._post(
            "kv/txn",
            {
                "compare": [self._comparison(key, revision) for key, revision in request.conditions],
                "success": [self._operation(operation) for operation in request.operations],
                "failure": [self._operation(operation) for operation in request.otherwise],
            },
        )
        items = []
        for response in answer.get("responses", ()):
            items += self._items(response.get("response_range", {}))
        succeeded = bool(answer.get("succeeded"))
        return Reply(Proof.DONE, _revision(answer), succeeded=succeeded, items=tuple(items))

    def _post(self, path: str, payload: Json) -> Json:
        return self._client.post(self._client.get_url(path), json=payload)

    def _comparison(self, key: str, revision: int) -> Json:
        return {
            "key": _encode(self.prefix + key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": revision,
        }

    def _operation(self, operation: Operation) -> Json:
        key = _encode(self.prefix + operation.key)
        match operation:
            case Put(_, value, lease):
                put: Json = {"key": key, "value": _encode(value)}
                if lease:
                    put["lease"] = lease
                return {"request_put": put}
            case Get():
                return {"request_range": {"key": key}}
            case Delete():
                return {"request_delete_range": {"key": key}}

    def _key_range(self, prefix: str) -> Json:
        """The range of all keys with this prefix; its end is the first key that sorts after them."""
        first = self.prefix + prefix
        end = first[:-1] + chr(ord(first[-1]) + 1)
        return {"key": _encode(first), "range_end": _encode(end)}

    def _items(self, answer: Json) -> list[KeyValue]:
        return [
            KeyValue(
                _decode(item["key"]).removeprefix(self.prefix),
                _decode(item.get("value", "")),
                int(item["mod_revision"]),
                int(item.get("lease", 0)),
            )
            for item in answer.get("kvs", ())
        ]


def _encode(text: str) -> str:
    return b64encode(text.encode()).decode()


def _decode(encoded: str) -> str:
    return b64decode(encoded).decode("utf-8", "replace")


def _revision(answer: Json) -> int:
    return int(answer["header"]["revision"])


def _is_connect_failure(error: Etcd3Exception) -> bool:
    """Whether the request was never sent, as no connection was established."""
    cause = error.__context__
    if isinstance(cause, requests.ConnectTimeout):
        return True
    if not isinstance(cause, requests.ConnectionError) or not cause.args:
        return False
    inner = cause.args[0]
    return isinstance(inner, MaxRetryError) and isinstance(inner.reason, NewConnectionError)


def _is_not_found(error: Etcd3Exception) -> bool:
    """Whether the store answered that something does not exist, so that nothing was done."""
    try:
        return json.loads(error.detail_text or "").get("code") == NOT_FOUND_CODE
    except (ValueError, AttributeError):
        return False
