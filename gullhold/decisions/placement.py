"""Choice of an engine for a command: two drawn from its data set's preferred ones, one from all others."""

from collections.abc import Callable
from itertools import chain

from gullhold.decisions.command import Command
from gullhold.decisions.concurrency_limit import ConcurrencyLimit
from gullhold.decisions.dataset_engines import DatasetPopularity, RecentEngines
from gullhold.decisions.dataset_locks import DatasetLocks
from gullhold.decisions.engine import Engine
from gullhold.decisions.engine_health import EngineHealth
from gullhold.decisions.engine_registry import EngineRegistry
from gullhold.decisions.fleet_budgets import FleetBudgets
from gullhold.decisions.load_report import LoadReports
from gullhold.decisions.ranking import MAX_RANKED_ENGINES, EngineList, Ranking, RingView
from gullhold.decisions.slow_start import SlowStart
from gullhold.interface import Agreement, BudgetKind, DeduplicationScope, EngineState

LARGE_FLEET = MAX_RANKED_ENGINES  # engines beyond which a gateway goes back to those that it has used
MAX_WALKED_ENGINES = 128  # engines looked at from a point drawn at random: more than most fleets have
MAX_RANDOM_DRAWS = 4  # engines drawn by chance before the walk
CANDIDATES = 2  # engines drawn from the preferred ones: the choice of two
WARM_THREADS_WEIGHT = 0.7  # of a command's threads at a preferred engine: it reads less there, warm


