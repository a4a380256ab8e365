"""Rough clients: hundreds that write slowly or stop half way, and one that floods its connection.

Beside them a usual client asks at a steady rate. Its answers and the gateway's memory show what they cost.
"""

import socket
import struct
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from enum import Enum
from itertools import count
from threading import Thread

from gullhold.net import thrift
from gullhold.testing import WAIT_TIMEOUT_S
from gullhold.testing.client import execute_arguments
from gullhold.testing.working_engine import statement

TIMEOUT_MS = 4000  # client timeout of all requests
WORK_MS = 5.0
LARGE_STATEMENT_BYTES = 90_000
FLOOD_BATCH = 50  # messages in one write of a flood
MAX_READ_BYTES = 1 << 18
SLOW_PIECE_BYTES = 200  # bytes that a slow writer sends at once
SLOW_PAUSE_S = 0.1


class Rough(Enum):
    """What the rough clients do: the first four by the hundreds, each of the others on one connection."""

    SLOW = "write slowly"
    HALF = "stop half way"
    SOME_FIELDS = "900 short fields a request"
    MANY_FIELDS = "20,000 short fields a request"
    CHECKS = "flood of checks"
    INTERRUPTS = "flood of interrupts"
    REQUESTS = "flood of requests"
    SHORT_REQUESTS = "flood of 1 ms requests"
    NO_ARGUMENTS = "flood of calls without arguments"
    REPLIES = "flood of replies"
    METHODS = "flood of new methods"
    TENANTS = "flood of new tenants"
    PROFILES = "flood of new classes"
    KEYS = "flood of new keys"
    TABLES = "flood of new tables"


CROWDS = (Rough.SLOW, Rough.HALF, Rough.SOME_FIELDS, Rough.MANY_FIELDS)
FIELD_COUNTS = {Rough.SOME_FIELDS: 450, Rough.MANY_FIELDS: 10_000}  # pairs: a name and a value count as two


def request(seq: int, serial: int, body: bytes = b"", limit_ms: int = TIMEOUT_MS, **other: bytes) -> bytes:
    """Encode one execute call. serial: gives its transaction id; other: further fields, or other values."""
    fields = {
        b"verb": b"read",
        b"txn": b"%016x" % serial,
        b"limit": b"%d" % limit_ms,
        b"cpu": b"%d" % WORK_MS,
        b"memory": b"50",
    } | {name.encode(): value for name, value in other.items()}
    arguments = execute_arguments(fields, body or statement(WORK_MS))
    return thrift.encode_message(thrift.CALL, "execute", seq, arguments + thrift.END_OF_STRUCT)


def _message(rough: Rough, seq: int, serial: int) -> bytes:
    """Return one message of a flood."""
    match rough:
        case Rough.CHECKS:
            return thrift.encode_check_call(seq)
        case Rough.INTERRUPTS:
            arguments = thrift.FIELD_HEADER.pack(thrift.I32, 1) + struct.pack(">i", seq)
            return thrift.encode_message(thrift.ONEWAY, "interrupt", seq, arguments + thrift.END_OF_STRUCT)
        case Rough.NO_ARGUMENTS:
            return thrift.encode_message(thrift.CALL, "execute", seq, thrift.END_OF_STRUCT)
        case Rough.REPLIES:
            return thrift.encode_answer("execute", seq, b"a\tb\tc\n")
        case Rough.METHODS:
            return thrift.encode_message(thrift.CALL, f"m{serial:x}", seq, thrift.END_OF_STRUCT)
        case _:
            return _flood_request(rough, seq, serial)


def _flood_request(rough: Rough, seq: int, serial: int) -> bytes:
    name = b"%x" % serial
    match rough:
        case Rough.SHORT_REQUESTS:
            return request(seq, serial, limit_ms=1)
        case Rough.TENANTS:
            return request(seq, serial, team=name)
        case Rough.PROFILES:
            return request(seq, serial, verb=name)
        case Rough.KEYS:
            return request(seq, serial, verb=b"mark", unique=name * 4)
        case Rough.TABLES:
            return request(seq, serial, statement(WORK_MS, group=serial))
        case _:
            return request(seq, serial)


