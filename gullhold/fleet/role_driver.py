"""Drives the role states of a fleet's member: passes events to them and carries out their actions."""

from typing import TYPE_CHECKING

from gullhold.fleet.clocks import monotonic_us
from gullhold.fleet.role_state import CallSerial, LogEvent, ReadKeys, RoleAction, WatchKeys, WriteKeys
from gullhold.fleet.store_calls import ReadPrefix, Reply

if TYPE_CHECKING:
    from gullhold.fleet.driver import FleetMember


class RoleDriver:
    """The role states of one member, each with the lane and the watcher that have the name of its role.

    All methods are called on the fleet's thread.
    """

    def __init__(self, fleet_member: "FleetMember") -> None:
        """fleet_member: it has the role states, the lanes and the watchers."""
        self._fleet_member = fleet_member

    def won(self, role: str, token: int) -> None:
        """Begin to lead the role, under this fencing token."""
        self._fleet_member.role_states[role].won(token, monotonic_us())

    def lost(self, role: str) -> None:
        """Stop leading the role."""
        self._fleet_member.role_states[role].lost()

    def due(self, now: int) -> list[int]:
        """When to step() each role next."""
        return [state.due(now) for state in self._fleet_member.role_states.values()]

    def step(self, role: str) -> None:
        """Have a role take its next step, and carry out the actions."""
        state = self._fleet_member.role_states[role]
        state.step(monotonic_us())
        while actions := state.take_actions():
            for action in actions:
                self._carry_out(role, action)

    def changed(self, role: str, key: str, value: str | None, revision: int) -> None:
        """Pass a change of one of the role's keys on to its state."""
        self._fleet_member.role_states[role].changed(monotonic_us(), key, value, revision)

    def watch_gap(self, role: str) -> None:
        """Have the role read its keys again, as the watch has missed changes."""
        self._fleet_member.role_states[role].watch_gap(monotonic_us())

    def _carry_out(self, role: str, action: RoleAction) -> None:
        fleet_member = self._fleet_member
        match action:
            case ReadKeys(serial, prefix):
                fleet_member.lanes[role].submit(ReadPrefix(prefix), self._read, role, serial)
            case WriteKeys(serial, token, operations, conditions):
                request = fleet_member.membership.fenced_transaction(role, token, operations, conditions)
                fleet_member.lanes[role].submit(request, self._written, role, serial, token)
            case WatchKeys(revision):
                fleet_member.watchers[role].watch_from(revision)
            case LogEvent(level, text, facts):
                token = fleet_member.role_states[role].token
                fleet_member.log_event(level, text, role=role, token=token, **facts)

    def _read(self, role: str, serial: CallSerial, reply: Reply) -> None:
        self._fleet_member.role_states[role].read(monotonic_us(), serial, reply)

    def _written(self, role: str, serial: CallSerial, token: int, reply: Reply) -> None:
        self._fleet_member.log_if_refused(role, token, reply)
        self._fleet_member.role_states[role].written(monotonic_us(), serial, reply)
