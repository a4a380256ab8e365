"""Numeric ids for the names of engines, the same at every gateway."""

from zlib import crc32

ID_MASK = 0xFFFFFFFF  # ids are 32-bit, as the hash is


class EngineIds:
    """Assigns ids to names: a hash of the name, so that all gateways use the same id for an engine."""

    def __init__(self) -> None:
        self.ids_by_name: dict[str, int] = {}
        self._used_ids: set[int] = set()

    def id_for(self, name: str) -> int:
        """Return the id of the engine with this name; a new name gets one."""
        if name not in self.ids_by_name:
            engine_id = crc32(name.encode())
            while engine_id in self._used_ids:  # another name has the same hash
                engine_id = (engine_id + 1) & ID_MASK
            self.ids_by_name[name] = engine_id
            self._used_ids.add(engine_id)
        return self.ids_by_name[name]

    def forget(self, name: str) -> None:
        """Free the id of an engine that was removed."""
        self._used_ids.discard(self.ids_by_name.pop(name, None))
