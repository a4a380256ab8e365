"""Actions that a rollout member hands to its driver, which carries them out in order."""

from dataclasses import dataclass

from gullhold.fleet.role_state import LogEvent
from gullhold.fleet.store_calls import Transaction
from gullhold.rollout.policy_version import PolicyVersion


@dataclass(frozen=True, slots=True)
class CallStore:
    """Action: send the request to the store; the reply goes to replied()."""

    serial: int
    request: Transaction


@dataclass(frozen=True, slots=True)
class AdoptVersion:
    """Action: have the core use this version, then call adopted()."""

    serial: int
    version: PolicyVersion


@dataclass(frozen=True, slots=True)
class StopDispatching:
    """Action: have the core stop dispatching for the change of this number, then call stopped()."""

    change: int


@dataclass(frozen=True, slots=True)
class WatchPolicy:
    """Action: watch the keys below WATCHED_PREFIX from this revision on; each change goes to changed()."""

    revision: int


MemberAction = CallStore | AdoptVersion | StopDispatching | WatchPolicy | LogEvent
