"""The attempts of a load client, and counts of their outcomes."""

from dataclasses import dataclass, field
from typing import NamedTuple


class Attempt(NamedTuple):
    """An attempt of a command.

    sent_at: monotonic s; number: from 1; has_waited: whether it is a retry that was sent after the
    Retry-After of the answer before it.
    """

    sent_at: float
    number: int
    has_waited: bool


@dataclass
class LoadCounts:
    """Outcomes of a client's commands since its counts were reset.

    sent: first attempts; attempts: all attempts; answered, shed, failed: answers of each kind; unanswered:
    attempts that were open when their connection ended; retry_after_received: shed answers with a
    Retry-After; waited_retries, waited_answered, waited_shed: retries sent after that time, and how many of
    them were answered or shed; early_*: the same for retries sent before it; duplicate_answers: answers to
    attempts that are not open; latencies_s: time from an attempt to its successful answer;
    late_by_s: for each answer of any kind that came after the client timeout, by how much; slowest_s: the
    longest time from an attempt to its answer of any kind.
    """

    sent: int = 0
    attempts: int = 0
    answered: int = 0
    shed: int = 0
    failed: int = 0
    unanswered: int = 0
    retry_after_received: int = 0
    waited_retries: int = 0
    waited_answered: int = 0
    waited_shed: int = 0
    early_retries: int = 0
    early_answered: int = 0
    early_shed: int = 0
    duplicate_answers: int = 0
    slowest_s: float = 0.0
    late_by_s: list[float] = field(default_factory=list)
    latencies_s: list[float] = field(default_factory=list)

    def add_sent(self, attempt: Attempt) -> None:
        """Count an attempt that is about to be sent."""
        self.attempts += 1
        if attempt.number == 1:
            self.sent += 1
        elif attempt.has_waited:
            self.waited_retries += 1
        else:
            self.early_retries += 1

    def add_delay(self, attempt: Attempt, now: float, timeout_s: float) -> None:
        """Record the time from an attempt to its answer of any kind. now: monotonic s."""
        delay_s = now - attempt.sent_at
        self.slowest_s = max(self.slowest_s, delay_s)
        if delay_s > timeout_s:
            self.late_by_s.append(delay_s - timeout_s)

    def late_beyond(self, allowed_s: float) -> int:
        """Return how many answers of any kind came later than this time after the client timeout."""
        return sum(late_s > allowed_s for late_s in self.late_by_s)

    def add_answered(self, attempt: Attempt, now: float) -> None:
        """Count a successful answer. now: monotonic s."""
        self.answered += 1
        self.latencies_s.append(now - attempt.sent_at)
        if attempt.number > 1:
            self.waited_answered += attempt.has_waited
            self.early_answered += not attempt.has_waited

    def add_shed(self, attempt: Attempt, has_retry_after: bool) -> None:
        """Count an answer that shed a command."""
        self.shed += 1
        if attempt.number > 1:
            self.waited_shed += attempt.has_waited
            self.early_shed += not attempt.has_waited
        self.retry_after_received += has_retry_after
