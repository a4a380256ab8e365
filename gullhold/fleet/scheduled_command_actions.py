"""What a scheduled command asks its driver to do."""

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

    sent_at: the moment at which the token surely held; an attempt that a sleep delays for more than the time
    limit from then on is never sent.
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
