"""Stand-ins for the cases 6 to 10: engines, a coordinator, clients, and a gateway process with its record.

All of them speak the protocol by parsers of their own; nothing of the project is imported. They run on the
asyncio loop of the case's script; only the gateway is a process, started by `run` of deploy/balancer.toml.
"""

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, ClassVar

ROOT = Path(__file__).resolve().parents[1]
LOOPBACK = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_LIMIT_S = 30.0  # set by the protocol: a gateway is ready within 30 s
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"


class NotRunError(Exception):
    """The case could not run; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start; written to record.txt at the end."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.lines: list[str] = []
        self.began = time.time()

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        self.lines.append(f"{time.time() - self.began:9.4f} {text}")

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


# The list of engines


def member(name: str, address: str, phase: str = "ready", **other: Any) -> dict[str, Any]:
    """Return the entry of one engine in the list."""
    entry = {
        "id": name,
        "host_port": address,
        "locality": "room-north",
        "flavor": "c12-s10",
        "cell": 0,
        "phase": phase,
        "size": 12,
        "up_since_ms": 0,
    }
    return entry | other


def event(index: int, members: list[dict[str, Any]], complete: bool = False) -> dict[str, Any]:
    """Return an event of the coordinator."""
    return {"index": index, "endpoints": {"revision": index, "complete": complete, "members": members}}


def encoded(told: dict[str, Any]) -> bytes:
    """Return the line of an event."""
    return json.dumps(told, separators=(",", ":")).encode() + b"\n"


class Coordinator:
    """Tells numbered events to followers, and each second the last number."""

    def __init__(self, first: dict[str, Any]) -> None:
        self.events = [first]
        self.follows = 0
        self.address = ""
        self._changed = asyncio.Condition()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    async def tell(self, members: list[dict[str, Any]]) -> int:
        """Append an event; return the bytes of its line."""
        told = event(len(self.events) + 1, members)
        self.events.append(told)
        async with self._changed:
            self._changed.notify_all()
        return len(encoded(told))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            self.follows += 1
            told = int(line.split()[1])
            while True:
                for each in self.events[told:]:
                    writer.write(encoded(each))
                told = len(self.events)
                writer.write(b"%d\n" % told)
                await writer.drain()
                try:
                    async with self._changed:
                        await asyncio.wait_for(self._changed.wait(), 1.0)
                except TimeoutError:
                    pass
        except (ConnectionError, ValueError, IndexError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# Engines


def resp(*words: bytes) -> bytes:
    """Encode a RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one RESP array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


Pages = list[bytes]
# Turns a good answer into the bytes that are sent: reply(words) -> bytes.
Spoil = Callable[[list[bytes]], bytes]


