"""A command and its states at the admission queue, from its arrival to its end."""

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from gullhold.admission.flow import Flow
    from gullhold.admission.tenant_queue import TenantQueue


class CommandState(IntEnum):
    """Where a command is between its arrival and its end."""

    BLOCKED = 0  # waits for an earlier command of its profile and ordering key
    QUEUED = 1  # in its flow's queue
    FORWARDED = 2  # passed to the decision module, without an open attempt
    RUNNING = 3  # with an open attempt
    ENDED = 4  # rejected, answered or withdrawn, without an open attempt


# Access to an enum member through its class costs a function call in Python 3.11: too slow for inner loops.
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
    """A tenant and a profile, by index: the forwarded commands of such a pair are limited."""

    tenant: int
    profile: int


class QueuedCommand:
    """A command in the admission queue; only AdmissionQueue changes its state."""

    __slots__ = (
        "charged_us",
        "client",
        "cost_us",
        "expires_at_us",
        "flow",
        "ordering_key",
        "tenant_profile",
        "may_have_run",
        "number",
        "order",
        "profile",
        "size_bytes",
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
        ordering_key: int,
        size_bytes: int,
        expires_at_us: int,
        tenant_queue: "TenantQueue",
        flow: "Flow",
        work_us: float,
    ) -> None:
        self.number = number
        self.order = order  # serial number by arrival
        self.client = client
        self.profile = profile
        self.ordering_key = ordering_key  # 0: none
        self.size_bytes = size_bytes
        self.expires_at_us = expires_at_us  # it is rejected then if it still waits
        self.tenant_queue = tenant_queue
        self.flow = flow
        self.tenant_profile = TenantProfile(tenant_queue.tenant, profile)
        self.work_us = work_us  # estimated work on one core
        self.charged_us = 0.0  # work charged to its tenant and flow so far
        self.cost_us = 0  # work that its attempts' answers stated
        self.may_have_run = False  # whether an attempt may have run at an engine
        self.state = BLOCKED

    @property
    def is_waiting(self) -> bool:
        """Whether the command is blocked or queued, unknown to the decision module."""
        return self.state <= QUEUED
