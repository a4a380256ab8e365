"""Types that the admission queue shares with the network code.

They stand apart from gullhold.admission so that a gateway without an admission queue never imports it.
"""

from collections.abc import Mapping
from typing import NamedTuple

UNKNOWN_TENANT = -1  # index of a tenant whose commands are not accepted


class Forward(NamedTuple):
    """Decision: pass the command on to the decision module."""

    command: int


class Reject(NamedTuple):
    """Decision: the final answer is a shed, which is always true since the command never went out."""

    command: int
    retry_after_us: int  # 0: no time can be given


AdmissionDecision = Forward | Reject


class RejectedFlow(NamedTuple):
    """Key of the known rejections: new commands of a client of a tenant, of one profile."""

    tenant: int
    client: bytes
    profile: int | None


class KnownRejection(NamedTuple):
    """Until when new commands of a flow are known to be rejected without a Retry-After time."""

    until_us: int
    first_retry_at_us: int | None  # when the first Retry-After time of the flow begins; None: there is none


KnownRejections = Mapping[tuple[int, bytes, int | None], KnownRejection]
"""Known rejections by RejectedFlow; a plain tuple, which is made faster, finds the same entry."""
