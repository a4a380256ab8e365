"""The keys of a role while this member leads it: read, followed from there, written call by call.

Decisions only. A role is a piece of the fleet's work with one leader at a time; each kind of role says what
to make of what was read, of what changed, and what is to be written next.
"""

from dataclasses import dataclass
from itertools import count
from typing import Any

from gullhold.fleet.store_calls import Condition, Operation, Proof, Reply

IDLE_STEP_US = 2_000_000  # us between steps while nothing happens: every event makes a step of its own
RETRY_US = 200_000  # us until the next attempt after a reply that proves nothing

CallSerial = tuple[int, int]  # (fencing token, number under it)


@dataclass(frozen=True, slots=True)
class ReadKeys:
    """Action: read all keys with the prefix; answered by read()."""

    serial: CallSerial
    prefix: str


@dataclass(frozen=True, slots=True)
class WriteKeys:
    """Action: carry the operations out while the role is led under this token and the conditions hold.

    Answered by written().
    """

    serial: CallSerial
    token: int
    operations: tuple[Operation, ...]
    conditions: tuple[Condition, ...]


@dataclass(frozen=True, slots=True)
class WatchKeys:
    """Action: follow changes of the role's keys from this revision on; each comes to changed()."""

    revision: int


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Action: an event for the log, with its facts as fields."""

    level: str
    text: str
    facts: dict[str, Any]


RoleAction = ReadKeys | WriteKeys | WatchKeys | LogEvent


class RoleState:
    """A role's keys while this member leads it.

    take_actions() hands out RoleActions; due() is when to step(). All times are us of a monotonic clock. A
    kind of role implements the hooks _on_loaded(), _on_key_changed(), _write_next(), _next_write_at() and
    _write_confirmed().
    """

    def __init__(self, root: str) -> None:
        """root: the prefix of the role's keys."""
        self.root = root
        self.token = 0  # 0: this member does not lead the role
        self.serials = count(1)
        self.out: list[RoleAction] = []
        self.reading: CallSerial | None = None  # serials of the calls under way
        self.writing: CallSerial | None = None
        self.again_at = 0
        self.loaded = False
        self.newest = 0  # newest revision heard of ...
        self.known = 0  # ... and what it was when the read was asked for
        self.early: list[tuple[str, str | None, int]] = []  # changes that came before the reply to a read

    def take_actions(self) -> list[RoleAction]:
        """What is to be done now, in order."""
        out = self.out
        self.out = []
        return out

    def won(self, token: int, now: int) -> None:
        """This member leads the role, under this fencing token."""
        self.token = token
        self.serials = count(1)
        self.writing = None
        self.reading = None
        self.loaded = False
        self.again_at = 0
        self.step(now)

    def lost(self) -> None:
        """The leadership is not certain any more: nothing is written."""
        self.token = 0
        self.loaded = False
        self.writing = None
        self.reading = None

    def due(self, now: int) -> int:
        """When to step at the latest."""
        if not self.token or self.reading or self.writing:
            return now + IDLE_STEP_US
        if not self.loaded:
            return max(now, self.again_at)
        at = self._next_write_at(now)
        return now + IDLE_STEP_US if at is None else max(now, at, self.again_at)

    def step(self, now: int) -> None:
        """Do what is next, if nothing is under way."""
        if not self.token or self.reading or self.writing or now < self.again_at:
            return
        if self.loaded:
            self._write_next(now)
        else:
            self.reading = (self.token, next(self.serials))
            self.early = []
            self.known = self.newest
            self.out.append(ReadKeys(self.reading, self.root))

    def written(self, now: int, serial: CallSerial, reply: Reply) -> None:
        """The reply to WriteKeys; where it leaves open what stands, everything is read anew."""
        if self.writing != serial:
            return
        self.writing = None
        if reply.proof == Proof.DONE:
            self.newest = max(self.newest, reply.revision)
        else:
            self.again_at = now + RETRY_US
        is_known = reply.proof == Proof.DONE and self._write_confirmed(reply)
        self.loaded = is_known and self.loaded
        self.step(now)

    def read(self, now: int, serial: CallSerial, reply: Reply) -> None:
        """The reply to ReadKeys."""
        if not self.token or self.reading != serial:
            return
        self.reading = None
        # Guards against a stale read: what it does not show is not notified again.
        if reply.proof != Proof.DONE or reply.revision < self.known:
            self.again_at = now + RETRY_US
            return
        self.newest = max(self.newest, reply.revision)
        self.loaded = True
        self._on_loaded(now, reply)
        self.out.append(WatchKeys(reply.revision + 1))
        for change in self.early:
            self.changed(now, *change)
        self.step(now)

    def changed(self, now: int, key: str, value: str | None, revision: int) -> None:
        """A key changed; value None: it was deleted."""
        self.newest = max(self.newest, revision)
        if self.reading:
            self.early.append((key, value, revision))
        if self.loaded and self._on_key_changed(now, key, value, revision):
            self.step(now)

    def missed(self, now: int) -> None:
        """Changes were missed: everything is read anew."""
        self.loaded = False
        self.step(now)

    def _write(self, operations: list[Operation], conditions: tuple[Condition, ...]) -> None:
        self.writing = (self.token, next(self.serials))
        self.out.append(WriteKeys(self.writing, self.token, tuple(operations), conditions))

    def _on_loaded(self, now: int, reply: Reply) -> None:
        """All keys were read."""
        raise NotImplementedError

    def _on_key_changed(self, now: int, key: str, value: str | None, revision: int) -> bool:
        """A key changed after the read; whether that calls for a step."""
        raise NotImplementedError

    def _write_next(self, now: int) -> None:
        """Write what is due, if anything, with _write()."""
        raise NotImplementedError

    def _next_write_at(self, now: int) -> int | None:
        """When _write_next() would write at the latest; None: nothing is to be written."""
        raise NotImplementedError

    def _write_confirmed(self, reply: Reply) -> bool:
        """A write was carried out or refused; whether what stands in the store is still known."""
        raise NotImplementedError
