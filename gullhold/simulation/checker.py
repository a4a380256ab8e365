"""Judges a simulation by what passed on its streams alone; it shares no bookkeeping with what it judges.

Rules: one answer to each command, in time, its rows complete; no retry of what must not run twice, or of a
keyed command outside its deduplication window; never two attempts open at once; no more attempts than the
cap; nothing new to an engine that left, nor for a client that left, after the grace of each. Times in us.
"""

from collections import defaultdict
from collections.abc import Iterable
from enum import StrEnum
from hashlib import sha256
from typing import TYPE_CHECKING, Any, NamedTuple

from gullhold.simulation.clock import Clock
from gullhold.simulation.peers import Client, Conn, Engine, pages_of, rows

if TYPE_CHECKING:
    from gullhold.simulation.gateway import Member

GRACE_US = 550_000  # from the notice that an engine leaves to the last attempt that may begin, with slack
GONE_US = 100_000  # from the notice that a client left to the last attempt that may begin for it
CLIENT_DELAY_US = 400  # one way between a client and its gateway
SLACK_US = 50_000  # on sockets, beyond a client timeout


class Rule(StrEnum):
    """The rules, by the names that reports and scripts have for them."""

    OPEN_ONCE = "two at once"
    RUNS_ONCE = "must not run twice"
    DEDUPLICATION_WINDOW = "outside its window"
    ATTEMPTS_CAP = "over the cap"
    DRAIN = "drain"
    CLIENT_LEFT = "client gone"
    ONE_ANSWER = "one answer"
    IN_TIME = "in time"
    INTACT = "intact"
    CENSUS = "census"


class Violation(NamedTuple):
    """A rule that broke, when, and a line about it."""

    at_us: int
    rule: Rule
    text: str


class ObservedAttempt:
    """One attempt as it came to an engine; ran: not rejected."""

    def __init__(self, at: int, engine: Engine, conn: Conn, ran: bool) -> None:
        self.at = at
        self.engine = engine
        self.conn = conn
        self.ran = ran
        self.is_over = not ran

    def is_open(self) -> bool:
        """Whether it still is: not ended here, and its gateway has not closed the connection."""
        return not self.is_over and not self.conn.near.finishing


class ObservedCommand:
    """One command as its client sees it."""

    def __init__(self, at: int, client: Client, verb: bytes, limit_us: int) -> None:
        self.at = at
        self.client = client
        self.verb = verb
        self.until = at + limit_us
        self.attempts: list[ObservedAttempt] = []
        self.answers = 0
        self.left_at: int | None = None
        self.is_void = False  # its gateway was killed: it is owed no answer


