"""The states of a member of a rollout, and what its calls to the store are for."""

from enum import Enum, auto
from typing import NamedTuple


class MemberState(Enum):
    """State of a member."""

    NO_LEASE = auto()
    LEARNING = auto()  # reads what is in force
    ADOPTING = auto()  # the core takes it over
    ENROLLING = auto()  # writes its first vote
    ACTIVE = auto()  # dispatches by it, and hears of changes


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
