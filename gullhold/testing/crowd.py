"""Clients under load: each keeps so many commands open over its connections, and counts what became of them.

A client's manner says what it does when it is turned away: come back when told, at once, or not at all.
"""

import multiprocessing
import socket
import time
from collections import deque
from heapq import heappop, heappush
from random import Random
from threading import Lock, Thread
from typing import NamedTuple

from gullhold.net import thrift
from gullhold.net.connection_ends import ProtocolError
from gullhold.testing import PATIENCE_S
from gullhold.testing.working import statement

COUNTS = (
    "asked",
    "answered",
    "shed",
    "failed",
    "tries",
    "lost",
    "told",
    "came_back",
    "back_answered",
    "back_shed",
    "again",
    "again_answered",
    "again_shed",
    "twice",
)
MAX_OPEN_REQUESTS = 32  # open on one connection, from the protocol
MAX_FRAME_BYTES = 100_000  # bytes of an answer
PAUSE_S = 0.02  # s that a client told nothing waits before it asks for something else
WHEN_TOLD, AT_ONCE, NOT_AT_ALL = range(3)


class Ask(NamedTuple):
    """A command as a client means it: all its tries are one ask."""

    at: float  # s, monotonic, when it was first asked for
    sent_at: float  # s, of this try
    tries: int
    told: bool  # whether it waited as it had been told


def frame(seq, fields, body):
    """The bytes of one execute call; fields: bytes by bytes."""
    args = b"\x0d\0\1" + thrift.encode_string_map(fields) + b"\x0b\0\2" + thrift.encode_string(body)
    return thrift.encode_message(thrift.CALL, "execute", seq, args + b"\0")


