"""The one thread that owns the gateway: its events, its timers, and the carrying out of its results.

Readers post events; nothing here waits for a socket. What runs, where and when is the module's to say.
"""

import time
from collections import deque
from heapq import heappop, heappush
from math import ceil, isfinite, isqrt
from queue import Empty, SimpleQueue
from threading import Event

from loguru import logger

from gullhold.admission.queue import HAND
from gullhold.interface import (
    NEVER_RAN,
    CancelAttempt,
    Dispatch,
    EngineState,
    Fail,
    LogLine,
    Outcome,
    ReportDemand,
    SetTerms,
    Shed,
    StartTimer,
    StatusKind,
)
from gullhold.net import connection_ends, resp, thrift
from gullhold.net.client_connection import OPEN_MOST, RESULT_MOST
from gullhold.net.connection_ends import Ending, Malformed
from gullhold.net.discovery import FIRST_EVENT_TIMEOUT_US
from gullhold.net.eventlog import CLOSE, GIVEN_UP, REFUSAL, RETRY, EventLog, Happened
from gullhold.net.links import Engine, Exchange, Link
from gullhold.net.pipe import UNSURE
from gullhold.net.start_times import StartTimes

NOTES = {b"share": StatusKind.PROGRESS, b"short": StatusKind.SPILLING, b"held": StatusKind.WAITING}
OUTCOMES = ("answered", "error", "full", "timed out", "no connection", "reset", "cancelled", "moot")
ALIVE = b"alive"
PAGES = (b"200", b"chunk")
PAGE_MOST = 6_000  # bytes of a page, from the protocol
SPOILT = frozenset((Ending.MALFORMED, Ending.RESET, Ending.SILENT))  # may take other sends along
# From the protocol's page on planned restarts: new requests come for 0.6 s; the end comes 0.7 s after the
# longest client timeout, of which 3 s at most count. Half of the rest is left for answers still in pipes.
LAST_NEWS_US, LAST_ANSWER_US, FLUSH_US = 600_000, 3_000_000, 350_000
CLOSING_US = 600_000  # us before the last answers from which nothing is taken: thousands to be answered
DOOR_LOOK_US = 20_000  # us between looks at the door for what is due: half of the door's margin
STALL_US = 100_000  # us beyond any wait that are a stall: far more than a step, a fifth of usual graces
CATCH_UP_US = 500_000  # us that its reading may take, on a machine that has just let us sleep
LOOK_S = 0.001  # s between looks at whether the list is up to date after one
START_NS = time.time_ns() - time.monotonic_ns()  # Unix ns, as this process began, at the other clock's zero
HELD_BYTES = 2000  # bytes that a waiting command takes beside its statement, measured


