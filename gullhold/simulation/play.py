"""Plays a script: several gateways, engines and clients on one virtual clock, and what came of it."""

import json
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from gullhold.agreement import read_agreement
from gullhold.interface import Agreement
from gullhold.net.configuration import Configuration
from gullhold.net.connection_ends import ConnectionEnd
from gullhold.net.engine_ids import EngineIds
from gullhold.net.list_change import parse_event
from gullhold.simulation.checker import Checker, Violation
from gullhold.simulation.clock import Clock, first_asked_for
from gullhold.simulation.endpoints import End, join
from gullhold.simulation.fault_injection import ONE_WAY_DELAY_US, PLAYED, FaultInjector
from gullhold.simulation.gateway import Member, SimulatedEngineConnection
from gullhold.simulation.peers import Client, Engine
from gullhold.simulation.script import Fault, Target, drawn
from gullhold.simulation.streams import DuplexStream, StreamConditions
from gullhold.testing.deployment import event, settings

SPAN_US = 6_000_000  # in which clients ask, and faults begin
AFTER_US = 9_000_000  # for all to end: longer than any client timeout, and than what is taken to run on
WINDOW_S = 0.4  # s in which engines know a mark: short, so that it ends while commands are open
UNCANCELLED = 3  # of so many seeds one has sends that can't be cancelled
ENGINE_CORES = 4
CONNECT_S = 1.0  # s in which a connection has to come up: long, so that much may happen meanwhile
VERBS = (b"read", b"read", b"read", b"mark", b"once")


class Size(NamedTuple):
    """How large a world is."""

    gateways: int = 2
    engines: int = 3
    clients: int = 3  # of each gateway
    gap_us: int = 60_000  # between asks of a client, in the mean
    faults: int = 6


class Result(NamedTuple):
    """What came of it: rules that broke, a hash of all that passed, how often what was seen."""

    broken: list[Violation]
    trace: str
    counts: dict[str, int]