class Engine:
    """Runs each command for work_s and answers with pages_of(txn); counts what it is sent.

    on_fetch: called with (txn, fields, statement) when a fetch has come whole. spoil: encodes the answers.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        pages_of: Callable[[bytes], Pages],
        work_s: float = 0.02,
        spoil: Spoil | None = None,
        on_fetch: Callable[["Engine", bytes], None] | None = None,
    ) -> None:
        self.name = name
        self.record = record
        self.pages_of = pages_of
        self.work_s = work_s
        self.spoil = spoil or (lambda words: resp(*words))
        self.on_fetch = on_fetch
        self.address = ""
        self.inflight = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        running: dict[bytes, asyncio.Task[None]] = {}
        results: dict[bytes, Pages] = {}
        try:
            while True:
                self._receive(await read_command(reader), writer, running, results)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            for task in running.values():
                task.cancel()
            writer.close()

    def _receive(
        self,
        words: list[bytes],
        writer: asyncio.StreamWriter,
        running: dict[bytes, asyncio.Task[None]],
        results: dict[bytes, Pages],
    ) -> None:
        match words[0]:
            case b"fetch":
                self.record.add(f"engine {self.name}: fetch {words[1].decode()} {words[2].decode()}")
                if self.on_fetch:
                    self.on_fetch(self, words[1])
                running[words[1]] = asyncio.create_task(self._run(words[1], writer, results))
            case b"abort":
                self.record.add(f"engine {self.name}: abort {words[1].decode()}")
                results.pop(words[1], None)
                if task := running.pop(words[1], None):
                    task.cancel()
            case b"alive":
                writer.write(resp(words[1], b"alive"))
            case b"more":
                self._more(words, writer, results)
            case b"done":
                results.pop(words[1], None)

    def _more(self, words: list[bytes], writer: asyncio.StreamWriter, results: dict[bytes, Pages]) -> None:
        number = int(words[2])
        pages = results.get(words[1])
        if pages is None or number >= len(pages):
            writer.write(resp(words[1], b"500", b"-", b""))
            return
        writer.write(self.spoil([words[1], b"chunk", b"page=%d" % number, pages[number]]))

    async def _run(self, txn: bytes, writer: asyncio.StreamWriter, results: dict[bytes, Pages]) -> None:
        self.inflight += 1
        try:
            left_s = self.work_s
            while left_s > 0:
                await asyncio.sleep(min(left_s, 0.5))
                left_s -= 0.5
                if left_s > 0:
                    share = b"%.2f" % (1 - left_s / self.work_s)
                    writer.write(resp(txn, b"status", b"note=share,v=" + share, b""))
        finally:
            self.inflight -= 1
        pages = self.pages_of(txn)
        results[txn] = pages
        load = b"load=inflight:%d;queue:0;x1:0.1;x0:0.1" % self.inflight
        fields = b"pages=%d,cost=%d,need=16,%s" % (len(pages), self.work_s * 1000, load)
        writer.write(self.spoil([txn, b"200", fields, pages[0]]))
        self.record.add(f"engine {self.name}: ran {txn.decode()}, {len(pages)} pages")


# Clients


def _string(data: bytes) -> bytes:
    return struct.pack(">i", len(data)) + data


def _frame(kind: int, method: bytes, sequence_id: int, body: bytes) -> bytes:
    message = struct.pack(">HBB", 0x8001, 0, kind) + _string(method) + struct.pack(">i", sequence_id) + body
    return struct.pack(">i", len(message)) + message


def execute(sequence_id: int, fields: dict[str, str], statement: bytes) -> bytes:
    """Encode a call of execute."""
    pairs = b"".join(_string(key.encode()) + _string(value.encode()) for key, value in fields.items())
    body = b"\x0d\0\1\x0b\x0b" + struct.pack(">i", len(fields)) + pairs
    return _frame(1, b"execute", sequence_id, body + b"\x0b\0\2" + _string(statement) + b"\0")


def interrupt(sequence_id: int, interrupted: int) -> bytes:
    """Encode an interrupt of an earlier call."""
    return _frame(4, b"interrupt", sequence_id, b"\x08\0\1" + struct.pack(">i", interrupted) + b"\0")


def check(sequence_id: int) -> bytes:
    """Encode a call of check."""
    return _frame(1, b"check", sequence_id, b"\x02\0\1\1\0")


class Reply:
    """A reply to a call: its kind (answer, shed, fault, exception), body and `good`."""

    def __init__(self, message: bytes) -> None:
        self.body = b""
        self.good = False
        self._data = message
        self._at = 4
        kind = message[3]
        self._text()
        self.sequence_id = self._number(">i")
        if kind == 3:
            self.kind = "exception"
            return
        self._number(">B")
        self.kind = {0: "answer", 1: "shed", 2: "fault"}[self._number(">h")]
        while self.kind == "answer" and (field_type := self._number(">B")):
            field = self._number(">h")
            if field_type == 11 and field == 1:
                self.body = self._text()
            elif field_type == 13:
                self._at += 2
                for _ in range(2 * self._number(">i")):
                    self._text()
            elif field_type == 2 and field == 3:
                self.good = bool(self._number(">B"))

    def _number(self, form: str) -> int:
        value = struct.unpack_from(form, self._data, self._at)[0]
        self._at += struct.calcsize(form)
        return int(value)

    def _text(self) -> bytes:
        size = self._number(">i")
        self._at += size
        return self._data[self._at - size : self._at]


class Client:
    """One connection of a client. replies: by sequence id, a future for each call."""

    _readings: ClassVar[set[asyncio.Task[None]]] = set()  # the loop itself keeps no reference to a task

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.sequence_id = 0
        self.replies: dict[int, asyncio.Future[Reply | None]] = {}
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, address: str) -> None:
        """Open the connection, and read replies until it ends."""
        host, port = address.split(":")
        reader, self.writer = await asyncio.open_connection(host, int(port))
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.create_task(self._read(reader))
        self._readings.add(self.task)
        self.task.add_done_callback(self._readings.discard)

    def call(self, encode: Callable[..., bytes], *arguments: Any) -> tuple[int, bytes]:
        """Return the sequence id and the frame of a call, which the caller sends."""
        self.sequence_id += 1
        self.replies[self.sequence_id] = asyncio.get_running_loop().create_future()
        return self.sequence_id, encode(self.sequence_id, *arguments)

    def send(self, data: bytes) -> None:
        """Write bytes without waiting."""
        assert self.writer is not None
        self.writer.write(data)

    async def wait(self, sequence_id: int, limit_s: float) -> Reply | None:
        """Return the reply; None if the connection has ended or none came in time."""
        try:
            return await asyncio.wait_for(asyncio.shield(self.replies[sequence_id]), limit_s)
        except TimeoutError:
            return None

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                size = struct.unpack(">i", await reader.readexactly(4))[0]
                reply = Reply(await reader.readexactly(size))
                text = f"{reply.kind} {len(reply.body)} bytes"
                self.record.add(f"client {self.name}: {text} to call {reply.sequence_id}")
                future = self.replies.get(reply.sequence_id)
                if future and not future.done():
                    future.set_result(reply)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.record.add(f"client {self.name}: the connection has ended")
        finally:
            for future in self.replies.values():
                if not future.done():
                    future.set_result(None)


def request_fields(number: int, verb: str = "lookup", limit_ms: int = 6000, **other: str) -> dict[str, str]:
    """Return the fields of a request; its number makes its id."""
    fields = {
        "verb": verb,
        "txn": f"{number:016x}",
        "limit": str(limit_ms),
        "team": "rambla-seguros",
        "cpu": "20.0",
        "memory": "16",
    }
    return fields | other


STATEMENT = b"select a, b, c from sales_17.orders where policy = 4711"


# The gateway


def category(name: str, effect: str, give_up: float, aim: float, **other: Any) -> dict[str, Any]:
    """Return the settings of one class."""
    category = {
        "name": name,
        "idempotency": effect,
        "give_up": give_up,
        "aim": aim,
        "aim_stretch": 2.5,
        "value": 1.0,
        "late_worth": 0.4,
        "dedup_scope": "all",
        "window": 15.0,
        "streamed": False,
    }
    return category | other


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment, with the figures of the site montevideo-primas."""
    return {
        "balancers": 2,
        "me": 0,
        "my_zone": 0,
        "dcs": ["room-north", "room-south"],
        "kinds": ["c12-s10"],
        "registry_mode": "push",
        "categories": [
            category("lookup", "pure", 6.0, 1.2, late_worth=0.0),
            category("report", "pure", 25.0, 1.5, value=8.0),
            category("load", "token", 25.0, 4.0, value=5.0),
        ],
        "tenants": [
            {"name": "rambla-seguros", "fraction": 0.77, "allowance_per_s": 90.0},
            {"name": "cerro-mutual", "fraction": 0.23, "allowance_per_s": 27.0},
        ],
        "domain": {
            "parallelism": [1, 3, 2],
            "writes_tables": [False, False, True],
            "class_waits": [True, True, False],
            "cores_by_kind": [12],
            "ram_of_kind_mb": [32768.0],
            "grants_count": True,
            "max_grant_share": 0.4,
            "takes_priority": True,
            "note_period": 1.0,
            "tells_cost": True,
        },
        "limits": {
            "attempts_cap": 6,
            "cancel": True,
            "may_duplicate": False,
            "probes": False,
            "peers": False,
            "retry_after": False,
            "streams_per_conn": 32,
            "connect_timeout": 0.25,
            "conn_idle": 15.0,
            "max_open": 29574,
            "max_retry_after": 2.0,
        },
        "rules": {
            "answer_slack": 0.02,
            "drain_grace": 0.5,
            "cold_from": 0.3,
            "warm_after": 15.0,
            "fall_multiple": 2.5,
            "tip_after": 2.0,
            "min_extra": 3,
            "extra_share": 0.1,
            "ratio_span": 5.0,
        },
        "telemetry": {"how": "piggyback", "fields": ["inflight", "queue", "x1", "x0"]},
        "charges": {"cross_zone": 0.04, "waste": 0.028, "late_fail": 0.035},
    }


