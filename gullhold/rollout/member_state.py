"""States of a member of the rollout, and purposes of its calls to the store."""

from enum import Enum, auto
from typing import NamedTuple


class MemberState(Enum):
    """State of a member."""

    NO_LEASE = auto()
    READING_POLICY = auto()  # reads the policy in force
    ADOPTING = auto()  # waits until the core uses it
    ENROLLING = auto()  # writes its first vote
    ACTIVE = auto()  # dispatches under the policy, and takes part in changes


class CallPurpose(Enum):
    """What a call to the store is for."""

    READ_POLICY = auto()
    ENROLL = auto()
    WRITE_VOTE = auto()
    REFRESH = auto()


class CallInFlight(NamedTuple):
    """The call under way."""

    purpose: CallPurpose
    serial: int
