"""Scheduled commands: what the leader of one does about each time that it is due. Decisions only.

Each occurrence has a record in the store, written under the leader's fencing token: the intent before an
attempt is sent, the outcome after it. gullhold.fleet.recovery says what may follow an intent without outcome.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol, cast

from gullhold.fleet.occurrence import Occurrence, OccurrenceState, idempotency_key
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
from gullhold.fleet.store_calls import Condition, Delete, Operation, Proof, Put, Reply
from gullhold.fleet.store_schema import (
    HANDLED_UNTIL,
    OCCURRENCES,
    decode_occurrence,
    encode_occurrence,
    occurrence_key,
    scheduled_command_prefix,
)
from gullhold.interface import Idempotency

KEPT_RECORDS = 20  # settled occurrences that stay in the store, for staff and for the next leader
RETRY_DELAY_US = 500_000  # us until the next attempt after one without effect, as a client would wait
RELOAD_DELAY_US = RETRY_DELAY_US // 2  # us until the records are read after a write that may not stand
MIN_STEP_US = 20_000  # us between steps at least: calendars are in seconds

# By state; all others: info.
LOG_LEVELS: dict[str, str] = {OccurrenceState.FAILED: "error", OccurrenceState.SKIPPED: "warning"}


class DueTimes(Protocol):
    """The calendar of a scheduled command; Unix time in us."""

    def after(self, at_us: int) -> int:
        """The first due time after this one."""
        ...

    def between(self, after_us: int, until_us: int) -> tuple[int, int]:
        """How many due times there are after one time and up to another, and the last of them."""
        ...


class WritePurpose(StrEnum):
    """What a write to the store is for."""

    START = "start"  # a new command: only the time from which it is due
    INTENT = "intent"
    SETTLE = "settle"  # the outcome of an attempt
    SKIP = "skip"


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write under way; occurrence None: with WritePurpose.START alone."""

    serial: int
    purpose: WritePurpose
    occurrence: Occurrence | None


