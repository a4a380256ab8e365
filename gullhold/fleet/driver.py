"""A member of a fleet: one thread that decides, and others that call the store and wait for its replies.

The core's thread, which serves clients, never waits for any of them: scheduled commands and changes of
budgets and policies are posted to it, and their results come back as events on the queue of the fleet's
thread. A store that does not answer causes retries here and does not affect the core.
"""

import random
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue
from threading import Event
from typing import TYPE_CHECKING, Any

from gullhold.budgets.allocator_role import ROLE as ALLOCATOR_ROLE
from gullhold.budgets.budget_rules import BudgetRuleError
from gullhold.budgets.member_budgets import LANES as BUDGET_LANES
from gullhold.budgets.member_budgets import MemberBudgets
from gullhold.fleet import assembly, events
from gullhold.fleet.assembly import UnusableFleetError
from gullhold.fleet.backoff import Backoff
from gullhold.fleet.clocks import US_PER_SECOND, monotonic_us
from gullhold.fleet.event_log import AvailabilityLog, EventLog
from gullhold.fleet.heartbeats import Heartbeats
from gullhold.fleet.lane import Lane
from gullhold.fleet.membership import Membership
from gullhold.fleet.membership_types import (
    CallLane,
    CallStore,
    LogStateChange,
    MembershipAction,
    MemberState,
    RoleLost,
    RoleWon,
    WatchMembers,
    lane_of,
)
from gullhold.fleet.role_driver import RoleDriver
from gullhold.fleet.role_state import RoleState
from gullhold.fleet.scheduled_command_client import ScheduledCommandClient
from gullhold.fleet.scheduled_command_driver import ScheduledCommandDriver
from gullhold.fleet.store_calls import OnChange, PendingCall, Reply
from gullhold.fleet.store_client import StoreClient
from gullhold.fleet.store_schema import (
    HEARTBEAT_ROLE_PREFIX,
    MEMBERS_PREFIX,
    SCHEDULED_COMMAND_ROLE_PREFIX,
    fleet_prefix,
)
from gullhold.fleet.watcher import Watcher
from gullhold.net.request_reader import RequestReader
from gullhold.net.startup import start_thread
from gullhold.rollout.rollout_driver import LANES as ROLLOUT_LANES
from gullhold.rollout.rollout_driver import RolloutDriver
from gullhold.rollout.store_schema import ROLE as ROLLOUT_ROLE

if TYPE_CHECKING:
    from gullhold.net.configuration import Configuration
    from gullhold.net.core import Core
    from gullhold.operator.records import FleetRecord

__all__ = ["FleetMember", "UnusableFleetError"]

WORK_LANE = "work"  # lane for calls for the keys of heartbeats and scheduled commands
MAX_SLEEP_S = 0.5  # longest wait of the fleet's thread, so that it notices a jump of the Unix clock
MIN_SLEEP_S = 0.002  # shortest wait of the fleet's thread, so that due but blocked work causes no busy loop
WATCH_SILENCE_LEASES = 2  # a watch that is silent for this many times a lease's time to live is reopened
NONCE_BITS = 64