def deadline(now, until):
    """The field of a fetch that tells how long we will wait, in ms; one that is past: the least there is."""
    return b"w", b"%d" % max(1, -((now - until) // 1000))


class PendingRequest:
    """A command that was taken: whom it is owed to (None once answered), and its send that is out."""

    __slots__ = (
        "client",
        "ended",
        "grant",
        "holds",
        "number",
        "priority",
        "request",
        "send",
        "sends",
        "seq",
        "timeout_at",
    )

    def __init__(self, number, client, seq, request, timeout_at):
        self.number, self.client, self.seq, self.request = number, client, seq, request
        self.timeout_at, self.grant, self.priority, self.send, self.sends = timeout_at, 0.0, 1, None, 0
        self.holds = len(request.body)  # bytes of the room for statements
        self.ended = ""  # how its last send ended


class Core:
    """Owns the gateway. Only run() and what it calls touch the fields; other threads use post().

    Time, waiting and connecting are clock(), _step() and connect; whoever drives a core without threads gives
    the first and the last of its own and calls begin() and turn().
    """

    connect = Link  # a class: of (engine, core, most bytes of a message, and of its pipe, now)
    flusher = None  # goes on with writes that the system did not take whole

    def __init__(self, gateway, agreement, counters, message_most, links_most, room, door=None, come_back=""):
        self.room = room  # of all clients
        self.gateway, self.agreement, self.counters, self.door = gateway, agreement, counters, door
        self.retry_after_field = (
            come_back.encode()
        )  # the field of Shed that tells when to come back; empty: none
        self.message_most, self.links_most = message_most, links_most
        self.report = [name.encode() for name in agreement.report_fields]
        self.queue, self.urgent, self.after, self.timers = SimpleQueue(), deque(), deque(), []
        self.now, self.serial, self.timer_serial, self.tags = self.clock(), 0, 0, 0
        self.pending, self.pending_by_txn, self.engines, self.links = {}, {}, {}, set()
        self.holding = set()  # links that hold a descriptor, ended or not; their threads take them out
        self.starts, self.events = StartTimes(), EventLog()
        self.list_known = Event()  # the coordinator has told what changed since the configuration, or can't
        self.leaving_at, self.settled_at, self.stopped, self.known = 0, 0, False, False
        self.closed = self.ended = False  # what comes now is turned away at once; the thread is over
        self.report_demand, self.gate = lambda rows: None, None  # of a fleet's budgets, of its policy
        self.discovery_lags = lambda: (
            False
        )  # whether the coordinator's thread has yet to tell of what has come
        self.close_clients = lambda: None  # ends all clients' connections, once what has come is answered
        self.fences = []  # of a fleet: each stamps what is decided, and knows whether a stamp still holds
        self.sweep_us = max(agreement.connect_timeout_us, 100_000)  # between looks at links: time to come up
        self.share = max(
            2, isqrt(agreement.streams_per_connection)
        )  # sends on a shared link: few links, few lost with one
        self.silent_us = (
            agreement.status_interval_us + self.sweep_us
        )  # a link with a send out says something by then
        self.lost_us = (
            agreement.status_interval_us and self.silent_us + agreement.status_interval_us
        )  # two notes missed: none will come

    @staticmethod
    def clock():
        """Unix time in whole microseconds: as it was at the start, gone on by the clock that nobody sets.

        Guards against a wall clock that is set back while commands wait: their time-outs stood still with it.
        Harm: after a step of the wall clock the starts of engines are off by it.
        """
        return (START_NS + time.monotonic_ns()) // 1000

    def post(self, call, *args):
        """From any thread: have the core make this call."""
        self.queue.put((self.clock(), call, args))

    def list_changed(self, entries, addresses, whole, events=1):
        """From the coordinator's thread: the list of engines changed, by so many events."""
        self.post_urgent(self._listed, entries, addresses, whole, events)

    def post_urgent(self, call, *args):
        """From any thread: have the core make this call ahead of all else that waits."""
        self.urgent.append((call, args))
        self.post(self._nothing)

    # The loop

    def run(self, known):
        """Serve until told to leave and done."""
        # Guards against sends to what has left since the configuration was written: a start takes a second.
        self.list_known.wait((self.agreement.connect_timeout_us + 2 * FIRST_EVENT_TIMEOUT_US) / 1e6)
        self.begin(known)
        while not self.stopped:
            try:
                self._step()
            except Exception:  # guards against a core that dies and leaves a process that looks alive
                self.counters.add("faults of ours")
                logger.exception("a step failed")
                time.sleep(LOOK_S)
        self.ended = True  # this thread touches nothing any more

    def begin(self, known):
        """The list of the configuration is told; from here on there is always a timer."""
        self._tick()
        for change in known:
            self._guarded(self._listed, *change)
        self.known = True
        self._later(self.now + self.sweep_us, self._sweep)
        if self.door:
            self._look_at_door()

    def _step(self):
        before, wait = self.now, self.timers[0][0] - self.clock()  # the sweep always waits there
        try:
            event = self.queue.get(timeout=wait / 1e6) if wait > 0 else self.queue.get_nowait()
        except Empty:
            event = None
        self._tick()
        if self.now - before > max(wait, 0) + STALL_US:
            self._catch_up()
        self.turn(event)

    def turn(self, event):
        """All of a step but its wait: what is urgent, this event (None: none), timers that are due."""
        while self.urgent:
            call_first, args_first = self.urgent.popleft()
            self._guarded(call_first, *args_first)
        if event:
            posted, call, args = event
            self.counters.peak("events waiting", self.queue.qsize())
            self.counters.peak("event late us", self.now - posted)
            self._guarded(call, *args)
        while self.timers and self.timers[0][0] <= self.now:
            at, _, call, args = heappop(self.timers)
            self.counters.peak("timer late us", self.now - at)
            self._guarded(call, *args)

    def _catch_up(self):
        """Guards against a process that stood still, or a step that took long: all that came meanwhile is
        there at once, and requests would go out to engines that left before the list's word is read."""
        self.counters.add("stalls")
        end = self.now + CATCH_UP_US
        while self.discovery_lags() and self.clock() < end:
            time.sleep(LOOK_S)
        self._tick()

    def _guarded(self, call, *args):
        """A fault of ours in one event is logged and counted; the program goes on."""
        try:
            call(*args)
            self._rest()
            # What an event makes room for goes on from the door, and makes more or less room in turn.
            while self.door and (results := self.door.hand(self.now)):
                self._from_door(results)
                self._rest()
        except Exception:
            self.counters.add("faults of ours")
            logger.exception("an event failed")

    def _rest(self):
        while self.after:
            act, *args = self.after.popleft()
            act(*args)

    def _tick(self):
        self.now = max(self.now, self.clock())  # the module never sees time go back

    def _later(self, at, call, *args):
        self.timer_serial += 1
        heappush(self.timers, (at, self.timer_serial, call, args))

    def _nothing(self):
        pass

    # The module

    def _ask(self, cmd, call, *args):
        """Call the module and carry out its results; if it fails, the command gets its one final answer."""
        self.gateway.out = []  # of a call that fails only its own results hold
        try:
            results = call(self.now, *args)
        except Exception:  # guards against one odd command taking all others down with it
            self.counters.add("faults of the module")
            logger.exception("the module failed in {}", call.__name__)
            results = list(self.gateway.out)  # what it had decided until then holds
            if cmd and cmd.client and not cmd.send:
                self.after.append((self._give_up, cmd))
        for result in results:
            self.ACTIONS[type(result)](self, result)

    def _act_send(self, result):
        number, engine, until = result.command, result.engine, result.deadline_us
        cmd = self.pending.get(number)
        if cmd is None:
            return
        send = Exchange(cmd, cmd.sends, self.now)
        cmd.sends += 1
        if cmd.send or not cmd.client or until <= self.now:
            self.after.append(
                (
                    self._ask,
                    cmd,
                    self.gateway.attempt_ended,
                    number,
                    send.number,
                    Outcome.NOT_STARTED,
                    not cmd.client,
                    0,
                    0,
                    0,
                    (),
                )
            )
            return
        cmd.send = send
        if send.number:
            self.events.add(
                Happened(self.now, RETRY, cmd.ended, cmd.request.txn, before="held", after="sent")
            )
        if self.door:
            self.door.sent(number)
        link = self._link_for(engine, cmd.request.txn)
        if link is None:
            # Told as late as a connection that does not come up: no spinning on the same want. We are short
            # of a descriptor or a thread: guards against blaming the engine for it.
            self._later(
                min(self.now + self.agreement.connect_timeout_us, until),
                self._end_send,
                send,
                Outcome.NOT_STARTED,
            )
            return
        send.until, send.stamp = until, self.fencing_token()
        request, facts = cmd.request, self._facts(cmd)

        def message(now):
            return resp.encode(
                b"fetch", request.txn, resp.field_list([*facts, deadline(now, until)]), request.body
            )

        send.message, send.link, link.used_at = message(self.now), link, self.now
        link.open[cmd.request.txn] = send
        # Guards against a deadline that was true when the send was decided and not when it goes out: its
        # connection may come up late, or what is before it may be read late.
        send.offset = link.pipe.put(
            send.message, send.stamp and (lambda: self.token_valid(send.stamp)), lambda: message(self.clock())
        )
        if send.offset < 0:  # nothing of it goes out
            unsure = send.offset == UNSURE
            link.retired = link.retired or not unsure
            self.after.append(
                (self._end_send, send, Outcome.NOT_STARTED if unsure else Outcome.CONNECT_FAILED)
            )
            return
        self.counters.add("sends")
        self._later(until, self._send_due, send)

    def _facts(self, cmd):
        """The fields of a fetch that do not change while it waits."""
        facts = [(b"c", cmd.request.verb)]
        if cmd.request.unique:
            facts.append((b"i", cmd.request.unique))
        if cmd.grant > 0 and self.agreement.honors_grants:
            facts.append((b"mem", b"%d" % ceil(cmd.grant)))
        if self.agreement.honors_priority:
            facts.append((b"prio", b"%d" % cmd.priority))
        return facts

    def fencing_token(self):
        """What sends are decided under now, for sure()."""
        return tuple(check.fencing_token() for check in self.fences)

    def token_valid(self, stamp):
        """Whether what was decided under a stamp may still go out. Guards against a process that slept
        between decision and write: what it was made under may be another's by now. From any thread."""
        return all(check.token_valid(then) for check, then in zip(self.fences, stamp, strict=True))

    def _act_terms(self, result):
        cmd, priority = self.pending.get(result.command), result.priority
        if cmd is None:
            return
        if cmd.send and cmd.send.link and priority != cmd.priority and self.agreement.honors_priority:
            self._tell(cmd.send.link, b"renice", cmd.request.txn, b"%d" % priority)
        cmd.grant, cmd.priority = result.grant_mb, priority

    def _act_cancel(self, result):
        cmd = self.pending.get(result.command)
        if cmd and cmd.send and cmd.send.number == result.attempt:
            self._stop_send(cmd.send, Outcome.CANCELLED)

    def _act_shed(self, result):
        self._shed(result.command, result.retry_after_us)

    def _shed(self, number, come_back_us):
        told = self.door.told(self.now, number) if self.door and self.retry_after_field else 0
        told = min(told, come_back_us) if come_back_us else told
        self._refuse(number, "shed", lambda cmd: thrift.shed(cmd.seq, self._when(told)))

    def _when(self, come_back_us):
        """What a Shed carries: when to come back, where that is known."""
        return (
            {self.retry_after_field: b"%d" % -(-come_back_us // 1000)}
            if come_back_us and self.retry_after_field
            else {}
        )

    def _act_fail(self, result):
        self._fail(result.command)

    def _fail(self, number):
        self._refuse(number, "failed", lambda cmd: thrift.fault(cmd.seq, "failed"))

    def _refuse(self, number, word, message):
        cmd = self.pending.get(number)
        if cmd and cmd.client:
            self.counters.add(word)
            self._refused(cmd, word)
            self._answer(cmd, message(cmd))
            if cmd.send:  # given up with the command
                self._stop_send(cmd.send, Outcome.CANCELLED)

    def _refused(self, cmd, reason):
        self.events.add(
            Happened(
                self.now,
                REFUSAL,
                reason,
                cmd.request.txn,
                cmd.client.peer[1],
                "sent" if cmd.send else "held",
                "answered",
            )
        )

    def _act_timer(self, result):
        self._later(self.now + result.delay_us, self._ask, None, self.gateway.timer_fired, result.token)

    def _act_log(self, result):
        logger.info("module: {}", result.text)

    def _act_lacks(self, result):
        self.report_demand(result.demands)

    ACTIONS = {
        Dispatch: _act_send,
        SetTerms: _act_terms,
        CancelAttempt: _act_cancel,
        Shed: _act_shed,
        Fail: _act_fail,
        StartTimer: _act_timer,
        LogLine: _act_log,
        ReportDemand: _act_lacks,
    }

    def apply_policy(self, terms, gate, shares, clients):
        """A policy of the fleet holds from here on; gate: asked at each send; shares, clients: the door's."""
        self.gate = gate
        if self.door:
            self.door.reweigh(shares, clients)
        self._ask(None, self.gateway.apply_policy, terms, gate)

    def apply_budgets(self, parts, lacking):
        """The fleet's budgets bind, or have changed; lacking(rows) hears what held commands lack."""
        self.report_demand = lacking
        self._ask(None, self.gateway.apply_budgets, parts)

    # Clients

    def execute(self, client, seq, request, at):
        """A client asks for a command."""
        self.serial += 1
        cmd = PendingRequest(self.serial, client, seq, request, at + request.limit_us)
        client.open[seq] = cmd  # first: an interrupt finds it in one place or the other
        # Taken back before we came to it; or its client has left; or it came after we had said our end, so
        # that its client asks elsewhere.
        if client.waiting.pop(seq, None) is None or client.left or client.pipe.finishing:
            self.counters.add("interrupted")
            self._settle(cmd)
            return
        if request.txn in self.pending_by_txn:
            self.counters.add("failed")
            self._answer(cmd, thrift.fault(seq, "this txn is open already"))
        elif self.closed or 0 < self.agreement.max_open_commands <= len(self.pending) - self._at_door():
            self.counters.add("over the open cap")
            self._answer(cmd, thrift.shed(seq, {}))
        else:
            self.pending[cmd.number] = self.pending_by_txn[request.txn] = cmd
            self.counters.peak("owed", len(self.pending))
            self._later(cmd.timeout_at, self._overdue, cmd)
            if self.door:
                self._from_door(
                    self.door.arrive(
                        self.now,
                        cmd.number,
                        request.tenant,
                        request.flow,
                        request.profile,
                        request.key,
                        request.work_us,
                        len(request.body) + HELD_BYTES,
                        cmd.timeout_at,
                        request.repeat,
                    )
                )
            else:
                self._hand(cmd)

    def _hand(self, cmd):
        """The module decides from here on."""
        request = cmd.request
        self._ask(
            cmd,
            self.gateway.submit,
            cmd.number,
            request.profile,
            request.tenant,
            request.key,
            cmd.timeout_at,
            request.work_us,
            request.need_mb,
            request.group,
            request.repeat,
        )

    # The door

    def _from_door(self, results):
        """Carry out what the door decided: commands go on to the module, or are turned away."""
        frames = {}
        for verb, number, *told in results:
            cmd = self.pending.get(number)
            if cmd is None or not cmd.client:
                continue
            if verb == HAND:
                self._hand(cmd)
            else:
                self.counters.add("turned away at the door")
                self._refused(cmd, "turned away at the door")
                frames.setdefault(cmd.client, []).append(thrift.shed(cmd.seq, self._when(*told)))
                self._settle(cmd)
        for client, parts in frames.items():  # thousands at once cost one write for each connection
            client.put(b"".join(parts))

    def _at_door(self):
        return self.door.waiting if self.door else 0

    def _look_at_door(self):
        """What waits there and is due at its client timeout."""
        self._later(self.now + DOOR_LOOK_US, self._look_at_door)
        self._from_door(self.door.time(self.now))
        self.counters.peak("waiting at the door", self.door.waiting)

    def check(self, client, seq):
        """The front asks whether we serve: this answer comes from the thread that does."""
        good = self.known and not self.leaving_at and not (self.gate and self.gate.rejects_new())
        client.put(thrift.answer("check", seq, good=good))

    def interrupt(self, client, seq):
        """A client stops waiting: no answer is owed."""
        cmd = client.open.get(seq)
        if cmd:
            self.counters.add("interrupted")
            self._gone(cmd)

    def rest(self, client):
        """A connection is idle: it ends, unless something came meanwhile."""
        if client.busy():
            client.resting = False
        else:
            client.pipe.finish()

    def client_ended(self, client, ending, text):
        """A client's connection is read no more. One that closed, or broke, has gone: nothing of it goes out
        any more. One that sent what makes no sense is still there: each of its commands gets its answer."""
        self.counters.add(f"client connection: {ending.value}")
        unusual = bool(client.open) and ending in connection_ends.OURS
        self.events.add(
            Happened(
                self.now,
                CLOSE,
                f"{ending.value} {text}".rstrip(),
                connection=f"client {client.peer[1]}",
                before="open",
                after="closed",
                open=len(client.open),
            ),
            unusual,
        )
        for cmd in list(client.open.values()):
            (self._give_up if ending in connection_ends.STILL_THERE else self._gone)(cmd)
        client.pipe.finish()  # what is under way goes out; the reader closes

    def _gone(self, cmd):
        here = self.door and self.door.waits(cmd.number)
        self._settle(cmd)
        if not here:
            self._ask(cmd, self.gateway.client_left, cmd.number)

    def _answer(self, cmd, message):
        client = cmd.client
        self._settle(cmd)  # first: its next request may come as soon as it has this answer
        client.put(message)

    def _settle(self, cmd):
        """Nothing is owed any more."""
        cmd.client.open.pop(cmd.seq, None)
        cmd.client.settled += 1
        cmd.client.taken_back.discard(cmd.seq)
        cmd.client, self.settled_at = None, self.now
        if not cmd.send:
            self._forget(cmd)

    def _forget(self, cmd):
        if cmd.holds:
            self.room.give(cmd.holds)
            cmd.holds = 0
        if self.pending.pop(cmd.number, None):
            self.pending_by_txn.pop(cmd.request.txn, None)
            if self.door:
                self.door.over(self.now, cmd.number)

    def _overdue(self, cmd):
        """Guards the rule of one answer in time against any fault of ours: the module answers well before."""
        if cmd.client:
            self.counters.add("overdue")
            logger.error("command {} was not answered in time", cmd.number)
            self._give_up(cmd)

    def _give_up(self, cmd):
        """The command must end now: the final answer is the module's, else a failure: no promise."""
        if cmd.client and self.door and self.door.waits(cmd.number):
            self._shed(cmd.number, 0)  # it never went out
        elif cmd.client:
            self._ask(None, self.gateway.abandon, cmd.number)
            self._fail(cmd.number)  # for a module that fails on this command again

    # Engines

    def _listed(self, entries, addresses, whole, events=1):
        """The list of engines changed."""
        for ident, address in addresses.items():
            engine = self.engines.setdefault(ident, Engine(ident, address))
            if engine.address != address:  # links to where it was are not links to it
                engine.address = address
                for link in engine.links:
                    link.retired = True
        entries = self.starts.corrected(self.now, entries, news=self.known)
        states = {entry.id: entry.state for entry in entries}
        self.counters.add("list changes", events)
        for ident in list(self.engines) if whole else states:  # the work follows what changed
            engine = self.engines.get(ident)
            if engine is None:
                continue
            engine.state = states.get(ident, EngineState.REMOVED)
            if engine.state != EngineState.READY:  # what has not begun to go out must not go any more
                for link in list(engine.links):
                    for send in [send for send in link.open.values() if link.pipe.withdraw(send.message)]:
                        self.after.append((self._end_send, send, Outcome.NOT_STARTED))
            self._part(engine)
        self._ask(None, self.gateway.update_engines, entries, whole)

    def _part(self, engine):
        """What is gone and has no link left is forgotten."""
        if engine.state == EngineState.REMOVED:
            self.starts.forget(engine.id)
        if engine.state == EngineState.REMOVED and not engine.links:
            self.engines.pop(engine.id, None)

    def _link_for(self, ident, txn):
        """A link that can take a send of this id, a new one if need be; None where there can be none."""
        engine = self.engines.get(ident)
        if engine is None:
            return None
        fresh = [
            link
            for link in engine.links
            if link.takes(txn, self.agreement.streams_per_connection) and not self._idle(link)
        ]
        # One send a link while descriptors last: guards against one spoilt answer, reset, or request that an
        # engine can't read taking down what else is open there. But some engines close a connection when they
        # have answered and nothing else is open on it, be pages or a fetch still to come: there sends share.
        few = [link for link in fresh if len(link.open) < (self.share if engine.closed else 1)]
        if few:  # the fullest; of idle ones the one used last, so that the others may be closed
            return max(few, key=lambda link: (len(link.open), link.used_at))
        if len(self.holding) >= self.links_most:
            if fresh:
                return min(fresh, key=lambda link: len(link.open))
            for link in self.links:  # idle ones go, for the next that asks
                if not link.open and not link.ended:
                    link.shut(Ending.RETIRED)
            self.counters.add("no descriptor for a link")
            return None
        link = self.connect(engine, self, self.message_most, OPEN_MOST * self.message_most, self.now)
        self.holding.add(link)
        try:
            link.start()
        except RuntimeError:  # no thread to be had
            self.holding.discard(link)
            self.counters.add("no thread for a link")
            return None
        engine.links.append(link)
        self.links.add(link)
        self.counters.peak("links", len(self.links))
        return link

    def link_up(self, link):
        """A connection came up. What waits in it was decided a while ago: whatever may forbid a send (engine,
        client, time, what it was decided under) is looked at once more right before its first byte."""
        if link.ended or link.ending:
            return
        self.counters.add("links up")
        for send in list(link.open.values()):
            if not (
                send.command.client
                and link.engine.state == EngineState.READY
                and send.until > self.now
                and self.token_valid(send.stamp)
            ) and link.pipe.withdraw(send.message):
                self.counters.add("sends taken back")
                self.after.append((self._end_send, send, Outcome.NOT_STARTED))
        link.pipe.attach(link.connection)

    def _tell(self, link, *words):
        """A word beside a fetch. If it can't go the link ends: a lost abort would leave a send out."""
        if link.pipe.put(resp.encode(*words)) < 0 and not link.ended:
            self.after.append((self._drop_link, link, Ending.BACKED_UP))

    def heard(self, link, arrays):
        """An engine said something."""
        link.heard_at, link.asked_at = self.now, 0
        try:
            for words in arrays:
                if link.ended:
                    return
                self._word(link, words)
        except (Malformed, ValueError) as fault:
            self._drop_link(link, Ending.MALFORMED, str(fault))

    def _word(self, link, words):
        if len(words) < 2:
            raise Malformed(f"an answer of {len(words)} words")
        txn, word, facts, body = (*words, b"", b"")[:4]
        send = link.open.get(txn)
        if word == ALIVE:
            self._confirmed(link, link.confirms.pop(txn, None))
            return
        if send is None:  # a late word on a send that was given up, or nothing of ours
            self.counters.add("late or unknown answers")
            if word in connection_ends.WORDS:
                link.given_up.discard(txn)
            return
        facts, send.heard_at = resp.fields(facts), self.now
        if word == b"status":
            if facts.get(b"note") in NOTES:
                self.counters.add("notes")
                self._ask(
                    send.command,
                    self.gateway.attempt_status,
                    send.command.number,
                    send.number,
                    NOTES[facts[b"note"]],
                    float(facts.get(b"v", 0)),
                )
        elif word == b"200" and send.leaving is not None and int(facts.get(b"pages", 1)) > 1:
            return  # it ended just before our abort came, which gave its further pages up
        elif send.pages and word in PAGES and int(facts.get(b"page", 0)) < len(send.pages):
            self.counters.add("second copies")  # of a page that we have: passed over
        elif word == b"200":
            send.told, send.total = self._told(facts), max(1, int(facts.get(b"pages", 1)))
            self._page(link, send, txn, body)
        elif word == b"chunk" and send.pages and int(facts.get(b"page", -1)) == len(send.pages):
            self._page(link, send, txn, body)
        elif word == b"500" or word in connection_ends.WORDS and not send.pages:  # once begun, it ran
            send.told = self._told(facts)
            self._end_send(send, connection_ends.WORDS[word])
        else:
            raise Malformed(f"{word!r} out of turn")

    def _page(self, link, send, txn, body):
        """One more page came; after the last the result goes to the client."""
        if len(body) > PAGE_MOST or body.count(b"\t") != 2 * body.count(b"\n") or body and body[-1:] != b"\n":
            raise Malformed("a page that is not whole rows of three columns")  # never passed on as served
        send.pages.append(body)
        send.size += len(body)
        if send.size > self.message_most or send.total > RESULT_MOST:
            raise Malformed("a result of an absurd size")
        if len(send.pages) < send.total:
            self._tell(link, b"more", txn, b"%d" % len(send.pages))
            return
        if send.total > 1:
            self._tell(link, b"done", txn)
        cmd = send.command
        if cmd.client:
            self.counters.add("answered")
            if self.gate:  # a canary is judged by it
                self.counters.add("answered us", self.now - cmd.timeout_at + cmd.request.limit_us)
            message = thrift.answer("execute", cmd.seq, b"".join(send.pages))
            self._answer(cmd, message)
        self._end_send(send, Outcome.ANSWERED)

    def _end_send(self, send, outcome):
        """A send is over: the module is told, once."""
        cmd, link = send.command, send.link
        if cmd.send is not send:
            return
        cmd.send = None
        if link and link.open.get(cmd.request.txn) is send:
            del link.open[cmd.request.txn]
            link.used_at = self.now
        send.message, send.pages = b"", ()
        cmd.ended = OUTCOMES[outcome]
        self.counters.add(f"sends {cmd.ended}")
        closed = cmd.client is None
        if self.door:
            self.door.back(self.now, cmd.number, send.told[0], outcome not in NEVER_RAN)
        if closed:
            self._forget(cmd)
        self._ask(
            cmd,
            self.gateway.attempt_ended,
            cmd.number,
            send.number,
            outcome,
            closed,
            self.now - send.sent_at,
            *send.told,
        )

    def _told(self, facts):
        """Work and memory that a send needed, and the load report in the settings' order; absent: zero."""
        load = dict(pair.partition(b":")[::2] for pair in facts.get(b"load", b"").split(b";"))
        figures = [float(facts.get(name, 0)) for name in (b"cost", b"need")]
        figures += [float(load.get(name, 0)) for name in self.report if b"load" in facts]
        if not all(map(isfinite, figures)):
            raise Malformed("a figure that is none")
        return int(figures[0] * 1000), figures[1], tuple(figures[2:])

    def _stop_send(self, send, outcome):
        """Give a send up: taken back if none of it has gone, else the engine is told.

        Guards against two sends out at once: an abort and the fetch that follows it elsewhere travel on
        different connections. So while a further send may follow, the module hears of the end only when an
        `alive` behind the abort has been answered; by then no late answer can come either.
        """
        cmd, link, txn = send.command, send.link, send.command.request.txn
        self.events.add(
            Happened(
                self.now,
                GIVEN_UP,
                OUTCOMES[outcome],
                txn,
                f"engine {link.engine.address}" if link else "",
                "streaming" if send.pages else "sent",
                "given up",
            )
        )
        if link and link.open.get(txn) is send:
            if link.pipe.withdraw(send.message):
                outcome = Outcome.NOT_STARTED
            elif outcome in (Outcome.CANCELLED, Outcome.RESET) and cmd.client and not send.pages:
                if send.leaving is None:
                    self.tags += 1
                    tag, send.leaving = b"~%d" % self.tags, outcome
                    link.confirms[tag] = send
                    self._tell(link, b"abort", txn)
                    self._tell(link, ALIVE, tag)
                return
            else:
                if send.leaving is None:
                    self._tell(link, b"done" if send.pages else b"abort", txn)
                link.given_up.add(txn)
                link.retired = link.retired or len(link.given_up) >= self.agreement.streams_per_connection
            del link.open[txn]
        self.after.append((self._end_send, send, outcome))

    def _confirmed(self, link, send):
        """An abort has come to its engine, and all that the engine said of the send before has come to us."""
        if send:
            link.given_up.discard(send.command.request.txn)
            self._end_send(send, send.leaving)

    def _send_due(self, send):
        if send.command.send is send:
            self._stop_send(send, Outcome.TIMED_OUT)

    def _drop_link(self, link, ending, text=""):
        link.shut(ending)
        self.link_ended(link, ending, text)

    def link_ended(self, link, ending, text):
        """A link is over, however that came; so are its sends."""
        if link.ended:
            return
        link.ended = True
        self.links.discard(link)
        link.engine.links.remove(link)
        self._part(link.engine)
        self.counters.add(f"link: {ending.value}")
        cut = ending == Ending.CLOSED and link.decoder.cut
        link.engine.closed = max(
            0, link.engine.closed + (-1 if cut or ending in SPOILT else ending == Ending.CLOSED)
        )
        routine = ending in (Ending.IDLE, Ending.RETIRED) or ending == Ending.CLOSED and not link.open
        before = "open" if link.connection else "connecting"
        self.events.add(
            Happened(
                self.now,
                CLOSE,
                f"{ending.value} {text}".rstrip(),
                connection=f"engine {link.engine.address}",
                before=before,
                after="closed",
                open=len(link.open),
            ),
            not routine,
        )
        # Where we closed, the engine learns of it later: until then its sends are still out there.
        at = self.now + (self.agreement.connect_timeout_us if ending in connection_ends.OURS else 0)
        for send in list(link.open.values()):
            outcome = connection_ends.outcome(send.offset > 0 and link.pipe.whole(send.offset))
            if ending in connection_ends.NO_BLAME and outcome == Outcome.CONNECT_FAILED:
                outcome = Outcome.NOT_STARTED
            if at > self.now:
                del link.open[send.command.request.txn]
                self._later(at, self._end_send, send, outcome)
            else:
                self._end_send(send, outcome)

    def _idle(self, link):
        """Whether the engine may be about to close it for idleness: we close first."""
        return (
            not link.open and 0 < self.agreement.idle_timeout_us < self.now - link.used_at + 2 * self.sweep_us
        )

    def _sweep(self):
        """Links that fell silent, links no longer needed."""
        self._later(self.now + self.sweep_us, self._sweep)
        for link in list(self.links):
            if link.connection is None:
                continue
            if not link.open:
                if link.retired or link.engine.state != EngineState.READY:
                    link.shut(Ending.RETIRED)
                elif self._idle(link):
                    link.shut(Ending.IDLE)
                continue
            heard_at = min(send.heard_at for send in link.open.values())
            quiet = self.now - max(link.heard_at, heard_at)
            if 0 < self.lost_us <= quiet:
                self._drop_link(link, Ending.SILENT)
            elif 0 < self.lost_us <= self.now - heard_at:
                # Guards against an answer that never comes, or comes after its time, on a link that works.
                for send in list(link.open.values()):
                    if send.leaving is None and self.now - send.heard_at >= self.lost_us:
                        self.counters.add("answers lost")
                        self._stop_send(send, Outcome.RESET)
            elif quiet >= self.silent_us:
                # Guards against a machine that vanished or was cut off: its links stay open and silent.
                if not link.asked_at:
                    link.asked_at = self.now
                    self._tell(link, ALIVE, ALIVE)
                elif self.now - link.asked_at >= self.silent_us:
                    self._drop_link(link, Ending.SILENT)

    # Leaving

    def leave(self):
        """A planned restart: serve what comes and is open, then end."""
        if self.leaving_at:
            return
        self.leaving_at = self.now
        logger.info("leaving: {} commands open", len(self.pending))
        longest = max((profile.timeout_us for profile in self.agreement.profiles), default=0)
        longest = min(longest, LAST_ANSWER_US)
        # With short deadlines the kill comes soon, and requests come until then: guards against an end before
        # the last of them is read and answered.
        last = self.now + max(longest, min(LAST_NEWS_US, longest + FLUSH_US))
        self._later(self.now + LAST_NEWS_US, self._leave_if_done)
        self._later(min(max(self.now + LAST_NEWS_US, last - CLOSING_US), last), self._close)
        self._later(last, self._leave_now)

    def _leave_if_done(self):
        if self.now >= self.settled_at + FLUSH_US and not any(cmd.client for cmd in self.pending.values()):
            self._later(self.now + FLUSH_US // 2, self._stop)
            self._close()
            self.close_clients()
        else:
            self._later(self.now + FLUSH_US // 4, self._leave_if_done)

    def _leave_now(self):
        """What is still open is answered before the kill."""
        self._later(self.now + FLUSH_US // 2, self._stop)  # first: a fault below must not keep us
        for cmd in [cmd for cmd in self.pending.values() if cmd.client]:
            self._give_up(cmd)
        self.close_clients()

    def _close(self):
        """Nothing goes on to the module any more: what waits is answered, and what comes is at once.

        Guards against clients that go on asking on open connections: they kept a gateway from ending.
        """
        self.closed = True
        if self.door:
            self._from_door(self.door.close(self.now))

    def _stop(self):
        self.stopped = True
