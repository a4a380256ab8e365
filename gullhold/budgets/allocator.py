"""Allocates all budgets of a fleet to its members, on the leader of that role. Performs no I/O.

Members are identified by a key that distinguishes processes of the same name. Each member writes one report
on all its budgets, and the allocator writes one row with all its allocations, so that a member's number of
calls grows neither with the budgets nor with the other members. A row also holds what the ledgers charge the
member with; from this the next allocator continues.

A budget is named by its kind and subject, as in `threads/77`. A rule is for all budgets of a kind (`threads`)
or for one of them. A ledger is opened when a member first reports a budget, and closed when it has no
entries.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import NamedTuple, cast

from gullhold.budgets.budget_schema import NO_USAGE, PackedEntry, Usage
from gullhold.budgets.demand import MemberDemand
from gullhold.budgets.ledger import Ledger, LedgerKind
from gullhold.budgets.max_min_fairness import damp_changes, max_min_shares

# Budgets that one call of allocate() reallocates at most; this takes half a second with 1,000 members.
MAX_BUDGETS_PER_ROUND = 200
# Budgets that have a ledger at the same time at most; of any other budget, members have only their reserve.
MAX_BUDGETS = 50_000
ROTATION_US = 1_000_000  # us until the members served first change, while not all can have a usable amount


class Budget(NamedTuple):
    """The rule for one budget, or for the budgets of all engines or tenants.

    total: amount for the whole fleet. window_us, linger_us: as in Ledger. reserve_per_member: what each
    member may spend besides its allocation, even while it can't reach the store. It is reserved for
    max_members members.
    floor: smallest allocation of each member. granularity: smallest usable amount, such as what one command
    needs.
    """

    kind: LedgerKind
    total: int
    window_us: int = 0
    linger_us: int = 0
    reserve_per_member: int = 0
    max_members: int = 0
    floor: int = 1
    granularity: int = 1

    @property
    def reserve(self) -> int:
        """The part of the total that is reserved and never allocated."""
        return self.reserve_per_member * self.max_members

    def open_ledger(self) -> Ledger:
        """Return a new, empty ledger under this rule."""
        return Ledger(self.kind, self.total, self.window_us, self.linger_us, self.reserve)


@dataclass(frozen=True, slots=True)
class Rotation:
    """Which member is served first while not all can be served. first: its index; until: a time in us."""

    until: int
    first: int


class BudgetSummary(NamedTuple):
    """One budget, summed over all members.

    charged: the most that may be in use; available: what may still be allocated; requested: the sum of
    requests.
    """

    total: int
    charged: int
    available: int
    requested: int


def with_totals(budgets: Mapping[str, Budget], totals: Mapping[str, int]) -> dict[str, Budget]:
    """Return the budgets with these totals, by name or kind; a budget not named keeps its total."""
    return {name: budget._replace(total=totals.get(name, budget.total)) for name, budget in budgets.items()}


class Allocator:
    """All budgets of a fleet. The changes that allocate() returns are charged before they are written.

    ledgers: by budget name; demands: by budget name and member; reported_budgets: names of the budgets in
    each present member's last report; row_budgets: names of the budgets whose ledger has an entry for the
    member; to_reallocate: names of the budgets to allocate again, in this order; uncharged: members that no
    ledger has an entry for any more, so that their keys can be deleted; newly_left: members that have left
    since the last allocate(), whose stored rows still show what they had.
    """

    def __init__(self, budgets: Mapping[str, Budget], weights: Mapping[str, float] | None = None) -> None:
        """budgets: by name, or by kind for all subjects. weights: by member, 1 by default."""
        self.budgets = dict(budgets)
        self.weights = weights or {}
        self.ledgers: dict[str, Ledger] = {}
        self.demands: dict[str, dict[str, MemberDemand]] = {}
        self.reported_budgets: dict[str, set[str]] = {}
        self.row_budgets: dict[str, set[str]] = {}
        self.to_reallocate: dict[str, None] = {}
        self.scheduled: list[tuple[int, str]] = []  # heap of (time, budget) to allocate again
        self.rotations: dict[str, Rotation] = {}
        self.uncharged: set[str] = set()
        self.newly_left: dict[str, None] = {}

    def rule(self, name: str) -> Budget | None:
        """Return the rule for a budget: its own, else that of its kind; None if there is none."""
        return self.budgets.get(name) or self.budgets.get(name.partition("/")[0])

    def _known_rule(self, name: str) -> Budget:
        """Return the rule for a budget that has a ledger, and so a rule."""
        return cast("Budget", self.rule(name))

    def _open_ledger(self, name: str) -> Ledger | None:
        """Return the ledger of a budget; None: it has no rule, or there are too many budgets."""
        ledger = self.ledgers.get(name)
        if ledger is not None:
            return ledger
        rule = self.rule(name)
        if rule is None or len(self.ledgers) >= MAX_BUDGETS:
            return None
        self.ledgers[name] = rule.open_ledger()
        self.demands[name] = {}
        return self.ledgers[name]

    def member_left(
        self, member: str, inactive_at: int, last_usage: Mapping[str, Usage] | None = None
    ) -> None:
        """Record that a member has left.

        inactive_at: from this time on it can begin nothing more. last_usage: usage in its last report, if it
        has shut down gracefully; None: its use is unknown.
        """
        self.reported_budgets.pop(member, None)
        for name in self.row_budgets.get(member, ()):
            self.demands[name].pop(member, None)
            spent = None if last_usage is None else last_usage.get(name, NO_USAGE).in_use
            self.ledgers[name].member_left(member, inactive_at, spent)
            self.to_reallocate[name] = None
            self.newly_left[member] = None

    def report(self, member: str, applied_write: int, usage: Mapping[str, Usage], now: int) -> None:
        """Take a member's report; a member is present from its first report on.

        applied_write: number of the newest write that the member has applied. Budgets without a rule are
        ignored. Of budgets that the report does not name any more, the member uses nothing.
        """
        before = self.reported_budgets.get(member, set())
        self.reported_budgets[member] = set()
        for name, member_usage in usage.items():
            self._report_budget(member, name, applied_write, member_usage, now)
        for name in before | self.row_budgets.get(member, set()):
            if name not in self.reported_budgets[member]:
                self.demands[name].pop(member, None)
                self.ledgers[name].report(member, applied_write, 0, now)
                self.to_reallocate[name] = None

    def _report_budget(self, member: str, name: str, applied_write: int, usage: Usage, now: int) -> None:
        ledger = self._open_ledger(name)
        if ledger is None:
            return
        self.reported_budgets[member].add(name)
        self.row_budgets.setdefault(member, set()).add(name)
        charge_before = ledger.charge(member, now)
        ledger.report(member, applied_write, usage.in_use, now)
        demand = self.demands[name].get(member)
        if demand is None:
            demand = MemberDemand()
            self.demands[name][member] = demand
            self.to_reallocate[name] = None
        demand_before = (demand.credited(now), demand.due())
        demand.report(usage.peak, usage.requested, ledger.entries[member].allocated, now)
        demand_after = (demand.credited(now), demand.due())
        if demand_after != demand_before or ledger.charge(member, now) != charge_before:
            self.to_reallocate[name] = None

    def allocate(
        self, write: int, now: int, max_budgets: int = MAX_BUDGETS_PER_ROUND
    ) -> dict[str, dict[str, int]]:
        """Return the allocations that change with this write, by member and budget name.

        write: number of the write, larger than any before. A member is contained without changed allocations
        if its row changes otherwise: it has left, or a ledger has no entry for it any more. Members that have
        left come first: what they had may go to others with this write, and the stored rows must never sum to
        more than the total. At most max_budgets budgets are reallocated now, the others with the next writes.
        """
        while self.scheduled and self.scheduled[0][0] <= now:
            _, name = heappop(self.scheduled)
            self.to_reallocate[name] = None
        changes: dict[str, dict[str, int]] = {
            member: {} for member in self.newly_left if member in self.row_budgets
        }
        self.newly_left = {}
        for name in list(self.to_reallocate)[:max_budgets]:
            del self.to_reallocate[name]
            if name not in self.ledgers:
                continue
            changed, ended = self._allocate_budget(name, write, now)
            for member, amount in changed.items():
                changes.setdefault(member, {})[name] = amount
            for member in ended:  # its row has to be written too, without this budget
                changes.setdefault(member, {})
        return changes

    def _allocate_budget(self, name: str, write: int, now: int) -> tuple[dict[str, int], set[str]]:
        """Return the changed allocations of a budget, and the members whose ledger entry was removed."""
        ledger = self.ledgers[name]
        entries_before = set(ledger.entries)
        demands = self._credited_demands(name, now)
        targets = self._targets(name, demands)
        changed = ledger.reallocate(targets, write, now)
        ended = entries_before - set(ledger.entries)
        self._remove_from_rows(name, ended)
        self._schedule_next(name, targets, demands, now)
        if not ledger.entries:
            del self.ledgers[name]
            del self.demands[name]
            self.rotations.pop(name, None)
        return changed, ended

    def _credited_demands(self, name: str, now: int) -> dict[str, int]:
        ledger = self.ledgers[name]
        rule = self._known_rule(name)
        credited = {}
        for member, demand in self.demands[name].items():
            entry = ledger.entries.get(member)
            demand.update_idle(entry.allocated if entry else 0, now)
            if rule.kind == LedgerKind.WEIGHT:
                credited[member] = demand.requested
            else:
                credited[member] = max(demand.credited(now), min(demand.requested, rule.granularity))
        return credited

    def _targets(self, name: str, demands: Mapping[str, int]) -> Mapping[str, int]:
        ledger = self.ledgers[name]
        rule = self._known_rule(name)
        rotation = self.rotations.get(name)
        shares = max_min_shares(
            max(0, ledger.total - ledger.reserve),
            demands,
            {member: self.weights.get(member, 1) for member in demands},
            rule.floor,
            rule.granularity,
            rotation.first if rotation else 0,
        )
        return damp_changes(ledger.allocations(), shares, demands)

    def _remove_from_rows(self, name: str, members: set[str]) -> None:
        for member in members:
            self.row_budgets[member].discard(name)
            if not self.row_budgets[member] and member not in self.reported_budgets:
                del self.row_budgets[member]
                self.uncharged.add(member)

    def _schedule_next(
        self, name: str, targets: Mapping[str, int], demands: Mapping[str, int], now: int
    ) -> None:
        """Schedule the next reallocation: a charge expires, credited demand falls, or the rotation ends."""
        ledger = self.ledgers[name]
        due_times = [demand.due() for demand in self.demands[name].values()]
        times = [due for due in due_times if due and due > now]
        next_expiry = ledger.next_expiry()
        # If no charge expires, something is still to be released, and its report triggers the reallocation.
        if ledger.allocations() != targets and next_expiry:
            times.append(next_expiry)
        self._update_rotation(name, targets, demands, now)
        if name in self.rotations:
            times.append(self.rotations[name].until)
        if times:
            heappush(self.scheduled, (min(times), name))

    def _update_rotation(
        self, name: str, targets: Mapping[str, int], demands: Mapping[str, int], now: int
    ) -> None:
        """Change every ROTATION_US who is served first, while any member's allocation is too small to use.

        Otherwise the same members would never be served.
        """
        granularity = self._known_rule(name).granularity
        is_any_unserved = any(
            demand > 0 and targets.get(member, 0) < min(demand, granularity)
            for member, demand in demands.items()
        )
        rotation = self.rotations.get(name, Rotation(now + ROTATION_US, 0))
        if not is_any_unserved:
            self.rotations.pop(name, None)
        elif now >= rotation.until:
            served = sum(amount > 0 for amount in targets.values())
            first = (rotation.first + max(1, served)) % len(targets)
            self.rotations[name] = Rotation(now + ROTATION_US, first)
            self.to_reallocate[name] = None
        else:
            self.rotations[name] = rotation

    def set_totals(self, totals: Mapping[str, int]) -> None:
        """Set totals by name or kind; for a lowered total the next allocate() reduces allocations."""
        self.budgets = with_totals(self.budgets, totals)
        for name, ledger in self.ledgers.items():
            total = self._known_rule(name).total
            if ledger.total != total:
                ledger.total = total
                self.to_reallocate[name] = None

    def due(self) -> int | None:
        """Return when to call allocate() at the latest; None: not before the next report."""
        if self.to_reallocate:
            return 0
        return self.scheduled[0][0] if self.scheduled else None

    def summaries(self, now: int) -> dict[str, BudgetSummary]:
        """Return the sums over all members by budget name."""
        return {
            name: BudgetSummary(
                ledger.total,
                ledger.charged(now),
                ledger.available(now),
                sum(demand.requested for demand in self.demands[name].values()),
            )
            for name, ledger in self.ledgers.items()
        }

    def row(self, member: str) -> dict[str, PackedEntry]:
        """Return the row to store for a member: its packed ledger entries by budget name."""
        packed = {}
        for name in sorted(self.row_budgets.get(member, ())):
            entry = self.ledgers[name].entries.get(member)
            if entry and not entry.is_empty():
                packed[name] = entry.pack()
        return packed

    def load(self, rows: Mapping[str, Mapping[str, PackedEntry]], now: int) -> None:
        """Continue from the rows, by member, that another allocator stored.

        The caller has to call member_left() for members with a row but without a report: they have left.
        """
        for member, row in rows.items():
            for name, packed in row.items():
                ledger = self._open_ledger(name)
                if ledger:
                    ledger.load(member, packed, now)
                    self.row_budgets.setdefault(member, set()).add(name)
                    self.to_reallocate[name] = None
            if member not in self.row_budgets:
                self.uncharged.add(member)


def plan_allocations(
    budget: Budget, demands: Mapping[str, int], weights: Mapping[str, float] | None = None
) -> dict[str, int]:
    """Return what each member is allocated of one budget once these demands have lasted for a while."""
    weights = weights or {}
    return max_min_shares(
        max(0, budget.total - budget.reserve),
        demands,
        {member: weights.get(member, 1) for member in demands},
        budget.floor,
        budget.granularity,
    )
