"""The way of a request from its arrival to the decision module, through the admission queue if any."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from gullhold.admission_interface import AdmissionDecision, Forward, Reject
from gullhold.net.pending_requests import Client, PendingRequest

if TYPE_CHECKING:
    from gullhold.net.core import Core

QUEUE_POLL_US = 20_000  # us between looks at the queue for what is due: half of its margin
QUEUED_REQUEST_BYTES = 2000  # bytes that a queued request takes beside its statement, measured


class RequestAdmission:
    """Carries out what the admission queue decides; without one every request goes to the module at once."""

    def __init__(self, core: "Core") -> None:
        self.core = core

    def start(self) -> None:
        """Begin to look at the queue from time to time."""
        self._poll()

    def submit(self, pending: PendingRequest) -> None:
        """A request was taken."""
        queue = self.core.admission_queue
        if not queue:
            self._submit_to_decisions(pending)
            return
        request = pending.request
        decisions = queue.submit(
            self.core.now,
            pending.number,
            request.tenant,
            request.flow,
            request.profile,
            request.ordering_key,
            request.work_us,
            len(request.statement) + QUEUED_REQUEST_BYTES,
            pending.timeout_at_us,
            request.is_retry,
        )
        self._carry_out(decisions)

    def forward_ready(self) -> bool:
        """Let go on what the module has room for now; whether anything did."""
        queue = self.core.admission_queue
        decisions = queue.take_ready(self.core.now) if queue else None
        if decisions:
            self._carry_out(decisions)
        return bool(decisions)

    def reject_queued(self) -> None:
        """Answer all that is queued."""
        if self.core.admission_queue:
            self._carry_out(self.core.admission_queue.reject_all(self.core.now))

    def is_queued(self, number: int) -> bool:
        """Whether a request has yet to go to the module."""
        return bool(self.core.admission_queue and self.core.admission_queue.is_queued(number))

    def queued_count(self) -> int:
        """How many requests have yet to go to the module."""
        return self.core.admission_queue.queued_count if self.core.admission_queue else 0

    def retry_after_us(self, number: int) -> int:
        """When the client of a request that is shed may ask again; 0: not known."""
        if self.core.admission_queue and self.core.retry_after_field:
            return self.core.admission_queue.retry_after_us(self.core.now, number)
        return 0

    def _carry_out(self, decisions: Sequence[AdmissionDecision]) -> None:
        """Requests go on to the module, or are rejected: thousands at once cost one write a connection."""
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

    def _submit_to_decisions(self, pending: PendingRequest) -> None:
        """The decision module decides from here on."""
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
        """Guards what waits in the queue beyond its time: it is due at its client timeout."""
        queue = self.core.admission_queue
        if queue is None:
            return
        self.core.call_later(self.core.now + QUEUE_POLL_US, self._poll)
        self._carry_out(queue.expire(self.core.now))
        self.core.counters.peak("waiting at the door", queue.queued_count)
