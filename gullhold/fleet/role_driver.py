"""Carries out what the state of a led role asks for."""

from typing import TYPE_CHECKING

from gullhold.fleet.clocks import monotonic_us
from gullhold.fleet.role_state import CallSerial, LogEvent, ReadKeys, RoleAction, WatchKeys, WriteKeys
from gullhold.fleet.store_calls import ReadPrefix, Reply

if TYPE_CHECKING:
    from gullhold.fleet.driver import Fleet


class RoleDriver:
    """The role states of one member, by role, on the lane and the watcher of their role.

    All methods are called on the fleet's thread.
    """

    def __init__(self, fleet: "Fleet") -> None:
        """fleet: has the role states, the lanes and the watchers."""
        self._fleet = fleet

    def won(self, role: str, token: int) -> None:
        """This member leads the role, under this fencing token."""
        self._fleet.role_states[role].won(token, monotonic_us())

    def lost(self, role: str) -> None:
        """This member does not lead the role any more."""
        self._fleet.role_states[role].lost()

    def due(self, now: int) -> list[int]:
        """When to step each role at the latest."""
        return [state.due(now) for state in self._fleet.role_states.values()]

    def step(self, role: str) -> None:
        """Go on with a role, and do what it asks for."""
        state = self._fleet.role_states[role]
        state.step(monotonic_us())
        while actions := state.take_actions():
            for action in actions:
                self._carry_out(role, action)

    def changed(self, role: str, key: str, value: str | None, revision: int) -> None:
        """A key of the role changed."""
        self._fleet.role_states[role].changed(monotonic_us(), key, value, revision)

    def missed(self, role: str) -> None:
        """Changes of the role's keys were missed."""
        self._fleet.role_states[role].missed(monotonic_us())

    def _carry_out(self, role: str, action: RoleAction) -> None:
        fleet = self._fleet
        match action:
            case ReadKeys(serial, prefix):
                fleet.lanes[role].put(ReadPrefix(prefix), self._read, role, serial)
            case WriteKeys(serial, token, operations, conditions):
                request = fleet.membership.fenced_transaction(role, token, operations, conditions)
                fleet.lanes[role].put(request, self._written, role, serial, token)
            case WatchKeys(revision):
                fleet.watchers[role].follow(revision)
            case LogEvent(level, text, facts):
                token = fleet.role_states[role].token
                fleet.log_event(level, text, role=role, token=token, **facts)

    def _read(self, role: str, serial: CallSerial, reply: Reply) -> None:
        self._fleet.role_states[role].read(monotonic_us(), serial, reply)

    def _written(self, role: str, serial: CallSerial, token: int, reply: Reply) -> None:
        self._fleet.log_refused_effect(role, token, reply)
        self._fleet.role_states[role].written(monotonic_us(), serial, reply)
