"""The connections to engines: which one an attempt uses, when one is opened, and how its end is handled."""

from typing import TYPE_CHECKING

from gullhold.interface import EngineState, Outcome
from gullhold.net import connection_ends, resp
from gullhold.net.client_limits import MAX_OPEN_REQUESTS
from gullhold.net.connection_ends import ConnectionEnd
from gullhold.net.engine_connection import Attempt, EngineConnection, EngineEndpoint
from gullhold.net.eventlog import EventKind, LoggedEvent
from gullhold.net.held_attempts import client_waits

if TYPE_CHECKING:
    from gullhold.net.core import Core

# Ends of a connection that may fail other attempts than the one that caused them.
DISORDERLY_ENDS = frozenset((ConnectionEnd.MALFORMED, ConnectionEnd.RESET, ConnectionEnd.SILENT))


class EnginePool:
    """All connections to engines. On the core's thread only, except for `holding_descriptor`.

    holding_descriptor: connections, also ended ones, whose descriptor is not closed yet; each is removed by
    its reader thread. max_connections: how many connections may hold a descriptor.
    """

    def __init__(self, core: "Core", max_connections: int) -> None:
        self.core = core
        self.agreement = core.agreement
        self.counters = core.counters
        self.max_connections = max_connections
        self.endpoints: dict[int, EngineEndpoint] = {}
        self.connections: set[EngineConnection] = set()
        self.holding_descriptor: set[EngineConnection] = set()

    def connection_for(self, engine_id: int, transaction_id: bytes) -> EngineConnection | None:
        """Return a connection for an attempt of this id, a new one if needed; None if none is available."""
        endpoint = self.endpoints.get(engine_id)
        if endpoint is None:
            return None
        max_streams = self.agreement.streams_per_connection
        usable = [
            connection
            for connection in endpoint.connections
            if connection.accepts(transaction_id, max_streams) and not self.is_idle(connection)
        ]
        # One attempt per connection while descriptors last, so that a malformed reply, a reset, or a request
        # that an engine can't read fails no other attempt. But some engines close a connection on which no
        # other attempt is open although pages or a fetch are still to come. An engine that closes connections
        # in an orderly way may be one of these, so a few attempts share a connection to it.
        max_open_if_preferred = self.core.limits.attempts_when_shared if endpoint.orderly_closes else 1
        preferred = [
            connection for connection in usable if len(connection.open_attempts) < max_open_if_preferred
        ]
        if preferred:  # the fullest; of idle ones the last used, so that the others can be closed as idle
            return max(preferred, key=lambda connection: (len(connection.open_attempts), connection.used_at))
        if len(self.holding_descriptor) < self.max_connections:
            return self._open_connection(endpoint)
        if usable:
            return min(usable, key=lambda connection: len(connection.open_attempts))
        self._close_idle_connections()
        return None

    def connection_up(self, connection: EngineConnection) -> None:
        """Send the attempts that wait for a connection which has just opened.

        They were decided a while ago: whatever may forbid one by now (the state of the engine, a client that
        left, the deadline, fencing tokens) is checked again right before its first byte is sent.
        """
        if connection.is_ended or connection.local_end or connection.connection is None:
            return
        self.counters.add("engine_connections_opened")
        for attempt in list(connection.open_attempts.values()):
            may_be_sent = self.may_be_sent(connection, attempt)
            if not may_be_sent and connection.write_buffer.withdraw(attempt.message):
                self.core.defer(self.core.attempts.not_sent, attempt)
        connection.write_buffer.attach(connection.connection)

    def may_be_sent(self, connection: EngineConnection, attempt: Attempt) -> bool:
        """Whether all that allowed an attempt when it was decided still does. From any thread.

        Asked right before its first byte is written, which may be long after the decision: its connection may
        open late, the engine may read slowly, or the process may have been suspended.
        """
        return (
            connection.endpoint.state == EngineState.READY
            and self.is_dispatch_valid(attempt)
            and client_waits(attempt, self.core.clock())
        )

    def is_dispatch_valid(self, attempt: Attempt) -> bool:
        """Whether the decision to send an attempt still holds, whatever its client does. From any thread."""
        endpoint = self.endpoints.get(attempt.engine)
        return (
            endpoint is not None
            and endpoint.state == EngineState.READY
            and self.core.clock() < attempt.send_until_us
            and self.core.are_tokens_valid(attempt.fencing_tokens)
        )

    def send_control(self, connection: EngineConnection, *strings: bytes) -> None:
        """Send a message other than a fetch: an abort, a health check, a request for a page.

        If it can't be queued the connection is closed: if an abort were lost, its attempt would run on.
        """
        if connection.write_buffer.put(resp.encode(*strings)) < 0 and not connection.is_ended:
            self.core.defer(self.drop, connection, ConnectionEnd.PEER_NOT_READING)

    def drop(self, connection: EngineConnection, end: ConnectionEnd, detail: str = "") -> None:
        """Close a connection from this side and end its attempts now."""
        connection.begin_close(end)
        self.connection_ended(connection, end, detail)

    def connection_ended(self, connection: EngineConnection, end: ConnectionEnd, detail: str) -> None:
        """Remove a connection that has ended, and end its attempts. Further calls do nothing."""
        if connection.is_ended:
            return
        connection.is_ended = True
        self.connections.discard(connection)
        connection.endpoint.connections.remove(connection)
        self.core.endpoint_list.forget_if_removed(connection.endpoint)
        self.counters.add(f"engine_connections_ended_{end.value}")
        self._update_orderly_closes(connection, end)
        self._log_close(connection, end, detail)
        self._end_attempts(connection, end)

    def is_idle(self, connection: EngineConnection) -> bool:
        """Whether a connection was idle for so long that the gateway closes it before the engine does."""
        if connection.open_attempts:
            return False
        idle_us = self.core.now - connection.used_at
        return 0 < self.agreement.idle_timeout_us < idle_us + 2 * self.core.limits.sweep_interval_us

    def _open_connection(self, endpoint: EngineEndpoint) -> EngineConnection | None:
        max_message_bytes = self.core.max_message_bytes
        connection = self.core.connect(
            endpoint, self.core, max_message_bytes, MAX_OPEN_REQUESTS * max_message_bytes, self.core.now
        )
        self.holding_descriptor.add(connection)
        try:
            connection.start()
        except RuntimeError:  # the reader thread can't be started
            self.holding_descriptor.discard(connection)
            self.counters.add("engine_connections_no_thread")
            return None
        endpoint.connections.append(connection)
        self.connections.add(connection)
        self.counters.peak("engine_connections", len(self.connections))
        return connection

    def _close_idle_connections(self) -> None:
        """Begin to close idle connections, so that a later attempt gets a descriptor."""
        for connection in self.connections:
            if not connection.open_attempts and not connection.is_ended:
                connection.begin_close(ConnectionEnd.RETIRED)
        self.counters.add("engine_connections_no_descriptor")

    @staticmethod
    def _update_orderly_closes(connection: EngineConnection, end: ConnectionEnd) -> None:
        """Record whether this engine closes its connections in an orderly way."""
        endpoint = connection.endpoint
        is_mid_array = end == ConnectionEnd.CLOSED_BY_PEER and connection.decoder.is_mid_array
        if is_mid_array or end in DISORDERLY_ENDS:
            endpoint.orderly_closes = max(0, endpoint.orderly_closes - 1)
        elif end == ConnectionEnd.CLOSED_BY_PEER:
            endpoint.orderly_closes += 1

    def _log_close(self, connection: EngineConnection, end: ConnectionEnd, detail: str) -> None:
        is_planned = end in (ConnectionEnd.IDLE, ConnectionEnd.RETIRED)
        is_routine = is_planned or (end == ConnectionEnd.CLOSED_BY_PEER and not connection.open_attempts)
        event = LoggedEvent(
            self.core.now,
            EventKind.CONNECTION_CLOSED,
            end.value,
            connection=f"engine {connection.endpoint.address}",
            old_state="open" if connection.connection else "connecting",
            new_state="closed",
            open=len(connection.open_attempts),
            detail=detail,
        )
        self.core.event_log.add(event, not is_routine)

    def _end_attempts(self, connection: EngineConnection, end: ConnectionEnd) -> None:
        """End the open attempts; if the gateway closed, only after the engine has had time to notice."""
        delay_us = self.agreement.connect_timeout_us if end in connection_ends.CAUSED_BY_GATEWAY else 0
        for attempt in list(connection.open_attempts.values()):
            outcome = self._outcome(connection, attempt, end)
            if delay_us > 0:
                del connection.open_attempts[attempt.pending.request.transaction_id]
                attempts = self.core.attempts
                attempts.call_later(attempt, self.core.now + delay_us, attempts.end, attempt, outcome)
            else:
                self.core.attempts.end(attempt, outcome)

    @staticmethod
    def _outcome(connection: EngineConnection, attempt: Attempt, end: ConnectionEnd) -> Outcome:
        is_written = attempt.end_offset > 0 and connection.write_buffer.is_written(attempt.end_offset)
        if attempt.is_discarded:
            return Outcome.NOT_STARTED
        outcome = connection_ends.attempt_outcome(is_written)
        if outcome == Outcome.CONNECT_FAILED and end in connection_ends.PEER_NOT_AT_FAULT:
            return Outcome.NOT_STARTED
        return outcome
