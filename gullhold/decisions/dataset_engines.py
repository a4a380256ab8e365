"""Which engines a data set prefers: how many by its popularity, and in large fleets those used last."""

from collections import deque

from gullhold.decisions.engine import Engine

MIN_PREFERRED_ENGINES = 3  # engines that any data set prefers
COUNT_FIRST = 20  # commands that the popularity starts from: few are no ground for many engines
POPULARITY_SPREAD = 2.0  # share of the engines preferred, against the share of the commands
MAX_COUNTED_COMMANDS = 400  # commands after which all counts are halved
RECENT_ENGINES = 4  # engines remembered for a data set: about what one gateway has open for it
MAX_RECENT_DATASETS = 512  # data sets that they are remembered for


class DatasetPopularity:
    """Commands by data set, fading by halves."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._total = 0.0

    def record(self, dataset: int) -> None:
        """A command for a data set arrived."""
        self._counts[dataset] = self._counts.get(dataset, 0.0) + 1
        self._total += 1
        if self._total > MAX_COUNTED_COMMANDS:
            self._counts = {each: count / 2 for each, count in self._counts.items() if count > 0.5}
            self._total = MAX_COUNTED_COMMANDS / 2

    def preferred_engines(self, dataset: int, engines: int) -> int:
        """How many of so many engines the data set prefers."""
        share = self._counts.get(dataset, 0.0) / (self._total + COUNT_FIRST)
        return min(engines, MIN_PREFERRED_ENGINES + int(share * engines * POPULARITY_SPREAD))


class RecentEngines:
    """Slots of engines that answered last for a data set.

    Guards against a connection for each command in a large fleet.
    """

    def __init__(self) -> None:
        self._slots: dict[int, deque[int]] = {}

    def record_answer(self, dataset: int, engine: Engine) -> None:
        """An engine has answered for a data set."""
        if len(self._slots) >= MAX_RECENT_DATASETS:
            self._slots.clear()
        slots = self._slots.setdefault(dataset, deque(maxlen=RECENT_ENGINES))
        if engine.slot not in slots:
            slots.append(engine.slot)

    def slots(self, dataset: int) -> deque[int] | None:
        """The slots for a data set; None: there are none."""
        return self._slots.get(dataset)
