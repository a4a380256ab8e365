"""Weighted fair choice among children, in work: fair queueing with eligibility (the idea of WF2Q+).

A child's start is the virtual time at which its share of the work done so far would be used up; virtual
time is the weighted mean of the starts of those that are backlogged, also when one joins or leaves (as in
EEVDF). Only children whose start is not ahead of it may be picked; of these the one whose quantum is due
first. The quantum is the largest command seen while any child was backlogged. So none gets ahead by more
than one command, and none that stays backlogged lags by more than one largest command and one quantum. What
a command took is charged when it is picked, and corrected once its answer states it.
"""

from enum import IntEnum
from heapq import heapify, heappop, heappush
from typing import Any, Generic, NamedTuple, TypeVar

STALE_ROWS_ALLOWED = 64  # heap rows; fewer stale ones than this are never worth a clean-up
NOT_IN_HEAP = 0  # entry of a child that no heap row stands for; serial numbers begin at 1

Owner = TypeVar("Owner")


class ChildState(IntEnum):
    """Whether a child has work, and whether it may be picked."""

    IDLE = 0
    READY = 1
    PARKED = 2  # backlogged, but nothing of it may be taken at present


# Python 3.11 calls a function at each access to a member through its class: too slow for inner loops.
IDLE = ChildState.IDLE
READY = ChildState.READY
PARKED = ChildState.PARKED


class Child(Generic[Owner]):
    """One child of a FairQueue; owner: what the caller keeps for it."""

    __slots__ = ("entry", "is_untouched", "owner", "start", "state", "weight")

    def __init__(self, owner: Owner, weight: float, start: float) -> None:
        self.owner = owner
        self.weight = weight
        self.start = start  # virtual time
        self.state = IDLE
        self.entry = NOT_IN_HEAP  # serial number of the heap row that stands for it
        self.is_untouched = True  # nothing of it was taken since it was idle


class HeapRow(NamedTuple):
    """Row of a heap: serial numbers are unique, so children are never compared."""

    virtual_time: float  # the child's start, or the end of its quantum
    serial: int
    child: Child[Any]

    def is_stale(self) -> bool:
        """Whether the child has a newer row or none."""
        return self.child.entry != self.serial


class FairQueue(Generic[Owner]):
    """Children with positive weights. Each call is O(log n) for n backlogged children.

    min_quantum: the least quantum, in work.
    """

    def __init__(self, min_quantum: float) -> None:
        self.min_quantum = min_quantum
        self.quantum = min_quantum
        self.virtual_time = 0.0
        self.total_weight = 0.0  # of those that are backlogged
        self.ready_count = 0
        self.backlogged_count = 0
        self.ahead: list[HeapRow] = []  # by start: those ahead of virtual time when they entered
        self.eligible: list[HeapRow] = []  # by the end of the quantum
        self._last_serial = NOT_IN_HEAP

    def add(self, owner: Owner, weight: float) -> Child[Owner]:
        """Return a new child, idle. An idle child that is used no more needs no call."""
        return Child(owner, weight, self.virtual_time)

    def owes_nothing(self, child: Child[Owner]) -> bool:
        """Whether a child is idle and not ahead of its share, so that forgetting it changes nothing."""
        return child.state is IDLE and child.start <= self.virtual_time

    def join(self, child: Child[Owner]) -> None:
        """Mark an idle child as backlogged; it gets no credit for the time in which it was idle."""
        assert child.state is IDLE
        child.start = max(child.start, self.virtual_time)
        self.total_weight += child.weight
        self.virtual_time += child.weight * (child.start - self.virtual_time) / self.total_weight
        child.is_untouched = True
        self.backlogged_count += 1
        self._enter(child)

    def leave(self, child: Child[Owner]) -> None:
        """Mark a child as idle."""
        if child.state is IDLE:
            return
        if child.state is READY:
            self.ready_count -= 1
        child.state = IDLE
        child.entry = NOT_IN_HEAP
        self.total_weight -= child.weight
        self.backlogged_count -= 1
        if not self.backlogged_count:
            self.total_weight = 0.0  # exactly: no rounding errors of sums and differences remain
            self.quantum = self.min_quantum
        else:  # the others are still owed what it was ahead of its share
            self.virtual_time -= child.weight * (child.start - self.virtual_time) / self.total_weight

    def park(self, child: Child[Owner]) -> None:
        """Keep a backlogged child from being picked until unpark()."""
        if child.state is READY:
            child.state = PARKED
            child.entry = NOT_IN_HEAP
            self.ready_count -= 1

    def unpark(self, child: Child[Owner]) -> None:
        """Let a parked child be picked again."""
        if child.state is PARKED:
            self._enter(child)

    def set_weight(self, child: Child[Owner], weight: float) -> None:
        """Change a child's weight; what it used under the old one stays used."""
        if child.state is not IDLE:
            self.total_weight += weight - child.weight
        child.weight = weight
        self._enter_again(child)

    def pick(self) -> Child[Owner] | None:
        """Return the child whose turn it is (it stays in its place until charged), or None."""
        while self.ahead and (self.ahead[0].is_stale() or self.ahead[0].virtual_time <= self.virtual_time):
            row = heappop(self.ahead)
            if not row.is_stale():
                heappush(self.eligible, HeapRow(self.due(row.child), row.serial, row.child))
        while self.eligible and self.eligible[0].is_stale():
            heappop(self.eligible)
        if self.eligible:
            return self.eligible[0].child
        if self.ahead:  # all that are ready are ahead of their shares
            return self.ahead[0].child
        return None

    def charge(self, child: Child[Owner], work: float) -> None:
        """Count work that was taken of a child, or turned out to be needed (negative: was not needed)."""
        child.start += work / child.weight
        child.is_untouched = False
        self.quantum = max(self.quantum, work)
        if self.total_weight > 0:
            self.virtual_time += work / max(self.total_weight, child.weight)
        self._enter_again(child)

    def share(self, child: Child[Owner]) -> float:
        """Return the part of all work that a child gets, if it is or were backlogged."""
        total_weight = self.total_weight
        if child.state is IDLE:
            total_weight += child.weight
        return child.weight / total_weight if total_weight > 0 else 1.0

    def due(self, child: Child[Owner]) -> float:
        """Return the virtual time at which a child's quantum ends, or the start of one that was idle.

        So those who ask rarely need not wait for a crowd. Nobody gains by it in the long run: what is taken
        is charged, and none is eligible before its share.
        """
        if child.is_untouched:
            return child.start
        return child.start + self.quantum / child.weight

    def _enter_again(self, child: Child[Owner]) -> None:
        """Put a ready child where its start and weight now say."""
        if child.state is READY:
            self.ready_count -= 1
            self._enter(child)

    def _enter(self, child: Child[Owner]) -> None:
        self._last_serial += 1
        child.state = READY
        child.entry = self._last_serial
        self.ready_count += 1
        if child.start <= self.virtual_time:
            heappush(self.eligible, HeapRow(self.due(child), child.entry, child))
        else:
            heappush(self.ahead, HeapRow(child.start, child.entry, child))
        max_rows = 2 * self.ready_count + STALE_ROWS_ALLOWED
        for heap in (self.ahead, self.eligible):  # guards against heaps full of stale rows
            if len(heap) > max_rows:
                heap[:] = [row for row in heap if not row.is_stale()]
                heapify(heap)
