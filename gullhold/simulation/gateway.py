"""A gateway on virtual time: the product's core, decisions, connections and parsers; no thread, no socket.

What stands in for threads: a connection is fed by its endpoint, and the core takes a turn whenever
something was posted or a timer is due. All else is the product's own code.
"""

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING

from gullhold.decisions.gateway import Gateway
from gullhold.net import event_stream, list_change
from gullhold.net.client_connection import ClientConnection
from gullhold.net.configuration import Configuration
from gullhold.net.connection import Connection
from gullhold.net.connection_ends import ConnectionEnd, ProtocolError
from gullhold.net.core import Core
from gullhold.net.counters import Counters
from gullhold.net.engine_connection import EngineConnection
from gullhold.net.request_reader import RequestReader
from gullhold.net.statement_memory import StatementMemory
from gullhold.simulation.clock import Event
from gullhold.simulation.endpoints import Endpoint
from gullhold.simulation.streams import StreamEnd

if TYPE_CHECKING:
    from gullhold.simulation.world import World

MAX_MESSAGE_BYTES = 192 << 10  # bytes of the largest message, as a small deployment has it
MAX_CONNECTIONS = 200  # to engines, of one gateway
STATEMENT_MEMORY = 24 << 20  # bytes of statements that wait
MAX_DISCOVERY_LINE_BYTES = 1 << 20  # bytes of one line of the discovery service
SERIALS = count()  # by which connections are ordered


class EndpointSocket:
    """The part of a socket's interface that connections use, on top of an endpoint."""

    def __init__(self, end: Endpoint) -> None:
        self.end = end

    def send(self, data: bytes | memoryview, _flags: int = 0) -> int:
        """Write all: the endpoint buffers what the stream does not take."""
        self.end.write(bytes(data))
        return len(data)

    def shutdown(self, _sides: int) -> None:
        """Finish our side, after what is buffered."""
        self.end.finish(StreamEnd.CLOSED)

    def close(self) -> None:
        """Finish our side, as a closed descriptor does."""
        self.end.finish(StreamEnd.CLOSED)

    def setsockopt(self, *_option: object) -> None:
        """Endpoints have no socket options."""


class SimulatedEngineConnection(EngineConnection):
    """A connection to an engine that is read from an endpoint in place of a reader thread."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.serial = next(SERIALS)
        self.over = False  # its end was reported

    def __hash__(self) -> int:  # sets of connections are walked in the same order in every run
        return self.serial

    def __eq__(self, other: object) -> bool:
        return self is other

    def start(self) -> None:
        """Connect over the network, which calls up() or fail()."""
        self.core.world.network.connect(self)

    def up(self, end: Endpoint) -> None:
        """The connection is up."""
        if not self.connected(Connection(EndpointSocket(end))):
            self.fail(self.local_end)

    def begin_close(self, end: ConnectionEnd) -> None:
        """Endpoint it from our side; its reader reports a moment later."""
        super().begin_close(end)
        if self.connection is not None:
            self.core.world.clock.after(0, self.fail, end)

    def data_received(self, _endpoint: Endpoint, data: bytes) -> None:
        """Bytes of the engine."""
        if self.over:
            return
        try:
            self.decoder.buffer.put(data)
            self.deliver()
        except ProtocolError as error:
            self.fail(ConnectionEnd.MALFORMED, str(error))

    def peer_closed(self, _endpoint: Endpoint, end_kind: str) -> None:
        """The engine's side has ended."""
        self.fail(ConnectionEnd.CLOSED_BY_PEER if end_kind == StreamEnd.CLOSED else ConnectionEnd.RESET)

    def fail(self, end: ConnectionEnd, text: str = "") -> None:
        """Report the end of reading, once."""
        if not self.over:
            self.over = True
            self.reader_ended(end, text, self.connection)


