"""Occurrences of scheduled commands: one for each due time, with the state of the work on it."""

from enum import StrEnum
from hashlib import blake2s
from typing import NamedTuple

IDEMPOTENCY_KEY_BYTES = 16


class OccurrenceState(StrEnum):
    """State of an occurrence; the values are stored."""

    INTENT = "intent"  # stored before an attempt is sent, so one may have been sent
    SHED = "shed"  # the last attempt was shed, so it had no effect; another may follow
    NOT_SENT = "undone"  # the last attempt was never sent; another may follow
    ANSWERED = "answered"  # final: an attempt succeeded
    FAILED = "failed"  # final: no further attempt is allowed
    SKIPPED = "skipped"  # final: no attempt was begun


OPEN_STATES = (OccurrenceState.INTENT, OccurrenceState.SHED, OccurrenceState.NOT_SENT)


class Occurrence(NamedTuple):
    """One occurrence of a scheduled command; times are Unix time in us.

    token: fencing token under which the record was written. attempts: number of attempts begun. started_us:
    when the first attempt was begun or the occurrence skipped, 0 before that. member: the one that wrote the
    record. reason: why the last attempt had no effect, or why it failed or was skipped. count: number of due
    times that the record covers, more than one only if they were skipped together.
    """

    due_us: int
    state: OccurrenceState | str
    token: int
    attempts: int = 0
    started_us: int = 0
    member: str = ""
    reason: str = ""
    count: int = 1  # type: ignore[assignment]  # hides tuple.count(), which nobody calls

    @property
    def is_open(self) -> bool:
        """Whether further attempts may follow."""
        return self.state in OPEN_STATES


def idempotency_key(command: str, due_us: int) -> str:
    """The idempotency key of an occurrence: the same for all its attempts, whichever member sends them."""
    return blake2s(f"{command} {due_us}".encode(), digest_size=IDEMPOTENCY_KEY_BYTES).hexdigest()
