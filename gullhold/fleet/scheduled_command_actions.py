"""Actions of a scheduled command, which ScheduledCommandDriver carries out."""

from dataclasses import dataclass

from gullhold.fleet.role_state import LogEvent
from gullhold.fleet.store_calls import Condition, Operation


@dataclass(frozen=True, slots=True)
class ReadRecords:
    """Action: read all keys of the command, those with the prefix; the reply goes to records_read()."""

    prefix: str


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Action: carry the operations out if the role is led under this token and the conditions hold.

    serial: number of the write, which is passed to record_written() with the reply.
    """

    serial: int
    token: int
    operations: tuple[Operation, ...]
    conditions: tuple[Condition, ...]


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Action: send an attempt of the occurrence; its end goes to attempt_ended().

    attempt: its number, from 1. sent_at: Unix us at which the fencing token certainly held; the time limit
    counts from then, and an attempt that is delayed for longer is never sent.
    """

    due_us: int
    attempt: int
    idempotency_key: str
    sent_at: int
    time_limit_us: int


@dataclass(frozen=True, slots=True)
class SetBusy:
    """Action: tell the membership whether work on an occurrence is under way, so that the role is kept."""

    is_busy: bool


ScheduledCommandAction = ReadRecords | WriteRecord | SendAttempt | SetBusy | LogEvent