class SimulatedClientConnection(ClientConnection):
    """A connection of a client that is read from an endpoint in place of a reader thread."""

    def __init__(self, end: Endpoint, core: Core, reader: RequestReader) -> None:
        super().__init__(EndpointSocket(end), core, reader, MAX_MESSAGE_BYTES)
        self.serial = next(SERIALS)
        self.has_reported = False
        end.reader = self

    def __hash__(self) -> int:
        return self.serial

    def __eq__(self, other: object) -> bool:
        return self is other

    def data_received(self, _endpoint: Endpoint, data: bytes) -> None:
        """Bytes of the client."""
        if self.has_reported:
            return
        try:
            self.decoder.buffer.put(data)
            for frame in self.decoder.frames():
                self.calls.handle(frame, self.core.clock())
        except ProtocolError as error:
            self._fail(ConnectionEnd.MALFORMED, str(error))
        self.write_rejections()

    def peer_closed(self, _endpoint: Endpoint, end_kind: str) -> None:
        """The client's side has ended."""
        self._fail(ConnectionEnd.CLOSED_BY_PEER if end_kind == StreamEnd.CLOSED else ConnectionEnd.RESET)

    def end(self, end: ConnectionEnd, text: str) -> None:
        """Endpoint it from our side, now."""
        super().end(end, text)
        self._fail(end, text)

    def _fail(self, end: ConnectionEnd, text: str = "") -> None:
        """Report the end of reading, once."""
        if not self.has_reported:
            self.has_reported = True
            self.report_end(end, text)


class SimulatedCore(Core):
    """The product's core on a world's clock."""

    connect = SimulatedEngineConnection

    def __init__(self, world: "World", simulated_gateway: "SimulatedGateway", *args: object) -> None:
        self.world = world
        self.simulated_gateway = simulated_gateway
        super().__init__(*args)

    def clock(self) -> int:
        """Unix time in us, as the world has it."""
        return self.world.clock.start_us + self.world.clock.now

    def post(self, call: Callable[..., None], *args: object) -> None:
        """Have the core make this call, and wake it."""
        super().post(call, *args)
        self.simulated_gateway.wake()

    def post_first(self, call: Callable[..., None], *args: object) -> None:
        """Have the core make this call before others, and wake it."""
        super().post_first(call, *args)
        self.simulated_gateway.wake()


class SimulatedGateway:
    """One gateway process, from its start until it is killed.

    world: its clock and network are used; configuration: as the service reads it.
    """

    def __init__(self, world: "World", name: str, configuration: Configuration) -> None:
        self.world = world
        self.name = name
        self.is_alive = True
        self.turn_event: Event | None = None  # of its next turn
        self.endpoints: list[Endpoint] = []
        self.last_event_arrival_us = 0  # of the endpoint list's watch events sent so far
        agreement = configuration.agreement
        now = world.clock.start_us + world.clock.now
        self.core = SimulatedCore(
            world,
            self,
            Gateway(configuration.seed, agreement, now),
            agreement,
            Counters(),
            MAX_MESSAGE_BYTES,
            MAX_CONNECTIONS,
            StatementMemory(STATEMENT_MEMORY),
        )
        self.reader = RequestReader(agreement, None, self.core.retry_after_field)
        self.engine_ids = configuration.engine_ids
        self.event_stream = event_stream.EventStream(configuration.last_event_index, MAX_DISCOVERY_LINE_BYTES)
        self.core.begin(configuration.list_changes)
        self.wake()

    def accept(self, end: Endpoint) -> None:
        """A client connects at this end."""
        self.endpoints.append(end)
        self.core.statement_memory.clients.add(SimulatedClientConnection(end, self.core, self.reader))

    def receive_list(self, data: bytes) -> None:
        """Bytes of the discovery service's stream."""
        if self.is_alive:
            self.event_stream.buffer.put(data)
            for event in self.event_stream.events():
                self.core.list_changed(*list_change.parse_event(event, self.core.agreement, self.engine_ids))

    def open_endpoint(self, connection: SimulatedEngineConnection) -> Endpoint:
        """The gateway's endpoint of a connection to an engine."""
        endpoint = Endpoint(self.world.clock, connection)
        self.endpoints.append(endpoint)
        return endpoint

    def wake(self) -> None:
        """Take a turn without a delay."""
        if self.turn_event:
            self.world.clock.cancel(self.turn_event)
        self.turn_event = self.world.clock.after(0, self._turns)

    def kill(self) -> None:
        """Stop at once, as by SIGKILL; its connections are reset."""
        self.is_alive = False
        for endpoint in self.endpoints:
            if not endpoint.outgoing.over:
                endpoint.finish(StreamEnd.RESET)
            endpoint.is_closed = True

    def _turns(self) -> None:
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
            self.turn_event = self.world.clock.after(wait_us, self._turns)

    def leftover_sizes(self) -> dict[str, int]:
        """Sizes of the tables that still hold entries, by the names that reports have for them."""
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
