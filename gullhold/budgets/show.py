"""`gullhold fleet budgets|plan|report`: a fleet's budgets, a planned allocation, a report over some time.

The column titles are part of the command line's interface: operators' scripts use them.
"""

import sys
from collections.abc import Callable, Iterable, Sequence

from gullhold.budgets.allocator import Budget, plan_allocations
from gullhold.budgets.budget_schema import ROOT
from gullhold.budgets.ledger import LedgerKind
from gullhold.budgets.stored_budgets import StoredBudget, stored_budgets
from gullhold.budgets.usage_report import budget_names, render_page, sample_budgets
from gullhold.fleet.show import TIMEOUT_S, Row, print_rows
from gullhold.fleet.store_calls import KeyValue, Proof, ReadPrefix
from gullhold.fleet.store_client import StoreClient
from gullhold.fleet.store_schema import fleet_prefix


def rows(items: Iterable[KeyValue]) -> list[Row]:
    """Return a printable row for each budget. items: all keys under the budgets' root in the store."""
    return [_row(name, budget) for name, budget in sorted(stored_budgets(items).items())]


def _row(name: str, budget: StoredBudget) -> Row:
    allocations = sorted(budget.allocations.items())
    return {
        "budget": name,
        "whole": budget.total,
        "kept back": budget.reserve,
        "given": budget.allocated(),
        "used": budget.used_by_all(),
        "idle": max(0, budget.allocated() - budget.used_by_all()),
        "parts": ", ".join(f"{_member_name(member)} {amount}" for member, amount in allocations if amount),
        "waiting": _member_names(budget.waiting),
        "for": _member_names(budget.charged_for),
    }


def _member_name(member: str) -> str:
    return member.partition("/")[0]


def _member_names(members: Iterable[str]) -> str:
    return ", ".join(sorted(_member_name(member) for member in members))


def _reader(address: str, fleet_name: str) -> Callable[[], Sequence[KeyValue]]:
    """Return a function that reads all keys of budgets, or raises ConnectionError."""
    store = StoreClient(address, fleet_prefix(fleet_name), TIMEOUT_S)

    def read() -> Sequence[KeyValue]:
        reply = store.call(ReadPrefix(ROOT))
        if reply.proof != Proof.DONE:
            raise ConnectionError
        return reply.items

    return read


def run(address: str, fleet_name: str, as_json: bool) -> int:
    """Run `fleet budgets`: print the budgets; return the exit status, 1 if the store does not answer."""
    try:
        print_rows(f"budgets of {fleet_name}", rows(_reader(address, fleet_name)()), as_json)
    except ConnectionError:
        return _print_no_answer(address)
    return 0


def _print_no_answer(address: str) -> int:
    print(f"gullhold: the register at {address} does not answer", file=sys.stderr)
    return 1


def run_plan(
    members: int,
    total: int,
    demands: Sequence[int],
    floor: int,
    granularity: int,
    reserve_per_member: int,
    as_json: bool,
) -> int:
    """Run `fleet plan`: print what this many members would be allocated; return the exit status.

    demands: those of the first members; the last one holds for all others. Without any, each member demands
    the total.
    """
    budget = Budget(
        LedgerKind.HELD,
        total,
        reserve_per_member=reserve_per_member,
        max_members=members,
        floor=floor,
        granularity=granularity,
    )
    last_demand = demands[-1] if demands else total
    all_demands = [*demands, *[last_demand] * members][:members]
    demand_by_member = {f"member {index + 1}": demand for index, demand in enumerate(all_demands)}
    allocations = plan_allocations(budget, demand_by_member)
    plan_rows = [
        {
            "member": member,
            "wants": all_demands[index],
            "part": amount,
            "and alone": reserve_per_member,
        }
        for index, (member, amount) in enumerate(allocations.items())
    ]
    allocated = sum(allocations.values())
    title = f"{total} among {members}: {allocated} given, {reserve_per_member * members} kept back"
    print_rows(title, plan_rows, as_json)
    return 0


def run_report(address: str, fleet_name: str, seconds: float, path: str) -> int:
    """Run `fleet report`: sample a running fleet for some time, write a page; return the exit status."""
    try:
        samples = sample_budgets(_reader(address, fleet_name), seconds)
    except ConnectionError:
        return _print_no_answer(address)
    with open(path, "w", encoding="utf-8") as out:
        out.write(render_page(fleet_name, samples))
    print(f"{len(samples)} samples of {len(budget_names(samples))} budgets: {path}")
    return 0
