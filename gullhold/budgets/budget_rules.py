"""Derives the rules of a fleet's budgets from the operator file's records and the agreement."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from gullhold.budgets.allocation import AllocationRule
from gullhold.budgets.allocations import RuleKey
from gullhold.budgets.allocator import Budget
from gullhold.budgets.ledger import LedgerKind
from gullhold.interface import Agreement, BudgetKind

if TYPE_CHECKING:  # this import takes long, and a gateway without an operator file does not need it
    from gullhold.operator.records import BudgetRecord

# Kinds of budgets by their names in the operator file.
BUDGET_KINDS = {
    "threads": BudgetKind.THREADS,
    "memory": BudgetKind.MEMORY,
    "open": BudgetKind.OPEN_COMMANDS,
    "further": BudgetKind.RETRIES,
    "cold": BudgetKind.WARMUP,
    "taken": BudgetKind.ADMISSIONS,
    "share": BudgetKind.TRAFFIC_SHARE,
    "lists": BudgetKind.DISCOVERY_CALLS,
}
KIND_NAMES = {kind: name for name, kind in BUDGET_KINDS.items()}
LEDGER_KINDS = {
    BudgetKind.THREADS: LedgerKind.HELD,
    BudgetKind.MEMORY: LedgerKind.HELD,
    BudgetKind.OPEN_COMMANDS: LedgerKind.HELD,
    BudgetKind.RETRIES: LedgerKind.WINDOWED,
    BudgetKind.WARMUP: LedgerKind.WINDOWED,
    BudgetKind.ADMISSIONS: LedgerKind.WINDOWED,
    BudgetKind.DISCOVERY_CALLS: LedgerKind.WINDOWED,
    BudgetKind.TRAFFIC_SHARE: LedgerKind.WEIGHT,
}
PER_ENGINE_KINDS = frozenset({BudgetKind.THREADS, BudgetKind.MEMORY, BudgetKind.WARMUP})
PER_TENANT_KINDS = frozenset({BudgetKind.OPEN_COMMANDS, BudgetKind.ADMISSIONS})
SETTLE_US = 500_000  # how long cancelled work may run on at an engine: twice a cancel's transmission time
LINGER_MARGIN_US = 1_000_000  # added to the longest client timeout: no attempt lasts longer than their sum


class BudgetRuleError(Exception):
    """A budget does not fit the agreement. The message is one line, to be shown to the operator."""


class BudgetRules(NamedTuple):
    """budgets: rules for the allocator, by budget name or kind; allocations: rules for this member."""

    budgets: dict[str, Budget]
    allocations: dict[RuleKey, AllocationRule]


def budget_name(record: "BudgetRecord") -> str:
    """Return the name of a record's budget: its kind, and the tenant if it is for one tenant."""
    return f"{record.of}/{record.tenant}" if record.tenant else record.of


def tenant_names(agreement: Agreement) -> list[str]:
    """Return the names of the tenants by index, or of the profiles if the agreement has no tenants."""
    return [tenant.name for tenant in agreement.tenants] or [profile.name for profile in agreement.profiles]


def subject_budget_name(kind: BudgetKind, subject: int, tenants: list[str]) -> str:
    """Return the name of the budget of one subject, an engine's id or a tenant's index."""
    subject_name = tenants[subject] if kind in PER_TENANT_KINDS else subject
    return f"{KIND_NAMES[kind]}/{subject_name}"


def build_rules(records: Iterable["BudgetRecord"], agreement: Agreement, drift: float) -> BudgetRules:
    """Return the rules for the budgets of the operator file. Raises BudgetRuleError.

    drift: largest relative difference between the rates of two clocks. Windows and linger times are extended
    by it, so that they do not end too early on a fast clock.
    """
    tenants = tenant_names(agreement)
    longest_timeout_us = max((profile.timeout_us for profile in agreement.profiles), default=0)
    rules = BudgetRules({}, {})
    for record in sorted(records, key=lambda record: record.tenant):  # those for all tenants come first
        budget = _budget(record, agreement, longest_timeout_us, drift)
        if record.tenant and record.tenant not in tenants:
            raise BudgetRuleError(f"fleet.budgets: {record.tenant!r} is no tenant of the agreement")
        rules.budgets[budget_name(record)] = budget
        allocation_rule = _allocation_rule(budget, drift)
        for key in _rule_keys(record, tenants):
            rules.allocations[key] = allocation_rule
    return rules


def _budget(record: "BudgetRecord", agreement: Agreement, longest_timeout_us: int, drift: float) -> Budget:
    window_us = _window_us(record, agreement)
    linger_us = record.linger or longest_timeout_us + LINGER_MARGIN_US
    return Budget(
        kind=LEDGER_KINDS[BUDGET_KINDS[record.of]],
        total=record.whole,
        window_us=int(window_us * (1 + drift)),
        linger_us=int(linger_us * (1 + drift)),
        reserve_per_member=record.alone,
        max_members=record.members,
        floor=record.floor,
        granularity=record.grain,
    )


def _window_us(record: "BudgetRecord", agreement: Agreement) -> int:
    """Return the window from the record, or else from the agreement; 0 if the budget has none."""
    kind = BUDGET_KINDS[record.of]
    agreed_windows_us = {
        BudgetKind.RETRIES: agreement.retry_budget_window_us,
        BudgetKind.WARMUP: agreement.overload_window_us,
    }
    window_us = record.window or agreed_windows_us.get(kind, 0)
    if LEDGER_KINDS[kind] == LedgerKind.WINDOWED and not window_us:
        raise BudgetRuleError(
            f"fleet.budgets: {record.of}: neither the budget nor the agreement states a window; set `window`"
        )
    return window_us


def _allocation_rule(budget: Budget, drift: float) -> AllocationRule:
    # The reserve may be spent only when the work of an earlier process of the same name has certainly ended.
    reserve_after_us = budget.window_us if budget.kind == LedgerKind.WINDOWED else budget.linger_us
    return AllocationRule(
        kind=budget.kind,
        total=budget.total,
        window_us=budget.window_us,
        settle_us=int(SETTLE_US * (1 + drift)),
        reserve=budget.reserve_per_member,
        reserve_after_us=reserve_after_us,
    )


def _rule_keys(record: "BudgetRecord", tenants: list[str]) -> list[RuleKey]:
    kind = BUDGET_KINDS[record.of]
    if kind in PER_ENGINE_KINDS:
        return [(kind, None)]
    if kind in PER_TENANT_KINDS:
        return [(kind, index) for index, name in enumerate(tenants) if record.tenant in ("", name)]
    return [(kind, 0)]
