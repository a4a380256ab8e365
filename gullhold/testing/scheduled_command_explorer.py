"""Checks the decisions on scheduled commands alone: leaders that vanish and wake, lost replies, all outcomes.

A CommandHarness runs one leader's command over a model of the store. A walk has several leaders over one
store, of which only the newest has the current fencing token.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from gullhold.fleet.calendar import Calendar
from gullhold.fleet.clocks import US_PER_SECOND
from gullhold.fleet.occurrence import Occurrence, OccurrenceState
from gullhold.fleet.recovery import ScheduledCommandRules, ScheduledProfile
from gullhold.fleet.role_state import LogEvent
from gullhold.fleet.scheduled_command import ScheduledCommand
from gullhold.fleet.scheduled_command_actions import ReadRecords, SendAttempt, WriteRecord
from gullhold.fleet.store_calls import Delete, KeyValue, Operation, Proof, Put, Reply
from gullhold.fleet.store_schema import decode_occurrence, is_occurrence_key
from gullhold.interface import Idempotency
from gullhold.testing.walking import InvariantError

PROFILES = tuple(
    ScheduledProfile(idempotency, 3 * US_PER_SECOND, 2 * US_PER_SECOND, True) for idempotency in Idempotency
)
RULES = ScheduledCommandRules("a", 60 * US_PER_SECOND, 3, False, 100_000)
NO_EFFECT = (OccurrenceState.SHED, OccurrenceState.NOT_SENT)
START_US = 1000 * US_PER_SECOND + 1
FIRST_TOKEN = 4
MAX_STEP_US = 900_000  # that passes in one step of a walk

# Of a walk's steps: up to each bound, of a random fraction.
TAKEOVER_BELOW = 0.12  # another takes over; who led before sleeps, and may wake
LOST_REPLY_BELOW = 0.3
TIME_BELOW = 0.6

MakeCommand = Callable[..., ScheduledCommand]


class Store:
    """A model of the store, for one command. next_write: what becomes of the next write, if not DONE."""

    def __init__(self) -> None:
        """Nothing is in it."""
        self.items: dict[str, tuple[str, int]] = {}  # value and revision, by key
        self.revision = 1
        self.token = FIRST_TOKEN  # of the leader
        self.next_write: Proof | None = None

    def read(self, prefix: str) -> Reply:
        """All keys with a prefix."""
        found = [
            KeyValue(key, value, revision)
            for key, (value, revision) in sorted(self.items.items())
            if key.startswith(prefix)
        ]
        return Reply(Proof.DONE, self.revision, items=tuple(found))

    def write(self, action: WriteRecord) -> Reply:
        """A transaction under a token; an occurrence that is settled may not change."""
        succeeded = action.token == self.token and all(
            self._revision_of(key) == revision for key, revision in action.conditions
        )
        proof = self.next_write
        self.next_write = None
        if proof == Proof.NOT_DONE:
            return Reply(Proof.NOT_DONE)
        if succeeded:
            self.revision += 1
            for operation in action.operations:
                self._apply(operation)
        if proof:
            return Reply(Proof.UNKNOWN)
        return Reply(Proof.DONE, self.revision, succeeded=succeeded)

    def _revision_of(self, key: str) -> int:
        return self.items[key][1] if key in self.items else 0

    def _apply(self, operation: Operation) -> None:
        match operation:
            case Delete(key):
                self.items.pop(key, None)
            case Put(key, value):
                self._check_change(key, value)
                self.items[key] = (value, self.revision)

    def _check_change(self, key: str, value: str) -> None:
        if key not in self.items or not is_occurrence_key(key):
            return
        old_value = self.items[key][0]
        old = decode_occurrence(old_value)
        if old and not old.is_open and value != old_value:
            raise InvariantError(f"{old.state} became {decode_occurrence(value).state}")

    def records(self) -> list[Occurrence]:
        """All occurrences that are kept."""
        return [
            decode_occurrence(value)
            for key, (value, _) in sorted(self.items.items())
            if is_occurrence_key(key)
        ]


class CommandHarness:
    """A command over a store, step by step; the attempts that it sends and its log are kept."""

    def __init__(
        self,
        profile: ScheduledProfile,
        rules: ScheduledCommandRules = RULES,
        store: Store | None = None,
        member: str = "n0",
        make: MakeCommand = ScheduledCommand,
    ) -> None:
        """store: shared with other harnesses, or None for one of its own."""
        self.store = store or Store()
        self.now = START_US  # Unix us
        self.sent: list[SendAttempt] = []
        self.logged: list[LogEvent] = []
        self.command = make(rules, profile, Calendar("", "UTC", US_PER_SECOND), member)
        self.may_act = True

    def lead(self) -> "CommandHarness":
        """It leads the role, under the store's token."""
        self.command.won(self.store.token, self.now)
        return self.advance()

    def advance(self, us: int = 0) -> "CommandHarness":
        """Time passes, and all that is asked for is done."""
        self.now += us
        self.command.step(self.now)
        while actions := self.command.take_actions():
            for action in actions:
                self._carry_out(action)
        return self

    def _carry_out(self, action: Any) -> None:
        match action:
            case ReadRecords(prefix):
                self.command.records_read(self.now, self.store.read(prefix))
            case WriteRecord(serial):
                reply = self.store.write(action)
                self.command.record_written(self.now, serial, reply, self.may_act)
            case SendAttempt():
                self.sent.append(action)
            case LogEvent():
                self.logged.append(action)

    def end_attempt(self, state: OccurrenceState, reason: str = "") -> "CommandHarness":
        """The attempt that is out is over."""
        self.command.attempt_ended(self.now, state, reason)
        return self.advance()

    def states(self) -> list[tuple[int, str]]:
        """(due in s, state) of each occurrence."""
        return [(item.due_us // US_PER_SECOND, item.state) for item in self.store.records()]


@dataclass
class Attempt:
    """An attempt that some leader sent; state None: it is not over."""

    sent: SendAttempt
    state: OccurrenceState | None = None


@dataclass
class Attempts:
    """All attempts of a walk, by due time of their occurrence."""

    by_due: dict[int, list[Attempt]] = field(default_factory=dict)


class CheckedCommandHarness(CommandHarness):
    """Checks each attempt when it is sent, beside all that other leaders sent before it."""

    def __init__(self, profile: ScheduledProfile, attempts: Attempts, **other: Any) -> None:
        """attempts: of all leaders."""
        super().__init__(profile, **other)
        self.profile = profile
        self.attempts = attempts

    def advance(self, us: int = 0) -> "CheckedCommandHarness":
        """As a CommandHarness, then check what was sent."""
        already_sent = len(self.sent)
        super().advance(us)
        for attempt in self.sent[already_sent:]:
            self._check(attempt)
        return self

    def _check(self, attempt: SendAttempt) -> None:
        records = {item.due_us: item for item in self.store.records()}
        record = records.get(attempt.due_us)
        if record is None or record.attempts < attempt.attempt:
            raise InvariantError("a send without its intent")
        earlier = self.attempts.by_due.setdefault(attempt.due_us, [])
        self._check_earlier(attempt, [other for other in earlier if other.state not in NO_EFFECT])
        if len(earlier) >= RULES.max_attempts:
            raise InvariantError(f"{len(earlier) + 1} sends of one occurrence")
        earlier.append(Attempt(attempt))

    def _check_earlier(self, attempt: SendAttempt, may_have_run: list[Attempt]) -> None:
        """may_have_run: earlier attempts of the occurrence that may have had an effect."""
        if not may_have_run:
            return
        match self.profile.idempotency:
            case Idempotency.NON_IDEMPOTENT:
                raise InvariantError("a non-replayable one is sent again though it may have run")
            case Idempotency.KEYED:
                if any(other.sent.idempotency_key != attempt.idempotency_key for other in may_have_run):
                    raise InvariantError("a uniqued one is sent again under another mark")
                known_until = may_have_run[0].sent.sent_at + self.profile.dedup_window_us
                if attempt.sent_at + attempt.time_limit_us > known_until:
                    raise InvariantError("a uniqued one may run when its mark is forgotten")

    def end_attempt(self, state: OccurrenceState, reason: str = "") -> "CheckedCommandHarness":
        """What became of the attempt is kept."""
        self.attempts.by_due[self.command.in_flight.due_us][-1].state = state
        return super().end_attempt(state, reason)


class Walk:
    """One random walk of several leaders; raises InvariantError."""

    def __init__(self, seed: int, make: MakeCommand) -> None:
        """make: makes each leader's command."""
        self.random = random.Random(seed)
        self.make = make
        self.profile = PROFILES[seed % len(PROFILES)]
        self.store = Store()
        self.attempts = Attempts()
        self.numbers = count()
        self.harnesses = [self._new_harness().lead()]

    def _new_harness(self) -> CheckedCommandHarness:
        member = f"n{next(self.numbers)}"
        return CheckedCommandHarness(
            self.profile, self.attempts, store=self.store, member=member, make=self.make
        )

    def step(self) -> None:
        """One thing drawn by chance."""
        drawn = self.random.random()
        first = self.harnesses[0]
        last = self.harnesses[-1]
        if drawn < TAKEOVER_BELOW:
            self._take_over(last.now)
        elif drawn < LOST_REPLY_BELOW:
            self.store.next_write = self.random.choice((Proof.UNKNOWN, Proof.NOT_DONE))
        elif drawn < TIME_BELOW:
            self._pass_time(self.random.randrange(MAX_STEP_US))
        elif last.command.in_flight:
            states = (OccurrenceState.ANSWERED, OccurrenceState.FAILED, OccurrenceState.SHED)
            last.end_attempt(self.random.choice(states))
        elif first.command.in_flight and first is not last:
            first.end_attempt(OccurrenceState.ANSWERED)

    def _take_over(self, now: int) -> None:
        harness = self._new_harness()
        self.harnesses.append(harness)
        self.store.token += 1
        harness.now = now
        harness.lead()

    def _pass_time(self, us: int) -> None:
        for harness in self.harnesses:
            harness.may_act = harness is self.harnesses[-1]
            harness.advance(us)


def walk(seed: int, steps: int = 60, make: MakeCommand = ScheduledCommand) -> None:
    """One random walk; raises InvariantError."""
    one = Walk(seed, make)
    for _ in range(steps):
        one.step()
