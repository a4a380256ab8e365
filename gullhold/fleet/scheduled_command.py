"""Scheduled commands: how the leader of one handles its due times. Performs no I/O.

Each occurrence has a record in the store, written under the leader's fencing token: the intent before an
attempt is sent, the outcome after it. gullhold.fleet.recovery decides what may follow an intent without an
outcome.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol, cast

from gullhold.fleet.occurrence import Occurrence, OccurrenceState, idempotency_key
from gullhold.fleet.occurrence_records import OccurrenceRecords
from gullhold.fleet.recovery import (
    GiveUp,
    ScheduledCommandRules,
    ScheduledProfile,
    decide_recovery,
    deduplicated_until,
)
from gullhold.fleet.role_state import LogEvent
from gullhold.fleet.scheduled_command_actions import (
    ReadRecords,
    ScheduledCommandAction,
    SendAttempt,
    SetBusy,
    WriteRecord,
)
from gullhold.fleet.store_calls import Proof, Reply
from gullhold.fleet.store_schema import scheduled_command_prefix
from gullhold.interface import Idempotency

RETRY_DELAY_US = 500_000  # us until the next attempt after one that was not answered, as a client would wait
RELOAD_DELAY_US = RETRY_DELAY_US // 2  # us until records are read again after a write without confirmation
MIN_STEP_US = 20_000  # us between steps at least; a cron expression has a resolution of a second

# Levels of the log lines of occurrences, by state; "info" for all others.
LOG_LEVELS: dict[str, str] = {OccurrenceState.FAILED: "error", OccurrenceState.SKIPPED: "warning"}


class DueTimes(Protocol):
    """The due times of a scheduled command, in Unix us."""

    def next_after(self, at_us: int) -> int:
        """The first due time after at_us."""
        ...

    def count_between(self, after_us: int, until_us: int) -> tuple[int, int]:
        """The number of due times after after_us and up to until_us, and the last of them."""
        ...


class WritePurpose(StrEnum):
    """What a write to the store records."""

    START = "start"  # the time from which a new command has due times; no occurrence
    INTENT = "intent"  # an attempt is about to be sent
    SETTLE = "settle"  # the outcome of an attempt, or the occurrence has failed
    SKIP = "skip"  # due times that are skipped


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write to the store without a reply yet. occurrence: None only for WritePurpose.START."""

    serial: int
    purpose: WritePurpose
    occurrence: Occurrence | None


