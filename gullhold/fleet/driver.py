"""What carries a member's decisions out: one thread that decides, a few that wait for the register.

The core never waits for any of them: commands of the fleet's own reach it as posts, and answers come back as
posts. A register that is away costs pauses here and nothing there.
"""

import random
import time
from queue import Empty, SimpleQueue
from threading import Event

from loguru import logger

from gullhold.budgets import duty as dividing
from gullhold.budgets.driver import LANES, Budgets, Unfit
from gullhold.fleet import membership, schedule
from gullhold.fleet.calendar import Bad, Calendar
from gullhold.fleet.errands import Desk
from gullhold.fleet.lease import MILLION, LeaseTerms
from gullhold.fleet.pace import Pauses
from gullhold.fleet.register import Register
from gullhold.fleet.role_state import LogEvent, ReadKeys, WatchKeys, WriteKeys
from gullhold.fleet.store_calls import Proof, Put, ReadPrefix
from gullhold.fleet.watch import Watcher
from gullhold.interface import DeduplicationScope
from gullhold.net.request_reader import RequestReader
from gullhold.net.startup import start_thread
from gullhold.rollout.member_rollout import LANES as POLICY_LANES
from gullhold.rollout.member_rollout import MemberRollout
from gullhold.rollout.store_schema import ROLE as ROLLOUT_ROLE

KEYS = "/gullhold/"  # before a fleet's name: other programs may use the register too
PLAN, BEAT = "schedule/", "beat/"  # duties, by what they are for
BEATS = "beats/"  # keys of what beats write
IDLE_S = 0.5  # s, the longest sleep of the deciding thread: a clock that jumps is noticed by then
QUIET_LEASES = 2  # lease times for which a watch may say nothing before it is opened anew
LEAST_S = 0.002  # s, the shortest: what is due at once and can't be done now does not spin


class Unusable(Exception):
    """A fleet record that does not fit the agreement; the text is one plain line."""


def clock():
    """Monotonic us: what leases are counted by."""
    return int(time.monotonic() * MILLION)


def unix():
    """Unix us: what calendars are counted by."""
    return time.time_ns() // 1000


class Lane:
    """A thread that carries out requests one after another, on a session of its own."""

    def __init__(self, name, make, tell):
        self.make, self.tell, self.queue = make, tell, SimpleQueue()
        start_thread(self._run, f"fleet {name}")

    def put(self, request, *tag):
        """From the deciding thread: carry it out; tell(*tag, reply) follows."""
        self.queue.put((request, tag))

    def _run(self):
        session = self.make()
        while True:
            request, tag = self.queue.get()
            self.tell(*tag, session.call(request))


class Beats:
    """Duties that write who owns them, each in its own time: staff see that all of it works."""

    def __init__(self, fleet, period_us):
        self.fleet, self.period_us, self.next, self.out = fleet, period_us, {}, set()

    def won(self, duty, _token, now):
        """Begin at once."""
        self.next[duty] = now

    def gone(self, duty):
        """Stop."""
        self.next.pop(duty, None)

    def due(self):
        """When to step()."""
        return min(self.next.values(), default=None)

    def step(self, now):
        """Write those whose time has come; one write of a duty is out at a time."""
        for duty, at in self.next.items():
            if at <= now and duty not in self.out:
                token = self.fleet.membership.fencing_token(duty, now)
                if token:
                    self.out.add(duty)
                    value = f'{{"duty": "{duty}", "token": {token}, "by": "{self.fleet.membership.name}"}}'
                    acts = (Put(BEATS + duty, value),)
                    self.fleet.work.put(
                        self.fleet.membership.fenced_transaction(duty, token, acts), "beaten", duty, token
                    )
            if at <= now:
                self.next[duty] = now + self.period_us

    def beaten(self, duty, token, reply):
        """A write's reply."""
        self.out.discard(duty)
        self.fleet.refused(duty, token, reply)


