"""Queued commands: weighted round-robin over tenants, with an adaptive quota of commands in each round.

A tenant's quota in a round is its weight times a factor. The factor grows while tenants are served evenly and
the pace of attempts is steady, and is halved when either is no longer so. The rounds follow the paper
"Improving the scalability of database engines by controlling their load". Each tenant has a queue of short
commands and one of long commands, ordered by benefit divided by work. If the agreement names no tenants, each
profile takes the place of a tenant.
"""

from collections.abc import Sequence

from gullhold.decisions.command import Command, CommandState
from gullhold.decisions.moving_average import SMOOTHING_FACTOR, relative_deviation
from gullhold.decisions.pruned_heap import PrunedHeap
from gullhold.interface import Agreement

# The quota factor: number of commands in a round of the tenant with the lowest weight.
MIN_QUOTA_FACTOR = 1.0
INITIAL_QUOTA_FACTOR = 2.0
MAX_QUOTA_FACTOR = 8.0

# Largest relative deviation from the mean of a tenant's dispatched commands, divided by its weight.
MAX_UNFAIRNESS = 0.5
MAX_VARIABILITY = 1.0  # ratio of the standard deviation of the pace to its mean, averaged over tenants
MIN_KEPT_COUNT = 0.02  # commands; a decaying count that is not above it is dropped

# Ordered as heapq compares tuples: (negative benefit per work, order of arrival, entry number, command).
QueueEntry = tuple[float, int, int, Command]
CommandHeap = PrunedHeap[QueueEntry]
TenantQueues = tuple[CommandHeap, CommandHeap]  # of short and of long commands


def _is_current(row: QueueEntry) -> bool:
    """Whether an entry is the newest one of its command, which still waits."""
    _, _, entry, command = row
    return command.state == CommandState.QUEUED and command.queue_entry == entry


