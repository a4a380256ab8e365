"""The world in which decisions of budgets are explored: members, two processes that may lead, a small store.

Members are on clocks of their own within the stated drift. What is really begun is counted in the world's own
time; it may never pass the total.
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
from gullhold.testing.store_model import Model
from gullhold.testing.walking import InvariantError

DEMANDS = (0, 4, TOTAL)  # of a member in turn, while demand changes
SETTLED_DEMAND = 3  # of each member in the end
FAULTS = (*CALL_FAULTS, ActionKind.DIE, ActionKind.CUT, ActionKind.ELECT, ActionKind.MISS, ActionKind.LEAVE)
SETTLED = 30  # moments in which a fleet without faults has to have allocated all
MAX_QUIET_STEPS = 60  # steps in which all that is under way is carried out

Action = tuple[Any, ...]  # (what, whom)


class Lingering(NamedTuple):
    """So many calls of a dead member that may run until a time in us."""

    until: int
    calls: int


class World(RolePairWorld):
    """Members, two processes that may lead, store, and what is under way.

    act() takes one of actions(); raises InvariantError. spent: when each amount of a windowed budget was
    spent; lingering: work of members that have died; is_settling: demand changes no more.
    """

    def __init__(self, kind: LedgerKind, faults: int = 4, **variant: Any) -> None:
        """variant: fields of Variant."""
        self.kind = kind
        self.variant = Variant(**variant)
        budgets = {BUDGET: self.variant.budget(kind)}
        roles = [
            self.variant.make_role(budgets, make_allocator=self.variant.make_allocator) for _ in range(2)
        ]
        super().__init__(Model(ROOT), "duties/" + ROLE, REPORTS, roles, faults)
        self.spent: list[int] = []
        self.lingering: list[Lingering] = []
        self.is_settling = False
        for name in NAMES:
            self._do_come(name)
        self._do_elect(0)

    def _do_come(self, name: str) -> None:
        """A process begins, and has a lease."""
        member = SimulatedMember(self, name, RATES[len(self.members) % len(RATES)])
        self.members.append(member)
        self._grant(member)

    def _grant(self, member: SimulatedMember) -> None:
        member.lease.renew(self.model.call(GrantLease(TERMS.ttl_s), self.now).lease, member())
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
        """Return all that may be next."""
        found: list[Action] = [(ActionKind.TIME,), *self.call_actions(), *self.holder_actions()]
        for index, member in enumerate(self.members):
            found += self._member_actions(index, member)
        return found + [(ActionKind.COME, name) for name in self._missing_names()]

    def _member_actions(self, index: int, member: SimulatedMember) -> list[Action]:
        found: list[Action] = []
        if member.allocation.allows(1):
            found.append((ActionKind.SPEND, index))
        if member.running:
            found.append((ActionKind.END, index))
        if not member.cut and self._rows(member):
            found.append((ActionKind.HEAR, index))
        if self.may_report(member):
            found.append((ActionKind.REPORT, index))
        if self.faults:
            found += [
                (ActionKind.DIE, index),
                (ActionKind.LEAVE, index),
                (ActionKind.HEAL if member.cut else ActionKind.CUT, index),
            ]
        elif member.cut:
            found.append((ActionKind.HEAL, index))
        return found

    def _missing_names(self) -> list[str]:
        present = [member.name for member in self.members]
        return [name for name in NAMES if name not in present]

    def next_orderly_action(self) -> Action | None:
        """Return what happens next where nothing is wrong; None: nothing is under way."""
        action = super().next_orderly_action()
        if action:
            return action
        for index, member in enumerate(self.members):
            if not member.cut and self._rows(member):
                return ActionKind.HEAR, index
        return None

    def may_report(self, member: SimulatedMember) -> bool:
        """Whether a member may report: one report of it is under way at a time."""
        is_reporting = any(caller is member for caller, *_ in self.calls)
        return member.lease.is_valid(member()) and not is_reporting

    def _rows(self, member: SimulatedMember) -> list[tuple[int, str, str | None]]:
        """Return the writes of a member's row, as (revision, key, value), that it has not taken in."""
        key = ALLOCATIONS + member.key()
        return [row for row in self.changes_since(member.applied_revision + 1, key) if row[1] == key]

    def act(self, what: ActionKind, whom: Any = 0) -> None:
        """Do one thing; raises InvariantError."""
        self.faults -= what in FAULTS
        self.HANDLERS[what](self, whom)
        self.check()

    def _do_time(self, _: Any) -> None:
        self.now += QUANTUM_US
        for member in self.members:
            lease_id = member.lease.id
            self._renew_lease(member)
            if lease_id and member.lease.id != lease_id:
                member.lease_lost_at = self.now
            while member.running and member.running[0] <= self.now - LINGER_US:  # nothing runs longer
                member.running.pop(0)
                member.allocation.release(1)
        self._step_holders()

    def _do_reply(self, index: int) -> None:
        caller, (what, *context), reply = self.replies.pop(index)
        if what != "reported":
            self._call_holder(caller, what, *context, reply)
        elif caller in self.members and context[0] == REPORTS + caller.key():
            self._reported(caller, reply)

    def _reported(self, member: SimulatedMember, reply: Reply) -> None:
        if reply.proof == Proof.DONE and reply.succeeded:
            member.reported_revision = reply.revision
        else:  # as the driver does: what is stored is looked at, and everything is reported again
            item = self.model.keys.get(REPORTS + member.key())
            member.reported_revision = item.revision if item else 0
            self._report(member)

    def _do_spend(self, index: int) -> None:
        member = self.members[index]
        while member.allocation.allows(1):
            member.allocation.acquire(1)
            self.spent.append(self.now)
            if self.kind == LedgerKind.HELD:
                member.running.append(self.now)

    def _do_end(self, index: int) -> None:
        member = self.members[index]
        older_half = -(-len(member.running) // 2)
        for _ in range(older_half):
            member.running.pop(0)
            member.allocation.release(1)

    def _do_hear(self, index: int) -> None:
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

    def _do_die(self, index: int) -> None:
        """What it began goes on for as long as it may after it became unable to begin more.

        That is now, but for what it had begun when it lost an earlier lease: that long after the loss.
        """
        member = self.members.pop(index)
        self._drop_calls(member)
        earlier_calls = sum(at < member.lease_lost_at for at in member.running)
        self._linger(member.lease_lost_at, earlier_calls)
        self._linger(self.now, len(member.running) - earlier_calls)

    def _linger(self, unable_since: int, calls: int) -> None:
        if calls:
            self.lingering.append(Lingering(unable_since + LINGER_US, calls))

    def _drop_calls(self, member: SimulatedMember) -> None:
        self.calls = [row for row in self.calls if row[0] is not member]

    def _do_leave(self, index: int) -> None:
        """In good order: nothing is begun any more, the last report is written, the lease ends."""
        member = self.members[index]
        if member.lease.is_valid(member()) and not member.cut:
            self._drop_calls(member)
            self.model.call(self._report_call(member, has_left=True), self.now)
            self.model.end(member.lease.id)
        self._do_die(self.members.index(member))

    def check(self) -> None:
        """Raise InvariantError where more than the total is in use, or was spent within any window."""
        self.lingering = [row for row in self.lingering if row.until > self.now]
        if self.kind == LedgerKind.HELD:
            used = sum(len(member.running) for member in self.members)
            used += sum(row.calls for row in self.lingering)
        else:
            self.spent = [at for at in self.spent if at > self.now - WINDOW_US]
            used = len(self.spent)
        if used > TOTAL:
            raise InvariantError(f"{used} of {TOTAL} are in use")
        allocated = self._stored_allocations()
        if allocated > TOTAL - RESERVE * len(NAMES):
            raise InvariantError(f"{allocated} of {TOTAL - RESERVE * len(NAMES)} are allocated")

    def _stored_allocations(self) -> int:
        """Return the sum of all allocations in the store, as one that reads it sees them."""
        rows = [item.value for key, item in self.model.keys.items() if key.startswith(ALLOCATIONS)]
        entries = [entry for row in rows for entry in decode_row(row).entries.values()]
        return sum(allocated_amount(entry) for entry in entries)

    def mark(self) -> Hashable:
        """Return what makes two states the same: all but absolute time and numbers of writes."""
        return (
            tuple(member.state() for member in self.members),
            tuple((key, item.value) for key, item in sorted(self.model.keys.items())),
            tuple((tag, str(request)) for _, request, tag in self.calls),
            tuple((tag, reply.proof, reply.succeeded) for _, tag, reply in self.replies),
            tuple(map(str, self.delayed_requests)),
            tuple(self.watched_from),
            self.leader,
            self.faults,
            tuple(
                (role.token, role.is_loaded, role.fence_revision, role.reading, role.writing)
                for role in self.holders
            ),
            tuple(at - self.now for at in self.spent),
            tuple((until - self.now, calls) for until, calls in self.lingering),
        )

    def calm(self) -> None:
        """No more faults: all is carried out in turn, everybody reports, and one leader allocates."""
        self.faults = 0
        self.delayed_requests = []
        self.is_settling = True
        self.holders[1 - self.leader].lost()
        for member in self.members:
            member.cut = False
        for _ in range(SETTLED):
            self._calm_moment()

    def _calm_moment(self) -> None:
        self.act(ActionKind.TIME)
        for index, member in enumerate(self.members):
            if self.kind == LedgerKind.HELD:
                self.act(ActionKind.END, index)
            if self.may_report(member):
                self.act(ActionKind.REPORT, index)
        for name in self._missing_names():
            self.act(ActionKind.COME, name)
        self.finish_calls(MAX_QUIET_STEPS)

    def settled(self) -> None:
        """Raise InvariantError unless all that may be allocated is allocated among those who live."""
        allocated = sum(member.allocation.allocated for member in self.members)
        if allocated < TOTAL - RESERVE * len(NAMES) - 1:  # one of it may be on its way
            raise InvariantError(f"{allocated} are divided though nothing is wrong any more")

    HANDLERS = RolePairWorld.HANDLERS | {
        ActionKind.COME: _do_come,
        ActionKind.TIME: _do_time,
        ActionKind.REPLY: _do_reply,
        ActionKind.SPEND: _do_spend,
        ActionKind.END: _do_end,
        ActionKind.HEAR: _do_hear,
        ActionKind.REPORT: _do_report,
        ActionKind.DIE: _do_die,
        ActionKind.LEAVE: _do_leave,
    }