class World:
    """All that takes part, on one clock."""

    def __init__(self, seed: int, size: Size, choose: Callable[[int], int] = first_asked_for) -> None:
        """choose: as Clock has it."""
        self.size = size
        self.clock = Clock(choose=choose)
        self.draw = Random(seed)
        self.chance = self.draw.random
        self.seed = seed
        self.asks_until = SPAN_US
        self.client_way_us = ONE_WAY_DELAY_US
        self.list_delay_us = 0
        self.index = 1  # of the last change of the endpoint list
        self.agreement = self._agreement()
        self.window_us = self.agreement.profiles[1].dedup_window_us
        self.checker = Checker(self, self.agreement.max_attempts, self.window_us)
        self.engines = [
            Engine(self, f"s-{number}", f"10.0.0.{number + 1}:5050", ENGINE_CORES)
            for number in range(size.engines)
        ]
        self.at = {engine.address: engine for engine in self.engines}
        self.ways = {
            engine.address: (
                StreamConditions(ONE_WAY_DELAY_US),
                StreamConditions(ONE_WAY_DELAY_US),
            )
            for engine in self.engines
        }
        self.wires: dict[str, list[DuplexStream]] = {engine.address: [] for engine in self.engines}
        self.phases = {engine.id: "ready" for engine in self.engines}
        self.members: dict[str, Member] = {}
        self.clients: list[Client] = []
        self.numbers = 0  # of clients so far
        for number in range(size.gateways):
            self.gateway(f"n{number}")
        for name in list(self.members):
            self.usual_clients(name)

    def _agreement(self) -> Agreement:
        tree = settings()
        tree["balancers"] = self.size.gateways
        tree["domain"]["cores_by_kind"] = [ENGINE_CORES]
        tree["limits"] |= {"connect_timeout": CONNECT_S, "cancel": self.seed % UNCANCELLED > 0}
        for category in tree["categories"]:
            category["window"] = WINDOW_S
        return read_agreement(json.loads(json.dumps(tree)))

    def usual_clients(self, name: str) -> None:
        """As many clients as the size states connect to a gateway."""
        for _ in range(self.size.clients):
            self.client(name, VERBS, self.size.gap_us)

    def gateway(self, name: str) -> None:
        """A gateway starts, with the list as it is known now."""
        names = EngineIds()
        first = event(
            self.index,
            *((engine.id, engine.address, self.phases[engine.id]) for engine in self.engines),
            whole=True,
        )
        self.members[name] = Member(
            self,
            name,
            Configuration(
                agreement=self.agreement,
                engine_ids=names,
                list_changes=[parse_event(first, self.agreement, names)],
                last_event=self.index,
                seed=self.draw.getrandbits(32),
                discovery_address=None,
                listen_address="",
                name=name,
                memory_bytes=0,
                max_sockets=0,
            ),
        )
        for engine in self.engines:
            self.checker.told(self.clock.now, self.members[name], engine.id, self.phases[engine.id])

    def client(self, name: str, verbs: Sequence[bytes], gap_us: int) -> None:
        """A client connects to a gateway and begins to ask."""
        member = self.members[name]
        if not member.alive:
            return
        self.numbers += 1
        client = Client(self, self.numbers, member, verbs, gap_us)
        near, far = End(self.clock, client), End(self.clock, None)
        client.end = near
        join(
            self.clock,
            self.chance,
            near,
            far,
            StreamConditions(ONE_WAY_DELAY_US),
            StreamConditions(ONE_WAY_DELAY_US),
        )
        member.accept(far)
        self.clients.append(client)
        self.clock.after(int(self.chance() * gap_us), client.ask)

    def dial(self, connection: SimulatedEngineConnection) -> None:
        """A gateway's engine connection connects."""
        address = connection.endpoint.address
        engine, way = self.at.get(address), self.ways[address][0]
        span_us = 2 * way.delay_us + (engine.late if engine else 0)
        if engine is None or engine.refusing > self.clock.now:
            self.clock.after(2 * way.delay_us, connection.fail, ConnectionEnd.REFUSED)
        elif way.silent or span_us > self.agreement.connect_timeout_us:
            self.clock.after(self.agreement.connect_timeout_us, connection.fail, ConnectionEnd.NOT_UP)
        else:
            self.clock.after(span_us, self._connected, connection, engine)

    def _connected(self, connection: SimulatedEngineConnection, engine: Engine) -> None:
        member = connection.core.member
        if not member.alive or connection.over:
            return
        if self.at.get(engine.address) is not engine:
            connection.fail(ConnectionEnd.REFUSED)
            return
        near = member.end(connection)
        far = engine.accept(near)
        there, back = self.ways[engine.address]
        self.wires[engine.address].append(join(self.clock, self.chance, near, far, there, back))
        connection.up(near)

    def tell(self, engine: Engine, phase: str) -> None:
        """The list changes; each gateway hears of it a way later, or as late as the list is now."""
        self.index += 1
        self.phases[engine.id] = phase
        line = json.dumps(event(self.index, (engine.id, engine.address, phase))).encode() + b"\n"
        for member in self.members.values():
            # One stream for each: what is told later never comes before what was told first.
            member.fed_at = max(member.fed_at, self.clock.now + ONE_WAY_DELAY_US + self.list_delay_us)
            self.clock.at(member.fed_at, self._feed, member, line, engine, phase)

    def _feed(self, member: Member, line: bytes, engine: Engine, phase: str) -> None:
        if member.alive:
            self.checker.told(self.clock.now, member, engine.id, phase)
            member.feed(line)


def faults_of(seed: int, size: Size) -> list[Fault]:
    """The faults that a seed draws."""
    places = {
        Target.WIRE: size.engines,
        Target.ENGINE: size.engines,
        Target.COORDINATOR: 1,
        Target.GATEWAY: size.gateways,
        Target.CLIENT: size.gateways * size.clients,
    }
    drawn_ones = drawn(seed, 2 * size.faults, SPAN_US, places)
    return [fault for fault in drawn_ones if fault.kind in PLAYED][: size.faults]


def play(
    seed: int,
    faults: list[Fault] | None = None,
    size: Size | None = None,
    choose: Callable[[int], int] = first_asked_for,
) -> Result:
    """A Result; faults: a script, None: drawn from the seed."""
    size = size or Size()
    faults = faults_of(seed, size) if faults is None else faults
    world = World(seed, size, choose)
    injector = FaultInjector(world)
    for fault in faults:
        world.clock.at(fault.at_us, injector.inject, fault)
    world.clock.run(SPAN_US + AFTER_US)
    for member in world.members.values():  # what may run on is over; a turn looks at it
        if member.alive:
            member.core.list_changed((), {}, False)
    world.clock.run(SPAN_US + AFTER_US + 1)
    broken = world.checker.finish(world.members.values())
    return Result(broken, world.checker.hash.hexdigest(), dict(world.checker.counts))
