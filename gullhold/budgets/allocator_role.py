"""The role that allocates the fleet's budgets: reads reports, allocates, writes rows. Performs no I/O.

One write is under way at a time. Each write also writes a key, the fence, and is carried out only if the
fence has the revision of the previous write, so that a call that was given up can't be carried out between
two later ones. If a reply does not show whether the write was carried out, or if the fence has changed,
everything is read again.
"""

from collections.abc import Callable, Mapping
from typing import cast

from gullhold.budgets.allocator import Allocator, Budget, with_totals
from gullhold.budgets.budget_schema import (
    ALLOCATIONS,
    FENCE,
    REPORTS,
    ROOT,
    BudgetTotal,
    decode_report,
    decode_row,
    encode_fence,
    encode_row,
)
from gullhold.fleet.role_state import LogEvent, RoleState
from gullhold.fleet.store_calls import MAX_TRANSACTION_OPERATIONS, Delete, Operation, Put, Reply

ROLE = "budgets"  # name of the role in the store and in the log
FENCE_OPERATIONS = 2  # in each transaction: write the fence, compare the role's token
OPERATIONS_PER_MEMBER = 2  # at most: its row, and its report if both are deleted
MAX_MEMBERS_PER_WRITE = (MAX_TRANSACTION_OPERATIONS - FENCE_OPERATIONS) // OPERATIONS_PER_MEMBER
WRITES_PER_TOKEN = 1 << 20  # write numbers reserved for each fencing token, so that they always increase
MIN_WRITE_INTERVAL_US = 20_000  # least us between two writes, so that one write answers several reports


