"""Weighted max-min fairness: how much of a total each member should be allocated. Performs no I/O.

Amounts are integers in the budget's own unit. The shares are computed by progressive filling: the member with
the smallest share divided by its weight is served first, until its demand is met or the total is used up.
"""

from collections.abc import Hashable, Mapping, Sequence
from heapq import heapify, heappop, heappush
from typing import TypeVar

MemberKey = TypeVar("MemberKey", bound=Hashable)

MAX_IDLE_CHANGE = 0.1  # fraction of an allocation; smaller changes are not made if no member lacks anything


def max_min_shares(
    total: int,
    demands: Mapping[MemberKey, int],
    weights: Mapping[MemberKey, float],
    floor: int,
    granularity: int = 1,
    first: int = 0,
) -> dict[MemberKey, int]:
    """Return the share of each member; the shares sum to the total.

    Every member gets at least the floor, if the total is large enough. Then the member with the smallest
    share divided by its weight is served first, up to its demand. What no member demands is distributed by
    weight, so that members have it at hand for bursts.

    demands, weights: by member. granularity: smallest usable amount; all shares but one are multiples of it.
    first: index of the member to serve first; matters if not every member can have a usable amount.
    """
    if not demands or total <= 0:
        return dict.fromkeys(demands, 0)
    if granularity > 1:
        return _granular_shares(total, demands, weights, floor, granularity, first)
    members = _rotated(list(demands), first)
    floor = min(floor, total // len(members))
    shares = dict.fromkeys(members, floor)
    remaining = total - floor * len(members)
    unsatisfied = [member for member in members if demands[member] > floor]
    remaining = _fill_by_demand(shares, unsatisfied, demands, weights, remaining)
    if remaining:
        _spread_by_weight(shares, members, weights, remaining)
    return shares


def _rotated(members: list[MemberKey], first: int) -> list[MemberKey]:
    start = first % len(members)
    return members[start:] + members[:start]


def _granular_shares(
    total: int,
    demands: Mapping[MemberKey, int],
    weights: Mapping[MemberKey, float],
    floor: int,
    granularity: int,
    first: int,
) -> dict[MemberKey, int]:
    """Distribute units of the granularity; the member with the largest share also gets the remainder."""
    unit_demands = {member: _ceil_div(demand, granularity) for member, demand in demands.items()}
    units = max_min_shares(
        total // granularity, unit_demands, weights, _ceil_div(floor, granularity), first=first
    )
    shares = {member: count * granularity for member, count in units.items()}
    largest = max(shares, key=lambda member: shares[member])
    # The remainder is less than a unit and usable only together with complete units, so it goes to the member
    # that has the most of them.
    shares[largest] += total % granularity
    return shares


def _ceil_div(amount: int, divisor: int) -> int:
    return -(-amount // divisor)


def _fill_by_demand(
    shares: dict[MemberKey, int],
    unsatisfied: list[MemberKey],
    demands: Mapping[MemberKey, int],
    weights: Mapping[MemberKey, float],
    remaining: int,
) -> int:
    """Raise the smallest shares, by weight, until all demands are met or nothing remains.

    Changes `shares`; returns what remains.
    """
    while unsatisfied and remaining:
        total_weight = sum(weights[member] for member in unsatisfied)
        level = min(
            [
                (shares[member] + remaining * weights[member] / total_weight) / weights[member]
                for member in unsatisfied
            ]
        )
        satisfied = set()
        for member in unsatisfied:
            target = min(demands[member], int(level * weights[member]))
            increase = max(0, min(remaining, target - shares[member]))
            shares[member] += increase
            remaining -= increase
            if shares[member] >= demands[member]:
                satisfied.add(member)
        if not satisfied:
            return _fill_one_by_one(shares, unsatisfied, demands, weights, remaining)
        unsatisfied = [member for member in unsatisfied if member not in satisfied]
    return remaining


def _fill_one_by_one(
    shares: dict[MemberKey, int],
    unsatisfied: Sequence[MemberKey],
    demands: Mapping[MemberKey, int],
    weights: Mapping[MemberKey, float],
    remaining: int,
) -> int:
    """Give the remaining units one by one to the member with the smallest share divided by its weight.

    Changes `shares`; returns what remains once all demands are met.
    """
    queue = [(shares[member] / weights[member], index, member) for index, member in enumerate(unsatisfied)]
    heapify(queue)
    while queue and remaining:
        _, index, member = heappop(queue)
        shares[member] += 1
        remaining -= 1
        if shares[member] < demands[member]:
            heappush(queue, (shares[member] / weights[member], index, member))
    return remaining


def _spread_by_weight(
    shares: dict[MemberKey, int],
    members: Sequence[MemberKey],
    weights: Mapping[MemberKey, float],
    remaining: int,
) -> None:
    """Add what no member demands to the shares, by weight; units lost to rounding go to the first members."""
    total_weight = sum(weights[member] for member in members)
    rounded = [int(remaining * weights[member] / total_weight) for member in members]
    for member, increase in zip(members, rounded, strict=True):
        shares[member] += increase
    for member in members[: remaining - sum(rounded)]:
        shares[member] += 1


def damp_changes(
    current: Mapping[MemberKey, int],
    proposed: Mapping[MemberKey, int],
    demands: Mapping[MemberKey, int],
    max_idle_change: float = MAX_IDLE_CHANGE,
) -> Mapping[MemberKey, int]:
    """Return the proposed allocations without small changes that no member needs, to save writes.

    An allocation that would change by at most the fraction max_idle_change stays as it is, unless any member
    demands more than it has or the set of members has changed.
    """
    is_short = any(demands[member] > current.get(member, 0) for member in proposed)
    if is_short or set(current) != set(proposed):
        return proposed
    damped = {
        member: current[member] if _is_small_change(current[member], amount, max_idle_change) else amount
        for member, amount in proposed.items()
    }
    return damped if sum(damped.values()) <= sum(proposed.values()) else proposed


def _is_small_change(current: int, proposed: int, max_idle_change: float) -> bool:
    return abs(proposed - current) <= max_idle_change * max(1, current)
