"""The change of policy that may be open in a fleet: its states, its options and its trial on a canary.

At most one change is open. Its states form a two-phase commit through the store: each state is a value of one
key, so that the next leader of the role continues where the last one failed, and a single write decides.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from gullhold.rollout.policy_version import PolicyVersion

DEFAULT_PATIENCE_US = 10_000_000


class ChangeState(StrEnum):
    """State of a change; the values are stored."""

    PROPOSED = "proposed"  # proposed by an operator; not checked yet
    CHECKED = "checked"  # the coordinator found its digest and parent valid; members check it and vote
    CANARY = "canary"  # some members use it for a limited time, and all report figures on their commands
    PREPARED = "prepared"  # only if the overlap is STRICT: members stop dispatching
    DECIDED = "decided"  # in force; final
    DROPPED = "dropped"  # never comes into force; final


NEXT_STATES: Mapping[ChangeState, tuple[ChangeState, ...]] = {
    ChangeState.PROPOSED: (ChangeState.CHECKED, ChangeState.DROPPED),
    ChangeState.CHECKED: (
        ChangeState.CANARY,
        ChangeState.PREPARED,
        ChangeState.DECIDED,
        ChangeState.DROPPED,
    ),
    ChangeState.CANARY: (ChangeState.DECIDED, ChangeState.DROPPED),
    ChangeState.PREPARED: (ChangeState.DECIDED, ChangeState.DROPPED),
    ChangeState.DECIDED: (),  # once every member uses the version in force, the change's key is deleted
    ChangeState.DROPPED: (),
}
FINAL_STATES = frozenset((ChangeState.DECIDED, ChangeState.DROPPED))


class Overlap(StrEnum):
    """Whether attempts under the old and the new version may run at the same time: LOOSE if they may."""

    LOOSE = "loose"
    STRICT = "strict"


class OnSilence(StrEnum):
    """What happens if members have not voted in time: the change waits for them, or is dropped."""

    WAIT = "wait"
    DROP = "drop"


class Canary(NamedTuple):
    """A trial of a change on some of the members, before it is decided.

    member_share: share of the members that try it; duration_us: duration of the trial. The change is dropped
    if more than max_failed_share of the canary members' commands fail, or if their mean answer time is more
    than max_slowdown times that of the other members.
    """

    member_share: float
    duration_us: int
    max_failed_share: float = 0.05
    max_slowdown: float = 1.5


@dataclass(frozen=True, slots=True)
class PolicyChange:
    """A change of policy to another version.

    patience_us: how long members may take to vote before on_silence applies, in each state; reason: why the
    change was dropped; drop_requested: an operator asked to drop it; canary_members: the members that try it,
    as NAME/LEASE.

    A state, overlap or on_silence that only another version of the program knows is kept as text, so that it
    is written back unchanged and equals none of the known values.
    """

    version: PolicyVersion
    state: ChangeState = ChangeState.PROPOSED
    overlap: Overlap = Overlap.LOOSE
    on_silence: OnSilence = OnSilence.DROP
    patience_us: int = DEFAULT_PATIENCE_US
    reason: str = ""
    drop_requested: bool = False
    canary: Canary | None = None
    canary_members: tuple[str, ...] = ()