class Fleet:
    """A member of a fleet, from start() until leave() is done."""

    def __init__(self, record, configuration, core):
        self.record, self.core, self.name = record, core, configuration.name or configuration.listen_address
        # The seed is this start's own; the nonce tells two processes of one name apart.
        self.chance = random.Random(configuration.seed ^ time.time_ns())
        self.queue, self.gone = SimpleQueue(), Event()
        timeout_s = record.timeout / MILLION
        self.make = lambda: Register(record.register_, f"{KEYS}{record.name}/", timeout_s)
        terms = LeaseTerms(record.lease // MILLION, record.drift.rate, record.drift.margin)
        rule = membership.Rule(
            terms,
            record.duties.settle,
            record.duties.moves,
            record.duties.pauses.least,
            record.duties.pauses.most,
            record.duties.leaving,
        )
        self.plans = {PLAN + item.name: self._plan(item, configuration.agreement) for item in record.schedule}
        self.commands = {PLAN + item.name: item for item in record.schedule}
        duties = [*self.plans, *(f"{BEAT}{i}" for i in range(record.duties.beats))]
        duties += [dividing.DUTY] if record.budgets else []
        duties += [ROLLOUT_ROLE] if record.policy.on else []
        self.membership = membership.Membership(
            self.name, f"{self.chance.getrandbits(64):016x}", rule, duties, self.chance.random, clock()
        )
        self.beats = Beats(self, record.duties.beat)
        self.desk = Desk(
            core,
            RequestReader(configuration.agreement),
            lambda *told_: self.queue.put(("answered", *told_)),
            self.chance.getrandbits,
        )
        self.asked = {}  # commands that are out: their duty
        self.away_since = None  # since when the register does not answer
        self.held, self.watchers = {}, {}  # by duty: what holds its keys; what follows them
        try:
            self.budgets = Budgets(self, record, configuration.agreement, clock) if record.budgets else None
        except Unfit as fault:
            raise Unusable(str(fault)) from None
        self.policies = None
        if record.policy.on:
            self.policies = MemberRollout(self, record, configuration.agreement, clock, terms.guaranteed_us())

    def _plan(self, item, agreement):
        names = [profile.name for profile in agreement.profiles]
        where = f"fleet.schedule {item.name!r}"
        if item.profile not in names:
            raise Unusable(f"{where}: {item.profile!r} is no profile of the agreement")
        if agreement.tenants and item.tenant not in [tenant.name for tenant in agreement.tenants]:
            raise Unusable(f"{where}: {item.tenant!r} is no tenant of the agreement")
        profile = agreement.profiles[names.index(item.profile)]
        try:
            calendar = Calendar(item.at, item.zone, item.every)
        except Bad as fault:
            raise Unusable(f"{where}: {fault}") from None
        rule = schedule.Rule(
            item.name, item.window, item.tries, item.overlap == "wait", self.record.drift.skew
        )
        kind = schedule.Kind(
            profile.idempotency,
            profile.timeout_us,
            profile.dedup_window_us,
            profile.dedup_scope == DeduplicationScope.FLEET,
        )
        return schedule.Plan(rule, kind, calendar, self.name)

    # From other threads

    def start(self):
        """Begin, in threads of its own."""
        if self.record.events:
            logger.add(self.record.events, serialize=True, filter=lambda line: "fleet" in line["extra"])
        self.lanes = {
            name: Lane(name, self.make, lambda *told: self.queue.put(told))
            for name in (
                membership.LEASE,
                membership.STATE,
                "work",
                *(LANES if self.budgets else ()),
                *(POLICY_LANES if self.policies else ()),
            )
        }
        self.work, self.members = self.lanes["work"], self._watcher("members", membership.MEMBERS, "changed")
        for part in (self.budgets, self.policies):
            if part:
                part.start(self._watcher)
        start_thread(self._run, "fleet")

    def _watcher(self, name, prefix, what, *of):
        """Changes of these keys come as this event; where some were missed, as `missed` with its name."""
        pauses = Pauses(self.record.duties.pauses.least, self.record.duties.pauses.most, self.chance.random)
        return Watcher(
            name,
            self.make,
            prefix,
            QUIET_LEASES * self.record.lease / MILLION,
            pauses,
            lambda *told: self.queue.put((what, *of, *told)),
            lambda: self.queue.put(("missed", what, *of)),
        )

    def leave(self):
        """SIGTERM: give back in good order; `gone` is set when that is done."""
        self.queue.put(("leave",))

    # The deciding thread

    def _run(self):
        self.membership.tick(clock())
        while self.membership.state != membership.OUT:
            self._guarded(self._carry_out)
            try:
                what, *told = self.queue.get(timeout=self._sleep_s())
                self._guarded(getattr(self, "_on_" + what), *told)
            except Empty:
                pass
            self._guarded(self.membership.tick, clock())
            for duty, plan in self.plans.items():
                self._guarded(self._step_plan, duty, plan)
            self._guarded(self.beats.step, clock())
            for part in (self.budgets, self.policies):
                if part:
                    self._guarded(part.step, clock())
            for duty, holder in self.held.items():
                self._guarded(self._step_held, duty, holder)
        self._guarded(self._carry_out)
        self.gone.set()

    def _guarded(self, call, *args):
        """A fault of ours is logged and counted, and takes nothing else along."""
        try:
            call(*args)
        except Exception:
            self.core.counters.add("faults of ours")
            logger.exception("fleet: {} failed", getattr(call, "__name__", call))

    def _sleep_s(self):
        now, unix_now = clock(), unix()
        waits = [self.membership.due(now) - now, (self.beats.due() or now + MILLION) - now]
        waits += [part.due(now) - now for part in (self.budgets, self.policies) if part]
        waits += [holder.due(now) - now for holder in self.held.values()]
        waits += [plan.due(unix_now) - unix_now for plan in self.plans.values() if plan.token]
        return max(LEAST_S, min(IDLE_S, min(waits) / MILLION))

    def _step_plan(self, duty, plan):
        plan.step(unix())
        self._carry_plan(duty, plan)

    def _carry_out(self):
        """What the owner wants done."""
        while out := self.membership.take_actions():
            for what, *told in out:
                if what == membership.CALL:
                    self.lanes[membership.lane_of(told[0].request)].put(told[0].request, "replied", told[0])
                elif what == membership.WON:
                    self._won(*told)
                elif what == membership.GONE:
                    self._lost(*told)
                elif what == membership.WATCH:
                    self.members.follow(told[0])
                else:
                    self.event("info", told[0], **told[1])

    def _won(self, duty, token):
        self.event("info", "owns", duty=duty, token=token)
        if duty in self.plans:
            self.plans[duty].won(token, unix())
            self._carry_plan(duty, self.plans[duty])
        elif duty.startswith(BEAT):
            self.beats.won(duty, token, clock())
        else:
            self.held[duty].won(token, clock())

    def _lost(self, duty, why):
        self.event("info", "owns no more", duty=duty, why=why)
        if duty in self.plans:
            self.plans[duty].gone()
            self._carry_plan(duty, self.plans[duty])
        elif duty.startswith(BEAT):
            self.beats.gone(duty)
        else:
            self.held[duty].lost()

    def _step_held(self, duty, holder):
        """Go on with a duty's keys, and do what is wanted."""
        holder.step(clock())
        while out := holder.take_actions():
            for action in out:
                match action:
                    case ReadKeys(serial, prefix):
                        self.lanes[duty].put(ReadPrefix(prefix), "duty_read", duty, serial)
                    case WriteKeys(serial, token, operations, conditions):
                        request = self.membership.fenced_transaction(duty, token, operations, conditions)
                        self.lanes[duty].put(request, "duty_written", duty, serial, token)
                    case WatchKeys(revision):
                        self.watchers[duty].follow(revision)
                    case LogEvent(level, text, facts):
                        self.event(level, text, duty=duty, token=holder.token, **facts)

    def _carry_plan(self, duty, plan):
        """What a scheduled command wants done."""
        while out := plan.take_actions():
            for what, *told in out:
                if what == schedule.READ:
                    self.work.put(ReadPrefix(told[0]), "plan_read", duty)
                elif what == schedule.WRITE:
                    serial, token, acts, when = told
                    self.work.put(
                        self.membership.fenced_transaction(duty, token, acts, when),
                        "plan_written",
                        duty,
                        serial,
                        token,
                    )
                elif what == schedule.BUSY:
                    self.membership.set_busy(duty, told[0])
                elif what == schedule.SEND:
                    self._send(duty, plan, *told)
                else:
                    level, text, facts = told
                    self.event(level, "occurrence " + text, **facts)

    def _send(self, duty, plan, due, tries, mark, at, limit_us):
        self.event("info", "occurrence sent", duty=duty, due=due, tries=tries, token=plan.token, mark=mark)
        number, why = self.desk.ask(self.commands[duty], limit_us, at, mark, tries > 1)
        if number is None:
            plan.ended(unix(), schedule.UNDONE, why)
        else:
            self.asked[number] = duty

    def event(self, level, text, **facts):
        """A line for staff, with its facts as fields."""
        fields = {"fleet": self.record.name, "member": self.name, "event": text, **facts}
        logger.bind(**fields).log(
            level.upper(),
            "fleet: {}{}",
            text,
            "".join(f"; {name} {value}" for name, value in facts.items() if value not in ("", None)),
        )

    def refused(self, duty, token, reply):
        """Say so where the register refused an effect."""
        if reply.proof == Proof.DONE and not reply.succeeded:
            self.event("warning", "late effect refused", duty=duty, token=token)

    # What comes to the deciding thread

    def _on_replied(self, call, reply):
        now = clock()
        if reply.proof == Proof.DONE and self.away_since is not None:
            away_s = round((now - self.away_since) / MILLION, 1)
            self.event("warning", "the register answers again", after_s=away_s)
            self.away_since = None
        elif reply.proof != Proof.DONE and self.away_since is None:
            self.away_since = now
            self.event("warning", "the register does not answer; served on as if alone", proof=reply.proof)
        self.membership.reply(now, call, reply)

    def _on_changed(self, key, value, revision):
        self.membership.changed(clock(), key, value, revision)

    def _on_missed(self, what, duty=""):
        if what == "changed":
            self.membership.watch_lost(clock())
        elif what == "duty_changed":
            self.held[duty].missed(clock())
        elif what == "policy_changed":
            self.policies.member.missed(clock())
        else:
            self.budgets.row_missed()

    def _on_leave(self):
        if self.budgets:
            self.budgets.leave()
        for plan in self.plans.values():
            plan.leave()
        self.membership.leave(clock())

    def _on_beaten(self, duty, token, reply):
        self.beats.beaten(duty, token, reply)

    def _on_plan_read(self, duty, reply):
        self.plans[duty].read(unix(), reply)

    def _on_plan_written(self, duty, serial, token, reply):
        self.refused(duty, token, reply)
        may_act = self.membership.fencing_token(duty, clock()) == token
        self.plans[duty].written(unix(), serial, reply, may_act)

    def _on_answered(self, number, state, why):
        duty = self.asked.pop(number, None)
        if duty:
            self.plans[duty].ended(unix(), state, why)

    def _on_duty_changed(self, duty, key, value, revision):
        self.held[duty].changed(clock(), key, value, revision)

    def _on_duty_read(self, duty, serial, reply):
        self.held[duty].read(clock(), serial, reply)

    def _on_duty_written(self, duty, serial, token, reply):
        self.refused(duty, token, reply)
        self.held[duty].written(clock(), serial, reply)

    # Budgets

    def _on_rush(self):
        self.budgets.rush()

    def _on_counted(self, *told):
        self.budgets.counted(clock(), *told)

    def _on_reported(self, lease, reply):
        self.budgets.reported(lease, reply)

    def _on_rows_read(self, lease, reply):
        self.budgets.rows_read(lease, reply)

    def _on_row_changed(self, key, value, revision):
        self.budgets.row_changed(key, value, revision)

    def _on_gave_back(self, reply):
        self.budgets.gave_back(reply)

    # Policy

    def _on_policy_replied(self, serial, reply):
        self.policies.member.replied(clock(), serial, reply)

    def _on_adopted(self, serial):
        self.policies.member.adopted(clock(), serial)

    def _on_stopped(self, number):
        self.policies.member.stopped(clock(), number)

    def _on_policy_changed(self, key, value, revision):
        self.policies.member.changed(clock(), key, value, revision)
