"""A member's budgets, carried out: what passes between the fleet's thread, the core and the register.

Parts are told, spent and counted on the core's thread, which never waits: the fleet's thread posts what was
read, and hears what was counted. The divider runs on the fleet's thread, its calls on a lane of their own.
"""

from queue import Empty, SimpleQueue

from gullhold.budgets import duty, ledger
from gullhold.budgets.demand import Teller
from gullhold.budgets.divider import Budget
from gullhold.budgets.purse import Purses, Rule
from gullhold.fleet.role_state import IDLE_STEP_US
from gullhold.fleet.store_calls import Get, Proof, Put, ReadPrefix, Transaction
from gullhold.interface import BudgetKind

OF = {
    "threads": BudgetKind.THREADS,
    "memory": BudgetKind.MEMORY,
    "open": BudgetKind.OPEN_COMMANDS,
    "further": BudgetKind.RETRIES,
    "cold": BudgetKind.WARMUP,
    "taken": BudgetKind.ADMISSIONS,
    "share": BudgetKind.TRAFFIC_SHARE,
    "lists": BudgetKind.DISCOVERY_CALLS,
}  # the operator's words
WORDS = {number: word for word, number in OF.items()}
HELD, WINDOWED = (
    (BudgetKind.THREADS, BudgetKind.MEMORY, BudgetKind.OPEN_COMMANDS),
    (BudgetKind.RETRIES, BudgetKind.WARMUP, BudgetKind.ADMISSIONS, BudgetKind.DISCOVERY_CALLS),
)
EACH = (BudgetKind.THREADS, BudgetKind.MEMORY, BudgetKind.WARMUP)  # one for each engine
TENANTS = (BudgetKind.OPEN_COMMANDS, BudgetKind.ADMISSIONS)
SETTLE_US = 500_000  # us that what was given up may run on at an engine: an abort on its way, twice
LINGER_US = 1_000_000  # us over the longest client timeout: nothing that an engine was sent waits longer
LEAST_US = 50_000  # us between reports of one member
CALM = 5  # looks that are left out while nothing runs dry and nothing is to be given back
PATIENCE_S = 1.0  # that the follower of the list waits for the core's word
LANES = ("reports", duty.DUTY)  # of calls: neither waits for the other


class Unfit(Exception):
    """A budget that does not fit the agreement; the text is one plain line."""


def name_of(record):
    """What the fleet calls a budget, or all of one kind: the operator's word, and the tenant's name."""
    return f"{record.of}/{record.tenant}" if record.tenant else record.of


def tenants_of(agreement):
    """Names of those by whom commands are counted, by index: tenants, else profiles."""
    return [tenant.name for tenant in agreement.tenants] or [profile.name for profile in agreement.profiles]


def kind_of(budget):
    """The ledger's kind of a budget."""
    return ledger.HELD if budget in HELD else ledger.WINDOWED if budget in WINDOWED else ledger.WEIGHT


def window_of(record, budget, agreement):
    """The window in us; Unfit where nobody states one."""
    stated = {
        BudgetKind.RETRIES: agreement.retry_budget_window_us,
        BudgetKind.WARMUP: agreement.overload_window_us,
    }.get(budget, 0)
    if budget in WINDOWED and not (record.window or stated):
        raise Unfit(f"fleet.budgets: {record.of}: neither it nor the agreement states a window")
    return record.window or stated


