"""States of a rollout member, and purposes of its calls to the store."""

from enum import Enum, auto
from typing import NamedTuple


class MemberState(Enum):
    """State of a rollout member; it may dispatch only when ACTIVE."""

    NO_LEASE = auto()
    READING_POLICY = auto()  # waits for the read of the policy in force
    ADOPTING = auto()  # waits until the core uses that policy
    ENROLLING = auto()  # waits until its first vote is stored
    ACTIVE = auto()  # dispatches under the policy, and takes part in changes


class CallPurpose(Enum):
    """What a call to the store is for."""

    READ_POLICY = auto()
    ENROLL = auto()  # write the first vote
    WRITE_VOTE = auto()
    REFRESH = auto()  # confirm that the known policy is still in force


class CallInFlight(NamedTuple):
    """A call to the store whose reply is awaited. serial: matches the reply to the call."""

    purpose: CallPurpose
    serial: int
