"""The components of one gateway's decisions, each with its own state, and their wiring."""

from collections.abc import Callable
from random import Random

from gullhold.decisions.attempt_review import AttemptReview
from gullhold.decisions.concurrency_limit import ConcurrencyLimit
from gullhold.decisions.engine_health import EngineHealth
from gullhold.decisions.engine_registry import EngineRegistry
from gullhold.decisions.estimators import Estimates
from gullhold.decisions.fair_queue import FairQueue
from gullhold.decisions.fleet_budgets import FleetBudgets
from gullhold.decisions.key_order import KeyOrder
from gullhold.decisions.load_report import LoadReports
from gullhold.decisions.memory_grants import MemoryGrants
from gullhold.decisions.outcome_recorder import OutcomeRecorder
from gullhold.decisions.placement import Placement
from gullhold.decisions.policy_terms import PolicyTerms
from gullhold.decisions.retry_policy import RetryPolicy
from gullhold.decisions.review_schedule import ReviewSchedule
from gullhold.decisions.slow_start import SlowStart
from gullhold.decisions.thread_use import ThreadUse
from gullhold.decisions.traffic import TrafficMeter
from gullhold.interface import Agreement


class Components:
    """One instance of each component. seed: seeds all random draws; now: start of the gateway (us)."""

    def __init__(self, seed: int, agreement: Agreement, now: int) -> None:
        draw = Random(seed).random
        self.policy = PolicyTerms()
        self.engines = EngineRegistry(agreement)
        self.thread_use = ThreadUse()
        self.estimates = Estimates(agreement)
        self.health = EngineHealth(self.engines.ready, self.estimates)
        self.loads = LoadReports(agreement, self.health)
        self.traffic = TrafficMeter(agreement, now)
        self.slow_start = SlowStart(agreement, now, draw)
        self.grants = MemoryGrants(agreement, self.estimates)
        self.budgets = FleetBudgets(self.slow_start, self.grants)
        self.key_order = KeyOrder(agreement.key_settle_us)
        self.retries = RetryPolicy(agreement, self.budgets, self.key_order)
        self.queue = FairQueue(agreement)
        self.reviews = ReviewSchedule()
        self.attempt_review = AttemptReview(agreement, self.estimates, self.retries)
        self.limits = self._new_limits(agreement)
        self.placement = self._new_placement(agreement, draw)
        self.outcomes = self._new_outcomes(agreement)

    def _new_limits(self, agreement: Agreement) -> ConcurrencyLimit:
        return ConcurrencyLimit(
            agreement,
            self.engines,
            self.estimates,
            self.health,
            self.loads,
            self.traffic,
            self.budgets,
            self.thread_use,
        )

    def _new_placement(self, agreement: Agreement, draw: Callable[[], float]) -> Placement:
        return Placement(
            agreement,
            draw,
            self.engines,
            self.health,
            self.loads,
            self.limits,
            self.slow_start,
            self.budgets,
        )

    def _new_outcomes(self, agreement: Agreement) -> OutcomeRecorder:
        return OutcomeRecorder(
            agreement,
            self.estimates,
            self.health,
            self.limits,
            self.thread_use,
            self.queue,
            self.placement,
        )
