"""Keys of budgets in the fleet's store, and the JSON of their values. Stored names must not change.

Under `budget/`: `asks/MEMBER`, a member's report, attached to its lease and so present as long as the member.
`parts/MEMBER`, the allocations of a member with the allocator's charges. `fence`, written and compared with
every write of the allocator; it also shows the allocator's totals to staff.
"""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

ROOT = "budget/"
REPORTS = ROOT + "asks/"
ALLOCATIONS = ROOT + "parts/"
FENCE = ROOT + "fence"

PackedEntry = int | list[Any]  # a member's entry in a ledger, as LedgerEntry.pack() returns it


class Usage(NamedTuple):
    """A member's report on one budget, in the budget's unit.

    in_use: of its allocation, now or spent within the window; used: the largest amount since the last report;
    requested: the allocation that it would like.
    """

    in_use: int
    used: int
    requested: int


NO_USAGE = Usage(0, 0, 0)


class UsageReport(NamedTuple):
    """A member's report: its usage by budget name.

    applied_write: the newest write of allocations that it has applied. has_left: the last report of a member
    that has shut down gracefully.
    """

    applied_write: int
    usage: Mapping[str, Usage]
    has_left: bool = False


class AllocationRow(NamedTuple):
    """A member's stored row: the number of the write and, by budget name, the packed ledger entries."""

    write: int
    entries: dict[str, PackedEntry]


class BudgetTotal(NamedTuple):
    """The allocator's total for a budget, and how much of it is reserved."""

    total: int
    reserve: int


def _dump(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))


def encode_report(report: UsageReport) -> str:
    """Return the stored form of a report."""
    return _dump({"seen": report.applied_write, "told": report.usage, "left": report.has_left})


def decode_report(text: str) -> UsageReport | None:
    """Decode a stored report; None if it can't be read."""
    try:
        stored = json.loads(text)
        usage = {
            name: Usage(int(in_use), int(used), int(requested))
            for name, (in_use, used, requested) in stored["told"].items()
        }
        return UsageReport(int(stored["seen"]), usage, bool(stored.get("left")))
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


def encode_row(write: int, entries: Mapping[str, PackedEntry]) -> str:
    """Return the stored form of a member's row."""
    return _dump({"write": write, "row": entries})


def decode_row(text: str) -> AllocationRow:
    """Decode a stored row; an empty one with write 0 if it can't be read."""
    try:
        stored = json.loads(text)
        return AllocationRow(int(stored["write"]), dict(stored["row"]))
    except (ValueError, TypeError, KeyError):
        return AllocationRow(0, {})


def encode_fence(write: int, totals: Mapping[str, BudgetTotal]) -> str:
    """Return the stored form of the fence. totals: by budget name, or the word for all of one kind."""
    return _dump({"write": write, "wholes": totals})


def decode_fence(text: str) -> dict[str, BudgetTotal]:
    """Decode the totals of a stored fence; empty if it can't be read."""
    try:
        stored = json.loads(text)["wholes"]
        return {name: BudgetTotal(int(total), int(reserve)) for name, (total, reserve) in stored.items()}
    except (ValueError, TypeError, KeyError):
        return {}


def allocated_amount(packed: PackedEntry) -> int:
    """Return the allocation in a packed ledger entry."""
    return packed if isinstance(packed, int) else packed[0]


def has_pending_charges(packed: PackedEntry) -> bool:
    """Whether a packed entry holds reductions or expiring charges, or more in use than is allocated."""
    if isinstance(packed, int):
        return False
    allocated, in_use, reductions, expiring, _ = packed
    return bool(reductions or expiring or in_use > allocated)
