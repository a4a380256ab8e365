"""Runs one simulation: draws or takes the faults of a script, and returns what the checker found."""

from collections.abc import Callable
from typing import NamedTuple

from gullhold.simulation.checker import Violation
from gullhold.simulation.clock import first_scheduled
from gullhold.simulation.fault_injection import SUPPORTED_KINDS, FaultInjector
from gullhold.simulation.script import Fault, FaultTarget, draw_faults
from gullhold.simulation.simulation import CLIENTS_SEND_FOR_US, Simulation, SimulationSize

# Time from the clients' last commands to the end of the simulation. It is longer than any client timeout, and
# also longer than the time for which a gateway assumes that an attempt still runs after its client timeout.
SETTLE_US = 9_000_000


class Result(NamedTuple):
    """The outcome of a simulation.

    trace: hash of all recorded events, in hexadecimal; counts: number of events by name.
    """

    violations: list[Violation]
    trace: str
    counts: dict[str, int]


def faults_of_seed(seed: int, size: SimulationSize) -> list[Fault]:
    """Return the faults that a seed draws, only of the kinds that can be injected."""
    target_counts = {
        FaultTarget.CONNECTION: size.engines,
        FaultTarget.ENGINE: size.engines,
        FaultTarget.DISCOVERY: 1,
        FaultTarget.GATEWAY: size.gateways,
        FaultTarget.CLIENT: size.gateways * size.clients_per_gateway,
    }
    candidates = draw_faults(seed, 2 * size.faults, CLIENTS_SEND_FOR_US, target_counts)
    return [fault for fault in candidates if fault.kind in SUPPORTED_KINDS][: size.faults]


def run_simulation(
    seed: int,
    faults: list[Fault] | None = None,
    size: SimulationSize | None = None,
    choose: Callable[[int], int] = first_scheduled,
) -> Result:
    """Run a simulation to its end. faults: the script, None: drawn from the seed; choose: as for Clock."""
    size = size or SimulationSize()
    faults = faults_of_seed(seed, size) if faults is None else faults
    simulation = Simulation(seed, size, choose)
    injector = FaultInjector(simulation)
    for fault in faults:
        simulation.clock.at(fault.at_us, injector.inject, fault)
    end_at_us = CLIENTS_SEND_FOR_US + SETTLE_US
    simulation.clock.run(end_at_us)
    _release_expired_attempts(simulation)
    simulation.clock.run(end_at_us + 1)
    violations = simulation.checker.finish(simulation.gateways.values())
    return Result(violations, simulation.checker.trace_hash.hexdigest(), dict(simulation.checker.counts))


def _release_expired_attempts(simulation: Simulation) -> None:
    """Send an empty list change, on which each gateway releases attempts that can't run any longer."""
    for gateway in simulation.gateways.values():
        if gateway.is_alive:
            gateway.core.list_changed((), {}, False)