class AllocatorRole(RoleState):
    """The allocator and its keys in the store while this member leads the role.

    fence_revision: revision of the fence as last written; report_revision: that of the newest report that
    was taken. token, as in RoleState: the fencing token, 0 while this member does not lead.
    """

    def __init__(
        self,
        budgets: Mapping[str, Budget],
        weights: Mapping[str, float] | None = None,
        make_allocator: Callable[[Mapping[str, Budget], Mapping[str, float] | None], Allocator] = Allocator,
    ) -> None:
        """budgets, weights: as in Allocator. make_allocator: the Allocator type to use."""
        super().__init__(ROOT)
        self.budgets = dict(budgets)
        self.weights = weights
        self.make_allocator = make_allocator
        self.allocator: Allocator | None = None
        self.fence_revision = 0
        self.report_revision = 0
        self.last_write_at = 0
        self.rows_to_write: dict[str, None] = {}  # members, in this order
        self.members_to_delete: dict[str, None] = {}

    def set_totals(self, totals: Mapping[str, int]) -> None:
        """Set totals by budget name or kind, for the current allocator and later ones."""
        self.budgets = with_totals(self.budgets, totals)
        if self.allocator:
            self.allocator.set_totals(totals)

    def lost(self) -> None:
        """Stop, because the leadership is not certain any more, and drop the allocator with its ledgers."""
        super().lost()
        self.allocator = None

    @property
    def _acting_allocator(self) -> Allocator:
        """The allocator; exists once all keys were read, before which nothing is written or watched."""
        return cast("Allocator", self.allocator)

    def _next_write_at(self, _now: int) -> int | None:
        has_writes = self.rows_to_write or self.members_to_delete or self._acting_allocator.uncharged
        at = 0 if has_writes else self._acting_allocator.due()
        return None if at is None else max(at, self.last_write_at + MIN_WRITE_INTERVAL_US)

    def _write_next(self, now: int) -> None:
        if now < self.last_write_at + MIN_WRITE_INTERVAL_US:
            return
        write = self.token * WRITES_PER_TOKEN + next(self.serials)
        newly_left = self._acting_allocator.newly_left
        changes = self._acting_allocator.allocate(write, now)
        members = [*(member for member in newly_left if member in changes), *self.rows_to_write, *changes]
        self.rows_to_write = dict.fromkeys(members)
        self._take_uncharged()
        if not self.rows_to_write and not self.members_to_delete:
            return
        operations = self._next_operations(write)
        self.last_write_at = now
        self._write(operations, ((FENCE, self.fence_revision),))

    def _take_uncharged(self) -> None:
        """Mark for deletion the keys of members for which no ledger has an entry any more."""
        uncharged = self._acting_allocator.uncharged
        self._acting_allocator.uncharged = set()
        self.members_to_delete |= dict.fromkeys(uncharged)
        for member in uncharged:
            self.rows_to_write.pop(member, None)

    def _next_operations(self, write: int) -> list[Operation]:
        """Return the write of the fence and as many due operations as fit into one transaction."""
        totals = {name: BudgetTotal(budget.total, budget.reserve) for name, budget in self.budgets.items()}
        operations: list[Operation] = [Put(FENCE, encode_fence(write, totals))]
        members = list(self.rows_to_write)[:MAX_MEMBERS_PER_WRITE]
        deleted = list(self.members_to_delete)[: MAX_MEMBERS_PER_WRITE - len(members)]
        for member in members:
            row = self._acting_allocator.row(member)
            key = ALLOCATIONS + member
            operations.append(Put(key, encode_row(write, row)) if row else Delete(key))
            del self.rows_to_write[member]
        for member in deleted:
            operations.append(Delete(ALLOCATIONS + member))
            operations.append(Delete(REPORTS + member))
            del self.members_to_delete[member]
        return operations

    def _write_confirmed(self, reply: Reply) -> bool:
        if reply.succeeded:
            self.fence_revision = reply.revision
        return reply.succeeded

    def _on_loaded(self, now: int, reply: Reply) -> None:
        """Load the rows first, then the reports; members with a row but without a report have left."""
        self.allocator = self.make_allocator(self.budgets, self.weights)
        self.fence_revision = 0
        self.rows_to_write = {}
        self.members_to_delete = {}
        rows = {}
        reports = {}
        for item in reply.items:
            if item.key == FENCE:
                self.fence_revision = item.revision
            elif item.key.startswith(ALLOCATIONS):
                rows[item.key.removeprefix(ALLOCATIONS)] = decode_row(item.value).entries
            elif item.key.startswith(REPORTS):
                reports[item.key.removeprefix(REPORTS)] = item.value
        self.allocator.load(rows, now)
        for member, value in reports.items():
            self._take_report(member, value, now)
        for member in rows:
            if member not in reports:
                self.allocator.member_left(member, now)
        self.report_revision = reply.revision
        self.actions.append(
            LogEvent("info", "budget allocator active", {"members": len(reports), "rows": len(rows)})
        )

    def _on_key_changed(self, now: int, key: str, value: str | None, revision: int) -> bool:
        """Take a change of a report. value: None if it was deleted, as the member's lease has ended."""
        if revision <= self.report_revision and value is not None:
            return False  # a newer report was read already; a repeated deletion has no effect
        self.report_revision = max(self.report_revision, revision)
        member = key.removeprefix(REPORTS)
        if value is not None:
            self._take_report(member, value, now)
        elif member in self._acting_allocator.reported_budgets:
            self._acting_allocator.member_left(member, now)
            self._delete_keys_if_uncharged(member)
        return True

    def _take_report(self, member: str, value: str, now: int) -> None:
        report = decode_report(value)
        if report is None:
            self.actions.append(LogEvent("warning", "unreadable usage report", {"reporter": member}))
        elif report.has_left:
            self._acting_allocator.member_left(member, now, report.usage)
            self._delete_keys_if_uncharged(member)
        else:
            self._acting_allocator.report(member, report.applied_write, report.usage, now)

    def _delete_keys_if_uncharged(self, member: str) -> None:
        if member not in self._acting_allocator.row_budgets:
            self.members_to_delete[member] = None
