"""The way of a request from its arrival to the decision module, through the admission queue if any."""

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
        if self.core.admission_queue:
            self._poll()

    def arrived(self, pending: PendingRequest) -> None:
        """A request was taken."""
        queue = self.core.admission_queue
        if not queue:
            self._submit(pending)
            return
        request = pending.request
        decided = queue.submit(
            self.core.now,
            pending.number,
            request.tenant,
            request.flow,
            request.profile,
            request.key,
            request.work_us,
            len(request.body) + QUEUED_REQUEST_BYTES,
            pending.timeout_at_us,
            request.repeat,
        )
        self._carry_out(decided)

    def hand_over(self) -> bool:
        """Let go on what the module has room for now; whether anything did."""
        queue = self.core.admission_queue
        decided = queue.take_ready(self.core.now) if queue else None
        if decided:
            self._carry_out(decided)
        return bool(decided)

    def close(self) -> None:
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

    def _carry_out(self, decided: list[AdmissionDecision]) -> None:
        """Requests go on to the module, or are rejected: thousands at once cost one write a connection."""
        requests = self.core.requests
        frames: dict[Client, list[bytes]] = {}
        for decision in decided:
            pending = requests.by_number.get(decision.command)
            if pending is None or not pending.client:
                continue
            match decision:
                case Forward():
                    self._submit(pending)
                case Reject(retry_after_us=retry_after_us):
                    client = pending.client
                    frame = requests.settle_rejected(pending, retry_after_us)
                    frames.setdefault(client, []).append(frame)
        for client, parts in frames.items():
            client.put(b"".join(parts))

    def _submit(self, pending: PendingRequest) -> None:
        """The decision module decides from here on."""
        request = pending.request
        self.core.decisions.call(
            pending,
            self.core.gateway.submit,
            pending.number,
            request.profile,
            request.tenant,
            request.key,
            pending.timeout_at_us,
            request.work_us,
            request.need_mb,
            request.group,
            request.repeat,
        )

    def _poll(self) -> None:
        """Guards what waits in the queue beyond its time: it is due at its client timeout."""
        self.core.call_later(self.core.now + QUEUE_POLL_US, self._poll)
        self._carry_out(self.core.admission_queue.expire(self.core.now))
        self.core.counters.peak("admission_queued", self.core.admission_queue.queued_count)
