"""A gateway on virtual time: the product's core, module, links, clients and parsers; no thread, no socket.

What stands in for threads: a link and a client are fed by their ends of wires, and the core takes a turn
whenever something was posted or a timer is due. All else is the product's own code.
"""

from itertools import count
from queue import Empty

from gullhold.decisions.gateway import Gateway
from gullhold.net import client_connection, event_stream, links, list_change, request_reader, statement_memory
from gullhold.net import core as product
from gullhold.net.connection import Connection
from gullhold.net.connection_ends import STILL_THERE, Ending, Malformed
from gullhold.net.counters import Counters
from gullhold.simulation.endpoints import End
from gullhold.simulation.streams import CLOSED, RESET

MOST = 192 << 10  # bytes of the largest message, as a small deployment has it
LINKS_MOST = 200  # links of one gateway
ROOM = 24 << 20  # bytes of statements that wait
FEED_MOST = 1 << 20  # bytes of one line of the coordinator
SERIALS = count()


class Line:
    """What a pipe takes for its socket: all that it is given goes on to an end of a wire."""

    def __init__(self, end):
        self.end = end

    def send(self, data, _flags=0):
        """The wire keeps what it has no room for, so all is taken."""
        self.end.write(bytes(data))
        return len(data)

    def shutdown(self, _how):
        """Our side says its end."""
        self.end.finish(CLOSED)

    def close(self):
        """As a process gives a descriptor back."""
        self.end.finish(CLOSED)

    def setsockopt(self, *_):
        """Nothing that a wire has."""


class Link(links.Link):
    """A link whose reader is an end of a wire."""

    def __init__(self, *args):
        super().__init__(*args)
        self.serial, self.over = next(SERIALS), False

    def __hash__(self):  # sets of links are walked in the same order in every run
        return self.serial

    def __eq__(self, other):
        return self is other

    def start(self):
        """Connect: up(), or _over() where nobody takes it."""
        self.core.world.dial(self)

    def up(self, end):
        """The connection stands."""
        self.connection = Connection(Line(end))
        if self.ending:
            self.fail(self.ending)
        else:
            self.core.post_urgent(self.core.link_up, self)

    def shut(self, ending):
        """End it from our side; its reader reports a moment later."""
        self.retired, self.ending = True, self.ending or ending
        if self.connection is not None:
            self.connection.shutdown()
            self.core.world.clock.after(0, self.fail, ending)

    def hears(self, _end, data):
        """Bytes of the engine."""
        if self.over:
            return
        arrays = []
        try:
            self.decoder.buffer.put(data)
            try:
                arrays.extend(self.decoder.arrays())
            finally:
                if arrays:
                    self.core.post(self.core.heard, self, arrays)
        except Malformed as fault:
            self.fail(Ending.MALFORMED, str(fault))

    def is_left(self, _end, how):
        """The engine's side has ended."""
        self.fail(Ending.CLOSED if how == CLOSED else Ending.RESET)

    def fail(self, ending, text=""):
        """Its reader is over."""
        if self.over:
            return
        self.over = True
        self.pipe.finish(now=True)
        if self.connection is not None:
            self.connection.close()
        self.core.holding.discard(self)
        self.core.post(self.core.link_ended, self, self.ending or ending, text)


class Client(client_connection.ClientConnection):
    """A connection of a client whose reader is an end of a wire."""

    def __init__(self, end, core, reader):
        super().__init__(Line(end), core, reader, MOST)
        self.serial, self.said_over = next(SERIALS), False
        end.owner = self

    def __hash__(self):
        return self.serial

    def __eq__(self, other):
        return self is other

    def hears(self, _end, data):
        """Bytes of the client."""
        if self.said_over:
            return
        try:
            self.decoder.buffer.put(data)
            for call in self.decoder.calls():
                self._come(call, self.core.clock())
        except Malformed as fault:
            self._over(Ending.MALFORMED, str(fault))
        if self.refused:
            frames, self.refused = self.refused, []
            self.put(b"".join(frames))

    def is_left(self, _end, how):
        """The client's side has ended."""
        self._over(Ending.CLOSED if how == CLOSED else Ending.RESET)

    def end(self, ending, text):
        super().end(ending, text)
        self._over(ending, text)

    def _over(self, ending, text=""):
        if self.said_over:
            return
        self.said_over = self.over = True
        ending, text = self.ending or (ending, text)
        if ending in STILL_THERE:
            self.core.post(self.core.client_ended, self, ending, text)
        else:
            self.left = True
            self.core.post_urgent(self.core.client_ended, self, ending, text)


class Core(product.Core):
    """The product's core on a world's time."""

    connect = Link

    def __init__(self, world, member, *args):
        self.world, self.member = world, member
        super().__init__(*args)

    def clock(self):
        return self.world.clock.start_us + self.world.clock.now

    def post(self, call, *args):
        super().post(call, *args)
        self.member.wake()


class Member:
    """One gateway: from its start to its kill.

    world: clock, chance, dial(link); configuration: as the service reads it.
    """

    def __init__(self, world, name, configuration):
        self.world, self.name, self.alive, self.event, self.ends = world, name, True, None, []
        self.fed_at = 0  # when the last that it was told of the list comes, or came
        agreement = configuration.agreement
        now = world.clock.start_us + world.clock.now
        self.core = Core(
            world,
            self,
            Gateway(configuration.seed, agreement, now),
            agreement,
            Counters(),
            MOST,
            LINKS_MOST,
            statement_memory.StatementMemory(ROOM),
        )
        self.reader = request_reader.RequestReader(agreement, None, self.core.retry_after_field)
        self.names = configuration.engine_ids
        self.follow = event_stream.EventStream(configuration.last_event, FEED_MOST)
        self.core.begin(configuration.list_changes)
        self.wake()

    def accept(self, end):
        """A client connects at this end."""
        self.ends.append(end)
        self.core.room.clients.add(Client(end, self.core, self.reader))

    def feed(self, data):
        """Bytes of the coordinator's stream."""
        if self.alive:
            self.follow.buffer.put(data)
            for event in self.follow.events():
                self.core.list_changed(*list_change.parse_event(event, self.core.agreement, self.names))

    def end(self, link):
        """Our end of a wire for a link."""
        end = End(self.world.clock, link)
        self.ends.append(end)
        return end

    def wake(self):
        """Take a turn as soon as may be."""
        if self.event:
            self.world.clock.cancel(self.event)
        self.event = self.world.clock.after(0, self._turns)

    def kill(self):
        """As by SIGKILL: nothing more of it, its connections are reset."""
        self.alive = False
        for end in self.ends:
            if not end.out.over:
                end.finish(RESET)
            end.over = True

    def _turns(self):
        self.event = None
        if not self.alive:
            return
        core = self.core
        core._tick()
        while True:
            try:
                event = core.queue.get_nowait()
            except Empty:
                event = None
            if event is None and not core.urgent and core.timers[0][0] > core.now:
                break
            core.turn(event)
        if self.event is None:
            self.event = self.world.clock.after(max(0, core.timers[0][0] - core.now), self._turns)

    def left_over(self):
        """What its tables still hold once nothing is owed or out; a census."""
        core, gate = self.core, self.core.gateway
        return {
            name: size
            for name, size in (
                ("owed", len(core.pending)),
                ("txns", len(core.pending_by_txn)),
                ("commands", len(gate.commands)),
                ("threads", sum(gate.threads)),
                ("running", sum(gate.running)),
                ("held", len(gate.held)),
                ("sends", sum(len(link.open) for link in core.links)),
                ("bytes", core.room.used),
            )
            if size
        }
