"""The one change of policy that may be open in a fleet, its states, and how one is proposed.

The states form a two-phase commit through the store: every state is a value of one key, so that the next
leader of the role goes on where the last one failed, and a single write decides.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from gullhold.rollout.policy_version import PolicyVersion

DEFAULT_PATIENCE_US = 10_000_000


class ChangeState(StrEnum):
    """State of a change, with the values that the store holds."""

    PROPOSED = "proposed"  # by staff; not checked yet
    CHECKED = "checked"  # its digest and its parent are valid; each member checks it and votes
    CANARY = "canary"  # some members use it for a stated time, and all report figures on their commands
    PREPARED = "prepared"  # strict changes only: members stop dispatching
    DECIDED = "decided"  # in force
    DROPPED = "dropped"  # will never be in force


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
    ChangeState.DECIDED: (),  # the key is deleted once every member has adopted the version in force
    ChangeState.DROPPED: (),
}
FINAL_STATES = frozenset((ChangeState.DECIDED, ChangeState.DROPPED))


class Overlap(StrEnum):
    """Whether attempts under the old and the new version may run at the same time."""

    LOOSE = "loose"
    STRICT = "strict"


class OnSilence(StrEnum):
    """What happens if members do not vote in time: the change waits for them, or is dropped."""

    WAIT = "wait"
    DROP = "drop"


class Canary(NamedTuple):
    """A trial of a change on some of the members.

    member_share: the share of the members; duration_us: of the trial. The change is dropped if more than
    max_failed_share of their commands fail, or if their answers take more than max_slowdown times as long as
    those of the other members.
    """

    member_share: float
    duration_us: int
    max_failed_share: float = 0.05
    max_slowdown: float = 1.5


@dataclass(frozen=True, slots=True)
class PolicyChange:
    """The open change.

    patience_us: how long to wait for votes if on_silence is DROP; reason: why it was dropped; drop_requested:
    by staff; canary_members: names and leases of the members that try it.

    An unknown state, overlap or on_silence of another version is kept as text, so that it is written back
    unchanged and equals none of the known values.
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
