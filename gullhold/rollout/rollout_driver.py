"""Drives a member's side of the rollout: connects it with the fleet's thread, the core and the store.

The core checks the policy's gate before each attempt and never waits for the fleet's thread. New policies and
requests to stop dispatching are posted to it, and it posts back a confirmation of each.
"""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, NamedTuple, cast

from gullhold.budgets.allocator_role import ROLE as BUDGETS_ROLE
from gullhold.budgets.budget_rules import BUDGET_KINDS, budget_name
from gullhold.fleet.clocks import US_PER_SECOND, unix_us
from gullhold.fleet.role_state import LogEvent
from gullhold.fleet.store_calls import Reply
from gullhold.fleet.store_schema import SCHEDULED_COMMAND_ROLE_PREFIX
from gullhold.fleet.watcher import Watcher
from gullhold.interface import Agreement, BudgetKind
from gullhold.net import counters
from gullhold.rollout import snapshot
from gullhold.rollout.member_actions import AdoptVersion, CallStore, StopDispatching, WatchPolicy
from gullhold.rollout.policy import (
    BudgetLimits,
    DecisionTerms,
    Deployment,
    Policy,
    budget_totals,
    decision_terms,
    find_fault,
    parse_policy,
    tenant_shares,
)
from gullhold.rollout.policy_change import ChangeState, PolicyChange
from gullhold.rollout.policy_gate import PolicyGate
from gullhold.rollout.policy_version import INITIAL_VERSION, PolicyError, PolicyVersion
from gullhold.rollout.rollout_coordinator import RolloutCoordinator
from gullhold.rollout.rollout_member import RolloutMember
from gullhold.rollout.store_schema import ROLE, ROLLOUT_PREFIX, WATCHED_PREFIX
from gullhold.rollout.vote import CommandFigures

if TYPE_CHECKING:
    from gullhold.budgets.allocator_role import AllocatorRole
    from gullhold.fleet.driver import FleetMember
    from gullhold.operator.records import FleetRecord

VOTE_LANE = "words"  # the member's lane: a thread that sends its calls to the store one after the other
# Two lanes, so that calls of the member and calls of the coordinator do not wait for each other.
LANES = (VOTE_LANE, ROLE)
AT_START = 0  # serial of adoptions at the start; their confirmations are ignored


class CorePolicy(NamedTuple):
    """A policy in the form in which the core uses it."""

    number: int
    terms: DecisionTerms
    budget_totals: dict[str, int]
    tenant_shares: list[float]
    client_weights: dict[str, float]


class BudgetTotalsCause(NamedTuple):
    """The state of the rollout that budget totals were last computed for.

    version: number of the version in force; change, state: of the open change, None if none is open.
    """

    version: int
    change: int | None
    state: ChangeState | None


