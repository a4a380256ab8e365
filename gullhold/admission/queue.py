"""The door: who waits, who goes on to the module and when, who is turned away and told when to come back.

Free of I/O and of sockets; one owner calls it, each call with the time in whole microseconds. Results are
Forward, to pass the command on to the decision module, and Reject, its final answer: a shed, which is always
true here since the command never went out.

What the door turns away is a limit of its own: its queues are full, or the command's time is up. What the
module holds, sends, sends again or turns away stays the module's.
"""

from collections import OrderedDict, deque
from enum import IntEnum
from heapq import heapify, heappop, heappush
from itertools import islice
from random import Random

from gullhold.admission.fair_queue import IDLE, FairQueue
from gullhold.admission.flows import Queues
from gullhold.admission.retry_after import Promises
from gullhold.admission.sketch import WIDTH, Sketch
from gullhold.admission_interface import Forward, KnownRejection, Reject, RejectedFlow


class CommandState(IntEnum):
    """Where a command is between its arrival and its end."""

    BLOCKED = 0  # behind an earlier command of its ordering key
    QUEUED = 1  # in its flow's queue
    FORWARDED = 2  # with the decision module, no attempt is open
    RUNNING = 3  # an attempt is open
    ENDED = 4


NEXT_STATES = {
    CommandState.BLOCKED: (CommandState.QUEUED, CommandState.ENDED),
    CommandState.QUEUED: (CommandState.FORWARDED, CommandState.ENDED),
    CommandState.FORWARDED: (CommandState.RUNNING, CommandState.ENDED),
    CommandState.RUNNING: (CommandState.FORWARDED, CommandState.ENDED),
    CommandState.ENDED: (),
}
STATES_IN_QUEUE = (CommandState.BLOCKED, CommandState.QUEUED)  # the decision module has not heard of it

MARGIN_US = 40_000  # us before its client timeout at which it is answered: two looks, a crossing
FREE_PART = 0.5  # part of the free room that one flow may fill: room is left for others, always
EASE = 0.1  # weight of the newest answer in a flow's bias
BIAS = (0.1, 10.0)  # bounds of what an estimate may be off by: as far as estimates are known to lie
FIRST_WORK = 50_000.0  # us of work of a command that states none, before any answer told
HEAVY = 0.5  # part of an even share among exact flows that makes a flow heavy, were all taken
NOISE = 2.8  # of all work over the sketch's width: an estimate that may be of others alone
SHUT_US = 50_000  # us for which a flow is shut to newcomers at the most: little of any target
LOOK = (2, 4)  # tenants, and flows of each, looked at for what may be forgotten at one event
COMPACT = 1024  # rows of the time table that are never worth a clean-up


class QueuedCommand:
    """One command from its arrival to its end; changes state only in AdmissionQueue._move."""

    __slots__ = (
        "charged",
        "cost",
        "flow",
        "number",
        "key",
        "last_at",
        "name",
        "order",
        "profile",
        "queues",
        "ran",
        "size",
        "state",
        "work",
    )

    def __init__(self, number, order, profile, key, work, size, last_at, name):
        self.number, self.order, self.profile, self.key, self.work = number, order, profile, key, work
        self.size, self.last_at, self.name = size, last_at, name
        self.state, self.flow, self.queues = CommandState.BLOCKED, None, None
        self.charged, self.ran, self.cost = 0.0, False, 0