class Client:
    """One client of a tenant: `open` commands at once over some connections, until stopped.

    work_ms: what a command takes; says: what its estimate says against that; field: what names the client;
    rate: asks a second in all instead of a fixed number open (0: closed loop); limit_ms: its client timeout.
    """

    def __init__(
        self,
        address,
        tenant,
        name,
        open=4,
        connections=1,
        work_ms=50.0,
        says=1.0,
        manner=WHEN_TOLD,
        tries=3,
        limit_ms=4000,
        verb="read",
        field=b"client",
        rate=0.0,
        seed=1,
        come_back=b"retry_ms",
    ):
        self.address, self.tenant, self.name, self.open = address, tenant, name, open
        self.work_ms, self.says, self.manner, self.max_tries = work_ms, says, manner, tries
        self.limit_ms, self.verb, self.field, self.rate = limit_ms, verb, field, rate
        self.come_back = come_back
        self.draw, self.lock = Random(f"{seed} {tenant} {name}"), Lock()
        self.stopped = self.over = False
        self.serial = 0
        self.zero()
        self.threads = [
            Thread(target=self._run, args=(i, connections), daemon=True) for i in range(connections)
        ]

    def start(self):
        """Ask until stop()."""
        for thread in self.threads:
            thread.start()
        return self

    def stop(self):
        """Ask for nothing more; what is open is still read, for a while."""
        self.stopped = True

    def cut(self):
        """Close all connections now, whatever is open."""
        self.stopped = self.over = True

    def join(self):
        """Wait until all connections have ended."""
        for thread in self.threads:
            thread.join(PATIENCE_S)

    def zero(self):
        """Forget all counts: a measurement begins."""
        with self.lock:
            for name in COUNTS:
                setattr(self, name, 0)
            self.latencies = []

    def _call(self, seq, ask):
        with self.lock:
            self.serial += 1
            self.tries += 1
            if ask.tries == 1:
                self.asked += 1
            elif ask.told:
                self.came_back += 1
            else:
                self.again += 1
        txn = b"%016x" % self.draw.getrandbits(64)
        fields = {
            b"verb": self.verb.encode(),
            b"txn": txn,
            b"limit": b"%d" % self.limit_ms,
            b"cpu": b"%g" % (self.work_ms * self.says),
            b"memory": b"50",
            self.field: self.name.encode(),
        }
        if self.tenant:
            fields[b"team"] = self.tenant.encode()
        if ask.tries > 1:
            fields[b"second"] = b"1"
        return frame(seq, fields, statement(self.work_ms, 1 + self.serial % 5))

    def _run(self, index, connections):
        quota = self.open // connections + (index < self.open % connections)
        machine, seq, out, later = thrift.Decoder(MAX_FRAME_BYTES), 0, {}, []
        rate, next_at, order = self.rate / connections, time.monotonic() + self.draw.random() * 0.05, 0
        fresh = deque()
        try:
            with socket.create_connection(self.address, timeout=PATIENCE_S) as sock:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.settimeout(0.01)
                end = 0.0
                while not self.stopped or (out and not self.over and time.monotonic() < end):
                    now, data = time.monotonic(), []
                    end = end if self.stopped and end else now + self.limit_ms / 1000 + 0.5
                    while not self.stopped and rate and next_at <= now:
                        next_at += self.draw.expovariate(rate)
                        fresh.append(Ask(now, now, 1, False))
                    while later and later[0][0] <= now:
                        fresh.append(heappop(later)[2])
                    while not self.stopped and not rate and len(out) + len(later) + len(fresh) < quota:
                        fresh.append(Ask(now, now, 1, False))
                    while fresh and len(out) < MAX_OPEN_REQUESTS and not self.stopped:
                        seq, ask = seq + 1, fresh.popleft()._replace(sent_at=now)
                        out[seq] = ask
                        data.append(self._call(seq, ask))
                    if data:
                        sock.sendall(b"".join(data))
                    try:
                        if not machine.buffer.receive(sock):
                            break
                    except (TimeoutError, BlockingIOError):
                        continue
                    for answer in machine.frames():
                        order += 1
                        self._answered(answer, out, later, order)
        except (OSError, ProtocolError):
            pass
        with self.lock:
            self.lost += len(out)

    def _answered(self, answer, out, later, order):
        message, now = thrift.decode_message(answer, thrift.REPLY, thrift.EXCEPTION), time.monotonic()
        ask = out.pop(message.sequence_id, None)
        if ask is None:
            with self.lock:
                self.twice += 1
            return
        shed = message.fields.get((1, thrift.STRUCT)) if message.message_type == thrift.REPLY else None
        with self.lock:
            if (0, thrift.STRUCT) in message.fields:
                self.answered += 1
                self.latencies.append(now - ask.sent_at)
                if ask.tries > 1:
                    self.back_answered += ask.told
                    self.again_answered += not ask.told
                return
            if shed is None:
                self.failed += 1
                return
            self.shed += 1
            if ask.tries > 1:
                self.back_shed += ask.told
                self.again_shed += not ask.told
            word = shed.get((1, thrift.MAP), {}).get(self.come_back)
            self.told += word is not None
        if (
            self.manner == NOT_AT_ALL
            or ask.tries >= self.max_tries
            or (self.manner == WHEN_TOLD and word is None)
        ):  # told nothing: it gives this ask up
            if not self.rate:
                heappush(later, (now + PAUSE_S, order, Ask(now, now, 1, False)))
            return
        waits = self.manner == WHEN_TOLD
        at = now + (float(word) / 1000 * (1 + 0.1 * self.draw.random()) if waits else 0.0)
        heappush(later, (at, order, ask._replace(tries=ask.tries + 1, told=waits)))


class Apart:
    """A client in a process of its own, so that its work slows nobody else's clock; used like a Client."""

    def __init__(self, *args, **facts):
        context = multiprocessing.get_context("spawn")
        self.pipe, theirs = context.Pipe()
        self.process = context.Process(target=_apart, args=(theirs, args, facts), daemon=True)
        self.latencies = []

    def _ask(self, word):
        self.pipe.send(word)
        counts, self.latencies = self.pipe.recv()
        vars(self).update(counts)

    def start(self):
        """Ask until stop(); back once it has begun."""
        self.process.start()
        self._ask("start")
        return self

    def zero(self):
        """Forget all counts."""
        self._ask("zero")

    def stop(self):
        """Ask for nothing more; the counts are those of now."""
        self._ask("stop")

    def cut(self):
        """Close all connections now."""
        self._ask("cut")

    def join(self):
        """Wait until all connections have ended; the counts are final."""
        self._ask("join")
        self.process.join(PATIENCE_S)


def _apart(pipe, args, facts):
    client, word = Client(*args, **facts), None
    while word != "join":
        word = pipe.recv()
        getattr(client, word)()
        pipe.send(({name: getattr(client, name) for name in COUNTS}, list(client.latencies)))
