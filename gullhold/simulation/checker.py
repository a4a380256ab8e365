"""Checks the rules of a simulation from outside: what clients, engines and the discovery service observe.

It uses no state of the gateways but the sizes of their tables at the end. Rules: one answer to
each command, in time and with complete rows; no second run of a non-idempotent command, and no retry of a
command with an idempotency key outside its deduplication window; at most one open attempt, and at most the
agreed number of attempts; no new attempt at an engine that drains or was removed, or for a client that left,
after a grace period. Times are virtual, in us.
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

# Attempts may still be sent for this long after the notice that an engine leaves (the drain grace of the
# settings, 500 ms, and slack), or that a client has left.
DRAIN_GRACE_US = 550_000
CLIENT_LEFT_GRACE_US = 100_000
CLIENT_DELAY_US = 400  # one way between a client and its gateway
ANSWER_SLACK_US = 50_000  # an answer this long after its client timeout still counts as in time


class Rule(StrEnum):
    """The rules; the values are their names in reports and in the files of shrunk scripts."""

    OPEN_ONCE = "two at once"  # a command has at most one open attempt
    RUNS_ONCE = "must not run twice"  # a non-idempotent command does not run again
    DEDUPLICATION_WINDOW = "outside its window"  # no retry when engines may have forgotten the key
    MAX_ATTEMPTS = "over the cap"  # a command has at most the agreed number of attempts
    DRAIN = "drain"  # no new attempt at an engine that drains or was removed
    CLIENT_LEFT = "client gone"  # no new attempt for a client that left
    ONE_ANSWER = "one answer"  # each command is answered exactly once
    IN_TIME = "in time"  # a command is answered within its client timeout
    INTACT = "intact"  # an answer has exactly the rows of the command's result
    NO_LEFTOVERS = "census"  # at the end of a simulation the gateways' tables are empty


class Violation(NamedTuple):
    """A broken rule, when it was broken, and a line with details."""

    at_us: int
    rule: Rule
    text: str


class ObservedAttempt:
    """An attempt as its engine observes it; ran: the engine accepted it."""

    def __init__(self, at: int, session: "EngineSession", ran: bool) -> None:
        self.at = at
        self.session = session
        self.ran = ran
        self.is_over = not ran

    def is_open(self) -> bool:
        """Whether the attempt has not ended, and its gateway has not closed the connection to the engine."""
        return not self.is_over and not self.session.gateway_endpoint.is_finishing


class ObservedCommand:
    """A command as its client observes it. at: when it was sent."""

    def __init__(self, at: int, client: "SimulatedClient", verb: bytes, limit_us: int) -> None:
        self.at = at
        self.client = client
        self.verb = verb
        self.deadline = at + limit_us
        self.attempts: list[ObservedAttempt] = []
        self.answers = 0
        self.left_at: int | None = None  # time at which its gateway is notified that the client left
        self.is_gateway_killed = False  # the gateway was killed before its answer, so none is required


class Checker:
    """Records the events of a simulation and collects violations of the rules."""

    def __init__(self, clock: Clock, max_attempts: int, dedup_window_us: int) -> None:
        """max_attempts: of a command; dedup_window_us: the deduplication window of the engines."""
        self.clock = clock
        self.max_attempts = max_attempts
        self.dedup_window_us = dedup_window_us
        self.commands: dict[bytes, ObservedCommand] = {}
        self.violations: list[Violation] = []
        # When a gateway was notified that an engine drains or was removed, by gateway name and engine id.
        self.leaving: dict[tuple[str, str], int] = {}
        self.trace_hash = sha256()
        self.counts: defaultdict[str, int] = defaultdict(int)

    def record(self, event: str, *details: Any) -> None:
        """Add an event at the current time to the hash of the trace and to the counts."""
        self.trace_hash.update(repr((self.clock.now, event, *details)).encode())
        self.counts[event] += 1

    def add_violation(self, at: int, rule: Rule, text: str) -> None:
        """Add a violation of a rule. at: virtual time in us."""
        self.violations.append(Violation(at, rule, text))

    def phase_announced(self, gateway: "SimulatedGateway", engine_id: str, phase: str) -> None:
        """Record that a gateway was notified of an engine's phase."""
        self.record("told", gateway.name, engine_id, phase)
        if phase == "ready":
            self.leaving.pop((gateway.name, engine_id), None)
        else:
            self.leaving.setdefault((gateway.name, engine_id), self.clock.now)

    def command_sent(self, client: "SimulatedClient", txn: bytes, verb: bytes, limit_us: int) -> None:
        """Record that a client sent a command. limit_us: its client timeout."""
        self.record("asked", txn, verb)
        self.commands[txn] = ObservedCommand(self.clock.now, client, verb, limit_us)

    def attempt_arrived(
        self, session: "EngineSession", txn: bytes, key: bytes, written_at: int, ran: bool
    ) -> None:
        """Check an attempt that arrived at an engine.

        key: its idempotency key; written_at: when its gateway sent it; ran: the engine accepted it.
        """
        at = self.clock.now
        engine = session.engine
        self.record("fetched", engine.id, txn, ran)
        command = self.commands[txn]
        self._check_repeat(at, written_at, engine, txn, key)
        if len(command.attempts) >= self.max_attempts:
            self.add_violation(at, Rule.MAX_ATTEMPTS, f"{txn}: more than {self.max_attempts} attempts")
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
                text = f"{txn} {at - earlier[0].at} us after its first attempt"
                self.add_violation(at, Rule.DEDUPLICATION_WINDOW, text)

    def _check_leaving(self, at: int, written_at: int, engine: "SimulatedEngine", txn: bytes) -> None:
        command = self.commands[txn]
        notified_at = self.leaving.get((command.client.gateway.name, engine.id))
        if notified_at is not None and written_at > notified_at + DRAIN_GRACE_US:
            self.add_violation(
                at, Rule.DRAIN, f"{txn} to {engine.id}, {written_at - notified_at} us after the notice"
            )
        if command.left_at is not None and written_at > command.left_at + CLIENT_LEFT_GRACE_US:
            text = f"{txn}, {written_at - command.left_at} us after its client left"
            self.add_violation(at, Rule.CLIENT_LEFT, text)

    def attempt_over(self, engine: "SimulatedEngine", txn: bytes) -> None:
        """Record that an attempt ended at an engine, or was abandoned there."""
        self.record("over", engine.id, txn)
        for attempt in self.commands[txn].attempts:
            if attempt.session.engine is engine:
                attempt.is_over = True

    def answered(self, client: "SimulatedClient", txn: bytes | None, body: bytes | None) -> None:
        """Check an answer that a client received.

        txn: of the command, None if the sequence number is of no open command; body: the rows, None if the
        command was rejected or failed.
        """
        at = self.clock.now
        self.record("answered" if body is not None else "refused", txn)
        if txn is None:
            text = f"client {client.number}: an answer with the sequence number of no open command"
            self.add_violation(at, Rule.ONE_ANSWER, text)
            return
        command = self.commands[txn]
        command.answers += 1
        late_us = at - command.deadline - ANSWER_SLACK_US - 2 * CLIENT_DELAY_US
        if late_us > 0:
            self.add_violation(at, Rule.IN_TIME, f"{txn} {late_us} us late")
        if body is not None:
            self._check_result(at, txn, body)

    def _check_result(self, at: int, txn: bytes, body: bytes) -> None:
        if body != complete_result(txn):
            self.add_violation(at, Rule.INTACT, f"{txn}: {len(body)} bytes, not the rows of its result")
        if not any(attempt.ran for attempt in self.commands[txn].attempts):
            self.add_violation(at, Rule.INTACT, f"{txn}: no engine ran it")

    def client_left(self, client: "SimulatedClient", txns: Iterable[bytes]) -> None:
        """Record that a client closed its connection. txns: of its open commands.

        Its gateway is notified after the one-way delay.
        """
        self.record("left", client.number)
        for txn in txns:
            self.commands[txn].left_at = self.clock.now + CLIENT_DELAY_US

    def gateway_killed(self, gateway: "SimulatedGateway") -> None:
        """Record that a gateway was killed: its pending commands need no answer."""
        for command in self.commands.values():
            if command.client.gateway is gateway and not command.answers:
                command.is_gateway_killed = True

    def finish(self, gateways: Iterable["SimulatedGateway"]) -> list[Violation]:
        """Check that every command is answered and every table empty; return all violations."""
        for txn, command in self.commands.items():
            if not command.answers and command.left_at is None and not command.is_gateway_killed:
                self.add_violation(command.deadline, Rule.ONE_ANSWER, f"{txn} was not answered")
        for gateway in gateways:
            leftovers = gateway.leftover_sizes() if gateway.is_alive else None
            if leftovers:
                self.add_violation(self.clock.now, Rule.NO_LEFTOVERS, f"{gateway.name}: {leftovers}")
        return self.violations