class FleetMember:
    """A member of a fleet, from start() until it has left; then `stopped` is set."""

    def __init__(self, record: "FleetRecord", configuration: "Configuration", core: "Core") -> None:
        """record: the fleet's part of the operator file.

        Raises UnusableFleetError if it does not fit the agreement.
        """
        agreement = configuration.agreement
        self.record = record
        self.core = core
        self.name = configuration.name or configuration.listen_address
        self.queue: SimpleQueue[events.Event] = SimpleQueue()  # calls that the fleet's thread is to make
        self.stopped = Event()
        self.lanes: dict[str, Lane] = {}
        self.role_states: dict[str, RoleState] = {}
        self.watchers: dict[str, Watcher] = {}  # watchers of the keys of role states, by role
        self.scheduled_commands = assembly.scheduled_commands(record, agreement, self.name)
        # The seed differs at each start, so that the nonce distinguishes processes of the same name.
        self._random = random.Random(configuration.seed ^ time.time_ns())
        self._event_log = EventLog(record.name, self.name)
        self._availability_log = AvailabilityLog(self._event_log)
        rules = assembly.membership_rules(record)
        nonce = f"{self._random.getrandbits(NONCE_BITS):016x}"
        self.membership = Membership(
            self.name, nonce, rules, self._roles(), self._random.random, monotonic_us()
        )
        self._heartbeats = Heartbeats(
            self.membership, lambda: self.work_lane, record.duties.beat, self.log_if_refused
        )
        self._role_driver = RoleDriver(self)
        client = ScheduledCommandClient(
            core, RequestReader(agreement), self._post_attempt_ended, self._random.getrandbits
        )
        records = {SCHEDULED_COMMAND_ROLE_PREFIX + item.name: item for item in record.schedule}
        self._scheduled_command_driver = ScheduledCommandDriver(self, records, client)
        self.budgets = None
        if record.budgets:
            try:
                self.budgets = MemberBudgets(self, record, agreement, monotonic_us)
            except BudgetRuleError as error:
                raise UnusableFleetError(str(error)) from None
        self.policies = None
        if record.policy.on:
            self.policies = RolloutDriver(
                self, record, agreement, monotonic_us, rules.lease_terms.guaranteed_us()
            )
        # The budgets and policies, if the operator file turns them on; each has start(), step() and due().
        self._features = [feature for feature in (self.budgets, self.policies) if feature]

    def _roles(self) -> list[str]:
        """The roles of the fleet, in the order in which they are assigned."""
        roles = list(self.scheduled_commands)
        roles += [f"{HEARTBEAT_ROLE_PREFIX}{number}" for number in range(self.record.duties.beats)]
        if self.record.budgets:
            roles.append(ALLOCATOR_ROLE)
        if self.record.policy.on:
            roles.append(ROLLOUT_ROLE)
        return roles

    # Called on any thread

    def start(self) -> None:
        """Start the lanes, the watchers and the fleet's thread."""
        if self.record.events:
            self._event_log.add_file(self.record.events)
        names = [*CallLane, WORK_LANE]
        if self.budgets:
            names += BUDGET_LANES
        if self.policies:
            names += ROLLOUT_LANES
        self.lanes = {name: Lane(name, self._new_session, self.post) for name in names}
        self._members_watcher = self.watch("members", MEMBERS_PREFIX, self._member_changed, self._watch_gap)
        for feature in self._features:
            feature.start(self.watch)
        start_thread(self._run, "fleet")

    def leave(self) -> None:
        """Shut down gracefully: give up all roles and the lease; `stopped` is set when that is done."""
        self.post(self._leave)

    def post(self, call: Callable[..., Any], *arguments: Any) -> None:
        """Have the fleet's thread make a call."""
        self.queue.put(events.Invoke(call, arguments))

    def _new_session(self) -> StoreClient:
        """Create a session with the store, for one thread."""
        prefix = fleet_prefix(self.record.name)
        return StoreClient(self.record.register_, prefix, self.record.timeout / US_PER_SECOND)

    def watch(self, name: str, prefix: str, on_change: OnChange, on_gap: Callable[[], Any]) -> Watcher:
        """Create a watcher of the keys with this prefix; Watcher.watch_from() starts it.

        name: part of its thread's name. On the fleet's thread, on_change(key, value or None if it was
        deleted, revision) is called for each change, and on_gap() if changes were missed.
        """
        pauses = self.record.duties.pauses
        return Watcher(
            name,
            self._new_session,
            prefix,
            WATCH_SILENCE_LEASES * self.record.lease / US_PER_SECOND,
            Backoff(pauses.least, pauses.most, self._random.random),
            lambda *change: self.post(on_change, *change),
            lambda: self.post(on_gap),
        )

    def watch_role(self, role: str, name: str, prefix: str) -> None:
        """Create the watcher that passes changes of a role's keys to its role state. name: as in watch()."""
        self.watchers[role] = self.watch(
            name,
            prefix,
            lambda *change: self._role_driver.changed(role, *change),
            lambda: self._role_driver.watch_gap(role),
        )

    def log_event(self, level: str, text: str, **facts: Any) -> None:
        """Write a log line. facts: its fields."""
        self._event_log.log(level, text, **facts)

    def log_if_refused(self, role: str, token: int, reply: Reply) -> None:
        """Write a log line if a reply shows that a write was refused, as its fencing token is outdated."""
        self._event_log.log_if_refused(role, token, reply)

    @property
    def work_lane(self) -> Lane:
        """The lane for the keys of heartbeats and scheduled commands."""
        return self.lanes[WORK_LANE]

    # On the fleet's thread

    def _run(self) -> None:
        """Handle events and do what is due until the member has left."""
        self.membership.tick(monotonic_us())
        while self.membership.state != MemberState.LEFT:
            self._guarded(self._carry_out_all)
            try:
                event = self.queue.get(timeout=self._sleep_s())
                self._guarded(event)
            except Empty:
                pass
            self._guarded(self.membership.tick, monotonic_us())
            for role in self.scheduled_commands:
                self._guarded(self._scheduled_command_driver.step, role)
            self._guarded(self._heartbeats.step, monotonic_us())
            for feature in self._features:
                self._guarded(feature.step, monotonic_us())
            for role in self.role_states:
                self._guarded(self._role_driver.step, role)
        self._guarded(self._carry_out_all)
        self.stopped.set()

    def _guarded(self, call: Callable[..., Any], *arguments: Any) -> None:
        """Make a call; an exception is logged and counted, and does not end the thread."""
        try:
            call(*arguments)
        except Exception:  # noqa: BLE001  the thread's outermost guard: one faulty event must not stop the fleet
            self.core.counters.add("internal_faults")
            self._event_log.log_fault(call)

    def _sleep_s(self) -> float:
        """How long to wait for an event: until something is due, within the bounds."""
        now = monotonic_us()
        times = [self.membership.due(now), self._heartbeats.due() or now + US_PER_SECOND]
        times += [feature.due(now) for feature in self._features]
        times += self._role_driver.due(now)
        waits_us = [at - now for at in times]
        waits_us += self._scheduled_command_driver.waits_us()
        return max(MIN_SLEEP_S, min(MAX_SLEEP_S, min(waits_us) / US_PER_SECOND))

    def _carry_out_all(self) -> None:
        """Carry out the actions of the membership."""
        while actions := self.membership.take_actions():
            for action in actions:
                self._carry_out(action)

    def _carry_out(self, action: MembershipAction) -> None:
        match action:
            case CallStore(call):
                self.lanes[lane_of(call.request)].submit(call.request, self._call_replied, call)
            case RoleWon(role, token):
                self.log_event("info", "role acquired", role=role, token=token)
                self._role_won(role, token)
            case RoleLost(role, reason):
                self.log_event("info", "role lost", role=role, reason=reason)
                self._role_lost(role)
            case WatchMembers(revision):
                self._members_watcher.watch_from(revision)
            case LogStateChange(text, facts):
                self.log_event("info", text, **facts)

    def _role_won(self, role: str, token: int) -> None:
        if role in self.scheduled_commands:
            self._scheduled_command_driver.won(role, token)
        elif role.startswith(HEARTBEAT_ROLE_PREFIX):
            self._heartbeats.won(role, monotonic_us())
        else:
            self._role_driver.won(role, token)

    def _role_lost(self, role: str) -> None:
        if role in self.scheduled_commands:
            self._scheduled_command_driver.lost(role)
        elif role.startswith(HEARTBEAT_ROLE_PREFIX):
            self._heartbeats.lost(role)
        else:
            self._role_driver.lost(role)

    # Events, on the fleet's thread

    def _call_replied(self, call: PendingCall, reply: Reply) -> None:
        now = monotonic_us()
        self._availability_log.record(reply, now)
        self.membership.call_replied(now, call, reply)

    def _member_changed(self, key: str, value: str | None, revision: int) -> None:
        self.membership.member_changed(monotonic_us(), key, value, revision)

    def _watch_gap(self) -> None:
        self.membership.watch_gap(monotonic_us())

    def _post_attempt_ended(self, *outcome: Any) -> None:
        """Pass the end of an attempt on to the fleet's thread; called on the core's thread."""
        self.post(self._scheduled_command_driver.attempt_ended, *outcome)

    def _leave(self) -> None:
        if self.budgets:
            self.budgets.leave()
        self._scheduled_command_driver.leave()
        self.membership.leave(monotonic_us())
