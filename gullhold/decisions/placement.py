"""Choice of an engine for a command: the least busy of a few drawn at random.

They are drawn from the engines that the command's data set prefers, and from all engines.
"""

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

MANY_ENGINES = MAX_RANKED_ENGINES  # with more engines than this, commands return to those used recently
MAX_RANDOM_DRAWS = 4  # engines drawn independently of one another
MAX_SCANNED_ENGINES = 128  # engines scanned after that, from a random start: more than most deployments have
CANDIDATES = 2  # engines to choose from: the power of two choices
CACHED_THREADS_WEIGHT = 0.7  # weight of a command's threads on a preferred engine, which has its data cached


class Placement:
    """Decides which engines may take a command, and chooses one of them.

    draw: returns a random number from 0 to 1.
    """

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
        self._separates_loads = any(profile.waits_for_loads for profile in agreement.profiles)
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
        self._engine_limits: dict[Engine, float] = {}  # cached, as none changes while commands are dispatched

    def begin_dispatching(self) -> None:
        """Drop the cached limits, as commands are about to be dispatched."""
        self._engine_limits = {}

    def record_answer(self, dataset: int, engine: Engine) -> None:
        """Record that an engine has answered a command for a data set."""
        if len(self._engines.ready) > MANY_ENGINES:
            self.recent.record_answer(dataset, engine)

    def choose(self, command: Command, now: int) -> Engine | None:
        """Return the engine to dispatch the command to now, None if no engine may take it."""
        ready = self._engines.ready
        if not self._limits.total_limit_allows(command, now) or not ready:
            return None
        pool = self._pool()
        ranking = pool.ranked(command.dataset)
        preferred, positions = self._positions(command, len(pool))
        wanted = CANDIDATES
        if not command.is_short and self._limits.engine_limit(pool[0], now) < command.threads:
            # An engine may then take the command only while it runs none of our attempts, so thread counts
            # hardly tell candidates apart; one more gives more choice. pool[0] stands for all engines.
            wanted += 1
        seen: set[Engine] = set()
        found = self._recent_engine(command, len(pool), seen, now)
        self._draw_engines(command, ranking, preferred, wanted, found, seen, now)
        wanted_in_total = max(CANDIDATES, wanted - 1 + len(found))
        self._draw_engines(command, ranking, positions, wanted_in_total, found, seen, now)
        if not found:
            self._draw_engines(command, ready, range(len(ready)), CANDIDATES, found, seen, now)
        return self._least_busy(command, found, ranking, preferred, now)

    def may_take(self, command: Command, engine: Engine, now: int) -> bool:
        """Whether the engine may be given the command, by its capacity, the rules, its health and budgets."""
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
        """Whether the endpoint list, the profile and slow start allow the command on the engine."""
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
        """Whether the engine is in the scope that drops a retry of a keyed command that may have run."""
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
        """Return the engines to draw from: those of our zone if traffic between zones is charged, else all.

        While the engines as a whole are under pressure, all zones are used, since one zone may be busier than
        the others. The price is the charge for traffic between zones.
        """
        if not self._agreement.cross_zone_costs or not self._engines.local or self._limits.are_engines_slow():
            return self._engines.ready
        return self._engines.local

    def _positions(self, command: Command, size: int) -> tuple[range, range]:
        """Return the positions of the preferred and of all engines for a command, in its data set's order.

        If a profile waits for loads, commands that load a data set use only the second half of the engines,
        and all other commands only the first half, so that they rarely have to wait for a load.
        """
        preferred = range(self.popularity.preferred_engine_count(command.dataset, size))
        positions = range(size)
        half = size // 2
        if not half or not self._separates_loads:
            return preferred, positions
        if command.profile.loads_dataset:
            return positions[half:], positions[half:]
        return preferred[:half], positions[:half]

    def _recent_engine(self, command: Command, size: int, seen: set[Engine], now: int) -> list[Engine]:
        """With many engines, return one that answered recently for the data set and may take the command.

        The command then needs no new connection. A less busy candidate is still preferred to this engine.
        """
        slots = self.recent.slots(command.dataset) if size > MANY_ENGINES else None
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
        positions: range,
        wanted: int,
        found: list[Engine],
        seen: set[Engine],
        now: int,
    ) -> None:
        """Append engines that may take the command to found, from these positions, until it has `wanted`.

        A few are drawn independently, then engines are scanned from a random start. The number scanned is
        bounded, so that the work does not grow with the number of engines. seen: engines considered before,
        which are skipped; the engines considered now are added to it.
        """
        size = len(positions)
        start = int(self._draw() * size)
        draws = [int(self._draw() * size) for _ in range(min(MAX_RANDOM_DRAWS, size))]
        for position in chain(draws, range(start, start + min(size, MAX_SCANNED_ENGINES))):
            if len(found) >= wanted:
                break
            engine = order.at(positions[position % size])
            if engine in seen:
                continue
            seen.add(engine)
            if self.may_take(command, engine, now):
                found.append(engine)

    def _least_busy(
        self, command: Command, found: list[Engine], order: Ranking | RingView, preferred: range, now: int
    ) -> Engine | None:
        """Return the engine with the lowest sum of our threads per core and reported utilisation.

        Engines on which a load locks the data set come last.
        """
        profile = command.profile
        considers_locks = profile.loads_dataset or profile.waits_for_loads

        def load_order(engine: Engine) -> tuple[bool, float]:
            is_locked = considers_locks and self.locks.is_locked(engine, command.dataset, now)
            is_preferred = order.is_within(preferred, engine)
            threads = command.threads * (CACHED_THREADS_WEIGHT if is_preferred else 1.0)
            own_load = (engine.threads + threads) * self._health.slowness(engine, now) / engine.cores
            return is_locked, own_load + self._loads.utilization(engine, now)

        return min(found, default=None, key=load_order)
