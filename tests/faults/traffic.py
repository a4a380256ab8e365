"""Clients and engines that check every byte that a gateway forwards.

Each request has its own txn, which its statement and every row of its result repeat. A violation is a frame,
a row or a statement that arrives in another form than it was sent, or a request that is not answered.
"""

import json
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from random import Random
from threading import Lock, Thread
from typing import Any, Self

from serving import ROOT, WAIT_TIMEOUT_S, until

from faults.plan import Plan
from gullhold.net import health_check, resp
from gullhold.net.connection_ends import ProtocolError
from gullhold.testing import gateway_log, open_listener
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config
from gullhold.testing.running import free_address

MAX_MESSAGE_BYTES = 200_000  # size of one message from the gateway
PAGE_ROWS = 200  # keeps a page under the protocol's 6,000 bytes
PAUSE_S = 0.005  # pause between a client's connections, so that other tests on the machine get CPU time
GRACE_S = 0.5  # time after the client timeout in which an answer is late, but does not count as missing


def statement(txn: bytes, pages: int, size: int = 0) -> bytes:
    """Return a statement with a transaction id and the number of pages of its result, padded to a size."""
    return (b"select 1 from sales_3.t /* %s %d */" % (txn, pages)).ljust(size, b" ")


def page(txn: bytes, number: int) -> bytes:
    """Return one page of a result, in which every row has the transaction id of the request."""
    return b"%s\t%d\tx\n" % (txn, number) * PAGE_ROWS


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset; unread and unsent bytes are lost."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Record:
    """What all clients and engines of a gateway have seen on the wire.

    requests: (pages of the result, statement) by txn; counts: number of outcomes, by name.
    """

    def __init__(self) -> None:
        self.lock = Lock()
        self.requests: dict[bytes, tuple[int, bytes]] = {}
        self.violations: list[str] = []
        self.counts: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Count one outcome."""
        with self.lock:
            self.counts[name] = self.counts.get(name, 0) + 1

    def add_violation(self, text: str) -> None:
        """Record that something arrived that was not sent, or that an answer did not arrive."""
        with self.lock:
            self.violations.append(text)


class EchoEngine:
    """An engine that answers each fetch with rows of its txn, page by page, and checks that a client sent it.

    reset_probability: of a connection at each read; hangs: whether it answers nothing.
    """

    def __init__(self, record: Record, reset_probability: float = 0.0, seed: int = 1) -> None:
        self.record = record
        self.connections: list[socket.socket] = []
        self.reset_probability = reset_probability
        self.draw = Random(seed).random
        self.fetches = 0
        self.hangs = False
        self.sock, self.address = open_listener()
        Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Close the listener and all connections, as if the process had ended."""
        for sock in (self.sock, *self.connections):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                conn = self.sock.accept()[0]
                self.connections.append(conn)
                Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        decoder = resp.Decoder(MAX_MESSAGE_BYTES)
        try:
            while decoder.buffer.receive(conn):
                if self.draw() < self.reset_probability:  # in the middle of a request
                    reset(conn)
                    return
                for words in decoder.arrays():
                    self._answer(conn, *words)
        except OSError:
            pass
        except (ProtocolError, ValueError, TypeError) as fault:
            self.record.add_violation(f"an engine was sent what no client had sent: {fault!r}")
            conn.close()

    def _answer(self, conn: socket.socket, verb: bytes, *words: bytes) -> None:
        txn = words[0]
        if self.hangs:
            return
        if verb == b"alive":
            conn.sendall(resp.encode(txn, b"alive"))
        elif verb == b"fetch":
            self.fetches += 1
            pages, body = self.record.requests.get(txn, (0, None))
            if words[2] != body:
                self.record.add_violation(f"an engine was sent what no client had sent: {words}")
                return
            fields = b"pages=%d,cost=20,need=10" % pages  # cost and need as the clients estimate them
            conn.sendall(resp.encode(txn, b"200", fields, page(txn, 0)))
        elif verb == b"more":
            conn.sendall(resp.encode(txn, b"chunk", b"page=" + words[1], page(txn, int(words[1]))))


