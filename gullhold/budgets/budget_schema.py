"""Keys and stored forms of budgets in the fleet's store. The words of the stored JSON are fixed.

Under `budget/`: `asks/MEMBER`, a member's report, attached to its lease: while it is there, the member is.
`parts/MEMBER`, the allocations of a member with the allocator's charges. `fence`, written and compared with
every write of the allocator; it also shows staff the totals that the allocator goes by.
"""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

ROOT = "budget/"
REPORTS = ROOT + "asks/"
ALLOCATIONS = ROOT + "parts/"
FENCE = ROOT + "fence"


class Usage(NamedTuple):
    """What a member reports of one budget, in the budget's unit.

    in_use: of its allocation, at this moment or spent within the window; used: the most since the last
    report; requested: what it asks for.
    """

    in_use: int
    used: int
    requested: int


NO_USAGE = Usage(0, 0, 0)


class UsageReport(NamedTuple):
    """A member's report: the write of allocations that it goes by, and its usage by budget name.

    has_left: the last report of a member that left in good order.
    """

    seen_write: int
    usage: Mapping[str, Usage]
    has_left: bool = False


class AllocationRow(NamedTuple):
    """A member's stored row: the number of the write and, by budget name, the packed ledger entries."""

    write: int
    entries: dict[str, int | list[Any]]


class BudgetTotal(NamedTuple):
    """What the allocator goes by for a budget: its total, and how much of it is held in reserve."""

    total: int
    reserve: int


def _dump(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))


def encode_report(report: UsageReport) -> str:
    """Return the stored form of a report."""
    return _dump({"seen": report.seen_write, "told": report.usage, "left": report.has_left})


def decode_report(text: str) -> UsageReport | None:
    """Read a stored report; None: it can't be read."""
    try:
        stored = json.loads(text)
        usage = {
            name: Usage(int(in_use), int(used), int(requested))
            for name, (in_use, used, requested) in stored["told"].items()
        }
        return UsageReport(int(stored["seen"]), usage, bool(stored.get("left")))
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


def encode_row(write: int, entries: Mapping[str, int | list[Any]]) -> str:
    """Return the stored form of a member's row."""
    return _dump({"write": write, "row": entries})


def decode_row(text: str) -> AllocationRow:
    """Read a stored row; an empty one under write 0 where it can't be read."""
    try:
        stored = json.loads(text)
        return AllocationRow(int(stored["write"]), dict(stored["row"]))
    except (ValueError, TypeError, KeyError):
        return AllocationRow(0, {})


def encode_fence(write: int, totals: Mapping[str, BudgetTotal]) -> str:
    """Return the stored form of the fence. totals: by budget name, or the word for all of one kind."""
    return _dump({"write": write, "wholes": totals})


def decode_fence(text: str) -> dict[str, BudgetTotal]:
    """Read the totals of a stored fence; none where it can't be read."""
    try:
        stored = json.loads(text)["wholes"]
        return {name: BudgetTotal(int(total), int(reserve)) for name, (total, reserve) in stored.items()}
    except (ValueError, TypeError, KeyError):
        return {}


def allocated_amount(packed: int | list[Any]) -> int:
    """Return the allocation that a packed ledger entry holds."""
    return packed if isinstance(packed, int) else packed[0]


def has_pending_charges(packed: int | list[Any]) -> bool:
    """Whether a packed entry holds reductions or expiring charges, or more in use than is allocated."""
    if isinstance(packed, int):
        return False
    allocated, in_use, reductions, expiring, _ = packed
    return bool(reductions or expiring or in_use > allocated)
