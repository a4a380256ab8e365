"""Data sets that are locked on an engine while a command loads them there."""

from gullhold.decisions.engine import Engine
from gullhold.decisions.expiries import Expiries


class DatasetLocks:
    """Estimated times (us) until which loads lock data sets on engines."""

    def __init__(self) -> None:
        self._locks: Expiries[tuple[int, int]] = Expiries()  # by (slot of the engine, data set)

    def __len__(self) -> int:
        return len(self._locks)

    def lock(self, engine: Engine, dataset: int, until: int, now: int = 0) -> None:
        """Record that a load locks the data set on the engine until this time.

        now: locks that were released by then may be dropped.
        """
        self._locks.set((engine.slot, dataset), until, now)

    def is_locked(self, engine: Engine, dataset: int, now: int) -> bool:
        """Whether a load locks the data set on the engine."""
        return self._locks.holds((engine.slot, dataset), now)

    def forget(self, engine: Engine) -> None:
        """Drop the locks of an engine that is forgotten: another engine may take its slot."""
        self._locks.drop_if(lambda key: key[0] == engine.slot)

    def forget_released(self, now: int) -> None:
        """Drop the locks that loads have released by now."""
        self._locks.drop_expired(now)
