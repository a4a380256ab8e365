"""A gateway on virtual time: the product's core, decisions, connections and parsers, no threads, no sockets.

Two things replace the threads: a connection's endpoint passes arriving bytes to it, and an event of the
simulation's clock runs the core when a call was posted to it or a timer is due. All else is the product's
code.
"""

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING

from gullhold.decisions.gateway import Gateway
from gullhold.net import event_stream, list_change
from gullhold.net.client_connection import ClientConnection
from gullhold.net.client_input import HandledInput
from gullhold.net.configuration import Configuration
from gullhold.net.connection import Connection
from gullhold.net.connection_ends import ConnectionEnd, ProtocolError
from gullhold.net.core import Core
from gullhold.net.counters import Counters
from gullhold.net.engine_connection import EngineConnection
from gullhold.net.receive_memory import ReceiveMemory
from gullhold.net.request_reader import RequestReader
from gullhold.net.statement_memory import StatementMemory
from gullhold.simulation.clock import Event
from gullhold.simulation.endpoints import Endpoint
from gullhold.simulation.streams import StreamEnd

if TYPE_CHECKING:
    from gullhold.simulation.simulation import Simulation

MAX_MESSAGE_BYTES = 192 << 10  # limit of a small deployment
MAX_CONNECTIONS = 200  # connections of one gateway to engines
STATEMENT_MEMORY_BYTES = 24 << 20  # limit of the statements of pending requests
RECEIVE_MEMORY_BYTES = 12 << 20  # limit of messages of clients that are not complete yet
MAX_DISCOVERY_LINE_BYTES = 1 << 20  # limit of one line from the discovery service
CONNECTION_SERIALS = count()  # hashes of connections, so that sets of them have the same order in every run


class EndpointSocket:
    """The part of a socket's interface that connections use, implemented by an endpoint."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint

    def send(self, data: bytes | memoryview, _flags: int = 0) -> int:
        """Write all the bytes: the endpoint buffers those that the stream does not take."""
        self.endpoint.write(bytes(data))
        return len(data)

    def shutdown(self, _sides: int) -> None:
        """End this side after the buffered bytes, whichever sides are to be shut down."""
        self.endpoint.finish(StreamEnd.CLOSED)

    def close(self) -> None:
        """End this side after the buffered bytes, as closing a socket does."""
        self.endpoint.finish(StreamEnd.CLOSED)

    def setsockopt(self, *_option: object) -> None:
        """Do nothing: endpoints have no socket options."""


class SimulatedEngineConnection(EngineConnection):
    """A connection to an engine; its endpoint calls it in place of a reader thread."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.serial = next(CONNECTION_SERIALS)
        self.has_reported_end = False  # whether the core was notified of the end of reading

    def __hash__(self) -> int:  # sets of connections have the same order in every run
        return self.serial

    def __eq__(self, other: object) -> bool:
        return self is other

    def start(self) -> None:
        """Connect over the network, which calls connect_succeeded() or report_end() later."""
        self.core.simulation.network.connect(self)

    def connect_succeeded(self, endpoint: Endpoint) -> None:
        """Attach the endpoint of the new connection, unless the connection was closed in the meantime."""
        if not self.connected(Connection(EndpointSocket(endpoint))):
            self.report_end(self.local_end)

    def begin_close(self, end: ConnectionEnd) -> None:
        """Close it from the gateway's side; the end of reading is reported by an event, as by a thread."""
        super().begin_close(end)
        if self.connection is not None:
            self.core.simulation.clock.after(0, self.report_end, end)

    def data_received(self, _endpoint: Endpoint, data: bytes) -> None:
        """Decode and deliver bytes of the engine."""
        if self.has_reported_end:
            return
        try:
            self.decoder.buffer.put(data)
            self.deliver()
        except ProtocolError as error:
            self.report_end(ConnectionEnd.MALFORMED, str(error))

    def peer_closed(self, _endpoint: Endpoint, end_kind: str) -> None:
        """Handle the end of the engine's side."""
        self.report_end(ConnectionEnd.CLOSED_BY_PEER if end_kind == StreamEnd.CLOSED else ConnectionEnd.RESET)

    def report_end(self, end: ConnectionEnd, detail: str = "") -> None:
        """Report the end of reading to the core, once."""
        if not self.has_reported_end:
            self.has_reported_end = True
            self.reader_ended(end, detail, self.connection)


class SimulatedInput(HandledInput):
    """The input of a simulated connection, which handles bytes as they arrive."""

    def __init__(self, _connection: Connection) -> None:
        """Take the argument of ClientInput."""


class SimulatedClientConnection(ClientConnection):
    """A connection of a client; its endpoint calls it in place of a reader thread."""

    open_input = SimulatedInput

    def __init__(self, endpoint: Endpoint, core: Core, reader: RequestReader) -> None:
        super().__init__(EndpointSocket(endpoint), core, reader, MAX_MESSAGE_BYTES)
        self.serial = next(CONNECTION_SERIALS)
        self.has_reported_end = False
        endpoint.reader = self

    def __hash__(self) -> int:
        return self.serial

    def __eq__(self, other: object) -> bool:
        return self is other

    def data_received(self, _endpoint: Endpoint, data: bytes) -> None:
        """Handle bytes of the client, and write rejections, as a real connection's reader thread does."""
        if self.has_reported_end:
            return
        try:
            self.decoder.buffer.put(data)
            with self.core.reading_turns.turn(self):
                for frame in self.decoder.frames():
                    self.calls.handle(frame, self.core.clock())
        except ProtocolError as error:
            self._report_end_once(ConnectionEnd.MALFORMED, str(error))
        self.write_rejections()

    def peer_closed(self, _endpoint: Endpoint, end_kind: str) -> None:
        """Handle the end of the client's side."""
        self._report_end_once(
            ConnectionEnd.CLOSED_BY_PEER if end_kind == StreamEnd.CLOSED else ConnectionEnd.RESET
        )

    def end(self, end: ConnectionEnd, detail: str) -> None:
        """End it from the gateway's side, and report the end of reading at once."""
        super().end(end, detail)
        self._report_end_once(end, detail)

    def _report_end_once(self, end: ConnectionEnd, detail: str = "") -> None:
        """Report the end of reading to the core, once."""
        if not self.has_reported_end:
            self.has_reported_end = True
            self.report_end(end, detail)


