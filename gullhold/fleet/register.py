"""The register on the wire: the v3 key-value interface's JSON gateway, by a client library.

What a reply proves is told exactly: a connection that never came up proves that nothing was done, an error
that names its reason too; for all else a write may have been carried out, now or later.
"""

import json
from base64 import b64decode, b64encode

import requests
from etcd3gw.client import Etcd3Client
from etcd3gw.exceptions import Etcd3Exception
from urllib3.exceptions import MaxRetryError, NewConnectionError

from gullhold.fleet.store_calls import (
    Get,
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    Proof,
    Put,
    ReadLeaseKeys,
    ReadPrefix,
    Reply,
    RevokeLease,
)
from gullhold.net import host_port

API = "/v3/"  # stated, so that no call is spent on asking for the version
NOT_FOUND = 5  # the interface's code of what is not there


def _to(text):
    return b64encode(text.encode()).decode()


def _from(word):
    return b64decode(word).decode("utf-8", "replace")


def _beyond(text):
    """The end of the range of all keys with this prefix."""
    return text[:-1] + chr(ord(text[-1]) + 1)


class Register:
    """One session with the register, for one thread. address: HOST:PORT; prefix: of all our keys."""

    def __init__(self, address, prefix, timeout_s):
        host, port = host_port(address)
        self.prefix, self.timeout_s = prefix, timeout_s
        self.client = Etcd3Client(host=host, port=port, timeout=timeout_s, api_path=API)
        self.client.session.trust_env = False  # no proxy of the environment stands between

    def call(self, request):
        """Carry one request out; its Reply. Never raises for what the other side does."""
        reads = isinstance(request, ReadPrefix | ReadLeaseKeys)
        try:
            return self._call(request)
        except Etcd3Exception as fault:
            if reads or _never_sent(fault) or _said_no(fault):
                found = isinstance(request, RevokeLease) and _said_no(fault)
                return Reply(Proof.DONE if found else Proof.NOT_DONE)  # no such lease: it has ended already
            return Reply(Proof.UNKNOWN)
        except (OSError, ValueError, KeyError, TypeError, requests.RequestException):
            return Reply(Proof.NOT_DONE if reads else Proof.UNKNOWN)  # an answer that can't be read

    def _call(self, request):
        post = self._post
        if isinstance(request, GrantLease):
            told = post("lease/grant", {"TTL": request.ttl_s})
            return Reply(Proof.DONE, _revision(told), lease=int(told["ID"]), ttl_s=int(told["TTL"]))
        if isinstance(request, KeepLeaseAlive):
            told = post("lease/keepalive", {"ID": request.lease})["result"]
            return Reply(Proof.DONE, _revision(told), ttl_s=int(told.get("TTL", 0)))
        if isinstance(request, RevokeLease):
            return Reply(Proof.DONE, _revision(post("lease/revoke", {"ID": request.lease})))
        if isinstance(request, ReadLeaseKeys):
            told = post("lease/timetolive", {"ID": request.lease, "keys": True})
            keys = [_from(key) for key in told.get("keys", ())]
            return Reply(
                Proof.DONE, _revision(told), keys=tuple(key.removeprefix(self.prefix) for key in keys)
            )
        if isinstance(request, ReadPrefix):
            told = post("kv/range", self._range(request.prefix))
            return Reply(Proof.DONE, _revision(told), items=self._items(told))
        told = post(
            "kv/txn",
            {
                "compare": [
                    {
                        "key": _to(self.prefix + key),
                        "target": "MOD",
                        "result": "EQUAL",
                        "mod_revision": revision,
                    }
                    for key, revision in request.conditions
                ],
                "success": [self._act(act) for act in request.operations],
                "failure": [self._act(act) for act in request.otherwise],
            },
        )
        items = [
            item for part in told.get("responses", ()) for item in self._items(part.get("response_range", {}))
        ]
        return Reply(Proof.DONE, _revision(told), succeeded=bool(told.get("succeeded")), items=tuple(items))

    def watch(self, prefix, revision, seconds, tell):
        """Follow changes of keys with this prefix from a revision on, until the stream ends or says nothing
        for so long. tell(key, value or None, revision) for each. False: the history back to there is gone."""
        payload = self._range(prefix) | {"start_revision": revision}
        told = self.client.session.post(
            self.client.get_url("watch"),
            json={"create_request": payload},
            stream=True,
            timeout=(self.timeout_s, seconds),
        )
        with told:
            told.raise_for_status()
            for line in told.iter_lines(chunk_size=None):
                if not line.strip():
                    continue
                result = json.loads(line)["result"]
                if int(result.get("compact_revision", 0)):
                    return False
                if result.get("canceled"):
                    return True
                for event in result.get("events", ()):
                    item = event["kv"]
                    gone = event.get("type") == "DELETE"
                    tell(
                        _from(item["key"]).removeprefix(self.prefix),
                        None if gone else _from(item.get("value", "")),
                        int(item["mod_revision"]),
                    )
        return True

    def close(self):
        """End the session; a watch that another thread is in ends with an error."""
        self.client.session.close()

    def _post(self, path, payload):
        return self.client.post(self.client.get_url(path), json=payload)

    def _range(self, prefix):
        return {"key": _to(self.prefix + prefix), "range_end": _to(_beyond(self.prefix + prefix))}

    def _items(self, told):
        return tuple(
            KeyValue(
                _from(item["key"]).removeprefix(self.prefix),
                _from(item.get("value", "")),
                int(item["mod_revision"]),
                int(item.get("lease", 0)),
            )
            for item in told.get("kvs", ())
        )

    def _act(self, act):
        if isinstance(act, Put):
            put = {"key": _to(self.prefix + act.key), "value": _to(act.value)}
            return {"request_put": put | ({"lease": act.lease} if act.lease else {})}
        return {
            "request_range" if isinstance(act, Get) else "request_delete_range": {
                "key": _to(self.prefix + act.key)
            }
        }


def _revision(told):
    return int(told["header"]["revision"])


def _never_sent(fault):
    """Whether the connection never came up."""
    cause = fault.__context__
    inner = cause.args[0] if isinstance(cause, requests.ConnectionError) and cause.args else None
    return isinstance(cause, requests.ConnectTimeout) or (
        isinstance(inner, MaxRetryError) and isinstance(inner.reason, NewConnectionError)
    )


def _said_no(fault):
    """Whether the other side named something that is not there: then nothing was done."""
    try:
        return json.loads(fault.detail_text or "").get("code") == NOT_FOUND
    except (ValueError, AttributeError):
        return False
