"""Whom gateways meet in a rehearsal: engines and clients, byte for byte over the platform's protocol.

They follow the published protocol: the checker is told what passed, never what a gateway thinks. An engine
runs what it is sent on its cores in turn, keeps marks for its dedup window and tells notes; a client asks,
and looks at every answer.
"""

import struct

from gullhold.net import resp, thrift
from gullhold.simulation.endpoints import End
from gullhold.simulation.streams import StreamEnd

NOTE_US = 120_000  # us between notes on a send: more often than the settings promise
ROWS = 12  # rows of a page
PAGE_MOST = 3  # pages of a result


def rows(txn, page):
    """What every engine makes for a command: its result is the same wherever it runs."""
    return b"".join(b"%s\t%d\t%d\n" % (txn, page, row) for row in range(ROWS))


def pages_of(txn):
    """How many pages a command's result has."""
    return 1 + int(txn, 16) % PAGE_MOST


class Run:
    """One send at an engine."""

    __slots__ = ("conn", "event", "note", "txn")

    def __init__(self, conn, txn):
        self.conn, self.txn, self.event, self.note = conn, txn, None, None


class Conn:
    """One connection at an engine."""

    def __init__(self, engine, end, near):
        self.engine, self.end, self.near = engine, end, near
        self.decoder, self.total, self.runs, self.done = resp.Decoder(1 << 18), 0, {}, set()

    def hears(self, _end, data):
        """Bytes of a gateway."""
        self.total += len(data)
        self.decoder.buffer.put(data)
        start, found = self.total - len(self.decoder.buffer), self.decoder.arrays()
        while (words := next(found, None)) is not None:
            self.engine.word(self, words, self.near.written_at(start))
            start = self.total - len(self.decoder.buffer)

    def is_left(self, _end, _how):
        """The gateway's side is over: all that is open here is given up."""
        for txn in list(self.runs):
            self.engine.stop(self, txn)
        if not self.end.finishing:
            self.end.finish()

    def say(self, *words):
        """An answer."""
        if not self.end.finishing and not self.end.out.over:
            self.end.write(resp.encode(*words))