class SimulatedCore(Core):
    """The core of the gateway process, driven by the simulation's virtual clock instead of its own thread.

    args: the arguments of Core, in their order.
    """

    connect = SimulatedEngineConnection

    def __init__(
        self, simulation: "Simulation", simulated_gateway: "SimulatedGateway", *args: object
    ) -> None:
        self.simulation = simulation
        self.simulated_gateway = simulated_gateway
        super().__init__(*args)

    def clock(self) -> int:
        """Return Unix time in us: that of the start plus the virtual time since; ignores clock shifts."""
        return self.simulation.clock.start_us + self.simulation.clock.now

    def post(self, call: Callable[..., None], *args: object) -> None:
        """Queue a call for the core, and schedule a turn in which it is made."""
        super().post(call, *args)
        self.simulated_gateway.wake()

    def post_first(self, call: Callable[..., None], *args: object) -> None:
        """Queue a call for the core ahead of others, and schedule a turn in which it is made."""
        super().post_first(call, *args)
        self.simulated_gateway.wake()


class SimulatedGateway:
    """One gateway process, from its start until it is killed.

    simulation: provides the clock and the network; configuration: as a real process reads it at its start.
    """

    def __init__(self, simulation: "Simulation", name: str, configuration: Configuration) -> None:
        self.simulation = simulation
        self.name = name
        self.is_alive = True
        self.turn_event: Event | None = None  # the scheduled event in which the core runs next
        self.endpoints: list[Endpoint] = []
        # Virtual time at which the last watch event that was sent to this gateway arrives.
        self.last_event_arrival_us = 0
        agreement = configuration.agreement
        now = simulation.clock.start_us + simulation.clock.now
        self.core = SimulatedCore(
            simulation,
            self,
            Gateway(configuration.seed, agreement, now),
            agreement,
            Counters(),
            MAX_MESSAGE_BYTES,
            MAX_CONNECTIONS,
            StatementMemory(STATEMENT_MEMORY_BYTES),
            ReceiveMemory(RECEIVE_MEMORY_BYTES),
        )
        self.reader = RequestReader(agreement, None, self.core.retry_after_field)
        self.engine_ids = configuration.engine_ids
        self.event_stream = event_stream.EventStream(configuration.last_event_index, MAX_DISCOVERY_LINE_BYTES)
        self.core.begin(configuration.list_changes)
        self.wake()

    def accept(self, endpoint: Endpoint) -> None:
        """Accept a client's connection. endpoint: its gateway side."""
        self.endpoints.append(endpoint)
        self.core.statement_memory.clients.add(SimulatedClientConnection(endpoint, self.core, self.reader))

    def receive_list(self, data: bytes) -> None:
        """Handle bytes of the discovery service's stream: changes of the endpoint list."""
        if self.is_alive:
            self.event_stream.buffer.put(data)
            for event in self.event_stream.events():
                self.core.list_changed(*list_change.parse_event(event, self.core.agreement, self.engine_ids))

    def open_endpoint(self, connection: SimulatedEngineConnection) -> Endpoint:
        """Return a new endpoint for the gateway's side of a connection to an engine."""
        endpoint = Endpoint(self.simulation.clock, connection)
        self.endpoints.append(endpoint)
        return endpoint

    def wake(self) -> None:
        """Schedule a turn of the core without delay, in place of a later one."""
        if self.turn_event:
            self.simulation.clock.cancel(self.turn_event)
        self.turn_event = self.simulation.clock.after(0, self._run_turns)

    def kill(self) -> None:
        """Stop at once, as by SIGKILL; all connections are reset."""
        self.is_alive = False
        for endpoint in self.endpoints:
            if not endpoint.outgoing.is_finished:
                endpoint.finish(StreamEnd.RESET)
            endpoint.is_closed = True

    def _run_turns(self) -> None:
        self.turn_event = None
        if not self.is_alive:
            return
        core = self.core
        core.tick()
        while True:
            event = core.next_event()
            if event is None and not core.urgent and core.next_timer_at_us() > core.now:
                break
            core.turn(event)
        if self.turn_event is None:
            wait_us = max(0, core.next_timer_at_us() - core.now)
            self.turn_event = self.simulation.clock.after(wait_us, self._run_turns)

    def leftover_sizes(self) -> dict[str, int]:
        """Return the sizes of the tables that still hold entries, by the names that violations print."""
        core = self.core
        census = core.gateway.census()
        sizes = {
            "owed": len(core.requests.by_number),
            "txns": len(core.requests.by_transaction_id),
            "commands": census.commands,
            "threads": census.engine_threads,
            "running": census.engine_attempts,
            "held": census.queued_tenants,
            "sends": sum(len(connection.open_attempts) for connection in core.pool.connections),
            "bytes": core.statement_memory.used_bytes,
        }
        return {name: size for name, size in sizes.items() if size}
