"""The simulated network between gateways and engines, whose conditions are set for each engine."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from gullhold.net.connection_ends import ConnectionEnd
from gullhold.simulation.clock import Clock
from gullhold.simulation.endpoints import connect
from gullhold.simulation.engine import SimulatedEngine
from gullhold.simulation.streams import DuplexStream, StreamConditions

if TYPE_CHECKING:
    from gullhold.simulation.gateway import SimulatedEngineConnection

ONE_WAY_DELAY_US = 400  # delay between any two processes without a fault


def healthy_conditions() -> StreamConditions:
    """Return the conditions of one direction without faults."""
    return StreamConditions(ONE_WAY_DELAY_US)


@dataclass(slots=True)
class EnginePath:
    """The network path between the gateways and one engine: its conditions and the connections over it."""

    engine: SimulatedEngine
    to_engine: StreamConditions = field(default_factory=healthy_conditions)
    from_engine: StreamConditions = field(default_factory=healthy_conditions)
    connections: list[DuplexStream] = field(default_factory=list)

    def heal(self) -> None:
        """End all faults of the path; what a silent direction held back is sent."""
        for direction in (self.to_engine, self.from_engine):
            direction.delay_us = ONE_WAY_DELAY_US
            direction.max_segment_bytes = 0
            direction.is_silent = False
        for connection in self.connections:
            connection.heal()


class Network:
    """Connects gateways to engines; a connect can be refused or time out, as the engine's path decides."""

    def __init__(
        self, clock: Clock, random: Random, engines: Iterable[SimulatedEngine], connect_timeout_us: int
    ) -> None:
        self.clock = clock
        self.random = random
        self.connect_timeout_us = connect_timeout_us
        self.paths = {engine.address: EnginePath(engine) for engine in engines}

    def connect(self, connection: "SimulatedEngineConnection") -> None:
        """Connect to the engine at the connection's address; connect_succeeded() or report_end() follows."""
        path = self.paths[connection.endpoint.address]
        round_trip_us = 2 * path.to_engine.delay_us
        connect_us = round_trip_us + path.engine.connect_delay_us
        if path.engine.refuses_until > self.clock.now:
            self.clock.after(round_trip_us, connection.report_end, ConnectionEnd.REFUSED)
        elif path.to_engine.is_silent or connect_us > self.connect_timeout_us:
            self.clock.after(self.connect_timeout_us, connection.report_end, ConnectionEnd.CONNECT_TIMEOUT)
        else:
            self.clock.after(connect_us, self._connected, connection, path)

    def _connected(self, connection: "SimulatedEngineConnection", path: EnginePath) -> None:
        gateway = connection.core.simulated_gateway
        if not gateway.is_alive or connection.has_reported_end:
            return
        near = gateway.open_endpoint(connection)
        far = path.engine.accept(near)
        duplex = connect(self.clock, self.random.random, near, far, path.to_engine, path.from_engine)
        path.connections.append(duplex)
        connection.connect_succeeded(near)
