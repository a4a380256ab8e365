"""The flows of one tenant, and the fair choice among them."""

from collections import OrderedDict
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from gullhold.admission.drain_rate import DrainRate
from gullhold.admission.fair_queue import IDLE, PARKED, STALE_ROWS_ALLOWED, Child, FairQueue
from gullhold.admission.flow import Flow, SharedFlowKey
from gullhold.admission.queued_command import QueuedCommand


class ParkedRow(NamedTuple):
    """Row of a heap of parked flows, ordered by due time, then by the serial number of the parking.

    Each parking of a flow has a serial number of its own, so that the heap never has to compare two flows.
    """

    due: float  # virtual time, FairQueue.due()
    parking_serial: int
    flow: Flow


class TenantQueue:
    """A tenant's flows: exact ones for heavy clients, shared ones for the rest.

    tenant: index in the agreement; tenants: the fair queue of all tenants; weight: the tenant's weight in it;
    min_quantum: lower bound of the quantum in the fair queue of the flows, in us of work.
    """

    def __init__(
        self, tenant: int, weight: float, tenants: FairQueue["TenantQueue"], min_quantum: float
    ) -> None:
        self.tenant = tenant
        self.child: Child[TenantQueue] = tenants.add(self, weight)
        self.fair_queue: FairQueue[Flow] = FairQueue(min_quantum)
        self.flows: OrderedDict[bytes | SharedFlowKey, Flow] = OrderedDict()  # least recently used first
        self.queued_count = 0
        self._parked: dict[int, list[ParkedRow]] = {}  # a heap for each profile, with stale rows
        self._last_parking_serial = 0
        self._drain_rates: dict[int, DrainRate] = {}  # by profile

    def flow(self, key: bytes | SharedFlowKey, weight: float) -> Flow:
        """Return the flow of a key; creates it if there is none."""
        flow = self.flows.get(key)
        if flow is None:
            flow = self.flows[key] = Flow(key, weight, self.fair_queue)
        return flow

    def has(self, flow: Flow) -> bool:
        """Whether the tenant still holds this flow: it has not been forgotten."""
        return self.flows.get(flow.key) is flow

    def forget(self, flow: Flow) -> None:
        """Forget an idle flow, and by how much it is ahead of its share."""
        assert flow.child.state is IDLE
        del self.flows[flow.key]

    def drain_rate(self, profile: int, now_us: int) -> DrainRate:
        """Return the drain rate of the tenant's commands of a profile; creates it if there is none."""
        if profile not in self._drain_rates:
            self._drain_rates[profile] = DrainRate(now_us)
        return self._drain_rates[profile]

    def add(self, now_us: int, command: QueuedCommand, goes_first: bool, can_forward: bool) -> None:
        """Queue a command in its flow; can_forward: commands of its profile may be forwarded now."""
        flow = command.flow
        is_only = flow.add(command, goes_first)
        self.queued_count += 1
        self.drain_rate(command.profile, now_us).record_queued(now_us)
        if flow.child.state is IDLE:
            self.fair_queue.join(flow.child)
        elif flow.child.state is PARKED and can_forward:
            self.fair_queue.unpark(flow.child)
        elif flow.child.state is PARKED and is_only:
            self._add_parked_row(flow, command.profile)

    def remove(self, now_us: int, command: QueuedCommand, is_forwarded: bool) -> None:
        """Remove a command from its flow; is_forwarded: it was forwarded, not rejected or withdrawn."""
        flow = command.flow
        flow.remove(command)
        self.queued_count -= 1
        work_us = command.work_us if is_forwarded else 0.0
        self.drain_rate(command.profile, now_us).record_removed(now_us, work_us)
        if not flow.queued_count:
            self.fair_queue.leave(flow.child)

    def next_command(self, can_forward: Callable[[int, int], bool]) -> QueuedCommand | None:
        """Return the command to forward next, or None.

        can_forward: tells whether commands of a tenant and profile may be forwarded now. A flow that has no
        such commands is parked when its turn comes.
        """
        while (child := self.fair_queue.pick()) is not None:
            flow = child.owner
            heads = [head for profile, head in flow.heads() if can_forward(self.tenant, profile)]
            if heads:
                return min(heads, key=lambda command: command.order)
            self._park(flow)
        return None

    def unpark_first(self, profile: int) -> None:
        """Unpark the flow that is due first among the parked flows that have commands of a profile."""
        heap = self._parked.get(profile)
        while heap:
            row = heappop(heap)
            if self._is_current(row) and profile in row.flow.profiles:
                self.fair_queue.unpark(row.flow.child)
                break
        if not heap:
            self._parked.pop(profile, None)

    def _park(self, flow: Flow) -> None:
        self.fair_queue.park(flow.child)
        self._last_parking_serial += 1
        flow.parking_serial = self._last_parking_serial
        for profile in flow.profiles:
            self._add_parked_row(flow, profile)

    def _add_parked_row(self, flow: Flow, profile: int) -> None:
        """Add a parked flow to the heap of a profile, from which unpark_first() takes it."""
        heap = self._parked.setdefault(profile, [])
        heappush(heap, ParkedRow(self.fair_queue.due(flow.child), flow.parking_serial, flow))
        if len(heap) > 2 * len(self.flows) + STALE_ROWS_ALLOWED:
            heap[:] = [row for row in heap if self._is_current(row)]
            heapify(heap)

    def _is_current(self, row: ParkedRow) -> bool:
        """Whether a row was added since its flow was last parked; earlier rows have outdated due times."""
        flow = row.flow
        return flow.parking_serial == row.parking_serial and self.has(flow) and flow.child.state is PARKED
