"""The queues of one tenant: exact ones for the flows that matter now, shared ones for the rest."""

from collections import OrderedDict, deque
from heapq import heapify, heappop, heappush

from gullhold.admission.drain_rate import Drain
from gullhold.admission.fair_queue import COMPACT, IDLE, PARKED, FairQueue
from gullhold.admission.retry_after import Book


class Lane:
    """What a flow holds of one profile: those who came back when told go before the others."""

    __slots__ = ("back", "new", "work")

    def __init__(self):
        self.back, self.new, self.work = deque(), deque(), 0.0

    def head(self):
        """The command that is next."""
        return self.back[0] if self.back else self.new[0]


class Flow:
    """One queue: of a client that matters now (name), or shared by those that hash to it (name None)."""

    __slots__ = ("behind", "bias", "book", "key", "lanes", "names", "parked", "queued", "slot")

    def __init__(self, key, slot, shared):
        self.key, self.slot = key, slot
        self.lanes = {}  # Lane by profile, of those that hold something
        self.queued, self.bias = 0, 1.0  # commands; work against estimates
        self.behind = 0  # commands that will come to it once an earlier one of their key has gone
        self.names = {} if shared else None  # of a shared one: commands that wait, by name
        self.book, self.parked = Book(), 0  # parked: the parking that counts

    def backlog(self, profile):
        """Work that waits here, of a profile."""
        return self.lanes[profile].work if profile in self.lanes else 0.0


class Queues:
    """A tenant's flows and the choice among them.

    index: the tenant's in the agreement; slot: its own among the door's tenants; quantum: work.
    """

    def __init__(self, index, slot, quantum):
        self.index, self.slot = index, slot
        self.fair, self.flows, self.by_slot = FairQueue(quantum), OrderedDict(), {}
        self.parked, self.queued = {}, 0  # by profile: heap of (due, parking, flow)
        self.serial, self.drains = 0, {}  # drains by profile

    def flow(self, key, weight, shared):
        """The flow of a key, made if need be."""
        found = self.flows.get(key)
        if found is None:
            found = self.flows[key] = Flow(key, self.fair.add(weight), shared)
            self.by_slot[found.slot] = found
        return found

    def drain(self, profile, now):
        """How fast the tenant's commands of a profile go on."""
        if profile not in self.drains:
            self.drains[profile] = Drain(now)
        return self.drains[profile]

    def put(self, now, flow, command, first, is_open):
        """A command waits in its flow; first: before those who are new; is_open: its profile may go now."""
        new = command.profile not in flow.lanes
        if new:
            flow.lanes[command.profile] = Lane()
        lane = flow.lanes[command.profile]
        (lane.back if first else lane.new).append(command)
        lane.work, flow.queued, self.queued = lane.work + command.work, flow.queued + 1, self.queued + 1
        self.drain(command.profile, now).come(now)
        if flow.names is not None:
            flow.names[command.name] = flow.names.get(command.name, 0) + 1
        if self.fair.state[flow.slot] == IDLE:
            self.fair.join(flow.slot)
        elif self.fair.state[flow.slot] == PARKED and is_open:
            self.fair.unpark(flow.slot)
        elif self.fair.state[flow.slot] == PARKED and new:
            self._wait_for(flow, command.profile)

    def take(self, now, flow, command, went):
        """A command leaves its flow, from wherever it stands; went: on to the module."""
        lane = flow.lanes[command.profile]
        if lane.head() is command:
            (lane.back or lane.new).popleft()
        else:
            (lane.back if command in lane.back else lane.new).remove(command)
        lane.work -= command.work
        if not lane.back and not lane.new:
            del flow.lanes[command.profile]
        flow.queued, self.queued = flow.queued - 1, self.queued - 1
        self.drain(command.profile, now).go(now, command.work if went else 0.0)
        if flow.names is not None:
            flow.names[command.name] -= 1
            if not flow.names[command.name]:
                del flow.names[command.name]
        if not flow.queued:
            self.fair.leave(flow.slot)

    def next(self, is_open):
        """(flow, command) whose turn it is among open profiles, or None. Flows that can't go park."""
        while (slot := self.fair.pick()) >= 0:
            flow = self.by_slot[slot]
            heads = [lane.head() for profile, lane in flow.lanes.items() if is_open(self.index, profile)]
            if heads:
                return flow, min(heads, key=lambda command: command.order)
            self.fair.park(slot)
            self.serial += 1
            flow.parked = self.serial
            for profile in flow.lanes:
                self._wait_for(flow, profile)
        return None

    def _wait_for(self, flow, profile):
        """A parked flow is found again when its profile opens."""
        heap = self.parked.setdefault(profile, [])
        heappush(heap, (self.fair.due(flow.slot), flow.parked, flow))
        if len(heap) > 2 * len(self.flows) + COMPACT:
            heap[:] = [row for row in heap if self._holds(row)]
            heapify(heap)

    def _holds(self, row):
        """Guards turns: what a flow was parked with before it last went says nothing of its turn now."""
        _, serial, flow = row
        return (
            flow.parked == serial
            and self.by_slot.get(flow.slot) is flow
            and (self.fair.state[flow.slot] == PARKED)
        )

    def opened(self, profile):
        """One of a profile may go again: the parked flow that waits for it the longest, in its own time."""
        heap = self.parked.get(profile)
        while heap:
            row = heappop(heap)
            if self._holds(row) and profile in row[2].lanes:
                self.fair.unpark(row[2].slot)
                break
        if not heap:
            self.parked.pop(profile, None)

    def forget(self, flow):
        """An idle flow goes."""
        self.fair.drop(flow.slot)
        del self.flows[flow.key], self.by_slot[flow.slot]
