"""Engines and clients of a simulation, byte for byte over the platform's protocol.

They follow the published protocol: they report to the checker what passed, never what a gateway decided. An
engine runs its attempts on its cores, remembers idempotency keys for its deduplication window and sends
status notes; a client asks, and has every answer checked.
"""

import struct
from collections.abc import Sequence
from typing import TYPE_CHECKING

from gullhold.net import resp, thrift
from gullhold.simulation.clock import Event
from gullhold.simulation.endpoints import End
from gullhold.simulation.streams import StreamEnd

if TYPE_CHECKING:
    from gullhold.simulation.gateway import Member
    from gullhold.simulation.world import World

NOTE_US = 120_000  # us between notes on a send: more often than the settings promise
ROWS = 12  # rows of a page
MAX_PAGES = 3  # pages of a result
MAX_MESSAGE_BYTES = 1 << 18  # bytes of one message
KNOWN_KEY_WORK_US = 1000  # to answer a repeat that is dropped
REJECT_FACTOR = 4  # attempts per core beyond which an engine answers that it is overloaded
MAX_OPEN = 30  # commands of a client at once


def rows(txn: bytes, page: int) -> bytes:
    """What every engine makes for a command: its result is the same wherever it runs."""
    return b"".join(b"%s\t%d\t%d\n" % (txn, page, row) for row in range(ROWS))


def pages_of(txn: bytes) -> int:
    """How many pages a command's result has."""
    return 1 + int(txn, 16) % MAX_PAGES


class Run:
    """One attempt at an engine."""

    __slots__ = ("conn", "event", "note", "txn")

    def __init__(self, conn: "Conn", txn: bytes) -> None:
        self.conn = conn
        self.txn = txn
        self.event: Event | None = None  # its end
        self.note: Event | None = None  # its next status note


class Conn:
    """One connection at an engine."""

    def __init__(self, engine: "Engine", end: End, near: End) -> None:
        """end: at the engine; near: at the gateway."""
        self.engine = engine
        self.end = end
        self.near = near
        self.decoder = resp.Decoder(MAX_MESSAGE_BYTES)
        self.total = 0  # bytes received
        self.runs: dict[bytes, Run] = {}
        self.done: set[bytes] = set()  # answered, with pages that may still be fetched

    def hears(self, _end: End, data: bytes) -> None:
        """Bytes of a gateway."""
        self.total += len(data)
        self.decoder.buffer.put(data)
        start = self.total - len(self.decoder.buffer)
        for words in self.decoder.arrays():
            self.engine.word(self, words, self.near.written_at(start))
            start = self.total - len(self.decoder.buffer)

    def is_left(self, _end: End, _how: StreamEnd) -> None:
        """The gateway's side is over: all that is open here is given up."""
        for txn in list(self.runs):
            self.engine.stop(self, txn)
        if not self.end.finishing:
            self.end.finish()

    def say(self, *words: bytes) -> None:
        """An answer."""
        if not self.end.finishing and not self.end.out.over:
            self.end.write(resp.encode(*words))


