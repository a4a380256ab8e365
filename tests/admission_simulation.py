"""An admission queue between simulated clients and a simulated decision module, checked after each step.

Times are in microseconds.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from driver import profile

from gullhold.admission.queue import AdmissionQueue
from gullhold.admission.queued_command import CommandState
from gullhold.admission_interface import Forward, Reject
from gullhold.operator import records

MS = 1000
SECOND = 1_000_000
EXPIRY_INTERVAL_US = 20 * MS  # between two calls of expire()
COMMAND_BYTES = 100


def queue_record(text: str = "") -> records.AdmissionQueueRecord:
    """The admission queue's record, from the text of an operator file that is appended to a minimal one."""
    return records.read('door: {on: true, come_back: field: "retry_ms"}\n' + text, "test.cue").door


class Stage(Enum):
    """Where an open command is: in the queue, forwarded to the decision module, or running at an engine."""

    QUEUED = auto()
    FORWARDED = auto()
    RUNNING = auto()


class CommandEnd(Enum):
    """How a command ended."""

    ANSWERED = auto()
    REJECTED = auto()
    CLIENT_LEFT = auto()


@dataclass
class OpenCommand:
    """A command that is not answered yet; work: time for which it really runs."""

    client: bytes
    tenant: int
    profile_index: int
    ordering_key: int
    work: int
    timeout_at: int
    stage: Stage = Stage.QUEUED


class RunningAttempt(NamedTuple):
    """An open attempt at an engine."""

    ends_at: int
    command: int


class TimedResult(NamedTuple):
    """A result of the queue, and its time."""

    at: int
    result: Forward | Reject


