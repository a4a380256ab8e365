"""The endpoint list as the core applies it: the engines with their addresses and states."""

from typing import TYPE_CHECKING

from gullhold.interface import EngineEntry, EngineState, Outcome
from gullhold.net.address_owners import AddressOwners
from gullhold.net.connection_ends import ConnectionEnd
from gullhold.net.engine_connection import EngineEndpoint
from gullhold.net.start_times import StartTimes

if TYPE_CHECKING:
    from gullhold.net.core import Core


class EndpointList:
    """Applies changes of the endpoint list. On the core's thread only."""

    def __init__(self, core: "Core") -> None:
        self.core = core
        self.endpoints = core.pool.endpoints
        self.start_times = StartTimes()
        self.address_owners = AddressOwners()
        # Whether the configuration's list was applied; all later changes are watch events.
        self.has_initial_list = False

    def apply(
        self, entries: list[EngineEntry], addresses: dict[int, str], is_complete: bool, event_count: int = 1
    ) -> None:
        """Apply a change of the list that combines event_count watch events.

        is_complete: the change is a complete list: engines that are not among the entries are removed.
        """
        entries, replaced = self.address_owners.resolve(entries, addresses, is_complete)
        listed = {entry.id for entry in entries}
        self._update_addresses({each: address for each, address in addresses.items() if each in listed})
        entries = self.start_times.correct(self.core.now, entries, self.has_initial_list)
        self.core.counters.add("endpoint_list_events", event_count)
        states = {entry.id: entry.state for entry in entries}
        changed = list(self.endpoints) if is_complete else states  # ids of the engines that changed
        for engine_id in changed:
            endpoint = self.endpoints.get(engine_id)
            if endpoint is not None:
                self._update_state(endpoint, states.get(engine_id, EngineState.REMOVED))
        for engine_id in replaced:
            self._drop_connections(engine_id)
        self.core.decisions.call(None, self.core.gateway.update_engines, entries, is_complete)

    def forget_if_removed(self, endpoint: EngineEndpoint) -> None:
        """Forget an engine if it was removed; its endpoint is kept while it has connections."""
        if endpoint.state != EngineState.REMOVED:
            return
        self.start_times.forget(endpoint.id)
        if not endpoint.connections:
            self.endpoints.pop(endpoint.id, None)

    def _update_addresses(self, addresses: dict[int, str]) -> None:
        for engine_id, address in addresses.items():
            endpoint = self.endpoints.setdefault(engine_id, EngineEndpoint(engine_id, address))
            if endpoint.address != address:  # no new attempts go to the old address
                endpoint.address = address
                for connection in endpoint.connections:
                    connection.is_retired = True

    def _update_state(self, endpoint: EngineEndpoint, state: EngineState) -> None:
        endpoint.state = state
        if state != EngineState.READY:
            self._withdraw_unsent(endpoint)
        self.forget_if_removed(endpoint)

    def _drop_connections(self, engine_id: int) -> None:
        """End the connections to an engine that another one has replaced: its process has ended."""
        endpoint = self.endpoints.get(engine_id)
        for connection in list(endpoint.connections) if endpoint else ():
            self.core.pool.drop(connection, ConnectionEnd.REPLACED)

    def _withdraw_unsent(self, endpoint: EngineEndpoint) -> None:
        """End the attempts of which nothing was sent yet: they must not be sent to this engine any more."""
        for connection in list(endpoint.connections):
            for attempt in list(connection.open_attempts.values()):
                if connection.write_buffer.withdraw(attempt.message):
                    self.core.defer(self.core.attempts.end, attempt, Outcome.NOT_STARTED)
