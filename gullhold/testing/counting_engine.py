"""A test engine that records start, end, threads, work and memory of each attempt."""

import socket
import time
from collections.abc import Mapping
from random import Random
from typing import Any

from gullhold.net import resp
from gullhold.testing.attempt_record import AttemptRecord
from gullhold.testing.recording_engine import RecordingEngine, fetch_fields
from gullhold.testing.working_engine import AttemptKey, work_ms_of

FAILURE_SEED_FACTOR = 7919  # makes the random failures independent of the random durations


class CountingEngine(RecordingEngine):
    """A working engine with a record of each attempt.

    attempts: all attempts in order; open: those that have not ended, by connection and txn.
    """

    def __init__(
        self,
        threads: Mapping[str, int] | None = None,
        runs_after_disconnect: bool = False,
        failure_rate: float = 0.0,
        seed: int = 1,
        **other: Any,
    ) -> None:
        """Start the engine.

        threads: threads of an attempt by its profile, 1 where not given; runs_after_disconnect: attempts
        whose connection ends run to their end, as in engines that notice late; failure_rate: fraction of
        fetches answered with an error at once; other: arguments of WorkingEngine.
        """
        self.attempts: list[AttemptRecord] = []
        self.open: dict[tuple[socket.socket, bytes], AttemptRecord] = {}
        self.threads = threads or {}
        self.runs_after_disconnect = runs_after_disconnect
        self.failure_rate = failure_rate
        self.draw_failure = Random(seed * FAILURE_SEED_FACTOR).random
        super().__init__(seed=seed, **other)

    def _receive(self, connection: socket.socket, words: list[bytes]) -> None:
        if words[0] != b"fetch" or self._record(connection, words):
            super()._receive(connection, words)
        else:
            connection.sendall(resp.encode(words[1], b"500", b"-", b""))

    def _record(self, connection: socket.socket, words: list[bytes]) -> bool:
        """Record a fetch; return whether the engine runs it, False if it is to be answered with an error."""
        fields = fetch_fields(words)
        record = AttemptRecord(
            started_at=time.time(),
            ended_at=None,
            threads=self.threads.get(fields[b"c"].decode(), 1),
            txn=words[1],
            work_ms=work_ms_of(words[3]),
            memory_mb=float(fields.get(b"mem", 0)),
        )
        with self.changed:
            self.attempts.append(record)
            fails = self.draw_failure() < self.failure_rate
            if fails:
                record.ended_at = record.started_at
            else:
                self.open[connection, record.txn] = record
        return not fails

    def _connection_ended(self, connection: socket.socket) -> None:
        if self.runs_after_disconnect:
            self._remove_queued(lambda key: key.connection is connection)
        else:
            super()._connection_ended(connection)

    def _ended(self, key: AttemptKey) -> None:
        record = self.open.pop(key, None)
        if record:
            record.ended_at = time.time()
