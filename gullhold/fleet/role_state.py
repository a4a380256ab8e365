"""The base class of roles that keep state in the store: read it, watch it, and write it one call at a time.

A role is a part of the fleet's work that one member at a time leads. Each kind of role is a subclass of
RoleState, which handles reads and changes of its keys and decides what to write next. Performs no I/O.
"""

from dataclasses import dataclass
from itertools import count
from typing import Any

from gullhold.fleet.store_calls import Condition, Operation, Proof, Reply

IDLE_STEP_US = 2_000_000  # us between steps while nothing is due; each event causes a step of its own
RETRY_US = 200_000  # us until the next call after one that was not certainly carried out

CallSerial = tuple[int, int]  # (fencing token, number of the call under this token)


@dataclass(frozen=True, slots=True)
class ReadKeys:
    """Action: read all keys with the prefix; the reply goes to read()."""

    serial: CallSerial
    prefix: str


@dataclass(frozen=True, slots=True)
class WriteKeys:
    """Action: carry the operations out if the role is led under this token and the conditions hold.

    The reply goes to written().
    """

    serial: CallSerial
    token: int
    operations: tuple[Operation, ...]
    conditions: tuple[Condition, ...]


@dataclass(frozen=True, slots=True)
class WatchKeys:
    """Action: watch the role's keys from this revision on; each change goes to changed()."""

    revision: int


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Action: write a log line. facts: its fields."""

    level: str
    text: str
    facts: dict[str, Any]


RoleAction = ReadKeys | WriteKeys | WatchKeys | LogEvent


class RoleState:
    """The state of one role on one member.

    take_actions() returns RoleActions; due() is when to step() next. All times are us of a monotonic clock. A
    kind of role implements the hooks _on_loaded(), _on_key_changed(), _write_next(), _next_write_at() and
    _write_confirmed().

    token: fencing token, 0 while this member does not lead the role. reading, writing: serials of the calls
    under way. is_loaded: the keys have been read and are kept up to date. newest_revision: the newest one of
    the store that was seen; min_read_revision: what it was when the read was sent, so that a reply with an
    older revision is stale. early_changes: changes that arrived before the reply to the read.
    """

    def __init__(self, prefix: str) -> None:
        """prefix: the start of all the role's keys."""
        self.prefix = prefix
        self.token = 0
        self.serials = count(1)
        self.actions: list[RoleAction] = []
        self.reading: CallSerial | None = None
        self.writing: CallSerial | None = None
        self.retry_at = 0
        self.is_loaded = False
        self.newest_revision = 0
        self.min_read_revision = 0
        self.early_changes: list[tuple[str, str | None, int]] = []  # arguments of changed()

    def take_actions(self) -> list[RoleAction]:
        """Return the actions to carry out now, in order."""
        actions = self.actions
        self.actions = []
        return actions

    def won(self, token: int, now: int) -> None:
        """Start to lead the role under this fencing token: read its keys."""
        self.token = token
        self.serials = count(1)
        self.writing = None
        self.reading = None
        self.is_loaded = False
        self.retry_at = 0
        self.step(now)

    def lost(self) -> None:
        """Stop, as this member may not lead the role any more."""
        self.token = 0
        self.is_loaded = False
        self.writing = None
        self.reading = None

    def due(self, now: int) -> int:
        """When to step() next, unless an event comes first."""
        if not self.token or self.reading or self.writing:
            return now + IDLE_STEP_US
        if not self.is_loaded:
            return max(now, self.retry_at)
        at = self._next_write_at(now)
        return now + IDLE_STEP_US if at is None else max(now, at, self.retry_at)

    def step(self, now: int) -> None:
        """Read or write what is due, unless a call is under way or a retry is delayed."""
        if not self.token or self.reading or self.writing or now < self.retry_at:
            return
        if self.is_loaded:
            self._write_next(now)
        else:
            self.reading = (self.token, next(self.serials))
            self.early_changes = []
            self.min_read_revision = self.newest_revision
            self.actions.append(ReadKeys(self.reading, self.prefix))

    def written(self, now: int, serial: CallSerial, reply: Reply) -> None:
        """Handle the reply to WriteKeys; unless it shows the stored values, all keys are read again."""
        if self.writing != serial:
            return
        self.writing = None
        if reply.proof == Proof.DONE:
            self.newest_revision = max(self.newest_revision, reply.revision)
        else:
            self.retry_at = now + RETRY_US
        matches_store = reply.proof == Proof.DONE and self._write_confirmed(reply)
        self.is_loaded = matches_store and self.is_loaded
        self.step(now)

    def read(self, now: int, serial: CallSerial, reply: Reply) -> None:
        """Take the reply to ReadKeys."""
        if not self.token or self.reading != serial:
            return
        self.reading = None
        # Guards against a stale read: it lacks changes that the watch has reported and will not repeat.
        if reply.proof != Proof.DONE or reply.revision < self.min_read_revision:
            self.retry_at = now + RETRY_US
            return
        self.newest_revision = max(self.newest_revision, reply.revision)
        self.is_loaded = True
        self._on_loaded(now, reply)
        self.actions.append(WatchKeys(reply.revision + 1))
        for change in self.early_changes:
            self.changed(now, *change)
        self.step(now)

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """Take a change of a key. value: None if it was deleted."""
        self.newest_revision = max(self.newest_revision, revision)
        if self.reading:
            self.early_changes.append((key, value, revision))
        if self.is_loaded and self._on_key_changed(now, key, value, revision):
            self.step(now)

    def watch_gap(self, now: int) -> None:
        """Have all keys read again, as the watch has missed changes."""
        self.is_loaded = False
        self.step(now)

    def _write(self, operations: list[Operation], conditions: tuple[Condition, ...]) -> None:
        self.writing = (self.token, next(self.serials))
        self.actions.append(WriteKeys(self.writing, self.token, tuple(operations), conditions))

    def _on_loaded(self, now: int, reply: Reply) -> None:
        """Replace what is known by the keys that were read."""
        raise NotImplementedError

    def _on_key_changed(self, now: int, key: str, value: str | None, revision: int) -> bool:
        """Take a change of a key after the read; return whether a step is due."""
        raise NotImplementedError

    def _write_next(self, now: int) -> None:
        """Write what is due, if anything, by one call of _write()."""
        raise NotImplementedError

    def _next_write_at(self, now: int) -> int | None:
        """When _write_next() is to be called; None if nothing is to be written."""
        raise NotImplementedError

    def _write_confirmed(self, reply: Reply) -> bool:
        """Take the reply to a write, carried out or refused; return False if all keys must be read again."""
        raise NotImplementedError
