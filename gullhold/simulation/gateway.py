"""A gateway on virtual time: the product's core, decisions, connections and parsers; no thread, no socket.

What stands in for threads: a connection is fed by its end of a wire, and the core takes a turn whenever
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
from gullhold.simulation.endpoints import End
from gullhold.simulation.streams import StreamEnd

if TYPE_CHECKING:
    from gullhold.simulation.world import World

MAX_MESSAGE_BYTES = 192 << 10  # bytes of the largest message, as a small deployment has it
MAX_CONNECTIONS = 200  # to engines, of one gateway
STATEMENT_MEMORY = 24 << 20  # bytes of statements that wait
MAX_DISCOVERY_LINE_BYTES = 1 << 20  # bytes of one line of the discovery service
SERIALS = count()  # by which connections are ordered


class WireSocket:
    """What a connection takes for its socket: all that it is given goes on to an end of a wire."""

    def __init__(self, end: End) -> None:
        self.end = end

    def send(self, data: bytes | memoryview, _flags: int = 0) -> int:
        """The wire keeps what it has no room for, so all is taken."""
        self.end.write(bytes(data))
        return len(data)

    def shutdown(self, _sides: int) -> None:
        """Our side says its end."""
        self.end.finish(StreamEnd.CLOSED)

    def close(self) -> None:
        """As a process gives a descriptor back."""
        self.end.finish(StreamEnd.CLOSED)

    def setsockopt(self, *_option: object) -> None:
        """Nothing that a wire has."""


class SimulatedEngineConnection(EngineConnection):
    """A connection to an engine whose reader is an end of a wire."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.serial = next(SERIALS)
        self.over = False  # its reader has reported

    def __hash__(self) -> int:  # sets of connections are walked in the same order in every run
        return self.serial

    def __eq__(self, other: object) -> bool:
        return self is other

    def start(self) -> None:
        """Connect: up(), or fail() where nobody takes it."""
        self.core.world.network.connect(self)

    def up(self, end: End) -> None:
        """The connection stands."""
        if not self.connected(Connection(WireSocket(end))):
            self.fail(self.local_end)

    def begin_close(self, end: ConnectionEnd) -> None:
        """End it from our side; its reader reports a moment later."""
        super().begin_close(end)
        if self.connection is not None:
            self.core.world.clock.after(0, self.fail, end)

    def hears(self, _end: End, data: bytes) -> None:
        """Bytes of the engine."""
        if self.over:
            return
        try:
            self.decoder.buffer.put(data)
            self.deliver()
        except ProtocolError as error:
            self.fail(ConnectionEnd.MALFORMED, str(error))

    def is_left(self, _end: End, end_kind: str) -> None:
        """The engine's side has ended."""
        self.fail(ConnectionEnd.CLOSED if end_kind == StreamEnd.CLOSED else ConnectionEnd.RESET)

    def fail(self, end: ConnectionEnd, text: str = "") -> None:
        """Its reader is over."""
        if not self.over:
            self.over = True
            self.reader_ended(end, text, self.connection)


class SimulatedClientConnection(ClientConnection):
    """A connection of a client whose reader is an end of a wire."""

    def __init__(self, end: End, core: Core, reader: RequestReader) -> None:
        super().__init__(WireSocket(end), core, reader, MAX_MESSAGE_BYTES)
        self.serial = next(SERIALS)
        self.has_reported = False
        end.owner = self

    def __hash__(self) -> int:
        return self.serial

    def __eq__(self, other: object) -> bool:
        return self is other

    def hears(self, _end: End, data: bytes) -> None:
        """Bytes of the client."""
        if self.has_reported:
            return
        try:
            self.decoder.buffer.put(data)
            for call in self.decoder.calls():
                self.calls.handle(call, self.core.clock())
        except ProtocolError as error:
            self._fail(ConnectionEnd.MALFORMED, str(error))
        self.write_rejections()

    def is_left(self, _end: End, end_kind: str) -> None:
        """The client's side has ended."""
        self._fail(ConnectionEnd.CLOSED if end_kind == StreamEnd.CLOSED else ConnectionEnd.RESET)

    def end(self, end: ConnectionEnd, text: str) -> None:
        """End it from our side, now."""
        super().end(end, text)
        self._fail(end, text)

    def _fail(self, end: ConnectionEnd, text: str = "") -> None:
        """Its reader is over."""
        if not self.has_reported:
            self.has_reported = True
            self.report_end(end, text)


class SimulatedCore(Core):
    """The product's core on a world's time."""

    connect = SimulatedEngineConnection

    def __init__(self, world: "World", member: "Member", *args: object) -> None:
        self.world = world
        self.member = member
        super().__init__(*args)

    def clock(self) -> int:
        """Unix time in us, as the world has it."""
        return self.world.clock.start_us + self.world.clock.now

    def post(self, call: Callable[..., None], *args: object) -> None:
        """Have the core make this call, as soon as may be."""
        super().post(call, *args)
        self.member.wake()


class Member:
    """One gateway: from its start to its kill.

    world: its clock and network are used; configuration: as the service reads it.
    """

    def __init__(self, world: "World", name: str, configuration: Configuration) -> None:
        self.world = world
        self.name = name
        self.alive = True
        self.event = None  # the world's event of its next turn
        self.ends: list[End] = []
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
        self.names = configuration.engine_ids
        self.follow = event_stream.EventStream(configuration.last_event, MAX_DISCOVERY_LINE_BYTES)
        self.core.begin(configuration.list_changes)
        self.wake()

    def accept(self, end: End) -> None:
        """A client connects at this end."""
        self.ends.append(end)
        self.core.statement_memory.clients.add(SimulatedClientConnection(end, self.core, self.reader))

    def feed(self, data: bytes) -> None:
        """Bytes of the discovery service's stream."""
        if self.alive:
            self.follow.buffer.put(data)
            for event in self.follow.events():
                self.core.list_changed(*list_change.parse_event(event, self.core.agreement, self.names))

    def end(self, connection: SimulatedEngineConnection) -> End:
        """Our end of a wire for a connection to an engine."""
        end = End(self.world.clock, connection)
        self.ends.append(end)
        return end

    def wake(self) -> None:
        """Take a turn as soon as may be."""
        if self.event:
            self.world.clock.cancel(self.event)
        self.event = self.world.clock.after(0, self._turns)

    def kill(self) -> None:
        """As by SIGKILL: nothing more of it, its connections are reset."""
        self.alive = False
        for end in self.ends:
            if not end.out.over:
                end.finish(StreamEnd.RESET)
            end.over = True

    def _turns(self) -> None:
        self.event = None
        if not self.alive:
            return
        core = self.core
        core.tick()
        while True:
            event = core.next_event()
            if event is None and not core.urgent and core.next_timer_at_us() > core.now:
                break
            core.turn(event)
        if self.event is None:
            wait_us = max(0, core.next_timer_at_us() - core.now)
            self.event = self.world.clock.after(wait_us, self._turns)

    def left_over(self) -> dict[str, int]:
        """What its tables still hold once nothing is pending; a census."""
        core = self.core
        census = core.gateway.census()
        sizes = {
            "owed": len(core.requests.by_number),
            "txns": len(core.requests.by_transaction_id),
            "commands": census.commands,
            "threads": census.engine_threads,
            "running": census.engine_attempts,
            "held": census.queued_tenants,
            "sends": sum(len(connection.open) for connection in core.pool.connections),
            "bytes": core.statement_memory.used_bytes,
        }
        return {name: size for name, size in sizes.items() if size}
