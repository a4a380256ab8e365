"""Plays a script: several gateways, engines and clients on one virtual clock, and what came of it."""

import json
from random import Random
from typing import NamedTuple

from gullhold.agreement import read_agreement
from gullhold.net.configuration import Configuration
from gullhold.net.connection_ends import ConnectionEnd
from gullhold.net.engine_ids import EngineIds
from gullhold.net.list_change import parse_event
from gullhold.simulation.checker import Checker
from gullhold.simulation.clock import Clock
from gullhold.simulation.endpoints import End, join
from gullhold.simulation.gateway import Member
from gullhold.simulation.peers import Client, Engine
from gullhold.simulation.script import drawn
from gullhold.simulation.streams import StreamConditions
from gullhold.testing.deployment import event, settings

SPAN_US = 6_000_000  # in which clients ask, and faults begin
AFTER_US = 9_000_000  # for all to end: longer than any client timeout, and than what is taken to run on
FAULT_US = 1_200_000  # that a slow or cut wire lasts, where the fault's size is not its length
WINDOW_S = 0.4  # s in which engines know a mark: short, so that it ends while commands are open
UNCANCELLED = 3  # of so many seeds one has sends that can't be cancelled
CONNECT_S = 1.0  # s in which a connection has to come up: long, so that much may happen meanwhile
WAY_US = 400  # one way between any two
VERBS = (b"read", b"read", b"read", b"mark", b"once")
# Kinds of fault that are played; of script.KINDS the others are not yet.
PLAYED = frozenset(
    (
        "delay",
        "piece",
        "silence",
        "reset",
        "late",
        "refuse",
        "slow",
        "cold",
        "spoilt",
        "twice",
        "drain",
        "gone",
        "late list",
        "kill",
        "leave",
    )
)


class Size(NamedTuple):
    """How large a world is."""

    gateways: int = 2
    engines: int = 3
    clients: int = 3  # of each gateway
    gap_us: int = 60_000  # between asks of a client, in the mean
    faults: int = 6


class Result(NamedTuple):
    """What came of it: rules that broke, a hash of all that passed, how often what was seen."""

    broken: list
    trace: str
    counts: dict


