"""One due time of a scheduled command, and the state of the work on it."""

from enum import StrEnum
from hashlib import blake2s
from typing import NamedTuple

IDEMPOTENCY_KEY_BYTES = 16


class OccurrenceState(StrEnum):
    """State of an occurrence, as stored."""

    INTENT = "intent"  # an attempt may have been sent
    SHED = "shed"  # the last attempt certainly had no effect; another may follow
    NOT_SENT = "undone"  # the last attempt was never sent; another may follow
    ANSWERED = "answered"  # final
    FAILED = "failed"  # final
    SKIPPED = "skipped"  # final


OPEN_STATES = (OccurrenceState.INTENT, OccurrenceState.SHED, OccurrenceState.NOT_SENT)


class Occurrence(NamedTuple):
    """One occurrence of a scheduled command; times are Unix time in us.

    token: fencing token under which it was written. attempts: number of attempts begun. started_us: when the
    first intent was written, 0: never. member: that wrote it. reason: why it failed or was skipped. count:
    number of due times that it covers, more than one only if they were skipped together.
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
        """Whether work on it may go on."""
        return self.state in OPEN_STATES


def idempotency_key(command: str, due_us: int) -> str:
    """The idempotency key of an occurrence: the same for all attempts, whichever member makes them."""
    return blake2s(f"{command} {due_us}".encode(), digest_size=IDEMPOTENCY_KEY_BYTES).hexdigest()
