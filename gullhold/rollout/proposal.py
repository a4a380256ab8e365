"""Builds the transaction that proposes a change. Performs no I/O."""

from collections.abc import Mapping

from gullhold.fleet.store_calls import KeyValue, Put, Transaction
from gullhold.rollout.policy_change import Overlap, PolicyChange
from gullhold.rollout.policy_version import INITIAL_VERSION, PolicyError, PolicyVersion
from gullhold.rollout.store_schema import (
    CHANGE_KEY,
    CURRENT_KEY,
    decode_change,
    decode_version,
    encode_change,
    history_key,
)


def current_version(keys: Mapping[str, KeyValue]) -> PolicyVersion:
    """The version in force, from the rollout's keys in the store. Raises PolicyError if it is unreadable."""
    if CURRENT_KEY not in keys:
        return INITIAL_VERSION
    return decode_version(keys[CURRENT_KEY].value)


def proposal_transaction(change: PolicyChange, keys: Mapping[str, KeyValue]) -> Transaction:
    """Return the transaction that opens a change. keys: the rollout's keys, as read from the store.

    Raises PolicyError if the change can't be opened: another one is open, the version in force is not its
    parent, or it is strict and has a canary.
    """
    if CHANGE_KEY in keys:
        raise PolicyError(f"change {decode_change(keys[CHANGE_KEY].value).version.number} is open")
    current = current_version(keys)
    if change.version.parent != current.number:
        raise PolicyError(
            f"version {current.number} is in force, not {change.version.parent}, on which this one is based"
        )
    if change.canary and change.overlap == Overlap.STRICT:
        raise PolicyError("a canary lets old and new run side by side: it can't be strict")
    current_revision = keys[CURRENT_KEY].revision if CURRENT_KEY in keys else 0
    conditions = (
        (CHANGE_KEY, 0),
        (CURRENT_KEY, current_revision),
        (history_key(change.version.number), 0),
    )
    return Transaction(conditions, (Put(CHANGE_KEY, encode_change(change)),))