class World:
    """All that takes part, on one clock."""

    def __init__(self, seed, size, choose=lambda count: 0):
        self.size, self.clock, self.draw = size, Clock(choose=choose), Random(seed)
        self.chance, self.seed, self.asks_until = self.draw.random, seed, SPAN_US
        self.client_way_us, self.list_delay_us, self.index = WAY_US, 0, 1
        tree = settings()
        tree["balancers"] = size.gateways
        tree["domain"]["cores_by_kind"] = [4]
        tree["limits"] |= {"connect_timeout": CONNECT_S, "cancel": seed % UNCANCELLED > 0}
        for item in tree["categories"]:
            item["window"] = WINDOW_S
        self.tree, self.agreement = tree, read_agreement(json.loads(json.dumps(tree)))
        self.window_us = self.agreement.profiles[1].dedup_window_us
        self.checker = Checker(self, self.agreement.max_attempts, self.window_us)
        self.engines = [Engine(self, f"s-{i}", f"10.0.0.{i + 1}:5050", 4) for i in range(size.engines)]
        self.at = {engine.address: engine for engine in self.engines}
        self.ways = {
            engine.address: (StreamConditions(WAY_US), StreamConditions(WAY_US)) for engine in self.engines
        }
        self.wires = {engine.address: [] for engine in self.engines}
        self.phases = {engine.id: "ready" for engine in self.engines}
        self.members, self.clients, self.numbers = {}, [], 0
        for i in range(size.gateways):
            self.gateway(f"n{i}")
        for name in list(self.members):
            for _ in range(size.clients):
                self.client(name, VERBS, size.gap_us)

    def gateway(self, name):
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

    def client(self, name, verbs, gap_us):
        """A client connects to a gateway and begins to ask."""
        member = self.members[name]
        if not member.alive:
            return
        self.numbers += 1
        client = Client(self, self.numbers, member, verbs, gap_us)
        near, far = End(self.clock, client), End(self.clock, None)
        client.end = near
        join(self.clock, self.chance, near, far, StreamConditions(WAY_US), StreamConditions(WAY_US))
        member.accept(far)
        self.clients.append(client)
        self.clock.after(int(self.chance() * gap_us), client.ask)

    def dial(self, link):
        """A gateway's link connects."""
        address = link.endpoint.address
        engine, way = self.at.get(address), self.ways[address][0]
        span_us = 2 * way.delay_us + (engine.late if engine else 0)
        if engine is None or engine.refusing > self.clock.now:
            self.clock.after(2 * way.delay_us, link.fail, ConnectionEnd.REFUSED)
        elif way.silent or span_us > self.agreement.connect_timeout_us:
            self.clock.after(self.agreement.connect_timeout_us, link.fail, ConnectionEnd.NOT_UP)
        else:
            self.clock.after(span_us, self._connected, link, engine)

    def _connected(self, link, engine):
        member = link.core.member
        if not member.alive or link.over:
            return
        if self.at.get(engine.address) is not engine:
            link.fail(ConnectionEnd.REFUSED)
            return
        near = member.end(link)
        far = engine.accept(near)
        there, back = self.ways[engine.address]
        self.wires[engine.address].append(join(self.clock, self.chance, near, far, there, back))
        link.up(near)

    def tell(self, engine, phase):
        """The list changes; each gateway hears of it a way later, or as late as the list is now."""
        self.index += 1
        self.phases[engine.id] = phase
        line = json.dumps(event(self.index, (engine.id, engine.address, phase))).encode() + b"\n"
        for member in self.members.values():
            # One stream for each: what is told later never comes before what was told first.
            member.fed_at = max(member.fed_at, self.clock.now + WAY_US + self.list_delay_us)
            self.clock.at(member.fed_at, self._feed, member, line, engine, phase)

    def _feed(self, member, line, engine, phase):
        if member.alive:
            self.checker.told(self.clock.now, member, engine.id, phase)
            member.feed(line)

    # Faults

    def strike(self, fault):
        """One fault of a script, now."""
        engine = self.engines[fault.place % len(self.engines)]
        ways, later = self.ways[engine.address], self.clock.after
        if fault.kind == "delay":
            for way in ways:
                way.delay_us = WAY_US + fault.size
            later(FAULT_US, self._mend, engine)
        elif fault.kind == "piece":
            ways[1].piece = fault.size
            later(FAULT_US, self._mend, engine)
        elif fault.kind == "silence":
            for way in ways:
                way.silent = True
            later(fault.size, self._mend, engine)
        elif fault.kind == "reset":
            for wire in self.wires[engine.address]:
                wire.reset()
        elif fault.kind == "late":
            engine.late = fault.size
            later(FAULT_US, setattr, engine, "late", 0)
        elif fault.kind == "refuse":
            engine.refusing = self.clock.now + fault.size
        elif fault.kind == "slow":
            engine.slow = float(fault.size)
            later(FAULT_US, setattr, engine, "slow", 1.0)
        elif fault.kind == "cold":
            engine.crash()
        elif fault.kind in ("spoilt", "twice"):
            setattr(engine, fault.kind, fault.size)
        elif fault.kind == "drain":
            self.tell(engine, "draining")
            later(2 * FAULT_US, self.tell, engine, "ready")
        elif fault.kind == "gone" and self.phases[engine.id] != "gone":
            self.tell(engine, "gone")
            later(FAULT_US // 2, engine.crash)
        elif fault.kind == "late list":
            self.list_delay_us = fault.size
            later(FAULT_US, setattr, self, "list_delay_us", 0)
        elif fault.kind == "kill":
            self._kill(f"n{fault.place % self.size.gateways}")
        elif fault.kind == "leave":
            client = self.clients[fault.place % len(self.clients)]
            client.leave(again=True)

    def _mend(self, engine):
        for way in self.ways[engine.address]:
            way.delay_us, way.piece, way.silent = WAY_US, 0, False
        for wire in self.wires[engine.address]:
            wire.heal()

    def _kill(self, name):
        member = self.members[name]
        self.checker.killed(member)
        for client in self.clients:
            if client.member is member:
                client.gone = True
        member.kill()
        self.gateway(name)  # another process in its place
        for _ in range(self.size.clients):
            self.client(name, VERBS, self.size.gap_us)


def faults_of(seed, size):
    """The faults that a seed draws."""
    places = {
        "wire": size.engines,
        "engine": size.engines,
        "coordinator": 1,
        "gateway": size.gateways,
        "client": size.gateways * size.clients,
    }
    drawn_ones = drawn(seed, 2 * size.faults, SPAN_US, places)
    return [fault for fault in drawn_ones if fault.kind in PLAYED][: size.faults]


def play(seed, faults=None, size=None, choose=lambda count: 0):
    """A Result; faults: a script, None: drawn from the seed."""
    size = size or Size()
    faults = faults_of(seed, size) if faults is None else faults
    world = World(seed, size, choose)
    for fault in faults:
        world.clock.at(fault.at_us, world.strike, fault)
    world.clock.run(SPAN_US + AFTER_US)
    for member in world.members.values():  # what may run on is over; a turn looks at it
        if member.alive:
            member.core.list_changed((), {}, False)
    world.clock.run(SPAN_US + AFTER_US + 1)
    broken = world.checker.finish(world.members.values())
    return Result(broken, world.checker.hash.hexdigest(), dict(world.checker.counts))
