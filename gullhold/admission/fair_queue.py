"""Weighted fair queueing of work among children: the child with the largest lag is served first.

Virtual time grows by the work served, divided by the total weight of the backlogged children; a child's start
grows by the work served for it, divided by its weight. The difference of the two times the weight is the
child's lag: the work that an ideal, infinitely divisible scheduler would have served for it since it became
backlogged, less the work that was served. Children that join or leave change neither virtual time nor the lag
of any other child.

A child that was idle and has not been served since is preferred by a part of a quantum, so that children with
few commands need not wait behind those with many. The quantum is the largest work charged at once in the
present busy period, in which some child was always backlogged. A command's estimated work is charged when it
is picked, and corrected once its answer states the real work.
docs/notes/admission-queue.md has the bound on lag, and why no scheduling rule has a much smaller one.
"""

from collections.abc import Iterator
from enum import IntEnum
from heapq import heapify, heappop, heappush
from typing import Any, Generic, NamedTuple, TypeVar

STALE_ROWS_ALLOWED = 64  # stale heap rows that are kept without a rebuild of the heaps
UNSERVED_PREFERENCE = 0.25  # quanta added to the lag of a child that was idle and was not served since
NOT_IN_HEAP = 0  # heap_serial of a child without a current heap row; serial numbers begin at 1

Owner = TypeVar("Owner")


class ChildState(IntEnum):
    """Whether a child has queued work, and whether it may be picked."""

    IDLE = 0
    READY = 1
    PARKED = 2  # backlogged, but kept from being picked until unpark()


# Access to an enum member through its class costs a function call in Python 3.11: too slow for inner loops.
IDLE = ChildState.IDLE
READY = ChildState.READY
PARKED = ChildState.PARKED


class Child(Generic[Owner]):
    """One child of a FairQueue; owner: the object of the caller that the child stands for."""

    __slots__ = ("heap_serial", "is_unserved", "owner", "start", "state", "weight")

    def __init__(self, owner: Owner, weight: float, start: float) -> None:
        self.owner = owner
        self.weight = weight
        self.start = start  # virtual time up to which its share is used; ahead if later than the queue's
        self.state = IDLE
        self.heap_serial = NOT_IN_HEAP  # serial number of its current heap row
        self.is_unserved = True  # not charged since it became backlogged


class HeapRow(NamedTuple):
    """Row of a heap, ordered by start, then by unique serial number, so that children are never compared."""

    start: float  # the child's start when the row was added
    serial: int
    child: Child[Any]

    def is_stale(self) -> bool:
        """Whether the child has a newer row, or may not be picked."""
        return self.child.heap_serial != self.serial


class WeightClass(NamedTuple):
    """Heaps by start of the ready children of one weight; virtual time does not change the order in a heap.

    served: children charged since they became backlogged; unserved: those that were not.
    """

    served: list[HeapRow]
    unserved: list[HeapRow]


