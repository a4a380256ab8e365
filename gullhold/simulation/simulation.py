"""The parts of one simulation: gateways, engines and clients on one clock, with one source of randomness."""

import json
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from gullhold.agreement import read_agreement
from gullhold.interface import Agreement
from gullhold.net.configuration import Configuration
from gullhold.net.engine_ids import EngineIds
from gullhold.net.list_change import parse_event
from gullhold.simulation.checker import Checker
from gullhold.simulation.client import SimulatedClient
from gullhold.simulation.clock import Clock, first_scheduled
from gullhold.simulation.discovery import Discovery
from gullhold.simulation.endpoints import Endpoint, connect
from gullhold.simulation.engine import SimulatedEngine
from gullhold.simulation.gateway import SimulatedGateway
from gullhold.simulation.network import Network, healthy_conditions
from gullhold.testing.deployment import settings

CLIENTS_SEND_FOR_US = 6_000_000  # time from the start; faults are injected within it too
DEDUPLICATION_WINDOW_S = 0.4  # short, so that it ends while commands are open
CANCEL_DISABLED_EVERY = 3  # one of so many consecutive seeds has engines without cancellation
ENGINE_CORES = 4
CONNECT_TIMEOUT_S = 1.0  # long, so that other events happen while a connection is being established
VERBS = (b"read", b"read", b"read", b"mark", b"once")


class SimulationSize(NamedTuple):
    """The size of a simulation, and the number of faults that a seed draws for it."""

    gateways: int = 2
    engines: int = 3
    clients_per_gateway: int = 3
    mean_gap_us: int = 60_000  # mean time between commands of a client
    faults: int = 6


class Simulation:
    """Everything that takes part in a simulation.

    A seed gives the same run only as long as the parts draw from `random` in the same order.
    """

    def __init__(
        self, seed: int, size: SimulationSize, choose: Callable[[int], int] = first_scheduled
    ) -> None:
        """choose: as for Clock."""
        self.size = size
        self.clock = Clock(choose=choose)
        self.random = Random(seed)
        self.agreement = make_agreement(seed, size.gateways)
        self.dedup_window_us = self.agreement.profiles[1].dedup_window_us
        self.clients_send_until_us = CLIENTS_SEND_FOR_US
        self.checker = Checker(self.clock, self.agreement.max_attempts, self.dedup_window_us)
        self.engines = [
            SimulatedEngine(self, f"s-{number}", f"10.0.0.{number + 1}:5050", ENGINE_CORES)
            for number in range(size.engines)
        ]
        connect_timeout_us = self.agreement.connect_timeout_us
        self.network = Network(self.clock, self.random, self.engines, connect_timeout_us)
        self.gateways: dict[str, SimulatedGateway] = {}
        self.discovery = Discovery(self.clock, self.checker, self.engines, self.gateways)
        self.clients: list[SimulatedClient] = []
        for number in range(size.gateways):
            self.start_gateway(f"n{number}")
        for name in list(self.gateways):
            self.start_clients(name)

    def start_gateway(self, name: str) -> None:
        """Start a gateway with the current endpoint list; it replaces an earlier one of its name."""
        gateway = SimulatedGateway(self, name, self._configuration(name))
        self.gateways[name] = gateway
        self.discovery.report_complete_list(gateway)

    def start_clients(self, name: str) -> None:
        """Start the clients of a gateway, as many as the simulation's size states."""
        for _ in range(self.size.clients_per_gateway):
            self.start_client(name, VERBS, self.size.mean_gap_us)

    def start_client(self, name: str, verbs: Sequence[bytes], mean_gap_us: int) -> None:
        """Connect a new client to a gateway, unless that was killed.

        Its first command follows after a random time of at most mean_gap_us.
        """
        gateway = self.gateways[name]
        if not gateway.is_alive:
            return
        client = SimulatedClient(self, len(self.clients) + 1, gateway, verbs, mean_gap_us)
        near, far = Endpoint(self.clock, client), Endpoint(self.clock, None)
        client.endpoint = near
        connect(self.clock, self.random.random, near, far, healthy_conditions(), healthy_conditions())
        gateway.accept(far)
        self.clients.append(client)
        self.clock.after(int(self.random.random() * mean_gap_us), client.send_next)

    def _configuration(self, name: str) -> Configuration:
        engine_ids = EngineIds()
        complete_list = parse_event(self.discovery.complete_list(), self.agreement, engine_ids)
        return Configuration(
            agreement=self.agreement,
            engine_ids=engine_ids,
            list_changes=[complete_list],
            last_event_index=self.discovery.last_index,
            seed=self.random.getrandbits(32),
            discovery_address=None,
            listen_address="",
            name=name,
            memory_bytes=0,
            max_sockets=0,
        )


def make_agreement(seed: int, gateways: int) -> Agreement:
    """Return the agreement of a simulated deployment; the seed decides whether attempts can be cancelled."""
    deployment_settings = settings()
    deployment_settings["balancers"] = gateways
    deployment_settings["domain"]["cores_by_kind"] = [ENGINE_CORES]
    can_cancel = seed % CANCEL_DISABLED_EVERY > 0
    deployment_settings["limits"] |= {"connect_timeout": CONNECT_TIMEOUT_S, "cancel": can_cancel}
    for category in deployment_settings["categories"]:
        category["window"] = DEDUPLICATION_WINDOW_S
    return read_agreement(json.loads(json.dumps(deployment_settings)))