class Engine:
    """An engine at an address. slow: times as long; late: us to connect; spoilt, twice: left."""

    def __init__(self, world, ident, address, cores):
        self.world, self.id, self.address, self.cores = world, ident, address, cores
        self.slow, self.late, self.refusing, self.spoilt, self.twice = 1.0, 0, 0, 0, 0
        self.conns, self.marks, self.count = [], {}, 0

    def accept(self, near):
        """A gateway connects; the end of the wire here."""
        end = End(self.world.clock, None)
        end.owner = conn = Conn(self, end, near)
        self.conns.append(conn)
        return end

    def crash(self):
        """The process dies: its connections are reset, it forgets all; another takes its place at once."""
        for conn in self.conns:
            for txn in list(conn.runs):
                self.stop(conn, txn)
            conn.end.over = True
            if not conn.end.out.over:
                conn.end.finish(StreamEnd.RESET)
        self.conns, self.marks = [], {}

    def word(self, conn, words, written_at):
        """One array of a gateway."""
        verb, txn, *more = words
        if verb == b"fetch":
            self._fetch(conn, txn, resp.fields(more[0]), more[1], written_at)
        elif verb == b"abort":
            self.stop(conn, txn)
        elif verb == b"alive":
            conn.say(txn, b"alive", b"-", b"")
        elif verb == b"more" and txn in conn.done:
            conn.say(txn, b"chunk", b"page=%s" % more[0], rows(txn, int(more[0])))
        elif verb == b"more":
            conn.say(txn, b"500", b"-", b"")
        elif verb == b"done":
            conn.done.discard(txn)

    def _fetch(self, conn, txn, facts, body, written_at):
        world, mark = self.world, facts.get(b"i", b"")
        if self.count >= 4 * self.cores:
            world.checker.fetched(world.clock.now, written_at, self, conn, txn, mark, False)
            conn.say(txn, b"503", b"-", b"")
            return
        known = mark and world.clock.now - self.marks.get(mark, -world.window_us) < world.window_us
        world.checker.fetched(world.clock.now, written_at, self, conn, txn, mark, True)
        self.stop(conn, txn)  # a second one here in place of the first: judged above
        if mark and not known:
            self.marks[mark] = world.clock.now
        work_us = 1000 if known else 1000 * int(body.split()[1])
        run = conn.runs[txn] = Run(conn, txn)
        self.count += 1
        run.event = world.clock.after(
            int(work_us * self.slow * max(1.0, self.count / self.cores)), self._end, run, work_us
        )
        run.note = world.clock.after(NOTE_US, self._note, run)

    def _note(self, run):
        run.conn.say(run.txn, b"status", b"note=share,v=0.5", b"")
        run.note = self.world.clock.after(NOTE_US, self._note, run)

    def stop(self, conn, txn):
        """A send is given up, or its connection is over."""
        conn.done.discard(txn)
        if run := conn.runs.pop(txn, None):
            self.count -= 1
            self.world.clock.cancel(run.event)
            self.world.clock.cancel(run.note)
            self.world.checker.over(self.world.clock.now, self, txn)

    def _end(self, run, work_us):
        conn, txn, world = run.conn, run.txn, self.world
        world.clock.cancel(run.note)
        del conn.runs[txn]
        self.count -= 1
        world.checker.over(world.clock.now, self, txn)
        conn.done.add(txn)
        if self.spoilt:
            self.spoilt -= 1
            if not conn.end.finishing:
                conn.end.write(b"*2\r\n$not a length\r\n")
            return
        facts = b"pages=%d,cost=%d,need=20" % (pages_of(txn), work_us // 1000)
        for _ in range(2 if self.twice else 1):
            conn.say(txn, b"200", facts, rows(txn, 0))
        self.twice = max(0, self.twice - 1)


class Client:
    """A client's connection: asks so often, and looks at every answer."""

    def __init__(self, world, number, member, verbs, gap_us):
        self.world, self.number, self.member, self.verbs, self.gap_us = world, number, member, verbs, gap_us
        self.decoder, self.seq, self.open, self.end, self.gone = thrift.Decoder(1 << 18), 0, {}, None, False

    def ask(self):
        """One more command, and so on until it goes."""
        world = self.world
        if self.gone or world.clock.now > world.asks_until:
            return
        if len(self.open) < 30:
            self.seq += 1
            verb = self.verbs[int(world.chance() * len(self.verbs))]
            txn = b"%08x%08x" % (self.number, self.seq)
            limit = 400 + int(world.chance() * 2400)
            fields = {b"verb": verb, b"txn": txn, b"limit": b"%d" % limit, b"cpu": b"60", b"memory": b"20"}
            if verb == b"mark":
                fields[b"unique"] = txn * 2
            body = b"select %d from sales_%d.t" % (10 + int(world.chance() ** 3 * 400), self.seq % 5)
            args = b"\x0d\0\1" + thrift.encode_string_map(fields) + b"\x0b\0\2" + thrift.encode_string(body)
            self.open[self.seq] = txn
            world.checker.asked(world.clock.now, self, txn, verb, limit * 1000)
            self.end.write(thrift.encode_message(thrift.CALL, "execute", self.seq, args + b"\0"))
        world.clock.after(int(self.gap_us * (0.2 + 1.6 * world.chance())), self.ask)

    def hears(self, _end, data):
        """Bytes of the gateway."""
        self.decoder.buffer.put(data)
        for frame in self.decoder.frames():
            scan = thrift.Scan(frame)
            kind = scan.take(4)[3]
            scan.string()
            seq, result = struct.unpack(">i", scan.take(4))[0], scan.fields()
            found = result.get((0, thrift.STRUCT))
            body = found[1, thrift.STRING] if kind == thrift.REPLY and found else None
            self.world.checker.answered(self.world.clock.now, self, self.open.pop(seq, None), body)

    def is_left(self, _end, _how):
        """The gateway's side is over; a usual client comes again on a new connection."""
        self.leave(again=not self.gone)

    def leave(self, again=False):
        """Close, whatever is open."""
        if self.gone:
            return
        self.gone = True
        self.world.checker.left(self.world.clock.now, self, list(self.open.values()))
        if not self.end.finishing and not self.end.out.over:
            self.end.finish(StreamEnd.CLOSED)
        if again:
            self.world.client(self.member.name, self.verbs, self.gap_us)
