"""Settings of the admission queue, translated from the operator file's names."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gullhold.operator.records import AdmissionQueueRecord


@dataclass(frozen=True, slots=True)
class RetryAfterSettings:
    """How clients of rejected commands are asked to retry."""

    is_offered: bool  # the operator file names a field of the shed reply for it
    min_us: int  # shortest Retry-After time, after which the window in which the retry is expected begins
    max_us: int  # longest Retry-After time
    spread: float  # random addition to a Retry-After time, at most this part of it
    grace_us: int  # time after the latest Retry-After time in which a retry is still inside its window
    max_windows_per_flow: int
    max_windows: int  # in all flows together
    reserved_share: float  # share of a flow's service for retries inside their windows


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits and rules of the admission queue."""

    max_queued: int  # commands
    max_queued_bytes: int  # memory of the queued commands
    max_forwarded: int  # commands with the decision module that have no open attempt
    max_forwarded_per_tenant_profile: int  # the same limit for each pair of a tenant and a profile
    max_exact_flows: int  # flows of a single heavy client each
    shared_flows: int  # flows of a tenant that its other clients share
    salt_interval_us: int  # time between redistributions of clients over the shared flows
    patience: float  # expected wait, in latency objectives, above which new commands are rejected
    client_weights: dict[str, float]  # by name; other clients have weight 1
    retry_after: RetryAfterSettings

    @classmethod
    def from_record(cls, record: "AdmissionQueueRecord", max_retry_after_us: int) -> "AdmissionSettings":
        """Translate the operator file's record, whose fields its class describes.

        max_retry_after_us: the agreement's limit, 0: not stated.
        """
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
