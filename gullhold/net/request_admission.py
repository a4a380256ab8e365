"""Submits requests to the decision module, by way of the admission queue if there is one."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from gullhold.admission_interface import AdmissionDecision, Forward, Reject
from gullhold.net.pending_requests import Client, PendingRequest

if TYPE_CHECKING:
    from gullhold.net.core import Core

QUEUE_POLL_US = 20_000  # time between checks for requests that expire in the queue
MAX_REJECTED_AT_ONCE = 500  # queued requests rejected in one event at the shutdown
REJECTION_INTERVAL_US = 1000  # time between two such events
QUEUED_REQUEST_BYTES = 2000  # memory of a queued request without its statement


class RequestAdmission:
    """Carries out the admission queue's decisions; without a queue every request is submitted at once.

    On the core's thread only, except for queued_count().
    """

    def __init__(self, core: "Core") -> None:
        self.core = core

    def start(self) -> None:
        """Begin to check the queue for expired requests periodically."""
        self._poll()

    def submit(self, pending: PendingRequest) -> None:
        """Queue a request, or submit it to the decision module if there is no queue."""
        queue = self.core.admission_queue
        if not queue:
            self._submit_to_decisions(pending)
            return
        request = pending.request
        decisions = queue.submit(
            self.core.now,
            pending.number,
            request.tenant,
            request.client_name,
            request.profile,
            request.ordering_key,
            request.work_us,
            len(request.statement) + QUEUED_REQUEST_BYTES,
            pending.timeout_at_us,
            request.is_retry,
        )
        self._carry_out(decisions)

    def forward_ready(self) -> bool:
        """Submit the queued requests that the decision module has room for; return whether any were taken."""
        queue = self.core.admission_queue
        decisions = queue.take_ready(self.core.now) if queue else None
        if decisions:
            self._carry_out(decisions)
        return bool(decisions)

    def reject_queued(self) -> None:
        """Reject all queued requests, some in this event and the rest in later ones.

        One event for all of them would delay every other event in proportion to their number.
        """
        if self.core.admission_queue is None:
            return
        rejections = self.core.admission_queue.reject_batch(self.core.now, MAX_REJECTED_AT_ONCE)
        if rejections:
            self._carry_out(rejections)
            self.core.call_later(self.core.now + REJECTION_INTERVAL_US, self.reject_queued)

    def is_queued(self, number: int) -> bool:
        """Whether a request is still queued."""
        return bool(self.core.admission_queue and self.core.admission_queue.is_queued(number))

    def queued_count(self) -> int:
        """Return how many requests are queued."""
        return self.core.admission_queue.queued_count if self.core.admission_queue else 0

    def retry_after_us(self, number: int) -> int:
        """Return the Retry-After time for a request that is shed; 0: there is none."""
        if self.core.admission_queue and self.core.retry_after_field:
            return self.core.admission_queue.retry_after_us(self.core.now, number)
        return 0

    def _carry_out(self, decisions: Sequence[AdmissionDecision]) -> None:
        """Submit or reject requests; all rejections for one client are sent in one write."""
        requests = self.core.requests
        frames: dict[Client, list[bytes]] = {}
        for decision in decisions:
            pending = requests.by_number.get(decision.command)
            if pending is None or not pending.client:
                continue
            match decision:
                case Forward():
                    self._submit_to_decisions(pending)
                case Reject(retry_after_us=retry_after_us):
                    client = pending.client
                    frame = requests.settle_rejected(pending, retry_after_us)
                    frames.setdefault(client, []).append(frame)
        for client, parts in frames.items():
            client.put(b"".join(parts))
            client.completed_count += len(parts)

    def _submit_to_decisions(self, pending: PendingRequest) -> None:
        """Submit a request to the decision module."""
        request = pending.request
        self.core.decisions.call(
            pending,
            self.core.gateway.submit,
            pending.number,
            request.profile,
            request.tenant,
            request.ordering_key,
            pending.timeout_at_us,
            request.work_us,
            request.memory_mb,
            request.table_group,
            request.is_retry,
        )

    def _poll(self) -> None:
        """Reject queued requests shortly before their client timeouts, and schedule the next check."""
        queue = self.core.admission_queue
        if queue is None:
            return
        self.core.call_later(self.core.now + QUEUE_POLL_US, self._poll)
        self._carry_out(queue.expire(self.core.now))
        self.core.counters.peak("admission_queued", queue.queued_count)
