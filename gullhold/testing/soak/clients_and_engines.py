"""Clients and engines of the soak test, which record what they send and receive. Times are monotonic s."""

import socket
import time
from dataclasses import dataclass, field
from random import Random
from threading import Lock, Thread
from typing import Any, NamedTuple

from gullhold.net import thrift
from gullhold.testing.client import BlockingClient
from gullhold.testing.soak.plan import Plan
from gullhold.testing.working_engine import WorkingEngine, statement

PROFILES = ("read", "mark", "once")
MAX_OPEN_REQUESTS = 16  # open requests of one connection
WORK_MS = (2.0, 20.0, 60.0)  # work of a command; one is chosen at random


class TimedAnswer(NamedTuple):
    """An answer and the time at which the client read it."""

    at: float
    result: bytes | str


@dataclass
class RequestRecord:
    """One request as its client saw it.

    left_at: when the client closed its connection with the request open; connection_ended_at: when the
    connection ended with the request open; both None otherwise.
    """

    txn: bytes
    profile: str
    written_at: float
    timeout_s: float
    answers: list[TimedAnswer] = field(default_factory=list)
    left_at: float | None = None
    connection_ended_at: float | None = None


class TimedFetch(NamedTuple):
    """A command that an engine received. engine: its number."""

    at: float
    txn: bytes
    engine: int


class SoakClient:
    """A client that sends commands on one connection after another until it is stopped.

    may_connect: whether it opens another connection when one has ended.
    """

    def __init__(self, address: tuple[str, int], number: int, plan: Plan) -> None:
        self.address = address
        self.plan = plan
        self.draw = Random(f"{plan.seed} {number}")
        self.records: list[RequestRecord] = []
        self.is_stopped = False
        self.may_connect = True
        self._thread = Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to send commands."""
        self._thread.start()

    def stop(self) -> None:
        """Send no more commands."""
        self.is_stopped = True

    def join(self, timeout_s: float) -> None:
        """Wait until the client's connection has ended."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self.is_stopped and self.may_connect:
            try:
                blocking_client = BlockingClient(self.address)
            except OSError:
                time.sleep(self.plan.pause_s)
                continue
            _SoakConnection(self, blocking_client).run()


class _SoakConnection:
    """One connection of a client; the client's thread writes, and another thread reads until the end.

    open, answered: requests by sequence number.
    """

    def __init__(self, client: SoakClient, blocking_client: BlockingClient) -> None:
        self.client = client
        self.blocking_client = blocking_client
        self.lock = Lock()
        self.open: dict[int, RequestRecord] = {}
        self.answered: dict[int, RequestRecord] = {}
        self.has_ended = False
        self.left_at: float | None = None

    def run(self) -> None:
        blocking_client = self.blocking_client
        blocking_client.sock.settimeout(None)
        reader = Thread(target=self._read, daemon=True)
        reader.start()
        try:
            while not self.has_ended and not self.client.is_stopped:
                if len(self.open) < MAX_OPEN_REQUESTS:
                    self._send_command()
                if self.open and self.client.draw.random() < self.client.plan.leave_chance:
                    self._leave()
                    break
                time.sleep(self.client.plan.pause_s)
        except OSError:
            pass  # the connection has ended
        reader.join(self.client.plan.timeout_s + 2.0)
        ended_at = time.monotonic()
        for record in self.open.values():
            record.connection_ended_at = record.connection_ended_at or ended_at
        blocking_client.sock.close()

    def _send_command(self) -> None:
        client = self.client
        draw = client.draw
        profile = draw.choice(PROFILES)
        txn = b"%016x" % draw.getrandbits(64)
        record = RequestRecord(txn, profile, time.monotonic(), client.plan.timeout_s)
        with self.lock:
            self.open[self.blocking_client.seq + 1] = record
        client.records.append(record)
        self.blocking_client.send_command(
            profile,
            int(client.plan.timeout_s * 1000),
            txn=txn,
            body=statement(draw.choice(WORK_MS)),
            client=b"soak",
        )

    def _leave(self) -> None:
        """Close the connection with requests open; the reading thread ends at once."""
        now = time.monotonic()
        with self.lock:
            for record in self.open.values():
                record.left_at = now
        self.blocking_client.sock.shutdown(socket.SHUT_RDWR)

    def _read(self) -> None:
        try:
            while (answer := self.blocking_client.read_answer()) is not None:
                self._record_answer(answer.sequence_number, TimedAnswer(time.monotonic(), answer.result))
        except (OSError, thrift.ProtocolError):
            pass
        ended_at = time.monotonic()
        self.has_ended = True
        with self.lock:
            for record in self.open.values():
                record.connection_ended_at = ended_at

    def _record_answer(self, sequence_number: int, answer: TimedAnswer) -> None:
        with self.lock:
            record = self.open.pop(sequence_number, None) or self.answered.get(sequence_number)
            if record is not None:
                self.answered[sequence_number] = record
                record.answers.append(answer)


class SoakEngine(WorkingEngine):
    """A working engine that records the fetches it receives. hangs: whether it answers nothing any more."""

    def __init__(self, number: int, seed: int) -> None:
        self.number = number
        self.fetches: list[TimedFetch] = []
        self.hangs = False
        super().__init__(slots=16, spread=0.2, seed=seed)

    def _receive(self, connection: socket.socket, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            self.fetches.append(TimedFetch(time.monotonic(), words[1], self.number))
        if not self.hangs:
            super()._receive(connection, words)

    def _answer(self, end: Any) -> None:
        if not self.hangs:
            super()._answer(end)