class Client(Thread):
    """Sends requests on one connection after another, and resets some connections with answers unread.

    leave_probability: of such a reset; pages: pages of each result; burst: requests on a connection;
    limit_ms: client timeout; size: bytes of a statement.
    """

    def __init__(
        self,
        address: tuple[str, int],
        record: Record,
        number: int,
        leave_probability: float = 0.0,
        pages: int = 1,
        burst: int = 4,
        limit_ms: int = 3000,
        size: int = 0,
    ) -> None:
        super().__init__(daemon=True)
        self.address = address
        self.record = record
        self.draw = Random(number).random
        self.number = number
        self.leave_probability = leave_probability
        self.pages = pages
        self.burst = burst
        self.limit_ms = limit_ms
        self.size = size
        self.is_stopped = False
        self.serial = 0

    def run(self) -> None:
        """Use one connection after another until is_stopped is set."""
        while not self.is_stopped:
            try:
                self._use_connection()
            except OSError as fault:
                self.record.add(f"connections that did not come up or broke: {type(fault).__name__}")
                time.sleep(0.01)
            time.sleep(PAUSE_S)

    def _use_connection(self) -> None:
        caller = BlockingClient(self.address)
        caller.sock.settimeout(self.limit_ms / 1000 + GRACE_S)
        leaving, open_now = self.draw() < self.leave_probability, {}
        with caller.sock:
            for _ in range(self.burst):
                self.serial += 1
                txn = b"%08x%08x" % (self.number + 1, self.serial)
                body = statement(txn, self.pages, self.size)
                self.record.requests[txn] = (self.pages, body)
                seq = caller.send_command("read", self.limit_ms, txn=txn, body=body)
                open_now[seq] = txn
            if leaving:
                with suppress(ConnectionError):
                    caller.sock.recv(1000)  # part of the answers
                reset(caller.sock)
                self.record.add("left")
                return
            while open_now:
                self._take_answer(caller, open_now)
            if caller.buffer:
                self.record.add_violation(f"bytes after the last answer: {bytes(caller.buffer[:40])!r}")

    def _take_answer(self, caller: BlockingClient, open_now: dict[int, bytes]) -> None:
        try:
            answer = caller.read_answer()
        except TimeoutError:
            self.record.add_violation(f"no answer in time: {sorted(open_now.values())}")
            open_now.clear()
            return
        except Exception as fault:  # noqa: BLE001  an answer that cannot be decoded
            self.record.add_violation(f"a client received an answer that cannot be decoded: {fault!r}")
            open_now.clear()
            return
        if answer is None:
            self.record.add_violation(f"a connection ended with requests open: {sorted(open_now.values())}")
            open_now.clear()
            return
        seq, result = answer
        txn = open_now.pop(seq, None)
        if txn is None:
            self.record.add_violation(f"an answer to request {seq}, which is not open on this connection")
        elif isinstance(result, bytes) and result != b"".join(page(txn, n) for n in range(self.pages)):
            self.record.add_violation(f"rows of another request for {txn}: {result[:40]!r}")
        self.record.add("answered" if isinstance(result, bytes) else result)


class FaultyGateway:
    """A gateway process with a fault plan, between clients and engines that check what they receive.

    It runs inside a `with` block. arguments: those of Python, by default those that start a gateway;
    settings: the limits of the configuration.
    """

    def __init__(
        self,
        folder: Path,
        plan: Plan,
        engines: int = 2,
        reset_probability: float = 0.0,
        arguments: tuple[str, ...] = ("-m", "gullhold", "serve"),
        **settings: Any,
    ) -> None:
        self.record = Record()
        self.plan = plan
        self.clients: list[Client] = []
        self.process: subprocess.Popen | None = None
        self.engines = [EchoEngine(self.record, reset_probability, seed) for seed in range(engines)]
        self.log, self.arguments = folder / "log", arguments
        listen = free_address()
        host, _, port = listen.rpartition(":")
        self.address = (host, int(port))
        self.configuration = config(*self.engines, **settings) | {"listen": listen}
        self.path = folder / "config.json"

    def __enter__(self) -> Self:
        self._start()
        until(self.is_serving)
        return self

    def __exit__(self, *_: object) -> None:
        self.stop_clients()
        self.process.kill()
        self.process.wait()
        gateway_log.record(self.log_text())
        for engine in self.engines:
            engine.close()

    @contextmanager
    def started(self) -> Iterator[Self]:
        """Run the gateway in a `with` block that does not wait until it serves."""
        self._start()
        try:
            yield self
        finally:
            self.__exit__()

    def _start(self) -> None:
        self.path.write_text(json.dumps(self.configuration))
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.arguments],
                cwd=ROOT,
                stderr=log,
                env=self.plan.environment() | {"GW_CONFIG": str(self.path)},
            )

    def is_serving(self) -> bool:
        """Return whether the gateway's health check reports that it serves."""
        try:
            return bool(health_check.is_serving(self.address, 1.0))
        except (OSError, ProtocolError):
            return False

    def start_clients(self, count: int, **options: Any) -> None:
        """Start so many clients; options: arguments of Client."""
        for _ in range(count):
            self.clients.append(Client(self.address, self.record, len(self.clients), **options))
            self.clients[-1].start()

    def stop_clients(self) -> None:
        """Stop the clients, and wait until their open requests have been answered."""
        for client in self.clients:
            client.is_stopped = True
        for client in self.clients:
            client.join(WAIT_TIMEOUT_S)

    def run_for(self, seconds: float) -> list[str]:
        """Let the clients run for so long, then stop them; return the violations."""
        time.sleep(seconds)
        self.stop_clients()
        return self.record.violations

    def log_text(self) -> str:
        """Return what the gateway has logged."""
        return self.log.read_text("utf-8", "replace")
