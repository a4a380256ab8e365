"""Mutants of the scheduled command logic: the walks have to find each of them.

A mutant that no walk finds shows a gap in the walks or their invariants.
"""

from dataclasses import replace

from gullhold.fleet.occurrence import Occurrence, OccurrenceState, idempotency_key
from gullhold.fleet.scheduled_command import ScheduledCommand, WritePurpose
from gullhold.fleet.scheduled_command_actions import SendAttempt
from gullhold.fleet.store_calls import Reply
from gullhold.testing import scheduled_command_explorer, walking


class SendsBeforeIntent(ScheduledCommand):
    """Sends an attempt before its intent is written."""

    def _write(self, purpose: WritePurpose, occurrence: Occurrence | None, handled_until: int) -> None:
        super()._write(purpose, occurrence, handled_until)
        if purpose == WritePurpose.INTENT and not self.in_flight:
            write = self.actions.pop()
            self._send(occurrence, occurrence.started_us)
            self.actions.append(write)


class RetriesAnyProfile(ScheduledCommand):
    """Repeats an attempt that may have run, whatever the command's idempotency."""

    def _recover(self, occurrence: Occurrence, now: int) -> None:
        self._write_intent(occurrence._replace(attempts=occurrence.attempts + 1), now)


class IgnoresDedupWindow(ScheduledCommand):
    """Gives each attempt the whole client timeout, however little is left of the deduplication window."""

    def _send(self, occurrence: Occurrence, now: int) -> None:
        super()._send(occurrence._replace(started_us=now), now)


class NewKeyPerAttempt(ScheduledCommand):
    """Makes a new idempotency key for each attempt."""

    def _send(self, occurrence: Occurrence, now: int) -> None:
        super()._send(occurrence, now)
        if self.actions and isinstance(self.actions[-1], SendAttempt):
            self.actions[-1] = replace(self.actions[-1], idempotency_key=idempotency_key(self.member, now))


class WritesUnconditionally(ScheduledCommand):
    """Writes records without the condition that they are as it last read them."""

    def _write(self, purpose: WritePurpose, occurrence: Occurrence | None, handled_until: int) -> None:
        super()._write(purpose, occurrence, handled_until)
        self.actions[-1] = replace(self.actions[-1], conditions=())

    def records_read(self, now: int, reply: Reply) -> None:
        """Keep the records that it remembers, whatever the store has."""
        remembered = dict(self.records.by_due_time)
        super().records_read(now, reply)
        self.records.by_due_time.update(remembered)


class TakesFailureForShed(ScheduledCommand):
    """Takes a failed attempt for one that was shed and so had no effect."""

    def attempt_ended(self, now: int, state: OccurrenceState, reason: str) -> None:
        """Handle a failure like a shed attempt."""
        taken_for = OccurrenceState.SHED if state == OccurrenceState.FAILED else state
        super().attempt_ended(now, taken_for, reason)


MUTANTS = (
    SendsBeforeIntent,
    RetriesAnyProfile,
    IgnoresDedupWindow,
    NewKeyPerAttempt,
    WritesUnconditionally,
    TakesFailureForShed,
)


def find_detecting_walk(mutant: type[ScheduledCommand], walks: int) -> walking.Finding | None:
    """Return the first walk that fails with a mutant; None: none of them does."""
    return walking.find_failing_walk(lambda seed: scheduled_command_explorer.walk(seed, make=mutant), walks)