def free_address() -> str:
    """Return a loopback address that is free at this moment."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{sock.getsockname()[1]}"


class Gateway:
    """One gateway process, started by `run` of the deploy file; its log goes to gateway.log in the folder."""

    def __init__(
        self,
        record: Record,
        coordinator: str | None,
        first: dict[str, Any],
        limits: dict[str, Any] | None = None,
        adjust: Callable[[dict[str, Any]], None] | None = None,
    ) -> None:
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.address = free_address()
        self.configuration = {
            "name": "n0",
            "listen": self.address,
            "seed": "8c1f30d27a5be964",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": coordinator,
            "known": {"index": first["index"], "updates": [first]},
            "settings": settings(),
        }
        if adjust:
            adjust(self.configuration["settings"])
        self.path = Path(self.folder.name) / "config.json"
        self.write_configuration()
        self.log_path = Path(self.folder.name) / "gateway.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_configuration(self) -> None:
        """Write the configuration file, or replace it."""
        written = self.path.with_suffix(".new")
        written.write_text(json.dumps(self.configuration))
        written.replace(self.path)

    async def start(self) -> None:
        """Start the process, and wait until it answers that it serves."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": self.folder.name,
            "GW_NAME": "n0",
            "GW_LISTEN": self.address,
            "GW_CONFIG": str(self.path),
        }
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stderr=log)
        deadline = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise NotRunError(f"the gateway has ended: {self.log_path.read_text()[-2000:]}")
            if await self._is_serving():
                self.record.add(f"gateway: serves at {self.address}")
                return
            await asyncio.sleep(0.05)
        raise NotRunError("the gateway was not ready in time")

    async def _is_serving(self) -> bool:
        client = Client("front", Record(Path(self.folder.name)))
        try:
            await client.connect(self.address)
            number, call = client.call(check)
            client.send(call)
            reply = await client.wait(number, 1.0)
            return reply is not None and reply.good
        except ConnectionError:
            return False
        finally:
            client.close()

    def stop(self) -> None:
        """End the process, and remove the folder of its files."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(5.0)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.folder.cleanup()

    def log(self) -> list[str]:
        """Return the lines of its log."""
        return self.log_path.read_text(errors="replace").splitlines()


def run_case(folder: str, play: Callable[[Record], Awaitable[int]]) -> None:
    """Play a case, write its record, and exit with 1 if the rule was broken, 0 if it held, else 2."""
    record = Record(Path(folder).resolve().parent)
    record.add(f"disruption: {'on' if IS_TROUBLED else 'off'}")
    verdict = NOT_RUN
    try:
        verdict = asyncio.run(asyncio.wait_for(_play(record, play), 110.0))
    except (NotRunError, OSError, TimeoutError, AssertionError) as error:
        record.add(f"not run: {error!r}")
        print(f"not run: {error!r}")
    record.add(f"exit {verdict}")
    record.write()
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[verdict])
    sys.stdout.flush()
    os._exit(verdict)


async def _play(record: Record, play: Callable[[Record], Awaitable[int]]) -> int:
    return await play(record)


# Many engines in a process of their own, as a fleet of thousands has more sockets than one process may hold


class EngineHost:
    """A process with many engines. fetched: (time, address, txn) of each fetch that came whole."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.addresses: list[str] = []
        self.fetched: list[tuple[float, str, str]] = []
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and read the addresses of its engines."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__)),
            str(self.count),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 20,
        )
        assert self.process.stdout is not None
        self.addresses = json.loads(await asyncio.wait_for(self.process.stdout.readline(), 20.0))
        self._reading = asyncio.create_task(self._read(self.process.stdout))

    async def _read(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            at, address, txn = line.decode().split()
            self.fetched.append((float(at), address, txn))

    async def stop(self) -> None:
        """End the process."""
        if self.process:
            self.process.kill()
            await self.process.wait()


async def host_engines(count: int) -> None:
    """Serve as an EngineHost's process: print the addresses, then a line for each fetch."""
    record = Record(Path(tempfile.gettempdir()))

    def report(engine: Engine, txn: bytes) -> None:
        print(time.time(), engine.address, txn.decode(), flush=True)

    engines = [
        Engine(str(number), record, lambda _txn: [b"a\tb\tc\n"], on_fetch=report) for number in range(count)
    ]
    for engine in engines:
        await engine.start()
    print(json.dumps([engine.address for engine in engines]), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)  # until the case has ended
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(host_engines(int(sys.argv[1])))