class AdmissionSimulation:
    """Clients, an admission queue, and a decision module with `slots` attempts open at once.

    It keeps records of its own, and compares the queue with them after each step if `checked` is true.
    text: appended to the minimal operator file of queue_record(); weights: of the tenants; ordered: for each
    profile, whether commands with an ordering key must keep their order.
    """

    def __init__(
        self,
        text: str = "",
        weights: Sequence[float] = (0.6, 0.4),
        ordered: Sequence[bool] = (False, False),
        slots: int = 4,
        seed: int = 1,
        checked: bool = True,
    ) -> None:
        self.record = queue_record(text)
        self.slots = slots
        self.checked = checked
        self.ordered = ordered
        self.now = SECOND
        self.queue = AdmissionQueue(
            seed, self.record, weights, [profile(ordered=each) for each in ordered], 0, self.now
        )
        self.last_id = 0
        self.open_commands: dict[int, OpenCommand] = {}
        self.forwarded: list[int] = []  # command ids, in order
        self.running: list[RunningAttempt] = []
        self.ends: dict[int, CommandEnd] = {}
        self.clients: dict[int, bytes] = {}  # by command id, also of ended commands
        self.retry_after_us: dict[int, int] = {}  # of rejected commands
        self.work_done: Counter[bytes] = Counter()  # by client
        self.results: list[TimedResult] = []

    def submit(
        self,
        client: bytes = b"c:a",
        tenant: int = 0,
        profile_index: int = 0,
        ordering_key: int = 0,
        work: int = 50 * MS,
        estimate_factor: float = 1.0,
        timeout_us: int = 4 * SECOND,
        is_retry: bool = False,
    ) -> int:
        """Submit a new command; return its id. estimate_factor: its stated estimate divided by its work."""
        self.last_id += 1
        command_id = self.last_id
        timeout_at = self.now + timeout_us
        self.open_commands[command_id] = OpenCommand(
            client, tenant, profile_index, ordering_key, work, timeout_at
        )
        self.clients[command_id] = client
        estimate = int(work * estimate_factor)
        self.carry_out(
            self.queue.submit(
                self.now,
                command_id,
                tenant,
                client,
                profile_index,
                ordering_key,
                estimate,
                COMMAND_BYTES,
                timeout_at,
                is_retry,
            )
        )
        self.forward_all()
        return command_id

    def carry_out(self, results: Iterable[Forward | Reject]) -> None:
        """Check each result against the queue's guarantees, then carry it out."""
        for result in results:
            self.results.append(TimedResult(self.now, result))
            assert self.open_commands[result.command].stage is Stage.QUEUED, (
                f"second result for a command, which is not queued any more: {result}"
            )
            if isinstance(result, Forward):
                self._forward(result.command)
            else:
                assert isinstance(result, Reject)
                self._reject(result)

    def _forward(self, command_id: int) -> None:
        command = self.open_commands[command_id]
        if self.ordered[command.profile_index] and command.ordering_key:
            earlier = [
                other
                for other, row in self.open_commands.items()
                if other < command_id
                and row.stage is Stage.QUEUED
                and (row.profile_index, row.ordering_key) == (command.profile_index, command.ordering_key)
            ]
            assert not earlier, (
                f"command {command_id} was forwarded before commands {earlier}, which came earlier with the "
                f"same ordering key {command.ordering_key}"
            )
        command.stage = Stage.FORWARDED
        self.forwarded.append(command_id)
        rows = [self.open_commands[other] for other in self.forwarded]
        tenant_profile = (command.tenant, command.profile_index)
        assert sum((row.tenant, row.profile_index) == tenant_profile for row in rows) <= self.record.window
        assert len(self.forwarded) <= self.record.held

    def _reject(self, rejection: Reject) -> None:
        assert self.now <= self.open_commands[rejection.command].timeout_at, (
            f"command {rejection.command} was rejected at {self.now} us, after its client timeout at "
            f"{self.open_commands[rejection.command].timeout_at} us"
        )
        assert rejection.retry_after_us <= self.record.come_back.most
        self.retry_after_us[rejection.command] = rejection.retry_after_us
        self._end(rejection.command, CommandEnd.REJECTED)

    def _end(self, command_id: int, end: CommandEnd) -> None:
        self.ends[command_id] = end
        del self.open_commands[command_id]

    def forward_all(self) -> None:
        """Start attempts while slots are free, and let the queue forward, until nothing changes."""
        while True:
            while self.forwarded and len(self.running) < self.slots:
                command_id = self.forwarded.pop(0)
                command = self.open_commands[command_id]
                command.stage = Stage.RUNNING
                self.running.append(RunningAttempt(self.now + int(command.work), command_id))
                self.queue.attempt_sent(command_id)
            results = self.queue.take_ready(self.now)
            if not results:
                break
            self.carry_out(results)
        self.check()

    def wait(self, span_us: int) -> None:
        """Let time pass: attempts end and are answered, and the queue expires commands."""
        until = self.now + span_us
        while True:
            expiry_at = (self.now // EXPIRY_INTERVAL_US + 1) * EXPIRY_INTERVAL_US
            at = min([attempt.ends_at for attempt in self.running] + [expiry_at])
            if at > until:
                break
            self.now = at
            for attempt in [attempt for attempt in self.running if attempt.ends_at <= at]:
                self._answer(attempt)
            if at == expiry_at:
                self.carry_out(self.queue.expire(self.now))
            self.forward_all()
        self.now = until

    def _answer(self, attempt: RunningAttempt) -> None:
        self.running.remove(attempt)
        command = self.open_commands[attempt.command]
        self.work_done[command.client] += command.work
        self.queue.attempt_ended(self.now, attempt.command, int(command.work), True)
        self.queue.command_ended(self.now, attempt.command)
        self._end(attempt.command, CommandEnd.ANSWERED)

    def client_left(self, command_id: int) -> None:
        """Let the client of a command leave, at any stage of the command."""
        stage = self.open_commands[command_id].stage
        self.running = [attempt for attempt in self.running if attempt.command != command_id]
        self.forwarded = [other for other in self.forwarded if other != command_id]
        if stage is Stage.RUNNING:
            self.queue.attempt_ended(self.now, command_id, 0, True)
        self.queue.command_ended(self.now, command_id)
        self._end(command_id, CommandEnd.CLIENT_LEFT)
        self.forward_all()

    def check(self) -> None:
        """Compare the queue's counts and bounds with the records kept here."""
        if not self.checked:  # off in long runs, where it takes too long
            return
        queue = self.queue
        queued = [command for command in self.open_commands.values() if command.stage is Stage.QUEUED]
        assert queue.queued_count == len(queued) <= self.record.waiting
        assert set(queue.commands) == set(self.open_commands)
        assert queue.forwarded_count == len(self.forwarded)
        assert queue.queued_bytes == COMMAND_BYTES * len(queued)
        for command in queued:
            assert self.now <= command.timeout_at
        flows = [flow for queues in queue.flow_table.tenants.values() for flow in queues.flows.values()]
        blocked_count = sum(command.state is CommandState.BLOCKED for command in queue.commands.values())
        assert sum(flow.queued_count for flow in flows) + blocked_count == len(queued)
        exact_count = sum(flow.is_exact for flow in flows)
        assert exact_count == queue.flow_table.exact_flow_count <= self.record.exact
        if not self.open_commands:
            assert not queue.commands_by_key
            assert not queue.forwarded_by_tenant_profile
            assert not queue.forwarded_count


def keep_open(simulation: AdmissionSimulation, span_us: int, **clients: int) -> None:
    """Keep as many commands open for each client as it has in `clients`; work_done omits the first second."""
    until, is_counting = simulation.now + span_us, False
    while simulation.now < until:
        if not is_counting and simulation.now > until - span_us + SECOND:
            simulation.work_done.clear()
            is_counting = True
        open_by_client = Counter(command.client for command in simulation.open_commands.values())
        for client, target in clients.items():
            for _ in range(target - open_by_client[client.encode()]):
                simulation.submit(client.encode())
        simulation.wait(10 * MS)
