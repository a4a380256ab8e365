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
from gullhold.simulation.result_rows import complete_result

if TYPE_CHECKING:
    from gullhold.simulation.client import SimulatedClient
    from gullhold.simulation.engine import EngineSession, SimulatedEngine
    from gullhold.simulation.gateway import SimulatedGateway

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
    """One attempt as it arrived at an engine; ran: the engine did not reject it."""

    def __init__(self, at: int, session: "EngineSession", ran: bool) -> None:
        self.at = at
        self.session = session
        self.ran = ran
        self.is_over = not ran

    def is_open(self) -> bool:
        """Whether it has not ended, and its gateway has not closed the connection."""
        return not self.is_over and not self.session.gateway_endpoint.is_finishing


class ObservedCommand:
    """One command as its client sees it."""

    def __init__(self, at: int, client: "SimulatedClient", verb: bytes, limit_us: int) -> None:
        self.at = at
        self.client = client
        self.verb = verb
        self.until = at + limit_us
        self.attempts: list[ObservedAttempt] = []
        self.answers = 0
        self.left_at: int | None = None
        self.is_void = False  # its gateway was killed: it needs no answer


class Checker:
    """Records what passes and collects violations."""

    def __init__(self, clock: Clock, attempts_cap: int, dedup_window_us: int) -> None:
        """dedup_window_us: the deduplication window of the engines."""
        self.clock = clock
        self.attempts_cap = attempts_cap
        self.dedup_window_us = dedup_window_us
        self.commands: dict[bytes, ObservedCommand] = {}
        self.violations: list[Violation] = []
        self.leaving: dict[tuple[str, str], int] = {}  # by gateway and engine: when it was notified
        self.hash = sha256()
        self.counts: defaultdict[str, int] = defaultdict(int)

    def record(self, event: str, *details: Any) -> None:
        """Add an event of this instant to the trace and to the counts."""
        self.hash.update(repr((self.clock.now, event, *details)).encode())
        self.counts[event] += 1

    def add_violation(self, at: int, rule: Rule, text: str) -> None:
        """A rule was broken at this time (us)."""
        self.violations.append(Violation(at, rule, text))

    def phase_announced(self, gateway: "SimulatedGateway", engine_id: str, phase: str) -> None:
        """A gateway was notified of an engine's phase."""
        self.record("told", gateway.name, engine_id, phase)
        if phase == "ready":
            self.leaving.pop((gateway.name, engine_id), None)
        else:
            self.leaving.setdefault((gateway.name, engine_id), self.clock.now)

    def command_sent(self, client: "SimulatedClient", txn: bytes, verb: bytes, limit_us: int) -> None:
        """A client sent a command."""
        self.record("asked", txn, verb)
        self.commands[txn] = ObservedCommand(self.clock.now, client, verb, limit_us)

    def attempt_arrived(
        self, session: "EngineSession", txn: bytes, key: bytes, written_at: int, ran: bool
    ) -> None:
        """An attempt arrived at an engine; key: its idempotency key; written_at: when its gateway sent it."""
        at = self.clock.now
        engine = session.engine
        self.record("fetched", engine.id, txn, ran)
        command = self.commands[txn]
        self._check_repeat(at, written_at, engine, txn, key)
        if len(command.attempts) >= self.attempts_cap:
            self.add_violation(at, Rule.ATTEMPTS_CAP, f"{txn}")
        self._check_leaving(at, written_at, engine, txn)
        command.attempts.append(ObservedAttempt(at, session, ran))

    def _check_repeat(
        self, at: int, written_at: int, engine: "SimulatedEngine", txn: bytes, key: bytes
    ) -> None:
        command = self.commands[txn]
        earlier = [attempt for attempt in command.attempts if attempt.ran]
        if any(attempt.is_open() for attempt in command.attempts):
            self.add_violation(at, Rule.OPEN_ONCE, f"{txn} at {engine.id}")
        if earlier and command.verb == b"once":
            self.add_violation(at, Rule.RUNS_ONCE, f"{txn} at {engine.id}")
        if earlier and command.verb == b"mark":
            is_too_late = written_at >= earlier[0].at + self.dedup_window_us
            if is_too_late or not key:
                text = f"{txn} {at - earlier[0].at} us after its first"
                self.add_violation(at, Rule.DEDUPLICATION_WINDOW, text)

    def _check_leaving(self, at: int, written_at: int, engine: "SimulatedEngine", txn: bytes) -> None:
        command = self.commands[txn]
        left = self.leaving.get((command.client.gateway.name, engine.id))
        if left is not None and written_at > left + GRACE_US:
            self.add_violation(at, Rule.DRAIN, f"{txn} to {engine.id}, {written_at - left} us after the word")
        if command.left_at is not None and written_at > command.left_at + GONE_US:
            text = f"{txn}, {written_at - command.left_at} us after it left"
            self.add_violation(at, Rule.CLIENT_LEFT, text)

    def attempt_over(self, engine: "SimulatedEngine", txn: bytes) -> None:
        """An attempt ended at an engine, or was abandoned there."""
        self.record("over", engine.id, txn)
        for attempt in self.commands[txn].attempts:
            if attempt.session.engine is engine:
                attempt.is_over = True

    def answered(self, client: "SimulatedClient", txn: bytes | None, body: bytes | None) -> None:
        """A client received an answer; txn: None: to nothing open; body: None: rejected, or failed."""
        at = self.clock.now
        self.record("answered" if body is not None else "refused", txn)
        if txn is None:
            text = f"client {client.number}: an answer to nothing that is open"
            self.add_violation(at, Rule.ONE_ANSWER, text)
            return
        command = self.commands[txn]
        command.answers += 1
        late_us = at - command.until - SLACK_US - 2 * CLIENT_DELAY_US
        if late_us > 0:
            self.add_violation(at, Rule.IN_TIME, f"{txn} {late_us} us late")
        if body is not None:
            self._check_result(at, txn, body)

    def _check_result(self, at: int, txn: bytes, body: bytes) -> None:
        if body != complete_result(txn):
            self.add_violation(at, Rule.INTACT, f"{txn}: {len(body)} bytes")
        if not any(attempt.ran for attempt in self.commands[txn].attempts):
            self.add_violation(at, Rule.INTACT, f"{txn}: no engine made it")

    def client_left(self, client: "SimulatedClient", txns: Iterable[bytes]) -> None:
        """A client closed with these open; its gateway is notified a one-way delay later."""
        self.record("left", client.number)
        for txn in txns:
            self.commands[txn].left_at = self.clock.now + CLIENT_DELAY_US

    def gateway_killed(self, gateway: "SimulatedGateway") -> None:
        """A gateway was killed: its pending commands need no answer."""
        for command in self.commands.values():
            if command.client.gateway is gateway and not command.answers:
                command.is_void = True

    def finish(self, gateways: Iterable["SimulatedGateway"]) -> list[Violation]:
        """The violations, once every command should be answered and every table empty."""
        for txn, command in self.commands.items():
            if not command.answers and command.left_at is None and not command.is_void:
                self.add_violation(command.until, Rule.ONE_ANSWER, f"{txn} never had one")
        for gateway in gateways:
            found = gateway.leftover_sizes() if gateway.is_alive else None
            if found:
                self.add_violation(self.clock.now, Rule.CENSUS, f"{gateway.name}: {found}")
        return self.violations
