"""The periodic look at connections to engines: those that fell silent, and those no longer needed."""

from math import isqrt
from typing import TYPE_CHECKING, NamedTuple

from gullhold.interface import Agreement, EngineState, Outcome
from gullhold.net import engine_protocol
from gullhold.net.connection_ends import ConnectionEnd
from gullhold.net.engine_connection import EngineConnection

if TYPE_CHECKING:
    from gullhold.net.core import Core

MIN_SWEEP_INTERVAL_US = 100_000  # us between looks, at the least


class ConnectionLimits(NamedTuple):
    """Times and numbers that hold for all connections to engines, from the settings."""

    sweep_interval_us: int  # between looks: the time to come up
    attempts_when_shared: int  # on a shared connection: few connections, few attempts lost with one
    silent_after_us: int  # a connection with an attempt out says something by then
    lost_after_us: int  # two notes missed: none will come; 0: engines send no notes

    @classmethod
    def from_agreement(cls, agreement: Agreement) -> "ConnectionLimits":
        """The limits that follow from a deployment's settings."""
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
    """Looks at all connections to engines from time to time. On the core's thread only."""

    def __init__(self, core: "Core") -> None:
        self.core = core
        self.limits = core.limits

    def schedule(self) -> None:
        """Look again when the interval is over."""
        self.core.call_later(self.core.now + self.limits.sweep_interval_us, self.sweep)

    def sweep(self) -> None:
        """Look at all connections once."""
        self.schedule()
        for connection in list(self.core.pool.connections):
            if connection.connection is None:
                continue
            if connection.open:
                self._check_silence(connection)
            elif connection.is_retired or connection.endpoint.state != EngineState.READY:
                connection.begin_close(ConnectionEnd.RETIRED)
            elif self.core.pool.is_idle(connection):
                connection.begin_close(ConnectionEnd.IDLE)

    def _check_silence(self, connection: EngineConnection) -> None:
        now = self.core.now
        oldest_reply_at = min(attempt.last_reply_at for attempt in connection.open.values())
        silent_us = now - max(connection.last_reply_at, oldest_reply_at)
        lost_after_us = self.limits.lost_after_us
        if 0 < lost_after_us <= silent_us:
            self.core.pool.drop(connection, ConnectionEnd.SILENT)
        elif 0 < lost_after_us <= now - oldest_reply_at:
            self._stop_lost_attempts(connection)
        elif silent_us >= self.limits.silent_after_us:
            self._probe(connection)

    def _stop_lost_attempts(self, connection: EngineConnection) -> None:
        """Guards against an answer that never comes, or comes after its time, on a connection that works."""
        for attempt in list(connection.open.values()):
            is_lost = self.core.now - attempt.last_reply_at >= self.limits.lost_after_us
            if is_lost and attempt.outcome_once_confirmed is None:
                self.core.counters.add("answers lost")
                self.core.attempts.stop(attempt, Outcome.RESET)

    def _probe(self, connection: EngineConnection) -> None:
        """Guards against a machine that vanished or was cut off: its connections stay open and silent."""
        if not connection.probed_at:
            connection.probed_at = self.core.now
            self.core.pool.send_control(connection, engine_protocol.ALIVE, engine_protocol.ALIVE)
        elif self.core.now - connection.probed_at >= self.limits.silent_after_us:
            self.core.pool.drop(connection, ConnectionEnd.SILENT)
