"""Settings of the admission queue in the code's terms, translated from the operator's record."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gullhold.operator.records import DoorRecord


@dataclass(frozen=True, slots=True)
class RetryAfterSettings:
    """How clients of rejected commands are asked to retry."""

    is_offered: bool  # the shed reply has a field for it
    min_us: int
    max_us: int
    spread: float  # part of the wait over which clients are spread
    grace_us: int  # after a window, in which a retry still counts as in time
    max_windows_per_flow: int
    max_windows: int
    reserved_share: float  # of a flow's service, for retries in time


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits and rules of the admission queue."""

    max_queued: int  # commands
    max_queued_bytes: int
    max_forwarded: int  # commands that the decision module may hold
    max_forwarded_per_tenant_profile: int  # the same of one profile of one tenant
    max_exact_flows: int  # flows of one client each
    shared_flows: int  # shared flows of a tenant's other clients
    salt_interval_us: int  # after which clients are distributed anew over shared flows
    patience: float  # wait, in latency objectives, over which new commands are rejected
    client_weights: dict[str, float]
    retry_after: RetryAfterSettings

    @classmethod
    def from_record(cls, record: "DoorRecord", max_retry_after_us: int) -> "AdmissionSettings":
        """Translate the operator's record; max_retry_after_us: of the agreement, 0: not stated."""
        retry = record.come_back
        max_us = min(retry.most, max_retry_after_us) if max_retry_after_us else retry.most
        return cls(
            max_queued=record.waiting,
            max_queued_bytes=record.bytes,
            max_forwarded=record.held,
            max_forwarded_per_tenant_profile=record.window,
            max_exact_flows=record.exact,
            shared_flows=record.shared,
            salt_interval_us=record.redeal,
            patience=record.patience,
            client_weights=record.weights,
            retry_after=RetryAfterSettings(
                is_offered=bool(retry.field),
                min_us=min(retry.least, max_us),
                max_us=max_us,
                spread=retry.spread,
                grace_us=retry.grace,
                max_windows_per_flow=retry.each,
                max_windows=retry.all,
                reserved_share=retry.part,
            ),
        )
