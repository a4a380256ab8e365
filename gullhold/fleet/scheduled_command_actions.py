"""Actions of a scheduled command, which its driver carries out."""

from dataclasses import dataclass

from gullhold.fleet.role_state import LogEvent
from gullhold.fleet.store_calls import Condition, Operation


@dataclass(frozen=True, slots=True)
class ReadRecords:
    """Action: read all keys of the command; answered by records_read()."""

    prefix: str


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Action: carry the operations out while the role is led under this token and the conditions hold.

    Answered by record_written().
    """

    serial: int
    token: int
    operations: tuple[Operation, ...]
    conditions: tuple[Condition, ...]


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Action: send an attempt of the occurrence; answered by attempt_ended().

    sent_at: time at which the token certainly held (Unix us); an attempt that is delayed until the time limit
    has passed since then is never sent.
    """

    due_us: int
    attempt: int
    idempotency_key: str
    sent_at: int
    time_limit_us: int


@dataclass(frozen=True, slots=True)
class SetBusy:
    """Action: work on an occurrence has begun or ended."""

    is_busy: bool


ScheduledCommandAction = ReadRecords | WriteRecord | SendAttempt | SetBusy | LogEvent
