"""Numbers for the engines' names, alike at every gateway."""

from zlib import crc32

ID_MASK = 0xFFFFFFFF  # ids have the 32 bits of the hash


class EngineIds:
    """Gives each engine's name a number: a hash of the name, so that every gateway numbers engines alike."""

    def __init__(self) -> None:
        self.ids_by_name: dict[str, int] = {}
        self._used_ids: set[int] = set()

    def id_for(self, name: str) -> int:
        """Return the engine's id; a new name gets one."""
        if name not in self.ids_by_name:
            engine_id = crc32(name.encode())
            while engine_id in self._used_ids:  # two names with the same hash
                engine_id = (engine_id + 1) & ID_MASK
            self.ids_by_name[name] = engine_id
            self._used_ids.add(engine_id)
        return self.ids_by_name[name]

    def forget(self, name: str) -> None:
        """Free the id of an engine that was removed."""
        self._used_ids.discard(self.ids_by_name.pop(name, None))