class FairQueue:
    """Commands that may be dispatched, by tenant; a tenant without any takes no time and no memory."""

    def __init__(self, agreement: Agreement) -> None:
        shares = [tenant.share for tenant in agreement.tenants]
        smallest = min((share for share in shares if share > 0), default=1.0)
        weights = [share / smallest for share in shares]
        # Without tenants each profile takes the place of a tenant, all with the same weight.
        self.weights: Sequence[float] = weights or [1.0] * len(agreement.profiles)
        self._weighted_tenants = sum(weight > 0 for weight in self.weights)
        self.by_tenant: dict[int, TenantQueues] = {}
        self.dispatched: dict[int, float] = {}  # decaying counts of dispatched commands, by tenant
        self.quotas: dict[int, float] = {}  # commands left in this round, by tenant; absent: all of the quota
        # Moving averages by tenant, begun at 0: (of 1 for each attempt, of its pace, of its squared pace).
        self.pace_averages: dict[int, Sequence[float]] = {}
        self._pace_deviations = 0.0  # sum over tenants of the relative deviation of the pace
        self._quota_factor = INITIAL_QUOTA_FACTOR
        self._quota_factor_rose = False
        self._rounds = 0
        self._next_tenant = 0  # the tenant whose turn is next

    def apply_weights(self, weights: Sequence[float]) -> None:
        """Apply the weights of a policy, from the next round on."""
        self.weights = weights
        self._weighted_tenants = sum(weight > 0 for weight in weights)

    def push(self, command: Command, benefit: float) -> None:
        """Queue a command; an entry that the queue already holds for it becomes invalid."""
        command.queue_entry += 1
        rank = -benefit / max(command.work, 1.0)
        queues = self.by_tenant.get(command.tenant)
        if queues is None:
            queues = self.by_tenant[command.tenant] = (PrunedHeap(_is_current), PrunedHeap(_is_current))
        heap = queues[0] if command.is_short else queues[1]
        heap.push((rank, command.order, command.queue_entry, command))

    def tenants_in_turn(self) -> list[int]:
        """Return the tenants with queued commands, in turn; those without quota left come last.

        They get the capacity that the others leave unused.
        """
        if len(self.by_tenant) <= 1:
            return list(self.by_tenant)
        tenants = len(self.weights)
        next_tenant = self._next_tenant
        return sorted(
            self.by_tenant, key=lambda tenant: (self._quota(tenant) < 1, (tenant - next_tenant) % tenants)
        )

    def queues_of(self, tenant: int) -> list[CommandHeap]:
        """Return a tenant's two queues, first the one whose first command has the higher benefit per work."""
        return sorted(self.by_tenant[tenant], key=lambda heap: heap.head[0] if heap else 0.0)

    def first(self, heap: CommandHeap) -> Command | None:
        """Drop invalid entries at the head of a queue, and return its first command."""
        heap.drop_invalid_head()
        return heap.head[3] if heap else None

    def pop(self, heap: CommandHeap) -> None:
        """Remove the first command of a queue."""
        heap.pop()

    def drop_if_empty(self, tenant: int) -> None:
        """Drop a tenant's queues if both are empty."""
        if not any(self.by_tenant[tenant]):
            del self.by_tenant[tenant]

    def record_dispatch(self, tenant: int) -> None:
        """Charge a dispatched command to its tenant's quota; begin a round if no queued tenant has any."""
        self.quotas[tenant] = self._quota(tenant) - 1
        self.dispatched[tenant] = self.dispatched.get(tenant, 0.0) + 1
        self._next_tenant = tenant if self.quotas[tenant] > 0 else (tenant + 1) % len(self.weights)
        if not any(self._quota(each) > 0 for each in self.by_tenant):
            self._begin_round()

    def record_pace(self, tenant: int, pace: float) -> None:
        """Record the pace of an attempt of a tenant's command."""
        before = self.pace_averages.get(tenant, (0.0, 0.0, 0.0))
        observed = (1.0, pace, pace * pace)
        after = [old + SMOOTHING_FACTOR * (new - old) for old, new in zip(before, observed, strict=True)]
        self.pace_averages[tenant] = after
        self._pace_deviations = (
            self._pace_deviations + relative_deviation(*after) - relative_deviation(*before)
        )

    def _quota(self, tenant: int) -> float:
        """Return what is left of a tenant's quota in this round; 0 before the first round.

        A tenant without an entry has its whole quota left, which is at least 1.
        """
        quota = self.quotas.get(tenant)
        if quota is not None:
            return quota
        return max(1, round(self.weights[tenant] * self._quota_factor)) if self._rounds else 0

    def _begin_round(self) -> None:
        """Reset the quotas, and adapt the quota factor to unfairness and to the variability of the pace."""
        unfairness = self._unfairness()
        variability = max(self._pace_deviations, 0.0) / len(self.pace_averages) if self.pace_averages else 0.0
        if unfairness < MAX_UNFAIRNESS / 2 and variability < MAX_VARIABILITY / 2:
            self._quota_factor = min(self._quota_factor + 1, MAX_QUOTA_FACTOR)
            self._quota_factor_rose = True
        elif self._quota_factor_rose and (unfairness > MAX_UNFAIRNESS or variability > MAX_VARIABILITY):
            self._quota_factor = max(self._quota_factor / 2, MIN_QUOTA_FACTOR)
            self._quota_factor_rose = False
        self.quotas = {}
        self._rounds += 1
        self.dispatched = {
            tenant: count * (1 - SMOOTHING_FACTOR)
            for tenant, count in self.dispatched.items()
            if count > MIN_KEPT_COUNT
        }

    def _unfairness(self) -> float:
        """Return the largest relative deviation from the mean among the tenants' counts per weight."""
        counts = [
            count / self.weights[tenant]
            for tenant, count in self.dispatched.items()
            if self.weights[tenant] > 0
        ]
        mean = sum(counts) / self._weighted_tenants if self._weighted_tenants else 0.0
        if not mean:
            return 0.0
        # The least is 0 if some tenant has had no command dispatched.
        least = min(counts) if len(counts) == self._weighted_tenants else 0.0
        return max(max(counts) - mean, mean - least) / mean
