"""Explores the scheduled command logic without I/O: leaders that take over, lost replies, all outcomes.

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
NO_EFFECT = (OccurrenceState.SHED, OccurrenceState.NOT_SENT)  # outcomes that prove that nothing ran
START_US = 1000 * US_PER_SECOND + 1
FIRST_TOKEN = 4
MAX_STEP_US = 900_000  # longest time that passes in one step of a walk

# Each step of a walk draws a fraction, and takes the first of these actions whose bound is above it.
TAKEOVER_BELOW = 0.12  # another leader takes over; former leaders go on, with an old token
LOST_REPLY_BELOW = 0.3  # the reply to the next write is lost, or the write is not executed
TIME_BELOW = 0.6  # time advances; above it, an attempt ends

MakeCommand = Callable[..., ScheduledCommand]


class Store:
    """A model of the store, for one command.

    token: the fencing token of the current leader; next_write: None if the next write is executed and
    answered, UNKNOWN if its reply is lost, NOT_DONE if it is not executed.
    """

    def __init__(self) -> None:
        """Begin with an empty store."""
        self.items: dict[str, tuple[str, int]] = {}  # value and revision, by key
        self.revision = 1
        self.token = FIRST_TOKEN
        self.next_write: Proof | None = None

    def read(self, prefix: str) -> Reply:
        """Return all keys with a prefix."""
        found = [
            KeyValue(key, value, revision)
            for key, (value, revision) in sorted(self.items.items())
            if key.startswith(prefix)
        ]
        return Reply(Proof.DONE, self.revision, items=tuple(found))

    def write(self, action: WriteRecord) -> Reply:
        """Execute a transaction under a token; raises InvariantError if it changes a settled occurrence."""
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
            raise InvariantError(
                f"{key}: {old.state} became {decode_occurrence(value).state}, "
                "but an occurrence that has ended must not change"
            )

    def records(self) -> list[Occurrence]:
        """Return all occurrences in the store, in order of their keys."""
        return [
            decode_occurrence(value)
            for key, (value, _) in sorted(self.items.items())
            if is_occurrence_key(key)
        ]


class CommandHarness:
    """Runs one leader's command over a model of the store.

    sent, logged: the attempts and log events that the command requested; may_act: whether the member's lease
    still allows effects when the reply to a write arrives.
    """

    def __init__(
        self,
        profile: ScheduledProfile,
        rules: ScheduledCommandRules = RULES,
        store: Store | None = None,
        member: str = "n0",
        make: MakeCommand = ScheduledCommand,
    ) -> None:
        """store: shared with other harnesses, or None for a new one."""
        self.store = store or Store()
        self.now = START_US  # Unix us
        self.sent: list[SendAttempt] = []
        self.logged: list[LogEvent] = []
        self.command = make(rules, profile, Calendar("", "UTC", US_PER_SECOND), member)
        self.may_act = True

    def lead(self) -> "CommandHarness":
        """Make the command's member the leader, under the store's current token."""
        self.command.won(self.store.token, self.now)
        return self.advance()

    def advance(self, us: int = 0) -> "CommandHarness":
        """Let time advance, and carry out all actions of the command."""
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
        """End the attempt in flight with an outcome."""
        self.command.attempt_ended(self.now, state, reason)
        return self.advance()

    def states(self) -> list[tuple[int, str]]:
        """Return (due time in s, state) of each occurrence."""
        return [(item.due_us // US_PER_SECOND, item.state) for item in self.store.records()]


@dataclass
class Attempt:
    """An attempt that a leader sent; state None: it has not ended."""

    sent: SendAttempt
    state: OccurrenceState | None = None


@dataclass
class Attempts:
    """All attempts of a walk, by due time of their occurrence."""

    by_due: dict[int, list[Attempt]] = field(default_factory=dict)


class CheckedCommandHarness(CommandHarness):
    """Checks each attempt when it is sent, against the earlier attempts of all leaders."""

    def __init__(self, profile: ScheduledProfile, attempts: Attempts, **other: Any) -> None:
        """attempts: of all leaders, shared between their harnesses."""
        super().__init__(profile, **other)
        self.profile = profile
        self.attempts = attempts

    def advance(self, us: int = 0) -> "CheckedCommandHarness":
        """Advance, then check the attempts that were sent."""
        already_sent = len(self.sent)
        super().advance(us)
        for attempt in self.sent[already_sent:]:
            self._check(attempt)
        return self

    def _check(self, attempt: SendAttempt) -> None:
        records = {item.due_us: item for item in self.store.records()}
        record = records.get(attempt.due_us)
        if record is None or record.attempts < attempt.attempt:
            raise InvariantError(
                f"attempt {attempt.attempt} of the occurrence due at {attempt.due_us} us was sent "
                "without a stored record of it"
            )
        earlier = self.attempts.by_due.setdefault(attempt.due_us, [])
        self._check_earlier(attempt, [other for other in earlier if other.state not in NO_EFFECT])
        if len(earlier) >= RULES.max_attempts:
            raise InvariantError(
                f"{len(earlier) + 1} attempts of the occurrence due at {attempt.due_us} us, "
                f"of at most {RULES.max_attempts}"
            )
        earlier.append(Attempt(attempt))

    def _check_earlier(self, attempt: SendAttempt, may_have_run: list[Attempt]) -> None:
        """Check a repeated attempt; may_have_run: earlier attempts that may have had an effect."""
        if not may_have_run:
            return
        match self.profile.idempotency:
            case Idempotency.NON_IDEMPOTENT:
                raise InvariantError(
                    f"the non-idempotent occurrence due at {attempt.due_us} us is sent again "
                    "though it may have run"
                )
            case Idempotency.KEYED:
                if any(other.sent.idempotency_key != attempt.idempotency_key for other in may_have_run):
                    raise InvariantError(
                        f"the keyed occurrence due at {attempt.due_us} us is sent again under another "
                        "idempotency key"
                    )
                known_until = may_have_run[0].sent.sent_at + self.profile.dedup_window_us
                if attempt.sent_at + attempt.time_limit_us > known_until:
                    raise InvariantError(
                        f"the keyed occurrence due at {attempt.due_us} us may run after engines forgot its "
                        f"idempotency key at {known_until} us"
                    )

    def end_attempt(self, state: OccurrenceState, reason: str = "") -> "CheckedCommandHarness":
        """Record the outcome of the attempt, then end it."""
        self.attempts.by_due[self.command.in_flight.due_us][-1].state = state
        return super().end_attempt(state, reason)


class Walk:
    """A random walk of several leaders, of which the last in `harnesses` is the current one."""

    def __init__(self, seed: int, make: MakeCommand) -> None:
        """make: the class of the leaders' commands, or a mutant of it."""
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
        """Carry out one random action; raises InvariantError."""
        drawn = self.random.random()
        earliest = self.harnesses[0]
        current = self.harnesses[-1]
        if drawn < TAKEOVER_BELOW:
            self._take_over(current.now)
        elif drawn < LOST_REPLY_BELOW:
            self.store.next_write = self.random.choice((Proof.UNKNOWN, Proof.NOT_DONE))
        elif drawn < TIME_BELOW:
            self._advance_time(self.random.randrange(MAX_STEP_US))
        elif current.command.in_flight:
            states = (OccurrenceState.ANSWERED, OccurrenceState.FAILED, OccurrenceState.SHED)
            current.end_attempt(self.random.choice(states))
        elif earliest.command.in_flight and earliest is not current:
            earliest.end_attempt(OccurrenceState.ANSWERED)

    def _take_over(self, now: int) -> None:
        harness = self._new_harness()
        self.harnesses.append(harness)
        self.store.token += 1
        harness.now = now
        harness.lead()

    def _advance_time(self, us: int) -> None:
        for harness in self.harnesses:
            harness.may_act = harness is self.harnesses[-1]
            harness.advance(us)


def walk(seed: int, steps: int = 60, make: MakeCommand = ScheduledCommand) -> None:
    """Take one random walk; raises InvariantError."""
    random_walk = Walk(seed, make)
    for _ in range(steps):
        random_walk.step()
