"""Types that the admission queue shares with the network code.

This is a module of its own so that a gateway without an admission queue never imports gullhold.admission.
"""

from collections.abc import Mapping
from typing import NamedTuple

UNKNOWN_TENANT = -1  # in place of a tenant's index: the tenant is unknown, and its commands are not accepted


class Forward(NamedTuple):
    """Decision: pass the command on to the decision module."""

    command: int


class Reject(NamedTuple):
    """Decision: shed the command. A retry by its client does no harm, as no attempt was ever sent."""

    command: int
    retry_after_us: int  # 0: no Retry-After time can be given


AdmissionDecision = Forward | Reject


class RejectedFlow(NamedTuple):
    """Key of the known rejections: the new commands of one tenant, client and profile."""

    tenant: int
    client: bytes  # name from ClientIdentifier.client_name()
    profile: int | None  # index in the agreement; None: not in the agreement; such flows have no entry


class KnownRejection(NamedTuple):
    """How long new commands of a flow are known to be rejected without a Retry-After time."""

    until_us: int  # new commands are rejected until then
    first_retry_at_us: int | None  # when the flow's first retry window begins; None: it has none


KnownRejections = Mapping[tuple[int, bytes, int | None], KnownRejection]
"""Known rejections by RejectedFlow. A look-up with a plain tuple finds the same entry, and is faster."""
