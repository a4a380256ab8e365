"""A member's policy, carried out: what passes between the fleet's thread, the core and the register.

The core asks the gate at each send and waits for nothing: what it is to go by, or to stop for, comes as a
post, and the fleet's thread hears when it has.
"""

import time

from gullhold.budgets.allocator_role import ROLE as BUDGETS
from gullhold.budgets.budget_rules import BUDGET_KINDS, budget_name
from gullhold.rollout import change, member, snapshot
from gullhold.rollout import record as records
from gullhold.rollout.record import FIRST, Unfit

PLAN = "schedule/"  # before the name of a scheduled command, among duties
LANES = ("words", change.DUTY)  # of calls: neither waits for the other
MILLION = 1_000_000


class Policies:
    """One member's side, and the carrier's where this member owns that. All but what is said to be on the
    core's thread is called from the fleet's."""

    def __init__(self, fleet, record, agreement, clock, guaranteed_us):
        self.fleet, self.core, self.agreement = fleet, fleet.core, agreement
        self.clock, self.record = clock, record.policy
        # Of the operator's files: {name or word: (whole, kept back)}.
        self.budgets = {budget_name(item): (item.whole, item.alone * item.members) for item in record.budgets}
        self.schedules = [item.name for item in record.schedule]
        door = self.core.door
        self.clients = {name.decode(): weight for name, weight in door.client_weights.items()} if door else {}
        self.gate = member.Gate(fleet.membership.lease, clock, guaranteed_us, self.record.cut)
        self.member = member.Member(fleet.name, self.gate, self.fits, self._figures)
        fleet.role_states[change.DUTY] = change.Carrier()
        self.lowest = {}  # wholes while a change is open: neither old nor new parts sum to more than either
        self.given = None
        self.core.fences.append(self.gate)
        self._adopt(0, FIRST)  # before the first command: the gate is shut
        self._by_snapshot()

    def _by_snapshot(self):
        found = snapshot.read(self.record.snapshot) if self.record.snapshot else None
        if not found or not self.record.spare:
            return
        record, at_us = found
        age_us = time.time_ns() // 1000 - at_us
        left = self.record.spare - age_us
        self.fleet.log_event(
            "warning",
            "a snapshot",
            number=record.number,
            age_s=round(age_us / MILLION, 1),
            used_for_s=round(max(0, left) / MILLION, 1),
        )
        if left > 0 and not self.fits(record):
            self.gate.spare_until = self.clock() + left
            self._adopt(0, record)

    def fits(self, record):
        """What is wrong with a record here, one line; "": nothing."""
        try:
            policy = records.read(record.text, f"policy {record.number}")
            return records.check(policy, self.agreement, self.budgets, self.schedules, bool(self.core.door))
        except Unfit as fault:
            return str(fault)

    def _figures(self):
        """Commands answered, failed or shed, and us that answers took; counted by the core."""
        counts = self.core.counters.counts
        return counts["answered"], counts["failed"] + counts["shed"], counts["answered us"]

    def start(self, follow):
        """follow: Fleet.watch."""
        self.now = follow("policy", change.NOW, self._changed, self._missed)
        self.fleet.watch_role(change.DUTY, "words", change.ROOT)

    def step(self, now):
        """Go on with whatever is next."""
        lease = self.fleet.membership.lease
        self.member.step(now, lease.id if lease.is_valid(now) else 0)
        self.carry()

    def due(self, now):
        """When to step() at the latest."""
        return self.member.due(now)

    def carry(self):
        """What the member wants done."""
        while out := self.member.take_actions():
            for what, *told in out:
                if what == member.CALL:
                    self.fleet.lanes["words"].put(told[1], self._replied, told[0])
                elif what == member.ADOPT:
                    self._adopt(*told)
                elif what == member.STOP:
                    self.core.post_urgent(self._stopped, told[0])
                elif what == member.FOLLOW:
                    self.now.follow(told[0])
                else:
                    level, text, facts = told
                    self.fleet.log_event(level, "policy: " + text, **facts)
        self._resize()

    def _adopt(self, serial, record):
        policy = records.read(record.text, f"policy {record.number}")
        terms = records.for_module(policy, self.agreement)
        door = records.shares_of(policy, self.agreement), self.clients | policy.clients
        wholes = records.wholes(policy, self.budgets)
        self.core.post_urgent(self._on_core, serial, terms, wholes, door, record.number)
        for name in self.schedules:
            self.fleet.scheduled_commands[PLAN + name].off = not policy.schedules.get(name, True)
        if serial and self.record.snapshot and not self.member.trial:
            try:
                snapshot.write(self.record.snapshot, record, time.time_ns() // 1000)
            except OSError as fault:
                self.fleet.log_event("warning", "policy: no snapshot", why=str(fault))

    # Events on the fleet's thread

    def _replied(self, serial, reply):
        self.member.replied(self.clock(), serial, reply)

    def _adopted(self, serial):
        self.member.adopted(self.clock(), serial)

    def _heard_stopped(self, number):
        self.member.stopped(self.clock(), number)

    def _changed(self, key, value, revision):
        self.member.changed(self.clock(), key, value, revision)

    def _missed(self):
        self.member.missed(self.clock())

    # On the core's thread

    def _on_core(self, serial, terms, wholes, door, number):
        if self.fleet.budgets:
            named = [(*name.partition("/"), whole) for name, whole in wholes.items()]
            self.fleet.budgets.allocations.resize(
                {(BUDGET_KINDS[word], tenant): whole for word, _, tenant, whole in named}
            )
        self.core.apply_policy(terms, self.gate, *door)
        self.core.counters.add(f"policy {number}")
        self.fleet.post(self._adopted, serial)

    def _stopped(self, number):
        """The gate is closed, and asked at each send: from here on none goes."""
        self.fleet.post(self._heard_stopped, number)

    # The divider goes by the lowest while a change is open

    def _resize(self):
        opened, record = self.member.change, self.member.record
        stands = record.number, opened and (opened.record.number, opened.state)
        if not self.fleet.budgets or stands == self.given:
            return
        self.given = stands
        current = records.wholes(records.read(record.text), self.budgets)
        if opened is None or opened.state == change.DROPPED:
            self.lowest = current
        elif opened.state in (change.CHECKED, change.PREPARED) and not self.fits(opened.record):
            new = records.wholes(records.read(opened.record.text), self.budgets)
            self.lowest = {
                name: min(whole, new[name], self.lowest.get(name, whole)) for name, whole in current.items()
            }
        self.fleet.role_states[BUDGETS].resize(
            self.lowest
        )  # where it is decided: as it was, until all go by it
