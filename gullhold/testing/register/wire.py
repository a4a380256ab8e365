"""The JSON of etcd's published v3 interface: keys and values are base64, integers are strings."""

from base64 import b64decode, b64encode
from collections.abc import Callable
from operator import eq, gt, lt, ne
from typing import Any

from gullhold.testing.register.store_types import (
    DeleteKeys,
    PutKey,
    ReadKeys,
    StoredChange,
    StoredKey,
    StoreOperation,
)

Json = dict[str, Any]

# Targets of a comparison: the name of the compared value in the request, and the field of StoredKey.
COMPARED_FIELDS = {
    "MOD": ("mod_revision", "mod_revision"),
    "CREATE": ("create_revision", "create_revision"),
    "VERSION": ("version", "version"),
    "LEASE": ("lease", "lease"),
}
COMPARISONS: dict[str, Callable[[int, int], bool]] = {
    "EQUAL": eq,
    "NOT_EQUAL": ne,
    "GREATER": gt,
    "LESS": lt,
}


def encode(data: bytes) -> str:
    """Encode a key or a value."""
    return b64encode(data).decode()


def decode(text: str | None) -> bytes:
    """Decode a key or a value; None gives empty bytes."""
    return b64decode(text or "")


def decode_range(request: Json) -> tuple[bytes, bytes]:
    """Return (start, end) of a request's range; the end is empty for a single key."""
    return decode(request["key"]), decode(request.get("range_end"))


def decode_operation(request: Json) -> StoreOperation:
    """Decode an operation of a transaction."""
    if "request_put" in request:
        put = request["request_put"]
        return PutKey(decode(put["key"]), decode(put.get("value")), int(put.get("lease", 0)))
    if "request_range" in request:
        return ReadKeys(*decode_range(request["request_range"]))
    return DeleteKeys(*decode_range(request["request_delete_range"]))


def is_comparison_met(comparison: Json, keys: dict[bytes, StoredKey]) -> bool:
    """Return whether a comparison of a transaction is true of these keys."""
    value_name, field = COMPARED_FIELDS[comparison["target"]]
    item = keys.get(decode(comparison["key"]))
    actual = getattr(item, field) if item else 0
    compare = COMPARISONS[comparison.get("result", "EQUAL")]
    return compare(actual, int(comparison.get(value_name, 0)))


def encode_key(key: bytes, item: StoredKey) -> Json:
    """Encode a key with its value and metadata."""
    fields = {
        "key": encode(key),
        "value": encode(item.value),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": str(item.version),
    }
    if item.lease:
        fields["lease"] = str(item.lease)
    return fields


def encode_change(change: StoredChange) -> Json:
    """Encode a change as a watch event."""
    if change.value is None:
        return {"type": "DELETE", "kv": {"key": encode(change.key), "mod_revision": str(change.revision)}}
    return {
        "kv": {
            "key": encode(change.key),
            "value": encode(change.value),
            "mod_revision": str(change.revision),
            "create_revision": str(change.create_revision),
            "version": str(change.version),
            "lease": str(change.lease),
        }
    }
