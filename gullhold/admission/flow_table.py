"""The queues of all tenants and their flows, in bounded memory."""

from collections import OrderedDict
from collections.abc import Iterator, Mapping, Sequence
from itertools import islice
from random import Random
from typing import NamedTuple

from gullhold.admission.fair_queue import IDLE, FairQueue
from gullhold.admission.flow import Flow, SharedFlowKey
from gullhold.admission.retry_after import FlowRetries, RetryScheduler
from gullhold.admission.settings import AdmissionSettings
from gullhold.admission.sketch import WIDTH, Sketch
from gullhold.admission.tenant_queue import TenantQueue

MIN_QUANTUM_US = 50_000.0  # the work assumed for a command that states none
# A client is heavy if its part of all recent work is above
# HEAVY_SHARE * (1 / max_exact_flows) * (exact_flow_count / max_exact_flows):
# a part of an even share, scaled by the fraction of the allowed exact flows that exist. So while few exact
# flows exist, light clients get one too.
HEAVY_SHARE = 0.5
SKETCH_ERROR_FACTOR = 2.8  # e, rounded up: estimates are too high by at most this times all work / WIDTH
TENANTS_CHECKED_PER_CALL = 2  # tenants whose flows are checked for idle ones in one call
FLOWS_CHECKED_PER_TENANT = 4  # flows of one tenant that are checked in one call
NAME_KIND_BYTES = 2  # kind and separator at the start of a client's name, before what the client states
SALT_BITS = 128
DEFAULT_WEIGHT = 1.0


class FlowMatch(NamedTuple):
    """The flow for a client's new command, and whether the command is a retry inside a retry window."""

    flow: Flow
    is_timely_retry: bool


