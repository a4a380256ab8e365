"""The simulated world of budgets: members, two processes that may lead the allocator role, and a model store.

Clocks of members deviate from the world's time by no more than the allowed drift. What members really use is
counted in the world's time; it may never exceed the budget's total.
"""

from collections.abc import Hashable
from typing import Any, NamedTuple

from gullhold.budgets.allocator_role import ROLE
from gullhold.budgets.budget_schema import (
    ALLOCATIONS,
    REPORTS,
    ROOT,
    UsageReport,
    allocated_amount,
    decode_row,
    encode_report,
)
from gullhold.budgets.ledger import LedgerKind
from gullhold.fleet.store_calls import GrantLease, Proof, Put, Reply, Transaction
from gullhold.interface import Demand
from gullhold.testing.action_kind import CALL_FAULTS, ActionKind
from gullhold.testing.budget_variant import (
    BUDGET,
    KIND,
    LINGER_US,
    NAMES,
    RESERVE,
    TOTAL,
    WINDOW_US,
    Variant,
)
from gullhold.testing.role_pair_world import QUANTUM_US, RATES, TERMS, RolePairWorld
from gullhold.testing.simulated_budget_member import SimulatedMember
from gullhold.testing.store_model import StoreModel
from gullhold.testing.walking import InvariantError

DEMANDS = (0, 4, TOTAL)  # demands of a member, in turn, until the world settles
SETTLED_DEMAND = 3  # demand of each member once the world settles
FAULTS = (
    *CALL_FAULTS,
    ActionKind.CRASH,
    ActionKind.DISCONNECT,
    ActionKind.ELECT,
    ActionKind.MISS_CHANGES,
    ActionKind.LEAVE,
)
SETTLING_STEPS = 30  # steps of time within which a fleet without faults has to allocate everything
MAX_ACTIONS_PER_SETTLING_STEP = 60  # limit of the actions that carry out the calls under way

Action = tuple[Any, ...]  # (kind, argument of the kind)


class Lingering(NamedTuple):
    """A number of commands of a crashed member that may run at engines until a time in us."""

    until: int
    commands: int


