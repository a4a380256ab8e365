"""Periodic check of the engine connections: finds silent ones and closes those no longer needed."""

from math import isqrt
from typing import TYPE_CHECKING, NamedTuple

from gullhold.interface import Agreement, EngineState, Outcome
from gullhold.net import engine_protocol
from gullhold.net.connection_ends import ConnectionEnd
from gullhold.net.engine_connection import EngineConnection

if TYPE_CHECKING:
    from gullhold.net.core import Core

MIN_SWEEP_INTERVAL_US = 100_000  # shortest time between two checks, however short the connect timeout is


class ConnectionLimits(NamedTuple):
    """Intervals and limits for all engine connections, derived from the settings."""

    sweep_interval_us: int  # time between two checks of all connections: the connect timeout
    attempts_when_shared: int  # most attempts on one shared connection; few, so that few are lost with it
    silent_after_us: int  # a working connection with an open attempt gets a reply within this time
    lost_after_us: int  # time without replies by which two status notes are missing; 0: engines send none

    @classmethod
    def from_agreement(cls, agreement: Agreement) -> "ConnectionLimits":
        """Derive the limits from a deployment's settings."""
        sweep_interval_us = max(agreement.connect_timeout_us, MIN_SWEEP_INTERVAL_US)
        note_interval_us = agreement.status_interval_us
        silent_after_us = note_interval_us + sweep_interval_us
        return cls(
            sweep_interval_us=sweep_interval_us,
            attempts_when_shared=max(2, isqrt(agreement.streams_per_connection)),
            silent_after_us=silent_after_us,
            lost_after_us=silent_after_us + note_interval_us if note_interval_us else 0,
        )


class EngineHealth:
    """Checks all engine connections periodically. On the core's thread only."""

    def __init__(self, core: "Core") -> None:
        self.core = core
        self.limits = core.limits

    def schedule(self) -> None:
        """Schedule the next check."""
        self.core.call_later(self.core.now + self.limits.sweep_interval_us, self.sweep)

    def sweep(self) -> None:
        """Check all connections once, and schedule the next check."""
        self.schedule()
        for connection in list(self.core.pool.connections):
            if connection.connection is None:
                continue
            if connection.open_attempts:
                self._check_silence(connection)
            elif connection.is_retired or connection.endpoint.state != EngineState.READY:
                connection.begin_close(ConnectionEnd.RETIRED)
            elif self.core.pool.is_idle(connection):
                connection.begin_close(ConnectionEnd.IDLE)

    def _check_silence(self, connection: EngineConnection) -> None:
        now = self.core.now
        oldest_reply_at = min(attempt.last_reply_at for attempt in connection.open_attempts.values())
        silent_us = now - max(connection.last_reply_at, oldest_reply_at)
        lost_after_us = self.limits.lost_after_us
        if 0 < lost_after_us <= silent_us:
            self.core.pool.drop(connection, ConnectionEnd.SILENT)
        elif 0 < lost_after_us <= now - oldest_reply_at:
            self._abandon_lost_attempts(connection)
        elif silent_us >= self.limits.silent_after_us:
            self._probe(connection)

    def _abandon_lost_attempts(self, connection: EngineConnection) -> None:
        """Abandon attempts that got no reply for too long although their connection works."""
        for attempt in list(connection.open_attempts.values()):
            is_lost = self.core.now - attempt.last_reply_at >= self.limits.lost_after_us
            if is_lost and attempt.outcome_once_confirmed is None:
                self.core.counters.add("attempts_unanswered")
                self.core.attempts.abandon(attempt, Outcome.RESET)

    def _probe(self, connection: EngineConnection) -> None:
        """Send a health check: a connection to a machine that has vanished stays open but silent."""
        if not connection.probed_at:
            connection.probed_at = self.core.now
            self.core.pool.send_control(connection, engine_protocol.ALIVE, engine_protocol.ALIVE)
        elif self.core.now - connection.probed_at >= self.limits.silent_after_us:
            self.core.pool.drop(connection, ConnectionEnd.SILENT)
