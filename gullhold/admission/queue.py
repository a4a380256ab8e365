"""The admission queue: decides which commands wait, are forwarded to the decision module, or are rejected.

It does no I/O and is not thread-safe; each call states the time in whole microseconds. Results are Forward,
which passes a command on to the decision module, and Reject, its final answer: it is shed, and a retry by the
client does no harm, as no attempt of it was ever sent.

The queue rejects a command only if the queue is full, or the command would wait too long or has waited too
long. The decision module decides what it queues, sends, retries or sheds itself.
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
    from gullhold.operator.records import AdmissionQueueRecord

EXPIRY_MARGIN_US = 40_000  # time for two calls of expire() and the reply before the client timeout
MAX_FREE_SHARE_PER_CLIENT = 0.5  # share of the free capacity that a flow may use for each of its clients
MIN_QUEUED_PER_FLOW = 4  # commands that a flow may queue at least, while the queue is not full
STALE_EXPIRIES_ALLOWED = 1024  # stale heap rows that are kept without a rebuild of the heap
REJECTIONS_PER_EXACT_FLOW = 2  # the limit of known rejections is this times max_exact_flows


class ProfileKey(NamedTuple):
    """Commands of one profile with this ordering key are forwarded in order of arrival."""

    profile: int
    ordering_key: int


class ExpiryRow(NamedTuple):
    """Row of the heap of expiries; `order` is unique, so commands are never compared."""

    expires_at_us: int
    order: int
    command: QueuedCommand


class AdmissionQueue:
    """Fair queues of commands in front of one decision module.

    record: the queue's record in the operator file; tenant_weights: shares of the agreement's tenants by
    index (empty: one tenant); profiles: those of the agreement, by index; max_retry_after_us: the longest
    Retry-After time that the agreement allows (0: not stated).
    """

    def __init__(
        self,
        seed: int,
        record: "AdmissionQueueRecord",
        tenant_weights: Sequence[float],
        profiles: Sequence[Profile],
        max_retry_after_us: int,
        now_us: int,
    ) -> None:
        self.settings = AdmissionSettings.from_record(record, max_retry_after_us)
        self.commands: dict[int, QueuedCommand] = {}  # by number, until they end
        self.commands_by_key: dict[ProfileKey, deque[QueuedCommand]] = {}
        self.queued_count = 0  # queued and blocked commands
        self.queued_bytes = 0
        self.forwarded_count = 0  # commands with the decision module that have no open attempt
        self.forwarded_by_tenant_profile: dict[tuple[int, int], int] = {}  # by TenantProfile
        self._profiles = profiles
        self._expiries: list[ExpiryRow] = []  # a heap
        self._last_order = 0
        self._now_us = now_us  # time that the latest call stated
        random = Random(seed)
        self.retry_scheduler = RetryScheduler(self.settings.retry_after, random.random)
        self.flow_table = FlowTable(self.settings, self.retry_scheduler, random, now_us)
        self.rejections = RejectionTable(REJECTIONS_PER_EXACT_FLOW * self.settings.max_exact_flows)
        self._accounting = WorkAccounting(self.flow_table)
        self.set_weights(tenant_weights, self.settings.client_weights)

    @property
    def known_rejections(self) -> KnownRejections:
        """Clients whose new commands are rejected for the next milliseconds. Any thread may read it."""
        return self.rejections.entries

    @property
    def client_weights(self) -> Mapping[bytes, float]:
        """Weights of clients by name without its kind, from the last call of set_weights()."""
        return self.flow_table.client_weights

    # Calls for events

    def submit(
        self,
        now_us: int,
        number: int,
        tenant: int,
        client: bytes,
        profile: int,
        ordering_key: int,
        work_us: int,
        size_bytes: int,
        timeout_at_us: int,
        is_retry: bool,
    ) -> list[Reject]:
        """Queue or reject a new command.

        tenant, profile: indexes in the agreement; client: ClientIdentifier.client_name(); ordering_key: 0:
        none; work_us: the client's estimate, 0: not stated; size_bytes: memory that it takes while queued;
        is_retry: the client has sent it before.
        """
        self._now_us = now_us
        self.flow_table.replace_salt_if_due(now_us)
        self._last_order += 1
        estimate_us = self._accounting.estimate_us(work_us)
        tenant_queue = self.flow_table.tenant_queue(tenant)
        flow, is_timely_retry = self.flow_table.match_flow(
            tenant_queue, client, estimate_us, now_us, is_retry
        )
        command = QueuedCommand(
            number=number,
            order=self._last_order,
            client=client,
            profile=profile,
            ordering_key=ordering_key if self._profiles[profile].ordered else 0,
            size_bytes=size_bytes,
            expires_at_us=timeout_at_us - EXPIRY_MARGIN_US,
            tenant_queue=tenant_queue,
            flow=flow,
            work_us=estimate_us * flow.estimate_bias,
        )
        wait_us = expected_wait_us(command, now_us)
        late_us = 0
        if not is_timely_retry:
            late_us = lateness_us(command, wait_us, self._profiles[profile], self.settings, now_us)
        if now_us >= command.expires_at_us or late_us or self._is_full(flow, size_bytes):
            return [self._reject_new(command, wait_us, late_us, is_retry)]
        self._accept(command, is_timely_retry)
        return []

    def take_ready(self, now_us: int) -> list[Forward]:
        """Forward the commands that the decision module has room for. Must be called after every event."""
        self._now_us = now_us
        decisions = []
        tenants = self.flow_table.fair_queue
        while self.forwarded_count < self.settings.max_forwarded and (child := tenants.pick()) is not None:
            command = child.owner.next_command(self._can_forward)
            if command is None:
                tenants.park(child)
                continue
            self._accounting.charge(command, command.work_us)
            self._change_state(command, FORWARDED)
            decisions.append(Forward(command.number))
            self._forwarded_count_changed(command.tenant_profile)
        return decisions

    def attempt_sent(self, number: int) -> None:
        """Record that the decision module started an attempt of a command."""
        command = self.commands.get(number)
        if command is not None and command.state is FORWARDED:
            self._change_state(command, RUNNING)

    def attempt_ended(self, now_us: int, number: int, cost_us: int, may_have_run: bool) -> None:
        """Record that an attempt ended, after which the decision module may queue the command again.

        cost_us: work that the answer stated, 0: not stated; may_have_run: an engine may have run the attempt.
        """
        self._now_us = now_us
        command = self.commands.get(number)
        if command is not None and command.state is RUNNING:
            command.cost_us += cost_us
            command.may_have_run = command.may_have_run or may_have_run
            self._change_state(command, FORWARDED)

    def command_ended(self, now_us: int, number: int) -> None:
        """Remove an answered or withdrawn command without an open attempt, and correct its charged work."""
        self._now_us = now_us
        command = self.commands.get(number)
        if command is None:
            return
        was_forwarded = not command.is_waiting
        self._change_state(command, ENDED)
        if was_forwarded:
            self._accounting.settle(command)
        self.flow_table.forget_idle(now_us)

    def is_queued(self, number: int) -> bool:
        """Whether a command is blocked or queued, unknown to the decision module."""
        command = self.commands.get(number)
        return command is not None and command.is_waiting

    def expire(self, now_us: int) -> list[Reject]:
        """Reject commands that still wait shortly before their timeouts. Must be called periodically."""
        self._now_us = now_us
        decisions = []
        while self._expiries and self._expiries[0].expires_at_us <= now_us:
            command = heappop(self._expiries).command
            if command.is_waiting:
                retry_after_us = self._retry_after_us(command, expected_wait_us(command, now_us), now_us)
                self._change_state(command, ENDED)
                decisions.append(Reject(command.number, retry_after_us))
        self.flow_table.replace_salt_if_due(now_us)
        self.flow_table.forget_idle(now_us)
        return decisions

    def reject_batch(self, now_us: int, max_count: int) -> list[Reject]:
        """Reject up to max_count waiting commands, without a Retry-After time since the gateway shuts down.

        Returns an empty list once no command waits.
        """
        self._now_us = now_us
        waiting = (command for command in self.commands.values() if command.is_waiting)
        rejected = list(islice(waiting, max_count))
        for command in rejected:
            self._change_state(command, ENDED)
        return [Reject(command.number, 0) for command in rejected]

    def retry_after_us(self, now_us: int, number: int) -> int:
        """Return the Retry-After time (us) of a command that the decision module shed; 0: none."""
        command = self.commands.get(number)
        if command is None:
            return 0
        return self._retry_after_us(command, expected_wait_us(command, now_us), now_us)

    def set_weights(self, tenant_weights: Sequence[float], client_weights: Mapping[str, float]) -> None:
        """Set new weights, also for backlogged flows; work charged under the old weights stays charged."""
        self.flow_table.set_weights(tenant_weights, client_weights)

    # State

    def _accept(self, command: QueuedCommand, goes_first: bool) -> None:
        self.commands[command.number] = command
        self.queued_count += 1
        self.queued_bytes += command.size_bytes
        self._remember_expiry(command)
        command.flow.blocked_count += 1
        if command.ordering_key:
            same_key_commands = self.commands_by_key.setdefault(
                ProfileKey(command.profile, command.ordering_key), deque()
            )
            same_key_commands.append(command)
            if same_key_commands[0] is not command:
                return
        self._enqueue(command, goes_first)

    def _change_state(self, command: QueuedCommand, new_state: CommandState) -> None:
        """Change a command's state, the counts that depend on it, and its place in the queues."""
        old_state = command.state
        assert new_state in NEXT_STATES[old_state], (
            f"command {command.number} can't change from {old_state.name} to {new_state.name}"
        )
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
            self.queued_bytes -= command.size_bytes
            if command.ordering_key:
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
        self._change_state(command, QUEUED)
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
        """Queue the next command of an ordering key when the earlier one no longer waits."""
        profile_key = ProfileKey(command.profile, command.ordering_key)
        same_key_commands = self.commands_by_key[profile_key]
        same_key_commands.remove(command)
        if not same_key_commands:
            del self.commands_by_key[profile_key]
        elif same_key_commands[0].state is BLOCKED:
            # It has waited already, so that it goes before later arrivals.
            self._enqueue(same_key_commands[0], goes_first=True)

    def _count_forwarded(self, tenant_profile: TenantProfile, change: int) -> None:
        self.forwarded_count += change
        count = self.forwarded_by_tenant_profile.get(tenant_profile, 0) + change
        if count:
            self.forwarded_by_tenant_profile[tenant_profile] = count
        else:
            del self.forwarded_by_tenant_profile[tenant_profile]

    def _can_forward(self, tenant: int, profile: int) -> bool:
        """Whether one more command of a tenant and profile may be forwarded."""
        return (
            self.forwarded_by_tenant_profile.get((tenant, profile), 0)
            < self.settings.max_forwarded_per_tenant_profile
        )

    def _forwarded_count_changed(self, tenant_profile: TenantProfile) -> None:
        """Unpark the flow that is next for a tenant and profile, if their commands may be forwarded now."""
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
        heappush(self._expiries, ExpiryRow(command.expires_at_us, command.order, command))
        # Rows of forwarded or ended commands are removed, so that the heap stays bounded.
        if len(self._expiries) > 2 * self.queued_count + STALE_EXPIRIES_ALLOWED:
            self._expiries = [row for row in self._expiries if row.command.is_waiting]
            heapify(self._expiries)

    # Rejections

    def _is_full(self, flow: Flow, size_bytes: int) -> bool:
        """Whether the queue is full, or the flow already uses its share of the free capacity."""
        free_capacity = self.settings.max_queued - self.queued_count
        if free_capacity <= 0 or self.queued_bytes + size_bytes > self.settings.max_queued_bytes:
            return True
        client_count = len(flow.client_counts) if flow.client_counts else 1
        return flow.queued_count >= max(
            MIN_QUEUED_PER_FLOW, MAX_FREE_SHARE_PER_CLIENT * free_capacity * client_count
        )

    def _reject_new(self, command: QueuedCommand, wait_us: float, late_us: int, is_retry: bool) -> Reject:
        retry_after_us = self._retry_after_us(command, wait_us, self._now_us, is_retry)
        if late_us and not retry_after_us:
            self.rejections.record(command, self._now_us, late_us)
        return Reject(command.number, retry_after_us)

    def _retry_after_us(
        self, command: QueuedCommand, wait_us: float, now_us: int, is_retry: bool = False
    ) -> int:
        """Return the Retry-After time (us), from the backlog and the drain rate; 0: none can be given."""
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