class FlowTable:
    """Tenant queues by index, each with its flows; finds the flow of a client and forgets idle flows."""

    def __init__(
        self, settings: AdmissionSettings, retry_scheduler: RetryScheduler, random: Random, now_us: int
    ) -> None:
        self._settings = settings
        self._retry_scheduler = retry_scheduler
        self._random = random
        self.fair_queue: FairQueue[TenantQueue] = FairQueue(MIN_QUANTUM_US)
        self.tenants: OrderedDict[int, TenantQueue] = OrderedDict()  # by index, least recently used first
        self.exact_flow_count = 0
        self.client_weights: dict[bytes, float] = {}  # by name without its kind
        self._tenant_weights: list[float] = [DEFAULT_WEIGHT]
        self._sketch = Sketch(self._draw_salt())
        self._epoch = 0
        self._next_salt_us = now_us + settings.salt_interval_us

    def set_weights(self, tenant_weights: Sequence[float], client_weights: Mapping[str, float]) -> None:
        """Set new weights, also for backlogged flows; work charged under the old weights stays charged.

        tenant_weights: by index; empty: one tenant.
        """
        min_weight = min((weight for weight in tenant_weights if weight > 0), default=DEFAULT_WEIGHT)
        self._tenant_weights = [
            weight / min_weight if weight > 0 else DEFAULT_WEIGHT for weight in tenant_weights
        ] or [DEFAULT_WEIGHT]
        self.client_weights = {name.encode(): weight for name, weight in client_weights.items()}
        for tenant_queue in self.tenants.values():
            self.fair_queue.set_weight(tenant_queue.child, self._tenant_weights[tenant_queue.tenant])
            for flow in tenant_queue.flows.values():
                # Only exact flows have the weight of their client; shared flows keep the default weight.
                if isinstance(flow.key, bytes):
                    tenant_queue.fair_queue.set_weight(flow.child, self._client_weight(flow.key))

    def tenant_queue(self, tenant: int) -> TenantQueue:
        """Return the queue of a tenant; creates it if there is none."""
        tenant_queue = self.tenants.get(tenant)
        if tenant_queue is None:
            weight = self._tenant_weights[tenant]
            tenant_queue = TenantQueue(tenant, weight, self.fair_queue, MIN_QUANTUM_US)
            self.tenants[tenant] = tenant_queue
        else:
            self.tenants.move_to_end(tenant)
        return tenant_queue

    def has(self, tenant_queue: TenantQueue) -> bool:
        """Whether the table still holds this queue: it has not been forgotten."""
        return self.tenants.get(tenant_queue.tenant) is tenant_queue

    def match_flow(
        self, tenant_queue: TenantQueue, client: bytes, work_us: float, now_us: int, is_retry: bool
    ) -> FlowMatch:
        """Return the flow for a client's new command of the given work; creates it if there is none."""
        flow = tenant_queue.flows.get(client)
        if flow is not None:
            tenant_queue.flows.move_to_end(client)  # it has an exact flow: the sketch is not needed
        elif self._qualifies_for_exact_flow(client, work_us) and self._make_room_for_exact_flow():
            flow = tenant_queue.flow(client, self._client_weight(client))
            self.exact_flow_count += 1
        if flow is not None and not is_retry:
            return FlowMatch(flow, is_timely_retry=False)
        shared_keys = self._shared_keys(client)
        if flow is None:
            flow = tenant_queue.flow(shared_keys[0], DEFAULT_WEIGHT)
        is_timely = is_retry and self._use_retry_window(tenant_queue, flow, shared_keys, now_us)
        return FlowMatch(flow, is_timely)

    def replace_salt_if_due(self, now_us: int) -> None:
        """Redistribute the clients over the shared flows after each salt interval."""
        if now_us >= self._next_salt_us:
            self._next_salt_us = now_us + self._settings.salt_interval_us
            self._epoch += 1
            self._sketch.replace_salt(self._draw_salt())

    def forget_idle(self, now_us: int) -> None:
        """Forget idle flows and tenants that are not ahead of their shares; above the limits, all idle ones.

        Each call checks a few of them in rotation, always more than one event can add: so the tables stay
        bounded, and no call takes long.
        """
        for _ in range(min(TENANTS_CHECKED_PER_CALL, len(self.tenants))):
            tenant, tenant_queue = next(iter(self.tenants.items()))
            self.tenants.move_to_end(tenant)
            self._forget_idle_flows(tenant_queue, now_us)
            if not tenant_queue.flows and (
                self.fair_queue.can_be_forgotten(tenant_queue.child)
                or len(self.tenants) > self._settings.max_exact_flows
            ):
                assert tenant_queue.child.state is IDLE
                del self.tenants[tenant]

    def _forget_idle_flows(self, tenant_queue: TenantQueue, now_us: int) -> None:
        for flow in _least_recently_used(tenant_queue):
            self._retry_scheduler.expire(flow.retries, now_us)
            is_over_limit = len(tenant_queue.flows) > self._settings.max_exact_flows
            if _is_idle(flow) and (is_over_limit or tenant_queue.fair_queue.can_be_forgotten(flow.child)):
                self._forget(tenant_queue, flow)
            else:
                tenant_queue.flows.move_to_end(flow.key)

    def _forget(self, tenant_queue: TenantQueue, flow: Flow) -> None:
        if flow.is_exact:
            self.exact_flow_count -= 1
        tenant_queue.forget(flow)

    def _qualifies_for_exact_flow(self, client: bytes, work_us: float) -> bool:
        """Whether a client is heavy or has a configured weight; counts the new work in the sketch."""
        total_work = self._sketch.total_work()
        known_work = self._sketch.add(client, work_us)
        max_flows = self._settings.max_exact_flows
        heavy_share = max(SKETCH_ERROR_FACTOR / WIDTH, HEAVY_SHARE * self.exact_flow_count / max_flows**2)
        return known_work > total_work * heavy_share or client[NAME_KIND_BYTES:] in self.client_weights

    def _make_room_for_exact_flow(self) -> bool:
        """Whether one more exact flow fits; at the limit, an idle one is forgotten to make room."""
        if self.exact_flow_count < self._settings.max_exact_flows:
            return True
        for tenant_queue, flow in self._least_recently_used_flows():
            if flow.is_exact and _is_idle(flow):
                self._forget(tenant_queue, flow)
                return True
        return False

    def _least_recently_used_flows(self) -> Iterator[tuple[TenantQueue, Flow]]:
        for tenant_queue in islice(self.tenants.values(), TENANTS_CHECKED_PER_CALL):
            for flow in _least_recently_used(tenant_queue):
                yield tenant_queue, flow

    def _use_retry_window(
        self, tenant_queue: TenantQueue, flow: Flow, shared_keys: Sequence[SharedFlowKey], now_us: int
    ) -> bool:
        """Whether a client that retries now is inside a retry window, which is then used up.

        The window belongs to the flow that the client was in when it was rejected: its present flow, or a
        shared one under the present or the previous salt.
        """
        candidates: list[FlowRetries] = [flow.retries]
        for key in shared_keys:
            shared_flow = tenant_queue.flows.get(key)
            if shared_flow is not None:
                candidates.append(shared_flow.retries)
        return any(self._retry_scheduler.use_window(retries, now_us) for retries in candidates)

    def _shared_keys(self, client: bytes) -> tuple[SharedFlowKey, SharedFlowKey]:
        """Return the keys of a client's shared flow under the present and the previous salt."""
        sketch = self._sketch
        return (
            SharedFlowKey(self._epoch, self._bucket(client, sketch.salt)),
            SharedFlowKey(self._epoch - 1, self._bucket(client, sketch.previous_salt)),
        )

    def _bucket(self, client: bytes, salt: bytes) -> int:
        return self._sketch.counter_indexes(client, salt)[0] % self._settings.shared_flows

    def _client_weight(self, client: bytes) -> float:
        return self.client_weights.get(client[NAME_KIND_BYTES:], DEFAULT_WEIGHT)

    def _draw_salt(self) -> bytes:
        return self._random.getrandbits(SALT_BITS).to_bytes(SALT_BITS // 8, "little")


def _least_recently_used(tenant_queue: TenantQueue) -> list[Flow]:
    return list(islice(tenant_queue.flows.values(), FLOWS_CHECKED_PER_TENANT))


def _is_idle(flow: Flow) -> bool:
    """Whether a flow has no queued or blocked commands and no retry windows."""
    return not flow.blocked_count and flow.child.state is IDLE and not flow.retries.windows