class ScheduledCommand:
    """One scheduled command on one member; it works while the member leads the command's role.

    take_actions() returns ScheduledCommandActions; due() is when to step() next. All times are Unix us.

    token: fencing token, 0 while this member does not lead the role. is_disabled: a policy has turned the
    command off. in_flight: the occurrence with an open attempt of this member. outcome: the outcome of an
    attempt that ended, not written yet. unsent_intent: an intent of this member that may have been written,
    but whose attempt was never sent. retry_at: when an open occurrence may be worked on again, by due time.
    pause_until: no step is taken before this time, after a call without confirmation.
    """

    def __init__(
        self, rules: ScheduledCommandRules, profile: ScheduledProfile, calendar: DueTimes, member: str
    ) -> None:
        """member: the name of this member."""
        self.rules = rules
        self.profile = profile
        self.calendar = calendar
        self.member = member
        self.records = OccurrenceRecords(scheduled_command_prefix(rules.name))
        self.token = 0
        self.actions: list[ScheduledCommandAction] = []
        self.is_disabled = False
        self.is_leaving = False
        self.is_loaded = False
        self.is_reading = False
        self.serial = 0  # number of the newest write
        self.pending_write: PendingWrite | None = None
        self.in_flight: Occurrence | None = None
        self.outcome: Occurrence | None = None
        self.unsent_intent: Occurrence | None = None
        self.retry_at: dict[int, int] = {}
        self.pause_until = 0

    def take_actions(self) -> list[ScheduledCommandAction]:
        """Return the actions to carry out now, in order."""
        actions = self.actions
        self.actions = []
        return actions

    def won(self, token: int, now: int) -> None:
        """Start to lead the role under this fencing token: read all records."""
        self.token = token
        self.is_loaded = False
        self.is_reading = False
        self.pending_write = None
        self.step(now)

    def lost(self) -> None:
        """Stop, as this member may not lead the role any more.

        An open attempt goes on. Its outcome is kept, and written if this member leads the role again before
        another has gone on with the occurrence.
        """
        self.token = 0
        self.pending_write = None
        self.actions.append(SetBusy(False))
        if self.in_flight:
            self._log("warning", "in flight when the role was lost", due_us=self.in_flight.due_us)

    def leave(self) -> None:
        """Start no more attempts, as this member shuts down; the outcome of an open one is still written."""
        self.is_leaving = True

    def due(self, now: int) -> int:
        """When to step() next, unless an event comes first."""
        if not self.token or self.is_reading or self.pending_write:
            return now + RETRY_DELAY_US
        times = [at for at in self.retry_at.values() if at > now]
        times.append(self.calendar.next_after(self.records.handled_until) if self.is_loaded else now)
        return max(now + MIN_STEP_US, self.pause_until, min(times))

    def step(self, now: int) -> None:
        """Do what is due next, unless a call is under way or a pause not over."""
        if not self.token or self.is_reading or self.pending_write or now < self.pause_until:
            return
        if not self.is_loaded:
            self.is_reading = True
            self.actions.append(ReadRecords(self.records.prefix))
        elif not self.records.handled_until:  # a new command has due times from now on
            self._write(WritePurpose.START, None, now)
        elif self.outcome:
            self._settle_outcome(now)
        elif self.is_leaving:
            return
        elif not self.in_flight and (occurrence := self._open_occurrence(now)):
            self._recover(occurrence, now)
        else:
            self._begin_next(now)

    def _settle_outcome(self, now: int) -> None:
        outcome = cast("Occurrence", self.outcome)
        self.outcome = None
        known = self.records.by_due_time.get(outcome.due_us)
        if (
            known
            and known.state == OccurrenceState.INTENT
            and known.token == outcome.token
            and known.attempts == outcome.attempts
        ):
            self._write(WritePurpose.SETTLE, outcome, self.records.handled_until)
        else:  # another leader has gone on with the occurrence
            self.step(now)

    def _open_occurrence(self, now: int) -> Occurrence | None:
        """The first open occurrence that may be worked on now."""
        for occurrence in self.records.by_due_time.values():
            if occurrence.is_open and self.retry_at.get(occurrence.due_us, 0) <= now:
                return occurrence
        return None

    def _recover(self, occurrence: Occurrence, now: int) -> None:
        """Go on with an open occurrence, of which this member has no open attempt: retry or settle it."""
        if self.unsent_intent == occurrence:  # an intent of this member, written after all and never sent
            self._write_intent(occurrence, now)
            return
        match decide_recovery(self.rules, self.profile, occurrence, now):
            case GiveUp(reason):
                failed = occurrence._replace(state=OccurrenceState.FAILED, reason=reason)
                self._write(WritePurpose.SETTLE, failed, self.records.handled_until)
            case _:
                self._write_intent(occurrence._replace(attempts=occurrence.attempts + 1), now)

    def _begin_next(self, now: int) -> None:
        """Begin the occurrence of the next due time, or skip due times whose occurrences can't be begun."""
        due_us = self.calendar.next_after(self.records.handled_until)
        if due_us > now:
            return
        if self.is_disabled:
            self._skip_until(now, "off by the fleet's policy", now)
            return
        too_late = now - self.rules.window_us - 1
        if self._skip_until(too_late, "missed: nobody owned it, or the fleet was away", now):
            return
        if self.in_flight or self.records.has_open():
            if not self.rules.waits_for_previous:
                self._skip_until(now, "the last one still runs", now)
            return
        first = Occurrence(due_us, OccurrenceState.INTENT, self.token, attempts=1, member=self.member)
        self._write_intent(first, now)

    def _skip_until(self, until: int, reason: str, now: int) -> bool:
        """Skip the due times up to this one in one record; return whether there were any."""
        count, last_due = self.calendar.count_between(self.records.handled_until, until)
        if not count:
            return False
        skipped = Occurrence(
            last_due,
            OccurrenceState.SKIPPED,
            self.token,
            attempts=0,
            started_us=now,
            member=self.member,
            reason=reason,
            count=count,
        )
        self._write(WritePurpose.SKIP, skipped, last_due)
        return True

    def _write_intent(self, occurrence: Occurrence, now: int) -> None:
        intent = occurrence._replace(
            state=OccurrenceState.INTENT,
            token=self.token,
            member=self.member,
            started_us=occurrence.started_us or now,
            reason="",
        )
        self.actions.append(SetBusy(True))
        self.retry_at.pop(intent.due_us, None)
        self._write(WritePurpose.INTENT, intent, max(self.records.handled_until, intent.due_us))

    def _write(self, purpose: WritePurpose, occurrence: Occurrence | None, handled_until: int) -> None:
        """Write under the fencing token, on the condition that the occurrence's record is unchanged."""
        self.serial += 1
        self.pending_write = PendingWrite(self.serial, purpose, occurrence)
        operations = self.records.write_operations(occurrence, handled_until)
        conditions = (self.records.unchanged_condition(occurrence),) if occurrence else ()
        self.actions.append(WriteRecord(self.serial, self.token, tuple(operations), conditions))

    def records_read(self, now: int, reply: Reply) -> None:
        """Take the reply to ReadRecords."""
        if not self.is_reading:
            return
        self.is_reading = False
        if reply.proof != Proof.DONE:
            self.pause_until = now + RETRY_DELAY_US
            return
        self.is_loaded = True
        self.records.load(reply.items)
        self.step(now)

    def record_written(self, now: int, serial: int, reply: Reply, may_act: bool) -> None:
        """Take the reply to a WriteRecord. may_act: whether the fencing token certainly holds now."""
        write = self.pending_write
        if write is None or write.serial != serial:
            return
        self.pending_write = None
        if reply.proof != Proof.DONE or not reply.succeeded:
            self._write_not_confirmed(write, now)
            return
        self.records.drop_surplus()
        if write.occurrence is None:
            self.records.handled_until = now
        else:
            self.records.written(write.occurrence, reply.revision)
            self._record_confirmed(write.purpose, write.occurrence, now, may_act)
        self.step(now)

    def _write_not_confirmed(self, write: PendingWrite, now: int) -> None:
        """Have the records read again, as a write was refused or may not have been carried out."""
        occurrence = cast("Occurrence", write.occurrence)  # None for WritePurpose.START, where it is not used
        if write.purpose == WritePurpose.INTENT:  # written or not, no attempt was sent for it
            self.unsent_intent = occurrence
            self.actions.append(SetBusy(False))
        elif write.purpose == WritePurpose.SETTLE and occurrence.due_us in self.records.by_due_time:
            self.outcome = occurrence  # written again, unless a read shows the work of another leader
        self.is_loaded = False
        self.pause_until = now + RELOAD_DELAY_US

    def _record_confirmed(
        self, purpose: WritePurpose, occurrence: Occurrence, now: int, may_act: bool
    ) -> None:
        if purpose == WritePurpose.INTENT:
            if may_act:
                self._send(occurrence, now)
            else:  # send nothing: another member may lead the role by now
                self.unsent_intent = occurrence
                self.pause_until = now + RELOAD_DELAY_US
            return
        if purpose == WritePurpose.SETTLE:
            self.actions.append(SetBusy(occurrence.is_open))
        self._log(
            LOG_LEVELS.get(occurrence.state, "info"),
            occurrence.state,
            due_us=occurrence.due_us,
            attempts=occurrence.attempts,
            reason=occurrence.reason,
            count=occurrence.count,
        )

    def _send(self, occurrence: Occurrence, now: int) -> None:
        """Send an attempt; that of a keyed command must end while engines still know its idempotency key."""
        time_limit_us = self.profile.timeout_us
        if self.profile.idempotency == Idempotency.KEYED:
            until = deduplicated_until(self.rules, self.profile, occurrence)
            time_limit_us = min(time_limit_us, until - now)
        self.unsent_intent = None
        self.in_flight = occurrence
        if time_limit_us <= 0:
            self.attempt_ended(now, OccurrenceState.NOT_SENT, "no time was left")
            return
        key = idempotency_key(self.rules.name, occurrence.due_us)
        self.actions.append(SendAttempt(occurrence.due_us, occurrence.attempts, key, now, time_limit_us))

    def attempt_ended(self, now: int, state: OccurrenceState, reason: str) -> None:
        """Record the end of the open attempt.

        state: ANSWERED, SHED (it had no effect), NOT_SENT (it was never sent) or FAILED (it may have run).
        """
        occurrence = self.in_flight
        self.in_flight = None
        if occurrence is None:
            return
        if state != OccurrenceState.ANSWERED:
            self.retry_at[occurrence.due_us] = now + RETRY_DELAY_US
        may_retry = (
            self.profile.idempotency != Idempotency.NON_IDEMPOTENT
            and occurrence.attempts < self.rules.max_attempts
        )
        if state != OccurrenceState.FAILED or not may_retry:
            self.outcome = occurrence._replace(state=state, reason=reason)
        # Otherwise the record stays an intent, and decide_recovery() decides what may follow.
        self.step(now)

    def _log(self, level: str, text: str, **facts: Any) -> None:
        self.actions.append(LogEvent(level, text, facts | {"command": self.rules.name, "token": self.token}))