class FairQueue(Generic[Owner]):
    """Weighted fair queue; pick() takes O(w + log n) time for n ready children of w different weights.

    Weights are positive. Work has any unit, the same in all calls. min_quantum: lower bound of the quantum,
    in units of work.
    """

    def __init__(self, min_quantum: float) -> None:
        self.min_quantum = min_quantum
        self.quantum = min_quantum
        self.virtual_time = 0.0
        self.total_weight = 0.0  # sum of the weights of the backlogged children
        self.ready_count = 0
        self.backlogged_count = 0
        self._classes: dict[float, WeightClass] = {}  # by weight
        self._row_count = 0  # rows in all heaps, with stale ones
        self._last_serial = NOT_IN_HEAP

    @property
    def ahead(self) -> list[HeapRow]:
        """The heap rows, with stale ones, of children that are ahead of their shares."""
        return [row for row in self._rows() if row.start > self.virtual_time]

    @property
    def eligible(self) -> list[HeapRow]:
        """The heap rows, with stale ones, of children that are not ahead of their shares."""
        return [row for row in self._rows() if row.start <= self.virtual_time]

    def add(self, owner: Owner, weight: float) -> Child[Owner]:
        """Return a new, idle child. The queue keeps no reference to idle children: they need no removal."""
        return Child(owner, weight, self.virtual_time)

    def can_be_forgotten(self, child: Child[Owner]) -> bool:
        """Whether a child is idle and not ahead of its share: a new child in its place would get as much."""
        return child.state is IDLE and child.start <= self.virtual_time

    def join(self, child: Child[Owner]) -> None:
        """Mark an idle child as backlogged; the time in which it was idle earns it no credit."""
        assert child.state is IDLE
        child.start = max(child.start, self.virtual_time)
        self.total_weight += child.weight
        child.is_unserved = True
        self.backlogged_count += 1
        self._make_ready(child)

    def leave(self, child: Child[Owner]) -> None:
        """Mark a child as idle."""
        if child.state is IDLE:
            return
        if child.state is READY:
            self.ready_count -= 1
        child.state = IDLE
        child.heap_serial = NOT_IN_HEAP
        self.total_weight -= child.weight
        self.backlogged_count -= 1
        if not self.backlogged_count:
            self.total_weight = 0.0  # removes rounding errors of the sums and differences so far
            self.quantum = self.min_quantum

    def park(self, child: Child[Owner]) -> None:
        """Keep a backlogged child from being picked until unpark()."""
        if child.state is READY:
            child.state = PARKED
            child.heap_serial = NOT_IN_HEAP
            self.ready_count -= 1

    def unpark(self, child: Child[Owner]) -> None:
        """Let a parked child be picked again."""
        if child.state is PARKED:
            self._make_ready(child)

    def set_weight(self, child: Child[Owner], weight: float) -> None:
        """Change a child's weight but not its lag: work served under the old weight stays charged."""
        if child.state is not IDLE:
            self.total_weight += weight - child.weight
        child.start = self.virtual_time - (self.virtual_time - child.start) * child.weight / weight
        child.weight = weight
        self._update_row(child)

    def pick(self) -> Child[Owner] | None:
        """Return the ready child that goes first, or None; charge() then moves it back in the order."""
        best: Child[Owner] | None = None
        best_urgency = 0.0
        for weight, weight_class in list(self._classes.items()):
            for heap in weight_class:
                self._drop_stale(heap)
                if heap and (best is None or self._urgency(heap[0]) > best_urgency):
                    best = heap[0].child
                    best_urgency = self._urgency(heap[0])
            if not weight_class.served and not weight_class.unserved:
                del self._classes[weight]
        return best

    def charge(self, child: Child[Owner], work: float) -> None:
        """Charge work to a child: a picked command's estimate, or its later correction (may be negative)."""
        child.start += work / child.weight
        child.is_unserved = False
        self.quantum = max(self.quantum, work)
        if self.total_weight > 0:
            self.virtual_time += work / max(self.total_weight, child.weight)
        self._update_row(child)

    def share(self, child: Child[Owner]) -> float:
        """Return the fraction of all work that a child gets beside the children that are backlogged now."""
        total_weight = self.total_weight
        if child.state is IDLE:
            total_weight += child.weight
        return child.weight / total_weight if total_weight > 0 else 1.0

    def due(self, child: Child[Owner]) -> float:
        """Return the virtual time that orders parked children: the start, a quantum later if served."""
        if child.is_unserved:
            return child.start
        return child.start + self.quantum / child.weight

    def _urgency(self, row: HeapRow) -> float:
        """Return a child's lag, with the preference added if it is unserved and not ahead of its share."""
        child = row.child
        lag = child.weight * (self.virtual_time - child.start)
        if child.is_unserved and lag >= 0:
            return lag + UNSERVED_PREFERENCE * self.quantum
        return lag

    def _rows(self) -> Iterator[HeapRow]:
        for weight_class in self._classes.values():
            for heap in weight_class:
                yield from heap

    def _drop_stale(self, heap: list[HeapRow]) -> None:
        """Remove stale rows from the top of a heap."""
        while heap and heap[0].is_stale():
            heappop(heap)
            self._row_count -= 1

    def _update_row(self, child: Child[Owner]) -> None:
        """Replace the heap row of a ready child whose start or weight has changed; the old one is stale."""
        if child.state is READY:
            self.ready_count -= 1
            self._make_ready(child)

    def _make_ready(self, child: Child[Owner]) -> None:
        self._last_serial += 1
        child.state = READY
        child.heap_serial = self._last_serial
        self.ready_count += 1
        weight_class = self._classes.setdefault(child.weight, WeightClass([], []))
        heap = weight_class.unserved if child.is_unserved else weight_class.served
        heappush(heap, HeapRow(child.start, child.heap_serial, child))
        self._row_count += 1
        if self._row_count > 2 * self.ready_count + STALE_ROWS_ALLOWED:
            self._drop_all_stale()

    def _drop_all_stale(self) -> None:
        """Rebuild the heaps without stale rows, so that these stay bounded."""
        for weight_class in self._classes.values():
            for heap in weight_class:
                heap[:] = [row for row in heap if not row.is_stale()]
                heapify(heap)
        self._row_count = sum(1 for _ in self._rows())
