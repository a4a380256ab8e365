"""A simulated discovery service: keeps the endpoint list and sends its watch events to the gateways."""

import json
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from gullhold.simulation.checker import Checker
from gullhold.simulation.clock import Clock
from gullhold.simulation.engine import SimulatedEngine
from gullhold.simulation.network import ONE_WAY_DELAY_US
from gullhold.testing.deployment import endpoint_list_event

if TYPE_CHECKING:
    from gullhold.simulation.gateway import SimulatedGateway


class EnginePhase(StrEnum):
    """Phases of an engine in the endpoint list; the values are their names on the wire."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class Discovery:
    """The endpoint list, and the gateways that watch it.

    gateways: running gateways by name; each change is sent to them. extra_delay_us: added by a fault to the
    network's delay of watch events.
    """

    def __init__(
        self,
        clock: Clock,
        checker: Checker,
        engines: Iterable[SimulatedEngine],
        gateways: Mapping[str, "SimulatedGateway"],
    ) -> None:
        self.clock = clock
        self.checker = checker
        self.engines = list(engines)
        self.gateways = gateways
        self.phases = {engine.id: EnginePhase.READY for engine in self.engines}
        self.last_index = 1  # index of the last change of the list
        self.extra_delay_us = 0

    def complete_list(self) -> dict[str, Any]:
        """Return the watch event that states the complete list as it is now, as parsed JSON."""
        members = ((engine.id, engine.address, self.phases[engine.id].value) for engine in self.engines)
        return endpoint_list_event(self.last_index, *members, is_complete=True)

    def report_complete_list(self, gateway: "SimulatedGateway") -> None:
        """Report to the checker that a gateway starts with the list as it is now."""
        for engine in self.engines:
            self.checker.phase_announced(gateway, engine.id, self.phases[engine.id].value)

    def change_phase(self, engine: SimulatedEngine, phase: EnginePhase) -> None:
        """Change an engine's phase and send the event to each gateway, to arrive after all earlier events."""
        self.last_index += 1
        self.phases[engine.id] = phase
        change = endpoint_list_event(self.last_index, (engine.id, engine.address, phase.value))
        line = json.dumps(change).encode() + b"\n"
        for gateway in self.gateways.values():
            arrival_us = self.clock.now + ONE_WAY_DELAY_US + self.extra_delay_us
            gateway.last_event_arrival_us = max(gateway.last_event_arrival_us, arrival_us)
            self.clock.at(gateway.last_event_arrival_us, self._deliver, gateway, line, engine, phase)

    def _deliver(
        self, gateway: "SimulatedGateway", line: bytes, engine: SimulatedEngine, phase: EnginePhase
    ) -> None:
        if gateway.is_alive:
            self.checker.phase_announced(gateway, engine.id, phase.value)
            gateway.receive_list(line)
