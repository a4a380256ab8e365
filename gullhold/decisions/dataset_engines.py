"""How many engines a data set prefers, by its popularity, and which engines answered for it recently."""

from collections import deque

from gullhold.decisions.engine import Engine

MIN_PREFERRED_ENGINES = 3  # engines that any data set prefers
INITIAL_COMMANDS = (
    20  # commands added to the total, so that the first few commands do not prefer many engines
)
PREFERRED_SHARE_FACTOR = 2.0  # ratio of a data set's share of the engines to its share of the commands
MAX_COUNTED_COMMANDS = 400  # commands after which all counts are halved
MIN_KEPT_COUNT = 0.5  # commands; a lower count is dropped when counts are halved
RECENT_ENGINES = 4  # engines kept for a data set: about as many as one gateway uses for it at once
MAX_RECENT_DATASETS = 512  # data sets with recent engines; if there are more, all are dropped


class DatasetPopularity:
    """Counts of commands by data set, all halved whenever their total reaches a maximum."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._total = 0.0

    def record(self, dataset: int) -> None:
        """Count a command for a data set."""
        self._counts[dataset] = self._counts.get(dataset, 0.0) + 1
        self._total += 1
        if self._total > MAX_COUNTED_COMMANDS:
            self._counts = {each: count / 2 for each, count in self._counts.items() if count > MIN_KEPT_COUNT}
            self._total = MAX_COUNTED_COMMANDS / 2

    def preferred_engine_count(self, dataset: int, engine_count: int) -> int:
        """Return how many of engine_count engines the data set prefers."""
        share = self._counts.get(dataset, 0.0) / (self._total + INITIAL_COMMANDS)
        return min(engine_count, MIN_PREFERRED_ENGINES + int(share * engine_count * PREFERRED_SHARE_FACTOR))


class RecentEngines:
    """Slots of the engines that answered last for each data set.

    With many engines, commands return to these: otherwise nearly each command would need a new connection.
    """

    def __init__(self) -> None:
        self._slots: dict[int, deque[int]] = {}

    def record_answer(self, dataset: int, engine: Engine) -> None:
        """Record that an engine has answered a command for a data set."""
        if len(self._slots) >= MAX_RECENT_DATASETS:
            self._slots.clear()
        slots = self._slots.setdefault(dataset, deque(maxlen=RECENT_ENGINES))
        if engine.slot not in slots:
            slots.append(engine.slot)

    def slots(self, dataset: int) -> deque[int] | None:
        """Return the engines' slots for a data set, None if there are none."""
        return self._slots.get(dataset)
