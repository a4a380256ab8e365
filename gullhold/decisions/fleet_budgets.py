"""This gateway's shares of the budgets of its fleet; a gateway without a fleet has none."""

from collections.abc import Callable
from math import ceil
from typing import TypeVar

from gullhold.decisions.command import Command
from gullhold.decisions.engine import Engine
from gullhold.decisions.memory_grants import MemoryGrants
from gullhold.decisions.ranking import EngineList
from gullhold.decisions.slow_start import SlowStart
from gullhold.interface import BudgetKind, BudgetShare, Demand, ReportDemand

ShareLookup = Callable[[BudgetKind, int], BudgetShare | None]
Amount = TypeVar("Amount", int, float)  # a part of integers is an integer
Claim = tuple[BudgetShare, int]  # a share, and the amount that an attempt needs from it

ADMISSION_BUDGETS = (BudgetKind.OPEN_COMMANDS, BudgetKind.ADMISSIONS)


class FleetBudgets:
    """Finds shares through the lookup that the driver passed last."""

    def __init__(self, slow_start: SlowStart, grants: MemoryGrants) -> None:
        self._slow_start = slow_start
        self._grants = grants
        self._lookup: ShareLookup | None = None

    @property
    def is_active(self) -> bool:
        """Whether budgets of a fleet are in force."""
        return self._lookup is not None

    def apply(self, lookup: ShareLookup | None) -> None:
        """Use this lookup from now on; None: no budgets are in force."""
        self._lookup = lookup

    def share(self, budget: BudgetKind, subject: int) -> BudgetShare | None:
        """Return our share of one budget, None if the fleet has no such budget."""
        return self._lookup(budget, subject) if self._lookup else None

    def admit(self, command: Command, policy_admits: bool) -> bool:
        """Acquire what a new command needs to be admitted, if our shares allow it; return whether they do.

        policy_admits: whether the policy in force admits new commands.
        """
        found = [self.share(budget, command.tenant) for budget in ADMISSION_BUDGETS]
        shares = [share for share in found if share is not None]
        is_admitted = policy_admits and all(share.allows(1) for share in shares)
        for share in shares:
            if is_admitted:
                share.acquire(1)
            else:
                share.record_rejection(1)  # a rejection counts as demand
        if is_admitted:
            command.admission_shares = shares
        return is_admitted

    def claims(self, command: Command, engine: Engine, now: int) -> list[Claim]:
        """Return what an attempt on the engine needs from our shares."""
        amounts = [
            (BudgetKind.THREADS, engine.id, command.threads),
            (BudgetKind.MEMORY, engine.id, ceil(self._grants.grant_mb(command, engine))),
        ]
        if self._slow_start.is_warming(engine, now):
            amount = self._slow_start.budget_millionths(command.work, engine, now)
            amounts.append((BudgetKind.WARMUP, engine.id, amount))
        if command.attempts:
            amounts.append((BudgetKind.RETRIES, 0, 1))
        found = [(self.share(budget, subject), amount) for budget, subject, amount in amounts]
        return [(share, amount) for share, amount in found if share is not None]

    def demand(self, queued: list[Command], ready: EngineList, traffic: float, now: int) -> ReportDemand:
        """Return what queued commands would need from the budgets. traffic: our decaying count of arrivals.

        The demand for each engine is an even part of what is queued, but at least the largest command's.
        """
        engine_count = max(1, len(ready))
        threads = _even_share([command.threads for command in queued], engine_count)
        memory = _even_share([ceil(command.need_mb) for command in queued], engine_count)
        work = _even_share([command.work for command in queued], engine_count)
        demands = [
            Demand(BudgetKind.RETRIES, 0, sum([command.attempts > 0 for command in queued])),
            Demand(BudgetKind.TRAFFIC_SHARE, 0, ceil(traffic)),
        ]
        for engine in ready:
            demands.append(Demand(BudgetKind.THREADS, engine.id, threads))
            demands.append(Demand(BudgetKind.MEMORY, engine.id, memory))
            if self._slow_start.is_warming(engine, now):
                amount = self._slow_start.budget_millionths(work, engine, now)
                demands.append(Demand(BudgetKind.WARMUP, engine.id, amount))
        return ReportDemand(tuple(demands))


def _even_share(amounts: list[Amount], engine_count: int) -> Amount | int:
    """Return an even part of the amounts for one engine, but at least the largest amount."""
    if not amounts:
        return 0
    return max(*amounts, ceil(sum(amounts) / engine_count))
