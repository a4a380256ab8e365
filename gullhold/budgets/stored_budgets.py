"""Reads a fleet's budgets from the reports and rows in the store, to show them to operators."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from gullhold.budgets.budget_schema import (
    ALLOCATIONS,
    FENCE,
    REPORTS,
    BudgetTotal,
    allocated_amount,
    decode_fence,
    decode_report,
    decode_row,
    has_pending_charges,
)
from gullhold.fleet.store_calls import KeyValue

NO_TOTAL = BudgetTotal(0, 0)


@dataclass(slots=True)
class StoredBudget:
    """One budget as stored.

    allocations: by member; used: by member, the peak use in its last report. waiting: members that request
    more than they are allocated. charged_for: members that are charged with more than their allocation: a
    reduction of it may not be applied yet, or they have left and their work may go on.
    """

    total: int
    reserve: int
    allocations: dict[str, int] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)
    waiting: list[str] = field(default_factory=list)
    charged_for: list[str] = field(default_factory=list)

    def allocated(self) -> int:
        """Return the sum of the allocations."""
        return sum(self.allocations.values())

    def used_by_all(self) -> int:
        """Return the sum of the members' use."""
        return sum(self.used.values())


def stored_budgets(items: Iterable[KeyValue]) -> dict[str, StoredBudget]:
    """Return the budgets by name. items: all keys under the budgets' root in the store."""
    items = list(items)
    totals: dict[str, BudgetTotal] = {}
    for item in items:
        if item.key == FENCE:
            totals = decode_fence(item.value)
    reader = _Reader(totals)
    for item in items:
        if item.key.startswith(REPORTS):
            reader.add_report(item.key.removeprefix(REPORTS), item.value)
    for item in items:
        if item.key.startswith(ALLOCATIONS):
            reader.add_row(item.key.removeprefix(ALLOCATIONS), item.value)
    reader.find_waiting()
    return reader.budgets


class _Reader:
    """Collects the budgets, first from the reports, then from the rows."""

    def __init__(self, totals: dict[str, BudgetTotal]) -> None:
        self.totals = totals
        self.budgets: dict[str, StoredBudget] = {}
        self.requested: dict[tuple[str, str], int] = {}  # by budget name and member

    def _budget(self, name: str) -> StoredBudget:
        if name not in self.budgets:
            kind = name.partition("/")[0]
            total, reserve = self.totals.get(name) or self.totals.get(kind) or NO_TOTAL
            self.budgets[name] = StoredBudget(total, reserve)
        return self.budgets[name]

    def add_report(self, member: str, value: str) -> None:
        """Add a member's report; one that can't be decoded is ignored."""
        report = decode_report(value)
        if report is None:
            return
        for name, usage in report.usage.items():
            self._budget(name).used[member] = usage.peak
            self.requested[name, member] = usage.requested

    def add_row(self, member: str, value: str) -> None:
        """Add a member's row."""
        for name, packed in decode_row(value).entries.items():
            budget = self._budget(name)
            budget.allocations[member] = allocated_amount(packed)
            if has_pending_charges(packed):
                budget.charged_for.append(member)

    def find_waiting(self) -> None:
        """Add the members that request more than they are allocated; called after all reports and rows."""
        for (name, member), requested in self.requested.items():
            budget = self.budgets[name]
            if requested > budget.allocations.get(member, 0):
                budget.waiting.append(member)
