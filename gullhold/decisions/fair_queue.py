"""Queued commands: weighted round-robin over tenants, each with an adaptive quota in a round (the paper).

A round's quota of a tenant is its weight times a factor. The factor grows while tenants are treated evenly
and latency is steady, and is halved once either is not. Of a tenant, short and long commands have a queue
each, and those with the most benefit for their work go first. Where the agreement names no tenants, profiles
stand in for them.
"""

from collections.abc import Sequence
from heapq import heappop, heappush

from gullhold.decisions.command import Command, CommandState
from gullhold.decisions.moving_average import STEP, relative_deviation
from gullhold.interface import Agreement

MIN_FACTOR = 1.0  # commands a round of the smallest tenant
FACTOR_FIRST = 2.0
MAX_FACTOR = 8.0
UNFAIRNESS_LIMIT = 0.5  # half the mean count of a tenant
VARIABILITY_LIMIT = 1.0  # a deviation of latency like its mean
FORGOTTEN_COUNT = 0.02  # commands of a tenant's fading count that no figure would show any more

Entry = tuple[float, int, int, Command]  # negative benefit by work, order of arrival, number of the entry
TenantQueues = tuple[list[Entry], list[Entry]]  # heaps of short and of long commands


class FairQueue:
    """Commands that may be dispatched, by tenant; only tenants with any cost time and memory."""

    def __init__(self, agreement: Agreement) -> None:
        shares = [tenant.share for tenant in agreement.tenants]
        least = min((share for share in shares if share > 0), default=1.0)
        self.weights: Sequence[float] = [share / least for share in shares] or [1.0] * len(agreement.profiles)
        self._weighted_tenants = sum(weight > 0 for weight in self.weights)
        self.by_tenant: dict[int, TenantQueues] = {}
        self.dispatched: dict[int, float] = {}  # fading counts by tenant
        self.quotas: dict[int, float] = {}  # left in this round; absent: all of it
        self.latency_sums: dict[int, Sequence[float]] = {}  # fading sums of ones, paces and squares
        self._deviations = 0.0  # sum of the relative deviations of latency
        self._factor = FACTOR_FIRST
        self._factor_rose = False
        self._rounds = 0
        self._turn = 0  # tenant that is next

    def apply_weights(self, weights: Sequence[float]) -> None:
        """Weights of a policy; they hold from the next round on."""
        self.weights = weights
        self._weighted_tenants = sum(weight > 0 for weight in weights)

    def push(self, command: Command, benefit: float) -> None:
        """Queue a command; an entry that it has already is void."""
        command.queue_entry += 1
        rank = -benefit / max(command.work, 1.0)
        queues = self.by_tenant.setdefault(command.tenant, ([], []))
        heap = queues[0] if command.is_short else queues[1]
        heappush(heap, (rank, command.order, command.queue_entry, command))

    def tenants_in_turn(self) -> list[int]:
        """Tenants with queued commands; whoever has no quota left is last, for what others can't use."""
        if len(self.by_tenant) <= 1:
            return list(self.by_tenant)
        weights = len(self.weights)
        turn = self._turn
        return sorted(self.by_tenant, key=lambda tenant: (self._quota(tenant) < 1, (tenant - turn) % weights))

    def queues_of(self, tenant: int) -> list[list[Entry]]:
        """The two queues of a tenant, the one with the best first command before the other."""
        return sorted(self.by_tenant[tenant], key=lambda heap: heap[0][0] if heap else 0.0)

    def first(self, heap: list[Entry]) -> Command | None:
        """The first command of a queue, once void entries are dropped."""
        while heap:
            _, _, entry, command = heap[0]
            if command.state == CommandState.QUEUED and command.queue_entry == entry:
                return command
            heappop(heap)
        return None

    def pop(self, heap: list[Entry]) -> None:
        """Remove the first command of a queue."""
        heappop(heap)

    def drop_if_empty(self, tenant: int) -> None:
        """Nothing is walked for a tenant that queues nothing."""
        if not any(self.by_tenant[tenant]):
            del self.by_tenant[tenant]

    def record_dispatch(self, tenant: int) -> None:
        """A command of the tenant was dispatched: its quota shrinks, and may end the round."""
        self.quotas[tenant] = self._quota(tenant) - 1
        self.dispatched[tenant] = self.dispatched.get(tenant, 0.0) + 1
        self._turn = tenant if self.quotas[tenant] > 0 else (tenant + 1) % len(self.weights)
        if not any(self._quota(each) > 0 for each in self.by_tenant):
            self._begin_round()

    def record_pace(self, tenant: int, pace: float) -> None:
        """An attempt of a tenant's command ended at this pace."""
        before = self.latency_sums.get(tenant, (0.0, 0.0, 0.0))
        observed = (1.0, pace, pace * pace)
        after = [old + STEP * (new - old) for old, new in zip(before, observed, strict=True)]
        self.latency_sums[tenant] = after
        self._deviations = self._deviations + relative_deviation(*after) - relative_deviation(*before)

    def _quota(self, tenant: int) -> float:
        """What is left to a tenant in this round, at least one at its start; before the first it is 0."""
        quota = self.quotas.get(tenant)
        if quota is not None:
            return quota
        return max(1, round(self.weights[tenant] * self._factor)) if self._rounds else 0

    def _begin_round(self) -> None:
        """Give new quotas; the factor follows unfairness and variability of latency."""
        unfairness = self._unfairness()
        variability = max(self._deviations, 0.0) / len(self.latency_sums) if self.latency_sums else 0.0
        if unfairness < UNFAIRNESS_LIMIT / 2 and variability < VARIABILITY_LIMIT / 2:
            self._factor = min(self._factor + 1, MAX_FACTOR)
            self._factor_rose = True
        elif self._factor_rose and (unfairness > UNFAIRNESS_LIMIT or variability > VARIABILITY_LIMIT):
            self._factor = max(self._factor / 2, MIN_FACTOR)
            self._factor_rose = False
        self.quotas = {}
        self._rounds += 1
        self.dispatched = {
            tenant: count * (1 - STEP) for tenant, count in self.dispatched.items() if count > FORGOTTEN_COUNT
        }

    def _unfairness(self) -> float:
        """How far the counts of tenants, by weight, lie from their mean, against the mean."""
        counts = [
            count / self.weights[tenant]
            for tenant, count in self.dispatched.items()
            if self.weights[tenant] > 0
        ]
        mean = sum(counts) / self._weighted_tenants if self._weighted_tenants else 0.0
        least = min(counts) if len(counts) == self._weighted_tenants else 0.0  # some dispatched nothing
        if not mean:
            return 0.0
        return max(max(counts) - mean, mean - least) / mean
