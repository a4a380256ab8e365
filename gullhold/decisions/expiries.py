"""Keys that hold until a time; expired ones are dropped as the table grows."""

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

MIN_PRUNE_SIZE = 256  # keys; a smaller table is pruned on request only

Key = TypeVar("Key", bound=Hashable)


class Expiries(Generic[Key]):
    """Times (us) until which keys hold.

    Expired keys are dropped whenever the table has doubled since they last were: its size follows the number
    of keys that hold, however many have held before.
    """

    __slots__ = ("_prune_size", "_until")

    def __init__(self) -> None:
        self._until: dict[Key, float] = {}
        self._prune_size = MIN_PRUNE_SIZE

    def __len__(self) -> int:
        return len(self._until)

    def set(self, key: Key, until: float, now: int) -> None:
        """Have a key hold until a time, in place of the time that was set before."""
        self._until[key] = until
        if len(self._until) >= self._prune_size:
            self.drop_expired(now)

    def holds(self, key: Key, now: int) -> bool:
        """Whether a key holds."""
        return now < self._until.get(key, 0)

    def drop_expired(self, now: int) -> None:
        """Drop the keys that hold no more."""
        self._until = {key: until for key, until in self._until.items() if until > now}
        self._prune_size = max(MIN_PRUNE_SIZE, 2 * len(self._until))

    def drop_if(self, is_dropped: Callable[[Key], bool]) -> None:
        """Drop the keys for which a function returns True."""
        self._until = {key: until for key, until in self._until.items() if not is_dropped(key)}
