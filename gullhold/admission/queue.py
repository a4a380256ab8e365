"""The admission queue: which commands wait, are forwarded to the decision module, or are rejected.

Free of I/O and of sockets; one owner calls it, each call with the time in whole microseconds. Results are
Forward, to pass the command on to the decision module, and Reject, its final answer: a shed, which is always
true here since the command never went out.

What is rejected here is for a limit of the queue's own: it is full, or the command's time is up. What the
decision module queues, sends, retries or sheds stays its own decision.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from heapq import heapify, heappop, heappush
from itertools import islice
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from gullhold.admission.fair_queue import IDLE
from gullhold.admission.flow import Flow
from gullhold.admission.flow_table import FlowTable
from gullhold.admission.queued_command import (
    BLOCKED,
    ENDED,
    FORWARDED,
    NEXT_STATES,
    QUEUED,
    RUNNING,
    CommandState,
    QueuedCommand,
    TenantProfile,
)
from gullhold.admission.rejection_table import RejectionTable
from gullhold.admission.retry_after import RetryScheduler
from gullhold.admission.settings import AdmissionSettings
from gullhold.admission.tenant_queue import TenantQueue
from gullhold.admission.wait_estimate import expected_wait_us, lateness_us, service_rate
from gullhold.admission.work_accounting import WorkAccounting
from gullhold.admission_interface import Forward, KnownRejections, Reject
from gullhold.interface import Profile

if TYPE_CHECKING:
    from gullhold.operator.records import DoorRecord

EXPIRY_MARGIN_US = 40_000  # before the client timeout: two polls and the time of a crossing message
FREE_PART_OF_FLOW = 0.5  # part of the free places that one flow may take
MIN_PLACES_OF_FLOW = 4  # commands that a flow may always queue while any place is free
STALE_EXPIRIES_ALLOWED = 1024  # rows; fewer stale ones are not cleaned up
REJECTIONS_PER_EXACT_FLOW = 2


class KeyLine(NamedTuple):
    """The commands of a profile that must run one after the other."""

    profile: int
    key: int


class ExpiryRow(NamedTuple):
    """When a command is answered at the latest; orders of arrival are unique."""

    expires_us: int
    order: int
    command: QueuedCommand


class AdmissionQueue:
    """Fair queues in front of one decision module.

    record: of the operator file; tenant_weights: shares of the agreement's tenants by index (empty: one
    tenant); profiles: the agreement's; max_retry_after_us: the longest Retry-After time that the agreement
    allows (0: not stated).
    """

    def __init__(
        self,
        seed: int,
        record: "DoorRecord",
        tenant_weights: Sequence[float],
        profiles: Sequence[Profile],
        max_retry_after_us: int,
        now_us: int,
    ) -> None:
        self.settings = AdmissionSettings.from_record(record, max_retry_after_us)
        self.commands: dict[int, QueuedCommand] = {}  # by number, until they end
        self.commands_by_key: dict[KeyLine, deque[QueuedCommand]] = {}
        self.queued_count = 0  # with those that are blocked
        self.queued_bytes = 0
        self.forwarded_count = 0
        self.forwarded_by_tenant_profile: dict[tuple[int, int], int] = {}  # by TenantProfile
        self._profiles = profiles
        self._expiries: list[ExpiryRow] = []  # a heap
        self._last_order = 0
        self._now_us = now_us
        random = Random(seed)
        self.retry_scheduler = RetryScheduler(self.settings.retry_after, random.random)
        self.flow_table = FlowTable(self.settings, self.retry_scheduler, random, now_us)
        self.rejections = RejectionTable(REJECTIONS_PER_EXACT_FLOW * self.settings.max_exact_flows)
        self._work = WorkAccounting(self.flow_table)
        self.set_weights(tenant_weights, self.settings.client_weights)

    @property
    def known_rejections(self) -> KnownRejections:
        """Flows whose new commands are rejected for a moment. May be read from any thread."""
        return self.rejections.entries

    @property
    def client_weights(self) -> Mapping[bytes, float]:
        """Weights of clients by name, as the last set_weights() set them."""
        return self.flow_table.client_weights

    # Events

    def submit(
        self,
        now_us: int,
        number: int,
        tenant: int,
        client: bytes,
        profile: int,
        key: int,
        work_us: int,
        size: int,
        timeout_at_us: int,
        is_retry: bool,
    ) -> list[Reject]:
        """Queue or reject a new command.

        tenant: index; client: name of its flow; key: ordering key, 0: none; work_us: 0: not stated; size:
        bytes that it takes while queued.
        """
        self._now_us = now_us
        self.flow_table.replace_salt_if_due(now_us)
        self._last_order += 1
        estimate_us = self._work.estimate_us(work_us)
        tenant_queue = self.flow_table.tenant_queue(tenant)
        flow, is_timely_retry = self.flow_table.match_flow(
            tenant_queue, client, estimate_us, now_us, is_retry
        )
        command = QueuedCommand(
            number=number,
            order=self._last_order,
            client=client,
            profile=profile,
            key=key if self._profiles[profile].ordered else 0,
            size=size,
            expires_us=timeout_at_us - EXPIRY_MARGIN_US,
            tenant_queue=tenant_queue,
            flow=flow,
            work_us=estimate_us * flow.estimate_bias,
        )
        wait_us = expected_wait_us(command, now_us)
        late_us = 0
        if not is_timely_retry:
            late_us = lateness_us(command, wait_us, self._profiles[profile], self.settings, now_us)
        if now_us >= command.expires_us or late_us or self._is_full(flow, size):
            return [self._reject_new(command, wait_us, late_us, is_retry)]
        self._accept(command, is_timely_retry)
        return []

    def take_ready(self, now_us: int) -> list[Forward]:
        """Return what the decision module has room for now. Must be called after every event."""
        self._now_us = now_us
        decisions = []
        tenants = self.flow_table.fair_queue
        while self.forwarded_count < self.settings.max_forwarded and (child := tenants.pick()) is not None:
            command = child.owner.next_command(self._can_forward)
            if command is None:
                tenants.park(child)
                continue
            self._work.charge(command, command.work_us)
            self._move(command, FORWARDED)
            decisions.append(Forward(command.number))
            self._forwarded_count_changed(command.tenant_profile)
        return decisions

    def attempt_sent(self, number: int) -> None:
        """Note that the decision module started an attempt of a command."""
        command = self.commands.get(number)
        if command is not None and command.state is FORWARDED:
            self._move(command, RUNNING)

    def attempt_ended(self, now_us: int, number: int, cost_us: int, may_have_run: bool) -> None:
        """Note that an attempt ended; the command may be queued there again. cost_us: 0: not stated."""
        self._now_us = now_us
        command = self.commands.get(number)
        if command is not None and command.state is RUNNING:
            command.cost_us += cost_us
            command.may_have_run = command.may_have_run or may_have_run
            self._move(command, FORWARDED)

    def command_ended(self, now_us: int, number: int) -> None:
        """Forget a command that is answered and has no open attempt; correct what it was charged."""
        self._now_us = now_us
        command = self.commands.get(number)
        if command is None:
            return
        was_forwarded = not command.is_waiting
        self._move(command, ENDED)
        if was_forwarded:
            self._work.settle(command)
        self.flow_table.forget_idle(now_us)

    def is_queued(self, number: int) -> bool:
        """Whether a command still waits here, unknown to the decision module."""
        command = self.commands.get(number)
        return command is not None and command.is_waiting

    def expire(self, now_us: int) -> list[Reject]:
        """Reject what still waits shortly before its client timeout. Must be called periodically."""
        self._now_us = now_us
        decisions = []
        while self._expiries and self._expiries[0].expires_us <= now_us:
            command = heappop(self._expiries).command
            if command.is_waiting:
                retry_after_us = self._retry_after_us(command, expected_wait_us(command, now_us), now_us)
                self._move(command, ENDED)
                decisions.append(Reject(command.number, retry_after_us))
        self.flow_table.replace_salt_if_due(now_us)
        self.flow_table.forget_idle(now_us)
        return decisions

    def reject_batch(self, now_us: int, max_count: int) -> list[Reject]:
        """Reject up to max_count waiting commands without a Retry-After time, at shutdown."""
        self._now_us = now_us
        waiting = (command for command in self.commands.values() if command.is_waiting)
        rejected = list(islice(waiting, max_count))
        for command in rejected:
            self._move(command, ENDED)
        return [Reject(command.number, 0) for command in rejected]

    def retry_after_us(self, now_us: int, number: int) -> int:
        """Return the Retry-After time for a command that the decision module shed; 0: none can be given."""
        command = self.commands.get(number)
        if command is None:
            return 0
        return self._retry_after_us(command, expected_wait_us(command, now_us), now_us)

    def set_weights(self, tenant_weights: Sequence[float], client_weights: Mapping[str, float]) -> None:
        """Set new weights, also for flows that are backlogged; what was used stays used."""
        self.flow_table.set_weights(tenant_weights, client_weights)

    # State

    def _accept(self, command: QueuedCommand, goes_first: bool) -> None:
        self.commands[command.number] = command
        self.queued_count += 1
        self.queued_bytes += command.size
        self._remember_expiry(command)
        command.flow.blocked_count += 1
        if command.key:
            line = self.commands_by_key.setdefault(KeyLine(command.profile, command.key), deque())
            line.append(command)
            if line[0] is not command:
                return
        self._enqueue(command, goes_first)

    def _move(self, command: QueuedCommand, new_state: CommandState) -> None:
        """Change a command's state, and the counts that depend on it."""
        old_state = command.state
        assert new_state in NEXT_STATES[old_state], f"command {command.number}: {old_state} to {new_state}"
        was_waiting = command.is_waiting
        command.state = new_state
        if old_state is BLOCKED:
            command.flow.blocked_count -= 1
        if new_state is QUEUED:
            return
        if old_state is QUEUED:
            self._dequeue(command, is_forwarded=new_state is FORWARDED)
        if was_waiting:
            self.queued_count -= 1
            self.queued_bytes -= command.size
            if command.key:
                self._unblock_next(command)
        tenant_profile = command.tenant_profile
        if new_state is FORWARDED:
            self._count_forwarded(tenant_profile, 1)
        elif old_state is FORWARDED:
            self._count_forwarded(tenant_profile, -1)
            self._forwarded_count_changed(tenant_profile)
        if new_state is ENDED:
            del self.commands[command.number]

    def _enqueue(self, command: QueuedCommand, goes_first: bool) -> None:
        self._move(command, QUEUED)
        tenant_queue = command.tenant_queue
        can_forward = self._can_forward(tenant_queue.tenant, command.profile)
        tenant_queue.add(self._now_us, command, goes_first, can_forward)
        tenants = self.flow_table.fair_queue
        if tenant_queue.child.state is IDLE:
            tenants.join(tenant_queue.child)
        else:
            self._unpark_tenant(tenant_queue)

    def _dequeue(self, command: QueuedCommand, is_forwarded: bool) -> None:
        tenant_queue = command.tenant_queue
        tenant_queue.remove(self._now_us, command, is_forwarded)
        if not tenant_queue.queued_count:
            self.flow_table.fair_queue.leave(tenant_queue.child)

    def _unblock_next(self, command: QueuedCommand) -> None:
        """Queue the next command of an ordering key, once the earlier one waits no more."""
        key_line = KeyLine(command.profile, command.key)
        line = self.commands_by_key[key_line]
        line.remove(command)
        if not line:
            del self.commands_by_key[key_line]
        elif line[0].state is BLOCKED:
            self._enqueue(line[0], goes_first=True)  # it has waited, and goes before later arrivals

    def _count_forwarded(self, tenant_profile: TenantProfile, change: int) -> None:
        self.forwarded_count += change
        count = self.forwarded_by_tenant_profile.get(tenant_profile, 0) + change
        if count:
            self.forwarded_by_tenant_profile[tenant_profile] = count
        else:
            del self.forwarded_by_tenant_profile[tenant_profile]

    def _can_forward(self, tenant: int, profile: int) -> bool:
        """Whether the decision module has room for more of this tenant's profile."""
        return (
            self.forwarded_by_tenant_profile.get((tenant, profile), 0)
            < self.settings.max_forwarded_per_tenant_profile
        )

    def _forwarded_count_changed(self, tenant_profile: TenantProfile) -> None:
        """Let the parked flow whose turn it is be picked again, if such commands may be forwarded now."""
        if not self._can_forward(*tenant_profile):
            return
        tenant_queue = self.flow_table.tenants.get(tenant_profile.tenant)
        if tenant_queue is not None and tenant_queue.queued_count:
            tenant_queue.unpark_first(tenant_profile.profile)
            self._unpark_tenant(tenant_queue)

    def _unpark_tenant(self, tenant_queue: TenantQueue) -> None:
        if tenant_queue.fair_queue.ready_count:
            self.flow_table.fair_queue.unpark(tenant_queue.child)

    def _remember_expiry(self, command: QueuedCommand) -> None:
        heappush(self._expiries, ExpiryRow(command.expires_us, command.order, command))
        # Guards against a heap full of commands that were forwarded long ago.
        if len(self._expiries) > 2 * self.queued_count + STALE_EXPIRIES_ALLOWED:
            self._expiries = [row for row in self._expiries if row.command.is_waiting]
            heapify(self._expiries)

    # Rejections

    def _is_full(self, flow: Flow, size: int) -> bool:
        """Whether the queue is full, or the flow has its part of the free places."""
        free_places = self.settings.max_queued - self.queued_count
        if free_places <= 0 or self.queued_bytes + size > self.settings.max_queued_bytes:
            return True
        client_count = len(flow.client_counts) if flow.client_counts else 1
        return flow.queued_count >= max(MIN_PLACES_OF_FLOW, FREE_PART_OF_FLOW * free_places * client_count)

    def _reject_new(self, command: QueuedCommand, wait_us: float, late_us: int, is_retry: bool) -> Reject:
        retry_after_us = self._retry_after_us(command, wait_us, self._now_us, is_retry)
        if late_us and not retry_after_us:
            self.rejections.record(command, self._now_us, late_us)
        return Reject(command.number, retry_after_us)

    def _retry_after_us(
        self, command: QueuedCommand, wait_us: float, now_us: int, is_retry: bool = False
    ) -> int:
        """Return the Retry-After time by the backlog and the drain rate; 0: none can be given."""
        if not self.settings.retry_after.is_offered:
            return 0
        rate = service_rate(command, now_us)
        retries = command.flow.retries
        if is_retry and retries.windows:
            return self.retry_scheduler.repeat(retries, now_us)
        if not rate:
            return 0
        gap_us = command.work_us / (rate * self.settings.retry_after.reserved_share)
        return self.retry_scheduler.schedule(retries, now_us, wait_us, gap_us)
