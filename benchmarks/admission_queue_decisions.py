"""CPU time of the decision module alone as the number of tenants grows."""

import random
import time
from collections import deque
from collections.abc import Iterable

from gullhold.decisions.gateway import Gateway
from gullhold.interface import (
    Agreement,
    DeduplicationScope,
    Dispatch,
    EngineEntry,
    EngineState,
    Idempotency,
    Outcome,
    Profile,
    Result,
    Tenant,
)

ENGINES = 8
REPETITIONS = 3  # the fastest one counts
ARRIVAL_INTERVAL_US = 400
ATTEMPT_US = 20_000  # time from the dispatch of an attempt to its end
WORK_US = 50_000  # work of a command, in core-us
TIMEOUT_US = 4_000_000
ESTIMATED_MB = 64.0
USED_MB = 60
DATASETS = 5

PROFILE = Profile(
    threads=1,
    objective_us=500_000,
    objective_stretch=2.0,
    timeout_us=TIMEOUT_US,
    benefit=1.0,
    late_benefit_share=0.3,
    idempotency=Idempotency.IDEMPOTENT,
    dedup_scope=DeduplicationScope.ALL_ENGINES,
    dedup_window_us=0,
    ordered=False,
    zones=None,
    engine_kinds=None,
    loads_dataset=False,
    waits_for_loads=False,
)


def make_agreement(tenants: int) -> Agreement:
    """The agreement of one gateway and the given number of tenants with even shares."""
    return Agreement(
        profiles=(PROFILE,),
        tenants=tuple(Tenant(1 / tenants) for _ in range(tenants)),
        gateways=1,
        zone=0,
        cores_by_kind=(4.0,),
        memory_mb_by_kind=(8192.0,),
        max_grant_share=0.4,
        honors_grants=False,
        honors_priority=False,
        max_attempts=3,
        supports_cancel=True,
        max_retry_after_us=0,
        warmup_initial_share=0.3,
        warmup_us=0,
        overload_multiple=3.0,
        overload_window_us=2_000_000,
        key_settle_us=0,
        retry_budget_base=None,
        retry_budget_share=0.0,
        retry_budget_window_us=0,
        cross_zone_costs=False,
    )


class DecisionRun:
    """Submits commands of random tenants to the decision module at a fixed interval of simulated time."""

    def __init__(self, agreement: Agreement) -> None:
        self.tenants = len(agreement.tenants)
        self.gateway = Gateway(1, agreement, 0)
        self.draw = random.Random(3)
        self.now = 1000
        self.open: deque[tuple[int, int]] = deque()  # (end time in us, command) of each open attempt
        entries = [EngineEntry(100 + number, 0, 1.0, 0, EngineState.READY, 0, 0) for number in range(ENGINES)]
        self.gateway.update_engines(0, entries, True)

    def submit(self, command: int) -> None:
        """Submit a command, then end the attempts that are due by its arrival."""
        self.now += ARRIVAL_INTERVAL_US
        tenant = self.draw.randrange(self.tenants)
        timeout_at = self.now + TIMEOUT_US
        dataset = command % DATASETS
        results = self.gateway.submit(
            self.now, command, 0, tenant, 0, timeout_at, WORK_US, ESTIMATED_MB, dataset, False
        )
        self._record_dispatches(results)
        while self.open and self.open[0][0] <= self.now:
            _, ended = self.open.popleft()
            results = self.gateway.attempt_ended(
                self.now, ended, 0, Outcome.ANSWERED, False, ATTEMPT_US, WORK_US, USED_MB, ()
            )
            self._record_dispatches(results)

    def _record_dispatches(self, results: Iterable[Result]) -> None:
        ends_at = self.now + ATTEMPT_US
        self.open.extend((ends_at, result.command) for result in results if isinstance(result, Dispatch))


def cpu_us_of_command(tenants: int, commands: int) -> float:
    """The CPU time per command with the given number of tenants, averaged over the given commands."""
    agreement = make_agreement(tenants)
    costs = []
    for _ in range(REPETITIONS):
        run = DecisionRun(agreement)
        began_s = time.process_time()
        for command in range(commands):
            run.submit(command)
        costs.append((time.process_time() - began_s) / commands * 1e6)
    return min(costs)
