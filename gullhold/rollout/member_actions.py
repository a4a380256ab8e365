"""Actions of a member of the rollout, which its driver carries out in order."""

from dataclasses import dataclass

from gullhold.fleet.role_state import LogEvent
from gullhold.fleet.store_calls import Transaction
from gullhold.rollout.policy_version import PolicyVersion


@dataclass(frozen=True, slots=True)
class CallStore:
    """Action: carry out the request; answered by replied()."""

    serial: int
    request: Transaction


@dataclass(frozen=True, slots=True)
class AdoptVersion:
    """Action: have the core use this version; answered by adopted() when it does."""

    serial: int
    version: PolicyVersion


@dataclass(frozen=True, slots=True)
class StopDispatching:
    """Action: have the core stop dispatching for this change; answered by stopped() when it has."""

    change: int


@dataclass(frozen=True, slots=True)
class WatchPolicy:
    """Action: watch the keys from this revision on; answered by changed() for each change."""

    revision: int


MemberAction = CallStore | AdoptVersion | StopDispatching | WatchPolicy | LogEvent