class Placement:
    """Which engines may take a command, and which of them does."""

    def __init__(
        self,
        agreement: Agreement,
        draw: Callable[[], float],
        engines: EngineRegistry,
        health: EngineHealth,
        loads: LoadReports,
        limits: ConcurrencyLimit,
        slow_start: SlowStart,
        budgets: FleetBudgets,
    ) -> None:
        self._agreement = agreement
        self._has_loads = any(profile.waits_for_loads for profile in agreement.profiles)
        self._draw = draw
        self._engines = engines
        self._health = health
        self._loads = loads
        self._limits = limits
        self._slow_start = slow_start
        self._budgets = budgets
        self.popularity = DatasetPopularity()
        self.recent = RecentEngines()
        self.locks = DatasetLocks()
        self._engine_limits: dict[Engine, float] = {}  # none changes while commands are dispatched

    def begin_dispatching(self) -> None:
        """Forget limits that were computed before."""
        self._engine_limits = {}

    def record_answer(self, dataset: int, engine: Engine) -> None:
        """An engine has answered for a data set."""
        if len(self._engines.ready) > LARGE_FLEET:
            self.recent.record_answer(dataset, engine)

    def choose(self, command: Command, now: int) -> Engine | None:
        """The engine that the command is to be dispatched to now; None: none may take it."""
        ready = self._engines.ready
        if not self._limits.fleet_has_room(command, now) or not ready:
            return None
        pool = self._pool()
        ranking = pool.ranked(command.dataset)
        preferred, others = self._places(command, len(pool))
        wanted = CANDIDATES
        if not command.is_short and self._limits.engine_limit(pool[0], now) < command.threads:
            wanted += 1  # counts of threads say nothing where one command is over the limit
        seen: set[Engine] = set()
        found = self._recent_engine(command, len(pool), seen, now)
        self._draw_engines(command, ranking, preferred, wanted, found, seen, now)
        self._draw_engines(command, ranking, others, max(2, wanted - 1 + len(found)), found, seen, now)
        if not found:
            self._draw_engines(command, ready, range(len(ready)), CANDIDATES, found, seen, now)
        return self._least_busy(command, found, ranking, preferred, now)

    def may_take(self, command: Command, engine: Engine, now: int) -> bool:
        """Whether the engine may be given the command: room, rules, health and budgets."""
        limit = self._limit(command, engine, now)
        if now < engine.overloaded_until or self._health.is_stalled(engine):
            return False
        if engine.attempts and engine.threads + command.threads > limit:
            return False
        if not self._is_allowed(command, engine, now):
            return False
        if self._health.is_outlier(engine, command.is_short and command.is_idempotent, now):
            return False
        if not self._budgets.is_active:
            return True
        return all(share.allows(amount) for share, amount in self._budgets.claims(command, engine, now))

    def _limit(self, command: Command, engine: Engine, now: int) -> float:
        limit = self._engine_limits.get(engine)
        if limit is None:
            limit = self._limits.engine_limit(engine, now)
            self._engine_limits[engine] = limit
        return self._limits.long_command_limit(limit, command)

    def _is_allowed(self, command: Command, engine: Engine, now: int) -> bool:
        """Rules of the endpoint list, the profile and slow start."""
        profile = command.profile
        if engine.state != EngineState.READY:
            return False
        if profile.zones is not None and engine.zone not in profile.zones:
            return False
        if profile.engine_kinds is not None and engine.kind not in profile.engine_kinds:
            return False
        if not self._is_in_deduplication_scope(command, engine):
            return False
        if not self._slow_start.is_warming(engine, now):
            return True
        has_budget = self._budgets.share(BudgetKind.WARMUP, engine.id) is not None
        return self._slow_start.may_take(engine, command.work, has_budget, now)

    def _is_in_deduplication_scope(self, command: Command, engine: Engine) -> bool:
        """Whether engines that drop a repeat of a keyed command include this one."""
        first = command.first_run_engine
        if first is None or not command.is_keyed:
            return True
        match command.profile.dedup_scope:
            case DeduplicationScope.ZONE:
                return engine.zone == first.zone
            case DeduplicationScope.CELL:
                return engine.cell == first.cell
            case _:
                return True

    def _pool(self) -> EngineList:
        """Engines to draw from: of our zone where crossings cost.

        Under pressure those of all zones: guards against one that is busier than the others. Harm: crossings.
        """
        if not self._agreement.cross_zone_costs or not self._engines.local or self._limits.is_fleet_slow():
            return self._engines.ready
        return self._engines.local

    def _places(self, command: Command, size: int) -> tuple[range, range]:
        """Places of the preferred engines and of all for the command, in the order of its data set.

        Where commands wait for loads, those that load keep to the second half of the engines.
        """
        preferred = range(self.popularity.preferred_engines(command.dataset, size))
        places = range(size)
        half = size // 2
        if not half or not self._has_loads:
            return preferred, places
        if command.profile.loads_dataset:
            return places[half:], places[half:]
        return preferred[:half], places[:half]

    def _recent_engine(self, command: Command, size: int, seen: set[Engine], now: int) -> list[Engine]:
        """In a large fleet, one that answered last for the data set, if it may take the command.

        Guards against a connection for each command. It goes first only where no other is less busy.
        """
        slots = self.recent.slots(command.dataset) if size > LARGE_FLEET else None
        if not slots:
            return []
        engine = self._engines.by_slot[slots[int(self._draw() * len(slots))]]
        seen.add(engine)
        if engine in self._engines.ready and self.may_take(command, engine, now):
            return [engine]
        return []

    def _draw_engines(
        self,
        command: Command,
        order: EngineList | Ranking | RingView,
        places: range,
        wanted: int,
        found: list[Engine],
        seen: set[Engine],
        now: int,
    ) -> None:
        """Add engines drawn by chance from these places, until so many are found.

        Where few may take the command, by a walk from a point drawn at random, as far as it may go: the work
        must not grow with the fleet.
        """
        size = len(places)
        start = int(self._draw() * size)
        draws = [int(self._draw() * size) for _ in range(min(MAX_RANDOM_DRAWS, size))]
        for place in chain(draws, range(start, start + min(size, MAX_WALKED_ENGINES))):
            if len(found) >= wanted:
                break
            engine = order.at(places[place % size])
            if engine in seen:
                continue
            seen.add(engine)
            if self.may_take(command, engine, now):
                found.append(engine)

    def _least_busy(
        self, command: Command, found: list[Engine], order: Ranking | RingView, preferred: range, now: int
    ) -> Engine | None:
        """The engine with the least of our threads and reported load.

        One on which a load locks the data set is last.
        """
        profile = command.profile
        minds_locks = profile.loads_dataset or profile.waits_for_loads

        def busyness(engine: Engine) -> tuple[bool, float]:
            is_locked = minds_locks and self.locks.is_locked(engine, command.dataset, now)
            is_preferred = order.is_within(preferred, engine)
            threads = command.threads * (WARM_THREADS_WEIGHT if is_preferred else 1.0)
            ours = (engine.threads + threads) * self._health.slowness(engine, now) / engine.cores
            return is_locked, ours + self._loads.utilization(engine, now)

        return min(found, default=None, key=busyness)