def rules_of(records, agreement, drift):
    """({name or word: Budget} for the divider, {(budget, of what or None): Rule} for purses).

    drift: a share; windows and times to linger are lengthened by it, so that none is over too soon by a clock
    that runs fast.
    """
    budgets, rules, tenants = {}, {}, tenants_of(agreement)
    longest = max((profile.timeout_us for profile in agreement.profiles), default=0)
    for record in sorted(records, key=lambda record: record.tenant):  # those for each come first
        budget = OF[record.of]
        window = int(window_of(record, budget, agreement) * (1 + drift))
        linger = int((record.linger or longest + LINGER_US) * (1 + drift))
        if record.tenant and record.tenant not in tenants:
            raise Unfit(f"fleet.budgets: {record.tenant!r} is no tenant of the agreement")
        of_all = Budget(
            kind_of(budget),
            record.whole,
            window,
            linger,
            record.alone,
            record.members,
            record.floor,
            record.grain,
        )
        # What an earlier process in this one's place began alone has to be over before this one may.
        rule = Rule(
            of_all.kind,
            record.whole,
            window,
            int(SETTLE_US * (1 + drift)),
            record.alone,
            window if budget in WINDOWED else linger,
        )
        budgets[name_of(record)] = of_all
        if budget in EACH:
            rules[budget, None] = rule
        elif budget in TENANTS:
            rules |= {(budget, i): rule for i, name in enumerate(tenants) if record.tenant in ("", name)}
        else:
            rules[budget, 0] = rule
    return budgets, rules