class World(RolePairWorld):
    """Members, two candidates for the allocator role, the store, and the calls to the store under way.

    act() carries out one of actions(). spent: times at which an amount of 1 of a windowed budget was spent,
    in us; lingering: commands of crashed members that may still run; is_settling: whether the
    faults are over, so that demand no longer changes.
    """

    def __init__(self, kind: LedgerKind, faults: int = 4, **variant: Any) -> None:
        """kind: of the ledger; faults: number of faults that may still happen; variant: fields of Variant."""
        self.kind = kind
        self.variant = Variant(**variant)
        budgets = {BUDGET: self.variant.budget(kind)}
        roles = [
            self.variant.make_role(budgets, make_allocator=self.variant.make_allocator) for _ in range(2)
        ]
        super().__init__(StoreModel(ROOT), "duties/" + ROLE, REPORTS, roles, faults)
        self.spent: list[int] = []
        self.lingering: list[Lingering] = []
        self.is_settling = False
        for name in NAMES:
            self._do_join(name)
        self._do_elect(0)

    def _do_join(self, name: str) -> None:
        """Start a member's process, and grant it a lease."""
        member = SimulatedMember(self, name, RATES[len(self.members) % len(RATES)])
        self.members.append(member)
        self._grant(member)

    def _grant(self, member: SimulatedMember) -> None:
        member.lease.renew(self.store.call(GrantLease(TERMS.ttl_s), self.now).lease, member())
        member.reported_revision = 0
        member.applied_revision = 0
        member.allocations.begin_lease(member.lease.id)
        self._report(member)

    def _report(self, member: SimulatedMember) -> None:
        key = REPORTS + member.key()
        self.calls.append((member, self._report_call(member), ("reported", key)))

    def _report_call(self, member: SimulatedMember, has_left: bool = False) -> Transaction:
        usage = member.allocations.report((Demand(KIND, 0, member.demand),))
        key = REPORTS + member.key()
        conditions = ((key, member.reported_revision),) if self.variant.compares_reports else ()
        text = encode_report(UsageReport(member.allocations.applied_write, usage, has_left))
        write = Put(key, text, 0 if has_left else member.lease.id)
        return Transaction(conditions, (write,))

    def actions(self) -> list[Action]:
        """Return all actions that are possible now."""
        found: list[Action] = [(ActionKind.ADVANCE_TIME,), *self.call_actions(), *self.candidate_actions()]
        for index, member in enumerate(self.members):
            found += self._member_actions(index, member)
        return found + [(ActionKind.JOIN, name) for name in self._missing_names()]

    def _member_actions(self, index: int, member: SimulatedMember) -> list[Action]:
        found: list[Action] = []
        if member.allocation.allows(1):
            found.append((ActionKind.ACQUIRE, index))
        if member.running:
            found.append((ActionKind.RELEASE, index))
        if not member.is_disconnected and self._rows(member):
            found.append((ActionKind.NOTIFY_MEMBER, index))
        if self.may_report(member):
            found.append((ActionKind.REPORT, index))
        if self.faults:
            found += [
                (ActionKind.CRASH, index),
                (ActionKind.LEAVE, index),
                (ActionKind.RECONNECT if member.is_disconnected else ActionKind.DISCONNECT, index),
            ]
        elif member.is_disconnected:
            found.append((ActionKind.RECONNECT, index))
        return found

    def _missing_names(self) -> list[str]:
        present = [member.name for member in self.members]
        return [name for name in NAMES if name not in present]

    def next_orderly_action(self) -> Action | None:
        """Return the next action in the order of a world without faults; None: nothing is under way."""
        action = super().next_orderly_action()
        if action:
            return action
        for index, member in enumerate(self.members):
            if not member.is_disconnected and self._rows(member):
                return ActionKind.NOTIFY_MEMBER, index
        return None

    def may_report(self, member: SimulatedMember) -> bool:
        """Whether a member may report now: it sends its next report only after the reply to the last one."""
        is_reporting = any(caller is member for caller, *_ in self.calls)
        return member.lease.is_valid(member()) and not is_reporting

    def _rows(self, member: SimulatedMember) -> list[tuple[int, str, str | None]]:
        """Return the writes of a member's row that it has not applied yet, as (revision, key, value)."""
        key = ALLOCATIONS + member.key()
        return [row for row in self.changes_since(member.applied_revision + 1, key) if row[1] == key]

    def act(self, kind: ActionKind, argument: Any = 0) -> None:
        """Carry out one action; raises InvariantError."""
        self.faults -= kind in FAULTS
        self.HANDLERS[kind](self, argument)
        self.check()

    def _do_advance_time(self, _: Any) -> None:
        self.now += QUANTUM_US
        for member in self.members:
            lease_id = member.lease.id
            self._renew_lease(member)
            if lease_id and member.lease.id != lease_id:
                member.lease_lost_at = self.now
            while member.running and member.running[0] <= self.now - LINGER_US:  # no command runs longer
                member.running.pop(0)
                member.allocation.release(1)
        self._step_candidates()

    def _do_deliver_reply(self, index: int) -> None:
        caller, (method, *context), reply = self.replies.pop(index)
        if method != "reported":
            self._call_candidate(caller, method, *context, reply)
        elif caller in self.members and context[0] == REPORTS + caller.key():
            self._reported(caller, reply)

    def _reported(self, member: SimulatedMember, reply: Reply) -> None:
        if reply.proof == Proof.DONE and reply.succeeded:
            member.reported_revision = reply.revision
        else:  # like the product's driver: read the stored revision, and report everything again
            item = self.store.keys.get(REPORTS + member.key())
            member.reported_revision = item.revision if item else 0
            self._report(member)

    def _do_acquire(self, index: int) -> None:
        member = self.members[index]
        while member.allocation.allows(1):
            member.allocation.acquire(1)
            self.spent.append(self.now)
            if self.kind == LedgerKind.HELD:
                member.running.append(self.now)

    def _do_release(self, index: int) -> None:
        member = self.members[index]
        older_half = -(-len(member.running) // 2)
        for _ in range(older_half):
            member.running.pop(0)
            member.allocation.release(1)

    def _do_notify_member(self, index: int) -> None:
        member = self.members[index]
        member.applied_revision, _, value = self._rows(member)[0]
        if value is not None:
            write, entries = decode_row(value)
            stored_amounts = {name: allocated_amount(packed) for name, packed in entries.items()}
            member.allocations.apply_write(member.lease.id, write, stored_amounts)

    def _do_report(self, index: int) -> None:
        member = self.members[index]
        turn = self.now // QUANTUM_US + index
        member.demand = SETTLED_DEMAND if self.is_settling else DEMANDS[turn % len(DEMANDS)]
        self._report(member)

    def _do_crash(self, index: int) -> None:
        """End a member without releasing anything; its commands run on for up to LINGER_US.

        That time counts from now, or for commands that began before the loss of an earlier lease, from this
        loss.
        """
        member = self.members.pop(index)
        self._drop_calls(member)
        earlier_commands = sum(at < member.lease_lost_at for at in member.running)
        self._linger(member.lease_lost_at, earlier_commands)
        self._linger(self.now, len(member.running) - earlier_commands)

    def _linger(self, inactive_since: int, commands: int) -> None:
        if commands:
            self.lingering.append(Lingering(inactive_since + LINGER_US, commands))

    def _drop_calls(self, member: SimulatedMember) -> None:
        self.calls = [row for row in self.calls if row[0] is not member]

    def _do_leave(self, index: int) -> None:
        """Shut a member down in order: it writes its last report, and its lease ends."""
        member = self.members[index]
        if member.lease.is_valid(member()) and not member.is_disconnected:
            self._drop_calls(member)
            self.store.call(self._report_call(member, has_left=True), self.now)
            self.store.end_lease(member.lease.id)
        self._do_crash(self.members.index(member))

    def check(self) -> None:
        """Raise InvariantError if too much is in use, was spent within a window, or is allocated."""
        self.lingering = [row for row in self.lingering if row.until > self.now]
        if self.kind == LedgerKind.HELD:
            used = sum(len(member.running) for member in self.members)
            used += sum(row.commands for row in self.lingering)
        else:
            self.spent = [at for at in self.spent if at > self.now - WINDOW_US]
            used = len(self.spent)
        if used > TOTAL:
            raise InvariantError(
                f"commands in use, or spent within a window: {used}, more than the total of {TOTAL}"
            )
        allocated = self._stored_allocations()
        if allocated > TOTAL - RESERVE * len(NAMES):
            raise InvariantError(
                f"the store allocates {allocated}, more than the {TOTAL - RESERVE * len(NAMES)} "
                "that the reserves leave"
            )

    def _stored_allocations(self) -> int:
        """Return the sum of all allocations in the store."""
        rows = [item.value for key, item in self.store.keys.items() if key.startswith(ALLOCATIONS)]
        entries = [entry for row in rows for entry in decode_row(row).entries.values()]
        return sum(allocated_amount(entry) for entry in entries)

    def fingerprint(self) -> Hashable:
        """Return a value that is equal for states that differ only in time and in numbers of writes."""
        return (
            tuple(member.fingerprint() for member in self.members),
            tuple((key, item.value) for key, item in sorted(self.store.keys.items())),
            tuple((tag, str(request)) for _, request, tag in self.calls),
            tuple((tag, reply.proof, reply.succeeded) for _, tag, reply in self.replies),
            tuple(map(str, self.delayed_requests)),
            tuple(self.watched_from),
            self.leader,
            self.faults,
            tuple(
                (role.token, role.is_loaded, role.fence_revision, role.reading, role.writing)
                for role in self.candidates
            ),
            tuple(at - self.now for at in self.spent),
            tuple((until - self.now, commands) for until, commands in self.lingering),
        )

    def settle(self) -> None:
        """End the faults, and let the fleet reach a steady state.

        Delayed calls are lost, missing members start, all report the same demand, and one leader allocates.
        """
        self.faults = 0
        self.delayed_requests = []
        self.is_settling = True
        self.candidates[1 - self.leader].lost()
        for member in self.members:
            member.is_disconnected = False
        for _ in range(SETTLING_STEPS):
            self._take_settling_step()

    def _take_settling_step(self) -> None:
        self.act(ActionKind.ADVANCE_TIME)
        for index, member in enumerate(self.members):
            if self.kind == LedgerKind.HELD:
                self.act(ActionKind.RELEASE, index)
            if self.may_report(member):
                self.act(ActionKind.REPORT, index)
        for name in self._missing_names():
            self.act(ActionKind.JOIN, name)
        self.finish_calls(MAX_ACTIONS_PER_SETTLING_STEP)

    def check_settled(self) -> None:
        """Raise InvariantError unless all that can be allocated is allocated to the running members."""
        allocated = sum(member.allocation.allocated for member in self.members)
        if allocated < TOTAL - RESERVE * len(NAMES) - 1:  # 1 may be in transfer between members
            raise InvariantError(
                f"only {allocated} of a total of {TOTAL} are allocated after the end of the faults, "
                f"though no more than {RESERVE} for each of {len(NAMES)} members is reserved"
            )

    HANDLERS = RolePairWorld.HANDLERS | {
        ActionKind.JOIN: _do_join,
        ActionKind.ADVANCE_TIME: _do_advance_time,
        ActionKind.DELIVER_REPLY: _do_deliver_reply,
        ActionKind.ACQUIRE: _do_acquire,
        ActionKind.RELEASE: _do_release,
        ActionKind.NOTIFY_MEMBER: _do_notify_member,
        ActionKind.REPORT: _do_report,
        ActionKind.CRASH: _do_crash,
        ActionKind.LEAVE: _do_leave,
    }
