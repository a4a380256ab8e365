"""One command at the admission queue, from its arrival to its end."""

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from gullhold.admission.flow import Flow
    from gullhold.admission.tenant_queue import TenantQueue


class CommandState(IntEnum):
    """Where a command is between its arrival and its end."""

    BLOCKED = 0  # behind an earlier command of its ordering key
    QUEUED = 1  # in its flow's queue
    FORWARDED = 2  # with the decision module, no attempt is open
    RUNNING = 3  # an attempt is open
    ENDED = 4


# Python 3.11 calls a function at each access to a member through its class: too slow for inner loops.
BLOCKED = CommandState.BLOCKED
QUEUED = CommandState.QUEUED
FORWARDED = CommandState.FORWARDED
RUNNING = CommandState.RUNNING
ENDED = CommandState.ENDED

NEXT_STATES = {
    BLOCKED: (QUEUED, ENDED),
    QUEUED: (FORWARDED, ENDED),
    FORWARDED: (RUNNING, ENDED),
    RUNNING: (FORWARDED, ENDED),
    ENDED: (),
}


class TenantProfile(NamedTuple):
    """The commands of one profile of one tenant."""

    tenant: int
    profile: int


class QueuedCommand:
    """One command; its state is changed only by the AdmissionQueue."""

    __slots__ = (
        "charged_us",
        "client",
        "cost_us",
        "expires_us",
        "flow",
        "key",
        "tenant_profile",
        "may_have_run",
        "number",
        "order",
        "profile",
        "size",
        "state",
        "tenant_queue",
        "work_us",
    )

    def __init__(
        self,
        number: int,
        order: int,
        client: bytes,
        profile: int,
        key: int,
        size: int,
        expires_us: int,
        tenant_queue: "TenantQueue",
        flow: "Flow",
        work_us: float,
    ) -> None:
        self.number = number
        self.order = order  # of arrival
        self.client = client
        self.profile = profile
        self.key = key  # ordering key; 0: none
        self.size = size  # bytes
        self.expires_us = expires_us  # when it is answered, if it still waits
        self.tenant_queue = tenant_queue
        self.flow = flow
        self.tenant_profile = TenantProfile(tenant_queue.tenant, profile)
        self.work_us = work_us  # estimated
        self.charged_us = 0.0
        self.cost_us = 0  # that answers stated
        self.may_have_run = False
        self.state = BLOCKED

    @property
    def is_waiting(self) -> bool:
        """Whether the command still waits here, unknown to the decision module."""
        return self.state <= QUEUED
