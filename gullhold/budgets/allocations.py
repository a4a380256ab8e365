"""All allocations of one member, valid under the lease under which they were read. On the core's thread."""

from collections.abc import Callable, Iterable, Mapping

from gullhold.budgets.allocation import Allocation, AllocationRule
from gullhold.budgets.budget_schema import Usage
from gullhold.fleet.lease import Lease
from gullhold.interface import BudgetKind, Demand

# Kind and subject of a budget: an engine's id, a tenant's index, or 0 if the kind has no subject.
BudgetKey = tuple[BudgetKind, int]
RuleKey = tuple[BudgetKind, int | None]  # subject None: the rule is for the budget of each subject


class Allocations:
    """A ShareLookup: called with a budget's kind and subject, it returns the Allocation or None.

    lease_id: the lease under which the allocations are valid; applied_write: number of the newest write of
    the allocator that is applied; was_reduced: whether a write since the last report has lowered an
    allocation.
    """

    def __init__(
        self,
        rules: Mapping[RuleKey, AllocationRule],
        budget_name: Callable[[BudgetKind, int], str],
        lease: Lease,
        clock: Callable[[], int],
        on_shortage: Callable[[], None] = lambda: None,
    ) -> None:
        """Begin with allocations of 0, for all budgets whose rule names a subject.

        budget_name: returns the name that a budget has in the store. lease: the member's lease, which another
        thread changes. clock: returns monotonic us. on_shortage: called when an allocation runs out, once
        between two reports.
        """
        self.rules = dict(rules)
        self.budget_name = budget_name
        self.lease = lease
        self.clock = clock
        self.on_shortage = on_shortage
        self.is_report_requested = False
        self.was_valid = False  # result of the last is_valid()
        self.kinds = {kind for kind, _ in rules}
        self.started_at = clock()
        self.lease_id = 0
        self.applied_write = 0
        self.was_reduced = False
        self.allocations: dict[BudgetKey, Allocation] = {}
        self.stored_amounts: Mapping[str, int] = {}  # by budget name, as last read from the store
        for kind, subject in rules:
            if subject is not None:  # reported from the start; budgets of engines only once they are used
                self(kind, subject)

    def __call__(self, kind: BudgetKind, subject: int) -> Allocation | None:
        """Return the allocation of a budget, None if the fleet has no such budget."""
        if kind not in self.kinds:
            return None
        allocation = self.allocations.get((kind, subject))
        if allocation is None:
            rule = self.rules.get((kind, subject)) or self.rules.get((kind, None))
            if rule is None:
                return None
            allocation = Allocation(rule, self, self.stored_amounts.get(self.budget_name(kind, subject), 0))
            self.allocations[kind, subject] = allocation
        return allocation

    def set_totals(self, totals: Mapping[tuple[BudgetKind, str], int]) -> None:
        """Set the totals of budgets, which are also the most that this member requests of them.

        totals: by kind and name of the subject; the entry with the name "" is for each subject of the kind
        that has no entry of its own.
        """
        self.rules = {key: self._rule_with_total(key, rule, totals) for key, rule in self.rules.items()}
        for key, allocation in self.allocations.items():
            kind, _ = key
            allocation.rule = self.rules.get(key) or self.rules[kind, None]

    def _rule_with_total(
        self, key: RuleKey, rule: AllocationRule, totals: Mapping[tuple[BudgetKind, str], int]
    ) -> AllocationRule:
        kind, subject = key
        name = "" if subject is None else self.budget_name(kind, subject).partition("/")[2]
        total_of_kind = totals.get((kind, ""), rule.total)
        return rule._replace(total=totals.get((kind, name), total_of_kind))

    def request_report(self) -> None:
        """Call on_shortage because an allocation runs out, once until the next report."""
        if not self.is_report_requested:
            self.is_report_requested = True
            self.on_shortage()

    def is_valid(self, now: int) -> bool:
        """Whether the lease under which the allocations were read certainly holds.

        Its end is read before its id, as another thread may begin a new lease in between.
        """
        valid_until = self.lease.valid_until
        self.was_valid = now < valid_until and self.lease.id == self.lease_id != 0
        return self.was_valid

    def fencing_token(self) -> int:
        """Return the id of the lease under which the last amount was allowed; 0 if the reserve allowed it."""
        return self.lease_id if self.was_valid else 0

    def token_valid(self, token: object) -> bool:
        """Whether work with this fencing token may still begin. May be called on any thread."""
        valid_until = self.lease.valid_until
        return not token or (self.clock() < valid_until and self.lease.id == token)

    def apply_write(self, lease_id: int, write: int, stored_amounts: Mapping[str, int]) -> None:
        """Apply a write of allocations, by budget name, under this lease; an older write has no effect."""
        if lease_id != self.lease_id:
            self.lease_id = lease_id
            self.applied_write = 0
            self.stored_amounts = {}
        if write <= self.applied_write:
            return
        is_reduced = any(stored_amounts.get(name, 0) < amount for name, amount in self.stored_amounts.items())
        self.was_reduced = self.was_reduced or is_reduced
        self.applied_write = write
        self.stored_amounts = stored_amounts
        for (kind, subject), allocation in self.allocations.items():
            allocation.allocated = stored_amounts.get(self.budget_name(kind, subject), 0)

    def begin_lease(self, lease_id: int) -> None:
        """Begin a lease unless it is the current one; under a new lease nothing is allocated yet."""
        if lease_id != self.lease_id:
            self.apply_write(lease_id, 0, {})
            for allocation in self.allocations.values():
                allocation.allocated = 0

    def report(self, demands: Iterable[Demand]) -> dict[str, Usage]:
        """Return the usage by name of all budgets with a rule, a demand or anything in use.

        demands: what queued commands need beyond what is in use, with an entry, possibly of 0, for each ready
        engine.
        """
        now = self.clock()
        unmet = {(kind, subject): amount for kind, subject, amount in demands}
        self.is_report_requested = False
        for kind, subject in unmet:
            self(kind, subject)
        usage = {}
        for key, allocation in list(self.allocations.items()):
            is_wanted = key in unmet or key in self.rules
            if is_wanted or allocation.used(now) or allocation.rejected:
                usage[self.budget_name(*key)] = allocation.report(unmet.get(key, 0), now)
            else:
                # Of an engine that is gone or not ready: budgets with a fixed subject are in rules.
                del self.allocations[key]
        return usage

    def allocated(self) -> dict[str, int]:
        """Return the current allocations by budget name."""
        return {self.budget_name(*key): allocation.allocated for key, allocation in self.allocations.items()}