class RolloutDriver:
    """Runs one member's side of the rollout, and the coordinator while this member leads that role.

    Methods are called on the fleet's thread, except those in the section "On the core's thread".
    """

    def __init__(
        self,
        fleet_member: "FleetMember",
        record: "FleetRecord",
        agreement: Agreement,
        clock: Callable[[], int],
        guaranteed_us: int,
    ) -> None:
        """record: the fleet's, from the operator file; guaranteed_us: how long a lease certainly holds."""
        self.fleet_member = fleet_member
        self.core = fleet_member.core
        self.clock = clock
        self.settings = record.policy
        queue = self.core.admission_queue
        self.client_weights = _weights_by_name(queue.client_weights) if queue else {}
        budgets = {
            budget_name(item): BudgetLimits(item.whole, item.alone * item.members) for item in record.budgets
        }
        schedules = [item.name for item in record.schedule]
        self.deployment = Deployment(agreement, budgets, schedules, has_admission_queue=bool(queue))
        self.gate = PolicyGate(fleet_member.membership.lease, clock, guaranteed_us, self.settings.cut)
        self.member = RolloutMember(fleet_member.name, self.gate, self.find_fault, self._read_figures)
        fleet_member.role_states[ROLE] = RolloutCoordinator()
        # Budget totals while a change is open: the lower of the old and the new one, so that the allocations
        # exceed neither.
        self.lowest_totals: dict[str, int] = {}
        self.totals_set_for: BudgetTotalsCause | None = None  # the cause of the last set_totals()
        self.core.fences.append(self.gate)
        self._adopt(AT_START, INITIAL_VERSION)  # done before the first command; the gate is still closed
        self._use_snapshot()

    def _use_snapshot(self) -> None:
        """Dispatch under the snapshot's policy without the store, for as long as the operator file allows."""
        found = snapshot.read(self.settings.snapshot) if self.settings.snapshot else None
        if not found or not self.settings.spare:
            return
        version = found.version
        age_us = unix_us() - found.known_at_us
        left_us = self.settings.spare - age_us
        self.fleet_member.log_event(
            "warning",
            "policy: snapshot loaded",
            version=version.number,
            age_s=round(age_us / US_PER_SECOND, 1),
            valid_for_s=round(max(0, left_us) / US_PER_SECOND, 1),
        )
        if left_us > 0 and not self.find_fault(version):
            self.gate.snapshot_valid_until = self.clock() + left_us
            self._adopt(AT_START, version)

    def find_fault(self, version: PolicyVersion) -> str:
        """Return one line on why this gateway can't use the version, "" if it can."""
        try:
            policy = parse_policy(version.text, f"policy {version.number}")
        except PolicyError as error:
            return str(error)
        return find_fault(policy, self.deployment)

    def _read_figures(self) -> CommandFigures:
        """Return figures on commands since the start of the process; shed commands count as failed."""
        counts = self.core.counters.counts
        return CommandFigures(
            counts[counters.ANSWERED],
            counts[counters.FAILED] + counts[counters.SHED],
            counts[counters.ANSWER_TIME_US],
        )

    def start(self, watch: Callable[..., Watcher]) -> None:
        """Start to watch the keys of the rollout. watch: FleetMember.watch."""
        self.watcher = watch("policy", WATCHED_PREFIX, self._changed, self._watch_gap)
        self.fleet_member.watch_role(ROLE, "words", ROLLOUT_PREFIX)

    def step(self, now: int) -> None:
        """Have the member take its next step, and carry out its actions."""
        lease = self.fleet_member.membership.lease
        self.member.step(now, lease.id if lease.is_valid(now) else 0)
        self._carry_out()

    def due(self, now: int) -> int:
        """When to call step() at the latest."""
        return self.member.due(now)

    def _carry_out(self) -> None:
        """Carry out the member's actions, and those that result from them."""
        while actions := self.member.take_actions():
            for action in actions:
                match action:
                    case CallStore(serial, request):
                        self.fleet_member.lanes[VOTE_LANE].submit(request, self._replied, serial)
                    case AdoptVersion(serial, version):
                        self._adopt(serial, version)
                    case StopDispatching(number):
                        self.core.post_urgent(self._confirm_stopped, number)
                    case WatchPolicy(revision):
                        self.watcher.watch_from(revision)
                    case LogEvent(level, text, facts):
                        self.fleet_member.log_event(level, "policy: " + text, **facts)
        self._set_budget_totals()

    def _adopt(self, serial: int, version: PolicyVersion) -> None:
        policy = parse_policy(version.text, f"policy {version.number}")
        self.core.post_urgent(self._apply_policy, serial, self._to_core_policy(version, policy))
        for name in self.deployment.scheduled_commands:
            command = self.fleet_member.scheduled_commands[SCHEDULED_COMMAND_ROLE_PREFIX + name]
            command.is_disabled = not policy.schedules.get(name, True)
        if serial != AT_START and self.settings.snapshot and not self.member.canary_change:
            self._write_snapshot(version)

    def _to_core_policy(self, version: PolicyVersion, policy: Policy) -> CorePolicy:
        agreement = self.deployment.agreement
        return CorePolicy(
            version.number,
            decision_terms(policy, agreement),
            budget_totals(policy, self.deployment.budgets),
            tenant_shares(policy, agreement),
            self.client_weights | policy.clients,
        )

    def _write_snapshot(self, version: PolicyVersion) -> None:
        try:
            snapshot.write(self.settings.snapshot, version, unix_us())
        except OSError as error:
            self.fleet_member.log_event("warning", "policy: snapshot write failed", error=str(error))

    # Events, on the fleet's thread

    def _replied(self, serial: int, reply: Reply) -> None:
        self.member.replied(self.clock(), serial, reply)

    def _adopted(self, serial: int) -> None:
        self.member.adopted(self.clock(), serial)

    def _stopped(self, number: int) -> None:
        self.member.stopped(self.clock(), number)

    def _changed(self, key: str, value: str | None, revision: int) -> None:
        self.member.changed(self.clock(), key, value, revision)

    def _watch_gap(self) -> None:
        self.member.watch_gap(self.clock())

    # On the core's thread

    def _apply_policy(self, serial: int, policy: CorePolicy) -> None:
        if self.fleet_member.budgets:
            self.fleet_member.budgets.allocations.set_totals(_totals_by_kind(policy.budget_totals))
        self.core.apply_policy(policy.terms, self.gate, policy.tenant_shares, policy.client_weights)
        self.core.counters.add(f"policy_{policy.number}_applied")
        self.fleet_member.post(self._adopted, serial)

    def _confirm_stopped(self, number: int) -> None:
        """Confirm that no attempt is sent any more: the gate is closed, and is checked at each attempt."""
        self.fleet_member.post(self._stopped, number)

    # The allocator of budgets, on the fleet's thread

    def _set_budget_totals(self) -> None:
        """Have the allocator use the lower of the old and the new totals while a change is open."""
        version = self.member.version
        change = self.member.change
        cause = BudgetTotalsCause(version.number, None, None)
        if change is not None:
            cause = BudgetTotalsCause(version.number, change.version.number, change.state)
        if not self.fleet_member.budgets or cause == self.totals_set_for:
            return
        self.totals_set_for = cause
        current = budget_totals(parse_policy(version.text), self.deployment.budgets)
        if change is None or change.state == ChangeState.DROPPED:
            self.lowest_totals = current
        elif self._may_come_into_force(change):
            self._lower_totals(current, change)
        # Otherwise the totals stay as they are: those of a decided change until every member has adopted it.
        allocator_role = cast("AllocatorRole", self.fleet_member.role_states[BUDGETS_ROLE])
        allocator_role.set_totals(self.lowest_totals)

    def _may_come_into_force(self, change: PolicyChange) -> bool:
        is_checked = change.state in (ChangeState.CHECKED, ChangeState.PREPARED)
        return is_checked and not self.find_fault(change.version)

    def _lower_totals(self, current: dict[str, int], change: PolicyChange) -> None:
        new = budget_totals(parse_policy(change.version.text), self.deployment.budgets)
        self.lowest_totals = {
            name: min(total, new[name], self.lowest_totals.get(name, total))
            for name, total in current.items()
        }


def _weights_by_name(weights: Mapping[bytes, float]) -> dict[str, float]:
    return {name.decode(): weight for name, weight in weights.items()}


def _totals_by_kind(totals: Mapping[str, int]) -> dict[tuple[BudgetKind, str], int]:
    """Totals by kind of budget and name of the tenant, "" for a budget that all tenants share."""
    by_kind = {}
    for name, total in totals.items():
        kind, _, tenant = name.partition("/")
        by_kind[BUDGET_KINDS[kind], tenant] = total
    return by_kind
