"""Keys of budgets in the fleet's store, and the JSON of their values.

Under `budget/`: `asks/MEMBER`, a member's report, attached to its lease, so that the key exists as long as
the member does. `parts/MEMBER`, the member's row: its allocations and the allocator's charges. `fence`,
written by and compared in every write of the allocator; it also shows the allocator's totals to operators.
Stored names must not change, as other members and later processes read them.
"""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

ROOT = "budget/"
REPORTS = ROOT + "asks/"
ALLOCATIONS = ROOT + "parts/"
FENCE = ROOT + "fence"

PackedEntry = int | list[Any]  # a member's ledger entry in the form of LedgerEntry.pack()


class Usage(NamedTuple):
    """A member's report on one budget, in the budget's unit.

    in_use: what is in use now, or was spent within the window, beyond the reserve; peak: the largest amount
    in use since the last report, but the whole allocation if an amount was refused since then; requested: the
    allocation that the member asks for.
    """

    in_use: int
    peak: int
    requested: int


NO_USAGE = Usage(0, 0, 0)


class UsageReport(NamedTuple):
    """A member's report on all budgets that it uses. usage: by budget name.

    applied_write: number of the newest write of allocations that the member has applied. has_left: this is
    the last report, as the member has shut down gracefully.
    """

    applied_write: int
    usage: Mapping[str, Usage]
    has_left: bool = False


class AllocationRow(NamedTuple):
    """A member's stored row. write: number of the write; entries: packed ledger entries by budget name."""

    write: int
    entries: dict[str, PackedEntry]


class BudgetTotal(NamedTuple):
    """The total of a budget, and the part of it that is reserved and never allocated."""

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
            name: Usage(int(in_use), int(peak), int(requested))
            for name, (in_use, peak, requested) in stored["told"].items()
        }
        return UsageReport(int(stored["seen"]), usage, bool(stored.get("left")))
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


def encode_row(write: int, entries: Mapping[str, PackedEntry]) -> str:
    """Return the stored form of a member's row."""
    return _dump({"write": write, "row": entries})


def decode_row(text: str) -> AllocationRow:
    """Decode a stored row; if it can't be read, return write 0 without entries."""
    try:
        stored = json.loads(text)
        return AllocationRow(int(stored["write"]), dict(stored["row"]))
    except (ValueError, TypeError, KeyError):
        return AllocationRow(0, {})


def encode_fence(write: int, totals: Mapping[str, BudgetTotal]) -> str:
    """Return the stored form of the fence. totals: by budget name, or by kind if for all its subjects."""
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
    """Whether an entry charges more than its allocation: a reduction, an expiring charge, or excess use."""
    if isinstance(packed, int):
        return False
    allocated, in_use, reductions, expiring, _ = packed
    return bool(reductions or expiring or in_use > allocated)