class AdmissionQueue:
    """Fair queues in front of one module.

    rule: a DoorRecord of the operator file; weights: shares of the agreement's tenants by index (empty: one
    tenant); profiles: the agreement's; come_back_us: the most that the agreement lets a client be told (0:
    not stated).
    """

    def __init__(self, seed, rule, weights, profiles, come_back_us, now):
        self.rule, self.profiles = rule, profiles
        self.random = Random(seed)
        back = rule.come_back
        most = min(back.most, come_back_us) if come_back_us else back.most
        self.promises = Promises(
            min(back.least, most), most, back.spread, back.grace, back.each, back.all, self.random.random
        )
        self.usual = 0.0
        self.root, self.by_slot, self.tenants = FairQueue(FIRST_WORK), {}, OrderedDict()
        self.commands, self.commands_by_key, self.due, self.forwarded_by_lane = {}, {}, [], {}
        self.queued_count, self.queued_bytes, self.forwarded_count, self.order, self.exact_flow_count = (
            0,
            0,
            0,
            0,
            0,
        )
        self.sketch, self.epoch, self.redeal_at = Sketch(self._salt()), 0, now + rule.redeal
        self.now = now
        self.set_weights(weights, rule.weights)
        # (tenant, name, profile): until when its newcomers are turned away with no word; the first promise of
        # its flow. Read by other threads: entries are replaced whole, never changed.
        self.known_rejections = {}

    # Events

    def submit(self, now, number, tenant, name, profile, key, work, size, timeout_at, repeat):
        """A command came. tenant: index; name: its flow's, bytes; work: us; size: bytes it holds here."""
        self.now = now
        self._redeal(now)
        self.order += 1
        work = float(work or self.usual or FIRST_WORK)
        command = QueuedCommand(
            number,
            self.order,
            profile,
            key if self.profiles[profile].ordered else 0,
            work,
            size,
            timeout_at - MARGIN_US,
            name,
        )
        queues = self._queues(tenant)
        flow, came_back = self._flow(queues, name, work, now, repeat)
        command.queues, command.flow = queues, flow
        command.work = work * flow.bias
        wait = self._wait(now, command)
        late = 0 if came_back else self._late(now, wait, command)
        if now >= command.last_at or late or self._full(flow, size):
            told = self._come_back(now, wait, command, repeat)
            if late and not told:
                self._record_rejection(command, now, late)
            return [Reject(number, told)]
        self.commands[number] = command
        self.queued_count, self.queued_bytes = self.queued_count + 1, self.queued_bytes + size
        self._remember(command)
        line = self.commands_by_key.setdefault((profile, command.key), deque()) if command.key else None
        if line is not None:
            line.append(command)
        flow.behind += 1
        if line is None or line[0] is command:
            self._enter(command, came_back)
        return []

    def take_ready(self, now):
        """What the module can make use of now: [Forward(number)]. To be called after every event."""
        self.now = now
        results = []
        while self.forwarded_count < self.rule.held and (slot := self.root.pick()) >= 0:
            queues = self.by_slot[slot]
            found = queues.next(self._open)
            if found is None:
                self.root.park(slot)
                continue
            flow, command = found
            self._charge(command, command.work)
            self._move(command, CommandState.FORWARDED)
            results.append(Forward(command.number))
            if self._open(queues.index, command.profile):
                self._opened(queues.index, command.profile)
        return results

    def attempt_sent(self, number):
        """The module sent it: it holds it no longer."""
        command = self.commands.get(number)
        if command is not None and command.state == CommandState.FORWARDED:
            self._move(command, CommandState.RUNNING)

    def attempt_ended(self, now, number, cost, ran):
        """A send ended; the module may hold the command again. cost: us, 0: not told; ran: may have."""
        self.now = now
        command = self.commands.get(number)
        if command is not None and command.state == CommandState.RUNNING:
            command.cost, command.ran = command.cost + cost, command.ran or ran
            self._move(command, CommandState.FORWARDED)

    def command_ended(self, now, number):
        """Nothing is owed for it and nothing is out: what it needed is known."""
        self.now = now
        command = self.commands.get(number)
        if command is None:
            return
        state = command.state
        self._move(command, CommandState.ENDED)
        if state in (CommandState.FORWARDED, CommandState.RUNNING):
            if command.cost:
                self._learn(command)
                self._charge(command, command.cost - command.charged)
            elif not command.ran:  # it cost the engines nothing
                self._charge(command, -command.charged)
        self._tidy(now)

    def is_queued(self, number):
        """Whether it is still here, so that the module has never heard of it."""
        command = self.commands.get(number)
        return command is not None and command.state in STATES_IN_QUEUE

    def expire(self, now):
        """What is due at its client timeout is answered: [Reject(number, retry_after_us)]."""
        self.now = now
        results = []
        while self.due and self.due[0][0] <= now:
            _, _, command = heappop(self.due)
            if command.state in STATES_IN_QUEUE:
                results.append(self._turn_away(command, now))
        self._redeal(now)
        self._tidy(now)
        return results

    def reject_all(self, now):
        """The gateway leaves: all that waits is turned away, with no time to come back to this one."""
        self.now = now
        return [
            Reject(command.number, 0)
            for command in list(self.commands.values())
            if command.state in STATES_IN_QUEUE and not self._move(command, CommandState.ENDED)
        ]

    def retry_after_us(self, now, number):
        """What a client whose command the module turned away may be told: us, 0: nothing."""
        command = self.commands.get(number)
        if command is None:
            return 0
        return self._come_back(now, self._wait(now, command), command, False)

    def set_weights(self, tenant_weights, client_weights):
        """New weights, also for flows that are backlogged; what was used stays used."""
        least = min((w for w in tenant_weights if w > 0), default=1.0)
        self.weights = [w / least if w > 0 else 1.0 for w in tenant_weights] or [1.0]
        self.client_weights = {name.encode(): weight for name, weight in client_weights.items()}
        for queues in self.tenants.values():
            self.root.reweigh(queues.slot, self.weights[queues.index])
            for flow in queues.flows.values():
                if flow.names is None:
                    queues.fair.reweigh(flow.slot, self._weight(flow.key))

    # State

    def _move(self, command, to):
        """Every change of a command's state, and the counts that hang on it."""
        assert to in NEXT_STATES[command.state], f"command {command.number}: {command.state} to {to}"
        left, lane = command.state, (command.queues.index, command.profile)
        command.state = to
        command.flow.behind -= left == CommandState.BLOCKED
        if to == CommandState.QUEUED:
            return
        if left == CommandState.QUEUED:
            command.queues.take(self.now, command.flow, command, to == CommandState.FORWARDED)
            if not command.queues.queued:
                self.root.leave(command.queues.slot)
        if left in STATES_IN_QUEUE:
            self.queued_count, self.queued_bytes = self.queued_count - 1, self.queued_bytes - command.size
            if command.key:
                self._next_in_line(command)
        step = (to == CommandState.FORWARDED) - (left == CommandState.FORWARDED)
        if step:
            self.forwarded_count += step
            held = self.forwarded_by_lane[lane] = self.forwarded_by_lane.get(lane, 0) + step
            if not held:
                del self.forwarded_by_lane[lane]
            if step < 0 and self._open(*lane):
                self._opened(*lane)
        if to == CommandState.ENDED:
            del self.commands[command.number]

    def _next_in_line(self, command):
        """Guards the order of a key: a later command enters its queue when the earlier has left the door."""
        line = self.commands_by_key[command.profile, command.key]
        line.remove(command)
        if not line:
            del self.commands_by_key[command.profile, command.key]
        elif line[0].state == CommandState.BLOCKED:
            self._enter(line[0], True)  # it has waited: not behind those that came after it

    def _enter(self, command, first):
        self._move(command, CommandState.QUEUED)
        queues = command.queues
        queues.put(self.now, command.flow, command, first, self._open(queues.index, command.profile))
        if self.root.state[queues.slot] == IDLE:
            self.root.join(queues.slot)
        elif queues.fair.ready:
            self.root.unpark(queues.slot)

    def _open(self, tenant, profile):
        """Whether the module can make use of more of this tenant's profile."""
        return self.forwarded_by_lane.get((tenant, profile), 0) < self.rule.window

    def _opened(self, tenant, profile):
        queues = self.tenants.get(tenant)
        if queues is not None and queues.queued:
            queues.opened(profile)
            if queues.fair.ready:
                self.root.unpark(queues.slot)

    def _turn_away(self, command, now):
        told = self._come_back(now, self._wait(now, command), command, False)
        self._move(command, CommandState.ENDED)
        return Reject(command.number, told)

    # Queues in bounded memory

    def _queues(self, tenant):
        found = self.tenants.get(tenant)
        if found is None:
            found = self.tenants[tenant] = Queues(tenant, self.root.add(self.weights[tenant]), FIRST_WORK)
            self.by_slot[found.slot] = found
        else:
            self.tenants.move_to_end(tenant)
        return found

    def _weight(self, key):
        return self.client_weights.get(key[2:], 1.0)

    def _flow(self, queues, name, work, now, repeat):
        """(the flow that this name's commands queue in now, whether it came back when told)."""
        flow = queues.flows.get(name)
        if flow is not None:
            queues.flows.move_to_end(name)  # it has a queue of its own: nothing is to be estimated
        else:
            recent, known = self.sketch.recent(), self.sketch.add(name, work)
            heavy = known > recent * max(NOISE / WIDTH, HEAVY * self.exact_flow_count / self.rule.exact**2)
            if (heavy or name[2:] in self.client_weights) and self._exact_room():
                flow = queues.flow(name, self._weight(name), shared=False)
                self.exact_flow_count += 1
        buckets = (
            ()
            if flow is not None and not repeat
            else [
                (epoch, self._bucket(name, salt))
                for epoch, salt in ((self.epoch, self.sketch.salt), (self.epoch - 1, self.sketch.last_salt))
            ]
        )
        if flow is None:
            flow = queues.flow(buckets[0], 1.0, shared=True)
        # It was told by the queue it was in then: its own, or a shared one, perhaps of the last agreement.
        books = [flow.book] + [queues.flows[key].book for key in buckets if key in queues.flows]
        return flow, repeat and any(self.promises.kept(book, now) for book in books)

    def _bucket(self, name, salt):
        return self.sketch.places(name, salt)[0] % self.rule.shared

    def _exact_room(self):
        """Whether one more flow may have a queue of its own; for it an idle one may go."""
        return self.exact_flow_count < self.rule.exact or any(
            self._idle(queues, flow) and flow.names is None and not self._forget(queues, flow)
            for queues in islice(self.tenants.values(), LOOK[0])
            for flow in self._oldest(queues)
        )

    @staticmethod
    def _oldest(queues):
        return list(islice(queues.flows.values(), LOOK[1]))

    @staticmethod
    def _idle(queues, flow):
        """Whether nothing waits in it or is to come to it, and nobody was told to come back to it."""
        return not flow.behind and queues.fair.state[flow.slot] == IDLE and not flow.book.open

    def _forget(self, queues, flow):
        self.exact_flow_count -= flow.names is None
        queues.forget(flow)

    def _tidy(self, now):
        """Guards memory: what is idle and owes nothing goes, and over a cap all that is idle.

        A little at each event, more than one event can add, in turn over all: nothing walks the tables.
        """
        for _ in range(min(LOOK[0], len(self.tenants))):
            index, queues = next(iter(self.tenants.items()))
            self.tenants.move_to_end(index)
            for flow in self._oldest(queues):
                self.promises.expire(flow.book, now)
                if self._idle(queues, flow) and (
                    queues.fair.settled(flow.slot) or len(queues.flows) > self.rule.exact
                ):
                    self._forget(queues, flow)
                else:
                    queues.flows.move_to_end(flow.key)
            if not queues.flows and (self.root.settled(queues.slot) or len(self.tenants) > self.rule.exact):
                self.root.drop(queues.slot)
                del self.tenants[index], self.by_slot[queues.slot]

    def _remember(self, command):
        heappush(self.due, (command.last_at, command.order, command))
        if len(self.due) > 2 * self.queued_count + COMPACT:  # guards against a table of commands long gone on
            self.due = [row for row in self.due if row[2].state in STATES_IN_QUEUE]
            heapify(self.due)

    def _salt(self):
        return self.random.getrandbits(128).to_bytes(16, "little")

    def _redeal(self, now):
        if now >= self.redeal_at:
            self.redeal_at, self.epoch = now + self.rule.redeal, self.epoch + 1
            self.sketch.redeal(self._salt())

    # Work

    def _charge(self, command, work):
        command.charged += work
        queues, flow = command.queues, command.flow
        if self.by_slot.get(queues.slot) is queues:
            self.root.charge(queues.slot, work)
            if queues.by_slot.get(flow.slot) is flow:
                queues.fair.charge(flow.slot, work)

    def _learn(self, command):
        """What an answer tells of its flow's estimates, and of commands at large."""
        flow, said = command.flow, command.work / command.flow.bias
        right = min(max(command.cost / max(said, 1.0), BIAS[0]), BIAS[1])
        flow.bias += EASE * (right - flow.bias)
        self.usual += EASE * (command.cost - self.usual) if self.usual else command.cost

    def _rate(self, now, command):
        """Work in a us that the command's flow gets of its profile while it is backlogged; 0: not known.

        From the drain of all that the tenant has of the profile, and the flow's part of the tenant.
        """
        return command.queues.drain(command.profile, now).rate(now) * command.queues.fair.share(
            command.flow.slot
        )

    def _wait(self, now, command):
        """Expected us until one that came now would go on; 0 where the drain is not known or none waits."""
        rate, backlog = self._rate(now, command), command.flow.backlog(command.profile)
        return (backlog + command.work) / rate if rate and backlog else 0.0

    def _late(self, now, wait, command):
        """By how many us a newcomer would wait too long, with those to come back let in before it; 0: not."""
        if not wait:
            return 0
        kind, flow = self.profiles[command.profile], command.flow
        target = kind.target_us + kind.target_stretch * command.work / kind.threads
        allowed = min(self.rule.patience * target, command.last_at - now)
        each = (
            wait * command.work / (flow.backlog(command.profile) + command.work)
        )  # us that one command takes
        coming = flow.book.within(now, allowed) * each
        return max(0, int(wait + min(coming, self.rule.come_back.part * allowed) - allowed))

    def _record_rejection(self, command, now, late):
        """Until its line has gone so far, newcomers of this name would be turned away alike: say so to those
        who read, so that they need not ask. Guards the one thread against a crowd that asks again at once.
        """
        if len(self.known_rejections) >= 2 * self.rule.exact:
            self.known_rejections = {
                key: told for key, told in self.known_rejections.items() if told.until_us > now
            }
        if len(self.known_rejections) < 2 * self.rule.exact:
            book = command.flow.book
            rejected = RejectedFlow(command.queues.index, command.name, command.profile)
            self.known_rejections[rejected] = KnownRejection(
                now + min(late, SHUT_US),
                book.open[0][0] if book.open else None,
            )

    def _full(self, flow, size):
        """No room: in all, or for one flow, which may fill a part of what is free (and always a little)."""
        free = self.rule.waiting - self.queued_count
        return (
            free <= 0
            or self.queued_bytes + size > self.rule.bytes
            or (flow.queued >= max(4, FREE_PART * free * (len(flow.names) if flow.names else 1)))
        )

    def _come_back(self, now, wait, command, repeat):
        """When to come back: from the place in line and the drain of that flow and of all; 0: no word."""
        if not self.rule.come_back.field:
            return 0
        book, rate = command.flow.book, self._rate(now, command)
        if repeat and book.open:
            return self.promises.again(book, now)
        gap = command.work / (rate * self.rule.come_back.part) if rate else 0
        return self.promises.give(book, now, wait, gap) if rate else 0
