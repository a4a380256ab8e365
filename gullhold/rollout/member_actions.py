"""What a member wants done for the rollout, in order; its driver carries it out."""

from dataclasses import dataclass

from gullhold.fleet.role_state import LogEvent
from gullhold.fleet.store_calls import Transaction
from gullhold.rollout.policy_version import PolicyVersion


@dataclass(frozen=True, slots=True)
class CallStore:
    """Action: carry the request out; answered by replied()."""

    serial: int
    request: Transaction


@dataclass(frozen=True, slots=True)
class AdoptVersion:
    """Action: the core is to decide by this version; answered by adopted() when it does."""

    serial: int
    version: PolicyVersion


@dataclass(frozen=True, slots=True)
class StopDispatching:
    """Action: the core is to stop dispatching for this change; answered by stopped() when it has."""

    change: int


@dataclass(frozen=True, slots=True)
class WatchPolicy:
    """Action: follow the watched keys from this revision on; each change comes to changed()."""

    revision: int


MemberAction = CallStore | AdoptVersion | StopDispatching | WatchPolicy | LogEvent