class ScheduledCommand:
    """One scheduled command while this member leads its role.

    take_actions() hands out ScheduledCommandActions; due() is when to step(). All times are Unix us.
    """

    def __init__(
        self, rules: ScheduledCommandRules, profile: ScheduledProfile, calendar: DueTimes, member: str
    ) -> None:
        """member: the name of this member."""
        self.rules = rules
        self.profile = profile
        self.calendar = calendar
        self.member = member
        self.prefix = scheduled_command_prefix(rules.name)
        self.token = 0  # 0: this member does not lead the role
        self.out: list[ScheduledCommandAction] = []
        self.off = False  # a policy says that it does not run
        self.is_leaving = False
        self.is_loaded = False
        self.is_reading = False
        self.serial = 0
        self.pending_write: PendingWrite | None = None
        self.handled_until = 0  # the last due time that has a record, or from which the command began
        self.occurrences: dict[int, Occurrence] = {}  # by due time
        self.revisions: dict[int, int] = {}  # of their keys
        self.in_flight: Occurrence | None = None  # an attempt is out
        self.outcome: Occurrence | None = None  # an attempt ended, which is not written yet
        self.unsent_intent: Occurrence | None = None  # may have been written; no attempt was sent for it
        self.retry_at: dict[int, int] = {}  # by due time
        self.pause_until = 0

    def take_actions(self) -> list[ScheduledCommandAction]:
        """What is to be done now, in order."""
        out = self.out
        self.out = []
        return out

    def won(self, token: int, now: int) -> None:
        """This member leads the role, under this token: all records are read anew."""
        self.token = token
        self.is_loaded = False
        self.is_reading = False
        self.pending_write = None
        self.step(now)

    def lost(self) -> None:
        """The leadership is not certain any more: nothing is begun.

        An attempt that is out goes on, and its outcome is kept.
        """
        self.token = 0
        self.pending_write = None
        self.out.append(SetBusy(False))
        if self.in_flight:
            self._log("warning", "in flight when the role was lost", due_us=self.in_flight.due_us)

    def leave(self) -> None:
        """Begin nothing any more; what is open is ended."""
        self.is_leaving = True

    def due(self, now: int) -> int:
        """When to step at the latest."""
        if not self.token or self.is_reading or self.pending_write:
            return now + RETRY_DELAY_US
        times = [at for at in self.retry_at.values() if at > now]
        times.append(self.calendar.after(self.handled_until) if self.is_loaded else now)
        return max(now + MIN_STEP_US, self.pause_until, min(times))

    def step(self, now: int) -> None:
        """Do what is next, if nothing is under way."""
        if not self.token or self.is_reading or self.pending_write or now < self.pause_until:
            return
        if not self.is_loaded:
            self.is_reading = True
            self.out.append(ReadRecords(self.prefix))
        elif not self.handled_until:  # a new command begins with what is due from now on
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
        known = self.occurrences.get(outcome.due_us)
        if (
            known
            and known.state == OccurrenceState.INTENT
            and known.token == outcome.token
            and known.attempts == outcome.attempts
        ):
            self._write(WritePurpose.SETTLE, outcome, self.handled_until)
        else:  # another leader went on with it
            self.step(now)

    def _open_occurrence(self, now: int) -> Occurrence | None:
        """An occurrence to go on with now."""
        for occurrence in self.occurrences.values():
            if occurrence.is_open and self.retry_at.get(occurrence.due_us, 0) <= now:
                return occurrence
        return None

    def _recover(self, occurrence: Occurrence, now: int) -> None:
        if self.unsent_intent == occurrence:  # our own intent, written after all, and never sent
            self._write_intent(occurrence, now)
            return
        match decide_recovery(self.rules, self.profile, occurrence, now):
            case GiveUp(reason):
                failed = occurrence._replace(state=OccurrenceState.FAILED, reason=reason)
                self._write(WritePurpose.SETTLE, failed, self.handled_until)
            case _:
                self._write_intent(occurrence._replace(attempts=occurrence.attempts + 1), now)

    def _begin_next(self, now: int) -> None:
        """Begin or skip what has become due."""
        due_us = self.calendar.after(self.handled_until)
        if due_us > now:
            return
        if self.off:
            self._skip_until(now, "off by the fleet's policy", now)
            return
        too_late = now - self.rules.window_us - 1
        if self._skip_until(too_late, "missed: nobody owned it, or the fleet was away", now):
            return
        if self.in_flight or any(occurrence.is_open for occurrence in self.occurrences.values()):
            if not self.rules.waits_for_previous:
                self._skip_until(now, "the last one still runs", now)
            return
        first = Occurrence(due_us, OccurrenceState.INTENT, self.token, attempts=1, member=self.member)
        self._write_intent(first, now)

    def _skip_until(self, until: int, reason: str, now: int) -> bool:
        """Skip what is due up to this time; whether there was any."""
        count, last_due = self.calendar.between(self.handled_until, until)
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
        self.out.append(SetBusy(True))
        self.retry_at.pop(intent.due_us, None)
        self._write(WritePurpose.INTENT, intent, max(self.handled_until, intent.due_us))

    def _write(self, purpose: WritePurpose, occurrence: Occurrence | None, handled_until: int) -> None:
        """Write under our token, and only over the record that we know."""
        self.serial += 1
        self.pending_write = PendingWrite(self.serial, purpose, occurrence)
        operations: list[Operation] = [
            Delete(occurrence_key(self.prefix, due_us)) for due_us in self._surplus_records()
        ]
        conditions: tuple[Condition, ...] = ()
        if occurrence:
            key = occurrence_key(self.prefix, occurrence.due_us)
            operations.append(Put(key, encode_occurrence(occurrence)))
            conditions = ((key, self.revisions.get(occurrence.due_us, 0)),)
        if handled_until > self.handled_until:
            operations.append(Put(self.prefix + HANDLED_UNTIL, str(handled_until)))
        self.out.append(WriteRecord(self.serial, self.token, tuple(operations), conditions))

    def _surplus_records(self) -> list[int]:
        """Due times of settled occurrences beyond those that are kept."""
        settled = sorted(due_us for due_us, occurrence in self.occurrences.items() if not occurrence.is_open)
        return settled[:-KEPT_RECORDS]

    def records_read(self, now: int, reply: Reply) -> None:
        """The reply to ReadRecords."""
        if not self.is_reading:
            return
        self.is_reading = False
        if reply.proof != Proof.DONE:
            self.pause_until = now + RETRY_DELAY_US
            return
        self.is_loaded = True
        self.handled_until = 0
        self.occurrences = {}
        self.revisions = {}
        for item in reply.items:
            name = item.key.removeprefix(self.prefix)
            occurrence = decode_occurrence(item.value) if name.startswith(OCCURRENCES) else None
            if name == HANDLED_UNTIL:
                self.handled_until = int(item.value)
            elif occurrence:
                self._remember(occurrence, item.revision)
        self.step(now)

    def _remember(self, occurrence: Occurrence, revision: int) -> None:
        self.occurrences[occurrence.due_us] = occurrence
        self.revisions[occurrence.due_us] = revision

    def record_written(self, now: int, serial: int, reply: Reply, may_act: bool) -> None:
        """The reply to a WriteRecord; may_act: whether the token still surely holds, now that it is known."""
        write = self.pending_write
        if write is None or write.serial != serial:
            return
        self.pending_write = None
        if reply.proof != Proof.DONE or not reply.succeeded:
            self._write_not_confirmed(write, now)
            return
        for due_us in self._surplus_records():
            del self.occurrences[due_us]
            del self.revisions[due_us]
        if write.occurrence is None:
            self.handled_until = now
        else:
            self._remember(write.occurrence, reply.revision)
            self.handled_until = max(self.handled_until, write.occurrence.due_us)
            self._record_confirmed(write.purpose, write.occurrence, now, may_act)
        self.step(now)

    def _write_not_confirmed(self, write: PendingWrite, now: int) -> None:
        """A write was refused, or may not have been carried out: the records are read anew."""
        settled = cast("Occurrence", write.occurrence)  # but for WritePurpose.START
        if write.purpose == WritePurpose.INTENT:  # whether or not it stands: no attempt was sent for it
            self.unsent_intent = write.occurrence
            self.out.append(SetBusy(False))
        elif write.purpose == WritePurpose.SETTLE and settled.due_us in self.occurrences:
            self.outcome = write.occurrence  # written again, unless a read shows that another went on with it
        self.is_loaded = False
        self.pause_until = now + RELOAD_DELAY_US

    def _record_confirmed(
        self, purpose: WritePurpose, occurrence: Occurrence, now: int, may_act: bool
    ) -> None:
        if purpose == WritePurpose.INTENT:
            if may_act:
                self._send(occurrence, now)
            else:  # it may be ours again soon, or another's: no attempt was sent
                self.unsent_intent = occurrence
                self.pause_until = now + RELOAD_DELAY_US
            return
        if purpose == WritePurpose.SETTLE:
            self.out.append(SetBusy(occurrence.is_open))
        self._log(
            LOG_LEVELS.get(occurrence.state, "info"),
            occurrence.state,
            due_us=occurrence.due_us,
            attempts=occurrence.attempts,
            reason=occurrence.reason,
            count=occurrence.count,
        )

    def _send(self, occurrence: Occurrence, now: int) -> None:
        """Send an attempt. One of a keyed command has to be over while engines know its key."""
        time_limit_us = self.profile.timeout_us
        if self.profile.idempotency == Idempotency.KEYED:
            until = deduplicated_until(self.rules, self.profile, occurrence)
            time_limit_us = min(time_limit_us, until - now)
        self.unsent_intent = None
        self.in_flight = occurrence
        if time_limit_us <= 0:
            self.attempt_ended(now, OccurrenceState.UNDONE, "no time was left")
            return
        key = idempotency_key(self.rules.name, occurrence.due_us)
        self.out.append(SendAttempt(occurrence.due_us, occurrence.attempts, key, now, time_limit_us))

    def attempt_ended(self, now: int, state: OccurrenceState, reason: str) -> None:
        """An attempt is over.

        state: ANSWERED, SHED (it had no effect), UNDONE (it was never taken) or FAILED (it may have run).
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
        # Otherwise the intent stands, and decide_recovery() says what may follow.
        self.step(now)

    def _log(self, level: str, text: str, **facts: Any) -> None:
        self.out.append(LogEvent(level, text, facts | {"command": self.rules.name, "token": self.token}))