class Checker:
    """What was seen so far, and the violations."""

    def __init__(self, clock: Clock, attempts_cap: int, window_us: int) -> None:
        """window_us: the deduplication window of the engines."""
        self.clock = clock
        self.attempts_cap = attempts_cap
        self.window_us = window_us
        self.commands: dict[bytes, ObservedCommand] = {}
        self.broken: list[Violation] = []
        self.leaving: dict[tuple[str, str], int] = {}  # by gateway and engine: when it was notified
        self.hash = sha256()
        self.counts: defaultdict[str, int] = defaultdict(int)

    def seen(self, at: int, event: str, *details: Any) -> None:
        """Add an event to the trace."""
        self.hash.update(repr((at, event, *details)).encode())
        self.counts[event] += 1

    def breaks(self, at: int, rule: Rule, text: str) -> None:
        """A rule broke."""
        self.broken.append(Violation(at, rule, text))

    def told(self, at: int, member: "Member", ident: str, phase: str) -> None:
        """A gateway was notified of an engine's state."""
        self.seen(at, "told", member.name, ident, phase)
        if phase == "ready":
            self.leaving.pop((member.name, ident), None)
        else:
            self.leaving.setdefault((member.name, ident), at)

    def asked(self, at: int, client: Client, txn: bytes, verb: bytes, limit_us: int) -> None:
        """A client wrote a command."""
        self.seen(at, "asked", txn, verb)
        self.commands[txn] = ObservedCommand(at, client, verb, limit_us)

    def fetched(
        self, at: int, written_at: int, engine: Engine, conn: Conn, txn: bytes, mark: bytes, ran: bool
    ) -> None:
        """An attempt arrived at an engine; mark: its idempotency key."""
        self.seen(at, "fetched", engine.id, txn, ran)
        command = self.commands[txn]
        self._check_repeat(at, written_at, engine, txn, mark)
        if len(command.attempts) >= self.attempts_cap:
            self.breaks(at, Rule.ATTEMPTS_CAP, f"{txn}")
        self._check_leaving(at, written_at, engine, txn)
        command.attempts.append(ObservedAttempt(at, engine, conn, ran))

    def _check_repeat(self, at: int, written_at: int, engine: Engine, txn: bytes, mark: bytes) -> None:
        command = self.commands[txn]
        earlier = [attempt for attempt in command.attempts if attempt.ran]
        if any(attempt.is_open() for attempt in command.attempts):
            self.breaks(at, Rule.OPEN_ONCE, f"{txn} at {engine.id}")
        if earlier and command.verb == b"once":
            self.breaks(at, Rule.RUNS_ONCE, f"{txn} at {engine.id}")
        if earlier and command.verb == b"mark":
            is_too_late = written_at >= earlier[0].at + self.window_us
            if is_too_late or not mark:
                text = f"{txn} {at - earlier[0].at} us after its first"
                self.breaks(at, Rule.DEDUPLICATION_WINDOW, text)

    def _check_leaving(self, at: int, written_at: int, engine: Engine, txn: bytes) -> None:
        command = self.commands[txn]
        left = self.leaving.get((command.client.member.name, engine.id))
        if left is not None and written_at > left + GRACE_US:
            self.breaks(at, Rule.DRAIN, f"{txn} to {engine.id}, {written_at - left} us after the word")
        if command.left_at is not None and written_at > command.left_at + GONE_US:
            text = f"{txn}, {written_at - command.left_at} us after it left"
            self.breaks(at, Rule.CLIENT_LEFT, text)

    def over(self, at: int, engine: Engine, txn: bytes) -> None:
        """An attempt ended at an engine, or was given up there."""
        self.seen(at, "over", engine.id, txn)
        for attempt in self.commands[txn].attempts:
            if attempt.engine is engine:
                attempt.is_over = True

    def answered(self, at: int, client: Client, txn: bytes | None, body: bytes | None) -> None:
        """An answer came to a client; txn: None: to nothing open; body: None: rejected, or failed."""
        self.seen(at, "answered" if body is not None else "refused", txn)
        if txn is None:
            text = f"client {client.number}: an answer to nothing that is open"
            self.breaks(at, Rule.ONE_ANSWER, text)
            return
        command = self.commands[txn]
        command.answers += 1
        late_us = at - command.until - SLACK_US - 2 * CLIENT_DELAY_US
        if late_us > 0:
            self.breaks(at, Rule.IN_TIME, f"{txn} {late_us} us late")
        if body is None:
            return
        if body != b"".join(rows(txn, page) for page in range(pages_of(txn))):
            self.breaks(at, Rule.INTACT, f"{txn}: {len(body)} bytes")
        if not any(attempt.ran for attempt in command.attempts):
            self.breaks(at, Rule.INTACT, f"{txn}: no engine made it")

    def left(self, at: int, client: Client, txns: Iterable[bytes]) -> None:
        """A client closed; its gateway is notified a one-way delay later."""
        self.seen(at, "left", client.number)
        for txn in txns:
            self.commands[txn].left_at = at + CLIENT_DELAY_US

    def killed(self, member: "Member") -> None:
        """A gateway was killed: what it held is owed no answer."""
        for command in self.commands.values():
            if command.client.member is member and not command.answers:
                command.is_void = True

    def finish(self, members: Iterable["Member"]) -> list[Violation]:
        """At the end: every command had its answer, and no table holds anything."""
        for txn, command in self.commands.items():
            if not command.answers and command.left_at is None and not command.is_void:
                self.breaks(command.until, Rule.ONE_ANSWER, f"{txn} never had one")
        for member in members:
            found = member.left_over() if member.alive else None
            if found:
                self.breaks(self.clock.now, Rule.CENSUS, f"{member.name}: {found}")
        return self.broken
