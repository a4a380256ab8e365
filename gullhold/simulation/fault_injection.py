"""Applies the faults of a script to a simulated world, and ends those that last for a while."""

from typing import TYPE_CHECKING

from gullhold.simulation.peers import Engine
from gullhold.simulation.script import KINDS, Fault, FaultKind, Target

if TYPE_CHECKING:
    from gullhold.simulation.play import World

FAULT_US = 1_200_000  # that a slow or cut wire lasts, where the fault's size is not its length
ONE_WAY_DELAY_US = 400  # between any two, where nothing is wrong
NOT_PLAYED = frozenset(
    (
        FaultKind.WINDOW,
        FaultKind.DISCOVERY_MOVED,
        FaultKind.STOP,
        FaultKind.CLOCK_JUMP,
        FaultKind.RETRY_BURST,
    )
)
PLAYED = frozenset(KINDS) - NOT_PLAYED


class FaultInjector:
    """Makes faults happen in one world."""

    def __init__(self, world: "World") -> None:
        self.world = world

    def inject(self, fault: Fault) -> None:
        """One fault of a script, now; kinds that are not played change nothing."""
        engine = self.world.engines[fault.place % len(self.world.engines)]
        match KINDS[fault.kind].target:
            case Target.WIRE:
                self._disturb_wires(fault, engine)
            case Target.ENGINE:
                self._disturb_engine(fault, engine)
            case Target.COORDINATOR if fault.kind == FaultKind.LATE_LIST:
                self.world.list_delay_us = fault.size
                self.world.clock.after(FAULT_US, setattr, self.world, "list_delay_us", 0)
            case Target.GATEWAY if fault.kind == FaultKind.KILL:
                self._kill(f"n{fault.place % self.world.size.gateways}")
            case Target.CLIENT if fault.kind == FaultKind.CLIENT_LEAVES:
                client = self.world.clients[fault.place % len(self.world.clients)]
                client.leave(again=True)

    def _disturb_wires(self, fault: Fault, engine: Engine) -> None:
        conditions = self.world.ways[engine.address]
        match fault.kind:
            case FaultKind.DELAY:
                for direction in conditions:
                    direction.delay_us = ONE_WAY_DELAY_US + fault.size
                self.world.clock.after(FAULT_US, self._heal, engine)
            case FaultKind.PIECE:
                _, from_engine = conditions
                from_engine.piece = fault.size
                self.world.clock.after(FAULT_US, self._heal, engine)
            case FaultKind.SILENCE:
                for direction in conditions:
                    direction.silent = True
                self.world.clock.after(fault.size, self._heal, engine)
            case FaultKind.RESET:
                for connection in self.world.wires[engine.address]:
                    connection.reset()

    def _disturb_engine(self, fault: Fault, engine: Engine) -> None:
        later = self.world.clock.after
        match fault.kind:
            case FaultKind.SLOW_CONNECT:
                engine.late = fault.size
                later(FAULT_US, setattr, engine, "late", 0)
            case FaultKind.REFUSE:
                engine.refusing = self.world.clock.now + fault.size
            case FaultKind.SLOW:
                engine.slow = float(fault.size)
                later(FAULT_US, setattr, engine, "slow", 1.0)
            case FaultKind.RESTART:
                engine.crash()
            case FaultKind.MALFORMED_ANSWERS:
                engine.spoilt = fault.size
            case FaultKind.DUPLICATE_ANSWERS:
                engine.twice = fault.size
            case FaultKind.DRAIN:
                self.world.tell(engine, "draining")
                later(2 * FAULT_US, self.world.tell, engine, "ready")
            case FaultKind.REMOVE if self.world.phases[engine.id] != "gone":
                self.world.tell(engine, "gone")
                later(FAULT_US // 2, engine.crash)

    def _heal(self, engine: Engine) -> None:
        for direction in self.world.ways[engine.address]:
            direction.delay_us = ONE_WAY_DELAY_US
            direction.piece = 0
            direction.silent = False
        for connection in self.world.wires[engine.address]:
            connection.heal()

    def _kill(self, name: str) -> None:
        """Kill a gateway; another process takes its place, with clients of its own."""
        member = self.world.members[name]
        self.world.checker.killed(member)
        for client in self.world.clients:
            if client.member is member:
                client.gone = True
        member.kill()
        self.world.gateway(name)
        self.world.usual_clients(name)
