"""Data sets that are locked on an engine while a command loads them there."""

from gullhold.decisions.engine import Engine


class DatasetLocks:
    """Estimated times (us) until which loads lock data sets on engines."""

    def __init__(self) -> None:
        self._until: dict[tuple[int, int], float] = {}  # by (slot of the engine, data set)

    def lock(self, engine: Engine, dataset: int, until: int) -> None:
        """Record that a load locks the data set on the engine until this time."""
        self._until[engine.slot, dataset] = until

    def is_locked(self, engine: Engine, dataset: int, now: int) -> bool:
        """Whether a load locks the data set on the engine."""
        return now < self._until.get((engine.slot, dataset), 0)

    def forget(self, engine: Engine) -> None:
        """Drop the locks of an engine that is forgotten: another engine may take its slot."""
        self._until = {key: until for key, until in self._until.items() if key[0] != engine.slot}

    def forget_released(self, now: int) -> None:
        """Drop the locks that loads have released by now."""
        self._until = {key: until for key, until in self._until.items() if until > now}
