"""Engines that commands may go to, in order, and their ranks for each data set, kept up to date by changes.

Every gateway ranks alike: rendezvous hashing in small fleets, consistent hashing on one ring in large ones.
The work follows the changes, not the number of engines: a fleet of thousands changes one engine at a time.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator

from gullhold.decisions.engine import Engine

MAX_RANKED_ENGINES = 256  # engines of a list for which each data set ranks all; larger ones share one ring
RING_SALT = -1  # what ids of engines are mixed with for the ring
RING_START_SALT = -2  # what data sets are mixed with for their start on the ring
MAX_CACHED_RANKINGS = (
    512  # data sets whose ranks are cached; beyond it all are ranked anew when they are asked for
)


def mix(one: int, other: int) -> int:
    """A number of 32 bits that looks random, the same everywhere for the same two."""
    mixed = (one ^ other * 0x9E3779B1) * 0x85EBCA6B & 0xFFFFFFFF
    return (mixed ^ mixed >> 15) * 0xC2B2AE35 & 0xFFFFFFFF


class Ranking:
    """Engines by their rank for one data set (rendezvous hashing)."""

    def __init__(self, dataset: int) -> None:
        self.dataset = dataset
        self.serial = 0  # of the last change of the list that is in it
        self.keys: list[tuple[int, int]] = []  # (rank, slot), ascending
        self.engines: list[Engine] = []  # the engines of these keys

    def key(self, engine: Engine) -> tuple[int, int]:
        """What an engine is sorted by."""
        return mix(engine.id, self.dataset), engine.slot

    def build(self, members: Iterable[Engine]) -> None:
        """Rank all anew."""
        spread = self.dataset * 0x9E3779B1
        ranked = []
        for engine in members:
            # mix() in line: a fleet of thousands is ranked in a few ms.
            mixed = (engine.id ^ spread) * 0x85EBCA6B & 0xFFFFFFFF
            rank = (mixed ^ mixed >> 15) * 0xC2B2AE35 & 0xFFFFFFFF
            ranked.append(((rank, engine.slot), engine))
        ranked.sort(key=lambda pair: pair[0])
        self.keys = [key for key, _ in ranked]
        self.engines = [engine for _, engine in ranked]

    def change(self, is_added: bool, engine: Engine) -> None:
        """One engine is added or removed."""
        key = self.key(engine)
        at = bisect_left(self.keys, key)
        if is_added:
            self.keys.insert(at, key)
            self.engines.insert(at, engine)
        else:
            del self.keys[at]
            del self.engines[at]

    def at(self, place: int) -> Engine:
        """The engine at a place."""
        return self.engines[place]

    def place(self, engine: Engine) -> int | None:
        """Where an engine stands; None: it is not ranked."""
        key = self.key(engine)
        at = bisect_left(self.keys, key)
        return at if at < len(self.keys) and self.keys[at] == key else None

    def is_within(self, places: range, engine: Engine) -> bool:
        """Whether an engine stands at one of these places."""
        return self.place(engine) in places


class RingView:
    """The ring that data sets of a large list share, from a point of its own on (consistent hashing).

    Ranks of its own for each data set cost a sort and some hundred KB each at thousands of engines.
    """

    def __init__(self, ring: Ranking, dataset: int) -> None:
        self.ring = ring
        self.start = bisect_left(ring.keys, (mix(dataset, RING_START_SALT), 0))

    def at(self, place: int) -> Engine:
        """The engine at a place."""
        return self.ring.engines[(self.start + place) % len(self.ring.engines)]

    def is_within(self, places: range, engine: Engine) -> bool:
        """Whether an engine stands at one of these places."""
        at = self.ring.place(engine)
        return at is not None and (at - self.start) % len(self.ring.engines) in places


class EngineList:
    """Engines in the order in which they were discovered."""

    def __init__(self) -> None:
        self.engines: list[Engine] = []
        self._members: set[Engine] = set()
        self._sequences: list[int] = []  # of the engines, in the same order
        self.rankings: dict[int, Ranking] = {}  # by data set
        self.changes: list[tuple[bool, Engine]] = []  # the last of them, up to the serial
        self._serial = 0  # of the last change

    def __len__(self) -> int:
        return len(self.engines)

    def __iter__(self) -> Iterator[Engine]:
        return iter(self.engines)

    def __getitem__(self, place: int) -> Engine:
        return self.engines[place]

    def at(self, place: int) -> Engine:
        """The engine at a place."""
        return self.engines[place]

    def __contains__(self, engine: Engine) -> bool:
        return engine in self._members

    def set_present(self, engine: Engine, is_present: bool) -> None:
        """Have an engine be in the list, or not."""
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
        self._serial += 1
        if len(self.changes) > len(self.engines) + MAX_CACHED_RANKINGS:  # no more than to rank all anew
            self.changes.clear()
            self.rankings.clear()

    def ranked(self, dataset: int) -> Ranking | RingView:
        """The engines in order for a data set."""
        if len(self.engines) > MAX_RANKED_ENGINES:
            return RingView(self._ranking(RING_SALT), dataset)
        return self._ranking(dataset)

    def _ranking(self, dataset: int) -> Ranking:
        """The Ranking for a data set, with all changes up to now."""
        ranking = self.rankings.get(dataset)
        if ranking is None:
            if len(self.rankings) >= MAX_CACHED_RANKINGS:
                self.rankings.clear()
            ranking = Ranking(dataset)
            self.rankings[dataset] = ranking
            ranking.build(self.engines)
        elif ranking.serial < self._serial:
            self._catch_up(ranking, self._serial - ranking.serial)
        ranking.serial = self._serial
        return ranking

    def _catch_up(self, ranking: Ranking, missed: int) -> None:
        if missed > len(self.engines) // 4:
            ranking.build(self.engines)
            return
        for is_added, engine in self.changes[-missed:]:
            ranking.change(is_added, engine)
