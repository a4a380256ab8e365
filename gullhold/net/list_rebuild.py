"""Rebuilds the endpoint list from all events of the discovery service, in which some can't be read."""

from gullhold.interface import EngineEntry, EngineState
from gullhold.net.list_change import ListChange


class ListRebuild:
    """Combines all events, from the first on, to the list as it is after the last of them.

    Nothing is applied in between: an engine that drains by now would be taken for ready again meanwhile.
    """

    def __init__(self) -> None:
        self.event_count = 0
        self._entries: dict[int, EngineEntry] = {}
        self._addresses: dict[int, str] = {}
        self._is_complete = False

    def add(self, change: ListChange) -> None:
        """Add the change of the next event."""
        self.event_count += 1
        if change.is_complete:
            self._is_complete = True
            self._entries.clear()
            self._addresses.clear()
        for entry in change.entries:
            self._entries[entry.id] = entry
        self._addresses.update(change.addresses)

    def result(self) -> ListChange:
        """Return one change that has the effect of all events.

        It is a complete list only if one of them was: otherwise an engine that was in none of them may have
        been in one that could not be read, and is kept as it was.
        """
        entries = list(self._entries.values())
        if self._is_complete:
            entries = [entry for entry in entries if entry.state != EngineState.REMOVED]
        listed = {entry.id for entry in entries}
        addresses = {
            engine_id: address for engine_id, address in self._addresses.items() if engine_id in listed
        }
        return ListChange(entries, addresses, self._is_complete)
