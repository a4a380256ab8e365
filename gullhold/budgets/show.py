"""`gullhold fleet budgets|plan|report`: a fleet's budgets, what would be allocated, how a run went."""

import json
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from rich.console import Console
from rich.table import Table

from gullhold.budgets.allocator import Budget, plan_allocations
from gullhold.budgets.budget_schema import ROOT
from gullhold.budgets.ledger import LedgerKind
from gullhold.budgets.stored_budgets import StoredBudget, stored_budgets
from gullhold.budgets.usage_report import budget_names, render_page, watch_budgets
from gullhold.fleet.store_calls import KeyValue, Proof, ReadPrefix
from gullhold.fleet.store_client import StoreClient
from gullhold.fleet.store_schema import fleet_prefix

TIMEOUT_S = 3.0  # s for one call to the store

Row = Mapping[str, Any]  # what staff see, by column


def rows(items: Iterable[KeyValue]) -> list[Row]:
    """Return what staff see, a row for each budget, of the stored keys of budgets."""
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


def _print(title: str, found: Sequence[Row], as_json: bool) -> None:
    if as_json:
        for row in found:
            print(json.dumps(row))
        return
    table = Table(title=title)
    for column in found[0] if found else ("nothing",):
        table.add_column(column)
    for row in found:
        table.add_row(*map(str, row.values()))
    Console().print(table)


def _reader(address: str, fleet_name: str) -> Callable[[], Sequence[KeyValue]]:
    """Return a function that reads the stored keys of budgets; it raises ConnectionError."""
    session = StoreClient(address, fleet_prefix(fleet_name), TIMEOUT_S)

    def read() -> Sequence[KeyValue]:
        reply = session.call(ReadPrefix(ROOT))
        if reply.proof != Proof.DONE:
            raise ConnectionError
        return reply.items

    return read


def run(address: str, fleet_name: str, as_json: bool) -> int:
    """`fleet budgets`: print them; the exit status, 1 where the store does not answer."""
    try:
        _print(f"budgets of {fleet_name}", rows(_reader(address, fleet_name)()), as_json)
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
    """`fleet plan`: what so many members would be allocated, by the allocator's decisions; the exit status.

    demands: of the first members, the others demand the last of it; empty: all demand the total.
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
    found = [
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
    _print(title, found, as_json)
    return 0


def run_report(address: str, fleet_name: str, seconds: float, path: str) -> int:
    """`fleet report`: watch a running fleet for so long and write a page; the exit status."""
    try:
        samples = watch_budgets(_reader(address, fleet_name), seconds)
    except ConnectionError:
        return _print_no_answer(address)
    with open(path, "w", encoding="utf-8") as out:
        out.write(render_page(fleet_name, samples))
    print(f"{len(samples)} looks at {len(budget_names(samples))} budgets: {path}")
    return 0