class RoughLoad:
    """Rough clients of one kind, and a usual client. latencies_s: of the usual client's answers."""

    def __init__(self, address: tuple[str, int], rough: Rough, connections: int) -> None:
        """connections: how many of a crowd; a flood has one."""
        self.address = address
        self.rough = rough
        self.connections = connections if rough in CROWDS else 1
        self.latencies_s: list[float] = []
        self.unanswered = 0
        self._serials = count(1)
        # Made once: hundreds of threads that encode such requests would delay the usual client, too.
        self._crowd_data = self._crowd_request() if rough in CROWDS else b""
        self._ends_at = 0.0

    def run(self, seconds: float) -> None:
        """Play for this time."""
        self._ends_at = time.monotonic() + seconds
        play = self._crowd_member if self.rough in CROWDS else self._flood
        threads = [Thread(target=self._repeat, args=(play,), daemon=True) for _ in range(self.connections)]
        threads.append(Thread(target=self._usual, daemon=True))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _is_over(self) -> bool:
        return time.monotonic() >= self._ends_at

    def _repeat(self, play: Callable[[socket.socket], None]) -> None:
        """Play on one connection after another."""
        while not self._is_over():
            with suppress(OSError), socket.create_connection(self.address, timeout=1.0) as sock:
                play(sock)
            time.sleep(SLOW_PAUSE_S)

    def _crowd_member(self, sock: socket.socket) -> None:
        data = self._crowd_data
        if self.rough == Rough.HALF:
            sock.sendall(data[: len(data) // 2])
            self._read_until_end(sock)
            return
        size = SLOW_PIECE_BYTES if self.rough == Rough.SLOW else len(data)
        for start in range(0, len(data), size):
            if self._is_over():
                return
            sock.sendall(data[start : start + size])
            time.sleep(SLOW_PAUSE_S)

    def _crowd_request(self) -> bytes:
        pairs = FIELD_COUNTS.get(self.rough)
        serial = next(self._serials)
        if pairs is None:
            return request(1, serial, statement(WORK_MS).ljust(LARGE_STATEMENT_BYTES))
        return request(1, serial, **{f"{number:x}": b"" for number in range(pairs)})

    def _read_until_end(self, sock: socket.socket) -> None:
        while not self._is_over():
            with suppress(TimeoutError):
                if not sock.recv(MAX_READ_BYTES):
                    return

    def _flood(self, sock: socket.socket) -> None:
        """Write messages at full speed, and read whatever comes."""
        Thread(target=self._read_all, args=(sock,), daemon=True).start()
        for first in self._sequence_ids():
            batch = range(first, first + FLOOD_BATCH)
            sock.sendall(b"".join(_message(self.rough, seq, next(self._serials)) for seq in batch))

    def _sequence_ids(self) -> Iterator[int]:
        first = 1
        while not self._is_over():
            yield first
            first += FLOOD_BATCH

    @staticmethod
    def _read_all(sock: socket.socket) -> None:
        with suppress(OSError):
            while sock.recv(MAX_READ_BYTES):
                pass

    def _usual(self) -> None:
        """Ask at a steady rate, on a connection of its own that is opened again if it ends."""
        while not self._is_over():
            with suppress(OSError), socket.create_connection(self.address, timeout=WAIT_TIMEOUT_S) as sock:
                self._ask(sock)

    def _ask(self, sock: socket.socket) -> None:
        decoder = thrift.Decoder(LARGE_STATEMENT_BYTES)
        for seq in count(1):
            if self._is_over():
                return
            began = time.monotonic()
            sock.sendall(request(seq, next(self._serials) + (1 << 60)))
            self.unanswered += 1
            while not any(decoder.frames()):
                if not decoder.buffer.receive(sock):
                    return
            self.unanswered -= 1
            self.latencies_s.append(time.monotonic() - began)
            time.sleep(0.02)
