"""Weighted fair choice among children, in work: fair queueing with eligibility (the idea of WF2Q+).

A child's start is the virtual time at which its share of the work done so far would be used up; virtual
time is the weighted mean of the starts of those that are backlogged, also when one comes or goes (as in
EEVDF). Only children whose start is not ahead of it may be picked; of these the one whose quantum is due
first. The quantum is the largest command seen while anybody was backlogged. So none gets ahead by more than
one command, and none that stays backlogged lags by more than one largest command and one quantum. What a
command took is charged when it is picked, and corrected when its answer tells.
"""

from heapq import heapify, heappop, heappush

IDLE, READY, PARKED = range(3)  # parked: backlogged, but nothing of it may be taken at present
COMPACT = 64  # stale heap entries that are never worth a clean-up


class FairQueue:
    """Children by slot (a small index). least: of the quantum, in work; all weights positive.

    O(log n) a call, n the children that are backlogged; O(1) memory for each slot.
    """

    def __init__(self, least):
        self.least, self.quantum, self.virtual, self.total, self.serial = least, least, 0.0, 0.0, 0
        self.ready = self.backlogged = 0
        self.start, self.weight, self.state, self.entry, self.free = [], [], [], [], []
        self.fresh = []  # whether nothing of it was taken since it was idle
        self.ahead, self.eligible = [], []  # (start or due, serial, slot): not yet, and now

    def add(self, weight):
        """A new child, idle; its slot."""
        if self.free:
            slot = self.free.pop()
            self.start[slot], self.weight[slot], self.state[slot] = self.virtual, weight, IDLE
        else:
            slot = len(self.start)
            for column, first in (
                (self.start, self.virtual),
                (self.weight, weight),
                (self.state, IDLE),
                (self.entry, 0),
                (self.fresh, True),
            ):
                column.append(first)
        return slot

    def drop(self, slot):
        """An idle child is forgotten, with what it owes."""
        assert self.state[slot] == IDLE
        self.free.append(slot)

    def settled(self, slot):
        """Whether an idle child owes nothing: it may be forgotten and nobody could tell."""
        return self.state[slot] == IDLE and self.start[slot] <= self.virtual

    def join(self, slot):
        """An idle child has something: it starts from now, with no credit for the time it was idle."""
        assert self.state[slot] == IDLE
        self.start[slot] = max(self.start[slot], self.virtual)
        self.total += self.weight[slot]
        self.virtual += self.weight[slot] * (self.start[slot] - self.virtual) / self.total
        self.fresh[slot] = True
        self.backlogged += 1
        self._enter(slot)

    def leave(self, slot):
        """It has nothing any more."""
        if self.state[slot] != IDLE:
            self.ready -= self.state[slot] == READY
            self.total -= self.weight[slot]
            self.state[slot], self.entry[slot], self.backlogged = IDLE, 0, self.backlogged - 1
            if not self.backlogged:
                self.total, self.quantum = 0.0, self.least  # no dust of sums and differences
            else:  # what it is ahead of its share, the others are behind theirs: they have it to come
                self.virtual -= self.weight[slot] * (self.start[slot] - self.virtual) / self.total

    def park(self, slot):
        """Backlogged as before, but not to be picked until unpark()."""
        if self.state[slot] == READY:
            self.state[slot], self.entry[slot] = PARKED, 0
            self.ready -= 1

    def unpark(self, slot):
        """It may be picked again."""
        if self.state[slot] == PARKED:
            self._enter(slot)

    def reweigh(self, slot, weight):
        """Its weight changed; what it used under the old one stays used."""
        if self.state[slot] != IDLE:
            self.total += weight - self.weight[slot]
        self.weight[slot] = weight
        if self.state[slot] == READY:
            self.ready -= 1
            self._enter(slot)

    def pick(self):
        """The child whose turn it is (it stays where it is until charged), or -1."""
        while self.ahead and (self._stale(self.ahead[0]) or self.ahead[0][0] <= self.virtual):
            row = heappop(self.ahead)
            if not self._stale(row):
                heappush(self.eligible, (self.due(row[2]), row[1], row[2]))
        while self.eligible and self._stale(self.eligible[0]):
            heappop(self.eligible)
        if self.eligible:
            return self.eligible[0][2]
        return self.ahead[0][2] if self.ahead else -1  # all that may go are ahead of their shares

    def charge(self, slot, work):
        """So much work of it was taken, or turned out to be needed (negative: was not needed)."""
        self.start[slot] += work / self.weight[slot]
        self.quantum, self.fresh[slot] = max(self.quantum, work), False
        if self.total > 0:
            self.virtual += work / max(self.total, self.weight[slot])
        if self.state[slot] == READY:
            self.ready -= 1
            self._enter(slot)

    def share(self, slot):
        """Its part of the whole if it is or were backlogged."""
        total = self.total + (self.weight[slot] if self.state[slot] == IDLE else 0.0)
        return self.weight[slot] / total if total > 0 else 1.0

    def due(self, slot):
        """Its quantum's end; of one that was idle its start: those who ask rarely need not wait for a crowd.

        Nobody gains by it in the long run: what is taken is charged, and none is eligible before its share.
        """
        return self.start[slot] + (0.0 if self.fresh[slot] else self.quantum / self.weight[slot])

    def _stale(self, row):
        return self.entry[row[2]] != row[1]

    def _enter(self, slot):
        self.serial += 1
        self.state[slot], self.entry[slot], self.ready = READY, self.serial, self.ready + 1
        if self.start[slot] <= self.virtual:
            heappush(self.eligible, (self.due(slot), self.serial, slot))
        else:
            heappush(self.ahead, (self.start[slot], self.serial, slot))
        for heap in (self.ahead, self.eligible):  # guards against heaps full of what corrections made stale
            if len(heap) > 2 * self.ready + COMPACT:
                heap[:] = [row for row in heap if not self._stale(row)]
                heapify(heap)
