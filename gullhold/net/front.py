"""Clients: takes connections, reads calls, and understands requests before the core sees them."""

import re
import socket
import struct
import time
from math import isfinite
from threading import Thread
from typing import NamedTuple
from zlib import crc32

from gullhold import interface as api
from gullhold.net import endings, host_port, statement, thrift
from gullhold.net.endings import Ending
from gullhold.net.pipe import Pipe

OPEN_MOST = 32         # requests that a client has open on a connection, from the protocol
RESULT_MOST = 48_000   # bytes of a result, from the protocol
TXN = re.compile(rb"[0-9a-fA-F]{16}\Z")
UNIQUE = re.compile(rb"[!-+\--<>-~]*\Z")   # printable, without the signs that a list of fields is built of


class Request(NamedTuple):
    """A command as a client asked for it, in the module's units."""

    txn: bytes
    verb: bytes
    body: bytes
    unique: bytes
    profile: int
    tenant: int
    key: int
    limit_us: int
    work_us: int
    need_mb: float
    group: int
    repeat: bool


class Refused(Exception):
    """A request that can't be used; the text is for the client."""


def _figure(fields, name, needed=False):
    word = fields.get(name)
    if word is None and not needed:
        return 0.0
    try:
        value = float(word)
    except (TypeError, ValueError):
        value = float("nan")
    if not isfinite(value) or value < 0 and not needed:
        raise Refused(f"unusable {name.decode()}")
    return value


class Reader:
    """Turns the arguments of execute into a Request, with the names of one agreement."""

    def __init__(self, deal):
        self.deal = deal
        self.profiles = {profile.name.encode(): i for i, profile in enumerate(deal.profiles)}
        self.tenants = {tenant.name.encode(): i for i, tenant in enumerate(deal.tenants)}

    def request(self, fields, body):
        """The request, or Refused."""
        txn, verb = fields.get(b"txn", b""), fields.get(b"verb", b"")
        if not TXN.match(txn):
            raise Refused("unusable txn")
        if verb not in self.profiles:
            raise Refused("unknown verb")
        if self.tenants and fields.get(b"team") not in self.tenants:
            raise Refused("unknown team")
        profile, unique = self.profiles[verb], fields.get(b"unique", b"")
        if not UNIQUE.match(unique) or not unique and self.deal.profiles[profile].effect == api.UNIQUED:
            raise Refused("unusable unique")   # without it no engine knows a repeat
        limit, work = _figure(fields, b"limit", True), _figure(fields, b"cpu")
        group, table = statement.group(body.decode("utf-8", "replace"))
        key = crc32(table.encode()) or 1 if table and self.deal.profiles[profile].ordered else 0
        return Request(txn, verb, body, unique, profile,
                       self.tenants.get(fields.get(b"team"), 0), key, int(limit * 1000), int(work * 1000),
                       _figure(fields, b"memory"), group, b"second" in fields)


class Client:
    """One connection of a client. Its reader thread feeds the core; the core answers through its pipe."""

    def __init__(self, sock, core, reader, most, idle_us):
        self.sock, self.core, self.reader = sock, core, reader
        self.decoder, self.pipe = thrift.Decoder(most), Pipe(OPEN_MOST * (RESULT_MOST + most), core.counters)
        self.open, self.taken, self.settled, self.half, self.ending = {}, 0, 0, False, None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if idle_us:   # a client that vanished must not hold its descriptor for ever
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO,
                            struct.pack("ll", *divmod(idle_us, 1_000_000)))
        self.pipe.attach(sock)

    def put(self, message):
        """Send it a whole frame; where that can't be, the connection ends."""
        if self.pipe.put(message) < 0:
            self.core.counters.add("answers that could not go")
            self.end(Ending.RESET if self.pipe.dead else Ending.BACKED_UP, "")

    def end(self, ending, text):
        """End it from our side, now; the reader wakes and reports."""
        self.ending = self.ending or (ending, text)
        self.pipe.finish(now=True)

    def run(self):
        """Read until the connection ends."""
        try:
            ending, text = self._read(), ""
        except Exception as error:   # a fault of ours ends this connection, not the program
            ending, text = endings.caught(error)
        self.core.post(self.core.client_ended, self, *(self.ending or (ending, text)))

    def _read(self):
        while True:
            try:
                count = self.decoder.buffer.receive(self.sock)
            except BlockingIOError:
                if self.taken == self.settled:
                    return Ending.IDLE
                continue
            if not count:
                return Ending.CLOSED
            at = self.core.clock()
            for call in self.decoder.calls():
                self._take(call, at)

    def _take(self, call, at):
        core, args = self.core, call.args
        if call.method == "execute" and call.kind == thrift.CALL:
            self.taken += 1
            fields, body = args.get((1, thrift.MAP)), args.get((2, thrift.STRING))
            if fields is None or body is None:
                core.post(core.unusable, self, call.seq, thrift.exception(
                    call.method, call.seq, thrift.PROTOCOL_ERROR, "missing argument"))
                return
            try:
                request = self.reader.request(fields, body)
            except Refused as why:
                core.post(core.unusable, self, call.seq, thrift.fault(call.seq, str(why)))
                return
            core.post(core.execute, self, call.seq, request, at)
        elif call.method == "interrupt":
            core.post(core.interrupt, self, args.get((1, thrift.I32)))
        elif call.method == "check" and call.kind == thrift.CALL:
            core.post(core.check, self, call.seq)
        elif call.kind == thrift.CALL:
            core.counters.add("calls unknown")
            self.put(thrift.exception(call.method, call.seq, thrift.UNKNOWN_METHOD, "unknown method"))


class Door:
    """Takes connections, to the very end: what waits in the backlog counts as taken."""

    def __init__(self, address, core, deal, most, backlog):
        self.core, self.reader, self.most, self.idle_us = core, Reader(deal), most, deal.idle_us
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(host_port(address))
        self.sock.listen(backlog)

    def run(self):
        """Accept for ever; where descriptors or threads are short, what waits is taken later."""
        waiting = None
        while True:
            try:
                sock = waiting or self.sock.accept()[0]
                waiting = sock
                client = Client(sock, self.core, self.reader, self.most, self.idle_us)
                Thread(target=client.run, daemon=True, name="client").start()
                waiting = None
                self.core.counters.add("client connections")
            except (OSError, RuntimeError) as error:
                if self.sock.fileno() < 0:
                    return
                if waiting and isinstance(error, OSError):   # it went before we had it
                    waiting.close()
                    waiting = None
                self.core.counters.add("accepts put off")
                time.sleep(0.01)
