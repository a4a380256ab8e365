"""Lists of engines, and their order for each data set, updated incrementally.

The order is the same on all gateways. A short list is ordered by rendezvous hashing, a long one by consistent
hashing on one ring. The work depends on the number of changes, not on the number of engines, as a list of
thousands changes by one engine at a time.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator

from gullhold.decisions.engine import Engine

MAX_RANKED_ENGINES = 256  # the longest list that is ranked for each data set; longer ones have one ring
RING_SALT = -1  # hashed with the ids of engines to give their positions on the ring
RING_START_SALT = -2  # hashed with a data set to give the point of the ring at which its order begins
MAX_CACHED_RANKINGS = 512  # data sets whose ranking is cached; if there are more, all are dropped


def hash_pair(value: int, salt: int) -> int:
    """Return a 32-bit hash of two integers, the same on all gateways.

    The multipliers are 2**32 divided by the golden ratio and those of MurmurHash3's finalizer.
    """
    mixed = (value ^ salt * 0x9E3779B1) * 0x85EBCA6B & 0xFFFFFFFF
    return (mixed ^ mixed >> 15) * 0xC2B2AE35 & 0xFFFFFFFF


class Ranking:
    """Engines by their rank for one data set (rendezvous hashing)."""

    def __init__(self, dataset: int) -> None:
        self.dataset = dataset
        self.last_change = 0  # number of the latest change of the list that is applied
        self.keys: list[tuple[int, int]] = []  # (rank, slot), ascending
        self.engines: list[Engine] = []  # the engines of these keys

    def key(self, engine: Engine) -> tuple[int, int]:
        """Return the sort key of an engine."""
        return hash_pair(engine.id, self.dataset), engine.slot

    def build(self, members: Iterable[Engine]) -> None:
        """Rank all members."""
        salt_product = self.dataset * 0x9E3779B1
        ranked = []
        for engine in members:
            # hash_pair() is inlined here, so that thousands of engines are ranked in a few ms.
            mixed = (engine.id ^ salt_product) * 0x85EBCA6B & 0xFFFFFFFF
            rank = (mixed ^ mixed >> 15) * 0xC2B2AE35 & 0xFFFFFFFF
            ranked.append(((rank, engine.slot), engine))
        ranked.sort(key=lambda pair: pair[0])
        self.keys = [key for key, _ in ranked]
        self.engines = [engine for _, engine in ranked]

    def apply_change(self, is_added: bool, engine: Engine) -> None:
        """Add or remove one engine."""
        key = self.key(engine)
        at = bisect_left(self.keys, key)
        if is_added:
            self.keys.insert(at, key)
            self.engines.insert(at, engine)
        else:
            del self.keys[at]
            del self.engines[at]

    def at(self, position: int) -> Engine:
        """Return the engine at a position."""
        return self.engines[position]

    def position_of(self, engine: Engine) -> int | None:
        """Return the position of an engine, None if it is not ranked."""
        key = self.key(engine)
        at = bisect_left(self.keys, key)
        return at if at < len(self.keys) and self.keys[at] == key else None

    def is_within(self, positions: range, engine: Engine) -> bool:
        """Whether the engine's position is one of these."""
        return self.position_of(engine) in positions


class RingView:
    """The order of a long list for one data set: that of the shared ring, from the data set's own start on.

    A separate ranking of thousands of engines would take a sort and some hundred KB for each data set.
    """

    def __init__(self, ring: Ranking, dataset: int) -> None:
        self.ring = ring
        self.start = bisect_left(ring.keys, (hash_pair(dataset, RING_START_SALT), 0))

    def at(self, position: int) -> Engine:
        """Return the engine at a position."""
        return self.ring.engines[(self.start + position) % len(self.ring.engines)]

    def is_within(self, positions: range, engine: Engine) -> bool:
        """Whether the engine's position is one of these."""
        at = self.ring.position_of(engine)
        return at is not None and (at - self.start) % len(self.ring.engines) in positions


class EngineList:
    """Engines in the order in which they were discovered."""

    def __init__(self) -> None:
        self.engines: list[Engine] = []
        self._members: set[Engine] = set()
        self._sequences: list[int] = []  # Engine.sequence of each engine, in the same order
        self.rankings: dict[int, Ranking] = {}  # by data set
        self.changes: list[tuple[bool, Engine]] = []  # the latest changes: (whether added, engine)
        self._last_change = 0  # number of the latest change

    def __len__(self) -> int:
        return len(self.engines)

    def __iter__(self) -> Iterator[Engine]:
        return iter(self.engines)

    def __getitem__(self, position: int) -> Engine:
        return self.engines[position]

    def at(self, position: int) -> Engine:
        """Return the engine at a position."""
        return self.engines[position]

    def __contains__(self, engine: Engine) -> bool:
        return engine in self._members

    def set_present(self, engine: Engine, is_present: bool) -> None:
        """Add an engine to the list, or remove it; does nothing if that is done already."""
        if is_present == (engine in self._members):
            return
        if is_present:
            self._members.add(engine)
            insort(self._sequences, engine.sequence)
            self.engines.insert(bisect_left(self._sequences, engine.sequence), engine)
        else:
            self._members.remove(engine)
            at = bisect_left(self._sequences, engine.sequence)
            del self._sequences[at]
            del self.engines[at]
        self.changes.append((is_present, engine))
        self._last_change += 1
        # After so many changes a new ranking of all engines takes less time.
        if len(self.changes) > len(self.engines) + MAX_CACHED_RANKINGS:
            self.changes.clear()
            self.rankings.clear()

    def ranked(self, dataset: int) -> Ranking | RingView:
        """Return the engines in the order for a data set."""
        if len(self.engines) > MAX_RANKED_ENGINES:
            return RingView(self._ranking(RING_SALT), dataset)
        return self._ranking(dataset)

    def _ranking(self, dataset: int) -> Ranking:
        """Return the ranking for a data set, with all changes so far applied."""
        ranking = self.rankings.get(dataset)
        if ranking is None:
            if len(self.rankings) >= MAX_CACHED_RANKINGS:
                self.rankings.clear()
            ranking = Ranking(dataset)
            self.rankings[dataset] = ranking
            ranking.build(self.engines)
        elif ranking.last_change < self._last_change:
            self._catch_up(ranking, self._last_change - ranking.last_change)
        ranking.last_change = self._last_change
        return ranking

    def _catch_up(self, ranking: Ranking, missed: int) -> None:
        """Apply the changes that a ranking has missed; many of them by ranking all engines anew."""
        if missed > len(self.engines) // 4:
            ranking.build(self.engines)
            return
        for is_added, engine in self.changes[-missed:]:
            ranking.apply_change(is_added, engine)