class Budgets:
    """One member's side, and the divider's where this member owns that. All but what is said to be on the
    core's thread is called from the fleet's."""

    def __init__(self, fleet, record, agreement, clock):
        self.fleet, self.core, self.clock, self.look_us = fleet, fleet.core, clock, record.look
        budgets, rules = rules_of(record.budgets, agreement, record.drift.rate)
        names = tenants_of(agreement)
        self.purses = Purses(
            rules,
            lambda budget, of: f"{WORDS[budget]}/{names[of] if budget in TENANTS else of}",
            fleet.membership.lease,
            clock,
            lambda: fleet.post(self.rush),
        )
        self.teller, fleet.role_states[duty.DUTY] = Teller(LEAST_US), duty.Dividing(budgets)
        self.lease, self.told, self.cut = 0, {}, False  # reports are for this lease; parts as last told
        self.revision = 0  # of our report, as the register has it
        self.look_at, self.looked_at, self.writing, self.known = 0, 0, False, False
        self.pending = []  # what the core's thread is to be told
        self.leaving, self.given_back = False, False
        self.core.fences.append(self.purses)
        self.core.post_urgent(self._on_core, [])  # before the first command: parts bind from the start
        self.looking = True

    def start(self, follow):
        """follow: Fleet.watch."""
        self.rows = follow("parts", f"{duty.PARTS}{self.fleet.name}/", self.row_changed, self.row_missed)
        self.fleet.watch_role(duty.DUTY, "reports", duty.ASKS)

    # On the core's thread

    def _on_core(self, pending):
        for lease, write, row in pending:
            self.purses.fresh(lease)
            self.purses.told(lease, write, row)
        self.core.apply_budgets(self.purses, self._counted)

    def _list_call(self, answer):
        part = self.purses(BudgetKind.DISCOVERY_CALLS, 0)
        may = part is None or part.allows(1)
        if part is not None:
            part.acquire(1) if may else part.record_rejection(1)
        answer.put(may)

    def _counted(self, lacks):
        purses, told = self.purses, self.purses.report(lacks)
        cut, purses.cut = purses.cut, False
        self.fleet.post(self.counted, purses.under, purses.seen, cut, told, purses.parts())

    # On the thread that follows the list

    def may_call_lists(self):
        """Whether the list's service may be called now; counted if so. Waits for the core, not longer than a
        moment."""
        answer = SimpleQueue()
        self.core.post_urgent(self._list_call, answer)
        try:
            return answer.get(timeout=PATIENCE_S)
        except Empty:  # it comes later: counted, and not made
            return False

    # On the fleet's thread

    def due(self, now):
        """When to step() at the latest."""
        if self.looking:
            return now + IDLE_STEP_US
        return now if self.pending else self.look_at

    def step(self, now):
        """Look at what is used, and tell it."""
        lease = self.fleet.membership.lease
        if lease.id and lease.id != self.lease:
            self.lease, self.known, self.told, self.revision = lease.id, False, {}, 0
            self.teller.forget()
            self.pending.append((lease.id, 0, {}))
        if not self.looking and (self.pending or now >= self.look_at):
            pending, self.pending, self.looking = self.pending, [], True
            self.core.post_urgent(self._on_core, pending)
        if self.leaving and self.core.ended and not self.given_back:
            self._give_back()

    def rush(self):
        """Something runs dry: look as soon as may be."""
        self.look_at = min(self.look_at, self.looked_at + self.look_us)

    def leave(self):
        """In good order: the lease is kept until all is given back."""
        self.leaving = True
        if not self.given_back:
            self.fleet.membership.set_busy(duty.DUTY + "/spent", True)

    def counted(self, under, seen, cut, told, parts):
        """What the core's thread counted."""
        now = self.clock()
        back = (
            self.cut
            or cut
            or self.leaving
            or any(out > parts.get(name, 0) for name, (out, *_) in told.items())
        )
        self.looking, self.cut = False, self.cut or cut
        self.looked_at, self.look_at = now, now + self.look_us * (1 if back else CALM)
        if under != self.lease or not self.fleet.membership.lease.is_valid(now) or self.given_back:
            return
        if self.leaving:
            told = {name: (out, used, 0) for name, (out, used, _) in told.items()}
        if not self.writing and self.teller.worth(now, seen, self.cut, told, parts):
            self.teller.written(now, seen, told)
            self.cut, self.writing = False, True
            self.lane("reports").put(self._report(seen, told), self.reported, self.lease)

    def _key(self):
        return f"{self.fleet.name}/{self.lease:x}"

    def _report(self, seen, told, left=False):
        """Compared with the last one: a call that was given up can't put an older word over a newer."""
        key, lease = duty.ASKS + self._key(), 0 if left else self.lease  # the last one stays till it is read
        text = duty.report_text(seen, told, left)
        return Transaction(((key, self.revision),), (Put(key, text, lease),), (Get(key),))

    def _give_back(self):
        """The last word, when the core's thread has ended and nothing is spent any more: what may still run,
        and what was spent within a window."""
        self.given_back, purses = True, self.purses
        if self.known and purses.under == self.lease:
            self.lane("reports").put(self._report(purses.seen, purses.report(()), True), self.gave_back)
        else:
            self.gave_back(None)

    def gave_back(self, _reply):
        """The lease may go. Where the word was not taken, it ends as one of a member that was killed."""
        self.fleet.membership.set_busy(duty.DUTY + "/spent", False)

    def reported(self, lease, reply):
        """A report's reply."""
        self.writing = False
        if lease != self.lease:
            return
        if (
            reply.proof != Proof.DONE or not reply.succeeded
        ):  # what stands is compared with from now on, and told anew
            self.revision = reply.items[0].revision if reply.items else 0
            self.teller.forget()
            return
        self.revision = reply.revision
        if not self.known:
            self.known = True
            self.lane("reports").put(ReadPrefix(f"{duty.PARTS}{self._key()}"), self.rows_read, lease)

    def rows_read(self, lease, reply):
        """Our row as it stood when we joined, or when changes were missed."""
        if lease != self.lease:
            return
        if reply.proof != Proof.DONE:
            self.known = False  # with the next report it is read again
            self.teller.forget()
            return
        self.rows.follow(reply.revision + 1)
        for item in reply.items:
            self.row_changed(item.key, item.value, item.revision)

    def row_changed(self, key, value, _revision):
        """A row under our name changed."""
        if value is None or key != duty.PARTS + self._key():
            return
        write, row = duty.row_of(value)
        parts = {name: duty.part_in(packed) for name, packed in row.items()}
        if parts != self.told:
            changed = {
                name: parts.get(name, 0)
                for name in self.told.keys() | parts.keys()
                if parts.get(name, 0) != self.told.get(name, 0)
            }
            self.fleet.log_event("debug", "parts", write=write, parts=changed)
        self.told = parts
        self.pending.append((self.lease, write, parts))

    def row_missed(self):
        """Changes of our row were missed."""
        self.lane("reports").put(ReadPrefix(f"{duty.PARTS}{self._key()}"), self.rows_read, self.lease)

    def lane(self, name):
        """A lane of the fleet's."""
        return self.fleet.lanes[name]
