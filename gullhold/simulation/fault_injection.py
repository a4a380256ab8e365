"""Injects the faults of a script into a simulation, and ends those that last for a limited time."""

from typing import TYPE_CHECKING

from gullhold.simulation.discovery import EnginePhase
from gullhold.simulation.engine import SimulatedEngine
from gullhold.simulation.network import ONE_WAY_DELAY_US, EnginePath
from gullhold.simulation.script import FAULT_RANGES, Fault, FaultKind, FaultTarget

if TYPE_CHECKING:
    from gullhold.simulation.simulation import Simulation

FAULT_DURATION_US = 1_200_000  # duration of a fault whose size is not a duration
# Kinds that scripts may have and a simulation does not implement.
UNSUPPORTED_KINDS = frozenset(
    (
        FaultKind.WINDOW,
        FaultKind.DISCOVERY_MOVED,
        FaultKind.STOP,
        FaultKind.CLOCK_JUMP,
        FaultKind.RETRY_BURST,
    )
)
SUPPORTED_KINDS = frozenset(FAULT_RANGES) - UNSUPPORTED_KINDS


class FaultInjector:
    """Injects faults into a simulation."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation

    def inject(self, fault: Fault) -> None:
        """Inject a fault now; kinds in UNSUPPORTED_KINDS have no effect."""
        engine = self.simulation.engines[fault.place % len(self.simulation.engines)]
        match FAULT_RANGES[fault.kind].target:
            case FaultTarget.CONNECTION:
                self._inject_path_fault(fault, self.simulation.network.paths[engine.address])
            case FaultTarget.ENGINE:
                self._inject_engine_fault(fault, engine)
            case FaultTarget.DISCOVERY if fault.kind == FaultKind.LATE_LIST:
                self.simulation.discovery.extra_delay_us = fault.size
                self.simulation.clock.after(
                    FAULT_DURATION_US, setattr, self.simulation.discovery, "extra_delay_us", 0
                )
            case FaultTarget.GATEWAY if fault.kind == FaultKind.KILL:
                self._kill(f"n{fault.place % self.simulation.size.gateways}")
            case FaultTarget.CLIENT if fault.kind == FaultKind.CLIENT_LEAVES:
                client = self.simulation.clients[fault.place % len(self.simulation.clients)]
                client.leave(reconnect=True)

    def _inject_path_fault(self, fault: Fault, path: EnginePath) -> None:
        directions = (path.to_engine, path.from_engine)
        match fault.kind:
            case FaultKind.DELAY:
                for direction in directions:
                    direction.delay_us = ONE_WAY_DELAY_US + fault.size
                self.simulation.clock.after(FAULT_DURATION_US, path.heal)
            case FaultKind.SMALL_SEGMENTS:
                path.from_engine.max_segment_bytes = fault.size
                self.simulation.clock.after(FAULT_DURATION_US, path.heal)
            case FaultKind.SILENCE:
                for direction in directions:
                    direction.is_silent = True
                self.simulation.clock.after(fault.size, path.heal)
            case FaultKind.RESET:
                for connection in path.connections:
                    connection.reset()

    def _inject_engine_fault(self, fault: Fault, engine: SimulatedEngine) -> None:
        call_after = self.simulation.clock.after
        match fault.kind:
            case FaultKind.SLOW_CONNECT:
                engine.connect_delay_us = fault.size
                call_after(FAULT_DURATION_US, setattr, engine, "connect_delay_us", 0)
            case FaultKind.REFUSE:
                engine.refuses_until = self.simulation.clock.now + fault.size
            case FaultKind.SLOW:
                engine.slowdown = float(fault.size)
                call_after(FAULT_DURATION_US, setattr, engine, "slowdown", 1.0)
            case FaultKind.RESTART:
                engine.crash()
            case FaultKind.MALFORMED_ANSWERS:
                engine.malformed_answers = fault.size
            case FaultKind.DUPLICATE_ANSWERS:
                engine.duplicate_answers = fault.size
            case FaultKind.DRAIN:
                self.simulation.discovery.change_phase(engine, EnginePhase.DRAINING)
                call_after(
                    2 * FAULT_DURATION_US, self.simulation.discovery.change_phase, engine, EnginePhase.READY
                )
            case FaultKind.REMOVE if self.simulation.discovery.phases[engine.id] != EnginePhase.REMOVED:
                self.simulation.discovery.change_phase(engine, EnginePhase.REMOVED)
                call_after(FAULT_DURATION_US // 2, engine.crash)

    def _kill(self, name: str) -> None:
        """Kill a gateway and start another process of its name, with new clients."""
        gateway = self.simulation.gateways[name]
        self.simulation.checker.gateway_killed(gateway)
        for client in self.simulation.clients:
            if client.gateway is gateway:
                client.has_left = True
        gateway.kill()
        self.simulation.start_gateway(name)
        self.simulation.start_clients(name)
