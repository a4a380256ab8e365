"""Engines that commands may go to, in order, and their ranks for each data set, kept by what changes.

The work follows the changes, not the number of engines: a fleet of thousands tells of one engine at a time.
Part of the decision module: gullhold/decisions/gateway.py is the only one that uses it.
"""

from bisect import bisect_left, insort

RANKED_MOST = 256  # engines of a list for which each data set ranks all; larger ones share one order
RING, ARC = -1, -2  # what the ids of engines, and data sets, are mixed with for that order
RANKINGS_MOST = 512  # data sets whose ranks are kept; beyond it all are ranked anew when they are asked for


def mix(one, other):
    """A number of 32 bits that looks random, the same everywhere for the same two."""
    one = (one ^ other * 0x9E3779B1) * 0x85EBCA6B & 0xFFFFFFFF
    return (one ^ one >> 15) * 0xC2B2AE35 & 0xFFFFFFFF


class Ranking:
    """Engines by their rank for one data set: every gateway ranks them alike (rendezvous hashing)."""

    def __init__(self, dataset):
        self.dataset, self.serial = dataset, 0  # serial: of the last change that is in it
        self.keys, self.engines = [], []  # (rank, engine) in order; the engines of these

    def key(self, ident, engine):
        """Where an engine of this id stands."""
        return mix(ident, self.dataset), engine

    def build(self, members):
        """Rank all (id, engine) anew."""
        spread = self.dataset * 0x9E3779B1  # mix() in line: a fleet of thousands is ranked in a few ms
        self.keys = sorted(
            [
                (
                    ((one := (ident ^ spread) * 0x85EBCA6B & 0xFFFFFFFF) ^ one >> 15) * 0xC2B2AE35
                    & 0xFFFFFFFF,
                    engine,
                )
                for ident, engine in members
            ]
        )
        self.engines = [engine for _, engine in self.keys]

    def change(self, comes, ident, engine):
        """One engine comes or goes."""
        key = self.key(ident, engine)
        at = bisect_left(self.keys, key)
        if comes:
            self.keys.insert(at, key)
            self.engines.insert(at, engine)
        else:
            del self.keys[at], self.engines[at]

    def at(self, place):
        """The engine at a place."""
        return self.engines[place]

    def place(self, ident, engine):
        """Where an engine stands, or None."""
        at = bisect_left(self.keys, self.key(ident, engine))
        return at if at < len(self.engines) and self.engines[at] == engine else None

    def stands_in(self, places, ident, engine):
        """Whether an engine stands at one of these places."""
        return self.place(ident, engine) in places


class Arc:
    """The one order that data sets of a large list share, from a point of its own on (consistent hashing).

    Ranks of its own for each data set cost a sort and some hundred KB each at thousands of engines.
    """

    def __init__(self, ring, dataset):
        self.ring, self.start = ring, bisect_left(ring.keys, (mix(dataset, ARC), 0))

    def at(self, place):
        """The engine at a place."""
        return self.ring.engines[(self.start + place) % len(self.ring.engines)]

    def stands_in(self, places, ident, engine):
        """Whether an engine stands at one of these places."""
        at = self.ring.place(ident, engine)
        return at is not None and (at - self.start) % len(self.ring.engines) in places


class EngineList:
    """Engines in the order in which they were first told of: each a small number, its id any number."""

    def __init__(self):
        self.members, self.engines = {}, []  # engine: (sequence, id); the engines in order
        self.order = []  # (sequence, engine), as the engines stand
        self.rankings, self.changes, self.serial = {}, [], 0  # changes: the last of them, up to the serial

    def __len__(self):
        return len(self.engines)

    def __iter__(self):
        return iter(self.engines)

    def __getitem__(self, at):
        return self.engines[at]

    def at(self, place):
        """The engine at a place."""
        return self.engines[place]

    def __contains__(self, engine):
        return engine in self.members

    def set(self, engine, sequence, ident, present):
        """Have an engine be in the list, or not. sequence: where it stands among the others."""
        if present == (engine in self.members):
            return
        if present:
            self.members[engine] = sequence, ident
            insort(self.order, (sequence, engine))
            self.engines.insert(bisect_left(self.order, (sequence, engine)), engine)
        else:
            sequence, ident = self.members.pop(engine)
            at = bisect_left(self.order, (sequence, engine))
            del self.order[at], self.engines[at]
        self.changes.append((present, ident, engine))
        self.serial += 1
        if len(self.changes) > len(self.engines) + RANKINGS_MOST:  # no more than to rank all anew
            self.changes.clear()
            self.rankings.clear()

    def ranked(self, dataset):
        """The engines in order for a data set: at(place), stands_in(places, id, engine)."""
        if len(self.engines) > RANKED_MOST:
            return Arc(self._ranking(RING), dataset)
        return self._ranking(dataset)

    def _ranking(self, dataset):
        """The Ranking for a data set, with all changes up to now."""
        ranking = self.rankings.get(dataset)
        if ranking is None:
            if len(self.rankings) >= RANKINGS_MOST:
                self.rankings.clear()
            ranking = self.rankings[dataset] = Ranking(dataset)
            self._build(ranking)
        elif ranking.serial < self.serial:
            late = self.serial - ranking.serial
            if late > len(self.engines) // 4:
                self._build(ranking)
            else:
                for change in self.changes[-late:]:
                    ranking.change(*change)
        ranking.serial = self.serial
        return ranking

    def _build(self, ranking):
        ranking.build([(self.members[engine][1], engine) for engine in self.engines])