class Engine:
    """An engine at an address."""

    def __init__(self, world: "World", ident: str, address: str, cores: int) -> None:
        self.world = world
        self.id = ident
        self.address = address
        self.cores = cores
        self.slowdown = 1.0  # factor on the duration of attempts
        self.connect_delay_us = 0  # us by which connections come up later
        self.refuses_until = 0  # until when connections are refused
        self.malformed_answers = 0  # malformed answers still to be sent
        self.duplicate_answers = 0  # answers still to be sent twice
        self.conns: list[Conn] = []
        self.idempotency_keys: dict[bytes, int] = {}  # idempotency keys, and when each came first
        self.running_count = 0  # attempts that run

    def accept(self, near: End) -> End:
        """A gateway connects; returns this engine's end of the connection."""
        end = End(self.world.clock, None)
        conn = Conn(self, end, near)
        end.owner = conn
        self.conns.append(conn)
        return end

    def crash(self) -> None:
        """The process dies: its connections are reset, it forgets all; another takes its place at once."""
        for conn in self.conns:
            for txn in list(conn.runs):
                self.stop(conn, txn)
            conn.end.over = True
            if not conn.end.out.over:
                conn.end.finish(StreamEnd.RESET)
        self.conns = []
        self.idempotency_keys = {}

    def word(self, conn: Conn, words: list[bytes], written_at: int) -> None:
        """One array of a gateway."""
        verb, txn, *arguments = words
        match verb:
            case b"fetch":
                self._fetch(conn, txn, resp.decode_fields(arguments[0]), arguments[1], written_at)
            case b"abort":
                self.stop(conn, txn)
            case b"alive":
                conn.say(txn, b"alive", b"-", b"")
            case b"more" if txn in conn.done:
                page = arguments[0]
                conn.say(txn, b"chunk", b"page=%s" % page, rows(txn, int(page)))
            case b"more":
                conn.say(txn, b"500", b"-", b"")
            case b"done":
                conn.done.discard(txn)

    def _fetch(self, conn: Conn, txn: bytes, facts: dict[bytes, bytes], body: bytes, written_at: int) -> None:
        world = self.world
        mark = facts.get(b"i", b"")
        if self.running_count >= REJECT_FACTOR * self.cores:
            world.checker.fetched(world.clock.now, written_at, self, conn, txn, mark, False)
            conn.say(txn, b"503", b"-", b"")
            return
        known = mark and world.clock.now - self.idempotency_keys.get(mark, -world.window_us) < world.window_us
        world.checker.fetched(world.clock.now, written_at, self, conn, txn, mark, True)
        self.stop(conn, txn)  # a second one here in place of the first: judged above
        if mark and not known:
            self.idempotency_keys[mark] = world.clock.now
        work_us = KNOWN_KEY_WORK_US if known else 1000 * int(body.split()[1])
        run = Run(conn, txn)
        conn.runs[txn] = run
        self.running_count += 1
        span_us = int(work_us * self.slowdown * max(1.0, self.running_count / self.cores))
        run.event = world.clock.after(span_us, self._end, run, work_us)
        run.note = world.clock.after(NOTE_US, self._note, run)

    def _note(self, run: Run) -> None:
        run.conn.say(run.txn, b"status", b"note=share,v=0.5", b"")
        run.note = self.world.clock.after(NOTE_US, self._note, run)

    def stop(self, conn: Conn, txn: bytes) -> None:
        """An attempt is given up, or its connection is over."""
        conn.done.discard(txn)
        run = conn.runs.pop(txn, None)
        if run:
            self.running_count -= 1
            self.world.clock.cancel(run.event)
            self.world.clock.cancel(run.note)
            self.world.checker.over(self.world.clock.now, self, txn)

    def _end(self, run: Run, work_us: int) -> None:
        conn = run.conn
        txn = run.txn
        world = self.world
        world.clock.cancel(run.note)
        del conn.runs[txn]
        self.running_count -= 1
        world.checker.over(world.clock.now, self, txn)
        conn.done.add(txn)
        if self.malformed_answers:
            self.malformed_answers -= 1
            if not conn.end.finishing:
                conn.end.write(b"*2\r\n$not a length\r\n")
            return
        facts = b"pages=%d,cost=%d,need=20" % (pages_of(txn), work_us // 1000)
        for _ in range(2 if self.duplicate_answers else 1):
            conn.say(txn, b"200", facts, rows(txn, 0))
        self.duplicate_answers = max(0, self.duplicate_answers - 1)


class Client:
    """A client's connection: asks so often, and looks at every answer."""

    def __init__(
        self, world: "World", number: int, member: "Member", verbs: Sequence[bytes], mean_gap_us: int
    ) -> None:
        """mean_gap_us: between its commands, in the mean."""
        self.world = world
        self.number = number
        self.member = member
        self.verbs = verbs
        self.mean_gap_us = mean_gap_us
        self.decoder = thrift.Decoder(MAX_MESSAGE_BYTES)
        self.seq = 0
        self.open: dict[int, bytes] = {}  # transaction ids by sequence number
        self.end: End | None = None
        self.gone = False

    def ask(self) -> None:
        """One more command, and so on until it leaves."""
        world = self.world
        if self.gone or world.clock.now > world.clients_send_until_us:
            return
        if len(self.open) < MAX_OPEN:
            self._send_command()
        world.clock.after(int(self.mean_gap_us * (0.2 + 1.6 * world.random.random())), self.ask)

    def _send_command(self) -> None:
        world = self.world
        self.seq += 1
        verb = self.verbs[int(world.random.random() * len(self.verbs))]
        txn = b"%08x%08x" % (self.number, self.seq)
        limit_ms = 400 + int(world.random.random() * 2400)
        fields = {b"verb": verb, b"txn": txn, b"limit": b"%d" % limit_ms, b"cpu": b"60", b"memory": b"20"}
        if verb == b"mark":
            fields[b"unique"] = txn * 2
        body = b"select %d from sales_%d.t" % (10 + int(world.random.random() ** 3 * 400), self.seq % 5)
        args = b"\x0d\0\1" + thrift.encode_string_map(fields) + b"\x0b\0\2" + thrift.encode_string(body)
        self.open[self.seq] = txn
        world.checker.asked(world.clock.now, self, txn, verb, limit_ms * 1000)
        self.end.write(thrift.encode_message(thrift.CALL, "execute", self.seq, args + b"\0"))

    def hears(self, _end: End, data: bytes) -> None:
        """Bytes of the gateway."""
        self.decoder.buffer.put(data)
        for frame in self.decoder.frames():
            scan = thrift.FrameReader(frame)
            kind = scan.read(4)[3]
            scan.read_string()
            seq = struct.unpack(">i", scan.read(4))[0]
            result = scan.read_struct()
            found = result.get((0, thrift.STRUCT))
            body = found[1, thrift.STRING] if kind == thrift.REPLY and found else None
            self.world.checker.answered(self.world.clock.now, self, self.open.pop(seq, None), body)

    def is_left(self, _end: End, _how: StreamEnd) -> None:
        """The gateway's side is over; a usual client comes again on a new connection."""
        self.leave(again=not self.gone)

    def leave(self, again: bool = False) -> None:
        """Close, whatever is open; again: another connection of such a client takes its place."""
        if self.gone:
            return
        self.gone = True
        self.world.checker.left(self.world.clock.now, self, list(self.open.values()))
        if not self.end.finishing and not self.end.out.over:
            self.end.finish(StreamEnd.CLOSED)
        if again:
            self.world.start_client(self.member.name, self.verbs, self.mean_gap_us)
