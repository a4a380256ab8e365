"""Which engine is at an address: a new one may come up at that of one that the list still names.

The process that listened there before has ended by then, even if the list says so only later. Sent there
under the earlier id, work would be judged by the state, start and deduplication window of an engine that is
gone.
"""

from typing import NamedTuple

from gullhold.interface import EngineEntry, EngineState


class ResolvedChange(NamedTuple):
    """A change of the list without engines that are replaced; replaced: ids of those that were just now."""

    entries: list[EngineEntry]
    replaced: list[int]


class AddressOwners:
    """The engine at each address. Of several entries with one address, the one that came later is there.

    Among those of one change that is the one that started later, or else the later one in the list.
    """

    def __init__(self) -> None:
        self._owners: dict[str, EngineEntry] = {}  # by address
        self._addresses: dict[int, str] = {}  # by engine id, of the owners
        self._replaced: dict[int, str] = {}  # addresses of listed engines that are replaced, by id

    def resolve(
        self, entries: list[EngineEntry], addresses: dict[int, str], is_complete: bool
    ) -> ResolvedChange:
        """Return a change in which replaced engines are removed, and later entries of them are left out."""
        if is_complete:
            self._forget_all_but({entry.id for entry in entries})
        resolved: dict[int, EngineEntry] = {}
        replaced: list[int] = []
        for entry in entries:
            address = addresses.get(entry.id) or self._addresses.get(entry.id) or self._replaced.get(entry.id)
            if entry.state == EngineState.REMOVED:
                self._forget(entry.id)
            elif address:
                owner = self._owners.get(address)
                if owner and owner.id != entry.id:
                    if not self._takes_over(entry, address, owner, resolved):
                        self._replaced[entry.id] = address
                        continue
                    self._replace(owner, address)
                    resolved[owner.id] = owner._replace(state=EngineState.REMOVED)
                    replaced.append(owner.id)
                self._take(entry, address)
            resolved[entry.id] = entry
        return ResolvedChange(list(resolved.values()), replaced)

    def _takes_over(
        self, entry: EngineEntry, address: str, owner: EngineEntry, resolved: dict[int, EngineEntry]
    ) -> bool:
        """Whether an engine is at an address now, at which another one was by what is known.

        resolved: the entries of this change so far.
        """
        if entry.state != EngineState.READY or self._replaced.get(entry.id) == address:
            return False  # it leaves, or the list still names one that was replaced
        return owner.id not in resolved or entry.started_us >= owner.started_us

    def _take(self, entry: EngineEntry, address: str) -> None:
        """Record that an engine is at an address, and at no other."""
        self._forget(entry.id)
        self._owners[address] = entry
        self._addresses[entry.id] = address

    def _replace(self, owner: EngineEntry, address: str) -> None:
        del self._addresses[owner.id]
        self._replaced[owner.id] = address

    def _forget(self, engine_id: int) -> None:
        """Forget an engine that was removed or has another address."""
        self._replaced.pop(engine_id, None)
        address = self._addresses.pop(engine_id, None)
        if address is not None:
            del self._owners[address]

    def _forget_all_but(self, listed: set[int]) -> None:
        for engine_id in [each for each in (*self._addresses, *self._replaced) if each not in listed]:
            self._forget(engine_id)
