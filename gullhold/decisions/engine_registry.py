"""Engines of the endpoint list, and engines removed from it while something still refers to them."""

from gullhold.decisions.engine import Engine
from gullhold.decisions.ranking import EngineList
from gullhold.interface import Agreement, EngineEntry, EngineState


class EngineRegistry:
    """Holds the engines by id and by slot, lists of the ready ones, and the sum of the ready ones' cores."""

    def __init__(self, agreement: Agreement) -> None:
        self._agreement = agreement
        self.by_id: dict[int, Engine] = {}
        self.by_slot: list[Engine] = []
        self.ready = EngineList()
        self.local = EngineList()  # the ready engines in this gateway's zone
        self.ready_cores = 0.0
        self._free_slots: list[int] = []
        self._removed: set[Engine] = set()
        self._sequence = 0

    def update(self, entry: EngineEntry) -> Engine:
        """Apply one entry of the endpoint list; return its engine."""
        engine = self.by_id.get(entry.id)
        if engine is None:
            engine = self._add(entry.id)
        self._subtract_cores(engine)
        if entry.started_us > engine.started_us:
            engine.forget_observations()
        engine.state = entry.state
        engine.zone = entry.zone
        engine.kind = entry.kind
        engine.cell = entry.cell
        engine.started_us = entry.started_us
        cores = self._agreement.cores_by_kind
        engine.cores = cores[entry.kind] if entry.kind < len(cores) else max(cores, default=1.0)
        self._enlist(engine)
        return engine

    def remove_all_but(self, listed: set[Engine]) -> None:
        """Mark the engines that are missing from a full endpoint list as removed."""
        for engine in self.by_id.values():
            if engine not in listed:
                self._subtract_cores(engine)
                engine.state = EngineState.REMOVED
                self._enlist(engine)

    def has_removed(self) -> bool:
        """Whether any engine has been removed and not yet forgotten."""
        return bool(self._removed)

    def forget_removed(self, now: int, in_use: set[Engine | None]) -> list[Engine]:
        """Forget removed engines that nothing refers to, and return them.

        An engine is kept until its warm-up is over: if it is listed again before, slow start has to know the
        work that it was given.
        """
        forgotten = [
            engine
            for engine in self._removed
            if engine not in in_use and now > engine.started_us + self._agreement.warmup_us
        ]
        forgotten.sort(key=lambda engine: engine.sequence)
        for engine in forgotten:
            del self.by_id[engine.id]
            self._free_slots.append(engine.slot)
            self._removed.discard(engine)
        return forgotten

    def _add(self, engine_id: int) -> Engine:
        self._sequence += 1
        if self._free_slots:
            engine = Engine(engine_id, self._free_slots.pop(), self._sequence)
            self.by_slot[engine.slot] = engine
        else:
            engine = Engine(engine_id, len(self.by_slot), self._sequence)
            self.by_slot.append(engine)
        self.by_id[engine_id] = engine
        return engine

    def _subtract_cores(self, engine: Engine) -> None:
        """Subtract the engine's cores from the sum, before its entry changes."""
        if engine in self.ready:
            self.ready_cores -= engine.cores

    def _enlist(self, engine: Engine) -> None:
        """Update the lists and the sum of cores, after an engine's entry has changed."""
        is_ready = engine.state == EngineState.READY
        self.ready.set_present(engine, is_ready)
        self.local.set_present(engine, is_ready and engine.zone == self._agreement.zone)
        self.ready_cores += engine.cores if is_ready else 0.0
        if engine.state == EngineState.REMOVED:
            self._removed.add(engine)
        else:
            self._removed.discard(engine)
