"""The door: who waits, who goes on to the module and when, who is turned away and told when to come back.

Free of I/O and of sockets; one owner calls it, each call with the time in whole microseconds. Results are
(HAND, ident): hand the command to the module; (REFUSE, ident, come_back_us): its final answer, a shed,
which is always true here since it never went out; come_back_us 0: nothing can be promised.

What the door turns away is a limit of its own: its queues are full, or the command's time is up. What the
module holds, sends, sends again or turns away stays the module's.
"""

from collections import OrderedDict, deque
from heapq import heapify, heappop, heappush
from itertools import islice
from random import Random

from gullhold.admission.fair_queue import IDLE, FairQueue
from gullhold.admission.flows import Queues
from gullhold.admission.retry_after import Promises
from gullhold.admission.sketch import WIDTH, Sketch

HAND, REFUSE = range(2)
BEHIND, WAITING, HANDED, OUT, OVER = range(5)
MOVES = {BEHIND: (WAITING, OVER), WAITING: (HANDED, OVER), HANDED: (OUT, OVER), OUT: (HANDED, OVER), OVER: ()}

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


class Ticket:
    """One command from its arrival to its end; changes state only in Door._move."""

    __slots__ = (
        "charged",
        "cost",
        "flow",
        "ident",
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

    def __init__(self, ident, order, profile, key, work, size, last_at, name):
        self.ident, self.order, self.profile, self.key, self.work = ident, order, profile, key, work
        self.size, self.last_at, self.name = size, last_at, name
        self.state, self.flow, self.queues = BEHIND, None, None
        self.charged, self.ran, self.cost = 0.0, False, 0


class Door:
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
        self.tickets, self.lines, self.due, self.lanes = {}, {}, [], {}
        self.waiting, self.bytes, self.handed, self.order, self.exact = 0, 0, 0, 0, 0
        self.sketch, self.epoch, self.redeal_at = Sketch(self._salt()), 0, now + rule.redeal
        self.now = now
        self.reweigh(weights, rule.weights)
        # (tenant, name, profile): until when its newcomers are turned away with no word; the first promise of
        # its flow. Read by other threads: entries are replaced whole, never changed.
        self.shut = {}

    # Events

    def arrive(self, now, ident, tenant, name, profile, key, work, size, timeout_at, repeat):
        """A command came. tenant: index; name: its flow's, bytes; work: us; size: bytes it holds here."""
        self.now = now
        self._redeal(now)
        self.order += 1
        work = float(work or self.usual or FIRST_WORK)
        ticket = Ticket(
            ident,
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
        ticket.queues, ticket.flow = queues, flow
        ticket.work = work * flow.bias
        wait = self._wait(now, ticket)
        late = 0 if came_back else self._late(now, wait, ticket)
        if now >= ticket.last_at or late or self._full(flow, size):
            told = self._come_back(now, wait, ticket, repeat)
            if late and not told:
                self._shut(ticket, now, late)
            return [(REFUSE, ident, told)]
        self.tickets[ident] = ticket
        self.waiting, self.bytes = self.waiting + 1, self.bytes + size
        self._remember(ticket)
        line = self.lines.setdefault((profile, ticket.key), deque()) if ticket.key else None
        if line is not None:
            line.append(ticket)
        flow.behind += 1
        if line is None or line[0] is ticket:
            self._enter(ticket, came_back)
        return []

    def hand(self, now):
        """What the module can make use of now: [(HAND, ident)]. To be called after every event."""
        self.now = now
        results = []
        while self.handed < self.rule.held and (slot := self.root.pick()) >= 0:
            queues = self.by_slot[slot]
            found = queues.next(self._open)
            if found is None:
                self.root.park(slot)
                continue
            flow, ticket = found
            self._charge(ticket, ticket.work)
            self._move(ticket, HANDED)
            results.append((HAND, ticket.ident))
            if self._open(queues.index, ticket.profile):
                self._opened(queues.index, ticket.profile)
        return results

    def sent(self, ident):
        """The module sent it: it holds it no longer."""
        ticket = self.tickets.get(ident)
        if ticket is not None and ticket.state == HANDED:
            self._move(ticket, OUT)

    def back(self, now, ident, cost, ran):
        """A send ended; the module may hold the command again. cost: us, 0: not told; ran: may have."""
        self.now = now
        ticket = self.tickets.get(ident)
        if ticket is not None and ticket.state == OUT:
            ticket.cost, ticket.ran = ticket.cost + cost, ticket.ran or ran
            self._move(ticket, HANDED)

    def over(self, now, ident):
        """Nothing is owed for it and nothing is out: what it needed is known."""
        self.now = now
        ticket = self.tickets.get(ident)
        if ticket is None:
            return
        state = ticket.state
        self._move(ticket, OVER)
        if state in (HANDED, OUT):
            if ticket.cost:
                self._learn(ticket)
                self._charge(ticket, ticket.cost - ticket.charged)
            elif not ticket.ran:  # it cost the engines nothing
                self._charge(ticket, -ticket.charged)
        self._tidy(now)

    def waits(self, ident):
        """Whether it is still here, so that the module has never heard of it."""
        ticket = self.tickets.get(ident)
        return ticket is not None and ticket.state in (BEHIND, WAITING)

    def time(self, now):
        """What is due at its client timeout is answered: [(REFUSE, ident, come_back_us)]."""
        self.now = now
        results = []
        while self.due and self.due[0][0] <= now:
            _, _, ticket = heappop(self.due)
            if ticket.state in (BEHIND, WAITING):
                results.append(self._turn_away(ticket, now))
        self._redeal(now)
        self._tidy(now)
        return results

    def close(self, now):
        """The gateway leaves: all that waits is turned away, with no time to come back to this one."""
        self.now = now
        return [
            (REFUSE, ticket.ident, 0)
            for ticket in list(self.tickets.values())
            if ticket.state in (BEHIND, WAITING) and not self._move(ticket, OVER)
        ]

    def told(self, now, ident):
        """What a client whose command the module turned away may be told: us, 0: nothing."""
        ticket = self.tickets.get(ident)
        if ticket is None:
            return 0
        return self._come_back(now, self._wait(now, ticket), ticket, False)

    def reweigh(self, tenant_weights, client_weights):
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

    def _move(self, ticket, to):
        """Every change of a ticket's state, and the counts that hang on it."""
        assert to in MOVES[ticket.state], f"command {ticket.ident}: {ticket.state} to {to}"
        left, lane = ticket.state, (ticket.queues.index, ticket.profile)
        ticket.state = to
        ticket.flow.behind -= left == BEHIND
        if to == WAITING:
            return
        if left == WAITING:
            ticket.queues.take(self.now, ticket.flow, ticket, to == HANDED)
            if not ticket.queues.queued:
                self.root.leave(ticket.queues.slot)
        if left in (BEHIND, WAITING):
            self.waiting, self.bytes = self.waiting - 1, self.bytes - ticket.size
            if ticket.key:
                self._next_in_line(ticket)
        step = (to == HANDED) - (left == HANDED)
        if step:
            self.handed += step
            held = self.lanes[lane] = self.lanes.get(lane, 0) + step
            if not held:
                del self.lanes[lane]
            if step < 0 and self._open(*lane):
                self._opened(*lane)
        if to == OVER:
            del self.tickets[ticket.ident]

    def _next_in_line(self, ticket):
        """Guards the order of a key: a later command enters its queue when the earlier has left the door."""
        line = self.lines[ticket.profile, ticket.key]
        line.remove(ticket)
        if not line:
            del self.lines[ticket.profile, ticket.key]
        elif line[0].state == BEHIND:
            self._enter(line[0], True)  # it has waited: not behind those that came after it

    def _enter(self, ticket, first):
        self._move(ticket, WAITING)
        queues = ticket.queues
        queues.put(self.now, ticket.flow, ticket, first, self._open(queues.index, ticket.profile))
        if self.root.state[queues.slot] == IDLE:
            self.root.join(queues.slot)
        elif queues.fair.ready:
            self.root.unpark(queues.slot)

    def _open(self, tenant, profile):
        """Whether the module can make use of more of this tenant's profile."""
        return self.lanes.get((tenant, profile), 0) < self.rule.window

    def _opened(self, tenant, profile):
        queues = self.tenants.get(tenant)
        if queues is not None and queues.queued:
            queues.opened(profile)
            if queues.fair.ready:
                self.root.unpark(queues.slot)

    def _turn_away(self, ticket, now):
        told = self._come_back(now, self._wait(now, ticket), ticket, False)
        self._move(ticket, OVER)
        return REFUSE, ticket.ident, told

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
            heavy = known > recent * max(NOISE / WIDTH, HEAVY * self.exact / self.rule.exact**2)
            if (heavy or name[2:] in self.client_weights) and self._exact_room():
                flow = queues.flow(name, self._weight(name), shared=False)
                self.exact += 1
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
        return self.exact < self.rule.exact or any(
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
        self.exact -= flow.names is None
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

    def _remember(self, ticket):
        heappush(self.due, (ticket.last_at, ticket.order, ticket))
        if len(self.due) > 2 * self.waiting + COMPACT:  # guards against a table of commands long gone on
            self.due = [row for row in self.due if row[2].state in (BEHIND, WAITING)]
            heapify(self.due)

    def _salt(self):
        return self.random.getrandbits(128).to_bytes(16, "little")

    def _redeal(self, now):
        if now >= self.redeal_at:
            self.redeal_at, self.epoch = now + self.rule.redeal, self.epoch + 1
            self.sketch.redeal(self._salt())

    # Work

    def _charge(self, ticket, work):
        ticket.charged += work
        queues, flow = ticket.queues, ticket.flow
        if self.by_slot.get(queues.slot) is queues:
            self.root.charge(queues.slot, work)
            if queues.by_slot.get(flow.slot) is flow:
                queues.fair.charge(flow.slot, work)

    def _learn(self, ticket):
        """What an answer tells of its flow's estimates, and of commands at large."""
        flow, said = ticket.flow, ticket.work / ticket.flow.bias
        right = min(max(ticket.cost / max(said, 1.0), BIAS[0]), BIAS[1])
        flow.bias += EASE * (right - flow.bias)
        self.usual += EASE * (ticket.cost - self.usual) if self.usual else ticket.cost

    def _rate(self, now, ticket):
        """Work in a us that the ticket's flow gets of its profile while it is backlogged; 0: not known.

        From the drain of all that the tenant has of the profile, and the flow's part of the tenant.
        """
        return ticket.queues.drain(ticket.profile, now).rate(now) * ticket.queues.fair.share(ticket.flow.slot)

    def _wait(self, now, ticket):
        """Expected us until one that came now would go on; 0 where the drain is not known or none waits."""
        rate, backlog = self._rate(now, ticket), ticket.flow.backlog(ticket.profile)
        return (backlog + ticket.work) / rate if rate and backlog else 0.0

    def _late(self, now, wait, ticket):
        """By how many us a newcomer would wait too long, with those to come back let in before it; 0: not."""
        if not wait:
            return 0
        kind, flow = self.profiles[ticket.profile], ticket.flow
        target = kind.target_us + kind.target_stretch * ticket.work / kind.threads
        allowed = min(self.rule.patience * target, ticket.last_at - now)
        each = wait * ticket.work / (flow.backlog(ticket.profile) + ticket.work)  # us that one command takes
        coming = flow.book.within(now, allowed) * each
        return max(0, int(wait + min(coming, self.rule.come_back.part * allowed) - allowed))

    def _shut(self, ticket, now, late):
        """Until its line has gone so far, newcomers of this name would be turned away alike: say so to those
        who read, so that they need not ask. Guards the one thread against a crowd that asks again at once.
        """
        if len(self.shut) >= 2 * self.rule.exact:
            self.shut = {key: told for key, told in self.shut.items() if told[0] > now}
        if len(self.shut) < 2 * self.rule.exact:
            book = ticket.flow.book
            self.shut[ticket.queues.index, ticket.name, ticket.profile] = (
                now + min(late, SHUT_US),
                book.open[0][0] if book.open else None,
            )

    def _full(self, flow, size):
        """No room: in all, or for one flow, which may fill a part of what is free (and always a little)."""
        free = self.rule.waiting - self.waiting
        return (
            free <= 0
            or self.bytes + size > self.rule.bytes
            or (flow.queued >= max(4, FREE_PART * free * (len(flow.names) if flow.names else 1)))
        )

    def _come_back(self, now, wait, ticket, repeat):
        """When to come back: from the place in line and the drain of that flow and of all; 0: no word."""
        if not self.rule.come_back.field:
            return 0
        book, rate = ticket.flow.book, self._rate(now, ticket)
        if repeat and book.open:
            return self.promises.again(book, now)
        gap = ticket.work / (rate * self.rule.come_back.part) if rate else 0
        return self.promises.give(book, now, wait, gap) if rate else 0
